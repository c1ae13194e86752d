"""Placing: slow, failing, cold, full and unreachable upstreams."""

import collections
import dataclasses

from hyssoptack.core import gatewaymessage
from hyssoptack.policy import callplan_test
from hyssoptack.policy import loadbalancer
from hyssoptack.policy import slowness

upstream = callplan_test.upstream


def known(*upstreams):
    made = loadbalancer.LoadBalancer(
        loadbalancer.LoadBalancerSettings(
            failure_domain="north", crossing_ratio=1.5
        )
    )
    made.set_upstreams({each.upstream_id: each for each in upstreams}, 0.0)
    return made


def choice(made, now_ms=0.0, tried=()):
    found = made.choose("r", "s0", frozenset(tried), now_ms)
    return found.upstream_id if found else None


def test_a_slow_upstream_loses_its_calls_and_gets_them_back():
    made = known(upstream("a"), upstream("b"))
    for number in range(40):
        made.record_answer("r", "b", 20.0, number)
    for number in range(6):
        made.record_answer("r", "a", 170.0, 40.0 + 250.0 * number)
    assert choice(made, 1_500.0) == "b"
    # Later it is tried again: the belief has faded below its neighbour's load.
    made.begin_call("b", 0.0)
    made.begin_call("b", 0.0)
    assert choice(made, 30_000.0) == "a"


def test_one_pause_does_not_drive_calls_into_another_domain():
    made = known(upstream("near"), upstream("far", zone="south"))
    for number in range(40):
        made.record_answer("r", "near", 20.0, number)
    made.record_answer("r", "near", 200.0, 41.0)
    for number in range(4):
        made.record_answer("r", "near", 20.0, 42.0 + number)
    assert choice(made, 50.0) == "near"


def test_a_lasting_slowness_does():
    made = known(upstream("near"), upstream("far", zone="south"))
    for number in range(40):
        made.record_answer("r", "near", 20.0, number)
    for number in range(6):
        made.record_answer("r", "near", 170.0, 41.0 + 250.0 * number)
    assert choice(made, 1_500.0) == "far"


def test_all_calls_delayed_by_one_pause_count_once():
    made = known(upstream("near"), upstream("far", zone="south"))
    for number in range(40):
        made.record_answer("r", "near", 20.0, number)
    for number in range(5):
        made.record_answer("r", "near", 200.0 - number, 200.0 + number)
    assert choice(made, 210.0) == "near"


def test_an_unreachable_upstream_is_left_alone_and_longer_each_time():
    made = known(upstream("a"), upstream("b"))
    assert made.record_connect_failure("a", 0.0)
    assert not made.record_connect_failure("a", 1.0)
    assert choice(made, 500.0) == "b"
    made.record_connect_failure("a", 1_100.0)
    assert made.upstream_states["a"].ejected_until_ms == 3_100.0


def test_where_all_are_unreachable_any_is_tried():
    made = known(upstream("a"))
    made.record_connect_failure("a", 0.0)
    assert choice(made, 1.0) == "a"


def test_an_upstream_that_shed_yields_to_others():
    made = known(upstream("a"), upstream("b"))
    made.record_shed("a", 0.0)
    assert choice(made, 10.0) == "b"


def test_draining_and_tried_upstreams_get_nothing():
    leaving = dataclasses.replace(upstream("a"), draining=True)
    made = known(leaving, upstream("b"))
    assert choice(made) == "b"
    assert choice(made, tried=("b",)) is None


def test_calls_spread_over_equals():
    made = known(upstream("a"), upstream("b"), upstream("c"))
    counts = collections.Counter()
    for _ in range(9):
        name = choice(made)
        made.begin_call(name, 0.0)
        counts[name] += 1
    assert set(counts.values()) == {3}


def test_what_calls_have_shown_outlives_a_new_list():
    made = known(upstream("a"), upstream("b"))
    made.record_connect_failure("a", 0.0)
    made.set_upstreams({"a": upstream("a"), "b": upstream("b")}, 10.0)
    assert choice(made, 20.0) == "b"


def test_an_upstream_that_refuses_time_and_again_is_avoided():
    made = known(upstream("near"), upstream("far", zone="south"))
    for number in range(40):
        made.record_answer("r", "near", 20.0, number)
    for number in range(20):
        made.record_shed("near", 100.0 + 10.0 * number)
    assert choice(made, 300.0 + loadbalancer.SHED_QUIET_MS) == "far"


def seen_call(ratio=6.0, age_ms=0.0):
    return gatewaymessage.LatencySample(ratio=ratio, age_ms=age_ms)


def test_seen_calls_of_two_neighbours_add_up():
    # Neither has seen the upstream twice; together they know enough.
    made = known(upstream("near"), upstream("far", zone="south"))
    made.record_answer("r", "near", 20.0, 0.0)
    made.merge_neighbour_calls(
        {"near": seen_call(), "unknown": seen_call()}, 1_000.0
    )
    assert choice(made, 1_000.0) == "near"
    made.merge_neighbour_calls({"near": seen_call()}, 1_300.0)
    assert choice(made, 1_300.0) == "far"
    assert choice(made, 9_000.0) == "near"


def test_one_pause_seen_by_many_counts_once():
    made = known(upstream("near"), upstream("far", zone="south"))
    made.record_answer("r", "near", 20.0, 0.0)
    for late_ms in (0.0, 150.0, 300.0, 450.0):
        told = {"near": seen_call(age_ms=late_ms + 50.0)}
        made.merge_neighbour_calls(told, 1_000.0 + late_ms)
    assert choice(made, 1_500.0) == "near"


def test_an_own_quick_call_outweighs_an_older_slow_one_elsewhere():
    made = known(upstream("near"), upstream("far", zone="south"))
    for number in range(4):
        made.record_answer("r", "near", 20.0, 300.0 * number)
        made.merge_neighbour_calls(
            {"near": seen_call(age_ms=100.0)}, 300.0 * number + 50.0
        )
    assert choice(made, 1_000.0) == "near"


def busy():
    """An instance that has lately called five upstreams, all quick."""
    names = "abcde"
    made = known(*(upstream(name) for name in names))
    for number in range(50):
        made.record_answer("r", names[number % 5], 20.0, 550.0 + number)
    return made


def test_only_own_and_fresh_calls_are_told():
    made = busy()
    made.record_answer("r", "a", 170.0, 700.0)
    assert set(made.calls_to_share(800.0)) == {"a"}
    assert made.calls_to_share(800.0)["a"].age_ms == 100.0
    assert not made.calls_to_share(3_000.0)
    made.merge_neighbour_calls({"b": seen_call()}, 3_000.0)
    assert not made.calls_to_share(3_000.0)


def test_who_sees_most_upstreams_slow_tells_nobody():
    made = busy()
    for name in "abc":
        made.record_answer("r", name, 170.0, 700.0)
    assert not made.calls_to_share(800.0)


def test_quick_calls_to_a_suspect_are_told_and_end_the_suspicion():
    teller = busy()
    teller.record_answer("r", "a", 170.0, 700.0)
    teller.record_answer("r", "a", 20.0, 1_000.0)
    news = teller.calls_to_share(1_050.0)
    assert news["a"].ratio <= slowness.SLOW_RATIO
    made = known(upstream("a"), upstream("far", zone="south"))
    for when_ms in (0.0, 300.0, 600.0):
        made.merge_neighbour_calls({"a": seen_call()}, when_ms)
    assert choice(made, 700.0) == "far"
    for when_ms in (1_100.0, 1_300.0, 1_500.0):
        made.merge_neighbour_calls(news, when_ms)
    assert choice(made, 1_500.0) == "a"


def test_neighbours_avoid_an_upstream_that_refuses():
    teller = busy()
    made = known(upstream("a"), upstream("far", zone="south"))
    for when_ms in (700.0, 1_000.0, 1_300.0):
        teller.record_shed("a", when_ms)
        made.merge_neighbour_calls(teller.calls_to_share(when_ms), when_ms)
    assert choice(made, 1_300.0) == "far"


def test_a_call_that_lost_to_its_hedge_is_no_quick_call():
    # Waited for twice as long as usual: it may well have taken four times that.
    made = known(upstream("near"), upstream("far", zone="south"))
    for number in range(20):
        made.record_answer("r", "far", 20.0, number)
    for when_ms in (300.0, 600.0, 900.0):
        made.record_cancelled("r", "near", 40.0, when_ms)
    assert choice(made, 900.0) == "far"


def test_a_list_read_again_does_not_make_an_upstream_cold_again():
    cold = dataclasses.replace(upstream("a"), cold_ms=500.0)
    made = known(cold)
    made.set_upstreams({"a": cold}, 400.0)
    assert made.upstream_states["a"].cold_until_ms == 500.0


def test_a_domain_covers_what_it_has_upstreams_for():
    made = known(
        upstream("near", "s0"),
        upstream("far", "s0", zone="south"),
        upstream("other", "s1", zone="south"),
        dataclasses.replace(upstream("leaving", "s2"), draining=True),
        upstream("staying", "s2", zone="south"),
    )
    assert made.own_domain_covers(["s0"])
    assert not made.own_domain_covers(["s0", "s1"])
    assert not made.own_domain_covers(["s2"])
    # Nobody serves it anywhere: callers lose nothing by staying.
    assert made.own_domain_covers(["s0", "nowhere"])
