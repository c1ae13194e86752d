"""Refuses requests of callers that no upstream has run."""

import http
import random

from hyssoptack.core import clock
from hyssoptack.events import log
from hyssoptack.gateway import inbound
from hyssoptack.gateway import metrics
from hyssoptack.gateway import replicatedview
from hyssoptack.http1 import message
from hyssoptack.planning import plancontext
from hyssoptack.planning import retrydelay
from hyssoptack.platform import headers

VIEW_OUTDATED = "view_outdated"
"""Reason of a request whose deadline passed before the view was current."""


class Refusals:
    """Answers refused requests, with the delay after which to retry."""

    def __init__(
        self,
        view: replicatedview.ReplicatedView,
        plan_context: plancontext.PlanContext,
        collectors: metrics.Metrics,
    ):
        self._view = view
        self._plan_context = plan_context
        self._metrics = collectors
        self._random = random.Random()

    def refuse(
        self,
        exchange: inbound.Exchange,
        metadata: headers.RequestMetadata,
        status: int,
        reason: str,
    ) -> None:
        """Refuses a request before its caller is identified."""
        match status:
            case http.HTTPStatus.SERVICE_UNAVAILABLE:
                wait_ms = self.retry_delay_ms(reason)
                reply = message.problem_reply(status, reason, wait_ms)
            case http.HTTPStatus.UNAUTHORIZED:
                reply = headers.unauthorized_reply(reason)
            case _:
                reply = message.problem_reply(status, reason)
        self._answer(exchange, metadata, reply, reason)

    def refuse_limited(
        self,
        request: inbound.RoutedRequest,
        status: int,
        reason: str,
        retry_after_ms: float,
    ) -> None:
        """Refuses a request because of its team's rate limit."""
        self._answer(
            request.exchange,
            request.metadata,
            message.problem_reply(status, reason, retry_after_ms),
            reason,
            request.team_name,
        )

    def record_caller_left(
        self, exchange: inbound.Exchange, metadata: headers.RequestMetadata
    ) -> None:
        """Records that the caller of a request left before it was routed."""
        self._record(exchange, metadata, 0, "caller_left")

    def _answer(
        self,
        exchange: inbound.Exchange,
        metadata: headers.RequestMetadata,
        reply: message.Reply,
        reason: str,
        team_name: str = "",
    ) -> None:
        exchange.answer(reply)
        self._record(exchange, metadata, reply.status, reason, team_name)

    def _record(
        self,
        exchange: inbound.Exchange,
        metadata: headers.RequestMetadata,
        status: int,
        reason: str,
        team_name: str = "",
    ) -> None:
        self._metrics.requests.inc({"route": "", "status": str(status)})
        log.write(
            log.Event.REQUEST_ENDED,
            request_id=metadata.request_id.decode("latin-1"),
            host=metadata.host,
            path=exchange.request.path.decode("latin-1"),
            status=status,
            reason=reason,
            version=self._view.version,
            **inbound.team_fields(team_name),
        )

    def refuse_admission(
        self,
        request: inbound.RoutedRequest,
        reason: str,
        retry_after_ms: float,
    ) -> None:
        """Refuses a request for which no call was sent."""
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        self._metrics.requests.inc(
            {"route": request.route_match.route.name, "status": str(status)}
        )
        request.exchange.answer(
            message.problem_reply(status, reason, retry_after_ms)
        )

    def retry_delay_ms(self, reason: str) -> float:
        """Returns how long a refused caller should wait before it retries."""
        if not self._plan_context.mechanisms.comeback_by_cause:
            return retrydelay.OVERLOADED_RETRY_MS
        detector = self._plan_context.partition_detector
        partitioned_for_ms = clock.now_ms() - detector.partitioned_since_ms
        refusal = retrydelay.RefusalContext(
            cause=retrydelay.cause_of(reason),
            partitioned_for_ms=partitioned_for_ms
            if detector.is_partitioned
            else 0.0,
        )
        return retrydelay.retry_delay_ms(refusal, self._random)
