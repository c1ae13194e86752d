"""Tests of one query's decisions."""

from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.core import refusal
from hyssoptack.policy import example
from hyssoptack.policy import querycommand
from hyssoptack.policy import queryplan

_SHED = message.CallStatus.SHED
_FAILED = message.CallStatus.FAILED
_MISSING = message.CallStatus.VERSION_MISSING


def _plan(current, know, **changed):
    plan = queryplan.QueryPlan(
        example.browsing_query(), example.profile(**changed), current, know, 0.0
    )
    return plan, plan.start(0.0)


def _asks(commands):
    return [each for each in commands if isinstance(each, querycommand.Send)]


def _result(commands):
    for each in commands:
        if isinstance(each, querycommand.Finish):
            return each.result
    return None


def _reply_all(plan, current, commands, **kind):
    last = []
    for ask in _asks(commands):
        last = plan.on_reply(example.answer_reply(ask, current, **kind), 5.0)
    return last


def test_whole_answer_when_every_shard_answers():
    current = example.service(4, 3)
    plan, commands = _plan(current, example.knowledge(current))
    answer = _result(_reply_all(plan, current, commands))
    assert answer.coverage_ratio == 1.0
    assert answer.upstream_call_count == 4
    assert answer.extra_call_count == 0
    assert len(answer.hits) == 4


def test_late_and_doubled_replies_change_nothing():
    current = example.service(2, 3)
    plan, commands = _plan(current, example.knowledge(current))
    first, second = _asks(commands)
    reply = example.answer_reply(first, current)
    assert _result(plan.on_reply(reply, 5.0)) is None
    assert plan.on_reply(reply, 6.0) == []
    answer = _result(plan.on_reply(example.answer_reply(second, current), 7.0))
    assert answer.coverage_ratio == 1.0
    assert plan.on_reply(example.answer_reply(second, current), 8.0) == []


def test_an_answer_of_another_version_is_asked_again_at_the_pinned_one():
    current = example.service(2, 1)
    plan, commands = _plan(current, example.knowledge(current))
    first, second = _asks(commands)
    plan.on_reply(example.answer_reply(first, current, 1, (1,)), 5.0)
    mixed = example.answer_reply(second, current, 2, (1, 2))
    again = _asks(plan.on_reply(mixed, 5.0))
    assert [ask.index_version for ask in again] == [1]
    answer = _result(
        plan.on_reply(example.answer_reply(again[0], current), 9.0)
    )
    assert (answer.index_version, answer.coverage_ratio) == (1, 1.0)
    assert answer.extra_call_count == 1


def test_a_shard_that_lacks_the_version_is_not_covered():
    current = example.service(2, 1)
    plan, commands = _plan(current, example.knowledge(current))
    first, second = _asks(commands)
    plan.on_reply(example.answer_reply(first, current, 1, (1,)), 5.0)
    missing = example.failure_reply(second, _MISSING, held_versions=(2,))
    answer = _result(plan.on_reply(missing, 6.0))
    assert answer.index_version == 1
    assert answer.coverage_ratio == 0.5


def test_an_upstream_thought_to_lack_the_version_is_asked_if_no_other_is_left():
    # What an upstream held is known from its answers; a belief that keeps it
    # from being asked would never be put right.
    current = example.service(2, 1)
    know = example.knowledge(current)
    upstreams = know.upstream_health.upstreams
    upstreams[current.shards[0].upstream_ids[0]].held_versions = (2,)
    upstreams[current.shards[1].upstream_ids[0]].held_versions = (1,)
    plan, commands = _plan(current, know)
    assert len(_asks(commands)) == 2


def test_a_failed_upstream_is_left_for_another_one_not_for_another_relay():
    current = example.service(1, 3)
    plan, commands = _plan(current, example.knowledge(current))
    first = _asks(commands)[0]
    again = _asks(plan.on_reply(example.failure_reply(first, _FAILED), 5.0))
    assert again[0].path.upstream_id != first.path.upstream_id


def test_a_relay_that_sheds_without_a_call_costs_no_budget():
    current = example.service(1, 3)
    know = example.knowledge(current)
    plan, commands = _plan(current, know)
    shed = example.failure_reply(_asks(commands)[0], _SHED, reached=False)
    assert len(_asks(plan.on_reply(shed, 1.0))) == 1
    assert know.retry_budgets.for_service(current.name).extra_call_count == 0


def test_retries_stop_where_the_budget_ends():
    current = example.service(50, 3)
    know = example.knowledge(current)
    plan, commands = _plan(current, know, coverage_floor_ratio=0.0)
    extra = 0
    open_asks = _asks(commands)
    while open_asks:
        ask = open_asks.pop()
        commands = plan.on_reply(example.failure_reply(ask, _SHED), 5.0)
        extra += len(_asks(commands))
        open_asks += _asks(commands)
    # 5 at the start and 5 in 100 of 50 first calls.
    assert extra == 7


def test_a_call_that_never_reached_an_upstream_is_moved_for_nothing():
    current = example.service(1, 3)
    know = example.knowledge(current)
    plan, commands = _plan(current, know)
    lost = example.failure_reply(
        _asks(commands)[0], message.CallStatus.NOT_OWNER, reached=False
    )
    assert len(_asks(plan.on_reply(lost, 1.0))) == 1
    assert know.retry_budgets.for_service(current.name).extra_call_count == 0


def test_a_slow_call_is_hedged_once_and_the_loser_dropped():
    current = example.service(1, 3)
    know = example.knowledge(current)
    for number in range(40):
        reply = message.UpstreamReply(
            call_id=number,
            upstream_id=current.shards[0].upstream_ids[0],
            status=message.CallStatus.ANSWERED,
            service_ms=5.0,
        )
        know.upstream_health.record_reply(current.name, reply, 0.0)
    plan, commands = _plan(current, know)
    first = _asks(commands)[0]
    assert plan.next_deadline_ms() == 5.0
    hedge = _asks(plan.on_timeout(6.0))
    assert len(hedge) == 1
    assert hedge[0].path.upstream_id != first.path.upstream_id
    assert _asks(plan.on_timeout(20.0)) == []
    commands = plan.on_reply(example.answer_reply(hedge[0], current), 8.0)
    dropped = [
        each for each in commands if isinstance(each, querycommand.Cancel)
    ]
    assert [each.call_id for each in dropped] == [first.call_id]
    assert _result(commands).extra_call_count == 1


def test_a_query_below_its_floor_is_refused_as_soon_as_that_is_certain():
    current = example.service(4, 1)
    plan, commands = _plan(
        current, example.knowledge(current), coverage_floor_ratio=0.9
    )
    ask = _asks(commands)[0]
    refused = _result(plan.on_reply(example.failure_reply(ask, _FAILED), 1.0))
    assert refused.reason is refusal.Reason.COVERAGE_BELOW_FLOOR
    assert refused.ran is refusal.Ran.NO
    assert refused.retry_after_ms > 0


def test_at_the_deadline_what_is_there_is_answered_with_its_coverage():
    current = example.service(4, 1)
    plan, commands = _plan(current, example.knowledge(current))
    for ask in _asks(commands)[:3]:
        plan.on_reply(example.answer_reply(ask, current), 5.0)
    answer = _result(plan.on_timeout(395.0))
    assert isinstance(answer, query.Answer)
    assert answer.coverage_ratio == 0.75


def test_overlapping_ranges_count_once():
    current = example.service(2, 1)
    plan, commands = _plan(current, example.knowledge(current))
    first, second = _asks(commands)
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
