"""Tests that partitions are told from slow, refusing or failing upstreams."""

import pytest

from hyssoptack.membership import partitiondetector

ALL_SILENT = partitiondetector.CheckResult(
    others_alive=False, store_alive=False
)
OTHERS_ALIVE = partitiondetector.CheckResult(
    others_alive=True, store_alive=False
)


def suspecting_detector():
    detector = partitiondetector.PartitionDetector()
    detector.record_wait(partitiondetector.RemoteCallTally(sent_count=8), 200.0)
    assert detector.state is partitiondetector.PartitionState.SUSPECTED
    return detector


def test_silent_queries_and_failed_checks_show_a_partition():
    detector = suspecting_detector()
    detector.record_check(ALL_SILENT, 1.0)
    assert not detector.is_partitioned
    detector.record_check(ALL_SILENT, 2.0)
    assert detector.is_partitioned
    assert detector.partitioned_since_ms == 2.0
    detector.record_check(ALL_SILENT, 3.0)
    assert detector.partitioned_since_ms == 2.0
    detector.record_check(OTHERS_ALIVE, 4.0)
    assert detector.state is partitiondetector.PartitionState.CONNECTED


def test_refused_calls_in_a_row_raise_a_suspicion():
    # In a partition by resets every query ends within 6 ms, which is too short
    # for its calls to count as unanswered.
    detector = partitiondetector.PartitionDetector()
    for _ in range(partitiondetector.SUSPICION_CALL_COUNT):
        assert detector.state is partitiondetector.PartitionState.CONNECTED
        detector.record_failed_call()
    assert detector.state is partitiondetector.PartitionState.SUSPECTED


def test_a_sign_of_life_between_refused_calls_prevents_a_suspicion():
    detector = partitiondetector.PartitionDetector()
    for _ in range(partitiondetector.SUSPICION_CALL_COUNT):
        detector.record_failed_call()
        detector.record_remote_alive()
    assert detector.state is partitiondetector.PartitionState.CONNECTED


@pytest.mark.parametrize(
    ("tally", "waited_ms"),
    [
        (
            partitiondetector.RemoteCallTally(sent_count=8, answered_count=1),
            200.0,
        ),
        (partitiondetector.RemoteCallTally(sent_count=3), 200.0),
        (partitiondetector.RemoteCallTally(sent_count=8), 5.0),
    ],
)
def test_answered_few_or_brief_calls_raise_no_suspicion(tally, waited_ms):
    detector = partitiondetector.PartitionDetector()
    detector.record_wait(tally, waited_ms)
    assert detector.state is partitiondetector.PartitionState.CONNECTED


def test_failed_checks_alone_show_no_partition():
    detector = partitiondetector.PartitionDetector()
    for _ in range(3):
        detector.record_check(ALL_SILENT, 1.0)
    assert detector.state is partitiondetector.PartitionState.CONNECTED


def test_one_answer_from_another_domain_ends_a_partition():
    detector = suspecting_detector()
    detector.record_check(ALL_SILENT, 1.0)
    detector.record_check(ALL_SILENT, 2.0)
    detector.record_remote_alive()
    assert not detector.is_partitioned


def test_a_sign_of_life_resets_the_failed_checks():
    detector = suspecting_detector()
    detector.record_check(ALL_SILENT, 1.0)
    detector.record_check(OTHERS_ALIVE, 2.0)
    detector.record_wait(partitiondetector.RemoteCallTally(sent_count=8), 200.0)
    detector.record_check(ALL_SILENT, 3.0)
    assert not detector.is_partitioned


def test_a_neighbours_suspicion_is_decided_by_checks():
    detector = partitiondetector.PartitionDetector()
    detector.on_neighbour_suspicion()
    assert not detector.suspected_locally
    detector.record_check(OTHERS_ALIVE, 1.0)
    assert detector.state is partitiondetector.PartitionState.CONNECTED
    detector.on_neighbour_suspicion()
    detector.record_check(ALL_SILENT, 2.0)
    detector.record_check(ALL_SILENT, 3.0)
    assert detector.is_partitioned


def test_an_instance_that_reaches_the_store_stays_in_rotation():
    # The other domains are lost, so callers sent there get no answer.
    detector = suspecting_detector()
    store_alive = partitiondetector.CheckResult(
        others_alive=False, store_alive=True
    )
    detector.record_check(store_alive, 1.0)
    detector.record_check(store_alive, 2.0)
    assert detector.is_partitioned
    assert not detector.leaves_rotation
    detector.record_check(ALL_SILENT, 3.0)
    assert detector.leaves_rotation


def test_an_instance_that_covers_all_services_stays_in_rotation():
    # Otherwise its callers overload the upstreams of other domains: the value
    # of all callers' answers in one window fell from 0.69 to 0.41 of the full
    # value.
    detector = suspecting_detector()
    covered = partitiondetector.CheckResult(
        others_alive=False, store_alive=False, covers_all_services=True
    )
    detector.record_check(covered, 1.0)
    detector.record_check(covered, 2.0)
    assert detector.is_partitioned
    assert not detector.leaves_rotation
    # By now the domain's last upstream of a shard is lost.
    detector.record_check(ALL_SILENT, 3.0)
    assert detector.leaves_rotation
