"""Attempts of a query that two instances may run, in any order of events."""

import hypothesis
from hypothesis import strategies

from hyssoptack.policy import callcommand
from hyssoptack.policy import callplan
from hyssoptack.policy import callplan_test as plans

COPY_COUNT = 5
GOAL_MS = plans.GOAL_MS
STEPS = strategies.lists(
    strategies.sampled_from(("time", "fails", "unreached", "sheds", "dries")),
    max_size=12,
)


def _upstreams():
    return [plans.upstream(f"u{index}") for index in range(COPY_COUNT)]


def _plan(attempts_count=2, **changes):
    """Returns a query over two shards; the second has one upstream."""
    know = plans.plan_context(*_upstreams(), plans.upstream("v0", "s1"))
    target = plans.shards(2, 0.5)
    whole = plans.plan(know, target, attempts=attempts_count).request
    fields = {
        "route": whole.route,
        "services": whole.services,
        "goal_at_ms": whole.goal_at_ms,
        "deadline_at_ms": whole.deadline_at_ms,
        **changes,
    }
    return callplan.CallPlan(callcommand.PlanRequest(**fields), know, 0.0)


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


def test_a_refused_connection_is_no_attempt_and_waits_for_nothing():
    running = _plan(awaits_grant=True)
    first = plans.sends(running.start(0.0))[0]
    (other,) = plans.sends(
        running.on_outcome(first.call_id, plans.UNREACHABLE, 5.0)
    )
    assert other.upstream.upstream_id != first.upstream.upstream_id


def test_a_part_that_waits_for_attempts_ends_with_its_query():
    running = _plan(awaits_grant=True)
    first = plans.sends(running.start(0.0))[0]
    running.on_outcome(first.call_id, plans.FAILED, 5.0)
    end_ms = running.next_deadline_ms()
    assert running.finished or plans.result(running.on_timeout(end_ms))
    assert not running.on_attempts_granted(end_ms + 1.0)


class _Instance:
    """A plan, and the upstreams that may have seen its calls."""

    def __init__(self, plan):
        self.plan = plan
        self.seen: set[str] = set()
        self._open: list[callcommand.Send] = []
        self._now_ms = 0.0

    def take(self, commands):
        """Carries out commands."""
        for each in plans.sends(commands):
            self._open.append(each)
            if each.upstream.service == "s0":
                self.seen.add(each.upstream.upstream_id)

    def step(self, kind):
        """Lets something happen to the oldest call, or time pass."""
        self._now_ms += 20.0
        match kind:
            case "time":
                self.take(self.plan.on_timeout(self._now_ms))
            case "dries":
                ids = [each.call_id for each in self._open]
                self.take(self.plan.on_stalled(ids, self._now_ms))
            case _ if self._open:
                self._end(self._open.pop(0), kind)

    def _end(self, call, kind):
        outcome = {
            "fails": plans.FAILED,
            "sheds": plans.SHED,
            "unreached": plans.UNREACHABLE,
        }[kind]
        if not outcome.reached:
            self.seen.discard(call.upstream.upstream_id)
        self.take(self.plan.on_outcome(call.call_id, outcome, self._now_ms))

    def grant(self):
        """Grants the other attempts."""
        self.take(self.plan.on_attempts_granted(self._now_ms))


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(
    attempts_count=strategies.integers(2, 3),
    before=STEPS,
    at_neighbour=STEPS,
    at_sender=STEPS,
    heard=strategies.booleans(),
)
def test_two_instances_never_use_more_attempts_than_the_route_has(
    attempts_count, before, at_neighbour, at_sender, heard
):
    neighbour = _Instance(_plan(attempts_count, awaits_grant=True))
    neighbour.take(neighbour.plan.start(0.0))
    for kind in before:
        neighbour.step(kind)
    sender = _Instance(_plan(attempts_count, may_have_run=True))
    if heard:
        # The sender does not take back what it heard to have begun.
        neighbour.grant()
    else:
        sender.take(sender.plan.start(0.0))
    for kind in at_neighbour:
        neighbour.step(kind)
    for kind in at_sender:
        sender.step(kind)
    assert len(neighbour.seen | sender.seen) <= attempts_count
