"""What the outcome of a call shows of its upstream."""

from hyssoptack.policy import callcommand
from hyssoptack.policy import callresult
from hyssoptack.policy import placing

NO_FAULT_REASONS = callresult.GATHERERS_FAULTS | {
    callresult.CRASHES_UPSTREAMS,
    callresult.CUT_OFF,
    callresult.NOT_LISTED_THERE,
}
"""Seen where the upstream itself was not: nothing is learned of it."""


def learn(
    known: placing.Placing,
    route_name: str,
    upstream_id: str,
    sent_ms: float,
    outcome: callcommand.Outcome,
    now_ms: float,
) -> None:
    """Takes the outcome of a call.

    Args:
        known: What is known of the upstreams.
        route_name: The request's route.
        upstream_id: Whom it went to.
        sent_ms: When it was decided on.
        outcome: What became of it.
        now_ms: The time now.
    """
    if outcome.reason in NO_FAULT_REASONS:
        return
    match outcome.kind:
        case callcommand.Kind.ANSWERED:
            elapsed_ms = now_ms - sent_ms
            known.answered(route_name, upstream_id, elapsed_ms, now_ms)
        case callcommand.Kind.SHED:
            known.shed(upstream_id, now_ms)
        case callcommand.Kind.NOT_RUN if not outcome.reached:
            known.unreachable(upstream_id, now_ms)
        case callcommand.Kind.NOT_RUN | callcommand.Kind.FAILED:
            known.failed(upstream_id, now_ms)
