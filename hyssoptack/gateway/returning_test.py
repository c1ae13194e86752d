"""Instances that return from a cut, beside neighbours that saw all changes."""

import asyncio
import dataclasses

import pytest

from hyssoptack.core import clock
from hyssoptack.gateway import daemon
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.membership import keptupstreams

CUT_S = 4.0
WATCHED_S = 2.5
STEP_S = 0.02
WAIT_S = 6.0
NAMES = ("g-1", "g-2", "g-3")
UNREACHABLE_ADDRESS = "127.0.0.1:1"


async def _wait_for(condition) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(STEP_S)


def _cut_off_peers(instance: daemon.Gateway) -> None:
    instance._peering.stop()
    instance._peering._links = None


async def _return_after_removal(
    site: harness.Site, returning: list[daemon.Gateway]
) -> None:
    """Cuts instances off while an upstream leaves; returns as they read again.

    They read the store before they hear of their neighbours.
    """
    for each in returning:
        each._store.set_address(UNREACHABLE_ADDRESS)
        _cut_off_peers(each)
    await asyncio.sleep(0.3)
    site.store.remove("servers/i-1")
    await asyncio.sleep(CUT_S)
    back_ms = clock.now_ms()
    for each in returning:
        each._store.set_address(site.store.address)
    await _wait_for(
        lambda: all(each.view.list_read_ms > back_ms for each in returning)
    )
    for each in returning:
        each._peering.start()


@pytest.mark.parametrize("returning_count", [1, 2])
def test_neighbours_use_no_removed_upstream_after_an_instance_returns(
    returning_count,
):
    # The returning instances took their cut for an outage of the store, and
    # their notices made neighbours use what had left for another 2 s.
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("i-0", "desk")
            await site.add_upstream("i-1", "desk")
            site.configure(gateway_test.SINGLE)
            for name in NAMES:
                await site.start(name)
            ranked = sorted(
                site.gateways.values(),
                key=lambda each: each.reader_election.rank,
            )
            in_touch = ranked[:-returning_count]
            await _wait_for(
                lambda: all(
                    len(each.reader_election.neighbours()) == 2
                    and len(each.view.upstreams) == 2
                    for each in ranked
                )
            )
            await _return_after_removal(site, ranked[-returning_count:])
            end_ms = clock.now_ms() + WATCHED_S * 1_000.0
            while clock.now_ms() < end_ms:
                for each in in_touch:
                    assert set(each.view.upstreams) == {"i-0"}
                await asyncio.sleep(STEP_S)
            for each in ranked:
                assert set(each.view.upstreams) == {"i-0"}

    gateway_test.run(test())


def test_a_returning_neighbour_declines_queries_of_instances_in_touch():
    # A query that an instance in touch delegated to a neighbour that had just
    # returned from a cut was sent to upstreams that had left.
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("i-0", "s0")
            site.configure({**gateway_test.SHARDS, "fanout_services": ["s0"]})
            narrow, wide = await site.start_delegating_pair()
            await _wait_for(lambda: narrow.view.upstream_list.is_observed)
            known = wide.view.upstream_list
            removed = keptupstreams.KeptUpstream(
                upstream=dataclasses.replace(
                    known.listed["i-0"], upstream_id="i-1"
                ),
                listed_at=known.read_at,
                until_ms=clock.now_ms() + CUT_S * 1_000.0,
            )
            wide.view.upstream_list = dataclasses.replace(
                known,
                kept={"i-1": removed},
                observed_since_ms=known.read_ms,
            )
            taken = []
            wide._request_handler._serve = lambda *each: taken.append(each)
            async with asyncio.timeout(WAIT_S):
                response = await site.get("/all/x", "r1", name="narrow")
            assert response.status == 200
            assert not taken

    gateway_test.run(test())
