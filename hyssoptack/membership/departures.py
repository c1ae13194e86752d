"""Upstreams that were seen to leave, which an older copy may list again.

After the store has returned from an older copy, an entry of the list may be
that of an upstream which was seen to drain or to leave before the return. Such
an upstream stays out of use until its entry is written again. If nobody writes
it, the entry expires; one that is still there afterwards belongs to a running
upstream.
"""

import collections.abc
import dataclasses

from hyssoptack.core import position
from hyssoptack.core import traffic

COPY_EXPIRY_MS = 6_000.0
"""Time from the store's return after which all entries that it lists were
written since. An entry expires after three heartbeats of 1.2 s; the rest is for
a late removal and for a read that returns slightly stale data."""

MEMORY_MS = 60_000.0
"""How long an upstream that has left is remembered. The copies from which a
store returns are some seconds old."""

Upstreams = dict[str, traffic.Upstream]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Departure:
    """An upstream that was in use and was seen to leave.

    Attributes:
        seen_at: Position in the store's history of the read that showed it.
        seen_ms: Time of that read.
    """

    seen_at: position.Position
    seen_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Withdrawal:
    """An upstream that is out of use although the store lists it.

    Attributes:
        copied: The upstream as the older copy lists it.
        until_ms: Time from which the entry counts as written since.
    """

    copied: traffic.Upstream
    until_ms: float


Departures = dict[str, Departure]
Withdrawals = dict[str, Withdrawal]


def after_restore(
    left_ids: collections.abc.Container[str],
    listed: Upstreams,
    until_ms: float,
) -> Withdrawals:
    """Returns the upstreams that a copy lists although they have left.

    Args:
        left_ids: Ids of upstreams that were seen to drain or to leave.
        listed: The upstreams that the restored store lists. One that drains
            gets no requests anyway.
        until_ms: Time from which all entries count as written since.
    """
    return {
        name: Withdrawal(copied=each, until_ms=until_ms)
        for name, each in listed.items()
        if name in left_ids and not each.draining
    }


def remaining(
    withdrawals: Withdrawals, listed: Upstreams, read_ms: float
) -> Withdrawals:
    """Returns the withdrawals that hold after a read.

    A different entry was written since, and so is an entry that has not expired
    by the end.
    """
    return {
        name: each
        for name, each in withdrawals.items()
        if listed.get(name) == each.copied and each.until_ms > read_ms
    }


def updated(
    departures: Departures,
    before: Upstreams,
    after: Upstreams,
    seen: Departure,
) -> Departures:
    """Returns the departures after the list in use has changed.

    Args:
        departures: The departures known so far.
        before: Upstreams in use before.
        after: Upstreams in use now.
        seen: Record of those that have gone between the two.
    """
    known = {
        name: each
        for name, each in departures.items()
        if name not in after and seen.seen_ms - each.seen_ms < MEMORY_MS
    }
    if before is after:
        return known
    # A neighbour may have seen it earlier, in the era before.
    return dict.fromkeys(before.keys() - after.keys(), seen) | known
