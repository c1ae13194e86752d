"""Timers of a process that stalls."""

import asyncio
import time

import uvloop

from hyssoptack.core import timeouts


async def _calls_after_stall(wait_ms, stall_ms, cancel_after_ms=None):
    """Returns the calls of a timer whose process stalls at once."""
    calls = []
    timer = timeouts.Timer(wait_ms, lambda: calls.append(True))
    time.sleep(stall_ms / 1e3)
    if cancel_after_ms is not None:
        await asyncio.sleep(cancel_after_ms / 1e3)
        timer.cancel()
    await asyncio.sleep((wait_ms + 2 * timeouts.SOCKET_READ_MS) / 1e3)
    return len(calls)


def test_a_timer_that_fell_into_a_stall_can_be_cancelled_after_it():
    # Guards against a timeout that is acted on before what arrived in the stall
    # is read.
    assert (
        uvloop.run(_calls_after_stall(20.0, 150.0, cancel_after_ms=10.0)) == 0
    )


def test_a_timer_that_fell_into_a_stall_calls_once_after_it():
    assert uvloop.run(_calls_after_stall(20.0, 150.0)) == 1


def test_a_timer_without_a_stall_calls_in_time():
    async def test():
        done = asyncio.Event()
        started_s = time.monotonic()
        timeouts.Timer(30.0, done.set)
        await done.wait()
        return time.monotonic() - started_s

    assert min(uvloop.run(test()) for _ in range(5)) < 0.05


def test_a_busy_loop_puts_a_timer_off_only_once():
    async def test():
        done = asyncio.Event()
        timeouts.Timer(20.0, done.set)
        started_s = time.monotonic()
        while not done.is_set():
            time.sleep(0.02)
            await asyncio.sleep(0)
        return time.monotonic() - started_s

    assert uvloop.run(test()) < 0.2
