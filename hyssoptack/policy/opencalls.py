"""The calls of one request that are out."""

import collections.abc

from hyssoptack.core import traffic
from hyssoptack.policy import callpart
from hyssoptack.policy import loadbalancer


class OpenCalls:
    """The calls of one request that are out, by number."""

    def __init__(self, known: loadbalancer.LoadBalancer, route_name: str):
        """Makes the calls of a request, of which there are none yet.

        Args:
            known: Told of each call that begins or is cancelled.
            route_name: The request's route.
        """
        self._placing = known
        self._route_name = route_name
        self._calls: dict[int, callpart.Call] = {}
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._calls)

    def all(self) -> tuple[callpart.Call, ...]:
        """Returns all calls, in the order in which they were decided on."""
        return tuple(self._calls.values())

    def still_open(
        self, call_ids: collections.abc.Iterable[int]
    ) -> list[callpart.Call]:
        """Returns those of some calls that are still out."""
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
        """Notes a call that goes out.

        Args:
            part: The part that it is for.
            upstream: Whom it goes to.
            now_ms: The time now.
            cross_domain: Whether it goes into another failure domain.
            is_probe: Whether it goes over a new connection.
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
        self._placing.begin_call(upstream.upstream_id, now_ms)
        return call

    def pop(self, call_id: int) -> callpart.Call | None:
        """Takes a call out that has come to an end; None if it is unknown."""
        call = self._calls.pop(call_id, None)
        if call is not None:
            call.part.calls.pop(call_id, None)
            self._placing.end_call(call.upstream_id)
        return call

    def mark_unsent(self, call_id: int) -> None:
        """Notes that a call waits for a connection: nothing was sent yet."""
        if call := self._calls.get(call_id):
            call.is_sent = False

    def mark_sent(self, call_id: int) -> None:
        """Notes that a call is being sent."""
        if call := self._calls.get(call_id):
            call.is_sent = True

    def any_sent(self) -> bool:
        """Whether a call is out that an upstream may see at any moment."""
        return any(call.is_sent for call in self._calls.values())

    def cancel(self, part: callpart.Part, now_ms: float) -> list[int]:
        """Takes a part's calls out; returns their numbers."""
        call_ids = list(part.calls)
        for call_id in call_ids:
            call = self.pop(call_id)
            self._placing.record_cancelled(
                self._route_name,
                call.upstream_id,
                now_ms - call.created_ms,
                now_ms,
            )
        return call_ids
