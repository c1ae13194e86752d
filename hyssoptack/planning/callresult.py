"""Builds a request's result from the state of its parts."""

from hyssoptack.planning import callcommand
from hyssoptack.planning import callpart

DEADLINE = "deadline"
"""Reason for a request that its caller or its route gives no more time."""

PARTITIONED = "failure_domain_cut_off"
"""Reason for a part or call that cannot reach an upstream in another failure
domain during a network partition."""

GATHERER_LOST = "gatherer_lost"
"""Reason for a call whose outcome is unknown: the instance that made it is
gone or does not respond."""

GATHERER_DECLINED = "gatherer_declined"
"""Reason for a call that was not made: the instance that was to make it
declined to make calls for others."""

GATHERER_FAULTS = frozenset((GATHERER_LOST, GATHERER_DECLINED))
"""Reasons for which this instance may call the upstream itself: the fault lies
with the gatherer, the instance that makes calls for others."""

CRASHES_UPSTREAMS = "crashes_upstreams"
"""Reason for a request that this instance or its gatherer rejects: upstreams
exited each time that it ran (`quarantine.quarantine`)."""

NOT_LISTED_AT_GATHERER = "not_listed_there"
"""Reason for a call that was not made: the gatherer does not know the upstream,
or knows that it is draining."""


def request_result(
    parts: callpart.Parts,
    *,
    meets_floor: bool,
    limit_reason: str,
    may_have_run: bool,
) -> callcommand.Result:
    """Returns the result of a request.

    Args:
        parts: The parts of the request.
        meets_floor: Whether the answered parts reach the coverage floor.
        limit_reason: Why the request ends before all its parts have; empty if
            they have ended.
        may_have_run: Whether any part ran or may still run.
    """
    if meets_floor:
        replies = tuple(
            part.reply for part in parts.all if part.reply is not None
        )
        return callcommand.Answer(replies=replies, part_count=len(parts.all))
    unanswered = [part for part in parts.all if part.reply is None]
    lost = [part for part in unanswered if part.abandoned]
    worst = (lost or unanswered)[0]
    reason = limit_reason or worst.last_reason
    if may_have_run:
        reply = worst.failure if len(parts.all) == 1 else None
        return callcommand.Fail(
            reason=reason, timed_out=bool(limit_reason), reply=reply
        )
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
