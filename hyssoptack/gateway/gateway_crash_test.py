"""Requests that crash the upstreams that run them.

What users saw: waves in which all copies of all shards ended, again each time
they were back; in between no query was served. One caller sent one query time
and again, at any instance. Each of its parts ended the upstream that ran it,
the parts were then sent to other copies, and the next attempt took those that
had just come back: 90 to 120 upstreams ended under one request.

The evidence: events 4104 of all instances name one fingerprint in hand at
every upstream that ended, in different attempts of its caller, and no answer
to it anywhere. Other requests were in hand at one or two of them, and were
answered elsewhere.
"""

import asyncio
import dataclasses
import itertools

from hyssoptack.core import clock
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.http1 import message

SHARD_COUNT = 4
COPY_COUNT = 4
WORK_MS = 20.0
RETURN_MS = 2_000.0
BOUND_MS = 1_000.0
"""A quarter of the shortest time that users give from the third crash on."""

REFUSED_MS = 100.0
"""At once: less than what a query takes that is run."""

CRASH_LIMIT_COUNT = 3
"""So many crashes show a request that crashes all."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Arrival:
    """A request that has begun to run on an upstream."""

    request_id: str
    at_ms: float


class CrashWatch:
    """What ran on the upstreams of a site, and when they crashed."""

    def __init__(self, site: harness.Site, bad_path: bytes):
        self.arrivals: list[_Arrival] = []
        self.crash_ms: list[float] = []
        for each in site.services.values():
            each.behaviour.delay_ms = WORK_MS
            each.behaviour.return_ms = RETURN_MS
            each.behaviour.crashes_on = bad_path
            each.on_run = self._note_run
            each.on_crash = lambda: self.crash_ms.append(clock.now_ms())

    def _note_run(self, request_id: bytes) -> None:
        arrival = _Arrival(request_id=request_id.decode(), at_ms=clock.now_ms())
        self.arrivals.append(arrival)

    def late_count(self, prefix: str) -> int:
        """Counts runs of a request after the bound from its third crash."""
        if len(self.crash_ms) < CRASH_LIMIT_COUNT:
            return 0
        bound_ms = self.crash_ms[CRASH_LIMIT_COUNT - 1] + BOUND_MS
        return sum(
            each.request_id.startswith(prefix) and each.at_ms > bound_ms
            for each in self.arrivals
        )


async def start_sharded_site(site: harness.Site, **changes: object) -> None:
    """Two instances in the north, one in the south, half of the copies each."""
    for shard in range(SHARD_COUNT):
        for copy in range(COPY_COUNT):
            body = bytes([shard]) * 16 + bytes([200 - shard]) * 16
            zone = "north" if copy % 2 else "south"
            name = f"i-{shard}-{copy}"
            await site.add_upstream(name, f"s{shard}", body, zone)
    site.configure(gateway_test.SHARDS)
    await start_gateways(site, **changes)


async def start_gateways(site: harness.Site, **changes: object) -> None:
    await site.start("n1", **changes)
    await site.start("n2", **changes)
    await site.start("s1", failure_domain="south", **changes)
    async with asyncio.timeout(8.0):
        # Each knows of the others: the list of instances is read by then.
        while any(
            each.reader_election.instance_count < 3 for each in _gateways(site)
        ):
            await asyncio.sleep(0.05)


def _gateways(site: harness.Site):
    return tuple(site.gateways.values())


async def send_repeatedly(site, path, length_s, period_s, prefix, **given):
    """Sends a request time and again, at the instances in turn."""
    names = itertools.cycle(site.gateways)
    tasks = []
    for number in range(int(length_s / period_s)):
        name = next(names)
        asked = _timed(site, path, f"{prefix}-{number}", name, **given)
        tasks.append(asyncio.create_task(asked))
        await asyncio.sleep(period_s)
    return await asyncio.gather(*tasks)


async def _timed(site, path, request_id, name, **given):
    started_ms = clock.now_ms()
    got = await site.get(path, request_id, name=name, **given)
    return got, clock.now_ms() - started_ms


async def _ask_others(site, length_s):
    """Sends other queries, each with a content of its own."""
    names = itertools.cycle(site.gateways)
    tasks = []
    for number in range(int(length_s / 0.05)):
        asked = site.get(f"/all/ok-{number}", f"ok-{number}", name=next(names))
        tasks.append(asyncio.create_task(asked))
        await asyncio.sleep(0.05)
    return [each.status for each in await asyncio.gather(*tasks)]


def test_a_query_that_crashes_its_upstreams_soon_reaches_none():
    async def test():
        async with harness.Site() as site:
            await start_sharded_site(site)
            watch = CrashWatch(site, b"/all/bad")
            repeats, statuses = await asyncio.gather(
                send_repeatedly(site, "/all/bad", 8.0, 0.25, "bad"),
                _ask_others(site, 8.0),
            )
            assert len(watch.crash_ms) >= CRASH_LIMIT_COUNT
            assert watch.late_count("bad") == 0
            for got, took_ms in repeats[-16:]:
                assert got.status == 502
                assert "retry-after" not in got.headers
                assert took_ms < REFUSED_MS
            # Nobody else is kept from service for longer than the first wave.
            later = statuses[len(statuses) // 2 :]
            assert all(status == 200 for status in later)

    asyncio.run(test())


def test_single_requests_that_crash_their_upstreams_soon_reach_none():
    async def test():
        async with harness.Site() as site:
            for index in range(6):
                zone = "north" if index % 2 else "south"
                await site.add_upstream(f"i-{index}", "desk", zone=zone)
            site.configure(gateway_test.SINGLE, gateway_test.ONCE)
            await start_gateways(site)
            for path, method in (("/one/bad", "GET"), ("/once/bad", "POST")):
                watch = CrashWatch(site, path.encode())
                body = b"book" if method == "POST" else b""
                repeats = await send_repeatedly(
                    site, path, 6.0, 0.2, method, method=method, body=body
                )
                assert len(watch.crash_ms) >= CRASH_LIMIT_COUNT
                assert watch.late_count(method) == 0
                assert {got.status for got, _ in repeats[-10:]} == {502}
                assert all(took < REFUSED_MS for _, took in repeats[-10:])
                await asyncio.sleep(RETURN_MS / message.MS_PER_S)

    asyncio.run(test())


def test_an_instance_started_anew_sends_no_request_that_crashes_all():
    async def test():
        async with harness.Site() as site:
            await start_sharded_site(site)
            watch = CrashWatch(site, b"/all/bad")
            await send_repeatedly(site, "/all/bad", 3.0, 0.25, "bad")
            await site.start("n3")
            # All upstreams are back by then.
            await asyncio.sleep(RETURN_MS / message.MS_PER_S)
            before = len(watch.crash_ms)
            got, _ = await _timed(site, "/all/bad", "new-1", "n3")
            assert got.status == 502
            assert len(watch.crash_ms) == before
            assert not [
                each
                for each in watch.arrivals
                if each.request_id.startswith("new")
            ]

    asyncio.run(test())
