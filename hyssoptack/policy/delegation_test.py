"""Queries go to neighbours with wider links, and come back from lost ones."""

import random

from hyssoptack.core import member
from hyssoptack.policy import delegation

NARROW_MBPS = 7.7
WIDE_MBPS = 70.0
QUERY = delegation.Query(route_name="r", part_count=36, to_goal_ms=143.0)


def peer(name, link_mbps=WIDE_MBPS):
    return member.Peer(
        instance_id=name,
        failure_domain="north",
        address=f"{name}:1",
        link_mbps=link_mbps,
    )


def made(*peers, link_mbps=NARROW_MBPS, size_bytes=1_250):
    known = delegation.DelegateSelector(link_mbps, random.Random(3))
    known.install(peers)
    known.record_reply_size("r", size_bytes)
    return known


def test_a_query_that_fills_the_own_link_goes_to_a_wider_one():
    # 36 parts kept a link of 7.7 Mbit/s busy for 47 ms of the 143 to the goal.
    known = made(peer("a", NARROW_MBPS), peer("b"))
    assert known.choose(QUERY, 0.0).instance_id == "b"


def test_small_queries_and_alike_or_unknown_links_stay():
    assert made(peer("b"), size_bytes=100).choose(QUERY, 0.0) is None
    assert made(peer("b", 10.0)).choose(QUERY, 0.0) is None
    assert made(peer("b"), link_mbps=WIDE_MBPS).choose(QUERY, 0.0) is None
    assert made(peer("b"), link_mbps=0.0).choose(QUERY, 0.0) is None
    assert made(peer("b", 0.0)).choose(QUERY, 0.0) is None


def test_before_a_reply_was_seen_a_usual_size_is_assumed():
    # After a start, the first seconds' queries filled the narrow links again.
    known = delegation.DelegateSelector(NARROW_MBPS, random.Random(3))
    known.install((peer("b"),))
    assert known.choose(QUERY, 0.0).instance_id == "b"
    known.record_reply_size("r", 100)
    assert known.choose(QUERY, 0.0) is None


def test_queries_spread_by_what_is_in_flight():
    known = made(peer("a"), peer("b"))
    for _ in range(10):
        known.begin_delegation(known.choose(QUERY, 0.0).address)
    known.end_delegation("a:1")
    assert known.choose(QUERY, 0.0).instance_id == "a"


def test_a_neighbour_that_fails_is_left_alone_longer_each_time():
    known = made(peer("b"))
    now_ms = 0.0
    for wait_ms in (1_000.0, 2_000.0, 4_000.0, 8_000.0, 8_000.0):
        known.record_failure("b:1", now_ms)
        known.record_failure("b:1", now_ms + 1.0)
        assert known.choose(QUERY, now_ms + wait_ms - 1.0) is None
        now_ms += wait_ms
        assert known.choose(QUERY, now_ms) is not None
    known.record_answer("b:1")
    known.record_failure("b:1", now_ms)
    assert known.choose(QUERY, now_ms + 1_000.0) is not None


def test_what_is_in_flight_with_one_neighbour_is_bounded():
    known = made(peer("b"))
    for _ in range(delegation.IN_FLIGHT_LIMIT_COUNT):
        known.begin_delegation("b:1")
    assert known.choose(QUERY, 0.0) is None


def test_many_queries_at_once_cost_no_neighbour_more_than_its_part():
    known = made(peer("a"), peer("b", 2 * WIDE_MBPS))
    for _ in range(12):
        known.begin_delegation(known.choose(QUERY, 0.0).address)
    assert known._states["a:1"].in_flight_count == 4
    assert known._states["b:1"].in_flight_count == 8
