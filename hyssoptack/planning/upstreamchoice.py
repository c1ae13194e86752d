"""Chooses the upstreams for first calls and retries of a request's parts."""

from hyssoptack.core import traffic
from hyssoptack.planning import attempts
from hyssoptack.planning import callcommand
from hyssoptack.planning import callpart
from hyssoptack.planning import callresult
from hyssoptack.planning import extracalls
from hyssoptack.planning import plancontext
from hyssoptack.planning import shutdown
from hyssoptack.planning import timelimit
from hyssoptack.quarantine import probeguard

MAX_RESEND_COUNT = 2
"""Largest number of calls per part to upstreams that shed the request before:
one for each of the two upstreams that the users' routes allow."""


class UpstreamChoice:
    """Chooses upstreams for the calls of one request."""

    def __init__(
        self,
        request: callcommand.PlanRequest,
        context: plancontext.PlanContext,
        probe_guard: probeguard.ProbeGuard,
        request_attempts: attempts.Attempts,
        time_limit: timelimit.TimeLimit,
    ):
        self._request = request
        self._attempts = request_attempts
        self._probe_guard = probe_guard
        self._time_limit = time_limit
        self._context = context
        self._preferred_domains: dict[str, str] = {}
        if len(request.services) > 1 and context.mechanisms.relaying:
            self._preferred_domains = context.load_balancer.preferred_domains(
                request.services
            )

    def first_upstream(
        self, part: callpart.Part, now_ms: float
    ) -> traffic.Upstream | None:
        """Returns the upstream of a part's first call; None if none is allowed.

        If another instance already started the request, the call needs an
        attempt and a token of the extra-call budget.
        """
        upstream = self.untried_upstream(part, now_ms)
        if upstream is None or not self._request.may_have_run:
            return upstream
        if self._attempts.limit_count < 1:
            part.last_reason = "no_attempts_left"
            return None
        if not self._context.extra_call_budget.try_spend(part.service, now_ms):
            part.last_reason = extracalls.NO_BUDGET
            return None
        return upstream

    def untried_upstream(
        self, part: callpart.Part, now_ms: float
    ) -> traffic.Upstream | None:
        """Returns the best upstream not yet tried for a part."""
        if self._is_too_late(part, now_ms):
            return None
        partitioned = self._context.partition_detector.is_partitioned
        upstream = self._context.load_balancer.choose(
            self._request.route.name,
            part.service,
            frozenset(part.tried_upstream_ids),
            now_ms,
            local_domain_only=partitioned,
            preferred_domain=self._preferred_domains.get(part.service, ""),
            # If the request crashes the upstream, as few other requests as
            # possible should be lost with it.
            prefer_idle=self._probe_guard.is_probing,
            priority=self._request.priority,
        )
        if partitioned and upstream is None:
            part.last_reason = callresult.PARTITIONED
        return upstream

    def retry_upstream(
        self, part: callpart.Part, now_ms: float
    ) -> traffic.Upstream | None:
        """Returns the upstream for a retry of a part; None if none is allowed.

        If there is no untried upstream, or the attempt limit is reached, an
        upstream that shed the request is called again, since it has not run
        the request.
        """
        if self._is_too_late(part, now_ms):
            return None
        if len(part.reached_upstream_ids) < self._attempts.limit_count:
            other = self.untried_upstream(part, now_ms)
            if other is not None:
                return other
        if not part.shed_upstream_ids or part.resend_count >= MAX_RESEND_COUNT:
            return None
        if not self._context.mechanisms.resends:
            return None
        part.resend_count += 1
        return self._context.load_balancer.usable_upstream(
            part.shed_upstream_ids.pop(0), self._request.priority, now_ms
        )

    def _is_too_late(self, part: callpart.Part, now_ms: float) -> bool:
        """Returns whether this process ends too soon to call an upstream.

        If so, the part gets that as its reason.
        """
        if self._time_limit.allows_call(now_ms):
            return False
        part.last_reason = shutdown.STOPPING
        return True

    def is_cross_domain_only(self, part: callpart.Part) -> bool:
        """Returns whether no upstream of a part is in the local domain.

        Always false for a request with one part and while relaying is disabled.
        """
        return part.service in self._preferred_domains

    def is_cross_domain(self, upstream: traffic.Upstream) -> bool:
        """Returns whether an upstream is in another failure domain."""
        own = self._context.load_balancer.settings.failure_domain
        return upstream.failure_domain != own
