"""Replays of one request's decisions: what is sent, hedged, given up."""

import dataclasses
import sys

from hyssoptack.core import traffic
from hyssoptack.policy import callcommand
from hyssoptack.policy import callplan
from hyssoptack.policy import hedgetiming
from hyssoptack.policy import loadbalancer
from hyssoptack.policy import plancontext
from hyssoptack.policy import upstreamchoice
from hyssoptack.policy import windowbudget

GOAL_MS = 100.0
END_MS = 1_000.0


def upstream(name, service="s0", zone="north", slots=3, cold_ms=0.0):
    return traffic.Upstream(
        upstream_id=name,
        service=service,
        address="127.0.0.1:1",
        failure_domain=zone,
        slot_count=slots,
        draining=False,
        cold_ms=cold_ms,
    )


def plan_context(*upstreams, tokens=10.0):
    known = loadbalancer.LoadBalancer(
        loadbalancer.LoadBalancerSettings(
            failure_domain="north", crossing_ratio=1.5
        )
    )
    known.set_upstreams({each.upstream_id: each for each in upstreams}, 0.0)
    share = windowbudget.BudgetShare(
        ratio=0.15,
        slack_count=tokens / windowbudget.BUCKET_RATIO,
        window_ms=10_000.0,
    )
    return plancontext.PlanContext(
        load_balancer=known,
        extra_call_budget=windowbudget.WindowBudget(share, -10_000.0),
    )


def plan(know, target=None, idempotent=True, attempts=2, name=""):
    route = traffic.Route(
        name="r",
        host="h",
        prefix="/",
        idempotent=idempotent,
        timeout_ms=END_MS,
        latency_goal_ms=GOAL_MS,
        priority=1,
        max_attempts_count=attempts,
        target=target or traffic.OneService(service="s0"),
    )
    services = target.shards if target else ("s0",)
    ask = callcommand.PlanRequest(
        route=route,
        services=services,
        goal_at_ms=GOAL_MS,
        deadline_at_ms=END_MS,
        fingerprint=name,
    )
    return callplan.CallPlan(ask, know, 0.0)


def shards(count, floor_ratio):
    return traffic.AllShards(
        shards=tuple(f"s{index}" for index in range(count)),
        top_count=5,
        floor_ratio=floor_ratio,
    )


def answered(reply="ok"):
    return callcommand.Outcome(
        kind=callcommand.OutcomeKind.ANSWERED, reply=reply
    )


FAILED = callcommand.Outcome(
    kind=callcommand.OutcomeKind.FAILED, reason="reset"
)
SHED = callcommand.Outcome(kind=callcommand.OutcomeKind.SHED, reason="shed_503")
UNREACHABLE = callcommand.Outcome(
    kind=callcommand.OutcomeKind.NOT_RUN,
    reason="connect_timeout",
    reached=False,
)


def sends(commands):
    return [each for each in commands if isinstance(each, callcommand.Send)]


def result(commands):
    ends = [each for each in commands if isinstance(each, callcommand.Finish)]
    return ends[0].result if ends else None


def test_the_own_failure_domain_is_called_first():
    know = plan_context(upstream("far", zone="south"), upstream("near"))
    (first,) = sends(plan(know).start(0.0))
    assert first.upstream.upstream_id == "near"
    assert not first.extra_reason


def test_a_slow_call_is_hedged_elsewhere_and_the_loser_cancelled():
    know = plan_context(upstream("a"), upstream("b"))
    running = plan(know)
    (first,) = sends(running.start(0.0))
    due_ms = running.next_deadline_ms()
    assert due_ms < GOAL_MS
    (second,) = sends(running.on_timeout(due_ms))
    assert second.extra_reason == "hedge"
    assert second.upstream.upstream_id != first.upstream.upstream_id
    commands = running.on_outcome(second.call_id, answered(), due_ms + 10)
    assert callcommand.Cancel(call_id=first.call_id) in commands
    assert isinstance(result(commands), callcommand.Answer)


def test_quick_routes_hedge_no_sooner_than_the_goal_asks_for():
    know = plan_context(upstream("a"), upstream("b"))
    for number in range(100):
        know.load_balancer.record_answer("r", "a", 5.0, number)
    running = plan(know)
    running.start(0.0)
    assert running.next_deadline_ms() >= hedgetiming.MIN_DELAY_RATIO * GOAL_MS


def _replicated_index(part_count, delay_ms):
    """A query over shards of two upstreams, all but the last two answered."""
    names = [f"s{index}" for index in range(part_count)]
    know = plan_context(
        *(upstream(f"{name}-a", name) for name in names),
        *(upstream(f"{name}-b", name) for name in names),
    )
    running = plan(know, shards(part_count, 0.9))
    calls = sends(running.start(0.0))
    at_ms = delay_ms
    for call in calls[:-2]:
        assert not sends(running.on_outcome(call.call_id, answered(), at_ms))
        at_ms += 1.3
    return running, at_ms - 1.3


def test_parts_that_are_missing_once_answers_dry_up_are_hedged_at_once():
    # Answers were in at 30 ms; the missing ones, 2 of 54 that pause at any
    # time, waited to 72 ms for their first hedge, and came back over the goal.
    running, last_ms = _replicated_index(20, 10.0)
    due_ms = running.next_deadline_ms()
    assert last_ms + 3.0 < due_ms < last_ms + 8.0
    hedges = sends(running.on_timeout(due_ms))
    assert [each.extra_reason for each in hedges] == ["hedge", "hedge"]
    assert due_ms < hedgetiming.MIN_DELAY_RATIO * GOAL_MS


def test_answers_that_still_come_in_hold_the_hedges_back():
    # On a narrow link answers come one behind the other, 1.3 ms apart: hedges
    # of calls that only wait for their turn lengthen the queue.
    running, last_ms = _replicated_index(20, 10.0)
    assert not sends(running.on_timeout(last_ms + 2.0))


def test_with_many_parts_missing_no_gap_says_anything():
    know = plan_context(
        *(upstream(f"a{i}", f"s{i}") for i in range(4)),
        *(upstream(f"b{i}", f"s{i}") for i in range(4)),
    )
    running = plan(know, shards(4, 0.5))
    first, *_ = sends(running.start(0.0))
    running.on_outcome(first.call_id, answered(), 5.0)
    assert running.next_deadline_ms() >= hedgetiming.MIN_DELAY_RATIO * 92.0


def test_without_budget_nothing_is_hedged():
    know = plan_context(upstream("a"), upstream("b"), tokens=0.0)
    running = plan(know)
    running.start(0.0)
    assert not sends(running.on_timeout(running.next_deadline_ms()))


def test_a_request_that_may_run_once_is_neither_hedged_nor_resent():
    know = plan_context(upstream("a"), upstream("b"))
    running = plan(know, idempotent=False)
    (first,) = sends(running.start(0.0))
    assert running.next_deadline_ms() > GOAL_MS
    end = result(running.on_outcome(first.call_id, FAILED, 5.0))
    assert isinstance(end, callcommand.Fail)


def test_a_refused_request_that_may_run_once_goes_to_another():
    know = plan_context(upstream("a"), upstream("b"))
    running = plan(know, idempotent=False)
    (first,) = sends(running.start(0.0))
    (second,) = sends(running.on_outcome(first.call_id, SHED, 1.0))
    assert second.upstream != first.upstream


def test_after_all_refused_the_first_is_asked_again_and_no_third_ever():
    know = plan_context(upstream("a"), upstream("b"), upstream("c"))
    running = plan(know, idempotent=False)
    (call,) = sends(running.start(0.0))
    asked = [call.upstream.upstream_id]
    end = None
    while end is None:
        commands = running.on_outcome(call.call_id, SHED, 1.0)
        end = result(commands)
        for call in sends(commands):
            asked.append(call.upstream.upstream_id)
    assert isinstance(end, callcommand.Refuse)
    assert len(set(asked)) == 2
    assert len(asked) == 2 + upstreamchoice.MAX_RESEND_COUNT


def test_the_only_upstream_is_asked_again_after_it_refused():
    running = plan(plan_context(upstream("a")))
    (first,) = sends(running.start(0.0))
    (second,) = sends(running.on_outcome(first.call_id, SHED, 1.0))
    assert second.upstream == first.upstream
    end = result(running.on_outcome(second.call_id, answered(), 9.0))
    assert isinstance(end, callcommand.Answer)


def test_resending_ends_with_the_budget():
    know = plan_context(upstream("a"), upstream("b"), tokens=1.0)
    running = plan(know, idempotent=False)
    (first,) = sends(running.start(0.0))
    (second,) = sends(running.on_outcome(first.call_id, SHED, 1.0))
    end = result(running.on_outcome(second.call_id, SHED, 2.0))
    assert end == callcommand.Refuse(reason="no_retry_budget")


def test_an_upstream_that_can_not_be_reached_costs_no_attempt():
    know = plan_context(upstream("a"), upstream("b"), upstream("c"), tokens=1.0)
    running = plan(know, idempotent=False)
    (call,) = sends(running.start(0.0))
    for _ in range(2):
        (call,) = sends(running.on_outcome(call.call_id, UNREACHABLE, 1.0))
    assert call.extra_reason == "reroute"
    end = result(running.on_outcome(call.call_id, UNREACHABLE, 2.0))
    assert isinstance(end, callcommand.Refuse)


def test_attempts_end_at_the_routes_limit():
    names = [upstream(name) for name in "abcd"]
    running = plan(plan_context(*names), attempts=2)
    (first,) = sends(running.start(0.0))
    (second,) = sends(running.on_outcome(first.call_id, FAILED, 1.0))
    end = result(running.on_outcome(second.call_id, FAILED, 2.0))
    assert isinstance(end, callcommand.Fail)


def test_at_the_goal_a_query_answers_with_what_covers_the_floor():
    know = plan_context(*(upstream(f"u{i}", f"s{i}") for i in range(4)))
    running = plan(know, shards(4, 0.75))
    calls = sends(running.start(0.0))
    for call in calls[:3]:
        assert (
            result(running.on_outcome(call.call_id, answered(), 20.0)) is None
        )
    assert running.next_deadline_ms() <= GOAL_MS
    end = result(running.on_timeout(GOAL_MS))
    assert isinstance(end, callcommand.Answer)
    assert (len(end.replies), end.part_count) == (3, 4)


def test_below_the_floor_a_query_waits_on_for_a_late_answer():
    know = plan_context(*(upstream(f"u{i}", f"s{i}") for i in range(4)))
    running = plan(know, shards(4, 0.75))
    calls = sends(running.start(0.0))
    for call in calls[:2]:
        running.on_outcome(call.call_id, answered(), 20.0)
    assert result(running.on_timeout(GOAL_MS)) is None
    end = result(running.on_outcome(calls[2].call_id, answered(), 150.0))
    assert isinstance(end, callcommand.Answer)


def _hedges_with_one_token(floor_ratio):
    """Returns how many of two open parts of four are hedged."""
    ups = [upstream(f"u{i}{zone}", f"s{i}") for i in range(4) for zone in "ab"]
    running = plan(plan_context(*ups, tokens=1.0), shards(4, floor_ratio))
    for call in sends(running.start(0.0))[:2]:
        running.on_outcome(call.call_id, answered(), 20.0)
    return len(sends(running.on_timeout(running.next_deadline_ms())))


def test_the_last_token_goes_to_a_query_that_would_miss_its_floor():
    assert _hedges_with_one_token(floor_ratio=0.75) == 2


def test_the_last_token_is_kept_where_the_answer_can_do_without():
    assert _hedges_with_one_token(floor_ratio=0.5) == 0


def _hedged_at_risk(*hedge_targets):
    """A query whose only part that is missing was hedged, and the hedge."""
    know = plan_context(
        upstream("a"),
        *(upstream(name) for name in hedge_targets),
        upstream("c", "s1"),
    )
    running = plan(know, shards(2, 1.0))
    first, other = sends(running.start(0.0))
    running.on_outcome(other.call_id, answered(), 5.0)
    (hedge,) = sends(running.on_timeout(running.next_deadline_ms()))
    assert first.upstream.service == hedge.upstream.service == "s0"
    return running, hedge


def test_a_hedge_that_reaches_nobody_goes_on_to_the_next():
    # While a failure domain was cut off, hedges went there and ended there: 25
    # of 180 queries came 10 to 30 ms late for one part that paused.
    running, hedge = _hedged_at_risk("b", "d")
    (again,) = sends(running.on_outcome(hedge.call_id, UNREACHABLE, 60.0))
    assert again.upstream.upstream_id not in ("a", hedge.upstream.upstream_id)


def test_a_refused_hedge_is_sent_again_where_the_floor_depends_on_it():
    running, hedge = _hedged_at_risk("b")
    (again,) = sends(running.on_outcome(hedge.call_id, SHED, 60.0))
    assert again.upstream == hedge.upstream


def test_a_failed_hedge_leaves_the_first_call_its_chance():
    running, hedge = _hedged_at_risk("b")
    assert not running.on_outcome(hedge.call_id, FAILED, 60.0)
    assert not running.finished
    assert not sends(running.on_outcome(1, answered(), 70.0))
    assert running.finished


def test_a_refused_hedge_ends_where_the_answer_can_do_without():
    know = plan_context(
        *(upstream(f"a{i}", f"s{i}") for i in range(4)), upstream("b0", "s0")
    )
    running = plan(know, shards(4, 0.5))
    _, *others = sends(running.start(0.0))
    for call in others:
        running.on_outcome(call.call_id, answered(), 5.0)
    (hedge,) = sends(running.on_timeout(running.next_deadline_ms()))
    assert not running.on_outcome(hedge.call_id, SHED, 60.0)


def test_a_floor_out_of_reach_ends_a_query_before_anything_is_sent():
    know = plan_context(*(upstream(f"u{i}", f"s{i}") for i in range(2)))
    commands = plan(know, shards(4, 0.75)).start(0.0)
    assert result(commands) == callcommand.Refuse(reason="no_upstream")
    assert not sends(commands)


def test_a_floor_lost_on_the_way_ends_a_query_at_once():
    know = plan_context(*(upstream(f"u{i}", f"s{i}") for i in range(4)))
    running = plan(know, shards(4, 0.75))
    calls = sends(running.start(0.0))
    assert result(running.on_outcome(calls[0].call_id, FAILED, 5.0)) is None
    end = result(running.on_outcome(calls[1].call_id, FAILED, 6.0))
    assert isinstance(end, callcommand.Fail)


def test_a_failure_names_the_part_that_was_lost_not_one_still_open():
    know = plan_context(*(upstream(f"u{i}", f"s{i}") for i in range(4)))
    running = plan(know, shards(4, 1.0))
    calls = sends(running.start(0.0))
    end = result(running.on_outcome(calls[3].call_id, FAILED, 5.0))
    assert end.reason == "reset"


def test_what_never_left_for_an_upstream_has_not_run():
    # 73 requests of a day were told 502 though nothing had been sent: callers
    # may not repeat what is not idempotent after that.
    know = plan_context(upstream("a"))
    running = plan(know, idempotent=False)
    (call,) = sends(running.start(0.0))
    running.calls.mark_unsent(call.call_id)
    end = result(running.on_timeout(END_MS))
    assert isinstance(end, callcommand.Refuse)


def test_what_is_sent_at_last_may_have_run():
    know = plan_context(upstream("a"))
    running = plan(know, idempotent=False)
    (call,) = sends(running.start(0.0))
    running.calls.mark_unsent(call.call_id)
    running.calls.mark_sent(call.call_id)
    end = result(running.on_timeout(END_MS))
    assert isinstance(end, callcommand.Fail)


def test_no_upstream_at_all_is_a_refusal():
    end = result(plan(plan_context()).start(0.0))
    assert end == callcommand.Refuse(reason="no_upstream")


def test_the_deadline_fails_what_may_still_run():
    running = plan(plan_context(upstream("a")))
    running.start(0.0)
    end = result(running.on_timeout(END_MS))
    assert isinstance(end, callcommand.Fail)
    assert end.timed_out


def test_abandoning_cancels_every_call():
    know = plan_context(*(upstream(f"u{i}", f"s{i}") for i in range(4)))
    running = plan(know, shards(4, 0.75))
    calls = sends(running.start(0.0))
    commands = running.on_caller_left(5.0)
    assert {each.call_id for each in commands} == {c.call_id for c in calls}
    assert not running.on_outcome(calls[0].call_id, answered(), 6.0)


def test_in_flight_counts_return_to_zero():
    know = plan_context(*(upstream(f"u{i}", f"s{i}") for i in range(4)))
    running = plan(know, shards(4, 1.0))
    for call in sends(running.start(0.0))[:2]:
        running.on_outcome(call.call_id, answered(), 3.0)
    running.on_caller_left(5.0)
    standings = know.load_balancer.upstream_states.values()
    assert all(each.in_flight_count == 0 for each in standings)


def test_a_frozen_ask_can_be_replaced_for_replay():
    ask = plan(plan_context(upstream("a"))).request
    assert dataclasses.replace(ask, goal_at_ms=1.0).goal_at_ms == 1.0


def _work_count(part_count):
    """Returns the function calls that one whole query takes."""
    know = plan_context(
        *(upstream(f"u{i}", f"s{i}") for i in range(part_count))
    )
    counted = 0

    def count(_frame, event, _arg):
        nonlocal counted
        counted += event in ("call", "c_call")

    sys.setprofile(count)
    running = plan(know, shards(part_count, 0.9))
    for call in sends(running.start(0.0)):
        running.on_outcome(call.call_id, answered(), 20.0)
        running.next_deadline_ms()
    sys.setprofile(None)
    return counted


def test_a_part_costs_the_same_among_many_as_among_few():
    assert _work_count(360) / 360 < 1.1 * _work_count(36) / 36
