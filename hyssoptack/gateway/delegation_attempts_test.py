"""Tests that queries delegated and taken back keep to the route's attempts."""

import asyncio

from hyssoptack.core import gatewaymessage
from hyssoptack.delegation import delegation
from hyssoptack.gateway import harness

SHARD_COUNT = 4
UPSTREAM_COUNT = 4
ATTEMPTS_COUNT = 2
OPEN_CALL_COUNT = 6
DELAY_S = 0.1
LOST_DELAY_S = 60.0
LONG_ACCEPT_TIMEOUT_MS = 5_000.0
SHARDS = {
    "prefix": "/all/",
    "fanout_services": [f"s{index}" for index in range(SHARD_COUNT)],
    "top_k": 5,
    "min_shard_fraction": 0.75,
    "max_attempts": ATTEMPTS_COUNT,
    "target_latency_ms": 150,
}


async def _start_pair(site, **changes):
    """Starts instances with a narrow and a wide link; 4 upstreams a shard."""
    for shard in range(SHARD_COUNT):
        body = bytes([shard]) * 16
        for number in range(UPSTREAM_COUNT):
            await site.add_upstream(f"i-{shard}-{number}", f"s{shard}", body)
    site.configure({**SHARDS, **changes})
    return await site.start_delegating_pair()


def _delay(gateway, kinds, delay_s):
    """Delays a gateway's handling of some messages, keeping their order."""
    deliver, loop = gateway._peering.on_message, asyncio.get_running_loop()

    def deliver_late(each):
        if isinstance(each, kinds):
            loop.call_later(delay_s, deliver, each)
        else:
            deliver(each)

    gateway._peering.on_message = deliver_late


def _max_upstream_count(site, request_id):
    """Returns the highest number of a shard's upstreams that ran a request."""
    return max(
        sum(
            site.upstreams[f"i-{shard}-{number}"].run_counts[request_id] > 0
            for number in range(UPSTREAM_COUNT)
        )
        for shard in range(SHARD_COUNT)
    )


def _make_choices_differ(site, narrow):
    """Makes two instances prefer different upstreams of a silent shard."""
    for number in range(UPSTREAM_COUNT):
        site.upstreams[f"i-0-{number}"].behaviour.never = True
    for number in range(ATTEMPTS_COUNT):
        for _ in range(OPEN_CALL_COUNT):
            narrow._load_balancer.begin_call(f"i-0-{number}", 0.0)


def test_a_query_taken_back_from_a_late_neighbour_keeps_to_its_attempts():
    # Without the limit the neighbour makes a first call and a hedge, and the
    # sender that takes the query back makes a third call.
    async def test():
        async with harness.Site() as site:
            narrow, wide = await _start_pair(site)
            _make_choices_differ(site, narrow)
            _delay(narrow, gatewaymessage.DelegationStatus, DELAY_S)
            _delay(wide, gatewaymessage.DelegationCancel, DELAY_S)
            response = await site.get("/all/x", "r1", name="narrow")
            await asyncio.sleep(DELAY_S)
            assert response.status == 200
            assert _max_upstream_count(site, b"r1") <= ATTEMPTS_COUNT

    asyncio.run(test())


def test_a_query_taken_back_after_a_lost_link_keeps_to_its_attempts():
    # The neighbour's status and the sender's cancellation are both lost with
    # the link.
    async def test():
        async with harness.Site() as site:
            narrow, wide = await _start_pair(site)
            _make_choices_differ(site, narrow)
            _delay(narrow, gatewaymessage.DelegationStatus, LOST_DELAY_S)
            _delay(wide, gatewaymessage.DelegationCancel, LOST_DELAY_S)
            begun = asyncio.create_task(site.get("/all/x", "r1", name="narrow"))
            await asyncio.sleep(0.01)
            narrow._delegator.on_link_lost(wide._settings.peer_address)
            response = await begun
            await asyncio.sleep(DELAY_S)
            assert response.status == 200
            assert _max_upstream_count(site, b"r1") <= ATTEMPTS_COUNT

    asyncio.run(test())


def test_a_query_that_may_run_only_once_is_not_delegated():
    # A query that is taken back may already have run at the neighbour.
    async def test():
        async with harness.Site() as site:
            narrow, wide = await _start_pair(site, route_type="unsafe")
            for each in site.upstreams.values():
                each.behaviour.delay_ms = 60.0
            _delay(narrow, gatewaymessage.DelegationStatus, DELAY_S)
            _delay(wide, gatewaymessage.DelegationCancel, DELAY_S)
            await site.get("/all/x", "r1", name="narrow", method="POST")
            await asyncio.sleep(0.2)
            runs = [each.run_counts[b"r1"] for each in site.upstreams.values()]
            assert sum(runs) == SHARD_COUNT

    asyncio.run(test())


def test_a_neighbour_hedges_once_its_sender_has_committed_the_query(
    monkeypatch,
):
    monkeypatch.setattr(delegation, "ACCEPT_TIMEOUT_MS", LONG_ACCEPT_TIMEOUT_MS)

    async def test():
        async with harness.Site() as site:
            narrow, _ = await _start_pair(site)
            _make_choices_differ(site, narrow)
            response = await site.get("/all/x", "r1", name="narrow")
            assert response.headers["x-missing-parts"] == "1"
            assert _max_upstream_count(site, b"r1") == ATTEMPTS_COUNT
            assert (
                not narrow._pools._upstream_pools.keys() & site.upstreams.keys()
            )

    asyncio.run(test())
