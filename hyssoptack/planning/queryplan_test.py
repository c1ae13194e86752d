"""Tests of the plan of one query."""

import dataclasses

from hyssoptack.budget import budget
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.core import refusal
from hyssoptack.planning import example
from hyssoptack.planning import querycommand
from hyssoptack.planning import queryplan

_SHED = message.CallStatus.SHED
_FAILED = message.CallStatus.FAILED
_MISSING = message.CallStatus.VERSION_MISSING


def _plan(current, context, **changed):
    plan = queryplan.QueryPlan(
        example.browsing_query(),
        example.profile(**changed),
        current,
        context,
        0.0,
    )
    return plan, plan.start(0.0)


def _sends(commands):
    return [each for each in commands if isinstance(each, querycommand.Send)]


def _result(commands):
    for each in commands:
        if isinstance(each, querycommand.Finish):
            return each.result
    return None


def _reply_all(plan, current, commands, **kind):
    last = []
    for send in _sends(commands):
        last = plan.on_reply(example.answer_reply(send, current, **kind), 5.0)
    return last


def test_answers_of_all_shards_give_a_complete_answer():
    current = example.service(4, 3)
    plan, commands = _plan(current, example.planning_context(current))
    answer = _result(_reply_all(plan, current, commands))
    assert answer.coverage_ratio == 1.0
    assert answer.upstream_call_count == 4
    assert answer.extra_call_count == 0
    assert len(answer.hits) == 4


def test_late_and_duplicate_replies_are_ignored():
    current = example.service(2, 3)
    plan, commands = _plan(current, example.planning_context(current))
    first, second = _sends(commands)
    reply = example.answer_reply(first, current)
    assert _result(plan.on_reply(reply, 5.0)) is None
    assert plan.on_reply(reply, 6.0) == []
    answer = _result(plan.on_reply(example.answer_reply(second, current), 7.0))
    assert answer.coverage_ratio == 1.0
    assert plan.on_reply(example.answer_reply(second, current), 8.0) == []


def test_an_upstream_that_answers_another_version_is_called_again():
    current = example.service(2, 1)
    plan, commands = _plan(current, example.planning_context(current))
    first, second = _sends(commands)
    plan.on_reply(example.answer_reply(first, current, 1, (1,)), 5.0)
    mixed = example.answer_reply(second, current, 2, (1, 2))
    resent = _sends(plan.on_reply(mixed, 5.0))
    assert [send.index_version for send in resent] == [1]
    answer = _result(
        plan.on_reply(example.answer_reply(resent[0], current), 9.0)
    )
    assert (answer.index_version, answer.coverage_ratio) == (1, 1.0)
    assert answer.extra_call_count == 1


def test_a_shard_that_lacks_the_version_lowers_coverage():
    current = example.service(2, 1)
    plan, commands = _plan(current, example.planning_context(current))
    first, second = _sends(commands)
    plan.on_reply(example.answer_reply(first, current, 1, (1,)), 5.0)
    missing = example.failure_reply(second, _MISSING, held_versions=(2,))
    answer = _result(plan.on_reply(missing, 6.0))
    assert answer.index_version == 1
    assert answer.coverage_ratio == 0.5


def _lacks_version(plan, context, send, held_versions):
    """Replies that an upstream lacks the version, and records what it holds."""
    reply = example.failure_reply(send, _MISSING, held_versions=held_versions)
    context.upstream_health.record_reply("oven-kiosk", reply, 5.0)
    return _sends(plan.on_reply(reply, 5.0))


def _plan_without_budget(current):
    context = dataclasses.replace(
        example.planning_context(current),
        extra_call_budgets=budget.ServiceBudgets(initial_count=0.0),
    )
    plan, commands = _plan(current, context, extra_load_ceiling_ratio=0.0)
    return plan, context, _sends(commands)


def test_an_upstream_that_lacks_the_version_costs_no_extra_load():
    # An index roll used up the budget of extra calls, and queries were refused
    # although other upstreams held the version.
    current = example.service(2, 3)
    plan, context, (first, second) = _plan_without_budget(current)
    plan.on_reply(example.answer_reply(first, current, 1, (1,)), 5.0)
    resent = _lacks_version(plan, context, second, (2,))
    assert len(resent) == 1
    answer = _result(
        plan.on_reply(example.answer_reply(resent[0], current), 9.0)
    )
    assert (answer.index_version, answer.coverage_ratio) == (1, 1.0)
    assert answer.extra_call_count == 0


def test_a_query_whose_upstreams_all_rolled_moves_to_their_version():
    current = example.service(3, 1)
    plan, context, sends = _plan_without_budget(current)
    # All shards were last seen at version 1.
    for send in sends:
        reply = example.answer_reply(send, current, 1, (1,))
        context.upstream_health.record_reply("oven-kiosk", reply, 1.0)
    plan, commands = _plan(current, context, extra_load_ceiling_ratio=0.0)
    resent = []
    for send in _sends(commands):
        resent += _lacks_version(plan, context, send, (2,))
    assert [each.index_version for each in resent] == [2, 2, 2]
    for send in resent:
        commands = plan.on_reply(
            example.answer_reply(send, current, 2, (2,)), 9.0
        )
    assert _result(commands).coverage_ratio == 1.0


def test_a_version_that_other_replicas_hold_is_not_given_up():
    # A restart discards the answers of all shards.
    current = example.service(2, 3)
    context = example.planning_context(current)
    views = [
        context.upstream_health.refresh(upstream_id, 0.0)
        for shard in current.shards
        for upstream_id in shard.upstream_ids
    ]
    for view in views:
        view.held_versions = (1,)
    plan, commands = _plan(current, context)
    first, second = _sends(commands)
    plan.on_reply(example.answer_reply(first, current, 1, (1, 2)), 5.0)
    for view in views:
        view.held_versions = (1, 2)
    resent = _lacks_version(plan, context, second, (2,))
    assert [each.index_version for each in resent] == [1]


def test_an_upstream_recorded_without_the_version_is_called_last():
    # Held versions are known from answers only; the record of an upstream that
    # is never called would never be updated.
    current = example.service(2, 1)
    context = example.planning_context(current)
    upstreams = context.upstream_health.upstreams
    upstreams[current.shards[0].upstream_ids[0]].held_versions = (2,)
    upstreams[current.shards[1].upstream_ids[0]].held_versions = (1,)
    plan, commands = _plan(current, context)
    assert len(_sends(commands)) == 2


def test_a_retry_goes_to_another_upstream_not_just_another_relay():
    current = example.service(1, 3)
    plan, commands = _plan(current, example.planning_context(current))
    first = _sends(commands)[0]
    resent = _sends(plan.on_reply(example.failure_reply(first, _FAILED), 5.0))
    assert resent[0].path.upstream_id != first.path.upstream_id


def test_a_relay_that_sheds_without_a_call_costs_no_budget():
    current = example.service(1, 3)
    context = example.planning_context(current)
    plan, commands = _plan(current, context)
    shed = example.failure_reply(_sends(commands)[0], _SHED, reached=False)
    assert len(_sends(plan.on_reply(shed, 1.0))) == 1
    assert (
        context.extra_call_budgets.for_service(current.name).extra_call_count
        == 0
    )


def test_retries_stop_when_the_budget_is_spent():
    current = example.service(50, 3)
    context = example.planning_context(current)
    plan, commands = _plan(current, context, coverage_floor_ratio=0.0)
    extra = 0
    open_sends = _sends(commands)
    while open_sends:
        send = open_sends.pop()
        commands = plan.on_reply(example.failure_reply(send, _SHED), 5.0)
        extra += len(_sends(commands))
        open_sends += _sends(commands)
    # 5 initial tokens, and 5 percent of 50 first calls.
    assert extra == 7


def test_rerouting_a_call_that_reached_no_upstream_costs_no_budget():
    current = example.service(1, 3)
    context = example.planning_context(current)
    plan, commands = _plan(current, context)
    lost = example.failure_reply(
        _sends(commands)[0], message.CallStatus.NOT_OWNER, reached=False
    )
    assert len(_sends(plan.on_reply(lost, 1.0))) == 1
    assert (
        context.extra_call_budgets.for_service(current.name).extra_call_count
        == 0
    )


def test_a_slow_call_is_hedged_once_and_the_slower_call_cancelled():
    current = example.service(1, 3)
    context = example.planning_context(current)
    for number in range(40):
        reply = message.UpstreamReply(
            call_id=number,
            upstream_id=current.shards[0].upstream_ids[0],
            status=message.CallStatus.ANSWERED,
            service_ms=5.0,
        )
        context.upstream_health.record_reply(current.name, reply, 0.0)
    plan, commands = _plan(current, context)
    first = _sends(commands)[0]
    assert plan.next_deadline_ms() == 5.0
    hedge = _sends(plan.on_timeout(6.0))
    assert len(hedge) == 1
    assert hedge[0].path.upstream_id != first.path.upstream_id
    assert _sends(plan.on_timeout(20.0)) == []
    commands = plan.on_reply(example.answer_reply(hedge[0], current), 8.0)
    cancelled = [
        each for each in commands if isinstance(each, querycommand.Cancel)
    ]
    assert [each.call_id for each in cancelled] == [first.call_id]
    assert _result(commands).extra_call_count == 1


def test_a_query_that_cant_reach_its_floor_is_refused_at_once():
    current = example.service(4, 1)
    plan, commands = _plan(
        current, example.planning_context(current), coverage_floor_ratio=0.9
    )
    send = _sends(commands)[0]
    refused = _result(plan.on_reply(example.failure_reply(send, _FAILED), 1.0))
    assert refused.reason is refusal.Reason.COVERAGE_BELOW_FLOOR
    assert refused.ran is refusal.Ran.NO
    assert refused.retry_after_ms > 0


def test_at_the_deadline_a_partial_answer_states_its_coverage():
    current = example.service(4, 1)
    plan, commands = _plan(current, example.planning_context(current))
    for send in _sends(commands)[:3]:
        plan.on_reply(example.answer_reply(send, current), 5.0)
    answer = _result(plan.on_timeout(395.0))
    assert isinstance(answer, query.Answer)
    assert answer.coverage_ratio == 0.75


def test_overlapping_ranges_and_their_hits_count_once():
    current = example.service(2, 1)
    plan, commands = _plan(current, example.planning_context(current))
    first, second = _sends(commands)
    wide = example.answer_reply(first, current)
    wide = message.UpstreamReply(
        **{
            **{name: getattr(wide, name) for name in wide.__dataclass_fields__},
            "key_range": type(wide.key_range)(0, 40_000),
            "hits": (
                query.Hit(10, 1.0, "a [v1]"),
                query.Hit(39_000, 1.0, "b [v1]"),
            ),
        }
    )
    plan.on_reply(wide, 5.0)
    other = example.answer_reply(second, current)
    other = message.UpstreamReply(
        **{
            **{
                name: getattr(other, name)
                for name in other.__dataclass_fields__
            },
            "hits": (
                query.Hit(39_000, 1.0, "b [v1]"),
                query.Hit(50_000, 1.0, "c [v1]"),
            ),
        }
    )
    answer = _result(plan.on_reply(other, 6.0))
    assert answer.coverage_ratio == 1.0
    assert [hit.key for hit in answer.hits] == [10, 39_000, 50_000]
