"""Which calls of a query are for instances of other failure domains."""

from hyssoptack.policy import callcommand
from hyssoptack.policy import callplan_test

SHARD_COUNT = 6


def _plan(*far_only):
    """A plan over shards with upstreams here and in the south.

    Args:
        *far_only: Shards that have none here.
    """
    upstreams = []
    for shard in range(SHARD_COUNT):
        service = f"s{shard}"
        if shard not in far_only:
            upstreams.append(callplan_test.upstream(f"n{shard}", service))
        upstreams += [
            callplan_test.upstream(f"f{shard}-{copy}", service, zone="south")
            for copy in range(2)
        ]
    know = callplan_test.plan_context(*upstreams)
    return callplan_test.plan(know, callplan_test.shards(SHARD_COUNT, 0.8))


def test_calls_that_only_another_domain_can_take_are_for_instances_there():
    plan = _plan(0, 1, 2)
    sends = callplan_test.sends(plan.start(0.0))
    crossing = {
        each.upstream.service for each in sends if each.cross_domain_only
    }
    assert crossing == {"s0", "s1", "s2"}


def test_under_load_calls_that_leave_a_full_domain_go_from_here():
    # Near upstreams refuse for want of room: the next ones are far, and the
    # detour over another instance would cost as many bytes once more.
    plan = _plan()
    sends = callplan_test.sends(plan.start(0.0))
    assert not any(each.cross_domain_only for each in sends)
    shed = callcommand.Outcome(kind=callcommand.OutcomeKind.SHED)
    again = [
        each
        for first in sends
        for each in callplan_test.sends(
            plan.on_outcome(first.call_id, shed, 5.0)
        )
    ]
    assert len(again) == SHARD_COUNT
    assert all(each.upstream.failure_domain == "south" for each in again)
    assert not any(each.cross_domain_only for each in again)
