"""Tests of calls relayed to other failure domains."""

import asyncio

from hyssoptack.core import gatewaymessage
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness

WAIT_S = 8.0
SHARD_COUNT = 4


async def _start_north_and_south(site, with_west=False):
    """Starts an instance in the north and one beside upstreams in the south.

    Args:
        site: The site.
        with_west: Whether each shard has a second upstream in the west.
    """
    for index in range(SHARD_COUNT):
        body = bytes([index]) * 16 + bytes([200 - index]) * 16
        await site.add_upstream(f"i-{index}", f"s{index}", body, "south")
        if with_west:
            await site.add_upstream(f"w-{index}", f"s{index}", body, "west")
    site.configure(gateway_test.SHARDS)
    north = await site.start("north")
    await site.start("south", failure_domain="south")
    async with asyncio.timeout(WAIT_S):
        while north._call_relay.selector.choose("south", 0.0) is None:
            await asyncio.sleep(0.05)
    return north


def _runs(site, request_id):
    return [s.run_counts[request_id] for s in site.upstreams.values()]


def test_calls_to_another_domain_are_relayed_to_its_gatherer():
    async def test():
        async with harness.Site() as site:
            north = await _start_north_and_south(site)
            opened = north._pools.context.opened_count
            response = await site.get("/all/x", "r1", name="north")
            assert response.status == 200
            assert response.headers["x-missing-parts"] == "0"
            assert (
                len(response.headers["x-part-stamps"].split(",")) == SHARD_COUNT
            )
            assert response.body[:16] == bytes([200]) * 16
            assert _runs(site, b"r1") == [1] * SHARD_COUNT
            assert north._pools.context.opened_count == opened
            assert not north._call_relay.pending
            assert not site.gateways["south"]._gatherer_service.active_gathers

    asyncio.run(test())


def test_a_killed_gatherer_causes_no_failed_or_partial_answers():
    async def test():
        async with harness.Site() as site:
            await _start_north_and_south(site)
            site.kill("south")
            for number in range(5):
                response = await site.get("/all/x", f"r{number}", name="north")
                assert response.status == 200
                assert response.headers["x-missing-parts"] == "0"

    asyncio.run(test())


def test_a_silent_gatherer_is_hedged_within_the_routes_attempts():
    # A frozen process receives messages without answering. The calls relayed
    # to it count as sent; otherwise a shard could run on a third upstream.
    async def test():
        async with harness.Site() as site:
            north = await _start_north_and_south(site, with_west=True)
            site.gateways["south"]._peering.on_message = lambda _: None
            response = await site.get("/all/x", "r1", name="north")
            assert response.status == 200
            shard_runs = [
                site.upstreams[f"i-{index}"].run_counts[b"r1"]
                + site.upstreams[f"w-{index}"].run_counts[b"r1"]
                for index in range(SHARD_COUNT)
            ]
            assert max(shard_runs) <= 2
            assert not north._call_relay.pending

    asyncio.run(test())


def test_a_stopping_gatherer_declines_and_the_calls_are_made_directly():
    async def test():
        async with harness.Site() as site:
            north = await _start_north_and_south(site)
            site.gateways["south"].stop()
            response = await site.get("/all/x", "r1", name="north")
            assert response.status == 200
            assert _runs(site, b"r1") == [1] * SHARD_COUNT
            assert north._call_relay.selector.choose("south", 0.0) is None

    asyncio.run(test())


def test_a_gatherer_declines_calls_after_a_stall():
    async def test():
        async with harness.Site() as site:
            await _start_north_and_south(site)
            south = site.gateways["south"]
            south._delegator.loop_watch._last_tick_ms -= 1_000.0
            response = await site.get("/all/x", "r1", name="north")
            assert response.status == 200
            assert _runs(site, b"r1") == [1] * SHARD_COUNT

    asyncio.run(test())


def test_an_upstream_known_to_drain_at_the_gatherer_is_not_called():
    async def test():
        async with harness.Site() as site:
            await _start_north_and_south(site, with_west=True)
            south = site.gateways["south"]
            for index in range(SHARD_COUNT):
                state = south.view.load_balancer.upstream_states[f"i-{index}"]
                object.__setattr__(state.upstream, "draining", True)
            response = await site.get("/all/x", "r1", name="north")
            assert response.status == 200
            runs = [
                site.upstreams[f"i-{index}"].run_counts[b"r1"]
                for index in range(SHARD_COUNT)
            ]
            assert not any(runs)

    asyncio.run(test())


def test_a_caller_that_disconnects_cancels_the_relayed_calls():
    async def test():
        async with harness.Site() as site:
            await _start_north_and_south(site)
            for each in site.upstreams.values():
                each.behaviour.never = True
            address = site.settings["north"].callers_address
            host, _, port = address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(harness.request_bytes("/all/x", "r1"))
            await asyncio.sleep(0.1)
            assert site.gateways["south"]._gatherer_service.active_gathers
            writer.close()
            async with asyncio.timeout(0.5):
                while any(
                    not s.cancelled_count for s in site.upstreams.values()
                ):
                    await asyncio.sleep(0.02)
            assert not site.gateways["south"]._gatherer_service.active_gathers

    asyncio.run(test())


def test_losing_a_gatherer_during_calls_does_not_fail_the_query():
    async def test():
        async with harness.Site() as site:
            await _start_north_and_south(site, with_west=True)
            for index in range(SHARD_COUNT):
                site.upstreams[f"i-{index}"].behaviour.delay_ms = 700.0
            pending = asyncio.create_task(
                site.get("/all/x", "r1", name="north")
            )
            await asyncio.sleep(0.05)
            site.kill("south")
            async with asyncio.timeout(1.5):
                response = await pending
            assert response.status == 200

    asyncio.run(test())


def test_foreign_and_repeated_batches_are_ignored():
    async def test():
        async with harness.Site() as site:
            north = await _start_north_and_south(site)
            outcome = gatewaymessage.RelayedOutcome(
                call_id=1, kind="answered", signature=b"forged", records=b"z"
            )
            batch = gatewaymessage.RelayBatch(
                sender_address="127.0.0.1:1", ask_id=1, outcomes=(outcome,)
            )
            for each in site.upstreams.values():
                each.behaviour.delay_ms = 150.0
            pending = asyncio.create_task(
                site.get("/all/x", "r1", name="north")
            )
            await asyncio.sleep(0.05)
            north._call_relay.on_batch(batch)
            north._call_relay.on_batch(batch)
            response = await pending
            assert response.status == 200
            assert b"forged" not in response.headers["x-part-stamps"].encode()

    asyncio.run(test())


def test_a_head_request_is_not_relayed():
    # A gatherer would wait for bodies, which replies to HEAD do not have.
    async def test():
        async with harness.Site() as site:
            north = await _start_north_and_south(site)
            pending = asyncio.create_task(
                site.get("/all/x", "r1", name="north", method="HEAD")
            )
            async with asyncio.timeout(WAIT_S):
                while sum(_runs(site, b"r1")) < SHARD_COUNT:
                    await asyncio.sleep(0.02)
            pending.cancel()
            assert not north._call_relay.pending
            assert not site.gateways["south"]._gatherer_service.active_gathers

    asyncio.run(test())


def test_calls_at_a_gatherer_that_ends_are_made_elsewhere_before_it_ends():
    # The instance that relayed them learned it from the lost link, after the
    # process had ended.
    async def test():
        async with harness.Site() as site:
            north = await _start_north_and_south(site)
            for each in site.upstreams.values():
                each.behaviour.never = True
            sending = asyncio.create_task(
                site.get("/all/x", "r1", name="north")
            )
            service = site.gateways["south"]._gatherer_service
            async with asyncio.timeout(WAIT_S):
                while not service.active_gathers:
                    await asyncio.sleep(0.001)
            for each in site.upstreams.values():
                each.behaviour.never = False
            service.on_process_end()
            response = await sending
            assert response.status == 200
            assert response.headers["x-missing-parts"] == "0"
            assert not service.active_gathers
            assert not north._call_relay.pending

    asyncio.run(test())
