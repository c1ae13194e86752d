"""Tests when requests are suspected, quarantined, probed and cleared."""

import random
import tracemalloc

import msgspec

from hyssoptack.core import decoding
from hyssoptack.quarantine import quarantine
from hyssoptack.quarantine import suspectrecord

BAD = "00c0ffee"
UNRESTRICTED, PROBE, REFUSED = (
    quarantine.Verdict.UNRESTRICTED,
    quarantine.Verdict.PROBE,
    quarantine.Verdict.REFUSE,
)


def make_registry(seed=1, **options):
    return quarantine.SuspectRegistry(random.Random(seed), **options)


def crash(each, now_ms, name="", proven=True, fingerprint=BAD):
    record = suspectrecord.UpstreamCrash(
        upstream_id=name or f"u-{now_ms}",
        at_ms=now_ms,
        is_separate_event=proven,
    )
    each.record_crash(fingerprint, record, now_ms)


def quarantine_request(each, now_ms=0.0, fingerprint=BAD):
    for step in range(suspectrecord.QUARANTINE_EVENT_COUNT):
        crash(each, now_ms + step, fingerprint=fingerprint)


def send_notices(one, other, now_ms, name="g-1"):
    for notice in one.pop_new_notices(99, now_ms):
        other.merge_notice(notice, name, now_ms)


def test_many_crashes_in_one_event_do_not_quarantine():
    each = make_registry()
    for index in range(50):
        crash(each, 1.0 + index, f"u{index}", proven=False)
    assert each.decide(BAD, 60.0) is PROBE
    crash(each, 70.0)
    assert each.decide(BAD, 80.0) is PROBE


def test_three_crash_events_without_an_answer_quarantine():
    each = make_registry()
    crash(each, 0.0, proven=False)
    crash(each, 30.0)
    assert each.decide(BAD, 40.0) is PROBE
    crash(each, 60.0)
    assert each.decide(BAD, 70.0) is REFUSED
    assert each.decide("0ddba11", 70.0) is UNRESTRICTED


def test_crashes_far_apart_count_as_separate_events():
    each = make_registry()
    for step in range(3):
        crash(each, 1_500.0 * step, proven=False)
    assert each.decide(BAD, 5_000.0) is REFUSED


def test_crashes_of_the_same_upstream_count_once():
    each = make_registry()
    for index in range(9):
        crash(each, 2_000.0 * index, "u1")
    assert each.decide(BAD, 20_000.0) is PROBE


def test_an_answer_clears_a_suspected_request():
    each = make_registry()
    crash(each, 0.0)
    crash(each, 30.0)
    each.record_answer(BAD, 40.0)
    assert each.decide(BAD, 50.0) is UNRESTRICTED
    crash(each, 60.0)
    assert each.decide(BAD, 70.0) is PROBE


def test_a_suspicion_without_further_crashes_expires():
    each = make_registry()
    crash(each, 0.0)
    late_ms = suspectrecord.SUSPICION_TTL_MS + 1.0
    assert each.decide(BAD, late_ms) is UNRESTRICTED
    each.expire(late_ms)
    assert not each.has_entries


def test_one_probe_at_a_time_and_longer_quarantines_after_each_crash():
    each = make_registry()
    quarantine_request(each)
    now_ms = 2.0
    for count in range(1, 7):
        spread = 1.0 + quarantine.PROBE_JITTER_RATIO
        assert each.decide(
            BAD, now_ms + 0.99 * suspectrecord.quarantine_ms(count)
        ) is (REFUSED)
        now_ms += spread * suspectrecord.quarantine_ms(count)
        assert each.decide(BAD, now_ms) is PROBE
        # During the probe others are refused.
        assert each.decide(BAD, now_ms + 10.0) is REFUSED
        now_ms += 20.0
        crash(each, now_ms)
        assert each.decide(BAD, now_ms) is REFUSED
    assert suspectrecord.quarantine_ms(9) == suspectrecord.QUARANTINE_MAX_MS


def test_a_count_of_any_size_has_a_quarantine():
    # The power of two of a stored count of some thousand had no float.
    for count in (2_000, decoding.COUNT_MAX + 1):
        term = suspectrecord.quarantine_term(count)
        assert term.duration_ms == suspectrecord.QUARANTINE_MAX_MS
        assert term.count <= decoding.COUNT_MAX


def test_a_request_that_became_harmless_is_served_after_one_probe():
    one, other = make_registry(1), make_registry(2)
    quarantine_request(one)
    send_notices(one, other, 5.0)
    now_ms = 2.0 * suspectrecord.QUARANTINE_MIN_MS
    assert one.decide(BAD, now_ms) is PROBE
    one.record_answer(BAD, now_ms + 30.0)
    send_notices(one, other, now_ms + 40.0)
    assert one.decide(BAD, now_ms + 50.0) is UNRESTRICTED
    assert other.decide(BAD, now_ms + 50.0) is UNRESTRICTED


def test_instances_probe_at_different_times():
    due_ms = set()
    for seed in range(20):
        each = make_registry(seed)
        quarantine_request(each)
        due_ms.add(round(each._quarantined[BAD].probe_jitter_ms / 1_000.0))
    assert len(due_ms) > 10


def test_a_quarantine_is_passed_on_to_all_instances():
    one, other, third = make_registry(1), make_registry(2), make_registry(3)
    quarantine_request(one)
    send_notices(one, other, 10.0)
    send_notices(other, third, 20.0)
    assert third.decide(BAD, 30.0) is REFUSED
    send_notices(third, one, 40.0)
    assert not one.pop_new_notices(9, 50.0)


def test_crashes_seen_by_different_instances_add_up():
    one, other = make_registry(1), make_registry(2)
    crash(one, 0.0, proven=False)
    one.share(BAD)
    send_notices(one, other, 1.0)
    assert other.decide(BAD, 2.0) is PROBE
    crash(other, 30.0)
    crash(other, 60.0)
    assert other.decide(BAD, 70.0) is REFUSED


def test_unshared_suspicions_are_not_sent():
    each = make_registry()
    crash(each, 0.0)
    assert not each.pop_new_notices(9, 1.0)
    assert not each.sample_notices(9, 1.0)


def test_an_old_notice_does_not_quarantine_a_request_answered_since():
    one, other = make_registry(1), make_registry(2)
    quarantine_request(one)
    other.record_answer(BAD, 100.0)
    send_notices(one, other, 200.0)
    assert other.decide(BAD, 210.0) is UNRESTRICTED
    # The sender of the old notice is corrected.
    send_notices(other, one, 220.0)
    assert one.decide(BAD, 230.0) is UNRESTRICTED


def test_trusted_requests_are_cleared_and_not_quarantined_again():
    one, other = make_registry(1), make_registry(2)
    quarantine_request(one)
    send_notices(one, other, 5.0)
    one.set_trusted([BAD], 10.0)
    send_notices(one, other, 15.0)
    assert one.decide(BAD, 20.0) is UNRESTRICTED
    assert other.decide(BAD, 20.0) is UNRESTRICTED
    quarantine_request(one, 30.0)
    assert one.decide(BAD, 40.0) is UNRESTRICTED


def test_a_disabled_registry_suspects_nothing():
    one, other = make_registry(1), make_registry(2, enabled=False)
    quarantine_request(other)
    assert other.decide(BAD, 10.0) is UNRESTRICTED
    quarantine_request(one)
    send_notices(one, other, 20.0)
    assert other.decide(BAD, 30.0) is UNRESTRICTED


def test_memory_is_bounded_with_tens_of_thousands_of_suspects():
    tracemalloc.start()
    each = make_registry()
    for index in range(50_000):
        crash(each, 0.1 * index, f"u{index}", fingerprint=f"{index:016x}")
    assert each.suspected_count == quarantine.ENTRY_LIMIT_COUNT
    for index in range(20_000):
        quarantine_request(each, 10_000.0 + index, f"{index + 10**6:016x}")
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert each.quarantined_count == quarantine.ENTRY_LIMIT_COUNT
    # Below a tenth of an instance's memory limit (128 MB).
    assert used_bytes < 12_800_000
    # The newest entry is kept, and pending notices are limited as well.
    assert each.decide(f"{10**6 + 19_999:016x}", 40_000.0) is REFUSED
    assert len(each._pending_notices) <= quarantine.ENTRY_LIMIT_COUNT


def test_a_notice_of_one_request_is_small():
    each = make_registry()
    quarantine_request(each)
    (notice,) = each.pop_new_notices(1, 10.0)
    assert len(msgspec.msgpack.encode(notice)) < 150


def test_notices_of_quarantined_requests_are_sent_first():
    each = make_registry()
    for index in range(100):
        crash(each, 1.0, f"u{index}", fingerprint=f"{index:016x}")
        each.share(f"{index:016x}")
    quarantine_request(each, 10.0)
    assert each.pop_new_notices(1, 20.0)[0].fingerprint == BAD
    assert each.sample_notices(1, 20.0)[0].fingerprint == BAD


def _gossip(instances, now_ms):
    """Lets each instance in turn send its notices to all others."""
    for one in instances:
        now_ms += 250.0
        one.expire(now_ms)
        for notice in (
            *one.sample_notices(99, now_ms),
            *one.pop_new_notices(99, now_ms),
        ):
            for other in instances:
                if other is not one:
                    other.merge_notice(notice, "g", now_ms + 900.0)


def test_shared_entries_expire_at_all_instances():
    # Instances drop entries at slightly different times while they share them.
    instances = [make_registry(seed) for seed in range(4)]
    crash(instances[0], 0.0)
    instances[0].share(BAD)
    quarantine_request(instances[1], 0.0, fingerprint="0ddba11")
    now_ms = 0.0
    while now_ms < 4 * suspectrecord.QUARANTINE_MIN_MS:
        _gossip(instances, now_ms)
        now_ms += 1_000.0
        if 5_000.0 < now_ms < suspectrecord.SUSPICION_TTL_MS:
            assert all(each.is_tracked(BAD) for each in instances)
        if 5_000.0 < now_ms < 1.9 * suspectrecord.QUARANTINE_MIN_MS:
            assert all(each.is_tracked("0ddba11") for each in instances)
    assert not any(each.has_entries for each in instances)


def test_a_probe_just_before_expiry_keeps_the_entry():
    each = make_registry()
    quarantine_request(each)
    now_ms = each._quarantined[BAD].expires_ms - 10.0
    assert each.decide(BAD, now_ms) is PROBE
    each.expire(now_ms + 50.0)
    crash(each, now_ms + 60.0)
    assert each.decide(BAD, now_ms + 70.0) is REFUSED


def test_a_late_quarantine_notice_still_leads_to_a_probe():
    one, other = make_registry(1), make_registry(2)
    quarantine_request(one)
    late_ms = 1.6 * suspectrecord.QUARANTINE_MIN_MS
    for notice in one.sample_notices(9, late_ms):
        other.merge_notice(notice, "g-1", late_ms)
    assert (
        other.decide(BAD, 1.9 * suspectrecord.QUARANTINE_MIN_MS)
        is not UNRESTRICTED
    )


def test_an_instance_that_trusts_a_request_clears_it_at_others():
    one, other = make_registry(1), make_registry(2)
    one.set_trusted([BAD], 0.0)
    quarantine_request(other, 10.0)
    send_notices(other, one, 20.0)
    send_notices(one, other, 30.0)
    assert other.decide(BAD, 40.0) is UNRESTRICTED
