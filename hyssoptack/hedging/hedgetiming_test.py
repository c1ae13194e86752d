"""Calls are hedged for delays of upstreams, not of this instance."""

from hyssoptack.balancing import latencyestimate
from hyssoptack.hedging import hedgetiming
from hyssoptack.planning import callplan_test

PART_COUNT = 42
GOAL_MS = 80.0


def hedge_timing(part_count=PART_COUNT):
    return hedgetiming.HedgeTiming(
        latencyestimate.LatencyEstimate(), GOAL_MS, GOAL_MS, 0.0, part_count
    )


def test_a_single_call_is_hedged_after_its_own_delay():
    times = hedge_timing(part_count=1)
    assert (
        times.single_hedge_at_ms(0.0) == hedgetiming.MIN_DELAY_RATIO * GOAL_MS
    )
    assert times.stall_at_ms() is None


def test_the_hedge_delay_doubles_while_no_shard_has_answered():
    assert hedge_timing().single_hedge_at_ms(0.0) == GOAL_MS


def test_nothing_is_hedged_while_answers_keep_arriving():
    times = hedge_timing()
    for number in range(20):
        times.record_answer(35.0 + 2.0 * number)
    last_ms = 35.0 + 2.0 * 19
    assert times.single_hedge_at_ms(0.0) > last_ms + 5.0
    assert times.stall_at_ms() is None


def test_calls_missing_after_quick_answers_are_hedged_at_once():
    times = hedge_timing()
    for number in range(38):
        times.record_answer(8.0 + 0.2 * number)
    assert times.stall_at_ms() <= 8.0 + 0.2 * 37 + hedgetiming.MIN_DELAY_MS
    assert (
        times.single_hedge_at_ms(0.0) == hedgetiming.MIN_DELAY_RATIO * GOAL_MS
    )


def _hedges(answer_times_ms):
    """Simulates a query; returns how many of its calls were hedged.

    Args:
        answer_times_ms: Times at which the answers of the shards are read, in
            the order of the shards.
    """
    target = callplan_test.shards(len(answer_times_ms), 0.9)
    upstreams = [
        callplan_test.upstream(f"{name}-{end}", service=name)
        for name in target.shards
        for end in "ab"
    ]
    plan = callplan_test.plan(callplan_test.plan_context(*upstreams), target)
    calls = callplan_test.sends(plan.start(0.0))
    hedge_count = 0
    for call, now_ms in zip(calls, answer_times_ms, strict=True):
        while not plan.finished and plan.next_deadline_ms() < now_ms:
            commands = plan.on_timeout(plan.next_deadline_ms())
            hedge_count += len(callplan_test.sends(commands))
        answer = callplan_test.answered()
        plan.on_outcome(call.call_id, answer, now_ms)
    return hedge_count


def test_answers_queued_in_a_starved_instance_are_not_hedged():
    # On 0.12 of a core the first answer is read after 35 ms and the others one
    # after the other. Without the wait for a pause 31 of 42 calls were hedged,
    # which lengthened the same queue.
    times_ms = [35.0 + 1.5 * number for number in range(PART_COUNT)]
    assert _hedges(times_ms) == 0


def test_two_paused_upstreams_among_many_are_hedged():
    times_ms = [8.0 + 0.2 * number for number in range(PART_COUNT - 2)]
    assert _hedges([*times_ms, 90.0, 95.0]) == 2
