"""How far one shard of a query is: its calls, and the lanes it has used."""

import dataclasses

from hyssoptack.core import catalog
from hyssoptack.policy import routing

MISSING_SHOWN_COUNT = 12
"""Shards that a refusal names at the most: one line of text."""


@dataclasses.dataclass(kw_only=True)
class Call:
    """One call in flight."""

    path: routing.RelayPath
    sent_ms: float


@dataclasses.dataclass(kw_only=True)
class ShardState:
    """How far one shard of the query is."""

    shard: catalog.Shard
    calls: dict[int, Call] = dataclasses.field(default_factory=dict)
    tried_paths: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    failed_upstream_ids: set[str] = dataclasses.field(default_factory=set)
    reroute_count: int = 0
    hedged: bool = False
    answered: bool = False
    abandoned: bool = False
    last_status: str = "unreachable"

    def status_text(self) -> str:
        """Says how its last call ended, for refusals."""
        waited = ",".join(call.path.upstream_id for call in self.calls.values())
        return f"waits-for-{waited}" if waited else self.last_status

    def is_open(self) -> bool:
        """Tells whether the shard still waits for an answer."""
        return not self.answered and not self.abandoned

    def key_count(self) -> int:
        """Returns how many keys the shard has."""
        return self.shard.key_range.high - self.shard.key_range.low


def missing_shards_text(states: list[ShardState]) -> str:
    """Names some shards without an answer, and what their calls met."""
    missing = [
        f"{state.shard.shard_id} {state.status_text()}"
        for state in states
        if not state.answered
    ]
    return "missing: " + ", ".join(missing[:MISSING_SHOWN_COUNT])
