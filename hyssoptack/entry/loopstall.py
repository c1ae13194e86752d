"""Measures how long this process's event loop stood still.

A process that the operating system stops sees late answers although upstreams
and peers were in time.
"""

import asyncio

from hyssoptack.core import clock
from hyssoptack.core import timeouts

PERIOD_MS = 20.0
"""Period of the measurements."""


class StallMonitor:
    """Adds up the stalls of the event loop.

    Attributes:
        total_ms: Sum of all stalls so far, in milliseconds. The difference
            between two readings is the time that the loop stood still between
            them.
    """

    def __init__(self) -> None:
        self.total_ms = 0.0

    async def watch(self) -> None:
        """Measures stalls until cancelled.

        The loop runs timers before it reads sockets, so a stall is recorded
        before the answers that arrived during it are handled.
        """
        while True:
            due_ms = clock.now_ms() + PERIOD_MS
            await asyncio.sleep(PERIOD_MS / timeouts.MS_PER_S)
            delay_ms = clock.now_ms() - due_ms
            # Shorter delays count as load of this instance.
            if delay_ms >= timeouts.STOP_MIN_MS:
                self.total_ms += delay_ms
