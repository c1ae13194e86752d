"""The adaptive limit of work in progress, used by both daemons.

`AdaptiveLimit` shrinks by a fifth on a sign of overload, at most once in the
time that the last change needs to take effect, and grows in steps up to its
ceiling. Its users differ in their signs and steps: `admission.worklimit` is
used by gateways, `Limiter` by the other daemon (`hyssoptack.entry`).

`Limiter` admits queries of one service with a reserve for urgent ones. It grows
by about one after as many timely answers as the limit. A late or shed answer
shrinks it, at most once per deadline, if the limit is in use: one of a nearly
idle instance shows a slow upstream or peer, which a lower limit does not help.
If most answers are late or shed, it is halved. A refused query causes no
upstream calls and carries a retry delay.
"""

import dataclasses
import math
import typing

from hyssoptack.core import query

SHRINK_RATIO = 0.8
IN_USE_RATIO = 0.5
"""Part of the limit that must be in use for a single late or shed answer to
shrink it."""

MOSTLY_SHRINK_RATIO = 0.5
"""Factor on the limit if most answers are late or shed: the limit is then far
from what the upstreams bear, as after the start of an instance."""

MOSTLY_OVERLOADED_RATIO = 0.5
"""Smoothed ratio of late and shed answers above which the limit is halved even
if it is not in use, as many instances may overload the upstreams together."""

OVERLOAD_SMOOTHING_RATIO = 0.05
"""Weight of the newest answer in that ratio. It takes 14 late answers without a
timely one to exceed it, more than one stop of a peer delays."""

TIMELY_RATIO = 0.7
"""Answers that take more than this part of the deadline shrink the limit.
Shrinking only on missed deadlines would keep the limit at a level where half
of the answers are late."""

SMOOTHING_RATIO = 0.1
LIMIT_MIN_COUNT = 2.0
BROWSING_PAUSE_MS = 500.0
"""Browsing queries are refused for this long after a refused urgent query."""

RETRY_MIN_MS = 50
RETRY_MAX_MS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdaptiveLimit:
    """A limit of work in progress that adapts to signs of overload.

    Attributes:
        limit_count: Amount of work allowed in progress now.
        ceiling_count: Upper bound of the limit.
        floor_count: Lower bound of the limit.
        duration_ms: Smoothed duration of a unit of work, in milliseconds.
        shrunk_at_ms: Time at which the limit last shrank.
    """

    limit_count: float
    ceiling_count: float
    floor_count: float = LIMIT_MIN_COUNT
    duration_ms: float = 0.0
    shrunk_at_ms: float = 0.0


_Limit = typing.TypeVar("_Limit", bound=AdaptiveLimit)


def grow(current: _Limit, step_count: float) -> _Limit:
    """Returns a limit after it grew by a step, at most to its ceiling."""
    grown_count = min(
        float(current.ceiling_count), current.limit_count + step_count
    )
    return dataclasses.replace(current, limit_count=grown_count)


def shrink(
    current: _Limit,
    pause_ms: float,
    now_ms: float,
    used_count: float = math.inf,
) -> _Limit:
    """Returns a limit after a sign of overload.

    Args:
        current: The limit before.
        pause_ms: Least time between two reductions: the time after which the
            effect of one can be observed.
        now_ms: Current time in milliseconds.
        used_count: Amount of work that caused the sign. A limit far above it
            would have to shrink many times before it took effect.
    """
    if now_ms - current.shrunk_at_ms < pause_ms:
        return current
    base_count = min(current.limit_count, used_count)
    return dataclasses.replace(
        current,
        limit_count=max(current.floor_count, base_count * SHRINK_RATIO),
        shrunk_at_ms=now_ms,
    )


def smoothed(
    mean: float, newest: float, ratio: float = SMOOTHING_RATIO
) -> float:
    """Returns an exponentially weighted mean with a new value.

    Args:
        mean: The mean before.
        newest: The new value.
        ratio: Weight of the new value.
    """
    return mean + ratio * (newest - mean)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limiter(AdaptiveLimit):
    """State of admission for one service on this instance.

    Attributes:
        reserve_count: Part of the ceiling reserved for urgent queries.
        urgent_count: Number of urgent queries in flight.
        browsing_count: Number of browsing queries in flight.
        urgent_refused_at_ms: Time at which an urgent query was last refused.
        overload_ratio: Smoothed ratio of answers that were late or shed.
        ended_at_ms: Time at which a query last ended.
        halved_at_ms: Time at which the limit was last halved.
    """

    reserve_count: int
    urgent_count: int = 0
    browsing_count: int = 0
    urgent_refused_at_ms: float = -math.inf
    overload_ratio: float = 0.0
    ended_at_ms: float = 0.0
    halved_at_ms: float = 0.0

    @property
    def in_progress_count(self) -> int:
        """Number of queries in flight."""
        return self.urgent_count + self.browsing_count


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The query may run."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overloaded:
    """The query is refused; a retry may succeed after `retry_after_ms`."""

    retry_after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class DeadlineTooShort:
    """The query is refused: `expected_ms` is over twice its deadline."""

    expected_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Adaptive:
    """Admits queries up to an adaptive limit."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmitAll:
    """Admits every query; a baseline for measurements."""


Policy = Adaptive | AdmitAll
Decision = Admitted | Overloaded | DeadlineTooShort


def new_limiter(ceiling_count: int, reserve_count: int) -> Limiter:
    """Returns the limiter of a service without queries so far.

    It starts at its ceiling: a lower limit would refuse callers without a sign
    of overload. Relays bound what a new instance sends to each upstream.
    """
    return Limiter(
        limit_count=float(ceiling_count),
        ceiling_count=ceiling_count,
        reserve_count=reserve_count,
    )


def _is_duration_outdated(limiter: Limiter, now_ms: float) -> bool:
    """Returns whether no query has ended for as long as queries took.

    Only queries that run can correct the usual duration, so an outdated one
    must not refuse them.
    """
    return now_ms - limiter.ended_at_ms > limiter.duration_ms


def _available_count(
    limiter: Limiter, urgency: query.Urgency, now_ms: float
) -> float:
    total = limiter.in_progress_count
    match urgency:
        case query.Urgency.URGENT:
            return limiter.limit_count - total
        case query.Urgency.BROWSING:
            if now_ms - limiter.urgent_refused_at_ms < BROWSING_PAUSE_MS:
                return 0.0
            reserve = (
                limiter.reserve_count
                * limiter.limit_count
                / limiter.ceiling_count
            )
            return limiter.limit_count - reserve - total


def decide(
    limiter: Limiter,
    request: query.Query,
    jitter_ratio: float,
    now_ms: float = 0.0,
) -> Decision:
    """Decides whether a query may run now.

    Args:
        limiter: The service's limiter.
        request: The query.
        jitter_ratio: Random number from 0 to 1 that spreads retries over time.
        now_ms: Current time in milliseconds.

    Returns:
        `Admitted`, or the reason for the refusal.
    """
    too_long = limiter.duration_ms > 2 * request.deadline_ms
    if too_long and not _is_duration_outdated(limiter, now_ms):
        return DeadlineTooShort(expected_ms=limiter.duration_ms)
    available_count = _available_count(limiter, request.urgency, now_ms)
    if available_count >= 1.0:
        return Admitted()
    interval_ms = max(limiter.duration_ms, 1.0) / limiter.limit_count
    wait_ms = (
        interval_ms * (2.0 - available_count) * (1.0 + jitter_ratio)
        + RETRY_MIN_MS * jitter_ratio
    )
    return Overloaded(
        retry_after_ms=int(min(RETRY_MAX_MS, max(RETRY_MIN_MS, wait_ms)))
    )


def record_refusal(
    limiter: Limiter, urgency: query.Urgency, now_ms: float
) -> Limiter:
    """Returns the limiter after a refusal."""
    match urgency:
        case query.Urgency.URGENT:
            return dataclasses.replace(limiter, urgent_refused_at_ms=now_ms)
        case query.Urgency.BROWSING:
            return limiter


def begin_query(limiter: Limiter, urgency: query.Urgency) -> Limiter:
    """Returns the limiter with one more query in flight."""
    return _with_count_changed(limiter, urgency, 1)


def _with_count_changed(
    limiter: Limiter, urgency: query.Urgency, step: int
) -> Limiter:
    match urgency:
        case query.Urgency.URGENT:
            return dataclasses.replace(
                limiter, urgent_count=limiter.urgent_count + step
            )
        case query.Urgency.BROWSING:
            return dataclasses.replace(
                limiter, browsing_count=limiter.browsing_count + step
            )


def end_query(
    limiter: Limiter,
    urgency: query.Urgency,
    elapsed_ms: float,
    timely: bool,
    deadline_ms: float,
    now_ms: float,
    stalled_ms: float = 0.0,
) -> Limiter:
    """Returns the limiter after the end of a query.

    Args:
        limiter: The limiter before.
        urgency: Class of the query.
        elapsed_ms: Duration of the query in milliseconds.
        timely: Whether the query was answered in time and no upstream shed a
            call.
        deadline_ms: Deadline of the query in milliseconds; the limit shrinks at
            most once in this time.
        now_ms: Current time in milliseconds.
        stalled_ms: Part of the duration in which this process did not run.

    Returns:
        The limiter without the query and with the limit adapted.
    """
    ended = _with_count_changed(limiter, urgency, -1)
    timely_max_ms = TIMELY_RATIO * deadline_ms
    in_time = timely and elapsed_ms <= timely_max_ms
    if not in_time and elapsed_ms - stalled_ms <= timely_max_ms < elapsed_ms:
        # Without the stall of this process the answer would have been in time.
        return ended
    duration_ms = smoothed(ended.duration_ms, elapsed_ms)
    if _is_duration_outdated(ended, now_ms):
        duration_ms = min(elapsed_ms, duration_ms)
    ended = dataclasses.replace(
        ended, duration_ms=duration_ms, ended_at_ms=now_ms
    )
    if now_ms - elapsed_ms >= limiter.halved_at_ms:
        # Queries that began before the limit was halved don't show the effect.
        ended = dataclasses.replace(
            ended,
            overload_ratio=smoothed(
                ended.overload_ratio,
                0.0 if in_time else 1.0,
                OVERLOAD_SMOOTHING_RATIO,
            ),
        )
    if in_time:
        return grow(ended, 1.0 / ended.limit_count)
    return _shrunk(ended, limiter.in_progress_count, deadline_ms, now_ms)


def _shrunk(
    limiter: Limiter, used_count: int, deadline_ms: float, now_ms: float
) -> Limiter:
    """Returns the limiter after a late or shed answer.

    Args:
        limiter: The limiter without the query.
        used_count: Queries in flight before it ended.
        deadline_ms: Deadline of the query in milliseconds.
        now_ms: Current time in milliseconds.
    """
    if (
        limiter.overload_ratio > MOSTLY_OVERLOADED_RATIO
        and now_ms - limiter.halved_at_ms >= deadline_ms
    ):
        return dataclasses.replace(
            limiter,
            limit_count=max(
                limiter.floor_count, limiter.limit_count * MOSTLY_SHRINK_RATIO
            ),
            shrunk_at_ms=now_ms,
            halved_at_ms=now_ms,
            # Another such reduction needs new evidence.
            overload_ratio=0.0,
        )
    if used_count >= IN_USE_RATIO * limiter.limit_count:
        return shrink(limiter, deadline_ms, now_ms)
    return limiter
