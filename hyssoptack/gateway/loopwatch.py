"""Watches the event loop of this process for stalls."""

import asyncio
import math

from hyssoptack.core import clock

LOOP_CHECK_PERIOD_S = 0.1
"""Period of checks for event loop stalls; 20 checks cost 1 ms of CPU time."""

LOOP_STALL_MS = 300.0
"""Stall of the event loop after which an instance declines queries that may
have waited during the stall. Their senders have run those queries by then."""

RESUME_WINDOW_MS = 100.0
"""Time after a stall during which received messages may date from the stall.
Messages buffered in a link are read within some tens of milliseconds."""


class LoopWatch:
    """Records the turns of the event loop and its last stall."""

    def __init__(self) -> None:
        self._last_tick_ms = clock.now_ms()
        self._stalled_ms = self._resumed_ms = -math.inf

    async def watch(self) -> None:
        """Records stalls of the event loop until cancelled."""
        while True:
            now_ms = clock.now_ms()
            if now_ms - self._last_tick_ms >= LOOP_STALL_MS:
                self._stalled_ms = self._last_tick_ms
                self._resumed_ms = now_ms
            self._last_tick_ms = now_ms
            await asyncio.sleep(LOOP_CHECK_PERIOD_S)

    def messages_may_be_stale(self) -> bool:
        """Returns whether received messages may date from a recent stall.

        After a stall the event loop runs `watch` before it reads messages, so
        the time of the last tick alone does not show the stall.
        """
        now_ms = clock.now_ms()
        stalled = now_ms - self._last_tick_ms >= LOOP_STALL_MS
        return stalled or now_ms - self._resumed_ms < RESUME_WINDOW_MS

    def earliest_event_ms(self) -> float:
        """Returns the earliest time of an event that is handled now.

        It may have waited since the last turn of the event loop that is known
        to have ended before it.
        """
        if clock.now_ms() - self._resumed_ms < RESUME_WINDOW_MS:
            return self._stalled_ms
        return self._last_tick_ms
