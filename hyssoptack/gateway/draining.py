"""Finishes the work of a gateway that is being stopped."""

import asyncio
import collections.abc

from hyssoptack.core import clock
from hyssoptack.gateway import listeners
from hyssoptack.http1 import httpserver
from hyssoptack.http1 import message

IDLE_CLOSE_DELAY_MS = 2_600.0
"""Time from a stop signal to closing idle connections: the platform's balancer
needs two probes, a second apart, to see that an instance is not ready."""

KILL_MARGIN_MS = 400.0
"""Time before the platform's kill at which the process ends by itself."""

DRAIN_CHECK_MS = 50.0
"""Pause between two checks for unfinished work while the process drains."""


async def drain(
    server: httpserver.Server,
    ports: listeners.Listeners,
    has_work: collections.abc.Callable[[], bool],
    grace_ms: float,
) -> float:
    """Closes connections to callers, finishes the work and closes ports.

    Args:
        server: The server for callers.
        ports: The open ports.
        has_work: Returns whether requests are in progress.
        grace_ms: Time until the platform kills the process.

    Returns:
        How long it took, in milliseconds.
    """
    started_ms = clock.now_ms()
    server.closing = True
    end_ms = started_ms + grace_ms - KILL_MARGIN_MS
    idle_close_ms = min(started_ms + IDLE_CLOSE_DELAY_MS, end_ms)
    await asyncio.sleep((idle_close_ms - clock.now_ms()) / message.MS_PER_S)
    while clock.now_ms() < end_ms:
        server.close_idle()
        if not server.connections and not has_work():
            break
        await asyncio.sleep(DRAIN_CHECK_MS / message.MS_PER_S)
    ports.close()
    return clock.now_ms() - started_ms
