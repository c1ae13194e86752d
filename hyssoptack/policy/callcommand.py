"""What a request's plan is told of its calls, and what it asks for.

The runner feeds outcomes in and carries commands out (`policy.callplan`).
"""

import dataclasses
import enum

from hyssoptack.core import traffic


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlanRequest:
    """One request, as the plan needs it.

    Attributes:
        route: Its route.
        services: One service for each part.
        goal_at_ms: When an answer loses most of its use.
        deadline_at_ms: When the caller stops waiting, or the route's timeout
            ends.
        may_have_run: Whether it was begun elsewhere: its first calls then are
            extra ones, and it has an attempt less.
        awaits_grant: Whether it has one attempt only until its sender grants
            the others (`policy.attempts`).
        fingerprint: Names its content.
    """

    route: traffic.Route
    services: tuple[str, ...]
    goal_at_ms: float
    deadline_at_ms: float
    may_have_run: bool = False
    awaits_grant: bool = False
    fingerprint: str = ""

    @property
    def max_attempts_count(self) -> int:
        """Upstreams of each service that it may be sent to from here."""
        return self.route.max_attempts_count - self.may_have_run


def coverage_floor_count(route: traffic.Route, part_count: int) -> float:
    """Returns the parts without which a request has no answer."""
    match route.target:
        case traffic.AllShards(floor_ratio=floor_ratio):
            return floor_ratio * part_count
        case _:
            return 1.0


class OutcomeKind(enum.Enum):
    """What a call's outcome says about the request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    SHED = "shed"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What became of a call.

    Attributes:
        kind: What it says about the request.
        reply: The upstream's reply, if a whole one came.
        reason: What was seen, for logs.
        reached: Whether the upstream may have seen the request.
        upstream_exited: Whether the upstream has ended with the call in hand.
        was_only_call: Whether it then had no other call of the same instance.
    """

    kind: OutcomeKind
    reply: object = None
    reason: str = ""
    reached: bool = True
    upstream_exited: bool = False
    was_only_call: bool = False

    @property
    def proves_alive(self) -> bool:
        """Whether the upstream gave a sign of life."""
        return self.reply is not None or (
            self.reached and self.kind is not OutcomeKind.FAILED
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Call an upstream.

    Attributes:
        call_id: The call's number.
        upstream: Whom to call.
        extra_reason: Why it is not the part's first call.
        is_probe: Whether it goes from here and over a new connection, which
            shows that the upstream lives.
        cross_domain_only: Whether the own failure domain has no upstream for
            it.
    """

    call_id: int
    upstream: traffic.Upstream
    extra_reason: str = ""
    is_probe: bool = False
    cross_domain_only: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancel:
    """Give up a call."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Answer with these replies, in the order of their parts."""

    replies: tuple[object, ...]
    part_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """Nothing ran, and nothing will; the caller may come back."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fail:
    """It may have run; `reply` is an upstream's failure to pass on, if any."""

    reason: str
    timed_out: bool
    reply: object = None


Result = Answer | Refuse | Fail


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finish:
    """The request's end."""

    result: Result


Command = Send | Cancel | Finish
