"""Whom a part of a request is sent to, first and once more."""

from hyssoptack.core import traffic
from hyssoptack.policy import attempts
from hyssoptack.policy import callcommand
from hyssoptack.policy import callpart
from hyssoptack.policy import callresult
from hyssoptack.policy import plancontext
from hyssoptack.policy import probeguard

MAX_RESEND_COUNT = 2
"""Calls to upstreams that refused before, for each part: one for each of the
two that the users' routes allow."""


class UpstreamChoice:
    """The choices of one request."""

    def __init__(
        self,
        ask: callcommand.PlanRequest,
        knowledge: plancontext.PlanContext,
        care: probeguard.ProbeGuard,
        allowed: attempts.Attempts,
    ):
        self._ask = ask
        self._attempts = allowed
        self._care = care
        self._know = knowledge
        self._preferred: dict[str, str] = {}
        if len(ask.services) > 1 and knowledge.mechanisms.relaying:
            self._preferred = knowledge.load_balancer.preferred_domains(
                ask.services
            )

    def first_upstream(
        self, part: callpart.Part, now_ms: float
    ) -> traffic.Upstream | None:
        """Returns whom to send a part to at first; None if it may not be."""
        upstream = self.untried_upstream(part, now_ms)
        if upstream is None or not self._ask.may_have_run:
            return upstream
        if self._attempts.limit_count < 1:
            part.last_reason = "no_attempts_left"
            return None
        if not self._know.extra_call_budget.try_spend(part.service, now_ms):
            part.last_reason = "no_retry_budget"
            return None
        return upstream

    def untried_upstream(
        self, part: callpart.Part, now_ms: float
    ) -> traffic.Upstream | None:
        """Returns the best upstream that a part was not sent to yet."""
        cut = self._know.partition_detector.is_partitioned
        upstream = self._know.load_balancer.choose(
            self._ask.route.name,
            part.service,
            frozenset(part.tried_upstream_ids),
            now_ms,
            own_domain_only=cut,
            preferred_domain=self._preferred.get(part.service, ""),
            # What it may take along should be as little as can be.
            prefer_idle=self._care.is_probing,
            priority=self._ask.route.priority,
        )
        if cut and upstream is None:
            part.last_reason = callresult.PARTITIONED
        return upstream

    def retry_upstream(
        self, part: callpart.Part, now_ms: float
    ) -> traffic.Upstream | None:
        """Returns whom to send a part to once more, if the route allows it.

        When there is no other, or it was sent to as many as may be, one that
        refused is asked again: it has not run the request.
        """
        if len(part.reached_upstream_ids) < self._attempts.limit_count:
            other = self.untried_upstream(part, now_ms)
            if other is not None:
                return other
        if not part.shed_upstream_ids or part.resend_count >= MAX_RESEND_COUNT:
            return None
        if not self._know.mechanisms.resends:
            return None
        part.resend_count += 1
        return self._know.load_balancer.usable_upstream(
            part.shed_upstream_ids.pop(0), self._ask.route.priority, now_ms
        )

    def is_cross_domain_only(self, part: callpart.Part) -> bool:
        """Whether the own failure domain has no upstream for a part."""
        return part.service in self._preferred

    def is_cross_domain(self, upstream: traffic.Upstream) -> bool:
        """Whether an upstream is in another failure domain."""
        own = self._know.load_balancer.settings.failure_domain
        return upstream.failure_domain != own
