"""Which requests are taken to crash upstreams, for how long, and by whom."""

import random
import tracemalloc

import msgspec

from hyssoptack.policy import quarantine
from hyssoptack.policy import suspectrecord

BAD = "00c0ffee"
FREE, CARE, REFUSED = (
    quarantine.Verdict.UNRESTRICTED,
    quarantine.Verdict.PROBE,
    quarantine.Verdict.REFUSE,
)


def known(seed=1, **given):
    return quarantine.SuspectRegistry(random.Random(seed), **given)


def end(each, now_ms, name="", proven=True, fingerprint=BAD):
    ending = suspectrecord.UpstreamCrash(
        upstream_id=name or f"u-{now_ms}", at_ms=now_ms, proven=proven
    )
    each.note_ending(fingerprint, ending, now_ms)


def block(each, now_ms=0.0, fingerprint=BAD):
    for step in range(suspectrecord.QUARANTINE_EVENT_COUNT):
        end(each, now_ms + step, fingerprint=fingerprint)


def tell(one, other, now_ms, name="g-1"):
    for told in one.take_news(99, now_ms):
        other.take_told(told, name, now_ms)


def test_one_event_that_takes_many_upstreams_bars_nothing():
    each = known()
    for index in range(50):
        end(each, 1.0 + index, f"u{index}", proven=False)
    assert each.decide(BAD, 60.0) is CARE
    end(each, 70.0)
    assert each.decide(BAD, 80.0) is CARE


def test_three_moments_without_an_answer_bar_it():
    each = known()
    end(each, 0.0, proven=False)
    end(each, 30.0)
    assert each.decide(BAD, 40.0) is CARE
    end(each, 60.0)
    assert each.decide(BAD, 70.0) is REFUSED
    assert each.decide("0ddba11", 70.0) is FREE


def test_ends_that_lie_apart_are_moments_of_their_own():
    each = known()
    for step in range(3):
        end(each, 1_500.0 * step, proven=False)
    assert each.decide(BAD, 5_000.0) is REFUSED


def test_the_same_end_told_by_many_counts_once():
    each = known()
    for index in range(9):
        end(each, 2_000.0 * index, "u1")
    assert each.decide(BAD, 20_000.0) is CARE


def test_an_answer_clears_it():
    each = known()
    end(each, 0.0)
    end(each, 30.0)
    each.record_answer(BAD, 40.0)
    assert each.decide(BAD, 50.0) is FREE
    end(each, 60.0)
    assert each.decide(BAD, 70.0) is CARE


def test_a_suspicion_without_a_further_end_is_forgotten():
    each = known()
    end(each, 0.0)
    late_ms = suspectrecord.SUSPICION_TTL_MS + 1.0
    assert each.decide(BAD, late_ms) is FREE
    each.expire(late_ms)
    assert not each.has_entries


def test_a_blocked_request_is_tried_once_and_refused_for_longer_each_time():
    each = known()
    block(each)
    now_ms = 2.0
    for count in range(1, 7):
        spread = 1.0 + quarantine.PROBE_JITTER_RATIO
        assert each.decide(
            BAD, now_ms + 0.99 * suspectrecord.quarantine_ms(count)
        ) is (REFUSED)
        now_ms += spread * suspectrecord.quarantine_ms(count)
        assert each.decide(BAD, now_ms) is CARE
        # While it is tried others are refused.
        assert each.decide(BAD, now_ms + 10.0) is REFUSED
        now_ms += 20.0
        end(each, now_ms)
        assert each.decide(BAD, now_ms) is REFUSED
    assert suspectrecord.quarantine_ms(9) == suspectrecord.QUARANTINE_MAX_MS


def test_a_request_that_has_become_harmless_is_served_again_after_one_try():
    one, other = known(1), known(2)
    block(one)
    tell(one, other, 5.0)
    now_ms = 2.0 * suspectrecord.QUARANTINE_MIN_MS
    assert one.decide(BAD, now_ms) is CARE
    one.record_answer(BAD, now_ms + 30.0)
    tell(one, other, now_ms + 40.0)
    assert one.decide(BAD, now_ms + 50.0) is FREE
    assert other.decide(BAD, now_ms + 50.0) is FREE


def test_instances_do_not_all_try_at_once():
    due_ms = set()
    for seed in range(20):
        each = known(seed)
        block(each)
        due_ms.add(round(each._quarantined[BAD].probe_jitter_ms / 1_000.0))
    assert len(due_ms) > 10


def test_word_of_it_bars_it_everywhere_and_goes_on():
    one, other, third = known(1), known(2), known(3)
    block(one)
    tell(one, other, 10.0)
    tell(other, third, 20.0)
    assert third.decide(BAD, 30.0) is REFUSED
    tell(third, one, 40.0)
    assert not one.pop_new_notices(9, 50.0)


def test_what_two_instances_have_each_seen_adds_up():
    one, other = known(1), known(2)
    end(one, 0.0, proven=False)
    one.share(BAD)
    tell(one, other, 1.0)
    assert other.decide(BAD, 2.0) is CARE
    end(other, 30.0)
    end(other, 60.0)
    assert other.decide(BAD, 70.0) is REFUSED


def test_what_was_not_shared_is_not_told():
    each = known()
    end(each, 0.0)
    assert not each.pop_new_notices(9, 1.0)
    assert not each.sample_notices(9, 1.0)


def test_old_word_does_not_bar_what_was_answered_since():
    one, other = known(1), known(2)
    block(one)
    other.record_answer(BAD, 100.0)
    tell(one, other, 200.0)
    assert other.decide(BAD, 210.0) is FREE
    # Who told so hears better.
    tell(other, one, 220.0)
    assert one.decide(BAD, 230.0) is FREE


def test_operators_lift_a_wrong_suspicion_and_prevent_it():
    one, other = known(1), known(2)
    block(one)
    tell(one, other, 5.0)
    one.set_trusted([BAD], 10.0)
    tell(one, other, 15.0)
    assert one.decide(BAD, 20.0) is FREE
    assert other.decide(BAD, 20.0) is FREE
    block(one, 30.0)
    assert one.decide(BAD, 40.0) is FREE


def test_switched_off_nothing_is_suspected():
    one, other = known(1), known(2, enabled=False)
    block(other)
    assert other.decide(BAD, 10.0) is FREE
    block(one)
    tell(one, other, 20.0)
    assert other.decide(BAD, 30.0) is FREE


def test_tens_of_thousands_of_suspects_cost_a_bounded_memory():
    tracemalloc.start()
    each = known()
    for index in range(50_000):
        end(each, 0.1 * index, f"u{index}", fingerprint=f"{index:016x}")
    assert each.suspected_count == quarantine.ENTRY_LIMIT_COUNT
    for index in range(20_000):
        block(each, 10_000.0 + index, f"{index + 10**6:016x}")
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert each.quarantined_count == quarantine.ENTRY_LIMIT_COUNT
    # Under a tenth of kind an instance may use (128 MB).
    assert held_bytes < 12_800_000
    # The newest is known, and the news are as many as are held at most.
    assert each.decide(f"{10**6 + 19_999:016x}", 40_000.0) is REFUSED
    assert len(each._pending_notices) <= quarantine.ENTRY_LIMIT_COUNT


def test_what_is_told_of_one_is_small():
    each = known()
    block(each)
    (told,) = each.pop_new_notices(1, 10.0)
    assert len(msgspec.msgpack.encode(told)) < 150


def test_what_is_blocked_is_told_first():
    each = known()
    for index in range(100):
        end(each, 1.0, f"u{index}", fingerprint=f"{index:016x}")
        each.share(f"{index:016x}")
    block(each, 10.0)
    assert each.pop_new_notices(1, 20.0)[0].fingerprint == BAD
    assert each.sample_notices(1, 20.0)[0].fingerprint == BAD


def _gossip(instances, now_ms):
    """A round: each in its time tells all others kind it holds, and news."""
    for one in instances:
        now_ms += 250.0
        one.forget_old(now_ms)
        for told in (*one.some(99, now_ms), *one.take_news(99, now_ms)):
            for other in instances:
                if other is not one:
                    other.take_told(told, "g", now_ms + 900.0)


def test_what_is_told_round_is_forgotten_by_all_in_the_end():
    # Instances forget at slightly different times, and tell each other.
    instances = [known(seed) for seed in range(4)]
    end(instances[0], 0.0)
    instances[0].share(BAD)
    block(instances[1], 0.0, fingerprint="0ddba11")
    now_ms = 0.0
    while now_ms < 4 * suspectrecord.QUARANTINE_MIN_MS:
        _gossip(instances, now_ms)
        now_ms += 1_000.0
        if 5_000.0 < now_ms < suspectrecord.SUSPICION_TTL_MS:
            assert all(each.is_tracked(BAD) for each in instances)
        if 5_000.0 < now_ms < 1.9 * suspectrecord.QUARANTINE_MIN_MS:
            assert all(each.is_tracked("0ddba11") for each in instances)
    assert not any(each.has_entries for each in instances)


def test_a_try_at_the_last_moment_is_seen_to_its_end():
    each = known()
    block(each)
    now_ms = each._quarantined[BAD].expires_ms - 10.0
    assert each.decide(BAD, now_ms) is CARE
    each.expire(now_ms + 50.0)
    end(each, now_ms + 60.0)
    assert each.decide(BAD, now_ms + 70.0) is REFUSED


def test_an_instance_that_hears_late_of_a_blocked_request_tries_it_with_care():
    one, other = known(1), known(2)
    block(one)
    late_ms = 1.6 * suspectrecord.QUARANTINE_MIN_MS
    for told in one.sample_notices(9, late_ms):
        other.merge_notice(told, "g-1", late_ms)
    assert other.decide(BAD, 1.9 * suspectrecord.QUARANTINE_MIN_MS) is not FREE


def test_who_trusts_a_request_corrects_those_who_block_it():
    one, other = known(1), known(2)
    one.set_trusted([BAD], 0.0)
    block(other, 10.0)
    tell(other, one, 20.0)
    tell(one, other, 30.0)
    assert other.decide(BAD, 40.0) is FREE
