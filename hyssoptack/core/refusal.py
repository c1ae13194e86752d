"""Truthful refusals: a closed list of reasons, and whether the request ran."""

import dataclasses
import enum


class Ran(enum.Enum):
    """Whether a request had its effect on an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was refused; docs/API.md names every entry."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    TIMEOUT_READING = "timeout_reading"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_SERVICE = "unknown_service"
    WRONG_KIND = "wrong_kind"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    COVERAGE_BELOW_FLOOR = "coverage_below_floor"
    UPSTREAM_UNAVAILABLE = "upstream_unavailable"
    STORE_UNAVAILABLE = "store_unavailable"
    STARTING = "starting"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_REUSED = "key_reused"
    NOT_FOUND = "not_found"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """The final answer to a request that was given up.

    Attributes:
        reason: Why, from the closed list.
        ran: Whether the request had its effect.
        detail: One sentence for a person.
        retry_after_ms: When to come back; None where coming back would not
            help.
        coverage_ratio: The coverage reached, for queries that reached some.
    """

    reason: Reason
    ran: Ran
    detail: str
    retry_after_ms: int | None = None
    coverage_ratio: float | None = None
