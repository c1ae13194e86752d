"""Chooses the index version that a whole query is answered from."""

import dataclasses

from hyssoptack.core import catalog
from hyssoptack.core import query


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionChoice:
    """An index version and the number of keys that it may cover."""

    index_version: int
    reachable_key_count: int


def choose_version(
    shards: tuple[catalog.Shard, ...],
    held: dict[str, tuple[int, ...]],
    lost: frozenset[str] = frozenset(),
    current_version: int = query.ANY_VERSION,
) -> VersionChoice:
    """Returns the version that covers most keys.

    Of several, the current version wins, and otherwise the newest.

    Args:
        shards: The shards that the query needs.
        held: Versions that upstreams reported to hold, by upstream id.
        lost: Ids of upstreams that can't be called.
        current_version: Version that the query runs at, whose answers a change
            would discard.

    Returns:
        The choice; its version is `query.ANY_VERSION` when no upstream that
        can be called has reported a version.
    """
    versions = {
        version
        for shard in shards
        for upstream_id in shard.upstream_ids
        if upstream_id not in lost
        for version in held.get(upstream_id, ())
    }
    if current_version != query.ANY_VERSION:
        versions.add(current_version)
    best = VersionChoice(
        index_version=query.ANY_VERSION, reachable_key_count=-1
    )
    for version in sorted(
        versions, key=lambda each: (each == current_version, each), reverse=True
    ):
        reachable = sum(
            shard.key_range.high - shard.key_range.low
            for shard in shards
            if _may_hold(shard, version, held, lost)
        )
        if reachable > best.reachable_key_count:
            best = VersionChoice(
                index_version=version, reachable_key_count=reachable
            )
    return best


def _may_hold(
    shard: catalog.Shard,
    version: int,
    held: dict[str, tuple[int, ...]],
    lost: frozenset[str],
) -> bool:
    """Returns whether an upstream of a shard may hold a version.

    An upstream that has not reported its versions may hold any.
    """
    for upstream_id in shard.upstream_ids:
        if upstream_id in lost:
            continue
        versions = held.get(upstream_id)
        if versions is None or version in versions:
            return True
    return False
