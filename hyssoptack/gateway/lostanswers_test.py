"""Answers of the platform's store that are lost, seen by a whole gateway."""

import asyncio

import pytest

from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness


@pytest.mark.parametrize(("bound_ms", "lost_count"), [(3e3, 2), (5e3, 1)])
def test_lost_answers_within_the_grace_do_not_begin_it_anew(
    bound_ms, lost_count
):
    # Two lost reads, or one where they are far apart, counted as another
    # outage: an upstream that the store had lost was called up to 5.6 s after
    # the store's return.
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("i-0", "desk")
            site.configure(gateway_test.SINGLE)
            await site.start(
                leaving_bound_ms=bound_ms, configuration_bound_ms=bound_ms
            )
            site.store.faults.down = True
            await asyncio.sleep(2.6)
            site.store.remove("servers/i-0")
            site.store.faults.down = False
            await asyncio.sleep(1.2)
            assert (await site.get("/one/x", "r1")).status == 200
            site.store.faults.lost_read_count = lost_count
            await asyncio.sleep(2.4)
            assert (await site.get("/one/x", "r2")).status == 503

    gateway_test.run(test())
