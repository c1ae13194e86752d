"""Requests that crash the upstreams that run them.

One caller repeats a query at any instance. Each part of the query crashes the
upstream that runs it and is then sent to another copy; the next attempt crashes
the upstreams that have just restarted. Without a quarantine, one such request
crashes 90 to 120 upstreams, and no query is served in between.

The request is recognised by the event UPSTREAM_ENDED (4104) of all instances:
its fingerprint is in progress at every upstream that exits, in different
attempts, and is answered nowhere. Other requests are in progress at one or two
of these upstreams, and are answered elsewhere.
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
QUARANTINE_BOUND_MS = 1_000.0
"""Time after the third crash from which the request must reach no upstream: a
quarter of the shortest time that the users allow."""

REFUSED_MS = 100.0
"""Maximum time of a refusal: less than a query takes that is run."""

CRASH_LIMIT_COUNT = 3
"""Number of crashes after which a request counts as crashing its upstreams."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Run:
    """The start of a request's run on an upstream."""

    request_id: str
    at_ms: float


class CrashRecorder:
    """Records the runs and crashes on the upstreams of a site."""

    def __init__(self, site: harness.Site, bad_path: bytes):
        self.runs: list[_Run] = []
        self.crash_ms: list[float] = []
        for each in site.upstreams.values():
            each.behaviour.delay_ms = WORK_MS
            each.behaviour.return_ms = RETURN_MS
            each.behaviour.crashes_on = bad_path
            each.on_run = self._record_run
            each.on_crash = lambda: self.crash_ms.append(clock.now_ms())

    def _record_run(self, request_id: bytes) -> None:
        run = _Run(request_id=request_id.decode(), at_ms=clock.now_ms())
        self.runs.append(run)

    def late_count(self, prefix: str) -> int:
        """Returns the number of runs that are too late after crash three.

        Too late is later than `QUARANTINE_BOUND_MS`.

        Args:
            prefix: Prefix of the request ids to count.
        """
        if len(self.crash_ms) < CRASH_LIMIT_COUNT:
            return 0
        bound_ms = self.crash_ms[CRASH_LIMIT_COUNT - 1] + QUARANTINE_BOUND_MS
        return sum(
            each.request_id.startswith(prefix) and each.at_ms > bound_ms
            for each in self.runs
        )


async def start_sharded_site(site: harness.Site, **changes: object) -> None:
    """Starts two instances in the north and one in the south.

    Each failure domain has half of the copies of each shard.
    """
    for shard in range(SHARD_COUNT):
        for copy in range(COPY_COUNT):
            body = bytes([shard]) * 16 + bytes([200 - shard]) * 16
            zone = "north" if copy % 2 else "south"
            name = f"i-{shard}-{copy}"
            await site.add_upstream(name, f"s{shard}", body, zone)
    site.configure(gateway_test.SHARDS)
    await start_gateways(site, **changes)


async def start_gateways(site: harness.Site, **changes: object) -> None:
    """Starts three instances and waits until each knows of the others."""
    await site.start("n1", **changes)
    await site.start("n2", **changes)
    await site.start("s1", failure_domain="south", **changes)
    async with asyncio.timeout(8.0):
        # The count is complete once the list of instances was read.
        while any(
            each.reader_election.instance_count < 3 for each in _gateways(site)
        ):
            await asyncio.sleep(0.05)


def _gateways(site: harness.Site):
    return tuple(site.gateways.values())


async def send_repeatedly(site, path, length_s, period_s, prefix, **given):
    """Sends a request periodically to the instances in turn.

    Returns:
        The response and the time in ms of each request.
    """
    names = itertools.cycle(site.gateways)
    tasks = []
    for number in range(int(length_s / period_s)):
        name = next(names)
        request = _get_timed(site, path, f"{prefix}-{number}", name, **given)
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(period_s)
    return await asyncio.gather(*tasks)


async def _get_timed(site, path, request_id, name, **given):
    started_ms = clock.now_ms()
    got = await site.get(path, request_id, name=name, **given)
    return got, clock.now_ms() - started_ms


async def _send_other_queries(site, length_s):
    """Sends other queries with different contents; returns their statuses."""
    names = itertools.cycle(site.gateways)
    tasks = []
    for number in range(int(length_s / 0.05)):
        request = site.get(
            f"/all/ok-{number}", f"ok-{number}", name=next(names)
        )
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(0.05)
    return [each.status for each in await asyncio.gather(*tasks)]


def test_a_query_that_crashes_upstreams_is_quarantined():
    async def test():
        async with harness.Site() as site:
            await start_sharded_site(site)
            recorder = CrashRecorder(site, b"/all/bad")
            repeats, statuses = await asyncio.gather(
                send_repeatedly(site, "/all/bad", 8.0, 0.25, "bad"),
                _send_other_queries(site, 8.0),
            )
            assert len(recorder.crash_ms) >= CRASH_LIMIT_COUNT
            assert recorder.late_count("bad") == 0
            for got, took_ms in repeats[-16:]:
                assert got.status == 502
                assert "retry-after" not in got.headers
                assert took_ms < REFUSED_MS
            # Other requests fail no longer than the first wave of crashes.
            later = statuses[len(statuses) // 2 :]
            assert all(status == 200 for status in later)

    asyncio.run(test())


def test_single_requests_that_crash_upstreams_are_quarantined():
    async def test():
        async with harness.Site() as site:
            for index in range(6):
                zone = "north" if index % 2 else "south"
                await site.add_upstream(f"i-{index}", "desk", zone=zone)
            site.configure(gateway_test.SINGLE, gateway_test.ONCE)
            await start_gateways(site)
            for path, method in (("/one/bad", "GET"), ("/once/bad", "POST")):
                recorder = CrashRecorder(site, path.encode())
                body = b"book" if method == "POST" else b""
                repeats = await send_repeatedly(
                    site, path, 6.0, 0.2, method, method=method, body=body
                )
                assert len(recorder.crash_ms) >= CRASH_LIMIT_COUNT
                assert recorder.late_count(method) == 0
                assert {got.status for got, _ in repeats[-10:]} == {502}
                assert all(took < REFUSED_MS for _, took in repeats[-10:])
                await asyncio.sleep(RETURN_MS / message.MS_PER_S)

    asyncio.run(test())


def test_a_new_instance_refuses_quarantined_requests():
    async def test():
        async with harness.Site() as site:
            await start_sharded_site(site)
            recorder = CrashRecorder(site, b"/all/bad")
            await send_repeatedly(site, "/all/bad", 3.0, 0.25, "bad")
            await site.start("n3")
            # By then, all upstreams have restarted.
            await asyncio.sleep(RETURN_MS / message.MS_PER_S)
            before = len(recorder.crash_ms)
            got, _ = await _get_timed(site, "/all/bad", "new-1", "n3")
            assert got.status == 502
            assert len(recorder.crash_ms) == before
            assert not [
                each
                for each in recorder.runs
                if each.request_id.startswith("new")
            ]

    asyncio.run(test())
