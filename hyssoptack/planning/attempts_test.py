"""Tests the attempt limit of a query that two instances may both run."""

import hypothesis
from hypothesis import strategies

from hyssoptack.planning import callcommand
from hyssoptack.planning import callplan
from hyssoptack.planning import callplan_test as plans

COPY_COUNT = 5
GOAL_MS = plans.GOAL_MS
STEPS = strategies.lists(
    strategies.sampled_from(("time", "fails", "unreached", "sheds", "dries")),
    max_size=12,
)


def _upstreams():
    return [plans.upstream(f"u{index}") for index in range(COPY_COUNT)]


def _plan(attempts_count=2, **changes):
    """Returns the plan of a query over two shards.

    The first shard has `COPY_COUNT` upstreams, the second has one.
    """
    context = plans.plan_context(*_upstreams(), plans.upstream("v0", "s1"))
    target = plans.shards(2, 0.5)
    request = plans.plan(context, target, attempts=attempts_count).request
    fields = {
        "route": request.route,
        "services": request.services,
        "goal_at_ms": request.goal_at_ms,
        "deadline_at_ms": request.deadline_at_ms,
        **changes,
    }
    return callplan.CallPlan(callcommand.PlanRequest(**fields), context, 0.0)


def test_a_hedge_waits_until_the_other_attempts_are_granted():
    running = _plan(awaits_grant=True)
    calls = plans.sends(running.start(0.0))
    assert len(calls) == 2
    running.on_outcome(calls[1].call_id, plans.answered(), 5.0)
    assert running.next_deadline_ms() >= GOAL_MS
    assert not plans.sends(running.on_timeout(GOAL_MS - 1.0))
    (hedge,) = plans.sends(running.on_attempts_granted(GOAL_MS - 1.0))
    assert hedge.extra_reason == "hedge"
    assert hedge.upstream.upstream_id != calls[0].upstream.upstream_id


def test_a_retry_waits_until_the_other_attempts_are_granted():
    running = _plan(awaits_grant=True)
    first = plans.sends(running.start(0.0))[0]
    assert not running.on_outcome(first.call_id, plans.FAILED, 5.0)
    (again,) = plans.sends(running.on_attempts_granted(6.0))
    assert again.extra_reason == "retry"
    assert again.upstream.upstream_id != first.upstream.upstream_id


def test_a_reroute_after_a_refused_connection_needs_no_granted_attempt():
    running = _plan(awaits_grant=True)
    first = plans.sends(running.start(0.0))[0]
    (other,) = plans.sends(
        running.on_outcome(first.call_id, plans.UNREACHABLE, 5.0)
    )
    assert other.upstream.upstream_id != first.upstream.upstream_id


def test_a_deferred_retry_is_dropped_when_its_query_ends():
    running = _plan(awaits_grant=True)
    first = plans.sends(running.start(0.0))[0]
    running.on_outcome(first.call_id, plans.FAILED, 5.0)
    end_ms = running.next_deadline_ms()
    assert running.finished or plans.result(running.on_timeout(end_ms))
    assert not running.on_attempts_granted(end_ms + 1.0)


class _Instance:
    """A plan, its open calls and the upstreams that may have seen them."""

    def __init__(self, plan):
        self.plan = plan
        self.reached_upstream_ids: set[str] = set()
        self._open: list[callcommand.Send] = []
        self._now_ms = 0.0

    def execute(self, commands):
        """Records the calls that the commands send."""
        for each in plans.sends(commands):
            self._open.append(each)
            if each.upstream.service == "s0":
                self.reached_upstream_ids.add(each.upstream.upstream_id)

    def step(self, event):
        """Advances the time by 20 ms and applies one event.

        Args:
            event: "time" for a timeout, "dries" for stalled calls, else the
                outcome of the oldest open call.
        """
        self._now_ms += 20.0
        match event:
            case "time":
                self.execute(self.plan.on_timeout(self._now_ms))
            case "dries":
                ids = [each.call_id for each in self._open]
                self.execute(self.plan.on_stalled(ids, self._now_ms))
            case _ if self._open:
                self._end_call(self._open.pop(0), event)

    def _end_call(self, call, event):
        outcome = {
            "fails": plans.FAILED,
            "sheds": plans.SHED,
            "unreached": plans.UNREACHABLE,
        }[event]
        if not outcome.reached:
            self.reached_upstream_ids.discard(call.upstream.upstream_id)
        self.execute(self.plan.on_outcome(call.call_id, outcome, self._now_ms))

    def grant(self):
        """Grants the plan the route's remaining attempts."""
        self.execute(self.plan.on_attempts_granted(self._now_ms))


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(
    attempts_count=strategies.integers(2, 3),
    first_events=STEPS,
    neighbour_events=STEPS,
    sender_events=STEPS,
    knows_start=strategies.booleans(),
)
def test_two_instances_never_use_more_attempts_than_the_route_has(
    attempts_count, first_events, neighbour_events, sender_events, knows_start
):
    neighbour = _Instance(_plan(attempts_count, awaits_grant=True))
    neighbour.execute(neighbour.plan.start(0.0))
    for event in first_events:
        neighbour.step(event)
    sender = _Instance(_plan(attempts_count, may_have_run=True))
    if knows_start:
        # The sender does not take back a query that it knows to have
        # started.
        neighbour.grant()
    else:
        sender.execute(sender.plan.start(0.0))
    for event in neighbour_events:
        neighbour.step(event)
    for event in sender_events:
        sender.step(event)
    assert (
        len(neighbour.reached_upstream_ids | sender.reached_upstream_ids)
        <= attempts_count
    )
