"""Held permits are few, soon expire, and follow the demand."""

import random

import pytest

from hyssoptack.ratelimit import permits

TEAM = "atlas"


@pytest.fixture
def cache():
    cache = permits.PermitCache(random.Random(1))
    assert not cache.try_spend(TEAM, 0.0)
    return cache


def test_a_late_grant_expires_from_its_request_on(cache):
    cache.add(TEAM, 2, asked_ms=0.0, now_ms=1_900.0)
    assert cache.try_spend(TEAM, 1_999.0)
    assert not cache.try_spend(TEAM, 2_000.0)


def test_permits_are_not_carried_over_a_stop_of_the_process(cache):
    cache.add(TEAM, 2, asked_ms=0.0, now_ms=1.0)
    cache.clear()
    assert not cache.try_spend(TEAM, 2.0)


def test_refunds_are_not_saved_for_a_later_window(cache):
    for _ in range(50):
        cache.refund(TEAM, 10.0)
    assert cache.held_count(TEAM, 20.0) == permits.HELD_LIMIT_COUNT
    assert cache.held_count(TEAM, 260.0) == 0


def test_permits_ahead_follow_the_demand_within_limits(cache):
    assert cache.refill_count(TEAM, 10.0) == 1
    assert cache.refill_count(TEAM, 2_001.0) == 0
    for number in range(100):
        cache.try_spend(TEAM, 3_000.0 + 10.0 * number)
    assert cache.refill_count(TEAM, 4_000.0) == permits.HELD_LIMIT_COUNT
    assert cache.refill_count("other", 4_000.0) == 0


def test_permits_on_the_way_are_not_requested_twice(cache):
    cache.record_ask(TEAM, 1, 10.0)
    assert cache.refill_count(TEAM, 11.0) == 0
    assert cache.held_count(TEAM, 11.0) == 1
    # The reply was lost.
    cache.try_spend(TEAM, 2_000.0)
    assert cache.held_count(TEAM, 2_011.0) == 0
    assert cache.refill_count(TEAM, 2_011.0) == 1


def test_an_owner_without_tokens_is_not_asked_at_once_again(cache):
    cache.add(TEAM, 0, asked_ms=0.0, now_ms=1.0)
    assert cache.refill_count(TEAM, 200.0) == 0
    assert cache.refill_count(TEAM, 252.0) == 1


def test_a_denial_refuses_others_only_for_a_moment(cache):
    cache.record_denial(TEAM, 4_000.0, 10.0)
    delays_ms = [cache.denied_for_ms(TEAM, 11.0) for _ in range(20)]
    assert min(delays_ms) >= 50.0
    assert max(delays_ms) <= 5_000.0
    assert len(set(delays_ms)) == 20
    assert cache.denied_for_ms(TEAM, 110.0) == 0.0


def test_a_grant_ends_a_denial(cache):
    cache.record_denial(TEAM, 80.0, 10.0)
    cache.add(TEAM, 1, asked_ms=0.0, now_ms=20.0)
    assert cache.denied_for_ms(TEAM, 21.0) == 0.0


def test_idle_teams_cost_nothing(cache):
    cache.drop_idle(59_999.0)
    assert cache.active_count == 1
    cache.drop_idle(60_000.0)
    assert cache.active_count == 0
    cache.refund(TEAM, 60_001.0)
    cache.add(TEAM, 1, asked_ms=60_000.0, now_ms=60_001.0)
    assert cache.held_count(TEAM, 60_002.0) == 0


def test_late_replies_do_not_pile_up_permits(cache):
    cache.add(TEAM, 30, asked_ms=0.0, now_ms=1.0)
    cache.drop_idle(2.0)
    assert cache.held_count(TEAM, 2.0) == permits.HELD_LIMIT_COUNT


def test_unused_permits_are_given_back_once(cache):
    cache.add(TEAM, 2, asked_ms=0.0, now_ms=1.0)
    cache.refund(TEAM, 10.0)
    assert cache.take_unused(100.0) == {}
    assert cache.take_unused(260.0) == {TEAM: 1}
    assert cache.take_unused(2_000.0) == {TEAM: 2}
    assert cache.take_unused(2_000.0) == {}
    cache.refund(TEAM, 3_000.0)
    cache.clear()
    assert cache.take_unused(4_000.0) == {}
