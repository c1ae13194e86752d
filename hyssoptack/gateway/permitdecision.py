"""Decisions on whether a request of a team with a rate limit may run."""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Permitted:
    """The request holds a permit and may run."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class OverLimit:
    """The team is over its limit.

    Attributes:
        retry_after_ms: Time until its rate allows requests again, with jitter.
        owner_id: Id of the instance that decided; empty if it is unknown.
    """

    retry_after_ms: float
    owner_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Undecided:
    """No owner of the team's bucket has answered.

    Attributes:
        retry_after_ms: Time after which the caller should retry.
    """

    retry_after_ms: float


Decision = Permitted | OverLimit | Undecided

PERMITTED = Permitted()

OnDecision = collections.abc.Callable[[Decision], None]
