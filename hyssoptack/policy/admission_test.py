"""Tests of admission: overload, urgent lookups, and when to come back."""

import dataclasses
import random

from hyssoptack.core import query
from hyssoptack.policy import admission
from hyssoptack.policy import example

_URGENT = query.Urgency.URGENT
_BROWSING = query.Urgency.BROWSING
DEADLINE_MS = 400.0


def _asked(urgency):
    return dataclasses.replace(example.browsing_query(), urgency=urgency)


def _fill(gate, urgency):
    """Admits until refused; returns the gate and the refusal."""
    while True:
        decision = admission.decide(gate, _asked(urgency), 0.5)
        if not isinstance(decision, admission.Admitted):
            return gate, decision
        gate = admission.begin_query(gate, urgency)


def _grown(gate):
    for _ in range(2_000):
        gate = admission.begin_query(gate, _BROWSING)
        gate = admission.end_query(gate, _BROWSING, 5.0, True, DEADLINE_MS, 1.0)
    return gate


def test_browsing_leaves_room_for_urgent_lookups():
    gate, _ = _fill(_grown(admission.new_limiter(24, 8)), _BROWSING)
    assert gate.browsing_count == 16
    urgent = admission.decide(gate, _asked(_URGENT), 0.5)
    assert isinstance(urgent, admission.Admitted)


def test_browsing_stands_back_while_urgent_lookups_are_refused():
    gate, _ = _fill(_grown(admission.new_limiter(24, 8)), _URGENT)
    gate = admission.record_refusal(gate, _URGENT, 1_000.0)
    gate = admission.end_query(gate, _URGENT, 5.0, True, DEADLINE_MS, 1_001.0)
    for _ in range(20):
        gate = admission.end_query(
            gate, _URGENT, 5.0, True, DEADLINE_MS, 1_001.0
        )
    browsing = admission.decide(gate, _asked(_BROWSING), 0.5, 1_100.0)
    assert isinstance(browsing, admission.Overloaded)
    urgent = admission.decide(gate, _asked(_URGENT), 0.5, 1_100.0)
    assert isinstance(urgent, admission.Admitted)
    later = admission.decide(gate, _asked(_BROWSING), 0.5, 2_000.0)
    assert isinstance(later, admission.Admitted)


def test_a_refusal_says_when_to_come_back():
    _, refused = _fill(admission.new_limiter(24, 8), _BROWSING)
    low, high = admission.RETRY_MIN_MS, admission.RETRY_MAX_MS
    assert low <= refused.retry_after_ms <= high


def test_an_answer_that_would_come_too_late_is_refused():
    gate = admission.Limiter(
        limit_count=24.0, ceiling_count=24, reserve_count=8, duration_ms=900.0
    )
    decision = admission.decide(gate, _asked(_BROWSING), 0.5)
    assert isinstance(decision, admission.DeadlineTooShort)


def _useful_ratio(slot_count: int, service_ms: float, factor: float) -> float:
    """Serves a seeded load in virtual time; returns the useful share.

    The share is of what was sent, or of capacity where more was sent.

    One queue with slots stands for all upstreams; a query is useful if it ends
    within its deadline.
    """
    rng = random.Random(9)
    gate = admission.new_limiter(64, 16)
    capacity = slot_count * 1000.0 / service_ms
    free_ms = [0.0] * slot_count
    ends: list[tuple[float, float]] = []
    now_ms = 0.0
    useful = 0
    seconds = 30.0
    while now_ms < seconds * 1000:
        now_ms += rng.expovariate(factor * capacity / 1000.0)
        for ended_ms, started_ms in sorted(ends):
            if ended_ms > now_ms:
                break
            ends.remove((ended_ms, started_ms))
            elapsed_ms = ended_ms - started_ms
            good = elapsed_ms <= DEADLINE_MS
            useful += good
            gate = admission.end_query(
                gate, _BROWSING, elapsed_ms, good, DEADLINE_MS, ended_ms
            )
        decision = admission.decide(gate, _asked(_BROWSING), rng.random())
        if isinstance(decision, admission.Admitted):
            gate = admission.begin_query(gate, _BROWSING)
            slot = free_ms.index(min(free_ms))
            begins_ms = max(now_ms, free_ms[slot])
            free_ms[slot] = begins_ms + rng.expovariate(1.0 / service_ms)
            ends.append((free_ms[slot], now_ms))
    return useful / seconds / (capacity * min(1.0, factor))


def test_three_times_capacity_keeps_nine_tenths_of_it_useful():
    assert _useful_ratio(4, 60.0, 3.0) >= 0.9


def test_below_capacity_nearly_nothing_is_refused():
    assert _useful_ratio(4, 60.0, 0.5) >= 0.95
