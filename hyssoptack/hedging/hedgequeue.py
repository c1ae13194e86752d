"""A queue of the calls of one request that may still be hedged, by due time.

Calls that this instance makes are hedged according to the latencies that it
observes (`hedging.hedgetiming`). These say nothing about calls that another
instance makes: those are hedged when that instance reports them as stalled, or
when its report is overdue.
"""

import collections
import collections.abc
import math

from hyssoptack.hedging import hedgetiming
from hyssoptack.planning import callpart

MayHedge = collections.abc.Callable[[callpart.Part], bool]
"""A function that returns whether a part may be hedged."""


class HedgeQueue:
    """Holds calls in the order of the time at which they are hedged."""

    def __init__(
        self,
        timing: hedgetiming.HedgeTiming,
        may_hedge: MayHedge,
        hedge_on_stall: bool,
    ):
        """Creates an empty queue.

        Args:
            timing: Hedge times of the calls that this instance makes.
            may_hedge: Function that returns whether a part may be hedged.
            hedge_on_stall: Whether all missing calls are hedged once no more
                answers arrive.
        """
        self._timing = timing
        self._may_hedge = may_hedge
        self._stall_hedge_pending = hedge_on_stall
        self._own: collections.deque[callpart.Call] = collections.deque()
        self._relayed: collections.deque[callpart.Call] = collections.deque()

    def add(self, call: callpart.Call) -> None:
        """Adds a call that this instance makes."""
        self._own.append(call)

    def record_relayed(
        self,
        calls: collections.abc.Iterable[callpart.Call],
        overdue_at_ms: float,
    ) -> None:
        """Records that another instance makes some of the calls.

        Args:
            calls: The calls that the other instance makes.
            overdue_at_ms: Time after which their outcomes are overdue.
        """
        for call in calls:
            call.overdue_at_ms = overdue_at_ms
            self._relayed.append(call)
        self._own = collections.deque(
            each for each in self._own if each.overdue_at_ms is None
        )

    def next_due_ms(self) -> float:
        """Returns when the next call is due; infinity for never."""
        next_ms = math.inf
        call = self._oldest_hedgeable(self._own)
        if call is not None:
            due_ms = self._timing.single_hedge_at_ms(call.created_ms)
            next_ms = min(due_ms, self._stall_hedge_at_ms())
        call = self._oldest_hedgeable(self._relayed)
        if call is not None:
            next_ms = min(next_ms, call.overdue_at_ms)
        return next_ms

    def pop_due(self, now_ms: float) -> list[callpart.Call]:
        """Removes and returns the calls that are due."""
        due: list[callpart.Call] = []
        if now_ms >= self._stall_hedge_at_ms():
            self._stall_hedge_pending = False
            due.extend(each for each in self._own if self._is_hedgeable(each))
            self._own.clear()
        while call := self._oldest_hedgeable(self._own):
            if now_ms < self._timing.single_hedge_at_ms(call.created_ms):
                break
            due.append(self._own.popleft())
        while call := self._oldest_hedgeable(self._relayed):
            if now_ms < call.overdue_at_ms:
                break
            due.append(self._relayed.popleft())
        return due

    def _stall_hedge_at_ms(self) -> float:
        """Returns when all missing calls are hedged; infinity for never."""
        if not self._stall_hedge_pending:
            return math.inf
        at_ms = self._timing.stall_at_ms()
        return math.inf if at_ms is None else at_ms

    def _oldest_hedgeable(
        self, calls: collections.deque[callpart.Call]
    ) -> callpart.Call | None:
        """Returns the oldest call that may be hedged, if there is one.

        All calls in a queue wait equally long, so they are ordered by due
        time.
        """
        while calls:
            if self._is_hedgeable(calls[0]):
                return calls[0]
            calls.popleft()
        return None

    def _is_hedgeable(self, call: callpart.Call) -> bool:
        return call.call_id in call.part.calls and self._may_hedge(call.part)
