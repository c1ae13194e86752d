"""A cut is told from slow, silent, refusing and failing upstreams."""

import pytest

from hyssoptack.policy import partitiondetector

DARK = partitiondetector.CheckResult(others_alive=False, store_alive=False)
LIFE = partitiondetector.CheckResult(others_alive=True, store_alive=False)


def doubted():
    known = partitiondetector.PartitionDetector()
    known.record_wait(partitiondetector.RemoteCallTally(sent_count=8), 200.0)
    assert known.state is partitiondetector.PartitionState.SUSPECTED
    return known


def test_silence_in_queries_and_looks_together_show_a_cut():
    known = doubted()
    known.record_check(DARK, 1.0)
    assert not known.is_partitioned
    known.record_check(DARK, 2.0)
    assert known.is_partitioned
    assert known.partitioned_since_ms == 2.0
    known.record_check(DARK, 3.0)
    assert known.partitioned_since_ms == 2.0
    known.record_check(LIFE, 4.0)
    assert known.state is partitiondetector.PartitionState.CONNECTED


def test_refused_calls_in_a_row_raise_a_doubt():
    # A cut by resets: every query ended within 6 ms, and no doubt ever came up.
    known = partitiondetector.PartitionDetector()
    for _ in range(partitiondetector.SILENT_CALL_MIN_COUNT):
        assert known.state is partitiondetector.PartitionState.CONNECTED
        known.record_connection_failure()
    assert known.state is partitiondetector.PartitionState.SUSPECTED


def test_a_sign_of_life_between_refused_calls_leaves_no_doubt():
    known = partitiondetector.PartitionDetector()
    for _ in range(partitiondetector.SILENT_CALL_MIN_COUNT):
        known.record_connection_failure()
        known.record_sign_of_life()
    assert known.state is partitiondetector.PartitionState.CONNECTED


@pytest.mark.parametrize(
    ("seen", "waited_ms"),
    [
        (
            partitiondetector.RemoteCallTally(sent_count=8, answered_count=1),
            200.0,
        ),
        (partitiondetector.RemoteCallTally(sent_count=3), 200.0),
        (partitiondetector.RemoteCallTally(sent_count=8), 5.0),
    ],
)
def test_other_troubles_raise_no_doubt(seen, waited_ms):
    known = partitiondetector.PartitionDetector()
    known.record_wait(seen, waited_ms)
    assert known.state is partitiondetector.PartitionState.CONNECTED


def test_looks_alone_show_no_cut():
    known = partitiondetector.PartitionDetector()
    for _ in range(3):
        known.record_check(DARK, 1.0)
    assert known.state is partitiondetector.PartitionState.CONNECTED


def test_one_answer_from_afar_ends_a_cut():
    known = doubted()
    known.record_check(DARK, 1.0)
    known.record_check(DARK, 2.0)
    known.record_sign_of_life()
    assert not known.is_partitioned


def test_a_doubt_settled_by_life_starts_anew():
    known = doubted()
    known.record_check(DARK, 1.0)
    known.record_check(LIFE, 2.0)
    known.record_wait(partitiondetector.RemoteCallTally(sent_count=8), 200.0)
    known.record_check(DARK, 3.0)
    assert not known.is_partitioned


def test_a_neighbours_word_raises_a_doubt_that_a_look_settles():
    known = partitiondetector.PartitionDetector()
    known.on_neighbour_suspicion()
    assert not known.detected_locally
    known.record_check(LIFE, 1.0)
    assert known.state is partitiondetector.PartitionState.CONNECTED
    known.on_neighbour_suspicion()
    known.record_check(DARK, 2.0)
    known.record_check(DARK, 3.0)
    assert known.is_partitioned


def test_who_still_reaches_the_store_stays_in_rotation():
    # It is the other domains that are lost: callers sent there get nothing.
    known = doubted()
    alone = partitiondetector.CheckResult(others_alive=False, store_alive=True)
    known.record_check(alone, 1.0)
    known.record_check(alone, 2.0)
    assert known.is_partitioned
    assert not known.leaves_rotation
    known.record_check(DARK, 3.0)
    assert known.leaves_rotation


def test_who_has_an_upstream_for_every_service_stays_in_rotation():
    # Its callers overloaded what was left elsewhere: a window of all callers
    # fell from 0.69 to 0.41.
    known = doubted()
    whole = partitiondetector.CheckResult(
        others_alive=False, store_alive=False, covers_all_services=True
    )
    known.record_check(whole, 1.0)
    known.record_check(whole, 2.0)
    assert known.is_partitioned
    assert not known.leaves_rotation
    # The last near upstream of a shard was lost meanwhile.
    known.record_check(DARK, 3.0)
    assert known.leaves_rotation
