"""Which instances may call which leaves, and with what share.

Leaves of one failure domain are grouped into columns; the owners of a column
are the instances that rank highest for it by rendezvous hashing (Thaler and
Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", section 4). Two
rules keep a leaf's limit when views differ:

- an instance ranks itself among all instances seen within the list's lag, live
  or gone;
- a new instance uses no share until it has been visible for longer than that
  lag.

Any two instances that use a share have then both been visible long enough for
each to rank the other, so at most `owner_count` of them rank themselves as
owners.
"""

import dataclasses

import xxhash

from hyssoptack.core import catalog


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """What one owner may use of a leaf."""

    slot_count: int
    connection_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Column:
    """Leaves of one service in one failure domain that are owned together."""

    column_id: str
    failure_domain: str
    leaf_ids: tuple[str, ...]


def rank(column_id: str, instance_id: str) -> int:
    """Returns an instance's rank for a column; the highest ranks own it."""
    return xxhash.xxh64_intdigest(f"{column_id}|{instance_id}".encode())


def owners(
    column_id: str, instance_ids: tuple[str, ...], owner_count: int
) -> tuple[str, ...]:
    """Returns the owners of a column in falling rank.

    Args:
        column_id: The column.
        instance_ids: The instances of the column's failure domain.
        owner_count: How many owners a column has.

    Returns:
        At most `owner_count` instances.
    """
    ranked = sorted(
        instance_ids,
        key=lambda each: (rank(column_id, each), each),
        reverse=True,
    )
    return tuple(ranked[:owner_count])


def columns(
    service: catalog.Service, column_size_count: int
) -> tuple[Column, ...]:
    """Groups a service's leaves into columns, in the order of its shards."""
    by_domain: dict[str, list[str]] = {}
    for shard in service.shards:
        for leaf_id in shard.leaf_ids:
            by_domain.setdefault(
                service.leaves[leaf_id].failure_domain, []
            ).append(leaf_id)
    result = []
    for failure_domain, leaf_ids in sorted(by_domain.items()):
        for start in range(0, len(leaf_ids), column_size_count):
            result.append(
                Column(
                    column_id=f"{service.name}/{failure_domain}/{start}",
                    failure_domain=failure_domain,
                    leaf_ids=tuple(leaf_ids[start : start + column_size_count]),
                )
            )
    return tuple(result)


def owner_count_of(leaf: catalog.Leaf, owner_count: int) -> int:
    """Returns a leaf's owners: never more than slots or connections."""
    return max(
        1, min(owner_count, leaf.slot_count, leaf.connection_limit_count)
    )


def share_of(leaf: catalog.Leaf, owner_count: int) -> Share:
    """Returns an owner's share; all shares stay within the limits."""
    parts = owner_count_of(leaf, owner_count)
    return Share(
        slot_count=leaf.slot_count // parts,
        connection_count=leaf.connection_limit_count // parts,
    )


def may_use(
    first_seen_by_others_ms: float, lag_ms: float, now_ms: float
) -> bool:
    """Tells whether an instance was visible long enough to use shares."""
    return now_ms - first_seen_by_others_ms > lag_ms
