"""When calls are hedged: on upstreams' delays, not on this instance's own."""

from hyssoptack.policy import callplan_test
from hyssoptack.policy import hedgetiming
from hyssoptack.policy import latencyestimate

PART_COUNT = 42
GOAL_MS = 80.0


def made(part_count=PART_COUNT):
    return hedgetiming.HedgeTiming(
        latencyestimate.LatencyEstimate(), GOAL_MS, GOAL_MS, 0.0, part_count
    )


def test_a_call_alone_waits_for_its_time():
    times = made(part_count=1)
    assert (
        times.single_hedge_at_ms(0.0) == hedgetiming.MIN_DELAY_RATIO * GOAL_MS
    )
    assert times.stall_at_ms() is None


def test_calls_that_are_silent_together_are_given_twice_the_time():
    assert made().single_hedge_at_ms(0.0) == GOAL_MS


def test_while_answers_stream_in_nothing_is_hedged():
    times = made()
    for number in range(20):
        times.record_answer(35.0 + 2.0 * number)
    last_ms = 35.0 + 2.0 * 19
    assert times.single_hedge_at_ms(0.0) > last_ms + 5.0
    assert times.stall_at_ms() is None


def test_a_pause_among_quick_answers_is_hedged_at_once():
    times = made()
    for number in range(38):
        times.record_answer(8.0 + 0.2 * number)
    assert times.stall_at_ms() <= 8.0 + 0.2 * 37 + hedgetiming.MIN_DELAY_MS
    assert (
        times.single_hedge_at_ms(0.0) == hedgetiming.MIN_DELAY_RATIO * GOAL_MS
    )


def _hedges(answer_times_ms):
    """Plays a query; returns how many of its calls were hedged.

    Args:
        answer_times_ms: When the answer of each shard is read, in order.
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


def test_a_starved_instance_hedges_none_of_its_own_queue():
    # 0.12 of a core: the first answer is read after 35 ms, the others one
    # behind the other. 31 of 42 calls were hedged, into the same queue.
    times_ms = [35.0 + 1.5 * number for number in range(PART_COUNT)]
    assert _hedges(times_ms) == 0


def test_two_paused_upstreams_among_many_are_hedged():
    times_ms = [8.0 + 0.2 * number for number in range(PART_COUNT - 2)]
    assert _hedges([*times_ms, 90.0, 95.0]) == 2
