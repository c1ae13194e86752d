"""Load balancing over slow, failing, cold, full and unreachable upstreams."""

import collections
import dataclasses

from hyssoptack.balancing import ejectionstate
from hyssoptack.balancing import loadbalancer
from hyssoptack.balancing import slowness
from hyssoptack.core import gatewaymessage
from hyssoptack.planning import callplan_test

upstream = callplan_test.upstream


def load_balancer(*upstreams):
    balancer = loadbalancer.LoadBalancer(
        loadbalancer.LoadBalancerSettings(
            failure_domain="north", crossing_ratio=1.5
        )
    )
    balancer.set_upstreams({each.upstream_id: each for each in upstreams}, 0.0)
    return balancer


def choice(balancer, now_ms=0.0, tried=()):
    found = balancer.choose("r", "s0", frozenset(tried), now_ms)
    return found.upstream_id if found else None


def test_a_slow_upstream_is_avoided_and_later_tried_again():
    balancer = load_balancer(upstream("a"), upstream("b"))
    for number in range(40):
        balancer.record_answer("r", "b", 20.0, number)
    for number in range(6):
        balancer.record_answer("r", "a", 170.0, 40.0 + 250.0 * number)
    assert choice(balancer, 1_500.0) == "b"
    # By then the slowness of "a" has decayed below the cost of the load on "b".
    balancer.begin_call("b", 0.0)
    balancer.begin_call("b", 0.0)
    assert choice(balancer, 30_000.0) == "a"


def test_one_pause_moves_no_calls_to_another_domain():
    balancer = load_balancer(upstream("near"), upstream("far", zone="south"))
    for number in range(40):
        balancer.record_answer("r", "near", 20.0, number)
    balancer.record_answer("r", "near", 200.0, 41.0)
    for number in range(4):
        balancer.record_answer("r", "near", 20.0, 42.0 + number)
    assert choice(balancer, 50.0) == "near"


def test_lasting_slowness_moves_calls_to_another_domain():
    balancer = load_balancer(upstream("near"), upstream("far", zone="south"))
    for number in range(40):
        balancer.record_answer("r", "near", 20.0, number)
    for number in range(6):
        balancer.record_answer("r", "near", 170.0, 41.0 + 250.0 * number)
    assert choice(balancer, 1_500.0) == "far"


def test_all_calls_delayed_by_one_pause_count_once():
    balancer = load_balancer(upstream("near"), upstream("far", zone="south"))
    for number in range(40):
        balancer.record_answer("r", "near", 20.0, number)
    for number in range(5):
        balancer.record_answer("r", "near", 200.0 - number, 200.0 + number)
    assert choice(balancer, 210.0) == "near"


def test_an_unreachable_upstream_is_ejected_for_longer_each_time():
    balancer = load_balancer(upstream("a"), upstream("b"))
    assert balancer.record_connect_failure("a", 0.0)
    assert not balancer.record_connect_failure("a", 1.0)
    assert choice(balancer, 500.0) == "b"
    balancer.record_connect_failure("a", 1_100.0)
    assert balancer.upstream_states["a"].ejected_until_ms == 3_100.0


def test_what_fails_a_thousand_times_in_a_row_is_still_ejected():
    # The power of two of the failures had no float any more.
    balancer = load_balancer(upstream("a"))
    domain = ejectionstate.EjectionState()
    for number in range(1_100):
        now_ms = 10_000.0 * number
        assert balancer.record_connect_failure("a", now_ms)
        domain.record_failure(now_ms)
    state = balancer.upstream_states["a"]
    assert state.ejected_until_ms == now_ms + loadbalancer.MAX_EJECTION_MS
    assert domain.ejected_until_ms == now_ms + ejectionstate.MAX_EJECTION_MS


def test_an_ejected_upstream_is_chosen_if_all_are_ejected():
    balancer = load_balancer(upstream("a"))
    balancer.record_connect_failure("a", 0.0)
    assert choice(balancer, 1.0) == "a"


def test_an_upstream_that_shed_a_call_is_chosen_after_others():
    balancer = load_balancer(upstream("a"), upstream("b"))
    balancer.record_shed("a", 0.0)
    assert choice(balancer, 10.0) == "b"


def test_draining_and_excluded_upstreams_are_not_chosen():
    leaving = dataclasses.replace(upstream("a"), draining=True)
    balancer = load_balancer(leaving, upstream("b"))
    assert choice(balancer) == "b"
    assert choice(balancer, tried=("b",)) is None


def test_calls_are_spread_evenly_over_equal_upstreams():
    balancer = load_balancer(upstream("a"), upstream("b"), upstream("c"))
    counts = collections.Counter()
    for _ in range(9):
        name = choice(balancer)
        balancer.begin_call(name, 0.0)
        counts[name] += 1
    assert set(counts.values()) == {3}


def test_a_new_list_keeps_the_ejection_of_an_upstream():
    balancer = load_balancer(upstream("a"), upstream("b"))
    balancer.record_connect_failure("a", 0.0)
    balancer.set_upstreams({"a": upstream("a"), "b": upstream("b")}, 10.0)
    assert choice(balancer, 20.0) == "b"


def test_an_upstream_that_sheds_repeatedly_is_avoided():
    balancer = load_balancer(upstream("near"), upstream("far", zone="south"))
    for number in range(40):
        balancer.record_answer("r", "near", 20.0, number)
    for number in range(20):
        balancer.record_shed("near", 100.0 + 10.0 * number)
    assert choice(balancer, 300.0 + loadbalancer.SHED_PENALTY_MS) == "far"


def slow_sample(ratio=6.0, age_ms=0.0):
    return gatewaymessage.LatencySample(ratio=ratio, age_ms=age_ms)


def test_slow_calls_of_two_neighbours_add_up():
    # Each neighbour reports one slow call; only both together move the calls.
    balancer = load_balancer(upstream("near"), upstream("far", zone="south"))
    balancer.record_answer("r", "near", 20.0, 0.0)
    balancer.merge_neighbour_calls(
        {"near": slow_sample(), "unknown": slow_sample()}, 1_000.0
    )
    assert choice(balancer, 1_000.0) == "near"
    balancer.merge_neighbour_calls({"near": slow_sample()}, 1_300.0)
    assert choice(balancer, 1_300.0) == "far"
    assert choice(balancer, 9_000.0) == "near"


def test_one_pause_reported_by_several_neighbours_counts_once():
    balancer = load_balancer(upstream("near"), upstream("far", zone="south"))
    balancer.record_answer("r", "near", 20.0, 0.0)
    for late_ms in (0.0, 150.0, 300.0, 450.0):
        shared = {"near": slow_sample(age_ms=late_ms + 50.0)}
        balancer.merge_neighbour_calls(shared, 1_000.0 + late_ms)
    assert choice(balancer, 1_500.0) == "near"


def test_a_later_quick_call_outweighs_a_slow_call_of_a_neighbour():
    balancer = load_balancer(upstream("near"), upstream("far", zone="south"))
    for number in range(4):
        balancer.record_answer("r", "near", 20.0, 300.0 * number)
        balancer.merge_neighbour_calls(
            {"near": slow_sample(age_ms=100.0)}, 300.0 * number + 50.0
        )
    assert choice(balancer, 1_000.0) == "near"


def busy_load_balancer():
    """Returns a balancer with recent quick calls to five upstreams."""
    names = "abcde"
    balancer = load_balancer(*(upstream(name) for name in names))
    for number in range(50):
        balancer.record_answer("r", names[number % 5], 20.0, 550.0 + number)
    return balancer


def test_only_recent_calls_of_the_instance_itself_are_shared():
    balancer = busy_load_balancer()
    balancer.record_answer("r", "a", 170.0, 700.0)
    assert set(balancer.calls_to_share(800.0)) == {"a"}
    assert balancer.calls_to_share(800.0)["a"].age_ms == 100.0
    assert not balancer.calls_to_share(3_000.0)
    balancer.merge_neighbour_calls({"b": slow_sample()}, 3_000.0)
    assert not balancer.calls_to_share(3_000.0)


def test_no_calls_are_shared_if_most_upstreams_look_slow():
    balancer = busy_load_balancer()
    for name in "abc":
        balancer.record_answer("r", name, 170.0, 700.0)
    assert not balancer.calls_to_share(800.0)


def test_quick_calls_to_a_slow_upstream_are_shared_and_end_its_avoidance():
    neighbour = busy_load_balancer()
    neighbour.record_answer("r", "a", 170.0, 700.0)
    neighbour.record_answer("r", "a", 20.0, 1_000.0)
    shared = neighbour.calls_to_share(1_050.0)
    assert shared["a"].ratio <= slowness.SLOW_RATIO
    balancer = load_balancer(upstream("a"), upstream("far", zone="south"))
    for when_ms in (0.0, 300.0, 600.0):
        balancer.merge_neighbour_calls({"a": slow_sample()}, when_ms)
    assert choice(balancer, 700.0) == "far"
    for when_ms in (1_100.0, 1_300.0, 1_500.0):
        balancer.merge_neighbour_calls(shared, when_ms)
    assert choice(balancer, 1_500.0) == "a"


def test_neighbours_avoid_an_upstream_that_sheds():
    neighbour = busy_load_balancer()
    balancer = load_balancer(upstream("a"), upstream("far", zone="south"))
    for when_ms in (700.0, 1_000.0, 1_300.0):
        neighbour.record_shed("a", when_ms)
        balancer.merge_neighbour_calls(
            neighbour.calls_to_share(when_ms), when_ms
        )
    assert choice(balancer, 1_300.0) == "far"


def test_a_call_cancelled_after_its_hedge_answered_counts_as_slow():
    # A call cancelled after twice the typical time counts as one that took four
    # times the typical time.
    balancer = load_balancer(upstream("near"), upstream("far", zone="south"))
    for number in range(20):
        balancer.record_answer("r", "far", 20.0, number)
    for when_ms in (300.0, 600.0, 900.0):
        balancer.record_cancelled("r", "near", 40.0, when_ms)
    assert choice(balancer, 900.0) == "far"


def test_an_unchanged_list_entry_does_not_restart_the_warmup():
    cold = dataclasses.replace(upstream("a"), cold_ms=500.0)
    balancer = load_balancer(cold)
    balancer.set_upstreams({"a": cold}, 400.0)
    assert balancer.upstream_states["a"].cold_until_ms == 500.0


def test_a_domain_covers_services_with_a_usable_upstream_in_it():
    balancer = load_balancer(
        upstream("near", "s0"),
        upstream("far", "s0", zone="south"),
        upstream("other", "s1", zone="south"),
        dataclasses.replace(upstream("leaving", "s2"), draining=True),
        upstream("staying", "s2", zone="south"),
    )
    assert balancer.local_domain_covers(["s0"])
    assert not balancer.local_domain_covers(["s0", "s1"])
    assert not balancer.local_domain_covers(["s2"])
    # No upstream serves "nowhere" in any domain, so it does not count.
    assert balancer.local_domain_covers(["s0", "nowhere"])
