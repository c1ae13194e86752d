"""When to send a second call for a shard: the product's way, and baselines."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class HedgeAfterQuantile:
    """Hedge calls slower than the profile's quantile, within budget."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class HedgeAfterDelay:
    """Hedge after a fixed delay without a budget: a baseline."""

    delay_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoHedge:
    """Never hedge: a baseline for the bench."""


Hedging = HedgeAfterQuantile | HedgeAfterDelay | NoHedge
