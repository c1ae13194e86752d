"""Tests of path selection and of the upstream health that it uses."""

from hyssoptack.core import message
from hyssoptack.planning import example

_FAILED = message.CallStatus.FAILED


def _reply(upstream_id, status, service_ms=5.0, reached=True):
    return message.UpstreamReply(
        call_id=1,
        upstream_id=upstream_id,
        status=status,
        service_ms=service_ms,
        reached_upstream=reached,
    )


def _service_and_context():
    current = example.service(4, 3)
    context = example.planning_context(current)
    return current, context, current.shards[0].upstream_ids


def _best_path(context, current, upstream_ids, now_ms=0.0):
    return context.router.best_path(current, upstream_ids, frozenset(), now_ms)


def test_equal_paths_prefer_the_local_failure_domain():
    current, context, upstream_ids = _service_and_context()
    path = _best_path(context, current, upstream_ids)
    assert path.upstream_id.endswith("plateau")
    assert path.instance_id == example.OWN_ID


def test_a_straggler_is_avoided_until_its_estimate_decays():
    current, context, upstream_ids = _service_and_context()
    for _ in range(30):
        slow = _reply(upstream_ids[0], message.CallStatus.ANSWERED, 100.0)
        context.upstream_health.record_reply(current.name, slow, 1.0)
        for upstream_id in upstream_ids[1:]:
            quick = _reply(upstream_id, message.CallStatus.ANSWERED, 5.0)
            context.upstream_health.record_reply(current.name, quick, 1.0)
    assert (
        _best_path(context, current, upstream_ids, 1.0).upstream_id
        != upstream_ids[0]
    )
    later_ms = 120_000.0
    assert (
        _best_path(context, current, upstream_ids, later_ms).upstream_id
        == upstream_ids[0]
    )


def test_an_upstream_that_fails_twice_is_avoided_and_probed_later():
    current, context, upstream_ids = _service_and_context()
    for _ in range(2):
        context.upstream_health.record_reply(
            current.name, _reply(upstream_ids[0], _FAILED), 1.0
        )
    assert (
        _best_path(context, current, upstream_ids, 1.0).upstream_id
        != upstream_ids[0]
    )
    assert (
        context.upstream_health.refresh(upstream_ids[0], 5_000.0).state
        == "probing"
    )


def test_a_shard_whose_upstreams_all_failed_is_still_called():
    current, context, upstream_ids = _service_and_context()
    for upstream_id in upstream_ids:
        for _ in range(2):
            context.upstream_health.record_reply(
                current.name, _reply(upstream_id, _FAILED), 1.0
            )
    assert _best_path(context, current, upstream_ids, 1.0) is not None


def test_an_upstream_that_sheds_repeatedly_is_avoided():
    current, context, upstream_ids = _service_and_context()
    for _ in range(2):
        shed = _reply(upstream_ids[0], message.CallStatus.SHED, 1.0)
        context.upstream_health.record_reply(current.name, shed, 1.0)
    assert (
        _best_path(context, current, upstream_ids, 1.0).upstream_id
        != upstream_ids[0]
    )


def test_a_draining_upstream_is_never_called():
    current, context, upstream_ids = _service_and_context()
    for upstream_id in upstream_ids:
        context.upstream_health.record_drain(upstream_id, 1.0)
    assert _best_path(context, current, upstream_ids, 1.0) is None


def test_a_call_that_expired_in_a_local_queue_keeps_the_upstream_state():
    current, context, upstream_ids = _service_and_context()
    late = _reply(upstream_ids[0], message.CallStatus.TIMED_OUT, reached=False)
    for _ in range(5):
        context.upstream_health.record_reply(current.name, late, 1.0)
    assert context.upstream_health.upstreams[upstream_ids[0]].state == "cold"


def test_latencies_of_stragglers_do_not_raise_the_hedge_delay():
    current, context, upstream_ids = _service_and_context()
    for number in range(200):
        slow = number % 10 == 0
        reply = _reply(
            upstream_ids[0] if slow else upstream_ids[1],
            message.CallStatus.ANSWERED,
            50.0 if slow else 5.0,
        )
        context.upstream_health.record_reply(current.name, reply, float(number))
    assert context.upstream_health.quantile_ms(current.name, 0.95) < 20.0
