"""Policies for hedging calls to shards: the product's own, and baselines."""

import dataclasses
import math

from hyssoptack.budget import budget

MIN_DELAY_MS = 1.0
"""Shortest delay before a hedge: timers fire late by about this long."""

HEDGE_RESERVE_COUNT = 2.0
"""Tokens that hedges leave for retries."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class HedgeAfterQuantile:
    """Hedges calls slower than the profile's quantile, within the budget."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class HedgeAfterDelay:
    """Hedges after a fixed delay without a budget, as a baseline.

    Attributes:
        delay_ms: Delay before a call is hedged.
    """

    delay_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoHedge:
    """Never hedges, as a baseline for benchmarks."""


HedgePolicy = HedgeAfterQuantile | HedgeAfterDelay | NoHedge


def delay_ms(hedges: HedgePolicy, quantile_ms: float | None) -> float:
    """Returns the delay before a call is hedged, in ms; infinite for never.

    Args:
        hedges: The hedge policy.
        quantile_ms: The profile's quantile of recent call times; None with too
            few calls.
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


def try_spend(
    policy: HedgePolicy, budgets: budget.ServiceBudgets, service: str
) -> bool:
    """Spends budget for a hedge; returns whether the hedge is allowed."""
    match policy:
        case HedgeAfterQuantile():
            return budgets.try_spend(service, HEDGE_RESERVE_COUNT)
        case HedgeAfterDelay():
            return True
        case NoHedge():
            return False
