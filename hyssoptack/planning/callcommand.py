"""Inputs and outputs of a call plan: outcomes of calls, and commands.

The runner passes outcomes to the plan and executes the commands that the plan
returns (`planning.callplan`).
"""

import dataclasses
import enum

from hyssoptack.core import traffic


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlanRequest:
    """The properties of a request that its plan needs.

    Attributes:
        route: The route of the request.
        services: One service for each part.
        goal_at_ms: Time after which an answer loses most of its value.
        deadline_at_ms: Time at which the caller stops waiting or the route's
            timeout ends.
        may_have_run: Whether another instance already started the request. Its
            first calls are then paid from the budget for extra calls, and it
            has one attempt less.
        awaits_grant: Whether the request is limited to one attempt until its
            sender grants the others (`planning.attempts`).
        fingerprint: Identifier of the request's content.
        team_priority: Priority of the caller's team; None if the route's
            priority applies.
    """

    route: traffic.Route
    services: tuple[str, ...]
    goal_at_ms: float
    deadline_at_ms: float
    may_have_run: bool = False
    awaits_grant: bool = False
    fingerprint: str = ""
    team_priority: int | None = None

    @property
    def priority(self) -> int:
        """Priority of the request, 0 the most urgent."""
        if self.team_priority is not None:
            return self.team_priority
        return self.route.priority

    @property
    def max_attempts_count(self) -> int:
        """Number of upstreams per service that this instance may call."""
        return self.route.max_attempts_count - self.may_have_run


def coverage_floor_count(route: traffic.Route, part_count: int) -> float:
    """Returns the smallest number of answered parts that makes an answer."""
    match route.target:
        case traffic.AllShards(floor_ratio=floor_ratio):
            return floor_ratio * part_count
        case _:
            return 1.0


class OutcomeKind(enum.Enum):
    """How a call ended, with regard to the request.

    Attributes:
        ANSWERED: The upstream answered.
        NOT_RUN: The request did not reach the upstream or did not run there.
        SHED: The upstream refused the request for lack of capacity.
        FAILED: The call failed, and the request may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    SHED = "shed"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """The outcome of a call.

    Attributes:
        kind: Whether the request was answered, not run, shed or failed.
        reply: The upstream's reply, if it was received completely.
        reason: Short identifier of the cause, for logs.
        reached: Whether the upstream may have seen the request.
        upstream_exited: Whether the upstream exited while it was processing
            the call.
        was_only_call: Whether the upstream had no other call from the same
            instance when it exited.
    """

    kind: OutcomeKind
    reply: object = None
    reason: str = ""
    reached: bool = True
    upstream_exited: bool = False
    was_only_call: bool = False

    @property
    def proves_alive(self) -> bool:
        """Whether the outcome shows that the upstream is alive."""
        return self.reply is not None or (
            self.reached and self.kind is not OutcomeKind.FAILED
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Command to call an upstream.

    Attributes:
        call_id: The number of the call, unique within its request.
        upstream: The upstream to call.
        extra_reason: Reason for an extra call; empty for a part's first call.
        is_probe: Whether this instance must make the call itself, over a new
            connection, which shows that the upstream is alive.
        cross_domain_only: Whether the local failure domain has no upstream for
            the part.
    """

    call_id: int
    upstream: traffic.Upstream
    extra_reason: str = ""
    is_probe: bool = False
    cross_domain_only: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancel:
    """Command to cancel a call.

    Attributes:
        call_id: The number of the call.
    """

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Result of an answered request.

    Attributes:
        replies: The replies, in the order of their parts.
        part_count: Number of all parts, including unanswered ones.
    """

    replies: tuple[object, ...]
    part_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """Result of a request that did not run; the caller may retry it.

    Attributes:
        reason: Short identifier of the cause.
    """

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fail:
    """Result of a failed request that may have run.

    Attributes:
        reason: Short identifier of the cause.
        timed_out: Whether the request ended while calls were open, at its
            deadline or before this process ends.
        reply: An upstream's failure reply to pass on, if there is one.
    """

    reason: str
    timed_out: bool
    reply: object = None


Result = Answer | Refuse | Fail


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finish:
    """Command to end the request.

    Attributes:
        result: The result of the request.
    """

    result: Result


Command = Send | Cancel | Finish


def lasting_sends(commands: list[Command]) -> list[Send]:
    """Returns the calls to send, without those that are cancelled at once.

    A hedge or a retry may be cancelled in the step that decides on it, as the
    request ends then.
    """
    cancelled_ids = {
        each.call_id for each in commands if isinstance(each, Cancel)
    }
    return [
        each
        for each in commands
        if isinstance(each, Send) and each.call_id not in cancelled_ids
    ]
