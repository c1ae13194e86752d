"""Obtains permits for callers' requests, and returns those not used."""

import collections.abc
import dataclasses
import http

from hyssoptack.events import log
from hyssoptack.gateway import inbound
from hyssoptack.gateway import permitdecision
from hyssoptack.gateway import ratelimitcheck
from hyssoptack.gateway import ratelimiter
from hyssoptack.http1 import message
from hyssoptack.platform import headers

OVER_LIMIT = "rate_limit"
"""Reason of a refusal because the team is over its limit."""

UNDECIDED = "rate_limit_unknown"
"""Reason of a refusal because no owner of the team's bucket answered."""

Serve = collections.abc.Callable[[inbound.RoutedRequest], None]
"""Serves a request."""

Refuse = collections.abc.Callable[
    [inbound.RoutedRequest, int, str, float], None
]
"""Refuses a request with a status, a reason and a retry delay in ms."""


class PermittedExchange:
    """The exchange of a request that holds a permit.

    The permit is returned when the answer says that the request has not run.
    """

    def __init__(
        self,
        exchange: inbound.Exchange,
        return_permit: collections.abc.Callable[[], None],
    ):
        """Creates the exchange.

        Args:
            exchange: The exchange with the caller.
            return_permit: Returns the permit.
        """
        self._exchange = exchange
        self._return_permit = return_permit
        self._answered = False

    @property
    def request(self) -> message.Request:
        """The request."""
        return self._exchange.request

    @property
    def on_abandoned(self) -> collections.abc.Callable[[], None] | None:
        """Called when the caller no longer waits for the answer."""
        return self._exchange.on_abandoned

    @on_abandoned.setter
    def on_abandoned(
        self, function: collections.abc.Callable[[], None] | None
    ) -> None:
        self._exchange.on_abandoned = function

    def answer(self, reply: message.Reply) -> None:
        """Sends the answer to the caller."""
        if not self._answered and reply.status in headers.NOT_RUN_STATUSES:
            self._return_permit()
        self._answered = True
        self._exchange.answer(reply)


class RequestPermits:
    """Lets the requests of limited teams wait for their permits."""

    def __init__(
        self,
        limiter: ratelimiter.RateLimiter,
        serve: Serve,
        refuse: Refuse,
    ):
        """Creates the permits of one instance's requests.

        Args:
            limiter: Decides on requests.
            serve: Serves a request that holds a permit.
            refuse: Answers a request that is refused.
        """
        self._limiter = limiter
        self._serve = serve
        self._refuse = refuse

    def serve(self, request: inbound.RoutedRequest) -> None:
        """Serves or refuses a request whose caller is identified."""
        team = request.team
        if team is None or ratelimitcheck.enforced(team.rate_limit) is None:
            self._serve(request)
            return
        exchange = request.exchange
        has_left = False

        def on_abandoned() -> None:
            nonlocal has_left
            has_left = True

        def on_decision(decision: permitdecision.Decision) -> None:
            if not has_left:
                exchange.on_abandoned = None
                self._on_decision(request, decision)
            elif isinstance(decision, permitdecision.Permitted):
                self._limiter.refund(team)

        exchange.on_abandoned = on_abandoned
        self._limiter.acquire(team, on_decision)

    def _on_decision(
        self,
        request: inbound.RoutedRequest,
        decision: permitdecision.Decision,
    ) -> None:
        team = request.team
        match decision:
            case permitdecision.Permitted():
                exchange = PermittedExchange(
                    request.exchange, lambda: self._limiter.refund(team)
                )
                permitted = dataclasses.replace(request, exchange=exchange)
                self._serve(permitted)
            case permitdecision.OverLimit(
                retry_after_ms=retry_after_ms, owner_id=owner_id
            ):
                self._limiter.report.refusals.add(team.name, "over_limit")
                log.write(
                    log.Event.RATE_LIMITED,
                    request_id=request.request_id,
                    team=team.name,
                    owner_id=owner_id,
                    retry_after_ms=round(retry_after_ms),
                    version=request.version,
                )
                status = http.HTTPStatus.TOO_MANY_REQUESTS
                self._refuse(request, status, OVER_LIMIT, retry_after_ms)
            case permitdecision.Undecided(retry_after_ms=retry_after_ms):
                self._limiter.report.refusals.add(team.name, "undecided")
                status = http.HTTPStatus.SERVICE_UNAVAILABLE
                self._refuse(request, status, UNDECIDED, retry_after_ms)
