"""Reports the outcomes of calls to the load balancer."""

from hyssoptack.balancing import loadbalancer
from hyssoptack.planning import callcommand
from hyssoptack.planning import callresult

NO_FAULT_REASONS = callresult.GATHERER_FAULTS | {
    callresult.CRASHES_UPSTREAMS,
    callresult.PARTITIONED,
    callresult.NOT_LISTED_AT_GATHERER,
}
"""Reasons that say nothing about the upstream: they are not recorded for it."""


def record_outcome(
    load_balancer: loadbalancer.LoadBalancer,
    route_name: str,
    upstream_id: str,
    created_ms: float,
    outcome: callcommand.Outcome,
    now_ms: float,
) -> None:
    """Records the outcome of a call for its upstream.

    Args:
        load_balancer: The load balancer, which keeps the upstreams' state.
        route_name: Name of the request's route.
        upstream_id: The upstream that was called.
        created_ms: The time at which the call was created.
        outcome: The outcome of the call.
        now_ms: The current time.
    """
    if outcome.reason in NO_FAULT_REASONS:
        return
    match outcome.kind:
        case callcommand.OutcomeKind.ANSWERED:
            elapsed_ms = now_ms - created_ms
            load_balancer.record_answer(
                route_name, upstream_id, elapsed_ms, now_ms
            )
        case callcommand.OutcomeKind.SHED:
            load_balancer.record_shed(upstream_id, now_ms)
        case callcommand.OutcomeKind.NOT_RUN if not outcome.reached:
            load_balancer.record_connect_failure(upstream_id, now_ms)
        case callcommand.OutcomeKind.NOT_RUN | callcommand.OutcomeKind.FAILED:
            load_balancer.record_failure(upstream_id, now_ms)
