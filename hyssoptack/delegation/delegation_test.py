"""Tests which queries are delegated, and to which neighbours."""

import random

from hyssoptack.core import member
from hyssoptack.delegation import delegation

SLOW_MBPS = 7.7
FAST_MBPS = 70.0
QUERY = delegation.Query(route_name="r", part_count=36, to_goal_ms=143.0)


def peer(name, link_mbps=FAST_MBPS):
    return member.Peer(
        instance_id=name,
        failure_domain="north",
        address=f"{name}:1",
        link_mbps=link_mbps,
    )


def make_selector(*peers, link_mbps=SLOW_MBPS, size_bytes=1_250):
    selector = delegation.DelegateSelector(link_mbps, random.Random(3))
    selector.set_neighbours(peers)
    selector.record_reply_size("r", size_bytes)
    return selector


def test_a_query_that_fills_the_own_link_goes_to_a_faster_one():
    # 36 parts occupy a link of 7.7 Mbit/s for 47 ms of the 143 to the goal.
    selector = make_selector(peer("a", SLOW_MBPS), peer("b"))
    assert selector.choose(QUERY, 0.0).instance_id == "b"


def test_queries_that_gain_nothing_are_run_locally():
    assert make_selector(peer("b"), size_bytes=100).choose(QUERY, 0.0) is None
    assert make_selector(peer("b", 10.0)).choose(QUERY, 0.0) is None
    assert (
        make_selector(peer("b"), link_mbps=FAST_MBPS).choose(QUERY, 0.0) is None
    )
    assert make_selector(peer("b"), link_mbps=0.0).choose(QUERY, 0.0) is None
    assert make_selector(peer("b", 0.0)).choose(QUERY, 0.0) is None


def test_a_default_reply_size_is_assumed_before_the_first_reply():
    # Without it, queries fill slow links in the first seconds after a start.
    selector = delegation.DelegateSelector(SLOW_MBPS, random.Random(3))
    selector.set_neighbours((peer("b"),))
    assert selector.choose(QUERY, 0.0).instance_id == "b"
    selector.record_reply_size("r", 100)
    assert selector.choose(QUERY, 0.0) is None


def test_queries_spread_by_the_number_in_flight():
    selector = make_selector(peer("a"), peer("b"))
    for _ in range(10):
        selector.begin_delegation(selector.choose(QUERY, 0.0).address)
    selector.end_delegation("a:1")
    assert selector.choose(QUERY, 0.0).instance_id == "a"


def test_a_failing_neighbour_is_ejected_for_longer_each_time():
    selector = make_selector(peer("b"))
    now_ms = 0.0
    for wait_ms in (1_000.0, 2_000.0, 4_000.0, 8_000.0, 8_000.0):
        selector.record_failure("b:1", now_ms)
        selector.record_failure("b:1", now_ms + 1.0)
        assert selector.choose(QUERY, now_ms + wait_ms - 1.0) is None
        now_ms += wait_ms
        assert selector.choose(QUERY, now_ms) is not None
    selector.record_answer("b:1")
    selector.record_failure("b:1", now_ms)
    assert selector.choose(QUERY, now_ms + 1_000.0) is not None


def test_queries_in_flight_at_one_neighbour_are_limited():
    selector = make_selector(peer("b"))
    for _ in range(delegation.IN_FLIGHT_LIMIT_COUNT):
        selector.begin_delegation("b:1")
    assert selector.choose(QUERY, 0.0) is None


def test_queries_in_flight_are_proportional_to_link_bandwidth():
    selector = make_selector(peer("a"), peer("b", 2 * FAST_MBPS))
    for _ in range(12):
        selector.begin_delegation(selector.choose(QUERY, 0.0).address)
    assert selector._states["a:1"].in_flight_count == 4
    assert selector._states["b:1"].in_flight_count == 8
