"""Refusals: a closed list of reasons, and whether the request ran."""

import dataclasses
import enum

from hyssoptack.core import decoding


class Ran(enum.Enum):
    """States whether a request took effect on an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Reason of a refusal; docs/API.md describes every value."""

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
    """Final answer to a request that was refused or failed.

    Attributes:
        reason: Reason from the closed list.
        ran: Whether the request took effect.
        detail: Explanation in one sentence for the caller.
        retry_after_ms: Delay before a retry, in milliseconds; None if a retry
            would not help.
        coverage_ratio: Coverage that a query reached; None for other
            refusals.
    """

    reason: Reason
    ran: Ran
    detail: str
    retry_after_ms: int | None = None
    coverage_ratio: decoding.Finite | None = None
