"""Tracks the open calls of one request."""

import collections.abc

from hyssoptack.balancing import loadbalancer
from hyssoptack.core import traffic
from hyssoptack.planning import callcommand
from hyssoptack.planning import callpart


class OpenCalls:
    """Holds the open calls of one request by call ID.

    Attributes:
        has_run: Whether an earlier call has run or may have run.
    """

    def __init__(
        self,
        load_balancer: loadbalancer.LoadBalancer,
        route_name: str,
        has_run: bool = False,
    ):
        """Creates an empty set of calls.

        Args:
            load_balancer: Load balancer that is notified when a call begins,
                ends or is cancelled.
            route_name: Name of the request's route.
            has_run: Whether another instance may have run the request.
        """
        self._load_balancer = load_balancer
        self._route_name = route_name
        self.has_run = has_run
        self._calls: dict[int, callpart.Call] = {}
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._calls)

    def all(self) -> tuple[callpart.Call, ...]:
        """Returns all open calls, in the order of their creation."""
        return tuple(self._calls.values())

    def still_open(
        self, call_ids: collections.abc.Iterable[int]
    ) -> list[callpart.Call]:
        """Returns the given calls that are still open."""
        return [self._calls[each] for each in call_ids if each in self._calls]

    def add(
        self,
        part: callpart.Part,
        upstream: traffic.Upstream,
        now_ms: float,
        *,
        cross_domain: bool,
        is_probe: bool,
    ) -> callpart.Call:
        """Creates and records an open call.

        Args:
            part: The part that the call is for.
            upstream: The upstream to call.
            now_ms: The current time.
            cross_domain: Whether the upstream is in another failure domain.
            is_probe: Whether the call uses a new connection.
        """
        self._last_id += 1
        call = callpart.Call(
            call_id=self._last_id,
            upstream_id=upstream.upstream_id,
            created_ms=now_ms,
            part=part,
            cross_domain=cross_domain,
            is_probe=is_probe,
        )
        part.calls[call.call_id] = self._calls[call.call_id] = call
        part.record_call(upstream.upstream_id)
        self._load_balancer.begin_call(upstream.upstream_id, now_ms)
        return call

    def pop(self, call_id: int) -> callpart.Call | None:
        """Removes and returns a call that has ended; None if it is unknown."""
        call = self._calls.pop(call_id, None)
        if call is not None:
            call.part.calls.pop(call_id, None)
            self._load_balancer.end_call(call.upstream_id)
        return call

    def mark_unsent(self, call_id: int) -> None:
        """Records that a call waits for a connection and is not sent yet."""
        if call := self._calls.get(call_id):
            call.is_sent = False

    def mark_sent(self, call_id: int) -> None:
        """Records that a call is being sent."""
        if call := self._calls.get(call_id):
            call.is_sent = True

    def may_have_run(self) -> bool:
        """Returns whether an upstream may have run any call, open or ended."""
        return self.has_run or any(
            call.is_sent for call in self._calls.values()
        )

    def cancel(
        self, part: callpart.Part, now_ms: float
    ) -> list[callcommand.Command]:
        """Removes the calls of a part; returns the commands to cancel them."""
        call_ids = list(part.calls)
        for call_id in call_ids:
            call = self.pop(call_id)
            self._load_balancer.record_cancelled(
                self._route_name,
                call.upstream_id,
                now_ms - call.created_ms,
                now_ms,
            )
        return [callcommand.Cancel(call_id=each) for each in call_ids]
