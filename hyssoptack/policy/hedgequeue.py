"""The calls of one request that may still be hedged, in the order of time.

Those that this instance makes are hedged by what it sees of their like
(`policy.hedgetiming`). Those that another instance makes are hedged when it
says that they wait for their upstreams, or is overdue itself: what is seen here
tells nothing of them.
"""

import collections
import collections.abc
import math

from hyssoptack.policy import callpart
from hyssoptack.policy import hedgetiming

MayHedge = collections.abc.Callable[[callpart.Part], bool]


class HedgeQueue:
    """Calls by the time at which they are hedged."""

    def __init__(
        self,
        times: hedgetiming.HedgeTiming,
        may_hedge: MayHedge,
        dry_hedges: bool,
    ):
        """Makes an empty queue.

        Args:
            times: When the request's own calls are hedged.
            may_hedge: Whether a part may be hedged still.
            dry_hedges: Whether a pause between answers says anything.
        """
        self._times = times
        self._may_hedge = may_hedge
        self._dry_hedges = dry_hedges
        self._own: collections.deque[callpart.Call] = collections.deque()
        self._relayed: collections.deque[callpart.Call] = collections.deque()

    def add(self, call: callpart.Call) -> None:
        """Takes a call that goes out."""
        self._own.append(call)

    def record_relayed(
        self,
        calls: collections.abc.Iterable[callpart.Call],
        overdue_at_ms: float,
    ) -> None:
        """Notes that another instance makes some calls.

        Args:
            calls: The calls.
            overdue_at_ms: When word of them is overdue.
        """
        for call in calls:
            call.overdue_at_ms = overdue_at_ms
            self._relayed.append(call)
        self._own = collections.deque(
            each for each in self._own if each.overdue_at_ms is None
        )

    def next_due_ms(self) -> float:
        """Returns when the next call is due; infinite for never."""
        next_ms = math.inf
        call = self._first(self._own)
        if call is not None:
            due_ms = self._times.single_hedge_at_ms(call.created_ms)
            next_ms = min(due_ms, self._dry_at_ms())
        call = self._first(self._relayed)
        if call is not None:
            next_ms = min(next_ms, call.overdue_at_ms)
        return next_ms

    def pop_due(self, now_ms: float) -> list[callpart.Call]:
        """Takes out the calls whose time has come."""
        due: list[callpart.Call] = []
        if now_ms >= self._dry_at_ms():
            self._dry_hedges = False
            due.extend(each for each in self._own if self._is_open(each))
            self._own.clear()
        while call := self._first(self._own):
            if now_ms < self._times.single_hedge_at_ms(call.created_ms):
                break
            due.append(self._own.popleft())
        while call := self._first(self._relayed):
            if now_ms < call.overdue_at_ms:
                break
            due.append(self._relayed.popleft())
        return due

    def _dry_at_ms(self) -> float:
        """Returns when the missing calls are hedged; infinite for never."""
        if not self._dry_hedges:
            return math.inf
        at_ms = self._times.stall_at_ms()
        return math.inf if at_ms is None else at_ms

    def _first(
        self, calls: collections.deque[callpart.Call]
    ) -> callpart.Call | None:
        """Returns the oldest call that may be hedged, if there is one.

        All calls of a kind wait for the same time, so they stand in order.
        """
        while calls:
            if self._is_open(calls[0]):
                return calls[0]
            calls.popleft()
        return None

    def _is_open(self, call: callpart.Call) -> bool:
        return call.call_id in call.part.calls and self._may_hedge(call.part)
