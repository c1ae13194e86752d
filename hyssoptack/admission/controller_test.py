"""Tests of admission's decisions: limits, recovery, refusals and expiry."""

import random

import pytest

from hyssoptack.admission import controller
from hyssoptack.admission import queue_test
from hyssoptack.admission import refusal
from hyssoptack.admission import worklimit

GROUP = queue_test.GROUP
SHARDS = tuple(f"shard-{index}" for index in range(36))
GOAL_MS, CALL_MS = 80.0, 10.0


def _new(slot_count=12.0, instance_count=4):
    control = controller.AdmissionController(random.Random(1), 0.0)
    control.instance_count = instance_count
    control.set_goal(GOAL_MS, len(SHARDS))
    for group in (GROUP, SHARDS):
        _set_facts(control, slot_count, CALL_MS, group=group)
    return control


def _set_facts(control, slot_count, call_ms, now_ms=0.0, group=GROUP):
    facts = controller.GroupFacts(
        goal_ms=GOAL_MS, slot_count=slot_count, call_ms=call_ms
    )
    control.set_facts(group, facts, now_ms)


def _ask(ask_id, now_ms=0.0, **changes):
    fields = {
        "goal_ms": GOAL_MS,
        "started_ms": now_ms,
        "goal_at_ms": now_ms + GOAL_MS,
        "deadline_at_ms": now_ms + 800.0,
        **changes,
    }
    return queue_test.make_ask(ask_id, **fields)


def _fill(control, now_ms=0.0, **changes):
    """Submits until a request does not start; returns the started ids."""
    started_ids = []
    while True:
        ask = _ask(10_000 + len(started_ids) + int(now_ms), now_ms, **changes)
        if not control.has_room(ask.group, now_ms):
            return started_ids
        assert control.submit(ask, now_ms) == controller.Admit()
        started_ids.append(ask.ask_id)


def _shed(control, now_ms):
    """Ends a request of which a call was shed without room elsewhere."""
    ask = _ask(int(now_ms) + 1, now_ms)
    control.start_unconditionally(ask, now_ms)
    control.end(ask.ask_id, 1, CALL_MS, now_ms)


def _limit(control, group=GROUP):
    return control.groups()[group]


def test_the_ceilings_of_all_instances_follow_from_the_slots():
    # Each of 120 slots completes 4 calls of 10 ms in half of the goal, and an
    # instance may use four times its part while upstreams are not crowded.
    limit = _limit(_new(slot_count=120.0, instance_count=10))
    assert limit.base_count == pytest.approx(48.0)
    assert limit.ceiling_count == pytest.approx(4 * 48.0)


def test_crowded_upstreams_take_the_room_beyond_the_share_only():
    control = _new(slot_count=120.0, instance_count=10)
    for number in range(100):
        ask = _ask(number)
        control.start_unconditionally(ask, 0.0)
        control.end(ask.ask_id, 0, 3 * CALL_MS, 0.0)
    assert _limit(control).limit_count == pytest.approx(48.0, rel=0.01)


def test_slow_calls_and_failures_without_sheds_change_nothing():
    control = _new()
    before = _limit(control)
    for number in range(200):
        ask = _ask(number)
        control.start_unconditionally(ask, 0.0)
        # The request took 700 ms, the typical call is as quick as before.
        control.end(ask.ask_id, 0, CALL_MS, 700.0)
    assert _limit(control).limit_count == before.limit_count
    assert control.process.limit_count == control.process.ceiling_count


@pytest.mark.parametrize("sign", ["shed", "late"])
def test_a_limit_returns_within_a_second_of_the_last_sign(sign):
    control = _new()
    for now_ms in range(0, 2_000, 25):
        if sign == "shed":
            _shed(control, float(now_ms))
        else:
            control.record_delay(60.0, float(now_ms))
    limits = (_limit(control), control.process)
    reduced = limits[0 if sign == "shed" else 1]
    assert reduced.limit_count < 0.5 * reduced.ceiling_count
    for now_ms in range(2_000, 3_000, 10):
        control.review(float(now_ms))
    for limit in (_limit(control), control.process):
        assert limit.limit_count == limit.ceiling_count


def test_a_single_pause_of_the_loop_changes_nothing():
    control = _new()
    control.record_delay(50.0, 100.0)
    for now_ms in range(125, 500, 25):
        control.record_delay(0.0, float(now_ms))
    assert control.process.limit_count == control.process.ceiling_count


def test_normal_work_above_the_share_raises_the_ceiling():
    control = _new(slot_count=1.0)
    base_count = _limit(control).base_count
    for second in range(3):
        for number in range(10):
            control.start_unconditionally(
                _ask(100 * second + number), 1_000.0 * second
            )
        for number in range(10):
            control.end(
                100 * second + number, 0, CALL_MS, 1_000.0 * second + 10.0
            )
        control.maintain(1_000.0 * second + 500.0)
    assert base_count < 10.0 <= _limit(control).base_count


def test_a_slow_spell_does_not_refuse_the_requests_after_it():
    control = _new()
    for number, ask_id in enumerate(_fill(control)):
        control.end(ask_id, number % 2, 50 * CALL_MS, 900.0)
    for now_ms in range(900, 2_000, 10):
        control.review(float(now_ms))
    assert _limit(control).duration_ms > 800.0
    assert control.submit(_ask(1, 2_000.0), 2_000.0) == controller.Admit()
    assert len(_fill(control, 2_000.0)) >= 10


def test_room_is_used_in_order_and_at_once():
    control = _new()
    started_ids = _fill(control)
    for number, priority in ((1, 2), (2, 0), (3, 1)):
        ask = _ask(number, priority=priority)
        assert control.submit(ask, 0.0) == controller.Wait()
    order = []
    for ask_id in started_ids[:3]:
        control.end(ask_id, 0, CALL_MS, 1.0)
        order.append(control.next_start(1.0).ask_id)
    assert order == [2, 3, 1]
    assert control.next_start(1.0) is None


def _fill_slowly(control):
    """Fills the limit with requests that take 60 ms each."""
    for ask_id in _fill(control):
        control.end(ask_id, 0, CALL_MS, 60.0)
    return _fill(control, 60.0)


def test_a_request_that_would_miss_its_goal_is_refused_while_a_retry_helps():
    control = _new()
    _fill_slowly(control)
    decisions = [control.submit(_ask(n, 60.0), 60.0) for n in range(1, 40)]
    refused = [each for each in decisions if isinstance(each, refusal.Refuse)]
    assert isinstance(decisions[0], controller.Wait)
    assert refused[0].reason is refusal.Reason.GOAL
    # The delay leaves the next attempt time to be served.
    assert 0.0 < refused[0].retry_after_ms < GOAL_MS / 2
    assert len({each.retry_after_ms for each in refused}) > 1


def test_a_returning_caller_is_served_before_new_ones():
    control = _new()
    started_ids = _fill_slowly(control)
    for number in range(1, 40):
        control.submit(_ask(number, 60.0), 60.0)
    back = _ask(99, 60.0, returning=True, started_ms=20.0, goal_at_ms=128.0)
    assert control.submit(back, 60.0) == controller.Wait()
    control.end(started_ids[0], 0, CALL_MS, 61.0)
    assert control.next_start(61.0).ask_id == 99


def test_a_request_is_refused_as_soon_as_its_deadline_is_out_of_reach():
    control = _new()
    _fill_slowly(control)
    late = _ask(
        1, 60.0, started_ms=-500.0, goal_at_ms=65.0, deadline_at_ms=90.0
    )
    decision = control.submit(late, 60.0)
    assert decision.reason is refusal.Reason.DEADLINE


def test_a_late_request_starts_under_the_smallest_limit_once_it_is_idle():
    control = _new()
    for now_ms in range(0, 3_000, 100):
        _shed(control, float(now_ms))
    assert _limit(control).limit_count == 2.0
    started_ids = _fill(control, 2_900.0)
    late = _ask(1, 2_900.0, started_ms=2_800.0, goal_at_ms=2_890.0)
    assert control.submit(late, 2_900.0) == controller.Wait()
    for ask_id in started_ids:
        assert control.next_start(2_901.0) is None
        control.end(ask_id, 0, CALL_MS, 2_901.0)
    assert control.next_start(2_901.0).ask_id == 1


def test_waiting_requests_are_bounded():
    control = _new()
    _fill_slowly(control)
    for number in range(1, 400):
        control.submit(
            _ask(number, 60.0, goal_ms=9e5, goal_at_ms=9e5, deadline_at_ms=9e6),
            60.0,
        )
    control.review(60.0)
    assert control.waiting_count <= 64


def test_callers_that_left_free_the_queue_for_others():
    control = _new()
    started_ids = _fill_slowly(control)
    ids = [
        number
        for number in range(1, 40)
        if control.submit(_ask(number, 60.0), 60.0) == controller.Wait()
    ]
    for ask_id in ids:
        assert control.leave(ask_id) is not None
    assert control.submit(_ask(99, 61.0), 61.0) == controller.Wait()
    control.end(started_ids[0], 0, CALL_MS, 62.0)
    assert control.next_start(62.0).ask_id == 99


def test_a_query_of_many_shards_is_admitted_as_a_whole():
    control = _new()
    for now_ms in range(0, 4_000, 25):
        # The process is late until it allows two queries of 36 shards.
        control.start_unconditionally(_ask(now_ms, group=SHARDS), now_ms)
        control.record_delay(60.0, float(now_ms))
        control.end(now_ms, 0, CALL_MS, float(now_ms))
    assert control.process.limit_count == 2 * len(SHARDS)
    started_ids = _fill(control, 3_990.0, group=SHARDS)
    assert len(started_ids) == 2
    wide, narrow = _ask(1, 3_990.0, group=SHARDS), _ask(2, 3_990.0)
    assert control.submit(wide, 3_990.0) == controller.Wait()
    # Narrow requests don't overtake the wide one that waits for the process.
    assert control.submit(narrow, 3_990.0) == controller.Wait()
    assert control.next_start(3_990.0) is None
    control.end(started_ids[0], 0, CALL_MS, 3_991.0)
    assert control.next_start(3_991.0).ask_id == 1


def test_extra_calls_are_held_back_while_first_calls_wait():
    control = _new()
    started_ids = _fill(control)
    assert not control.holds_extra_calls(GROUP)
    control.submit(_ask(1), 0.0)
    assert control.holds_extra_calls(GROUP)
    assert not control.holds_extra_calls(("other",))
    control.end(started_ids[0], 0, CALL_MS, 1.0)
    control.next_start(1.0)
    assert not control.holds_extra_calls(GROUP)


def test_a_request_that_never_ends_gives_its_room_back():
    control = _new()
    _fill(control)
    assert control.maintain(60_000.0) > 0
    assert _limit(control).in_progress_count == 0.0
    assert control.process.in_progress_count == 0.0


def test_groups_without_routes_are_dropped():
    control = _new()
    control.keep_groups(frozenset([GROUP]))
    assert set(control.groups()) == {GROUP}


def test_a_call_time_learned_under_load_does_not_last():
    known_ms = 60.0
    for _ in range(8):
        known_ms = worklimit.uncrowded_call_ms(known_ms, 10.0, False)
    assert known_ms < 14.0
    for _ in range(6):
        known_ms = worklimit.uncrowded_call_ms(known_ms, 100.0, False)
    assert known_ms < 15.0
