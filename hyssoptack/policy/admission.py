"""Admission of queries: an adaptive limit, a reserve for urgent ones.

The limit grows by about one for each limit's worth of answers in good time and
shrinks by a fifth on a late or shed one, at most once in a deadline. A refused
query costs an upstream nothing and is told when to come back.
"""

import dataclasses
import math

from hyssoptack.core import query

SHRINK_RATIO = 0.8
START_COUNT = 4.0
"""First limit of a service: a node that joins must not flood its upstreams."""

ROOM_RATIO = 0.7
"""Answers later than this part of the deadline shrink the limit: waiting for
the first misses would keep it where half of the work comes too late."""

SMOOTHING_RATIO = 0.1
LIMIT_MIN_COUNT = 2.0
YIELD_MS = 500.0
"""Browsing stands back for this long after an urgent lookup was refused."""

RETRY_MIN_MS = 50
RETRY_MAX_MS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limiter:
    """What admission knows of one service on this instance.

    Attributes:
        limit_count: Queries allowed in flight now.
        ceiling_count: The most that the limit may grow to.
        reserve_count: The part of the ceiling kept for urgent lookups.
        urgent_count: Urgent queries in flight.
        browsing_count: Browsing queries in flight.
        duration_ms: Smoothed time of a query.
        shrunk_at_ms: When the limit last shrank.
        urgent_refused_ms: When an urgent lookup was last refused.
    """

    limit_count: float
    ceiling_count: int
    reserve_count: int
    urgent_count: int = 0
    browsing_count: int = 0
    duration_ms: float = 0.0
    shrunk_at_ms: float = 0.0
    urgent_refused_ms: float = -math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The query may run."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overloaded:
    """Refused; there is room again after about `retry_after_ms`."""

    retry_after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class DeadlineTooShort:
    """Refused: answers take `expected_ms` now, more than the deadline."""

    expected_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Adaptive:
    """Admit up to a limit that adapts."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmitAll:
    """Admit everything: a baseline for measurements."""


Policy = Adaptive | AdmitAll
Decision = Admitted | Overloaded | DeadlineTooShort


def new_limiter(ceiling_count: int, reserve_count: int) -> Limiter:
    """Returns the gate of a service that has not served yet."""
    return Limiter(
        limit_count=min(START_COUNT, float(ceiling_count)),
        ceiling_count=ceiling_count,
        reserve_count=reserve_count,
    )


def _room_count(gate: Limiter, urgency: query.Urgency, now_ms: float) -> float:
    total = gate.urgent_count + gate.browsing_count
    match urgency:
        case query.Urgency.URGENT:
            return gate.limit_count - total
        case query.Urgency.BROWSING:
            if now_ms - gate.urgent_refused_ms < YIELD_MS:
                return 0.0
            reserve = gate.reserve_count * gate.limit_count / gate.ceiling_count
            return gate.limit_count - reserve - total


def decide(
    gate: Limiter, asked: query.Query, jitter_ratio: float, now_ms: float = 0.0
) -> Decision:
    """Decides whether a query may run now.

    Args:
        gate: The service's gate.
        asked: The query.
        jitter_ratio: A random number from 0 to 1, to spread those who come
            back.
        now_ms: The time now.

    Returns:
        Admitted, or why not.
    """
    if gate.duration_ms > 2 * asked.deadline_ms:
        return DeadlineTooShort(expected_ms=gate.duration_ms)
    room = _room_count(gate, asked.urgency, now_ms)
    if room >= 1.0:
        return Admitted()
    turn_ms = max(gate.duration_ms, 1.0) / gate.limit_count
    wait_ms = (
        turn_ms * (2.0 - room) * (1.0 + jitter_ratio)
        + RETRY_MIN_MS * jitter_ratio
    )
    return Overloaded(
        retry_after_ms=int(min(RETRY_MAX_MS, max(RETRY_MIN_MS, wait_ms)))
    )


def record_refusal(
    gate: Limiter, urgency: query.Urgency, now_ms: float
) -> Limiter:
    """Returns the gate after a query was refused."""
    match urgency:
        case query.Urgency.URGENT:
            return dataclasses.replace(gate, urgent_refused_ms=now_ms)
        case query.Urgency.BROWSING:
            return gate


def begin_query(gate: Limiter, urgency: query.Urgency) -> Limiter:
    """Returns the gate with one more query in flight."""
    return _moved(gate, urgency, 1)


def _moved(gate: Limiter, urgency: query.Urgency, step: int) -> Limiter:
    match urgency:
        case query.Urgency.URGENT:
            return dataclasses.replace(
                gate, urgent_count=gate.urgent_count + step
            )
        case query.Urgency.BROWSING:
            return dataclasses.replace(
                gate, browsing_count=gate.browsing_count + step
            )


def end_query(
    gate: Limiter,
    urgency: query.Urgency,
    elapsed_ms: float,
    good: bool,
    deadline_ms: float,
    now_ms: float,
) -> Limiter:
    """Returns the gate after a query ended.

    Args:
        gate: The gate before.
        urgency: The query's class.
        elapsed_ms: How long it took.
        good: Whether it was answered in time without an upstream shedding load.
        deadline_ms: Its deadline; the limit shrinks at most once in this time.
        now_ms: The time now.

    Returns:
        The gate with the query gone and its limit adapted.
    """
    gate = _moved(gate, urgency, -1)
    smoothed = gate.duration_ms + SMOOTHING_RATIO * (
        elapsed_ms - gate.duration_ms
    )
    limit = gate.limit_count
    shrunk_at_ms = gate.shrunk_at_ms
    if good and elapsed_ms <= ROOM_RATIO * deadline_ms:
        limit = min(float(gate.ceiling_count), limit + 1.0 / limit)
    elif now_ms - shrunk_at_ms >= deadline_ms:
        limit = max(LIMIT_MIN_COUNT, limit * SHRINK_RATIO)
        shrunk_at_ms = now_ms
    return dataclasses.replace(
        gate, limit_count=limit, duration_ms=smoothed, shrunk_at_ms=shrunk_at_ms
    )
