"""Waits with timeouts that tolerate a stall of the whole process.

The event loop runs timers before it reads sockets. Without this module, a
process that was stalled past a timeout would discard an answer that arrived
during the stall.
"""

import asyncio

from hyssoptack.core import clock

MS_PER_S = 1_000.0

STALL_THRESHOLD_MS = 3.0
"""A timer that fires later than this shows that the process was stalled; on an
idle machine timers fire within 1 ms."""

STOP_MIN_MS = 100.0
"""A timer that fires later than this shows that the process stood still, not
only that its event loop was busy."""

SOCKET_READ_MS = 50.0
"""Extra wait after a stall, in which buffered replies are read from sockets: a
reply takes under 1 ms, and some hundred may be waiting."""


async def wait_until_done(future: asyncio.Future, limit_ms: float) -> bool:
    """Waits for a future up to a timeout; does not cancel it.

    Args:
        future: Future to wait for.
        limit_ms: Timeout in milliseconds, not counting stalls of the process.

    Returns:
        Whether the future is done.
    """
    due_ms = clock.now_ms() + limit_ms
    done, _ = await asyncio.wait({future}, timeout=limit_ms / MS_PER_S)
    if not done and clock.now_ms() - due_ms > STALL_THRESHOLD_MS:
        done, _ = await asyncio.wait(
            {future}, timeout=SOCKET_READ_MS / MS_PER_S
        )
    return bool(done)
