"""How slow an upstream is: its calls' times over what calls of a route take.

A slowness fades towards "as fast as the others" without calls.
"""

from hyssoptack.policy import standings

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

FADE_HALF_LIFE_MS = 4_000.0
"""How fast a slowness is forgotten without calls."""

SUSPECT_RATIO = 1.3
"""Of an upstream that looks this slow quick calls are told as well: a pause is
then forgotten by all at once, and so is a slow spell that has ended."""


def of(standing: standings.Standing, now_ms: float) -> float:
    """Returns an upstream's slowness, faded by the age of its last call."""
    age_ms = now_ms - standing.measured_ms
    weight = 0.5 ** (age_ms / FADE_HALF_LIFE_MS)
    return 1.0 + weight * (standing.slowness_ratio - 1.0)


def measure(standing: standings.Standing, ratio: float, now_ms: float) -> None:
    """Takes an own call; keeps for neighbours what they should know."""
    suspect = of(standing, now_ms) > SUSPECT_RATIO
    if suspect or ratio > SLOW_RATIO:
        standing.own_call = standings.MeasuredCall(ratio=ratio, end_ms=now_ms)
    take(standing, ratio, now_ms, now_ms)


def take(
    standing: standings.Standing, ratio: float, end_ms: float, now_ms: float
) -> None:
    """Takes a call of whoever's that ended at a time."""
    if ratio <= SLOW_RATIO:
        standing.quick_ms = max(standing.quick_ms, end_ms)
        blend(standing, ratio, now_ms)
        return
    paused = abs(end_ms - standing.slow_ms) < PAUSE_MS
    if paused or end_ms < standing.quick_ms:
        # Counted already, or over since.
        return
    standing.slow_ms = max(standing.slow_ms, end_ms)
    blend(standing, ratio, now_ms)


def blend(standing: standings.Standing, ratio: float, now_ms: float) -> None:
    """Weighs a call's ratio into an upstream's slowness."""
    faded = of(standing, now_ms)
    seen = min(SLOWNESS_MAX_RATIO, ratio)
    standing.slowness_ratio = faded + SMOOTHING_RATIO * (seen - faded)
    standing.measured_ms = now_ms
