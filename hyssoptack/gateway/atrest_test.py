"""After any kind of end, no count of work in progress stays above zero."""

import asyncio

from hyssoptack.core import clock
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.gateway import instancegauges
from hyssoptack.http1 import message
from hyssoptack.planning import timelimit

SHORT_MS = int(timelimit.DEADLINE_MARGIN_MS) - 2
REQUEST_COUNT = 40
AT_REST_S = 6.0
ROUTES = (
    gateway_test.SINGLE,
    {**gateway_test.SHARDS, "fanout_services": ["s0", "s1"]},
)
PATHS = ("/one/x", "/all/x")


async def _start(site):
    for name in ("desk", "s0", "s1"):
        for number in range(2):
            await site.add_upstream(f"{name}-{number}", name)
    site.configure(*ROUTES)
    return await site.start()


def _work(started):
    gauges = started._gauge_values(clock.now_ms())
    return {
        name: gauges[name]
        for name in instancegauges.WORK_GAUGES
        if gauges.get(name)
    }


async def _wait_at_rest(started):
    try:
        async with asyncio.timeout(AT_REST_S):
            while _work(started):
                await asyncio.sleep(0.05)
    except TimeoutError:
        assert not _work(started)


async def _leave(site, path, number):
    """Sends a request and disconnects, at once or after some milliseconds."""
    _, _, port = site.settings["gateway-1"].callers_address.rpartition(":")
    _, writer = await asyncio.open_connection("127.0.0.1", int(port))
    writer.write(harness.request_bytes(path, f"l{number}", 2_000))
    await asyncio.sleep(number % 5 / message.MS_PER_S)
    writer.transport.abort()


def test_requests_with_a_few_milliseconds_left_do_no_work():
    # Each of them sent a call that was cancelled in the same step, which used
    # up a connection of the upstream for good.
    async def test():
        async with harness.Site() as site:
            started = await _start(site)
            for number in range(REQUEST_COUNT):
                for path in PATHS:
                    request_id = f"{path[1:4]}{number}"
                    got = await site.get(path, request_id, SHORT_MS)
                    assert got.status == 503
                    assert not site.run_count(request_id)
            await _wait_at_rest(started)
            assert not started._pools.context.opened_count
            for path in PATHS:
                assert (await site.get(path, f"a{path[1]}")).status == 200

    gateway_test.run(test())


def test_all_counts_are_back_at_rest_after_silence_resets_and_leaving_callers():
    async def test():
        async with harness.Site() as site:
            started = await _start(site)
            for each in site.upstreams.values():
                each.behaviour.delay_ms = 400.0
            await asyncio.gather(
                *(
                    site.get(path, f"s{path[1]}{number}", 20 + number)
                    for number in range(REQUEST_COUNT)
                    for path in PATHS
                ),
                *(
                    _leave(site, path, number)
                    for number in range(REQUEST_COUNT)
                    for path in PATHS
                ),
            )
            for each in site.upstreams.values():
                each.behaviour.delay_ms = 0.0
                each.behaviour.reset_count = 3
            await asyncio.gather(
                *(
                    site.get(path, f"r{path[1]}{number}", 300)
                    for number in range(REQUEST_COUNT)
                    for path in PATHS
                )
            )
            await _wait_at_rest(started)
            for path in PATHS:
                assert (await site.get(path, f"a{path[1]}")).status == 200

    gateway_test.run(test())
