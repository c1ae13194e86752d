"""Watches the event loop of this process for stalls."""

import asyncio
import math

from hyssoptack.core import clock
from hyssoptack.events import log

LOOP_CHECK_PERIOD_S = 0.1
"""Period of checks for event loop stalls; 20 checks cost 1 ms of CPU time."""

LOOP_STALL_MS = 300.0
"""Stall of the event loop after which an instance declines queries that may
have waited during the stall. Their senders have run those queries by then."""

RESUME_WINDOW_MS = 100.0
"""Time after a stall during which received messages may date from the stall.
Messages buffered in a link are read within some tens of milliseconds."""


LOGGED_AFTER_STALL_MS = 1_000.0
"""Time after a stall in which the log lines of requests tell of it."""


class LoopWatch:
    """Records the turns of the event loop and its last stall.

    Attributes:
        stall_count: Number of stalls so far.
        total_stall_ms: Sum of their durations.
    """

    def __init__(self) -> None:
        self._last_tick_ms = clock.now_ms()
        self._stalled_ms = self._resumed_ms = -math.inf
        self.stall_count = 0
        self.total_stall_ms = 0.0

    async def watch(self) -> None:
        """Records stalls of the event loop until cancelled."""
        while True:
            now_ms = clock.now_ms()
            if now_ms - self._last_tick_ms >= LOOP_STALL_MS:
                self._record_stall(now_ms)
            self._last_tick_ms = now_ms
            await asyncio.sleep(LOOP_CHECK_PERIOD_S)

    def _record_stall(self, now_ms: float) -> None:
        self._stalled_ms = self._last_tick_ms
        self._resumed_ms = now_ms
        stall_ms = now_ms - self._last_tick_ms
        self.stall_count += 1
        self.total_stall_ms += stall_ms
        log.write(log.Event.STALLED, stall_ms=round(stall_ms))

    def gauge_values(self) -> dict[str, float]:
        """Returns gauges of the stalls so far."""
        return {
            "stall_count": self.stall_count,
            "stall_ms": self.total_stall_ms,
        }

    def stall_fields(self, received_ms: float) -> dict[str, float]:
        """Returns log fields of a stall shortly before or during a request.

        Args:
            received_ms: Time at which the request was received.
        """
        after_stall_ms = received_ms - self._resumed_ms
        if after_stall_ms > LOGGED_AFTER_STALL_MS:
            return {}
        return {
            "stall_ms": round(self._resumed_ms - self._stalled_ms),
            "after_stall_ms": round(after_stall_ms),
        }

    def messages_may_be_stale(self) -> bool:
        """Returns whether received messages may date from a recent stall.

        After a stall the event loop runs `watch` before it reads messages, so
        the time of the last tick alone does not show the stall.
        """
        now_ms = clock.now_ms()
        stalled = now_ms - self._last_tick_ms >= LOOP_STALL_MS
        return stalled or now_ms - self._resumed_ms < RESUME_WINDOW_MS

    def awake_since_ms(self) -> float:
        """Returns the end of the last stall; now if it has just ended."""
        now_ms = clock.now_ms()
        if now_ms - self._last_tick_ms >= LOOP_STALL_MS:
            return now_ms
        return self._resumed_ms

    def earliest_event_ms(self) -> float:
        """Returns the earliest time of an event that is handled now.

        It may have waited since the last turn of the event loop that is known
        to have ended before it.
        """
        if clock.now_ms() - self._resumed_ms < RESUME_WINDOW_MS:
            return self._stalled_ms
        return self._last_tick_ms
