"""Tests of the order of waiting requests and of the floors against starvation.

Property tests draw the demand of teams and routes at random.
"""

import collections
import random

import hypothesis
from hypothesis import strategies

from hyssoptack.admission import queue
from hyssoptack.admission import usage

GROUP = ("search",)


def make_ask(ask_id, **changes):
    """Returns a request that can easily meet its goal."""
    fields = {
        "group": GROUP,
        "route_name": "route",
        "team_name": "team",
        "team_weight": 0.0,
        "priority": 1,
        "returning": False,
        "goal_ms": 1e9,
        "started_ms": 0.0,
        "goal_at_ms": 1e9,
        "deadline_at_ms": 2e9,
        **changes,
    }
    return queue.Ask(ask_id=ask_id, **fields)


def _new_queue():
    recent = usage.Usage(0.0)
    return queue.WaitQueue(recent, lambda group: 10.0), recent


_ASKS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2),
        strategies.booleans(),
        strategies.floats(100.0, 1_000.0),
    ),
    min_size=1,
    max_size=20,
)


@hypothesis.given(_ASKS)
def test_without_teams_priority_then_return_then_goal_decide(drawn):
    waiting, _ = _new_queue()
    asks = [
        make_ask(
            number,
            priority=priority,
            returning=returning,
            goal_at_ms=goal_at_ms,
        )
        for number, (priority, returning, goal_at_ms) in enumerate(drawn)
    ]
    for ask in asks:
        waiting.add(ask, 0.0)
    expected = sorted(
        asks, key=lambda a: (a.priority, not a.returning, a.goal_at_ms)
    )
    assert [each.ask_id for each in waiting.ordered(0.0)] == [
        each.ask_id for each in expected
    ]


def test_a_request_that_will_be_late_does_not_delay_one_that_can_be_timely():
    waiting, _ = _new_queue()
    waiting.add(make_ask(1, priority=0, goal_ms=80, goal_at_ms=50), 45.0)
    waiting.add(make_ask(2, priority=2, goal_ms=80, goal_at_ms=120), 45.0)
    assert [each.ask_id for each in waiting.ordered(45.0)] == [2, 1]


def test_a_returning_caller_of_a_busy_team_does_not_precede_other_teams():
    waiting, recent = _new_queue()
    for _ in range(20):
        recent.record_started("busy", "route", 1, 0.0, 1)
    for number in range(10):
        recent.record_started(f"team-{number}", "route", 1, 0.0, 1)
    waiting.add(make_ask(1, team_name="busy", returning=True), 0.0)
    waiting.add(make_ask(2, team_name="team-1"), 0.0)
    assert waiting.first(0.0, lambda *_: True).ask_id == 2


def test_shares_follow_the_teams_weights():
    _, recent = _new_queue()
    for _ in range(30):
        recent.record_started("large", "route", 1, 30.0, 1)
    for _ in range(10):
        recent.record_started("small", "route", 1, 10.0, 1)
    assert recent.share_level("large", 1) == 0
    assert recent.share_level("small", 1) == 0
    for _ in range(30):
        recent.record_started("small", "route", 1, 10.0, 1)
    assert recent.share_level("small", 1) > 0


def test_teams_without_recent_requests_take_no_memory():
    recent = usage.Usage(0.0)
    for number in range(10_000):
        recent.record_refused(f"team-{number}", "route")
    for now_ms in range(0, 12_000, 250):
        recent.decay(float(now_ms))
    assert recent.team_count == 0


def _served_under_overload(demands, served_ratio, seed):
    """Queues random requests of which only a part can be served.

    Args:
        demands: Weight, team, route and priority of each stream of requests.
        served_ratio: Part of the requests for which there is room.
        seed: Seed of the arrivals.

    Returns:
        Requests and starts, by team and by route.
    """
    waiting, recent = _new_queue()
    rng = random.Random(seed)
    weights = [weight for weight, *_ in demands]
    asked, started = collections.Counter(), collections.Counter()
    room = 0.0
    for number in range(4_000):
        now_ms = 2.0 * number
        recent.decay(now_ms)
        _, team, route, priority = rng.choices(demands, weights)[0]
        ask = make_ask(
            number,
            team_name=team,
            route_name=route,
            priority=priority,
            goal_at_ms=now_ms + 1e6,
        )
        waiting.add(ask, now_ms)
        room += served_ratio
        if room >= 1.0:
            room -= 1.0
            ask = waiting.first(now_ms, lambda *_: True)
            waiting.remove(ask.ask_id)
            recent.record_started(
                ask.team_name, ask.route_name, ask.priority, 0.0, 1
            )
            decided, was_started = ask, True
        elif len(waiting) > 20:
            decided, was_started = waiting.ordered(now_ms)[-1], False
            waiting.remove(decided.ask_id)
            recent.record_refused(decided.team_name, decided.route_name)
        else:
            continue
        if number >= 1_000:
            for key in (("team", decided.team_name), decided.route_name, "all"):
                asked[key] += 1
                started[key] += was_started
    return asked, started


@hypothesis.settings(max_examples=25, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 8),
            strategies.sampled_from(["a", "b", "c", "d"]),
            strategies.sampled_from([("x", 0), ("y", 1), ("z", 2)]),
        ),
        min_size=2,
        max_size=8,
    ),
    strategies.floats(0.25, 0.7),
    strategies.integers(0, 1_000),
)
def test_no_team_gets_under_a_quarter_and_no_route_under_half(
    streams, served_ratio, seed
):
    demands = [
        (weight, team, route, priority)
        for weight, team, (route, priority) in streams
    ]
    asked, started = _served_under_overload(demands, served_ratio, seed)
    overall = started["all"] / asked["all"]
    for key, count in asked.items():
        if count >= 100:
            floor = 0.25 if isinstance(key, tuple) else 0.5
            assert started[key] / count >= floor * overall, key


def test_one_busy_team_does_not_crowd_out_75_others():
    demands = [(1, f"team-{number}", "x", 1) for number in range(75)]
    demands.append((112, "busy", "x", 1))
    asked, started = _served_under_overload(demands, 0.4, 1)
    others = [key for key in asked if isinstance(key, tuple)]
    others.remove(("team", "busy"))
    others_ratio = sum(started[key] for key in others) / sum(
        asked[key] for key in others
    )
    busy_ratio = started["team", "busy"] / asked["team", "busy"]
    overall = started["all"] / asked["all"]
    assert others_ratio >= 0.7
    assert 0.25 * overall <= busy_ratio < 0.5 * others_ratio
