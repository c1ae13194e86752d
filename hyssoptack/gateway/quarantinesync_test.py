"""Sharing of records of requests that crash upstreams between instances."""

import asyncio

from hyssoptack.core import gatewaymessage
from hyssoptack.gateway import gateway_crash_test
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.http1 import message
from hyssoptack.settings import gateway

TOLD_S = 2.5
"""Less than the shortest time that the users give from the third crash on."""


def _suspect_registry(site, name):
    return site.gateways[name]._suspect_registry


async def _wait_quarantined(site, *names):
    async with asyncio.timeout(TOLD_S):
        while not all(
            _suspect_registry(site, each).quarantined_count for each in names
        ):
            await asyncio.sleep(0.02)


def _partition(site, name):
    """Drops all messages between an instance and the others, both ways.

    Returns:
        A function that ends the partition.
    """
    cut_off = site.gateways[name]
    addresses = {cut_off._settings.peer_address}
    replaced = []
    for other in site.gateways.values():
        peering = other._peering
        original_send = peering._links.send

        def send(address, body, other=other, original_send=original_send):
            if (other is cut_off) == (address in addresses):
                original_send(address, body)

        peering._links.send = send
        replaced.append((peering._links, original_send))

    def heal():
        for links, original_send in replaced:
            links.send = original_send

    return heal


BUDGET = gateway.BudgetSettings(slack_count=10_000.0)
"""A budget of extra calls so large that only suspicions refuse requests."""


async def _get_with_retry(site, path, name):
    """Sends a request as callers do, with one retry after a failure."""
    got = await site.get(path, f"first{path}", name=name)
    if got.status == 200:
        return got
    assert b"crashes_upstreams" not in got.body
    await asyncio.sleep(float(got.headers.get("retry-after", "0")))
    return await site.get(path, f"again{path}", name=name)


async def _start_desk(site, count=6):
    for index in range(count):
        zone = "north" if index % 2 else "south"
        await site.add_upstream(f"i-{index}", "desk", zone=zone)
    site.configure(gateway_test.SINGLE)


def test_a_quarantine_reaches_all_instances_after_lost_messages():
    async def test():
        async with harness.Site() as site:
            await gateway_crash_test.start_sharded_site(site)
            gateway_crash_test.CrashRecorder(site, b"/all/bad")
            heal = _partition(site, "s1")
            await gateway_crash_test.send_repeatedly(
                site, "/all/bad", 0.6, 0.2, "bad"
            )
            await _wait_quarantined(site, "n1", "n2")
            heal()
            await _wait_quarantined(site, "s1")

    asyncio.run(test())


def test_a_partitioned_instances_quarantine_is_shared_after_the_partition():
    async def test():
        async with harness.Site() as site:
            await gateway_crash_test.start_sharded_site(site)
            recorder = gateway_crash_test.CrashRecorder(site, b"/all/bad")
            heal = _partition(site, "s1")
            await site.get("/all/bad", "bad-1", name="s1")
            await _wait_quarantined(site, "s1")
            alone_count = len(recorder.crash_ms)
            heal()
            await _wait_quarantined(site, "n1", "n2")
            got = await site.get("/all/bad", "bad-2", name="n1")
            assert got.status == 502
            assert len(recorder.crash_ms) == alone_count

    asyncio.run(test())


def test_quarantines_are_shared_during_a_store_outage():
    async def test():
        async with harness.Site() as site:
            await gateway_crash_test.start_sharded_site(site)
            gateway_crash_test.CrashRecorder(site, b"/all/bad")
            site.store.stop()
            await site.get("/all/bad", "bad-1", name="n1")
            await _wait_quarantined(site, "n1", "n2", "s1")

    asyncio.run(test())


def test_requests_that_share_crashing_upstreams_are_served():
    # Single requests share upstreams with one that crashes them. Each loses
    # its upstream at most a few times, and is answered by another.
    async def test():
        async with harness.Site() as site:
            await _start_desk(site, 12)
            await gateway_crash_test.start_gateways(site)
            gateway_crash_test.CrashRecorder(site, b"/one/bad")
            beside = [
                asyncio.create_task(
                    _get_with_retry(site, f"/one/ok-{index}", name)
                )
                for index, name in enumerate(("n1", "n2", "s1") * 6)
            ]
            bad = await site.get("/one/bad", "bad-1", name="n1")
            assert bad.status == 502
            statuses = [got.status for got in await asyncio.gather(*beside)]
            assert statuses.count(200) == len(statuses)
            for name in site.gateways:
                assert _suspect_registry(site, name).quarantined_count == 0

    asyncio.run(test())


def test_random_crashes_of_upstreams_quarantine_no_request():
    async def test():
        async with harness.Site() as site:
            await gateway_crash_test.start_sharded_site(site, budget=BUDGET)
            gateway_crash_test.CrashRecorder(site, b"/none")
            statuses = []
            for turn in range(6):
                requests = [
                    asyncio.create_task(
                        _get_with_retry(site, f"/all/q-{turn}-{n}", name)
                    )
                    for n, name in enumerate(("n1", "n2", "s1") * 3)
                ]
                await asyncio.sleep(gateway_crash_test.WORK_MS / 2 / 1_000.0)
                # Crash half of all copies in turns: if all copies of a failure
                # domain crashed, a partition would be detected instead.
                for each in site.upstreams.values():
                    if int(each.upstream_id[-1]) // 2 == turn % 2:
                        each.behaviour.return_ms = 300.0
                        each.crash()
                statuses += [
                    got.status for got in await asyncio.gather(*requests)
                ]
                await asyncio.sleep(0.5)
            assert statuses == [200] * len(statuses)
            for name in site.gateways:
                assert _suspect_registry(site, name).quarantined_count == 0

    asyncio.run(test())


def test_a_request_that_no_longer_crashes_is_served_by_all_instances():
    async def test():
        async with harness.Site() as site:
            await gateway_crash_test.start_sharded_site(site)
            recorder = gateway_crash_test.CrashRecorder(site, b"/all/bad")
            await site.get("/all/bad", "bad-1", name="n1")
            await _wait_quarantined(site, "n1", "n2", "s1")
            await asyncio.sleep(gateway_crash_test.RETURN_MS / message.MS_PER_S)
            for each in site.upstreams.values():
                each.behaviour.crashes_on = b""
            crashes = len(recorder.crash_ms)
            # The quarantine is over at the instance that gets the request.
            entry = next(
                iter(_suspect_registry(site, "n2")._quarantined.values())
            )
            entry.quarantined_until_ms = entry.probe_jitter_ms = 0.0
            got = await site.get("/all/bad", "ok-1", name="n2")
            assert got.status == 200
            await asyncio.sleep(0.5)
            for name in site.gateways:
                got = await site.get("/all/bad", f"ok-{name}", name=name)
                assert got.status == 200
            assert len(recorder.crash_ms) == crashes

    asyncio.run(test())


def test_nothing_is_sent_while_there_are_no_records():
    async def test():
        async with harness.Site() as site:
            await gateway_crash_test.start_sharded_site(site)
            sent = []
            for each in site.gateways.values():
                original_send = each._quarantine_sync._send

                def send(address, body, original_send=original_send):
                    sent.append(body)
                    original_send(address, body)

                each._quarantine_sync._send = send
            # By then, the instances no longer request records after the start.
            await asyncio.sleep(3.5)
            sent.clear()
            for number in range(9):
                await site.get(f"/all/{number}", f"r{number}", name="n1")
            await asyncio.sleep(1.5)
            assert not sent

    asyncio.run(test())


def test_a_delegated_query_that_crashes_upstreams_is_quarantined():
    async def test():
        async with harness.Site() as site:
            for shard in range(4):
                for copy in range(4):
                    name = f"i-{shard}-{copy}"
                    await site.add_upstream(name, f"s{shard}")
            site.configure(gateway_test.SHARDS)
            narrow, wide = await site.start_delegating_pair()
            recorder = gateway_crash_test.CrashRecorder(site, b"/all/bad")
            got = await site.get("/all/bad", "bad-1", name="narrow")
            assert got.status == 502
            await _wait_quarantined(site, "narrow", "wide")
            count = len(recorder.runs)
            narrow._delegator.try_delegate = None
            for name in site.gateways:
                got = await site.get("/all/bad", f"bad-{name}", name=name)
                assert got.status == 502
            assert len(recorder.runs) == count

    asyncio.run(test())


def test_a_gatherer_refuses_a_relayed_quarantined_request():
    async def test():
        async with harness.Site() as site:
            await gateway_crash_test.start_sharded_site(site)
            gateway_crash_test.CrashRecorder(site, b"/all/bad")
            await site.get("/all/bad", "bad-1", name="n1")
            await _wait_quarantined(site, "n2", "s1")
            name = next(iter(_suspect_registry(site, "s1")._quarantined))
            gathering = site.gateways["s1"]._gatherer_service
            sent = []
            gathering.send = lambda _, body: sent.append(body)
            relay_request = gatewaymessage.RelayRequest(
                sender_address="127.0.0.1:1",
                ask_id=1,
                route_name="route-0",
                top_count=3,
                request_id=b"bad-2",
                head=b"GET /all/bad HTTP/1.1\r\n",
                body=b"",
                remaining_ms=500.0,
                to_goal_ms=100.0,
                calls=(
                    gatewaymessage.RelayedCall(call_id=1, upstream_id="i-0-0"),
                ),
                fingerprint=name,
            )
            gathering.accept(relay_request, ready=True)
            (batch,) = sent
            assert batch.outcomes[0].reason == "crashes_upstreams"
            assert not gathering.active_gathers

    asyncio.run(test())
