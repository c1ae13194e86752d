"""Tests of the choice of lanes, and of upstream health behind it."""

from hyssoptack.core import message
from hyssoptack.policy import example

_FAILED = message.CallStatus.FAILED


def _reply(upstream_id, status, service_ms=5.0, reached=True):
    return message.UpstreamReply(
        call_id=1,
        upstream_id=upstream_id,
        status=status,
        service_ms=service_ms,
        reached_upstream=reached,
    )


def _setting():
    current = example.service(4, 3)
    know = example.knowledge(current)
    return current, know, current.shards[0].upstream_ids


def _best(know, current, upstream_ids, now_ms=0.0):
    return know.router.best_path(current, upstream_ids, frozenset(), now_ms)


def test_the_own_domain_is_preferred_among_equals():
    current, know, upstream_ids = _setting()
    lane = _best(know, current, upstream_ids)
    assert lane.upstream_id.endswith("plateau")
    assert lane.instance_id == example.OWN_ID


def test_a_straggler_is_left_and_tried_again_once_forgotten():
    current, know, upstream_ids = _setting()
    for _ in range(30):
        slow = _reply(upstream_ids[0], message.CallStatus.ANSWERED, 100.0)
        know.upstream_health.record_reply(current.name, slow, 1.0)
        for upstream_id in upstream_ids[1:]:
            well = _reply(upstream_id, message.CallStatus.ANSWERED, 5.0)
            know.upstream_health.record_reply(current.name, well, 1.0)
    assert (
        _best(know, current, upstream_ids, 1.0).upstream_id != upstream_ids[0]
    )
    later_ms = 120_000.0
    assert (
        _best(know, current, upstream_ids, later_ms).upstream_id
        == upstream_ids[0]
    )


def test_an_upstream_that_fails_twice_is_avoided_and_probed_later():
    current, know, upstream_ids = _setting()
    for _ in range(2):
        know.upstream_health.record_reply(
            current.name, _reply(upstream_ids[0], _FAILED), 1.0
        )
    assert (
        _best(know, current, upstream_ids, 1.0).upstream_id != upstream_ids[0]
    )
    assert (
        know.upstream_health.refresh(upstream_ids[0], 5_000.0).state
        == "probing"
    )


def test_a_shard_whose_upstreams_all_look_bad_is_still_asked():
    current, know, upstream_ids = _setting()
    for upstream_id in upstream_ids:
        for _ in range(2):
            know.upstream_health.record_reply(
                current.name, _reply(upstream_id, _FAILED), 1.0
            )
    assert _best(know, current, upstream_ids, 1.0) is not None


def test_an_upstream_that_sheds_again_and_again_is_avoided():
    current, know, upstream_ids = _setting()
    for _ in range(2):
        shed = _reply(upstream_ids[0], message.CallStatus.SHED, 1.0)
        know.upstream_health.record_reply(current.name, shed, 1.0)
    assert (
        _best(know, current, upstream_ids, 1.0).upstream_id != upstream_ids[0]
    )


def test_a_draining_upstream_is_never_asked():
    current, know, upstream_ids = _setting()
    for upstream_id in upstream_ids:
        know.upstream_health.record_drain(upstream_id, 1.0)
    assert _best(know, current, upstream_ids, 1.0) is None


def test_a_call_that_expired_in_our_own_queue_says_nothing_of_the_upstream():
    current, know, upstream_ids = _setting()
    late = _reply(upstream_ids[0], message.CallStatus.TIMED_OUT, reached=False)
    for _ in range(5):
        know.upstream_health.record_reply(current.name, late, 1.0)
    assert know.upstream_health.upstreams[upstream_ids[0]].state == "cold"


def test_stragglers_do_not_set_the_delay_after_which_they_are_hedged():
    current, know, upstream_ids = _setting()
    for number in range(200):
        slow = number % 10 == 0
        reply = _reply(
            upstream_ids[0] if slow else upstream_ids[1],
            message.CallStatus.ANSWERED,
            50.0 if slow else 5.0,
        )
        know.upstream_health.record_reply(current.name, reply, float(number))
    assert know.upstream_health.quantile_ms(current.name, 0.95) < 20.0
