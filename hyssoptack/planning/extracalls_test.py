"""Tests of hedges and retries while first calls wait for room."""

import dataclasses

from hyssoptack.planning import callcommand
from hyssoptack.planning import callplan_test
from hyssoptack.planning import extracalls

FAILED = callcommand.Outcome(
    kind=callcommand.OutcomeKind.FAILED, reason="status_500"
)


def _plan(holds, target=None, attempts=2):
    upstreams = [
        callplan_test.upstream(f"{letter}{index}", f"s{index}")
        for index in range(4)
        for letter in "ab"
    ]
    context = dataclasses.replace(
        callplan_test.plan_context(*upstreams),
        holds_extra_calls=lambda services: holds[0],
    )
    return callplan_test.plan(context, target, attempts=attempts)


def test_no_hedge_is_sent_while_first_calls_wait():
    for is_held in (False, True):
        running = _plan([is_held])
        running.start(0.0)
        hedge_at_ms = running.next_deadline_ms()
        sent = callplan_test.sends(running.on_timeout(hedge_at_ms))
        assert len(sent) == (0 if is_held else 1)


def test_a_shed_request_is_refused_at_once_while_first_calls_wait():
    running = _plan([True])
    (first,) = callplan_test.sends(running.start(0.0))
    end = callplan_test.result(
        running.on_outcome(first.call_id, callplan_test.SHED, 1.0)
    )
    assert end == callcommand.Refuse(reason=extracalls.HELD_BACK)


def test_a_retry_that_an_answer_depends_on_is_sent_all_the_same():
    running = _plan([True], callplan_test.shards(4, 0.75))
    calls = callplan_test.sends(running.start(0.0))
    # Three of four parts make an answer: the first retry can be held back.
    first = running.on_outcome(calls[0].call_id, FAILED, 1.0)
    assert not callplan_test.sends(first)
    second = running.on_outcome(calls[1].call_id, FAILED, 1.0)
    assert len(callplan_test.sends(second)) == 1


def test_extra_calls_are_sent_again_once_none_waits():
    holds = [True]
    running = _plan(holds)
    (first,) = callplan_test.sends(running.start(0.0))
    holds[0] = False
    commands = running.on_outcome(first.call_id, callplan_test.SHED, 1.0)
    assert len(callplan_test.sends(commands)) == 1
