"""Requests that arrive while a gateway is being stopped."""

import asyncio

from hyssoptack.gateway import draining
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness

GRACE_MS = 3_000.0
WORK_MS = 700.0
PERIOD_S = 0.05


async def _send_until_closed(site):
    """Sends requests until the port is closed; returns statuses by id."""
    statuses = {}
    async with asyncio.TaskGroup() as tasks:
        for number in range(int(GRACE_MS / 1_000.0 / PERIOD_S)):
            try:
                reader, writer = await asyncio.open_connection(
                    *site.settings["gateway-1"].callers_address.split(":")
                )
            except ConnectionError:
                break
            request_id = f"r{number}"
            data = harness.request_bytes("/one/x", request_id)
            tasks.create_task(
                _exchange(reader, writer, data, statuses, request_id)
            )
            await asyncio.sleep(PERIOD_S)
    return statuses


async def _exchange(reader, writer, data, statuses, request_id):
    try:
        writer.write(data)
        statuses[request_id] = (await harness.read_response(reader)).status
    except ConnectionError:
        statuses[request_id] = 0
    finally:
        writer.close()


def test_a_stop_cuts_no_request_that_was_passed_on():
    # A stopping gateway started each request until 0.4 s before its end, and
    # then cut those in progress.
    async def test():
        async with harness.Site() as site:
            upstream = await site.add_upstream("i-0", "desk")
            upstream.behaviour.delay_ms = WORK_MS
            site.configure(gateway_test.SINGLE)
            started = await site.start(grace_ms=GRACE_MS)
            unfinished = []
            site._tasks["gateway-1"].add_done_callback(
                lambda _: unfinished.extend(
                    started._request_handler.active_runs
                )
            )
            started.stop()
            statuses = await _send_until_closed(site)
            await asyncio.gather(site._tasks["gateway-1"])
            assert not unfinished
            cut = [each for each, status in statuses.items() if not status]
            refused = [each for each, got in statuses.items() if got == 503]
            assert sum(site.run_count(each) for each in cut) == 0
            assert refused
            assert sum(site.run_count(each) for each in refused) == 0

    gateway_test.run(test())


def test_a_request_that_ends_in_time_is_started_until_late_in_a_stop():
    stop = draining.Shutdown(started_ms=1_000.0, grace_ms=6_000.0)
    assert stop.has_time_for(60_000.0, 3_600.0)
    assert not stop.has_time_for(10_000.0, 3_800.0)
    assert stop.has_time_for(1_000.0, 5_400.0)
    assert not stop.has_time_for(1_000.0, 5_600.0)
