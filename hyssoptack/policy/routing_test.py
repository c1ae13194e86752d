"""Tests of the choice of lanes, and of leaf health behind it."""

from hyssoptack.core import message
from hyssoptack.policy import example

_FAILED = message.CallStatus.FAILED


def _reply(leaf_id, status, service_ms=5.0, reached=True):
    return message.LeafReply(
        call_id=1,
        leaf_id=leaf_id,
        status=status,
        service_ms=service_ms,
        reached_leaf=reached,
    )


def _setting():
    current = example.service(4, 3)
    know = example.knowledge(current)
    return current, know, current.shards[0].leaf_ids


def _best(know, current, leaf_ids, now_ms=0.0):
    return know.router.best(current, leaf_ids, frozenset(), now_ms)


def test_the_own_domain_is_preferred_among_equals():
    current, know, leaf_ids = _setting()
    lane = _best(know, current, leaf_ids)
    assert lane.leaf_id.endswith("plateau")
    assert lane.instance_id == example.OWN_ID


def test_a_straggler_is_left_and_tried_again_once_forgotten():
    current, know, leaf_ids = _setting()
    for _ in range(30):
        slow = _reply(leaf_ids[0], message.CallStatus.ANSWERED, 100.0)
        know.leaf_health.note(current.name, slow, 1.0)
        for leaf_id in leaf_ids[1:]:
            well = _reply(leaf_id, message.CallStatus.ANSWERED, 5.0)
            know.leaf_health.note(current.name, well, 1.0)
    assert _best(know, current, leaf_ids, 1.0).leaf_id != leaf_ids[0]
    later_ms = 120_000.0
    assert _best(know, current, leaf_ids, later_ms).leaf_id == leaf_ids[0]


def test_a_leaf_that_fails_twice_is_avoided_and_probed_later():
    current, know, leaf_ids = _setting()
    for _ in range(2):
        know.leaf_health.note(current.name, _reply(leaf_ids[0], _FAILED), 1.0)
    assert _best(know, current, leaf_ids, 1.0).leaf_id != leaf_ids[0]
    assert know.leaf_health.refresh(leaf_ids[0], 5_000.0).state == "probing"


def test_a_shard_whose_leaves_all_look_bad_is_still_asked():
    current, know, leaf_ids = _setting()
    for leaf_id in leaf_ids:
        for _ in range(2):
            know.leaf_health.note(current.name, _reply(leaf_id, _FAILED), 1.0)
    assert _best(know, current, leaf_ids, 1.0) is not None


def test_a_leaf_that_sheds_again_and_again_is_avoided():
    current, know, leaf_ids = _setting()
    for _ in range(2):
        shed = _reply(leaf_ids[0], message.CallStatus.SHED, 1.0)
        know.leaf_health.note(current.name, shed, 1.0)
    assert _best(know, current, leaf_ids, 1.0).leaf_id != leaf_ids[0]


def test_a_draining_leaf_is_never_asked():
    current, know, leaf_ids = _setting()
    for leaf_id in leaf_ids:
        know.leaf_health.drain_seen(leaf_id, 1.0)
    assert _best(know, current, leaf_ids, 1.0) is None


def test_a_call_that_expired_in_our_own_queue_says_nothing_of_the_leaf():
    current, know, leaf_ids = _setting()
    late = _reply(leaf_ids[0], message.CallStatus.TIMED_OUT, reached=False)
    for _ in range(5):
        know.leaf_health.note(current.name, late, 1.0)
    assert know.leaf_health.leaves[leaf_ids[0]].state == "cold"


def test_stragglers_do_not_set_the_delay_after_which_they_are_hedged():
    current, know, leaf_ids = _setting()
    for number in range(200):
        slow = number % 10 == 0
        reply = _reply(
            leaf_ids[0] if slow else leaf_ids[1],
            message.CallStatus.ANSWERED,
            50.0 if slow else 5.0,
        )
        know.leaf_health.note(current.name, reply, float(number))
    assert know.leaf_health.quantile_ms(current.name, 0.95) < 20.0
