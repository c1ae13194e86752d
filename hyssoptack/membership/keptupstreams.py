"""Upstreams that stay in use although the store does not list them."""

import collections.abc
import dataclasses

from hyssoptack.core import position
from hyssoptack.core import traffic

Upstreams = dict[str, traffic.Upstream]


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeptUpstream:
    """An upstream that stays in use although it is not listed.

    Attributes:
        upstream: The upstream as it was last listed.
        listed_at: Position in the store's history of the last read that listed
            it.
        until_ms: Time from which a read that does not list it shows that it is
            gone.
    """

    upstream: traffic.Upstream
    listed_at: position.Position
    until_ms: float


Kept = dict[str, KeptUpstream]


def vanished(
    before: Upstreams,
    read_at: position.Position,
    listed: collections.abc.Mapping[str, object],
    until_ms: float,
) -> Kept:
    """Returns records that keep what a later list lacks until a time.

    Args:
        before: Upstreams of the earlier list.
        read_at: Position in the store's history of that list.
        listed: Upstreams of the later list by id.
        until_ms: End of the records.
    """
    return {
        name: KeptUpstream(
            upstream=before[name], listed_at=read_at, until_ms=until_ms
        )
        for name in before.keys() - listed.keys()
    }


def ending_by(kept: Kept, end_ms: float) -> Kept:
    """Returns the records with no end later than that of the grace period."""
    return {
        name: dataclasses.replace(each, until_ms=min(each.until_ms, end_ms))
        for name, each in kept.items()
    }


def ending_at(kept: Kept, end_ms: float) -> Kept:
    """Returns the records with another end."""
    return {
        name: dataclasses.replace(each, until_ms=end_ms)
        for name, each in kept.items()
    }


def remaining(kept: Kept, listed: Upstreams, read_ms: float) -> Kept:
    """Returns what is still kept beside a list.

    An upstream that restarted is listed with a new id and replaces the kept
    one.
    """
    if not kept:
        return {}
    expected_ids = {each.expected_id for each in listed.values()}
    return {
        name: each
        for name, each in kept.items()
        if each.until_ms > read_ms
        and each.upstream.expected_id not in expected_ids
    }
