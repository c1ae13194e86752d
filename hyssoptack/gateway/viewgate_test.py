"""Tests of requests and calls that wait for a current view."""

import asyncio

from hyssoptack.core import clock
from hyssoptack.gateway import viewgate
from hyssoptack.membership import readerelection

TIMINGS = readerelection.read_timings(3_000.0)
STALL_MS = 4_000.0


def run(test):
    """Runs an async test on its own event loop."""
    asyncio.run(test())


def stalled_gate():
    """Returns a gate whose last read was before a stall, and its order log."""
    gate = viewgate.ViewGate(TIMINGS)
    gate.end_read(clock.now_ms() - STALL_MS, exact=True)
    return gate, []


def hold(gate, order, *names):
    for each in names:
        gate.run_when_open(lambda each=each: order.append(each))


def test_requests_go_on_in_their_order_after_a_read():
    async def test():
        gate, order = stalled_gate()
        hold(gate, order, "a", "b")
        assert (order, gate.needs_read) == ([], True)
        gate.record_notice(clock.now_ms() - STALL_MS, "late")
        hold(gate, order, "c")
        gate.end_read(clock.now_ms(), exact=False)
        assert order == []
        gate.end_read(clock.now_ms(), exact=True)
        assert order == ["a", "b", "c"]
        hold(gate, order, "d")
        assert order == ["a", "b", "c", "d"]
        assert not gate.needs_read

    run(test)


def test_a_held_request_does_not_wait_for_a_store_that_is_away():
    async def test():
        gate, order = stalled_gate()
        hold(gate, order, "a")
        gate.fail_read(clock.now_ms())
        assert order == ["a"]
        hold(gate, order, "b")
        assert order == ["a", "b"]

    run(test)


def test_a_held_request_goes_on_where_nobody_reads():
    async def test():
        gate, order = stalled_gate()
        hold(gate, order, "a")
        started_ms = clock.now_ms()
        async with asyncio.timeout(10.0):
            while not order:
                await asyncio.sleep(0.01)
        assert clock.now_ms() - started_ms < 1_000.0

    run(test)


def test_a_held_request_ends_at_its_deadline():
    async def test():
        gate, order = stalled_gate()
        gate.hold(
            lambda: order.append("run"),
            lambda: order.append("expired"),
            clock.now_ms() + 30.0,
        )
        await asyncio.sleep(0.1)
        assert order == ["expired"]
        gate.end_read(clock.now_ms(), exact=True)
        assert order == ["expired"]

    run(test)


def test_a_request_whose_caller_left_is_not_run():
    async def test():
        gate, order = stalled_gate()
        held = gate.hold(lambda: order.append("run"))
        gate.cancel(held)
        gate.end_read(clock.now_ms(), exact=True)
        assert order == []

    run(test)


def test_an_error_of_one_request_does_not_keep_back_the_next():
    async def test():
        gate, order = stalled_gate()
        gate.run_when_open(lambda: 1 / 0)
        hold(gate, order, "b")
        gate.end_read(clock.now_ms(), exact=True)
        assert order == ["b"]

    run(test)


def test_a_sleeping_reader_wakes_when_a_request_waits():
    async def test():
        gate, order = stalled_gate()
        reading = asyncio.create_task(gate.sleep(60_000.0))
        await asyncio.sleep(0)
        hold(gate, order, "a")
        async with asyncio.timeout(1.0):
            await reading

    run(test)
