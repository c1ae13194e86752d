"""Tests of how long what an instance knows counts as current."""

import pytest

from hyssoptack.membership import freshness
from hyssoptack.membership import readerelection

BOUND_MS = 3_000.0
TIMINGS = readerelection.read_timings(BOUND_MS)
ALWAYS_MS = freshness.NEVER_MS
"""End of the last stall of a process that has always been awake."""


def after_reads(*reads):
    """Returns the state after reads: pairs of a time and whether exact."""
    state = freshness.Freshness(TIMINGS)
    for asked_ms, exact in reads:
        state.end_read(asked_ms, exact)
    return state


def test_an_exact_read_is_current_for_less_than_the_bound():
    state = after_reads((1_000.0, True))
    assert state.is_current(1_000.0 + TIMINGS.current_ms, ALWAYS_MS)
    assert not state.is_current(1_000.0 + BOUND_MS, ALWAYS_MS)


def test_a_read_that_may_be_stale_does_not_prolong_the_time():
    state = after_reads((1_000.0, True), (3_000.0, False))
    assert not state.is_current(4_000.0, ALWAYS_MS)


def test_the_first_read_begins_the_time():
    state = after_reads((1_000.0, False))
    assert state.is_current(2_000.0, ALWAYS_MS)
    assert not state.is_current(1_000.0 + BOUND_MS, ALWAYS_MS)


def test_an_older_exact_read_does_not_shorten_the_time():
    state = after_reads((5_000.0, True))
    state.record_exact_read(2_000.0)
    assert state.is_current(5_000.0 + TIMINGS.current_ms, ALWAYS_MS)


def test_no_request_waits_for_a_store_that_is_slow():
    state = after_reads((1_000.0, True))
    state.begin_read(3_000.0, ALWAYS_MS)
    assert state.is_current(1_000.0 + BOUND_MS, ALWAYS_MS)


@pytest.mark.parametrize("is_pending", [True, False])
def test_a_read_from_before_a_stall_does_not_count_after_it(is_pending):
    state = after_reads((1_000.0, True))
    state.begin_read(3_000.0, ALWAYS_MS)
    if not is_pending:
        state.fail_read(3_000.0)
    assert not state.is_current(4_500.0, awake_since_ms=4_500.0)


def test_a_read_that_is_asked_for_after_a_stall_has_to_be_waited_for():
    state = after_reads((1_000.0, True))
    state.begin_read(9_000.0, 9_000.0)
    assert not state.is_current(9_010.0, 9_000.0)
    state.end_read(9_000.0, exact=True)
    assert state.is_current(9_010.0, 9_000.0)


def test_a_store_that_does_not_answer_after_a_stall_ends_the_wait():
    state = after_reads((1_000.0, True))
    state.begin_read(9_000.0, 9_000.0)
    state.fail_read(9_000.0)
    assert state.is_current(9_300.0, 9_000.0)
    assert state.age_ms(9_300.0) == 8_300.0


def test_a_stall_that_adds_to_the_age_of_the_list_is_noticed():
    # Neither the stall of 1.2 s nor the age of 1.9 s before it is over the
    # bound.
    state = after_reads((1_000.0, True), (2_000.0, False))
    assert not state.is_current(2_900.0 + 1_200.0, 4_100.0)


@pytest.mark.parametrize(
    "bound_ms", [500.0, 1_000.0, 3_000.0, 5_000.0, 20_000.0]
)
def test_no_request_waits_while_the_reads_are_in_time(bound_ms):
    timings = readerelection.read_timings(bound_ms)
    jitter_ratio = 1 + readerelection.JITTER_RATIO
    first_rank_ms = 2 * timings.list_period_ms * jitter_ratio
    last_rank_ms = timings.exact_silence_ms + (
        readerelection.RANK_STEP_LIMIT_COUNT * timings.exact_step_ms
    )
    assert max(first_rank_ms, last_rank_ms) < timings.current_ms
