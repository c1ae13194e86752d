"""How slow an upstream is: its calls' times over what calls of a route take.

A slowness fades towards "as fast as the others" without calls.
"""

from hyssoptack.policy import upstreamstate

SMOOTHING_RATIO = 0.25
"""Weight of the newest call in an upstream's slowness."""

SLOWNESS_MAX_RATIO = 6.0
"""A call is taken as at most this many times slow, or one long pause would
outweigh dozens of quick calls."""

SLOW_RATIO = 2.5
"""From here on a call counts as slow rather than as one of the usual spread."""

PAUSE_MS = 200.0
"""Slow calls within this time count once: an upstream that pauses delays all
calls that it has, and is well after it."""

DECAY_HALF_LIFE_MS = 4_000.0
"""How fast a slowness is forgotten without calls."""

SHARE_QUICK_RATIO = 1.3
"""Of an upstream that looks this slow quick calls are told as well: a pause is
then forgotten by all at once, and so is a slow spell that has ended."""


def decayed_ratio(
    standing: upstreamstate.UpstreamState, now_ms: float
) -> float:
    """Returns an upstream's slowness, faded by the age of its last call."""
    age_ms = now_ms - standing.last_sample_ms
    weight = 0.5 ** (age_ms / DECAY_HALF_LIFE_MS)
    return 1.0 + weight * (standing.slowness_ratio - 1.0)


def record_own_call(
    standing: upstreamstate.UpstreamState, ratio: float, now_ms: float
) -> None:
    """Takes an own call; keeps for neighbours what they should know."""
    suspect = decayed_ratio(standing, now_ms) > SHARE_QUICK_RATIO
    if suspect or ratio > SLOW_RATIO:
        standing.sample_to_share = upstreamstate.CallSample(
            ratio=ratio, end_ms=now_ms
        )
    record_call(standing, ratio, now_ms, now_ms)


def record_call(
    standing: upstreamstate.UpstreamState,
    ratio: float,
    end_ms: float,
    now_ms: float,
) -> None:
    """Takes a call of whoever's that ended at a time."""
    if ratio <= SLOW_RATIO:
        standing.last_quick_ms = max(standing.last_quick_ms, end_ms)
        update_average(standing, ratio, now_ms)
        return
    paused = abs(end_ms - standing.last_slow_ms) < PAUSE_MS
    if paused or end_ms < standing.last_quick_ms:
        # Counted already, or over since.
        return
    standing.last_slow_ms = max(standing.last_slow_ms, end_ms)
    update_average(standing, ratio, now_ms)


def update_average(
    standing: upstreamstate.UpstreamState, ratio: float, now_ms: float
) -> None:
    """Weighs a call's ratio into an upstream's slowness."""
    faded = decayed_ratio(standing, now_ms)
    seen = min(SLOWNESS_MAX_RATIO, ratio)
    standing.slowness_ratio = faded + SMOOTHING_RATIO * (seen - faded)
    standing.last_sample_ms = now_ms
