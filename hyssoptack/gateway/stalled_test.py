"""Requests that waited in the sockets of a gateway while it stood still."""

import asyncio
import contextlib
import signal

import pytest

from hyssoptack.core import clock
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.http1 import message

BOUND_MS = 3_000.0
SETTLE_S = 4.0
"""Time in which gateways that were started learn of each other."""

BEFORE_END_S = 0.15
"""Time before the end of a stall at which the requests are sent."""

CONNECTION_COUNT = 40


@contextlib.asynccontextmanager
async def _two_gateways(site, folder):
    """Runs the two gateways of a domain and yields their processes."""
    processes = [
        await site.start_process(
            folder, name, leaving_bound_ms=BOUND_MS, grace_ms=6_000.0
        )
        for name in ("g-1", "g-2")
    ]
    try:
        await asyncio.sleep(SETTLE_S)
        yield processes
    finally:
        for each in processes:
            each.kill()
            await each.wait()


async def _open_connections(site, name):
    host, _, port = site.settings[name].callers_address.rpartition(":")
    return [
        await asyncio.open_connection(host, int(port))
        for _ in range(CONNECTION_COUNT)
    ]


async def _exchange(connection, path, request_id):
    reader, writer = connection
    writer.write(harness.request_bytes(path, request_id))
    return await harness.read_response(reader)


async def _send_on_all(connections, path, prefix):
    return await asyncio.gather(
        *(
            _exchange(each, path, f"{prefix}{number}")
            for number, each in enumerate(connections)
        )
    )


async def _stall(processes, stall_s, connections, path, change):
    """Stops processes, applies a change and sends requests before the end.

    Returns:
        The responses to the requests.
    """
    for each in processes:
        each.send_signal(signal.SIGSTOP)
    await asyncio.sleep(BEFORE_END_S)
    change()
    await asyncio.sleep(stall_s - 2 * BEFORE_END_S)
    sending = asyncio.create_task(_send_on_all(connections, path, "late"))
    await asyncio.sleep(BEFORE_END_S)
    for each in processes:
        each.send_signal(signal.SIGCONT)
    return await sending


def _late_runs(upstream, left_ms):
    """Returns a list that collects the runs after the bound."""
    late = []

    def on_run(request_id):
        if clock.now_ms() > left_ms[0] + BOUND_MS:
            late.append(request_id)

    upstream.on_run = on_run
    return late


@pytest.mark.parametrize("removed", [True, False])
def test_a_request_that_waited_in_a_stall_reaches_no_upstream_that_left(
    tmp_path, removed
):
    # A request was routed by the list of upstreams from before the stall.
    async def test():
        async with harness.Site() as site:
            for each in ("i-0", "i-1"):
                await site.add_upstream(each, "desk")
            site.configure(gateway_test.SINGLE)
            left_ms = [float("inf")]

            def leave():
                if removed:
                    site.store.remove("servers/i-1")
                else:
                    site.put_upstream_entry("i-1", "desk", state="draining")
                left_ms[0] = clock.now_ms()

            late = _late_runs(site.upstreams["i-1"], left_ms)
            async with _two_gateways(site, tmp_path) as processes:
                connections = await _open_connections(site, "g-1")
                # The others carry their first request.
                kept = connections[: CONNECTION_COUNT // 2]
                await _send_on_all(kept, "/one/x", "warm")
                replies = await _stall(
                    processes[:1], 4.0, connections, "/one/x", leave
                )
            assert {each.status for each in replies} == {200}
            assert late == []

    gateway_test.run(test())


def test_a_request_that_waited_in_a_stall_uses_no_dropped_route(tmp_path):
    # A request was matched by the configuration from before the stall.
    async def test():
        async with harness.Site() as site:
            for each in ("i-0", "i-1"):
                await site.add_upstream(each, "desk")
            await site.add_upstream("i-2", "lamp")
            site.configure(gateway_test.SINGLE)
            async with _two_gateways(site, tmp_path) as processes:
                connections = await _open_connections(site, "g-1")
                await _send_on_all(connections, "/one/x", "warm")
                replies = await _stall(
                    processes,
                    5.0,
                    connections,
                    "/one/x",
                    lambda: site.configure(
                        {"prefix": "/two/", "service": "lamp"}
                    ),
                )
            assert {each.status for each in replies} == {404}

    gateway_test.run(test())


def test_an_instance_without_its_store_serves_on_after_a_stall(tmp_path):
    async def test():
        async with harness.Site() as site:
            for each in ("i-0", "i-1"):
                await site.add_upstream(each, "desk")
            site.configure(gateway_test.SINGLE)

            def lose_store():
                site.store.faults.silent = True

            async with _two_gateways(site, tmp_path) as processes:
                connections = await _open_connections(site, "g-1")
                replies = await _stall(
                    processes, 4.0, connections, "/one/x", lose_store
                )
                assert {each.status for each in replies} == {200}
                # Only one read is waited for.
                sent_ms = clock.now_ms()
                while clock.now_ms() < sent_ms + 2 * BOUND_MS:
                    started_ms = clock.now_ms()
                    reply = await site.get("/one/x", "after", name="g-1")
                    assert reply.status == 200
                    assert clock.now_ms() - started_ms < message.MS_PER_S
                    await asyncio.sleep(BEFORE_END_S)

    gateway_test.run(test())


async def _start_with_old_view(site):
    """Starts a gateway whose last reads are older than the bound."""
    await site.add_upstream("i-0", "desk")
    site.configure(gateway_test.SINGLE)
    started = await site.start()
    started.view.gate._freshness._exact_ms -= 2 * BOUND_MS
    started.view.gate.awake_since_ms = clock.now_ms
    return started


def test_a_request_that_waits_for_a_read_is_served_after_it():
    async def test():
        async with harness.Site() as site:
            started = await _start_with_old_view(site)
            site.store.faults.lag_ms = 50.0
            reply = await site.get("/one/x", "r1")
            assert reply.status == 200
            assert started.view.gate.held_count > 0

    gateway_test.run(test())


def test_a_request_that_waits_for_a_read_ends_at_its_deadline():
    async def test():
        async with harness.Site() as site:
            await _start_with_old_view(site)
            site.store.faults.silent = True
            started_ms = clock.now_ms()
            reply = await site.get("/one/x", "r1", deadline_ms=100)
            assert clock.now_ms() - started_ms < 250.0
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) > 0
            assert site.run_count("r1") == 0

    gateway_test.run(test())


def test_a_request_whose_caller_left_while_it_waited_does_not_run():
    async def test():
        async with harness.Site() as site:
            started = await _start_with_old_view(site)
            site.store.faults.silent = True
            host, _, port = site.settings[
                "gateway-1"
            ].callers_address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(harness.request_bytes("/one/x", "r1"))
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(1.0)
            assert started.view.gate.held_count == 1
            assert site.run_count("r1") == 0

    gateway_test.run(test())
