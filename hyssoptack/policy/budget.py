"""The extra-load budget of a service: one bucket for every cause.

First calls earn tokens at the profile's ceiling ratio; each extra call spends
one. Since every cause draws on the same bucket, an outage cannot multiply load
(Dean and Barroso, "The Tail at Scale", section "Within Request Short-Term
Adaptations").
"""

import dataclasses

BURST_COUNT = 20.0
"""Most tokens that a quiet time can save up."""

INITIAL_COUNT = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Budget:
    """Tokens for extra calls, and the totals that the burn report reads."""

    token_count: float = INITIAL_COUNT
    first_call_count: int = 0
    extra_call_count: int = 0


def earn(
    budget: Budget,
    ceiling_ratio: float,
    call_count: int,
    burst_count: float = BURST_COUNT,
) -> Budget:
    """Returns the budget after first calls were made."""
    tokens = min(burst_count, budget.token_count + ceiling_ratio * call_count)
    return dataclasses.replace(
        budget,
        token_count=tokens,
        first_call_count=budget.first_call_count + call_count,
    )


def try_spend(
    budget: Budget, reserve_count: float = 0.0
) -> tuple[Budget, bool]:
    """Tries to pay for one extra call.

    Args:
        budget: The budget before.
        reserve_count: Tokens that must be left; hedges leave some for retries.

    Returns:
        The budget afterwards, and whether the call may go.
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
    """The budgets of all services on one instance."""

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
        """Books first calls."""
        self._budgets[service] = earn(
            self.for_service(service),
            ceiling_ratio,
            call_count,
            self.burst_count,
        )

    def try_spend(self, service: str, reserve_count: float = 0.0) -> bool:
        """Books one extra call if it can be paid for; tells whether so."""
        self._budgets[service], allowed = try_spend(
            self.for_service(service), reserve_count
        )
        return allowed
