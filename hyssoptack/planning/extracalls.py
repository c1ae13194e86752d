"""Decides whether a request may make calls beyond the first of a part.

Such calls spend from the budget of extra calls. They are held back, which means
that they are not sent, while first calls of other requests wait for room.
"""

from hyssoptack.planning import callpart
from hyssoptack.planning import plancontext

HEDGE_RESERVE_COUNT = 1.0
"""Tokens that a hedge must leave in the budget for retries after failures and
for queries that would miss their coverage floor. A hedge that the floor depends
on may spend the last token: an answer that is late because of one part loses
nine tenths of its value, an answer without that part only a twentieth."""

NO_BUDGET = "no_retry_budget"
"""Reason of a part whose retry the budget does not allow."""

HELD_BACK = "retry_held_back"
"""Reason of a part whose retry was not sent because first calls wait."""


class ExtraCalls:
    """The hedges and retries of one request."""

    def __init__(
        self,
        context: plancontext.PlanContext,
        services: tuple[str, ...],
        parts: callpart.Parts,
    ):
        self._context = context
        self._services = services
        self._parts = parts

    @property
    def are_held_back(self) -> bool:
        """Whether first calls wait for the request's upstreams."""
        return self._context.holds_extra_calls(self._services)

    def try_hedge(self, part: callpart.Part, now_ms: float) -> bool:
        """Spends an extra call on a hedge; returns whether it may be sent."""
        reserve = 0.0 if self._parts.is_below_floor() else HEDGE_RESERVE_COUNT
        return self._context.extra_call_budget.try_spend(
            part.service, now_ms, reserve
        )

    def try_retry(
        self, part: callpart.Part, may_have_run: bool, now_ms: float
    ) -> bool:
        """Spends an extra call on a retry; returns whether it may be sent.

        A retry is not held back if the request would fail without it after
        parts of it have run: the work of these parts would be wasted.

        Args:
            part: The part to retry; gets the reason if it may not be sent.
            may_have_run: Whether any part of the request may have run.
            now_ms: Current time in milliseconds.
        """
        is_needed = may_have_run and not self._parts.can_reach_floor_without(
            part
        )
        if self.are_held_back and not is_needed:
            part.last_reason = HELD_BACK
            return False
        if self._context.extra_call_budget.try_spend(part.service, now_ms):
            return True
        part.last_reason = NO_BUDGET
        return False
