"""Converts lists of upstreams between notices and this instance's clock."""

from hyssoptack.core import gatewaymessage
from hyssoptack.core import listmessage
from hyssoptack.membership import upstreamlist


def kept_notice(
    kept: upstreamlist.KeptUpstream, now_ms: float
) -> listmessage.KeptUpstream:
    """Returns a kept upstream as a notice reports it."""
    return listmessage.KeptUpstream(
        upstream=kept.upstream,
        listed_revision=kept.listed_revision,
        remaining_ms=kept.until_ms - now_ms,
    )


def offered_list(
    notice: gatewaymessage.ViewNotice,
    listed: upstreamlist.Upstreams,
    now_ms: float,
) -> upstreamlist.UpstreamList:
    """Returns the list that a notice offers, in this instance's clock.

    Args:
        notice: The notice.
        listed: The upstreams that the sender read from the store.
        now_ms: Time at which the notice arrived.
    """
    grace_max_ms = upstreamlist.REREGISTRATION_GRACE_MS
    grace_end_ms = upstreamlist.NEVER_MS
    if notice.grace_ms > 0:
        grace_end_ms = now_ms + min(grace_max_ms, notice.grace_ms)
    read_ms = now_ms - max(0.0, notice.list_age_ms)
    return upstreamlist.UpstreamList(
        listed=listed,
        kept={
            each.upstream.upstream_id: upstreamlist.KeptUpstream(
                upstream=each.upstream,
                listed_revision=each.listed_revision,
                until_ms=now_ms + min(grace_max_ms, each.remaining_ms),
            )
            for each in notice.kept
        },
        revision=notice.revision,
        read_ms=read_ms,
        observed_since_ms=min(read_ms, now_ms - notice.observed_age_ms),
        grace_end_ms=grace_end_ms,
    )
