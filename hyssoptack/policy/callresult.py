"""Builds a request's result from the state of its parts."""

from hyssoptack.policy import callcommand
from hyssoptack.policy import callpart

PARTITIONED = "failure_domain_cut_off"
"""Reason: no upstream is reachable while the failure domain is partitioned."""

GATHERER_LOST = "gatherer_lost"
"""Reason: the instance that made the call is gone or does not respond."""

GATHERER_DECLINED = "gatherer_declined"
"""Reason: the instance that was to make the call declined to make any."""

GATHERER_FAULTS = frozenset((GATHERER_LOST, GATHERER_DECLINED))
"""Reasons that lie with the gatherer: this instance may call the upstream
itself."""

CRASHES_UPSTREAMS = "crashes_upstreams"
"""Reason: this instance or the relaying one rejected the request because
upstreams exited each time that it ran (`policy.quarantine`)."""

NOT_LISTED_AT_GATHERER = "not_listed_there"
"""Reason: the instance that was to make the call does not know the upstream, or
knows that it is draining."""


def request_result(
    parts: callpart.Parts,
    *,
    meets_floor: bool,
    timed_out: bool,
    may_have_run: bool,
) -> callcommand.Result:
    """Returns the result of a request.

    Args:
        parts: The parts of the request.
        meets_floor: Whether the answered parts reach the coverage floor.
        timed_out: Whether the request reached its deadline.
        may_have_run: Whether any part ran or may still run.
    """
    if meets_floor:
        replies = tuple(
            part.reply for part in parts.all if part.reply is not None
        )
        return callcommand.Answer(replies=replies, part_count=len(parts.all))
    unanswered = [part for part in parts.all if part.reply is None]
    lost = [part for part in unanswered if part.lost]
    worst = (lost or unanswered)[0]
    reason = "deadline" if timed_out else worst.last_reason
    if may_have_run:
        reply = worst.failure if len(parts.all) == 1 else None
        return callcommand.Fail(reason=reason, timed_out=timed_out, reply=reply)
    return callcommand.Refuse(reason=reason)


def partition_outcome(call: callpart.Call) -> callcommand.Outcome:
    """Returns the outcome of a call that a partition has cut off."""
    kind = (
        callcommand.OutcomeKind.FAILED
        if call.is_sent
        else callcommand.OutcomeKind.NOT_RUN
    )
    return callcommand.Outcome(
        kind=kind, reason=PARTITIONED, reached=call.is_sent
    )
