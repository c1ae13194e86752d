"""Requests received from callers or from neighbours."""

import dataclasses
import functools
import typing

from hyssoptack.core import fingerprint
from hyssoptack.core import teams
from hyssoptack.http1 import message
from hyssoptack.planning import routetable
from hyssoptack.platform import headers


class Exchange(typing.Protocol):
    """A received request that must be answered exactly once.

    Attributes:
        request: The request.
        on_abandoned: Called when the sender no longer waits for the answer.
    """

    request: message.Request
    on_abandoned: typing.Callable[[], None] | None

    def answer(self, reply: message.Reply) -> None:
        """Sends the answer to the sender of the request."""


def team_fields(
    team_name: str, rate_per_s: float | None = None
) -> dict[str, object]:
    """Returns the log fields of a team.

    Args:
        team_name: Name of the team; no fields if it is empty.
        rate_per_s: The team's rate limit; no field if it is not limited.
    """
    if not team_name:
        return {}
    rate = {} if rate_per_s is None else {"rate_per_s": rate_per_s}
    return {"team": team_name, **rate}


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutedRequest:
    """A request to be served, with its metadata and route.

    Attributes:
        exchange: The exchange that answers the request.
        metadata: Request id, host and deadline from the request's headers.
        route_match: The matching route and its services.
        version: Configuration version that decided the route and the team. A
            newer one may come into force while the request waits.
        caller_spent_ms: Time that the caller had spent on earlier attempts
            before it sent this request.
        transit_margin_ms: Part of the latency goal reserved for transit.
        team: The caller's team; None if it is anonymous or the configuration
            has no teams.
        is_returning: Whether the caller returns after an earlier attempt.
        held_ms: Time for which it waited for a current view.
    """

    exchange: Exchange
    metadata: headers.RequestMetadata
    route_match: routetable.RouteMatch
    version: int = 0
    caller_spent_ms: float = 0.0
    transit_margin_ms: float = 0.0
    team: teams.Team | None = None
    is_returning: bool = False
    held_ms: float = 0.0

    @property
    def priority(self) -> int:
        """Priority of the request, 0 the most urgent."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route_match.route.priority

    @property
    def team_name(self) -> str:
        """Name of the caller's team; empty if there is none."""
        return self.team.name if self.team is not None else ""

    @property
    def team_fields(self) -> dict[str, object]:
        """Log fields of the caller's team and its rate limit."""
        limit = self.team.rate_limit if self.team is not None else None
        rate_per_s = limit.rate_per_s if limit is not None else None
        return team_fields(self.team_name, rate_per_s)

    @property
    def held_fields(self) -> dict[str, float]:
        """Log field of a request that waited for a current view."""
        return {"held_ms": round(self.held_ms, 1)} if self.held_ms else {}

    @property
    def time_limit_ms(self) -> float:
        """Time from its arrival after which the request ends."""
        timeout_ms = self.route_match.route.timeout_ms
        if self.metadata.deadline_ms is None:
            return timeout_ms
        return min(timeout_ms, self.metadata.deadline_ms)

    @property
    def deadline_at_ms(self) -> float:
        """Time at which the request ends at the latest."""
        return self.exchange.request.received_ms + self.time_limit_ms

    @property
    def reserved_ms(self) -> float:
        """Part of the latency goal used by transit and earlier attempts."""
        return self.caller_spent_ms + self.transit_margin_ms

    def goal_at_ms(self, now_ms: float) -> float:
        """Returns the time at which the answer should be sent.

        An answer that can no longer be in time should rather be complete, so
        its goal is not reduced by the reserved time.
        """
        goal_ms = self.route_match.route.latency_goal_ms
        due_ms = self.exchange.request.received_ms + goal_ms
        in_time_ms = due_ms - self.reserved_ms
        return in_time_ms if in_time_ms > now_ms else due_ms

    @property
    def request_id(self) -> str:
        """The caller's request id as text, for the log."""
        return self.metadata.request_id.decode("latin-1")

    @functools.cached_property
    def fingerprint(self) -> str:
        """Hash that identifies the request's content, computed on first use."""
        request = self.exchange.request
        return fingerprint.compute(
            request.method, self.metadata.host, request.target, request.body
        )
