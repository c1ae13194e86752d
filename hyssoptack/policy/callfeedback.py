"""What the outcome of a call shows of its upstream."""

from hyssoptack.policy import callcommand
from hyssoptack.policy import callresult
from hyssoptack.policy import loadbalancer

NO_FAULT_REASONS = callresult.GATHERER_FAULTS | {
    callresult.CRASHES_UPSTREAMS,
    callresult.PARTITIONED,
    callresult.NOT_LISTED_AT_GATHERER,
}
"""Seen where the upstream itself was not: nothing is learned of it."""


def record_outcome(
    load_balancer: loadbalancer.LoadBalancer,
    route_name: str,
    upstream_id: str,
    sent_ms: float,
    outcome: callcommand.Outcome,
    now_ms: float,
) -> None:
    """Takes the outcome of a call.

    Args:
        load_balancer: What is known of the upstreams.
        route_name: The request's route.
        upstream_id: Whom it went to.
        sent_ms: When it was decided on.
        outcome: What became of it.
        now_ms: The time now.
    """
    if outcome.reason in NO_FAULT_REASONS:
        return
    match outcome.kind:
        case callcommand.OutcomeKind.ANSWERED:
            elapsed_ms = now_ms - sent_ms
            load_balancer.record_answer(
                route_name, upstream_id, elapsed_ms, now_ms
            )
        case callcommand.OutcomeKind.SHED:
            load_balancer.record_shed(upstream_id, now_ms)
        case callcommand.OutcomeKind.NOT_RUN if not outcome.reached:
            load_balancer.record_connect_failure(upstream_id, now_ms)
        case callcommand.OutcomeKind.NOT_RUN | callcommand.OutcomeKind.FAILED:
            load_balancer.record_failure(upstream_id, now_ms)
