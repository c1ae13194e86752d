"""Tests of admission: overload, urgent queries and retry delays."""

import dataclasses
import random

from hyssoptack.admission import limiter
from hyssoptack.core import query
from hyssoptack.planning import example

_URGENT = query.Urgency.URGENT
_BROWSING = query.Urgency.BROWSING
DEADLINE_MS = 400.0


def _query(urgency):
    return dataclasses.replace(example.browsing_query(), urgency=urgency)


def _fill(current, urgency):
    """Admits until a refusal; returns the current and the refusal."""
    while True:
        decision = limiter.decide(current, _query(urgency), 0.5)
        if not isinstance(decision, limiter.Admitted):
            return current, decision
        current = limiter.begin_query(current, urgency)


def _grown_to_ceiling(current):
    for _ in range(2_000):
        current = limiter.begin_query(current, _BROWSING)
        current = limiter.end_query(
            current, _BROWSING, 5.0, True, DEADLINE_MS, 1.0
        )
    return current


def test_browsing_leaves_room_for_urgent_queries():
    current, _ = _fill(_grown_to_ceiling(limiter.new_limiter(24, 8)), _BROWSING)
    assert current.browsing_count == 16
    urgent = limiter.decide(current, _query(_URGENT), 0.5)
    assert isinstance(urgent, limiter.Admitted)


def test_browsing_is_refused_after_a_refused_urgent_query():
    current, _ = _fill(_grown_to_ceiling(limiter.new_limiter(24, 8)), _URGENT)
    current = limiter.record_refusal(current, _URGENT, 1_000.0)
    current = limiter.end_query(
        current, _URGENT, 5.0, True, DEADLINE_MS, 1_001.0
    )
    for _ in range(20):
        current = limiter.end_query(
            current, _URGENT, 5.0, True, DEADLINE_MS, 1_001.0
        )
    browsing = limiter.decide(current, _query(_BROWSING), 0.5, 1_100.0)
    assert isinstance(browsing, limiter.Overloaded)
    urgent = limiter.decide(current, _query(_URGENT), 0.5, 1_100.0)
    assert isinstance(urgent, limiter.Admitted)
    later = limiter.decide(current, _query(_BROWSING), 0.5, 2_000.0)
    assert isinstance(later, limiter.Admitted)


def test_a_refusal_carries_a_retry_delay_within_bounds():
    _, refused = _fill(limiter.new_limiter(24, 8), _BROWSING)
    low, high = limiter.RETRY_MIN_MS, limiter.RETRY_MAX_MS
    assert low <= refused.retry_after_ms <= high


def test_a_query_with_a_too_short_deadline_is_refused():
    current = limiter.Limiter(
        limit_count=24.0, ceiling_count=24, reserve_count=8, duration_ms=900.0
    )
    decision = limiter.decide(current, _query(_BROWSING), 0.5)
    assert isinstance(decision, limiter.DeadlineTooShort)


def _end_late(current, count, now_ms, stalled_ms=0.0):
    """Ends queries that took the whole deadline, one after the other."""
    for _ in range(count):
        current = limiter.end_query(
            current,
            _BROWSING,
            DEADLINE_MS,
            True,
            DEADLINE_MS,
            now_ms,
            stalled_ms,
        )
    return current


def _begin(current, count):
    for _ in range(count):
        current = limiter.begin_query(current, _BROWSING)
    return current


def test_a_restarted_instance_refuses_no_caller_without_a_sign_of_overload():
    # With an initial limit of 4 it refused the third of eight callers that
    # the load balancer sent to it.
    current = limiter.new_limiter(24, 8)
    for _ in range(8):
        decision = limiter.decide(current, _query(_BROWSING), 0.5)
        assert isinstance(decision, limiter.Admitted)
        current = _begin(current, 1)


def test_late_answers_of_a_nearly_idle_instance_do_not_shrink_its_limit():
    # Each stop of a peer or an upstream made a query or two late, and took a
    # fifth of a limit that nothing filled.
    current = limiter.new_limiter(24, 8)
    for number in range(12):
        now_ms = 1_000.0 * (number + 1)
        current = _end_late(_begin(current, 2), 2, now_ms)
        for _ in range(4):
            current = limiter.end_query(
                _begin(current, 1), _BROWSING, 5.0, True, DEADLINE_MS, now_ms
            )
    assert current.limit_count == 24.0


def test_late_answers_shrink_a_limit_that_is_in_use():
    current = _end_late(_begin(limiter.new_limiter(24, 8), 14), 1, 1_000.0)
    assert current.limit_count < 24.0


def test_a_stall_of_this_process_does_not_shrink_its_limit():
    current = _begin(limiter.new_limiter(24, 8), 14)
    current = _end_late(current, 14, 1_000.0, stalled_ms=DEADLINE_MS - 20.0)
    assert current.limit_count == 24.0
    assert current.duration_ms == 0.0


def test_a_limit_far_above_the_queries_in_flight_shrinks_if_most_are_late():
    # Many instances with a few queries each may overload the upstreams.
    current = limiter.new_limiter(24, 8)
    for number in range(40):
        current = _end_late(_begin(current, 5), 5, 400.0 * (number + 1))
    decision = limiter.decide(_begin(current, 5), _query(_BROWSING), 0.5)
    assert isinstance(decision, limiter.Overloaded)


def test_a_new_limit_under_overload_is_reduced_within_four_deadlines():
    # A new instance starts at its ceiling, whatever its upstreams bear.
    current = limiter.new_limiter(24, 8)
    for number in range(1, 5):
        admitted_count = int(current.limit_count)
        now_ms = (DEADLINE_MS + 1.0) * number
        current = _end_late(
            _begin(current, admitted_count), admitted_count, now_ms
        )
    assert current.limit_count <= 8.0


def test_short_queries_run_again_some_time_after_long_ones():
    # The usual duration changes only when a query ends. Once it was twice the
    # deadline of all queries that came, all of them were refused for good.
    long_ms = 5_000.0
    current = limiter.new_limiter(24, 8)
    for _ in range(30):
        current = limiter.end_query(
            _begin(current, 1), _BROWSING, long_ms, True, 10_000.0, long_ms
        )
    short = _query(_BROWSING)
    refused = limiter.decide(current, short, 0.5, long_ms + 100.0)
    assert isinstance(refused, limiter.DeadlineTooShort)
    for now_ms in range(int(3 * long_ms), int(3 * long_ms) + 1_000, 100):
        decision = limiter.decide(current, short, 0.5, now_ms)
        assert isinstance(decision, limiter.Admitted)
        current = limiter.end_query(
            _begin(current, 1), _BROWSING, 20.0, True, DEADLINE_MS, now_ms
        )


def _useful_ratio(slot_count: int, service_ms: float, factor: float) -> float:
    """Simulates a seeded load; returns the ratio of useful queries.

    A query is useful if it ends within its deadline. The ratio is relative to
    the queries sent or, above capacity, to the capacity. One queue with slots
    simulates all upstreams.

    Args:
        slot_count: Number of queries that the upstreams run at the same time.
        service_ms: Mean time of a query in a slot, in milliseconds.
        factor: Load as a multiple of capacity.
    """
    rng = random.Random(9)
    current = limiter.new_limiter(64, 16)
    capacity = slot_count * 1000.0 / service_ms
    free_ms = [0.0] * slot_count
    ends: list[tuple[float, float]] = []
    now_ms = 0.0
    sent = useful = 0
    duration_s = 30.0
    while now_ms < duration_s * 1000:
        now_ms += rng.expovariate(factor * capacity / 1000.0)
        for ended_ms, started_ms in sorted(ends):
            if ended_ms > now_ms:
                break
            ends.remove((ended_ms, started_ms))
            elapsed_ms = ended_ms - started_ms
            good = elapsed_ms <= DEADLINE_MS
            useful += good
            current = limiter.end_query(
                current, _BROWSING, elapsed_ms, good, DEADLINE_MS, ended_ms
            )
        sent += 1
        decision = limiter.decide(
            current, _query(_BROWSING), rng.random(), now_ms
        )
        if isinstance(decision, limiter.Admitted):
            current = limiter.begin_query(current, _BROWSING)
            slot = free_ms.index(min(free_ms))
            begins_ms = max(now_ms, free_ms[slot])
            free_ms[slot] = begins_ms + rng.expovariate(1.0 / service_ms)
            ends.append((free_ms[slot], now_ms))
    return useful / min(sent, capacity * duration_s)


def test_at_three_times_capacity_nine_tenths_of_capacity_is_useful():
    assert _useful_ratio(4, 60.0, 3.0) >= 0.9


def test_below_capacity_nearly_all_queries_are_useful():
    assert _useful_ratio(4, 60.0, 0.5) >= 0.95
