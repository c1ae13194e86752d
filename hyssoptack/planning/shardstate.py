"""Progress of one shard of a query: its calls and the paths tried."""

import dataclasses

from hyssoptack.balancing import routing
from hyssoptack.core import catalog
from hyssoptack.core import keyspace

MISSING_SHOWN_COUNT = 12
"""Largest number of shards that a refusal lists, so that its text fits on one
line."""


@dataclasses.dataclass(kw_only=True)
class Call:
    """One call in flight."""

    path: routing.RelayPath
    sent_ms: float


@dataclasses.dataclass(kw_only=True)
class ShardState:
    """Progress of one shard of a query.

    Attributes:
        shard: The shard.
        calls: Calls in flight, by call id.
        tried_paths: Paths already used, as (upstream id, instance id).
        failed_upstream_ids: Upstreams that failed or lack the version.
        reroute_count: Calls that were rerouted without reaching an upstream.
        hedged: Whether a hedge was sent or considered.
        answered: Whether an answer was merged.
        abandoned: Whether the shard gets no further calls.
        last_status: Status of the last reply; "unreachable" before any.
        lacked_version: Whether the last call ended because its upstream does
            not hold the query's index version.
    """

    shard: catalog.Shard
    calls: dict[int, Call] = dataclasses.field(default_factory=dict)
    tried_paths: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    failed_upstream_ids: set[str] = dataclasses.field(default_factory=set)
    reroute_count: int = 0
    hedged: bool = False
    answered: bool = False
    abandoned: bool = False
    last_status: str = "unreachable"
    lacked_version: bool = False

    def status_text(self) -> str:
        """Returns the upstreams called now, or else the last call's status."""
        upstream_ids = ",".join(
            call.path.upstream_id for call in self.calls.values()
        )
        return f"waits-for-{upstream_ids}" if upstream_ids else self.last_status

    def is_open(self) -> bool:
        """Returns whether the shard is neither answered nor abandoned."""
        return not self.answered and not self.abandoned

    def key_count(self) -> int:
        """Returns the number of keys in the shard's range."""
        return self.shard.key_range.high - self.shard.key_range.low


def missing_shards_text(states: list[ShardState]) -> str:
    """Lists the first shards without an answer, each with its status.

    At most `MISSING_SHOWN_COUNT` shards are listed.
    """
    missing = [
        f"{state.shard.shard_id} {state.status_text()}"
        for state in states
        if not state.answered
    ]
    return "missing: " + ", ".join(missing[:MISSING_SHOWN_COUNT])


def overlapping(
    shards: tuple[catalog.Shard, ...], ranges: tuple[keyspace.KeyRange, ...]
) -> list[catalog.Shard]:
    """Returns the shards that hold keys of some ranges."""
    return [
        shard
        for shard in shards
        if any(
            each.low < shard.key_range.high and shard.key_range.low < each.high
            for each in ranges
        )
    ]
