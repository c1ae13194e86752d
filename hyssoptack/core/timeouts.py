"""Waits with a limit that a stop of the whole process does not use up.

The event loop runs timers before it reads sockets. A process that stood still
past a timeout would else give up on an answer that has arrived meanwhile.
"""

import asyncio

from hyssoptack.core import clock

MS_PER_S = 1_000.0

STALL_THRESHOLD_MS = 3.0
"""A timer that fires this late was held up by this process; on an idle machine
timers fire within 1 ms."""

SOCKET_READ_MS = 50.0
"""Then given to what lies in the sockets: a reply is read in under 1 ms, and
some hundred may wait."""


async def wait_until_done(work: asyncio.Future, limit_ms: float) -> bool:
    """Waits for work to finish; does not cancel it.

    Args:
        work: What is waited for.
        limit_ms: How long to wait while this process runs.

    Returns:
        Whether it has finished.
    """
    due_ms = clock.now_ms() + limit_ms
    done, _ = await asyncio.wait({work}, timeout=limit_ms / MS_PER_S)
    if not done and clock.now_ms() - due_ms > STALL_THRESHOLD_MS:
        done, _ = await asyncio.wait({work}, timeout=SOCKET_READ_MS / MS_PER_S)
    return bool(done)
