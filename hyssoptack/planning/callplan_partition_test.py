"""Tests call plans during a network partition between failure domains."""

from hyssoptack.membership import partitiondetector
from hyssoptack.planning import callcommand
from hyssoptack.planning import callplan_test
from hyssoptack.planning import callresult


def _start_partitioned(floor_ratio):
    """Starts a query over two local and four remote shards in a partition."""
    local = [callplan_test.upstream(f"u{i}", f"s{i}") for i in range(2)]
    remote = [
        callplan_test.upstream(f"u{i}", f"s{i}", zone="south")
        for i in range(2, 6)
    ]
    context = callplan_test.plan_context(*local, *remote)
    context.partition_detector.state = (
        partitiondetector.PartitionState.PARTITIONED
    )
    return callplan_test.plan(
        context, callplan_test.shards(6, floor_ratio)
    ).start(0.0)


def test_a_query_below_its_floor_in_a_partition_is_refused_at_once():
    commands = _start_partitioned(floor_ratio=0.9)
    assert not callplan_test.sends(commands)
    assert callplan_test.result(commands) == callcommand.Refuse(
        reason="failure_domain_cut_off"
    )


def test_a_query_that_local_shards_can_cover_is_sent_in_a_partition():
    commands = _start_partitioned(floor_ratio=0.3)
    assert {
        each.upstream.upstream_id for each in callplan_test.sends(commands)
    } == {
        "u0",
        "u1",
    }


def test_a_query_without_any_remote_answer_makes_a_partition_suspected():
    local = [callplan_test.upstream(f"u{i}", f"s{i}") for i in range(2)]
    remote = [
        callplan_test.upstream(f"u{i}", f"s{i}", zone="south")
        for i in range(2, 6)
    ]
    context = callplan_test.plan_context(*local, *remote)
    running = callplan_test.plan(context, callplan_test.shards(6, 0.9))
    for call in callplan_test.sends(running.start(0.0))[:2]:
        running.on_outcome(call.call_id, callplan_test.answered(), 10.0)
    running.on_timeout(callplan_test.END_MS)
    assert (
        context.partition_detector.state
        is partitiondetector.PartitionState.SUSPECTED
    )


def test_refused_calls_to_other_domains_make_a_partition_suspected():
    # If connections are reset during a partition, each query ends within 6 ms,
    # before any wait counts. Without this rule queries failed for 5.6 s.
    context = callplan_test.plan_context(
        callplan_test.upstream("n0"),
        *(
            callplan_test.upstream(f"f{i}", f"s{i}", zone="south")
            for i in range(1, 5)
        ),
    )
    running = callplan_test.plan(context, callplan_test.shards(5, 0.2))
    calls = callplan_test.sends(running.start(0.0))
    for call in calls:
        if call.upstream.failure_domain == "south":
            running.on_outcome(call.call_id, callplan_test.UNREACHABLE, 2.0)
    assert (
        context.partition_detector.state
        is partitiondetector.PartitionState.SUSPECTED
    )


def test_a_detected_partition_ends_queries_that_cannot_reach_their_floor():
    context = callplan_test.plan_context(
        callplan_test.upstream("n0"),
        callplan_test.upstream("n1", "s1"),
        *(
            callplan_test.upstream(f"f{i}", f"s{i}", zone="south")
            for i in range(2, 6)
        ),
    )
    running = callplan_test.plan(context, callplan_test.shards(6, 0.9))
    running.start(0.0)
    context.partition_detector.state = (
        partitiondetector.PartitionState.PARTITIONED
    )
    commands = running.on_partition(50.0)
    end = callplan_test.result(commands)
    assert isinstance(end, callcommand.Fail)
    assert end.reason == callresult.PARTITIONED
    assert not end.timed_out
    # Unreachable upstreams are not recorded as slow.
    assert context.load_balancer.upstream_states["f2"].slowness_ratio == 1.0


def test_a_detected_partition_moves_calls_to_the_local_domain():
    context = callplan_test.plan_context(
        callplan_test.upstream("n0"),
        callplan_test.upstream("f0", zone="south"),
        callplan_test.upstream("n1", "s1"),
    )
    context.load_balancer.record_connect_failure("n0", 0.0)
    running = callplan_test.plan(context, callplan_test.shards(2, 0.9))
    first = callplan_test.sends(running.start(0.0))
    assert [each.upstream.upstream_id for each in first] == ["f0", "n1"]
    context.partition_detector.state = (
        partitiondetector.PartitionState.PARTITIONED
    )
    (retry,) = callplan_test.sends(running.on_partition(20.0))
    assert retry.upstream.upstream_id == "n0"


def test_marking_a_call_that_was_already_cancelled_is_ignored():
    # A partition moves one part to the local domain and then ends the query.
    # The runner still reports the new call, now cancelled, as waiting for a
    # connection. Ignoring it avoids an exception that ends the process.
    context = callplan_test.plan_context(
        callplan_test.upstream("f0", zone="south"),
        callplan_test.upstream("n0"),
        callplan_test.upstream("f1", "s1", zone="south"),
        callplan_test.upstream("f2", "s2", zone="south"),
    )
    context.load_balancer.record_connect_failure("n0", 0.0)
    running = callplan_test.plan(context, callplan_test.shards(3, 0.9))
    running.start(0.0)
    context.partition_detector.state = (
        partitiondetector.PartitionState.PARTITIONED
    )
    commands = running.on_partition(20.0)
    assert callplan_test.result(commands) is not None
    (retry,) = callplan_test.sends(commands)
    running.calls.mark_unsent(retry.call_id)


def test_a_single_request_in_a_partition_stays_local_or_is_refused():
    context = callplan_test.plan_context(
        callplan_test.upstream("n"), callplan_test.upstream("f", zone="south")
    )
    context.load_balancer.record_connect_failure("n", 0.0)
    context.partition_detector.state = (
        partitiondetector.PartitionState.PARTITIONED
    )
    (first,) = callplan_test.sends(callplan_test.plan(context).start(0.0))
    assert first.upstream.upstream_id == "n"
    context = callplan_test.plan_context(
        callplan_test.upstream("f", zone="south")
    )
    context.partition_detector.state = (
        partitiondetector.PartitionState.PARTITIONED
    )
    end = callplan_test.result(
        callplan_test.plan(context, idempotent=False).start(0.0)
    )
    assert end == callcommand.Refuse(reason=callresult.PARTITIONED)


def test_an_upstream_that_a_lost_gatherer_may_have_called_counts_as_reached():
    # This instance calls the upstream again, and that call does not reach it.
    # The upstream must still count as reached by the gatherer's call. When it
    # did not, 6 requests ran on three upstreams of a shard where the route
    # allows two.
    target = callplan_test.shards(2, 1.0)
    listed = [
        callplan_test.upstream(f"{name}-{end}", service=name)
        for name in target.shards
        for end in "abc"
    ]
    plan = callplan_test.plan(callplan_test.plan_context(*listed), target)
    first, _ = callplan_test.sends(plan.start(0.0))
    plan.record_relayed([first.call_id], 50.0)
    lost = callcommand.Outcome(
        kind=callcommand.OutcomeKind.FAILED, reason=callresult.GATHERER_LOST
    )
    (retry,) = callplan_test.sends(plan.on_outcome(first.call_id, lost, 10.0))
    assert retry.upstream == first.upstream
    unreached = callplan_test.UNREACHABLE
    (other,) = callplan_test.sends(
        plan.on_outcome(retry.call_id, unreached, 12.0)
    )
    assert other.upstream != first.upstream
    failed = callplan_test.FAILED
    commands = plan.on_outcome(other.call_id, failed, 14.0)
    assert not callplan_test.sends(commands)
