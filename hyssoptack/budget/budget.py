"""The extra-load budget of a service: one token bucket for all extra calls.

First calls earn tokens at the profile's ceiling ratio; each extra call spends
one token. Retries, hedges and other extra calls share one bucket, so an outage
cannot multiply the load (Dean and Barroso, "The Tail at Scale", section "Within
Request Short-Term Adaptations").
"""

import dataclasses

BURST_COUNT = 20.0
"""Capacity of the bucket: the most tokens that can accumulate."""

INITIAL_COUNT = 5.0
"""Tokens in a new bucket."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Budget:
    """Tokens for extra calls, and the totals of the calls made so far.

    Attributes:
        token_count: Tokens in the bucket.
        first_call_count: Number of first calls made so far.
        extra_call_count: Number of extra calls made so far.
    """

    token_count: float = INITIAL_COUNT
    first_call_count: int = 0
    extra_call_count: int = 0


def earn(
    budget: Budget,
    ceiling_ratio: float,
    call_count: int,
    burst_count: float = BURST_COUNT,
) -> Budget:
    """Returns the budget with the tokens that first calls earned."""
    tokens = min(burst_count, budget.token_count + ceiling_ratio * call_count)
    return dataclasses.replace(
        budget,
        token_count=tokens,
        first_call_count=budget.first_call_count + call_count,
    )


def try_spend(
    budget: Budget, reserve_count: float = 0.0
) -> tuple[Budget, bool]:
    """Spends a token for one extra call if enough are left.

    Args:
        budget: The budget to spend from.
        reserve_count: Tokens that must remain; hedges leave some for
            retries.

    Returns:
        The updated budget, and whether the call is allowed.
    """
    if budget.token_count < 1.0 + reserve_count:
        return budget, False
    after = dataclasses.replace(
        budget,
        token_count=budget.token_count - 1.0,
        extra_call_count=budget.extra_call_count + 1,
    )
    return after, True


class ServiceBudgets:
    """The budgets of all services on one instance.

    Attributes:
        burst_count: Capacity of each service's bucket in tokens.
    """

    def __init__(
        self,
        burst_count: float = BURST_COUNT,
        initial_count: float = INITIAL_COUNT,
    ) -> None:
        self.burst_count = burst_count
        self._initial = Budget(token_count=initial_count)
        self._budgets: dict[str, Budget] = {}

    def for_service(self, service: str) -> Budget:
        """Returns a service's budget."""
        return self._budgets.get(service, self._initial)

    def earn(self, service: str, ceiling_ratio: float, call_count: int) -> None:
        """Records first calls and adds the tokens that they earn."""
        self._budgets[service] = earn(
            self.for_service(service),
            ceiling_ratio,
            call_count,
            self.burst_count,
        )

    def try_spend(self, service: str, reserve_count: float = 0.0) -> bool:
        """Spends a token for one extra call; returns whether it is allowed."""
        self._budgets[service], allowed = try_spend(
            self.for_service(service), reserve_count
        )
        return allowed
