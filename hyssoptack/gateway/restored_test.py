"""The store's return from an older copy, seen by running gateways."""

import asyncio

from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.membership import upstreamlist

NAMES = ("g-1", "g-2")
STEP_S = 0.02
WAIT_S = 6.0
LEAVING_BOUND_S = 3.0
LOST_WRITE_COUNT = 6


async def _wait_for(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(STEP_S)


async def _start(site):
    for name in ("i-0", "i-1"):
        await site.add_upstream(name, "desk")
    site.configure(gateway_test.SINGLE)
    for name in NAMES:
        await site.start(name)
    await _wait_for(lambda: _use(site, {"i-0", "i-1"}))


def _use(site, names):
    return all(set(_ready(each)) == names for each in site.gateways.values())


def _ready(running):
    return [
        name
        for name, each in running.view.upstreams.items()
        if not each.draining
    ]


async def _lose_writes(site):
    """Returns the store from a copy that lacks some configurations."""
    copy = site.store.copy()
    for _ in range(LOST_WRITE_COUNT):
        site.configure(gateway_test.SINGLE)
    await asyncio.sleep(1.5)
    site.store.restore(copy)
    site.configure(gateway_test.SINGLE)


async def _watch(site, seconds, names):
    """Checks that only the given upstreams get requests."""
    for _ in range(int(seconds / STEP_S)):
        for each in site.gateways.values():
            assert set(_ready(each)) <= names
        await asyncio.sleep(STEP_S)


def test_a_drain_is_seen_after_the_store_returned_from_an_older_copy():
    # Each read of the list was ignored until the store had made as many changes
    # as were lost, so that draining upstreams went on getting requests.
    async def test():
        async with harness.Site() as site:
            await _start(site)
            await _lose_writes(site)
            site.put_upstream_entry("i-0", "desk", state="draining")
            await asyncio.sleep(LEAVING_BOUND_S)
            await _watch(site, 0.5, {"i-1"})
            # One that starts now reads the new list, and gets the list of its
            # neighbours, which was the one of before.
            await site.start("g-3")
            await _watch(site, 1.5, {"i-1"})

    gateway_test.run(test())


def test_a_copy_does_not_bring_back_upstreams_that_drained_or_left():
    # The copy lists them as ready until the one writes its state again and the
    # entry of the other expires.
    async def test():
        async with harness.Site() as site:
            await _start(site)
            await site.add_upstream("i-2", "desk")
            await _wait_for(lambda: _use(site, {"i-0", "i-1", "i-2"}))
            copy = site.store.copy()
            site.put_upstream_entry("i-0", "desk", state="draining")
            site.store.remove("servers/i-1")
            await _wait_for(lambda: _use(site, {"i-2"}))
            site.store.restore(copy)
            await _watch(site, 1.2, {"i-2"})
            site.put_upstream_entry("i-0", "desk", state="draining")
            # It starts after the return and knows of neither departure.
            await site.start("g-3")
            await _wait_for(lambda: _use(site, {"i-2"}))
            await _watch(site, 2.4, {"i-2"})
            site.store.remove("servers/i-1")
            await _watch(site, 1.5, {"i-2"})

    gateway_test.run(test())


def test_an_upstream_that_a_copy_lacks_stays_in_use_until_it_registers():
    # It registered in the seconds that were lost.
    async def test():
        async with harness.Site() as site:
            await _start(site)
            copy = site.store.copy()
            await site.add_upstream("i-2", "desk")
            await _wait_for(lambda: _use(site, {"i-0", "i-1", "i-2"}))
            site.store.restore(copy)
            grace_s = upstreamlist.REREGISTRATION_GRACE_MS / 1_000.0
            for _ in range(int(0.6 * grace_s / STEP_S)):
                assert _use(site, {"i-0", "i-1", "i-2"})
                await asyncio.sleep(STEP_S)
            site.put_upstream_entry("i-2", "desk")
            await asyncio.sleep(grace_s)
            assert _use(site, {"i-0", "i-1", "i-2"})

    gateway_test.run(test())


def test_a_configuration_written_at_a_revision_of_before_is_put_in_force():
    # The watch went on from the revision of before the return. A configuration
    # that was written at a lower one in the new era was never seen.
    async def test():
        async with harness.Site() as site:
            await _start(site)
            copy = site.store.copy()
            for _ in range(LOST_WRITE_COUNT):
                version = site.configure(gateway_test.SINGLE)
            await _wait_for(
                lambda: all(
                    each.view.version == version
                    for each in site.gateways.values()
                )
            )
            site.store.restore(copy)
            newest = site.configure(gateway_test.SINGLE)
            for _ in range(LOST_WRITE_COUNT):
                site.put_upstream_entry("i-0", "desk")
            await _wait_for(
                lambda: all(
                    each.view.version == newest
                    for each in site.gateways.values()
                )
            )

    gateway_test.run(test())


def test_an_instance_registers_again_after_its_entry_was_lost():
    # Its lease number was given out again, and renewing it kept another
    # instance's entry alive, but not its own.
    async def test():
        async with harness.Site() as site:
            site.configure(gateway_test.SINGLE)
            copy = site.store.copy()
            await site.add_upstream("i-0", "desk")
            await site.start("g-1", lease_ms=1_500.0, lease_min_ms=100.0)
            key = "hyssoptack/peers/g-1"
            await _wait_for(lambda: key in site.store.sorted_keys())
            site.store.restore(copy)
            site.configure(gateway_test.SINGLE)
            site.store._grant(60_000.0)
            await _wait_for(lambda: key in site.store.sorted_keys())

    gateway_test.run(test())
