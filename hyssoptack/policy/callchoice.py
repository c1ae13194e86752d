"""Whom a part of a request is sent to, first and once more."""

from hyssoptack.core import traffic
from hyssoptack.policy import attempts
from hyssoptack.policy import callcommand
from hyssoptack.policy import callpart
from hyssoptack.policy import callresult
from hyssoptack.policy import caution
from hyssoptack.policy import knowing

RESEND_LIMIT_COUNT = 2
"""Calls to upstreams that refused before, for each part: one for each of the
two that the users' routes allow."""


class Choice:
    """The choices of one request."""

    def __init__(
        self,
        ask: callcommand.Ask,
        knowledge: knowing.Knowledge,
        care: caution.ProbeGuard,
        allowed: attempts.Attempts,
    ):
        self._ask = ask
        self._attempts = allowed
        self._care = care
        self._know = knowledge
        self._preferred: dict[str, str] = {}
        if len(ask.services) > 1 and knowledge.mechanisms.relaying:
            self._preferred = knowledge.placing.preferred(ask.services)

    def first(
        self, part: callpart.Part, now_ms: float
    ) -> traffic.Upstream | None:
        """Returns whom to send a part to at first; None if it may not be."""
        upstream = self.other(part, now_ms)
        if upstream is None or not self._ask.may_have_run:
            return upstream
        if self._attempts.limit_count < 1:
            part.last_reason = "no_attempts_left"
            return None
        if not self._know.extra_calls.spend(part.service, now_ms):
            part.last_reason = "no_retry_budget"
            return None
        return upstream

    def other(
        self, part: callpart.Part, now_ms: float
    ) -> traffic.Upstream | None:
        """Returns the best upstream that a part was not sent to yet."""
        cut = self._know.domains.is_partitioned
        upstream = self._know.placing.choose(
            self._ask.route.name,
            part.service,
            frozenset(part.tried),
            now_ms,
            near_only=cut,
            preferred_domain=self._preferred.get(part.service, ""),
            # What it may take along should be as little as can be.
            idle=self._care.is_probing,
            rank=self._ask.route.priority,
        )
        if cut and upstream is None:
            part.last_reason = callresult.CUT_OFF
        return upstream

    def next(
        self, part: callpart.Part, now_ms: float
    ) -> traffic.Upstream | None:
        """Returns whom to send a part to once more, if the route allows it.

        When there is no other, or it was sent to as many as may be, one that
        refused is asked again: it has not run the request.
        """
        if len(part.sent_to) < self._attempts.limit_count:
            other = self.other(part, now_ms)
            if other is not None:
                return other
        if not part.shed_by or part.resend_count >= RESEND_LIMIT_COUNT:
            return None
        if not self._know.mechanisms.resends:
            return None
        part.resend_count += 1
        return self._know.placing.usable(
            part.shed_by.pop(0), self._ask.route.priority, now_ms
        )

    def must_cross(self, part: callpart.Part) -> bool:
        """Whether the own failure domain has no upstream for a part."""
        return part.service in self._preferred

    def is_far(self, upstream: traffic.Upstream) -> bool:
        """Whether an upstream is in another failure domain."""
        own = self._know.placing.settings.failure_domain
        return upstream.failure_domain != own
