"""Finishes the work of a gateway that is being stopped."""

import asyncio
import collections.abc
import dataclasses

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


REFUSAL_DELAY_RATIO = 0.45
"""Part of the grace time after which a request is refused that is not sure to
end in the rest of it. The platform's balancer sends most callers elsewhere by
then, and excuses the cut of a request that arrived in the first half."""

FINISH_MARGIN_MS = 100.0
"""Time from the end of a request's time limit until its response is sent."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shutdown:
    """A graceful shutdown in progress.

    Attributes:
        started_ms: Time of the stop signal.
        grace_ms: Time until the platform kills the process.
    """

    started_ms: float
    grace_ms: float

    @property
    def end_ms(self) -> float:
        """Time at which the process ends by itself at the latest."""
        return self.started_ms + self.grace_ms - KILL_MARGIN_MS

    def has_time_for(self, time_limit_ms: float, now_ms: float) -> bool:
        """Returns whether a request that arrives now may be started.

        Args:
            time_limit_ms: Time within which the request ends.
            now_ms: The current time.
        """
        refusal_delay_ms = REFUSAL_DELAY_RATIO * self.grace_ms
        return (
            now_ms < self.started_ms + refusal_delay_ms
            or now_ms + time_limit_ms + FINISH_MARGIN_MS <= self.end_ms
        )


async def drain(
    server: httpserver.Server,
    ports: listeners.Listeners,
    has_work: collections.abc.Callable[[], bool],
    shutdown: Shutdown,
) -> float:
    """Closes connections to callers, finishes the work and closes ports.

    Args:
        server: The server for callers.
        ports: The open ports.
        has_work: Returns whether requests are in progress.
        shutdown: The shutdown.

    Returns:
        How long it took, in milliseconds.
    """
    server.closing = True
    end_ms = shutdown.end_ms
    idle_close_ms = min(shutdown.started_ms + IDLE_CLOSE_DELAY_MS, end_ms)
    await asyncio.sleep((idle_close_ms - clock.now_ms()) / message.MS_PER_S)
    while clock.now_ms() < end_ms:
        server.close_idle()
        if not server.connections and not has_work():
            break
        await asyncio.sleep(DRAIN_CHECK_MS / message.MS_PER_S)
    ports.close()
    return clock.now_ms() - shutdown.started_ms
