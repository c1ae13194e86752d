"""Cold upstreams get no more requests than their warm-up limit allows."""

import asyncio

from hyssoptack.balancing import warmup
from hyssoptack.core import warmuplimits
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness

PER_S = 4.0
ALL_COUNT = PER_S * warmup.SHARED_RATIO
SETTLED_S = 3.0


async def _start_cold_desk(site: harness.Site, warm: bool) -> None:
    site.warmup_per_s = PER_S
    await site.add_upstream("cold", "desk")
    if warm:
        await site.add_upstream("warm", "desk")
    site.configure(gateway_test.SINGLE)
    for name in ("g-1", "g-2"):
        await site.start(name, warmup=warmuplimits.WarmupLimits())
    await asyncio.sleep(SETTLED_S)
    site.put_upstream_entry("cold", "desk", cold_ms=8_000.0)
    async with asyncio.timeout(SETTLED_S):
        while not all(
            each.view.upstreams["cold"].cold_ms
            for each in site.gateways.values()
        ):
            await asyncio.sleep(0.02)
    await asyncio.sleep(warmup.WINDOW_MS / 1_000)


async def _send_requests(site: harness.Site, count: int) -> list[int]:
    """Sends requests to both gateways in turn; returns their statuses."""
    got = await asyncio.gather(
        *(
            site.get("/one/x", f"r{index}", name=f"g-{1 + index % 2}")
            for index in range(count)
        )
    )
    return [each.status for each in got]


def test_a_cold_upstream_beside_a_warm_one_stays_within_its_limit():
    async def test():
        async with harness.Site() as site:
            await _start_cold_desk(site, warm=True)
            before = len(site.upstreams["cold"].request_heads)
            assert await _send_requests(site, 30) == [200] * 30
            assert (
                len(site.upstreams["cold"].request_heads) - before <= ALL_COUNT
            )

    asyncio.run(test())


def test_requests_beyond_the_limit_of_cold_upstreams_are_refused():
    async def test():
        async with harness.Site() as site:
            await _start_cold_desk(site, warm=False)
            before = len(site.upstreams["cold"].request_heads)
            statuses = await _send_requests(site, 20)
            served = statuses.count(200)
            assert len(site.upstreams["cold"].request_heads) - before == served
            assert 0 < served <= ALL_COUNT
            assert statuses.count(503) == 20 - served
            runs = [site.run_count(f"r{index}") for index in range(20)]
            refused = [
                count
                for count, status in zip(runs, statuses, strict=True)
                if status == 503
            ]
            assert not any(refused)

    asyncio.run(test())
