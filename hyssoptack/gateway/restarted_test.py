"""Restarts of an instance while others still work on its queries."""

import asyncio
import random

from hyssoptack.core import gatewaymessage
from hyssoptack.core import member
from hyssoptack.delegation import gatherers
from hyssoptack.gateway import callrelay
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.planning import callcommand
from hyssoptack.planning import callplan_test
from hyssoptack.platform import headers

WAIT_S = 8.0
SHARD_COUNT = 4
REPLY_BYTES = 1_250
WORK_MS = 6_000.0
GATHERER = member.Peer(
    instance_id="south", failure_domain="south", address="s:1"
)
ROUTE = {**gateway_test.SHARDS, "timeout_ms": 8_000}


async def _wait_ready(site, narrow, ready):
    async with asyncio.timeout(WAIT_S):
        while not ready():
            await asyncio.sleep(0.05)
    narrow._delegator.selector.record_reply_size("route-0", REPLY_BYTES)


async def _get_part_requests(site, request_id):
    """Returns a response's status and the request ids stamped on its parts."""
    got = await site.get("/all/x", request_id, name="narrow")
    stamps = got.headers.get("x-part-stamps", "").split(", ")
    return got.status, {each.rpartition(".")[2] for each in stamps}


async def _restart(site, ready):
    """Kills the narrow instance with a query in progress and restarts it."""
    address = site.settings["narrow"].peer_address
    for each in site.upstreams.values():
        each.behaviour.delay_ms = WORK_MS
    lost = asyncio.create_task(
        site.get("/all/x", "r1", deadline_ms=8_000, name="narrow")
    )
    await asyncio.sleep(0.1)
    site.kill("narrow")
    lost.cancel()
    for each in site.upstreams.values():
        each.behaviour.delay_ms = 0.0
    narrow = await site.start("narrow", link_mbps=0.5, peer_address=address)
    await _wait_ready(site, narrow, lambda: ready(narrow))


def test_a_restarted_instance_gets_no_answer_to_its_predecessors_query():
    async def test():
        async with harness.Site() as site:
            for index in range(SHARD_COUNT):
                await site.add_upstream(f"i-{index}", f"s{index}")
            site.configure(ROUTE)
            narrow = await site.start("narrow", link_mbps=0.5)
            await site.start("wide", link_mbps=1_000.0)

            def knows(each):
                return bool(each.reader_election.neighbours())

            await _wait_ready(site, narrow, lambda: knows(narrow))
            await _restart(site, knows)
            assert site.gateways["wide"]._request_handler.active_runs
            assert await _get_part_requests(site, "r2") == (200, {"r2"})

    asyncio.run(test())


def _make_call_relay(sent):
    return callrelay.CallRelay(
        gatherers.GathererSelector(random.Random()),
        "n:1",
        lambda _, each: sent.append(each),
        enabled=True,
    )


def _relay_call(call_relay, sink):
    query = callrelay.RelayedQuery(
        request_id=b"r",
        route_name="r",
        top_count=5,
        fingerprint="",
        forwarded=headers.ForwardedRequest(head=b"", body=b""),
        deadline_at_ms=1_000.0,
        goal_at_ms=100.0,
        on_outcomes=sink,
    )
    call = callcommand.Send(call_id=1, upstream=callplan_test.upstream("u"))
    call_relay.relay(GATHERER, query, [call])


def test_a_restarted_instance_ignores_outcomes_for_its_predecessors_query():
    sent, received = [], []
    _relay_call(_make_call_relay(sent), lambda *_: None)
    after = _make_call_relay(sent)
    _relay_call(after, lambda outcomes, _: received.append(outcomes))
    part = gatewaymessage.RelayedOutcome(
        call_id=1, kind="answered", reason="", reached=True
    )
    batch = gatewaymessage.RelayBatch(
        sender_address=GATHERER.address,
        ask_id=sent[0].ask_id,
        outcomes=(part,),
    )
    after.on_batch(batch)
    assert not received
