"""Admits the queries of an instance's callers, with one limiter per service."""

import dataclasses
import random

from hyssoptack.admission import limiter
from hyssoptack.core import clock
from hyssoptack.core import query
from hyssoptack.core import refusal
from hyssoptack.entry import loopstall
from hyssoptack.events import log
from hyssoptack.settings import instance


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmittedQuery:
    """A query in flight.

    Attributes:
        request: The query.
        started_ms: Time at which it was admitted.
        stalled_before_ms: Reading of the stall monitor at that time.
    """

    request: query.Query
    started_ms: float
    stalled_before_ms: float


class QueryAdmission:
    """Decides which queries run; used on the event loop only."""

    def __init__(
        self,
        settings: instance.FrontSettings,
        policy: limiter.Policy,
        stalls: loopstall.StallMonitor,
    ):
        self._settings = settings
        self._policy = policy
        self._stalls = stalls
        self._random = random.Random()
        self._limiters: dict[str, limiter.Limiter] = {}

    def limiters(self) -> dict[str, limiter.Limiter]:
        """Returns the limiters by service."""
        return self._limiters

    def limiter_of(self, service: str) -> limiter.Limiter:
        """Returns the limiter of a service."""
        if service not in self._limiters:
            self._limiters[service] = limiter.new_limiter(
                self._settings.max_query_count,
                self._settings.urgent_reserve_count,
            )
        return self._limiters[service]

    def refusal_of(
        self, request: query.Query, running_count: int
    ) -> refusal.Refusal | None:
        """Returns the refusal of a query, or None if it may run.

        Args:
            request: The query.
            running_count: Queries in flight of all services.
        """
        match self._policy:
            case limiter.AdmitAll():
                return None
            case limiter.Adaptive():
                return self._adaptive_refusal(request, running_count)

    def _adaptive_refusal(
        self, request: query.Query, running_count: int
    ) -> refusal.Refusal | None:
        current = self.limiter_of(request.service)
        now_ms = clock.now_ms()
        if running_count >= self._settings.max_query_count:
            decision: limiter.Decision = limiter.Overloaded(
                retry_after_ms=limiter.RETRY_MIN_MS
                + int(current.duration_ms * (1 + self._random.random()))
            )
        else:
            decision = limiter.decide(
                current, request, self._random.random(), now_ms
            )
        if not isinstance(decision, limiter.Admitted):
            self._limiters[request.service] = limiter.record_refusal(
                current, request.urgency, now_ms
            )
        match decision:
            case limiter.Admitted():
                return None
            case limiter.Overloaded(retry_after_ms=retry_after_ms):
                return refusal.Refusal(
                    reason=refusal.Reason.OVERLOADED,
                    ran=refusal.Ran.NO,
                    detail="too many queries are in flight for this service",
                    retry_after_ms=retry_after_ms,
                )
            case limiter.DeadlineTooShort(expected_ms=expected_ms):
                return refusal.Refusal(
                    reason=refusal.Reason.DEADLINE_TOO_SHORT,
                    ran=refusal.Ran.NO,
                    detail=f"answers take about {expected_ms:.0f} ms now",
                    retry_after_ms=int(expected_ms),
                )

    def begin(self, request: query.Query, now_ms: float) -> AdmittedQuery:
        """Counts a query that starts."""
        self._limiters[request.service] = limiter.begin_query(
            self.limiter_of(request.service), request.urgency
        )
        return AdmittedQuery(
            request=request,
            started_ms=now_ms,
            stalled_before_ms=self._stalls.total_ms,
        )

    def end(self, ended: AdmittedQuery, succeeded: bool, now_ms: float) -> None:
        """Adapts the limit after the end of a query.

        Args:
            ended: The query.
            succeeded: Whether it was answered and no upstream shed a call.
            now_ms: Current time in milliseconds.
        """
        request = ended.request
        elapsed_ms = now_ms - ended.started_ms
        stalled_ms = self._stalls.total_ms - ended.stalled_before_ms
        before = self._limiters[request.service]
        after = limiter.end_query(
            before,
            request.urgency,
            elapsed_ms,
            succeeded,
            request.deadline_ms,
            now_ms,
            stalled_ms,
        )
        self._limiters[request.service] = after
        if after.limit_count < before.limit_count:
            log.write(
                log.Event.LIMIT_CHANGED,
                name=request.service,
                reduced=True,
                before=round(before.limit_count, 2),
                limit=round(after.limit_count, 2),
                in_progress=before.in_progress_count,
                overload_ratio=round(after.overload_ratio, 2),
                succeeded=succeeded,
                elapsed_ms=round(elapsed_ms),
                deadline_ms=request.deadline_ms,
                stalled_ms=round(stalled_ms),
            )
