"""Tests that one instance per failure domain reads and others take over."""

import pytest

from hyssoptack.core import member
from hyssoptack.gateway import storewatch
from hyssoptack.membership import readerelection

NAMES = ("g1", "g2", "g3", "g4")
TIMINGS = readerelection.read_timings(3_000.0)

READ_MS = 30.0
"""Duration of a read: six pages of 4 ms each from the store, and the transfer
to the neighbours."""


def elections_by_rank(names=NAMES):
    peers = tuple(
        member.Peer(
            instance_id=name, failure_domain="north", address=f"{name}:1"
        )
        for name in names
    )
    ranked = sorted(
        names, key=lambda each: readerelection.rank("north", each), reverse=True
    )
    elections = []
    for name in ranked:
        each = readerelection.ReaderElection(name, "north", TIMINGS)
        each.set_neighbours(peers, len(peers))
        elections.append((name, each))
    return elections


def test_an_instance_without_notices_reads_at_once():
    assert all(
        each.read_delay_ms(0.0) == 0.0 for _, each in elections_by_rank()
    )


def test_instances_that_receive_notices_take_over_by_rank():
    (first, _), *others = elections_by_rank()
    for _, each in others:
        each.record_other_reader(first, 1_000.0, 0.0)
    delays_ms = [each.read_delay_ms(1_000.0) for _, each in others]
    assert delays_ms == sorted(delays_ms)
    assert delays_ms[0] == pytest.approx(TIMINGS.silence_ms)
    assert delays_ms[-1] < 3_000.0


def test_notices_of_lower_ranks_do_not_delay_the_first_reader():
    (_, first), (second, _), *_ = elections_by_rank()
    first.record_other_reader(second, 1_000.0, 0.0)
    assert first.read_delay_ms(1_000.0) == 0.0


def test_an_instance_whose_reads_fail_accepts_notices_of_any_rank():
    (_, first), (second, _), *_ = elections_by_rank()
    first.record_read_failure()
    first.record_other_reader(second, 1_000.0, 0.0)
    assert first.read_delay_ms(1_000.0) > 0.0


def test_the_peak_instance_count_survives_an_empty_list():
    (_, each), *_ = elections_by_rank()
    each.set_neighbours((), 0)
    assert each.peak_instance_count == len(NAMES)


def test_notices_of_old_reads_do_not_delay_an_exact_read_for_long():
    # Every second read may be old. A notice of such a read, sent just before
    # its reader was lost, kept the others from reading until a change was
    # 5.4 s old, beyond the bound of 5.0 s.
    (first, _), (_, second), *_ = elections_by_rank()
    second.record_other_reader(first, 1_000.0, 0.0)
    second.record_other_reader(first, 2_000.0, 1_000.0)
    waited_ms = 1_000.0 + second.read_delay_ms(2_000.0)
    assert waited_ms + TIMINGS.list_timeout_ms < 3_000.0


def max_exact_interval_ms(timings):
    """Returns the longest time between exact reads while the reader lives."""
    max_period_ratio = 1.0 + readerelection.JITTER_RATIO
    return (
        readerelection.READS_PER_EXACT_READ_COUNT
        * max_period_ratio
        * timings.list_period_ms
    )


@pytest.mark.parametrize("bound_ms", [3_000.0, 5_000.0, 6_000.0])
def test_a_change_takes_effect_in_time_if_its_reader_dies(bound_ms):
    timings = readerelection.read_timings(bound_ms)
    last_takeover_ms = (
        timings.exact_silence_ms
        + readerelection.RANK_STEP_LIMIT_COUNT * timings.exact_step_ms
    )
    assert last_takeover_ms < 0.9 * bound_ms
    assert max_exact_interval_ms(timings) < timings.exact_silence_ms
    assert timings.watch_ms < bound_ms


@pytest.mark.parametrize("bound_ms", [3_000.0, 5_000.0, 6_000.0])
def test_a_change_takes_effect_in_time_if_an_answer_is_lost(bound_ms):
    # Without time for a retry, three requests reached a leaving upstream 4 ms
    # past the bound of 5 s.
    timings = readerelection.read_timings(bound_ms)
    retry_ms = storewatch.RETRY.wait_ms(1) * (1.0 + readerelection.JITTER_RATIO)
    effective_ms = (
        max_exact_interval_ms(timings) + timings.list_timeout_ms + retry_ms
    )
    assert effective_ms + READ_MS < bound_ms


def test_bounds_outside_the_limits_are_clamped():
    assert readerelection.read_timings(1.0) == readerelection.read_timings(
        readerelection.BOUND_MIN_MS
    )
    assert readerelection.read_timings(1e9) == readerelection.read_timings(
        readerelection.BOUND_MAX_MS
    )
