"""Which instances may call which upstreams, and with what share.

Upstreams of one failure domain are grouped into columns; the owners of a column
are the instances that rank highest for it by rendezvous hashing (Thaler and
Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", section 4). Two
rules keep an upstream's limit when views differ:

- an instance ranks itself among all instances seen within the list's lag, live
  or gone;
- a new instance uses no share until it has been visible for longer than that
  lag.

Any two instances that use a share have then both been visible long enough for
each to rank the other, so at most `owner_count` of them rank themselves as
owners.
"""

import dataclasses

from hyssoptack.core import catalog
from hyssoptack.policy import rendezvous


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """What one owner may use of an upstream."""

    slot_count: int
    connection_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Column:
    """Upstreams of one service and failure domain that are owned together."""

    column_id: str
    failure_domain: str
    upstream_ids: tuple[str, ...]


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
    """Returns an upstream's owners: never more than slots or connections."""
    return max(
        1,
        min(owner_count, upstream.slot_count, upstream.connection_limit_count),
    )


def share_of(upstream: catalog.Upstream, owner_count: int) -> Share:
    """Returns an owner's share; all shares stay within the limits."""
    parts = owner_count_of(upstream, owner_count)
    return Share(
        slot_count=upstream.slot_count // parts,
        connection_count=upstream.connection_limit_count // parts,
    )


def may_use_shares(
    first_seen_by_others_ms: float, lag_ms: float, now_ms: float
) -> bool:
    """Tells whether an instance was visible long enough to use shares."""
    return now_ms - first_seen_by_others_ms > lag_ms
