"""Converts lists of upstreams between notices and this instance's clock."""

import dataclasses

from hyssoptack.core import gatewaymessage
from hyssoptack.core import listmessage
from hyssoptack.membership import departures
from hyssoptack.membership import keptupstreams
from hyssoptack.membership import upstreamlist


def kept_notice(
    kept: keptupstreams.KeptUpstream, now_ms: float
) -> listmessage.KeptUpstream:
    """Returns a kept upstream as a notice reports it."""
    return listmessage.KeptUpstream(
        upstream=kept.upstream,
        listed_revision=kept.listed_at.revision,
        listed_era=kept.listed_at.era,
        remaining_ms=kept.until_ms - now_ms,
    )


def departures_notice(
    known: upstreamlist.UpstreamList, now_ms: float
) -> listmessage.Departures:
    """Returns what has left as a notice reports it."""
    if known.is_settled:
        return listmessage.NO_DEPARTURES
    return listmessage.Departures(
        withdrawals=tuple(
            listmessage.Withdrawal(
                copied=each.copied, remaining_ms=each.until_ms - now_ms
            )
            for each in known.withdrawals.values()
        ),
        departed=tuple(
            listmessage.Departure(
                upstream_id=name,
                seen_at=each.seen_at,
                age_ms=now_ms - each.seen_ms,
            )
            for name, each in known.forgotten.items()
        ),
    )


def aged(
    notice: gatewaymessage.ViewNotice, held_up_ms: float
) -> gatewaymessage.ViewNotice:
    """Returns a notice with the time added for which it was held up."""
    return dataclasses.replace(
        notice,
        kept=tuple(
            dataclasses.replace(
                each, remaining_ms=each.remaining_ms - held_up_ms
            )
            for each in notice.kept
        ),
        departures=_aged_departures(notice.departures, held_up_ms),
        grace_ms=max(0.0, notice.grace_ms - held_up_ms),
        list_age_ms=notice.list_age_ms + held_up_ms,
        observed_age_ms=notice.observed_age_ms + held_up_ms,
        exact_age_ms=notice.exact_age_ms + held_up_ms,
    )


def _aged_departures(
    found: listmessage.Departures, held_up_ms: float
) -> listmessage.Departures:
    return listmessage.Departures(
        withdrawals=tuple(
            dataclasses.replace(
                each, remaining_ms=each.remaining_ms - held_up_ms
            )
            for each in found.withdrawals
        ),
        departed=tuple(
            dataclasses.replace(each, age_ms=each.age_ms + held_up_ms)
            for each in found.departed
        ),
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
            each.upstream.upstream_id: keptupstreams.KeptUpstream(
                upstream=each.upstream,
                listed_at=each.listed_at,
                until_ms=now_ms + min(grace_max_ms, each.remaining_ms),
            )
            for each in notice.kept
        },
        withdrawals={
            each.copied.upstream_id: departures.Withdrawal(
                copied=each.copied,
                until_ms=now_ms
                + min(departures.COPY_EXPIRY_MS, each.remaining_ms),
            )
            for each in notice.departures.withdrawals
        },
        departed={
            each.upstream_id: departures.Departure(
                seen_at=each.seen_at, seen_ms=now_ms - max(0.0, each.age_ms)
            )
            for each in notice.departures.departed
        },
        read_at=notice.read_at,
        read_ms=read_ms,
        observed_since_ms=min(read_ms, now_ms - notice.observed_age_ms),
        grace_end_ms=grace_end_ms,
    )
