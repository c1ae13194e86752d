"""Blocked requests outlive all instances, in the platform's store."""

import asyncio

from hyssoptack.core import clock
from hyssoptack.gateway import gateway_crash_test
from hyssoptack.gateway import harness
from hyssoptack.gateway import quarantinesync_test
from hyssoptack.platform import storeformat

STORED_S = 8.0
"""More than a reader's period (5 s, and 15 in 100 more)."""


def _stored(site):
    return [
        key
        for key in site.store._items
        if key.startswith(storeformat.BLOCKED_PREFIX)
    ]


async def _wait(condition):
    async with asyncio.timeout(STORED_S):
        while not condition():
            await asyncio.sleep(0.05)


async def _blocked(site):
    """A site on which one request is blocked, and stored."""
    await gateway_crash_test.start_sharded_site(site)
    watch = gateway_crash_test.CrashWatch(site, b"/all/bad")
    await site.get("/all/bad", "bad-1", name="n1")
    await quarantinesync_test._wait_blocked(site, "n1", "n2", "s1")
    await _wait(lambda: _stored(site))
    return watch


def test_all_instances_that_start_anew_at_once_know_it():
    async def test():
        async with harness.Site() as site:
            watch = await _blocked(site)
            for name in tuple(site.gateways):
                site.kill(name)
            await asyncio.sleep(0.2)
            site.gateways.clear()
            await site.start("n4")
            await site.start("s4", failure_domain="south")
            await quarantinesync_test._wait_blocked(site, "n4", "s4")
            count = len(watch.arrivals)
            for name in site.gateways:
                got = await site.get("/all/bad", f"bad-{name}", name=name)
                assert got.status == 502
            assert len(watch.arrivals) == count

    asyncio.run(test())


def test_what_is_cleared_is_removed_and_blocked_by_nobody_again():
    async def test():
        async with harness.Site() as site:
            await _blocked(site)
            for name in site.gateways:
                known = quarantinesync_test._suspicions(site, name)
                (fingerprint,) = known._blocked
                known.record_answer(fingerprint, clock.now_ms())
            await _wait(lambda: not _stored(site))
            for name in site.gateways:
                known = quarantinesync_test._suspicions(site, name)
                assert not known.has_entries

    asyncio.run(test())


def test_instances_are_still_found_beside_what_is_stored():
    async def test():
        async with harness.Site() as site:
            await _blocked(site)
            await site.start("n3")
            await _wait(
                lambda: site.gateways["n3"].reader_election.instance_count == 4
            )

    asyncio.run(test())
