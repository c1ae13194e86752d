"""A request as it was received, from a caller or from a neighbour."""

import dataclasses
import functools
import typing

from hyssoptack.core import fingerprint
from hyssoptack.http1 import message
from hyssoptack.platform import headers
from hyssoptack.policy import routetable


class Exchange(typing.Protocol):
    """A request to be answered once, by whomever it came.

    Attributes:
        request: The request.
        on_abandoned: Called when nobody waits for the answer any more.
    """

    request: message.Request
    on_abandoned: typing.Callable[[], None] | None

    def answer(self, reply: message.Reply) -> None:
        """Writes the answer."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A request to be served, with what was found of it.

    Attributes:
        exchange: Where it is answered.
        metadata: What it says of itself.
        route_match: Its route.
        caller_spent_ms: What its caller had spent when it was sent.
        transit_margin_ms: Kept back from its goal for the way.
    """

    exchange: Exchange
    metadata: headers.RequestMetadata
    route_match: routetable.RouteMatch
    caller_spent_ms: float = 0.0
    transit_margin_ms: float = 0.0

    @property
    def reserved_ms(self) -> float:
        """Time to the goal that is used up on the way and by earlier tries."""
        return self.caller_spent_ms + self.transit_margin_ms

    def goal_at_ms(self, now_ms: float) -> float:
        """Returns when an answer should leave.

        One that can't be in time any more is better whole than soon: it is
        given as long as one that can.
        """
        goal_ms = self.route_match.route.latency_goal_ms
        due_ms = self.exchange.request.received_ms + goal_ms
        in_time_ms = due_ms - self.reserved_ms
        return in_time_ms if in_time_ms > now_ms else due_ms

    @property
    def request_id(self) -> str:
        """The caller's id of it, for the log."""
        return self.metadata.request_id.decode("latin-1")

    @functools.cached_property
    def fingerprint(self) -> str:
        """Names its content; costs a hash."""
        request = self.exchange.request
        return fingerprint.compute(
            request.method, self.metadata.host, request.target, request.body
        )
