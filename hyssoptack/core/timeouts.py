"""Waits with timeouts that tolerate a stall of the whole process.

The event loop runs timers before it reads sockets. Without this module, a
process that was stalled past a timeout would discard an answer that arrived
during the stall.
"""

import asyncio
import collections.abc
import contextlib

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


class Timer:
    """Calls a function after a time, unless the process stalled meanwhile.

    After a stall, what others sent is read first, and the function is called
    if the timer was not cancelled on account of it.
    """

    def __init__(
        self,
        wait_ms: float,
        function: collections.abc.Callable[[], None],
        stall_min_ms: float = STALL_THRESHOLD_MS,
    ):
        """Starts the timer on the running event loop.

        Args:
            wait_ms: Time until the call.
            function: The function.
            stall_min_ms: Delay of the timer from which it counts as a stall.
        """
        self._function = function
        self._stall_min_ms = stall_min_ms
        self._was_extended = False
        self._start(wait_ms)

    def _start(self, wait_ms: float) -> None:
        self._due_ms = clock.now_ms() + wait_ms
        self._handle = asyncio.get_running_loop().call_later(
            wait_ms / MS_PER_S, self._on_due
        )

    def _on_due(self) -> None:
        late_ms = clock.now_ms() - self._due_ms
        # A loop that is always busy must not put the call off for ever.
        limit_ms = STOP_MIN_MS if self._was_extended else self._stall_min_ms
        if late_ms > limit_ms:
            self._was_extended = True
            self._start(SOCKET_READ_MS)
        else:
            self._function()

    def cancel(self) -> None:
        """Cancels the call."""
        self._handle.cancel()


@contextlib.asynccontextmanager
async def limit(
    limit_ms: float, stall_min_ms: float = STALL_THRESHOLD_MS
) -> collections.abc.AsyncIterator[None]:
    """Limits the time of its body, as `asyncio.timeout`, by a `Timer`.

    Args:
        limit_ms: Timeout in milliseconds.
        stall_min_ms: Delay of the timer from which it counts as a stall.

    Raises:
        TimeoutError: The body took longer.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:
        timer = Timer(
            limit_ms, lambda: scope.reschedule(loop.time()), stall_min_ms
        )
        try:
            yield
        finally:
            timer.cancel()
