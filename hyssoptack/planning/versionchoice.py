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
) -> VersionChoice:
    """Returns the version that covers most keys; newer ones win ties.

    Args:
        shards: The shards that the query needs.
        held: Versions that upstreams reported to hold, by upstream id.
        lost: Ids of upstreams that can't be called.

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
    best = VersionChoice(
        index_version=query.ANY_VERSION, reachable_key_count=-1
    )
    for version in sorted(versions, reverse=True):
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
