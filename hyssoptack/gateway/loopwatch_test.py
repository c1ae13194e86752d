"""Tests of the time from which an event may have waited for the event loop."""

import asyncio
import time

from hyssoptack.core import clock
from hyssoptack.gateway import loopwatch

STALL_S = 2 * loopwatch.LOOP_STALL_MS / 1_000.0


def test_a_signal_during_a_stall_counts_from_the_start_of_the_stall():
    # A stop was counted from the time at which its signal was handled, while
    # the platform counts from the time at which it sent the signal.
    async def test():
        watch = loopwatch.LoopWatch()
        watching = asyncio.create_task(watch.watch())
        await asyncio.sleep(0.01)
        assert clock.now_ms() - watch.earliest_event_ms() < STALL_S * 1_000.0
        stalled_ms = clock.now_ms()
        time.sleep(STALL_S)
        # Before the watch runs again, and after it.
        assert watch.earliest_event_ms() <= stalled_ms
        await asyncio.sleep(0.001)
        assert watch.earliest_event_ms() <= stalled_ms
        async with asyncio.timeout(10.0):
            while watch.earliest_event_ms() <= stalled_ms:
                await asyncio.sleep(0.01)
        watching.cancel()

    asyncio.run(test())
