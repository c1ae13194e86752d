"""Tests of what a relay learns from the calls that it makes."""

import asyncio
import time

import pytest

from hyssoptack.balancing import health
from hyssoptack.core import action
from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.planning import example
from hyssoptack.relay import client
from hyssoptack.relay import relay
from hyssoptack.settings import instance

REMAINING_MS = 20.0


class _SilentUpstreams:
    """A client whose calls time out, after a stop of the whole process."""

    def __init__(self, stop_ms):
        self._stop_ms = stop_ms

    async def search(self, _upstream, ask, _sub_query, remaining_ms):
        time.sleep(self._stop_ms / 1_000)
        await asyncio.sleep(remaining_ms / 1_000)
        return message.UpstreamReply(
            call_id=ask.call_id,
            upstream_id=ask.upstream_id,
            status=message.CallStatus.TIMED_OUT,
            service_ms=self._stop_ms + remaining_ms,
            reached_upstream=True,
        )


class _FaultyClient:
    """A client whose calls raise an exception that nobody foresaw."""

    async def search(self, *_arguments):
        raise RuntimeError("unforeseen")

    async def send_action(self, *_arguments):
        raise RuntimeError("unforeseen")


def _new_relay(upstream_client):
    """Returns a relay that owns an upstream, its health and its service."""
    service = example.service(1, 1)
    current = catalog.Catalog(
        revision=1, profiles={}, services={service.name: service}
    )
    (upstream_id,) = service.upstreams
    tracker = health.HealthTracker()
    settings = instance.RelaySettings(
        owner_count=1,
        column_size_count=40,
        queue_limit_count=8,
        flush_ms=1.0,
        claim_max_age_ms=1_000.0,
    )
    own = relay.Relay(settings, upstream_client, tracker, lambda _: None)
    own.set_owned_upstreams(
        current, frozenset([upstream_id]), clock.now_ms() + 60_000.0
    )
    return own, tracker, service


async def _search(own, service, query_id):
    """Returns the replies to a sub-query of one call."""
    (upstream_id,) = service.upstreams
    replied = asyncio.get_running_loop().create_future()
    own.run_sub_query(
        message.SubQuery(
            origin="i",
            query_id=query_id,
            service=service.name,
            text="x",
            limit_count=1,
            urgency=query.Urgency.URGENT,
            remaining_ms=REMAINING_MS,
            asks=(
                message.UpstreamAsk(
                    call_id=1, upstream_id=upstream_id, index_version=1
                ),
            ),
        ),
        replied.set_result,
    )
    return await asyncio.wait_for(replied, 2.0)


async def _state_after_timeouts(stop_ms):
    """Returns an upstream's state after two calls to it timed out."""
    own, tracker, service = _new_relay(_SilentUpstreams(stop_ms))
    for number in range(2):
        await _search(own, service, f"q{number}")
    (upstream_id,) = service.upstreams
    return tracker.upstreams[upstream_id].state


@pytest.mark.parametrize(
    ("stop_ms", "state"), [(0.0, "ejected"), (300.0, "cold")]
)
def test_a_stop_of_this_process_does_not_eject_an_upstream(stop_ms, state):
    # Its answer may lie in the socket when the late timeout fires.
    assert asyncio.run(_state_after_timeouts(stop_ms)) == state


def test_an_unforeseen_exception_ends_a_search_with_a_reply():
    # Guards against a sub-query that is never answered.
    async def test():
        own, tracker, service = _new_relay(_FaultyClient())
        for number in range(3):
            (reply,) = await _search(own, service, f"q{number}")
            assert reply.status is message.CallStatus.FAILED
        assert own.open_call_count() == 0
        (upstream_id,) = service.upstreams
        assert tracker.upstreams[upstream_id].state == "cold"

    asyncio.run(test())


def _send_action(own, service):
    (upstream,) = service.upstreams.values()
    request = action.Action(
        idempotency_key="key",
        service=service.name,
        subject="Awa",
        body_text="",
        deadline_ms=1_000,
    )
    return own.send_action(upstream, request, "a1", clock.now_ms() + 1_000.0)


def test_an_unforeseen_exception_ends_an_action_that_may_have_run():
    # Guards against a sender of an action that waits for ever.
    async def test():
        own, _, service = _new_relay(_FaultyClient())
        result = await asyncio.wait_for(_send_action(own, service), 2.0)
        assert isinstance(result, client.MayHaveRun)
        assert own.open_call_count() == 0

    asyncio.run(test())


def test_a_cancelled_sender_of_an_action_causes_no_error():
    # Guards against InvalidStateError when the upstream answers afterwards.
    class _LateClient:
        async def send_action(self, *_arguments):
            await asyncio.sleep(0.05)
            return client.DidRun(receipt="r-1")

    async def test():
        own, _, service = _new_relay(_LateClient())
        sender = asyncio.ensure_future(_send_action(own, service))
        await asyncio.sleep(0.01)
        sender.cancel()
        await asyncio.sleep(0)
        assert sender.cancelled()
        calls = asyncio.all_tasks() - {asyncio.current_task()}
        results = await asyncio.gather(*calls, return_exceptions=True)
        assert results == [None]

    asyncio.run(test())
