"""Calls that an instance shares with its neighbours."""

from hyssoptack.balancing import slowness
from hyssoptack.balancing import upstreamstate
from hyssoptack.core import gatewaymessage

SHARE_MAX_AGE_MS = 600.0
"""Maximum age of a call that is shared with neighbours: about one sharing
interval. Sharing a call twice does no harm."""

LOCAL_FAULT_RATIO = 0.5
"""Largest share of the recently called upstreams that may look slow. Above it
the fault is more likely in this instance, and no calls are shared."""


def calls_to_share(
    upstream_states: dict[str, upstreamstate.UpstreamState], now_ms: float
) -> dict[str, gatewaymessage.LatencySample]:
    """Returns the recent calls to share with neighbours, by upstream id.

    Only calls of this instance are shared; calls reported by neighbours would
    otherwise circulate forever.

    Args:
        upstream_states: The state of each listed upstream, by its id.
        now_ms: The current time.
    """
    recently_called = {
        upstream_id: state.sample_to_share
        for upstream_id, state in upstream_states.items()
        if now_ms - state.last_sample_ms < SHARE_MAX_AGE_MS
    }
    recent = {
        upstream_id: seen
        for upstream_id, seen in recently_called.items()
        if seen is not None and now_ms - seen.end_ms < SHARE_MAX_AGE_MS
    }
    slow_count = sum(
        each.ratio > slowness.SLOW_RATIO and not each.was_shed
        for each in recent.values()
    )
    if slow_count > max(1, LOCAL_FAULT_RATIO * len(recently_called)):
        return {}
    return {
        upstream_id: gatewaymessage.LatencySample(
            ratio=round(seen.ratio, 1), age_ms=round(now_ms - seen.end_ms)
        )
        for upstream_id, seen in recent.items()
    }
