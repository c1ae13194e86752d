"""Tests of admission in whole gateways: refusals, callers and neighbours."""

import asyncio
import dataclasses
import time

from hyssoptack.admission import worklimit
from hyssoptack.core import clock
from hyssoptack.events import log
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.settings import gateway

ENABLED = gateway.AdmissionSettings(enabled=True)
DESK = ("desk",)
SHARDS = ("s0", "s1", "s2", "s3")
SLOW_MS = 30_000
GRACE_MS = 2_000.0
SLOW = {
    **gateway_test.SINGLE,
    "timeout_ms": SLOW_MS,
    "target_latency_ms": SLOW_MS // 2,
}


async def _start(site, delay_ms=0.0, route=gateway_test.SINGLE, **changes):
    """Starts a gateway with admission over one upstream."""
    added = await site.add_upstream("i-0", "desk")
    added.behaviour.delay_ms = delay_ms
    site.configure(route)
    return await site.start(admission=ENABLED, **changes)


def _narrow(started, group=DESK, count=2.0):
    """Limits a group to some requests, for longer than a test runs."""
    control = started._admission._controller
    limit = worklimit.new(count, count, clock.now_ms(), burst_ratio=1.0)
    # The usual duration stays known: the expected wait follows from it.
    known_ms = control._groups[group].limit.duration_ms
    control._groups[group].limit = dataclasses.replace(
        limit, duration_ms=known_ms
    )
    control.set_facts = lambda *_: None
    return control


def _count_logged(monkeypatch):
    lines = []
    write = log.write

    def note(event, **fields):
        lines.append((event, fields))
        write(event, **fields)

    monkeypatch.setattr(log, "write", note)
    return lines


def test_admission_is_off_by_default():
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("i-0", "desk")
            site.configure(gateway_test.SINGLE)
            started = await site.start()
            assert (await site.get("/one/x", "r1")).status == 200
            assert started._admission is None
            gauges = started._gauge_values(0.0)
            assert not any("admission" in name for name in gauges)

    asyncio.run(test())


def test_calm_requests_start_at_once_and_end_with_nothing_in_progress():
    async def test():
        async with harness.Site() as site:
            started = await _start(site)
            for number in range(20):
                reply = await site.get("/one/x", f"r{number}")
                assert reply.status == 200
            gauges = started._gauge_values(clock.now_ms())
            assert gauges["admission_call_count"] == 0.0
            assert gauges["admission_waiting_count"] == 0.0
            assert (
                gauges["admission_limit/desk"]
                == (gauges["admission_ceiling/desk"])
            )

    asyncio.run(test())


def test_refused_requests_have_sent_no_call(monkeypatch):
    lines = _count_logged(monkeypatch)

    async def test():
        async with harness.Site() as site:
            started = await _start(site, delay_ms=150.0)
            await site.get("/one/x", "before")
            _narrow(started)
            replies = await asyncio.gather(
                *(site.get("/one/x", f"r{number}") for number in range(12))
            )
            refused = [n for n in range(12) if replies[n].status == 503]
            assert 2 <= len(refused) <= 10
            for number in range(12):
                runs = site.run_count(f"r{number}")
                assert runs == (0 if number in refused else 1)
            for number in refused:
                assert float(replies[number].headers["retry-after"]) > 0.0
            heads = b"".join(site.upstreams["i-0"].request_heads)
            assert not any(b"r%d\r\n" % number in heads for number in refused)
            logged = [
                fields
                for event, fields in lines
                if event is log.Event.REQUEST_REFUSED
            ]
            assert {each["request_id"] for each in logged} == {
                f"r{number}" for number in refused
            }
            assert len(logged) == len(refused)

    asyncio.run(test())


async def _wait_running_ms(limit_ms, condition):
    """Waits until a condition holds; a stop of the process does not count."""
    for _ in range(limit_ms):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError(f"not within {limit_ms} ms")


def test_callers_that_leave_are_removed_from_the_queue():
    # Guards against waiting requests that stay queued, and run, after their
    # callers have disconnected.
    async def test():
        async with harness.Site() as site:
            started = await _start(site, route=SLOW, delay_ms=120.0)
            await site.get("/one/x", "before")
            control = _narrow(started)
            release = asyncio.Event()
            site.upstreams["i-0"].behaviour.release = release
            running = [
                asyncio.create_task(site.get("/one/x", f"run{n}", SLOW_MS))
                for n in range(2)
            ]
            await _wait_running_ms(
                1_000, lambda: len(control._started) == len(running)
            )
            host, _, port = site.settings[
                "gateway-1"
            ].callers_address.rpartition(":")
            writers = []
            for number in range(3):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    harness.request_bytes("/one/x", f"left{number}", SLOW_MS)
                )
                writers.append(writer)
            await _wait_running_ms(1_000, lambda: control.waiting_count >= 2)
            for writer in writers:
                writer.close()
            await _wait_running_ms(500, lambda: not control.waiting_count)
            assert not started._admission._pending
            # Nothing made room for them: both runs still hold their places.
            assert not any(each.done() for each in running)
            release.set()
            replies = await asyncio.gather(*running)
            assert [each.status for each in replies] == [200, 200]
            assert not any(site.run_count(f"left{n}") for n in range(3))
            assert (await site.get("/one/x", "after")).status == 200

    asyncio.run(test())


def test_a_neighbour_without_room_declines_and_the_query_runs_at_home(
    monkeypatch,
):
    lines = _count_logged(monkeypatch)

    async def test():
        async with harness.Site() as site:
            for index in range(4):
                body = bytes([index]) * 16 + bytes([200 - index]) * 16
                await site.add_upstream(f"i-{index}", f"s{index}", body)
            site.configure(gateway_test.SHARDS)
            _, wide = await site.start_delegating_pair(admission=ENABLED)
            first = await site.get("/all/x", "r1", name="narrow")
            assert first.status == 200
            assert wide._admission._controller.process.peak_count
            _narrow(wide, SHARDS, count=0.0)
            reply = await site.get("/all/x", "r2", name="narrow")
            assert (reply.status, reply.headers["x-missing-parts"]) == (
                200,
                "0",
            )
            runs = [s.run_counts[b"r2"] for s in site.upstreams.values()]
            assert runs == [1, 1, 1, 1]
            events = [event for event, _ in lines]
            assert events.count(log.Event.DELEGATION_DECLINED) == 1
            page = wide._metrics.render_text().decode()
            assert 'cause="delegation_declined"' in page

    asyncio.run(test())


def test_a_late_process_reduces_its_limit_and_recovers_within_a_second():
    async def test():
        async with harness.Site() as site:
            started = await _start(site)
            control = started._admission._controller
            for _ in range(8):
                time.sleep(0.25)
                await asyncio.sleep(0.03)
            assert control.process.limit_count < control.process.ceiling_count
            await asyncio.sleep(1.1)
            assert control.process.limit_count == control.process.ceiling_count
            assert (await site.get("/one/x", "r1")).status == 200

    asyncio.run(test())


def test_only_sheds_without_room_elsewhere_reduce_a_limit():
    async def test():
        async with harness.Site() as site:
            other = await site.add_upstream("i-1", "desk")
            started = await _start(site)
            control = started._admission._controller
            first = site.upstreams["i-0"]
            first.behaviour.shed_count = other.behaviour.shed_count = 0
            await site.get("/one/x", "before")
            ceiling = control.groups()[DESK].ceiling_count
            first.behaviour.shed_count = 1
            await site.get("/one/x", "r1")
            assert control.groups()[DESK].limit_count == ceiling
            first.behaviour.shed_count = other.behaviour.shed_count = 20
            await site.get("/one/x", "r2")
            assert control.groups()[DESK].limit_count < ceiling

    asyncio.run(test())


def test_a_slow_upstream_alone_changes_nothing():
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("i-1", "desk")
            await site.add_upstream("i-2", "desk")
            started = await _start(site)
            for number in range(20):
                await site.get("/one/x", f"warm{number}")
            site.upstreams["i-0"].behaviour.delay_ms = 250.0
            replies = await asyncio.gather(
                *(site.get("/one/x", f"r{number}") for number in range(6))
            )
            assert [each.status for each in replies] == [200] * 6
            limit = started._admission._controller.groups()[DESK]
            assert limit.limit_count == limit.ceiling_count
            assert limit.extra_count == limit.extra_max_count

    asyncio.run(test())


def test_a_stop_refuses_waiting_requests_that_it_leaves_no_time_for(
    monkeypatch,
):
    # They waited until the process ended, and were cut.
    lines = _count_logged(monkeypatch)

    async def test():
        async with harness.Site() as site:
            started = await _start(site, 120.0, SLOW, grace_ms=GRACE_MS)
            await site.get("/one/x", "before", SLOW_MS)
            _narrow(started)
            site.upstreams["i-0"].behaviour.delay_ms = SLOW_MS
            sending = [
                asyncio.create_task(site.get("/one/x", f"r{n}", SLOW_MS))
                for n in range(6)
            ]
            async with asyncio.timeout(5.0):
                while len(started._admission._pending) < 4:
                    await asyncio.sleep(0.005)
            stop_ms = clock.now_ms()
            started.stop()
            replies = await asyncio.gather(*sending[2:])
            assert clock.now_ms() - stop_ms < 0.7 * GRACE_MS
            assert {each.status for each in replies} == {503}
            assert not any(site.run_count(f"r{n}") for n in range(2, 6))
            waited = [
                fields["request_id"]
                for event, fields in lines
                if event is log.Event.REQUEST_REFUSED
                and fields["reason"] == "stopping"
            ]
            assert waited
            assert started._admission._controller.waiting_count == 0

    asyncio.run(test())
