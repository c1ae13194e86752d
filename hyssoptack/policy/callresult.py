"""How a request ends, from the state of its parts."""

from hyssoptack.policy import callcommand
from hyssoptack.policy import callpart

PARTITIONED = "failure_domain_cut_off"
"""Why a part has nobody to be sent to while its failure domain is cut off."""

GATHERER_LOST = "gatherer_lost"
"""Why a call has no outcome: the instance that made it is gone, or silent."""

GATHERER_DECLINED = "gatherer_declined"
"""Why a call was not made: the instance that was to make it makes none."""

GATHERER_FAULTS = frozenset((GATHERER_LOST, GATHERER_DECLINED))
"""Then the upstream itself may be called from here."""

CRASHES_UPSTREAMS = "crashes_upstreams"
"""Why a request is refused, here or by the instance that was to call for it:
upstreams ended each time that it ran (`policy.quarantine`)."""

NOT_LISTED_AT_GATHERER = "not_listed_there"
"""Why a call was not made: the instance that was to make it knows no such
upstream, or knows that it leaves."""


def request_result(
    parts: callpart.Parts,
    *,
    meets_floor: bool,
    timed_out: bool,
    may_have_run: bool,
) -> callcommand.Result:
    """Returns a request's end.

    Args:
        parts: What became of its parts.
        meets_floor: Whether those that are in make an answer.
        timed_out: Whether its time is over.
        may_have_run: Whether any of it ran, or may still run.
    """
    if meets_floor:
        replies = tuple(
            part.reply for part in parts.all if part.reply is not None
        )
        return callcommand.Answer(replies=replies, part_count=len(parts.all))
    unanswered = [part for part in parts.all if part.reply is None]
    lost = [part for part in unanswered if part.abandoned]
    worst = (lost or unanswered)[0]
    reason = "deadline" if timed_out else worst.last_reason
    if may_have_run:
        reply = worst.failure if len(parts.all) == 1 else None
        return callcommand.Fail(reason=reason, timed_out=timed_out, reply=reply)
    return callcommand.Refuse(reason=reason)


def partition_outcome(call: callpart.Call) -> callcommand.Outcome:
    """Returns the outcome of a call that a cut has swallowed."""
    kind = (
        callcommand.OutcomeKind.FAILED
        if call.is_sent
        else callcommand.OutcomeKind.NOT_RUN
    )
    return callcommand.Outcome(
        kind=kind, reason=PARTITIONED, reached=call.is_sent
    )
