"""Tests which calls of a query are relayed by instances of other domains."""

from hyssoptack.planning import callcommand
from hyssoptack.planning import callplan_test

SHARD_COUNT = 6


def _plan(*remote_only):
    """Returns a plan over shards with upstreams in two failure domains.

    Args:
        *remote_only: Numbers of the shards without a local upstream.
    """
    upstreams = []
    for shard in range(SHARD_COUNT):
        service = f"s{shard}"
        if shard not in remote_only:
            upstreams.append(callplan_test.upstream(f"n{shard}", service))
        upstreams += [
            callplan_test.upstream(f"f{shard}-{copy}", service, zone="south")
            for copy in range(2)
        ]
    context = callplan_test.plan_context(*upstreams)
    return callplan_test.plan(context, callplan_test.shards(SHARD_COUNT, 0.8))


def test_shards_without_local_upstreams_are_marked_cross_domain_only():
    plan = _plan(0, 1, 2)
    sends = callplan_test.sends(plan.start(0.0))
    cross_domain_services = {
        each.upstream.service for each in sends if each.cross_domain_only
    }
    assert cross_domain_services == {"s0", "s1", "s2"}


def test_retries_that_leave_an_overloaded_domain_are_not_relayed():
    # The local upstreams shed the calls, so the retries go to another domain.
    # Relaying them would transfer the same bytes a second time.
    plan = _plan()
    sends = callplan_test.sends(plan.start(0.0))
    assert not any(each.cross_domain_only for each in sends)
    shed = callcommand.Outcome(kind=callcommand.OutcomeKind.SHED)
    retries = [
        each
        for first in sends
        for each in callplan_test.sends(
            plan.on_outcome(first.call_id, shed, 5.0)
        )
    ]
    assert len(retries) == SHARD_COUNT
    assert all(each.upstream.failure_domain == "south" for each in retries)
    assert not any(each.cross_domain_only for each in retries)
