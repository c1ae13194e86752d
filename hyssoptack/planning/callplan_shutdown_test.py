"""Tests of call plans whose process is being stopped."""

import pytest

from hyssoptack.planning import callcommand
from hyssoptack.planning import callplan_test
from hyssoptack.planning import shutdown

STOP = shutdown.Shutdown(started_ms=0.0, grace_ms=1_200.0)
"""The process ends at 800 ms, before the plans' time limit of 1,000 ms."""

REFUSAL_MS = shutdown.REFUSAL_DELAY_RATIO * STOP.grace_ms
REFUSED = callcommand.Refuse(reason=shutdown.STOPPING)
CUT = callcommand.Fail(reason=shutdown.STOPPING, timed_out=True)


def _upstreams(count=4):
    return (callplan_test.upstream(f"u{i}", f"s{i}") for i in range(count))


def _single_plan(*names, idempotent=True, usual_ms=0.0):
    """Returns a plan with one service, and its context."""
    context = callplan_test.plan_context(*map(callplan_test.upstream, names))
    if usual_ms:
        context.load_balancer.latency_of("r").record(usual_ms)
    return callplan_test.plan(context, idempotent=idempotent), context


def _play(running, until_ms):
    """Plays the timer of a plan; returns the result and its time."""
    now_ms = 0.0
    while now_ms < until_ms and not running.finished:
        now_ms = max(now_ms + 0.001, running.next_deadline_ms())
        end = callplan_test.result(running.on_timeout(now_ms))
        if end is not None:
            return end, now_ms
    return None, now_ms


def test_a_request_passed_on_fails_as_unknown_when_the_process_ends():
    # The process ended with such requests, and their connections closed
    # without a response.
    running, _ = _single_plan("a", idempotent=False)
    running.start(0.0)
    assert not running.on_shutdown(STOP, 1.0)
    end, now_ms = _play(running, 900.0)
    assert end == CUT
    assert now_ms == pytest.approx(STOP.end_ms)


def test_a_request_not_passed_on_is_refused_before_the_process_ends():
    # Requests that waited for a connection were cut, though none had run.
    running, _ = _single_plan("a", idempotent=False)
    (call,) = callplan_test.sends(running.start(0.0))
    running.calls.mark_unsent(call.call_id)
    assert not running.on_shutdown(STOP, 1.0)
    end, now_ms = _play(running, 900.0)
    assert end == REFUSED
    assert now_ms == pytest.approx(REFUSAL_MS)


def test_a_waiting_request_that_usually_lasts_too_long_is_refused_at_once():
    running, _ = _single_plan("a", usual_ms=750.0)
    (call,) = callplan_test.sends(running.start(0.0))
    running.calls.mark_unsent(call.call_id)
    commands = running.on_shutdown(STOP, 1.0)
    assert callplan_test.result(commands) == REFUSED
    assert callcommand.Cancel(call_id=call.call_id) in commands


def test_a_request_that_starts_too_late_in_a_stop_sends_nothing():
    running, _ = _single_plan("a")
    commands = running.on_shutdown(STOP, REFUSAL_MS)
    assert callplan_test.result(commands) == REFUSED
    assert not callplan_test.sends(commands)


def test_a_request_that_ended_before_its_process_keeps_its_deadline():
    late = shutdown.Shutdown(started_ms=0.0, grace_ms=9_000.0)
    running, _ = _single_plan("a")
    (call,) = callplan_test.sends(running.start(0.0))
    running.calls.mark_unsent(call.call_id)
    running.on_shutdown(late, 1.0)
    end, _ = _play(running, 2_000.0)
    assert end == callcommand.Refuse(reason="deadline")


@pytest.mark.parametrize(("answered_count", "is_answered"), [(3, True), (2, 0)])
def test_a_query_is_answered_at_the_end_from_the_parts_that_are_in(
    answered_count, is_answered
):
    context = callplan_test.plan_context(*_upstreams())
    running = callplan_test.plan(context, callplan_test.shards(4, 0.75))
    calls = callplan_test.sends(running.start(0.0))
    for call in calls[:answered_count]:
        running.on_outcome(call.call_id, callplan_test.answered(), 3.0)
    soon = shutdown.Shutdown(
        started_ms=0.0, grace_ms=shutdown.KILL_MARGIN_MS + 50.0
    )
    running.on_shutdown(soon, 4.0)
    end, now_ms = _play(running, 900.0)
    if is_answered:
        assert (len(end.replies), end.part_count) == (3, 4)
    else:
        assert end == CUT
    assert now_ms <= soon.end_ms + 0.01


def test_a_failed_call_is_retried_only_if_the_retry_can_end_in_time():
    for now_ms, sent_count in ((650.0, 1), (750.0, 0)):
        running, _ = _single_plan("a", "b", usual_ms=100.0)
        (call,) = callplan_test.sends(running.start(0.0))
        running.on_shutdown(STOP, 1.0)
        commands = running.on_outcome(
            call.call_id, callplan_test.FAILED, now_ms
        )
        assert len(callplan_test.sends(commands)) == sent_count
        end = callplan_test.result(commands)
        expected = callcommand.Fail(reason=shutdown.STOPPING, timed_out=False)
        assert end == (None if sent_count else expected)


def test_a_call_that_did_not_run_is_not_sent_again_late_in_a_stop():
    for outcome in (callplan_test.SHED, callplan_test.UNREACHABLE):
        running, _ = _single_plan("a", "b")
        (call,) = callplan_test.sends(running.start(0.0))
        running.on_shutdown(STOP, 1.0)
        commands = running.on_outcome(call.call_id, outcome, REFUSAL_MS)
        assert not callplan_test.sends(commands)
        assert callplan_test.result(commands) == REFUSED


def test_no_hedge_is_sent_that_can_not_end_before_the_process():
    for is_stopping, sent_count in ((False, 1), (True, 0)):
        running, context = _single_plan("a", "b", usual_ms=790.0)
        running.start(0.0)
        spent = []
        context.extra_call_budget.try_spend = lambda *args, to=spent: (
            to.append(args) or True
        )
        if is_stopping:
            running.on_shutdown(STOP, 1.0)
        commands = running.on_timeout(60.0)
        assert len(callplan_test.sends(commands)) == sent_count
        assert len(spent) == sent_count
