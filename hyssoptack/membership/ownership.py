"""Assigns upstreams, and shares of their limits, to instances.

Upstreams of one service and failure domain are grouped into columns. The owners
of a column are the instances that rank highest for it by rendezvous hashing
(Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
section 4). Two rules keep an upstream within its limits while instances have
different views of the membership:

- an instance ranks itself among all instances seen within the membership lag,
  including those that have gone;
- a new instance uses no share until it has been visible for longer than that
  lag.

Any two instances that use a share have therefore been visible long enough to
rank each other, so at most `owner_count` instances rank themselves as owners.
"""

import dataclasses

from hyssoptack.core import catalog
from hyssoptack.membership import rendezvous


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """Slots and connections of an upstream that one owner may use."""

    slot_count: int
    connection_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Column:
    """Upstreams of one service and failure domain with the same owners."""

    column_id: str
    failure_domain: str
    upstream_ids: tuple[str, ...]


def owners(
    column_id: str, instance_ids: tuple[str, ...], owner_count: int
) -> tuple[str, ...]:
    """Returns the owners of a column, highest rank first.

    Args:
        column_id: Id of the column.
        instance_ids: Ids of the instances in the column's failure domain.
        owner_count: Maximum number of owners of a column.

    Returns:
        At most `owner_count` instance ids.
    """
    ranked = sorted(
        instance_ids,
        key=lambda each: (rendezvous.rank(column_id, each), each),
        reverse=True,
    )
    return tuple(ranked[:owner_count])


def columns(
    service: catalog.Service, column_size_count: int
) -> tuple[Column, ...]:
    """Groups a service's upstreams into columns, in the order of its shards."""
    by_domain: dict[str, list[str]] = {}
    for shard in service.shards:
        for upstream_id in shard.upstream_ids:
            by_domain.setdefault(
                service.upstreams[upstream_id].failure_domain, []
            ).append(upstream_id)
    result = []
    for failure_domain, upstream_ids in sorted(by_domain.items()):
        for start in range(0, len(upstream_ids), column_size_count):
            result.append(
                Column(
                    column_id=f"{service.name}/{failure_domain}/{start}",
                    failure_domain=failure_domain,
                    upstream_ids=tuple(
                        upstream_ids[start : start + column_size_count]
                    ),
                )
            )
    return tuple(result)


def owner_count_of(upstream: catalog.Upstream, owner_count: int) -> int:
    """Returns the number of owners, limited by slots and connections."""
    return max(
        1,
        min(owner_count, upstream.slot_count, upstream.connection_limit_count),
    )


def share_of(upstream: catalog.Upstream, owner_count: int) -> Share:
    """Returns one owner's share; all shares together stay within limits."""
    share_count = owner_count_of(upstream, owner_count)
    return Share(
        slot_count=upstream.slot_count // share_count,
        connection_count=upstream.connection_limit_count // share_count,
    )


def may_use_shares(
    first_seen_by_others_ms: float, lag_ms: float, now_ms: float
) -> bool:
    """Returns whether an instance was visible long enough to use shares."""
    return now_ms - first_seen_by_others_ms > lag_ms
