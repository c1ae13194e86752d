"""Log lines and counts of requests in progress and of their calls."""

from hyssoptack.events import log
from hyssoptack.gateway import calltrace
from hyssoptack.gateway import inbound
from hyssoptack.gateway import metrics
from hyssoptack.planning import callcommand


def count_request(
    collectors: metrics.Metrics,
    route_name: str,
    status: int,
    took_ms: float,
    at_attempt_limit: bool,
) -> None:
    """Counts a request that has ended.

    Args:
        collectors: The metrics of this instance.
        route_name: Name of the request's route.
        status: Status of the answer; 0 if the caller has left.
        took_ms: Time since the request was received.
        at_attempt_limit: Whether a part of it used all of its attempts.
    """
    labels = {"route": route_name}
    collectors.requests.inc({**labels, "status": str(status)})
    collectors.request_ms.observe(labels, took_ms)
    if at_attempt_limit:
        collectors.requests_at_attempt_limit.inc(labels)


def log_extra_call(
    collectors: metrics.Metrics,
    request: inbound.RoutedRequest,
    command: callcommand.Send,
    after_ms: float,
) -> None:
    """Counts and logs an extra call.

    Args:
        collectors: The metrics of this instance.
        request: The request that the call is part of.
        command: The command that sends the call.
        after_ms: Time since the request was received.
    """
    collectors.extra_calls.inc(
        {"service": command.upstream.service, "why": command.extra_reason}
    )
    log.write(
        log.Event.CALL_EXTRA,
        request_id=request.metadata.request_id.decode("latin-1"),
        upstream=command.upstream.upstream_id,
        service=command.upstream.service,
        why=command.extra_reason,
        after_ms=round(after_ms),
    )


def log_unreachable(
    request: inbound.RoutedRequest,
    trace: calltrace.Trace,
    outcome: callcommand.Outcome,
) -> None:
    """Logs that a call has not reached its upstream."""
    log.write(
        log.Event.UPSTREAM_UNREACHABLE,
        request_id=request.metadata.request_id.decode("latin-1"),
        upstream=trace.upstream_id,
        reason=outcome.reason,
    )
