"""Gateways of one failure domain share what one reads from the store."""

import asyncio
import json

from hyssoptack.core import gatewaymessage
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.membership import listdelta
from hyssoptack.peers import codec
from hyssoptack.platform import storeformat


async def _start_three(site: harness.Site) -> None:
    await site.add_upstream("i-0", "desk")
    site.configure(gateway_test.SINGLE)
    for name in ("g-1", "g-2", "g-3"):
        await site.start(name)
    await asyncio.sleep(3.5)


def test_one_instance_reads_for_all_and_changes_spread():
    async def test():
        async with harness.Site() as site:
            await _start_three(site)
            site.store.call_names.clear()
            await asyncio.sleep(3.0)
            reads = site.store.call_names.count("kv-range")
            # One reader reads the upstreams about once a second, and the
            # instances once.
            assert reads <= 5
            site.configure({**gateway_test.SINGLE, "prefix": "/new/"})
            await site.add_upstream("i-1", "desk")
            await asyncio.sleep(1.5)
            for name, each in site.gateways.items():
                got = await site.get("/new/x", f"r-{name}", name=name)
                assert got.status == 200
                assert len(each.view.upstreams) == 2

    asyncio.run(test())


def test_an_older_configuration_is_not_passed_on_as_the_one_in_force():
    # A neighbour's notice named a newer version than its configuration has.
    # The instance kept its own in force, but sent the other one on.
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("i-0", "desk")
            site.configure(gateway_test.SINGLE)
            started = await site.start()
            in_force = json.loads(
                site.store.value(storeformat.CONFIGURATION_KEY)
            )
            older = json.dumps({**in_force, "version": 1}).encode()
            started._peering._receive_view(
                gatewaymessage.ViewNotice(
                    sender_id="g2",
                    sender_address="127.0.0.1:1",
                    version=in_force["version"] + 1,
                    configuration=codec.compress(older),
                    revision=0,
                    change=listdelta.ListHistory().full_change(),
                )
            )
            sent = codec.decompress(started._peering._configuration)
            assert json.loads(sent) == in_force

    asyncio.run(test())


def test_another_instance_reads_after_the_reader_is_killed():
    async def test():
        async with harness.Site() as site:
            await _start_three(site)
            reader = max(
                site.gateways,
                key=lambda name: site.gateways[name].reader_election.rank,
            )
            site.kill(reader)
            await asyncio.sleep(0.2)
            site.put_upstream_entry("i-0", "desk", state="draining")
            site.configure({**gateway_test.SINGLE, "prefix": "/new/"})
            await asyncio.sleep(2.8)
            for name, each in site.gateways.items():
                if name != reader:
                    assert each.view.version == 6
                    assert each.view.upstreams["i-0"].draining

    asyncio.run(test())


def test_an_instance_registers_again_after_its_lease_is_revoked():
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("i-0", "desk")
            site.configure(gateway_test.SINGLE)
            await site.start("g-1", lease_ms=300.0, lease_min_ms=100.0)
            await asyncio.sleep(0.3)
            key = "hyssoptack/peers/g-1"
            assert key in site.store.sorted_keys()
            site.store.revoke_all_leases()
            assert key not in site.store.sorted_keys()
            await asyncio.sleep(0.5)
            assert key in site.store.sorted_keys()

    asyncio.run(test())


def test_the_budget_shares_of_all_instances_stay_within_the_slack():
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("i-0", "desk")
            site.configure(gateway_test.SINGLE)
            for number in range(20):
                entry = {
                    "instance_id": f"other-{number}",
                    "failure_domain": "south",
                    "address": "127.0.0.1:1",
                }
                key = f"hyssoptack/peers/other-{number}"
                site.store.put(key, json.dumps(entry).encode())
            running = await site.start("g-1")
            async with asyncio.timeout(5.0):
                while running.reader_election.peak_instance_count < 21:
                    await asyncio.sleep(0.05)
            slack_count = site.settings["g-1"].budget.slack_count
            assert (
                21 * running._extra_call_budget.share.slack_count <= slack_count
            )

    asyncio.run(test())


def test_instances_that_never_read_know_all_instances():
    # Otherwise they use the budget share of a small site, and send nobody
    # notices of slow upstreams.
    async def test():
        async with harness.Site() as site:
            await _start_three(site)
            async with asyncio.timeout(5.0):
                for each in site.gateways.values():
                    while each.reader_election.instance_count != 3:
                        await asyncio.sleep(0.05)
                    assert len(each.reader_election.neighbours()) == 2

    asyncio.run(test())
