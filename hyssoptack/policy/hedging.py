"""When to send a second call for a shard: the product's way, and baselines."""

import dataclasses
import math

MIN_DELAY_MS = 1.0
"""No hedge sooner: timers fire that late."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class HedgeAfterQuantile:
    """Hedge calls slower than the profile's quantile, within budget."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class HedgeAfterDelay:
    """Hedge after a fixed delay without a budget: a baseline."""

    delay_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoHedge:
    """Never hedge: a baseline for measurements."""


HedgePolicy = HedgeAfterQuantile | HedgeAfterDelay | NoHedge


def delay_ms(hedges: HedgePolicy, quantile_ms: float | None) -> float:
    """Returns how long a call is waited for before it is hedged.

    Args:
        hedges: The policy.
        quantile_ms: The profile's quantile of recent calls; None with too few.
    """
    match hedges:
        case HedgeAfterQuantile():
            if quantile_ms is None:
                return math.inf
            return max(MIN_DELAY_MS, quantile_ms)
        case HedgeAfterDelay(delay_ms=fixed_ms):
            return fixed_ms
        case NoHedge():
            return math.inf
