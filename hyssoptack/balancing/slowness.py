"""Estimates how slow an upstream is compared with others on the same route.

The slowness ratio is the smoothed time of an upstream's calls divided by the
typical time of the route's calls. Without new calls it decays towards 1.
"""

from hyssoptack.balancing import upstreamstate

SMOOTHING_RATIO = 0.25
"""Weight of the newest call in an upstream's slowness ratio."""

SLOWNESS_MAX_RATIO = 6.0
"""Upper bound on the ratio of a single call; without it one long pause would
outweigh dozens of quick calls."""

SLOW_RATIO = 2.5
"""Ratio above which a call counts as slow rather than as usual variation."""

PAUSE_MS = 200.0
"""Slow calls that end within this time of each other count once: a pause of an
upstream delays all its calls in flight, and it is healthy afterwards."""

DECAY_HALF_LIFE_MS = 4_000.0
"""Half-life of the excess over a ratio of 1 without new calls."""

SHARE_QUICK_RATIO = 1.3
"""Slowness ratio of an upstream above which its quick calls are shared with
neighbours too, so that all instances stop avoiding it as soon as a pause or a
slow period ends."""


def decayed_ratio(state: upstreamstate.UpstreamState, now_ms: float) -> float:
    """Returns an upstream's slowness ratio, decayed by its last call's age."""
    age_ms = now_ms - state.last_sample_ms
    weight = 0.5 ** (age_ms / DECAY_HALF_LIFE_MS)
    return 1.0 + weight * (state.slowness_ratio - 1.0)


def record_own_call(
    state: upstreamstate.UpstreamState, ratio: float, now_ms: float
) -> None:
    """Records a call of this instance and keeps it for sharing if relevant."""
    suspect = decayed_ratio(state, now_ms) > SHARE_QUICK_RATIO
    if suspect or ratio > SLOW_RATIO:
        state.sample_to_share = upstreamstate.CallSample(
            ratio=ratio, end_ms=now_ms
        )
    record_call(state, ratio, now_ms, now_ms)


def record_call(
    state: upstreamstate.UpstreamState,
    ratio: float,
    end_ms: float,
    now_ms: float,
) -> None:
    """Records a call of this instance or of a neighbour.

    Args:
        state: The state of the called upstream.
        ratio: Time of the call as a multiple of the typical time.
        end_ms: When the call ended.
        now_ms: The time now.
    """
    if ratio <= SLOW_RATIO:
        state.last_quick_ms = max(state.last_quick_ms, end_ms)
        update_average(state, ratio, now_ms)
        return
    same_pause = abs(end_ms - state.last_slow_ms) < PAUSE_MS
    if same_pause or end_ms < state.last_quick_ms:
        # The pause is counted already, or a later call was quick.
        return
    state.last_slow_ms = max(state.last_slow_ms, end_ms)
    update_average(state, ratio, now_ms)


def update_average(
    state: upstreamstate.UpstreamState, ratio: float, now_ms: float
) -> None:
    """Adds a call's ratio to the smoothed slowness ratio of an upstream."""
    decayed = decayed_ratio(state, now_ms)
    capped = min(SLOWNESS_MAX_RATIO, ratio)
    state.slowness_ratio = decayed + SMOOTHING_RATIO * (capped - decayed)
    state.last_sample_ms = now_ms
