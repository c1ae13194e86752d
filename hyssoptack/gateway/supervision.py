"""Keeps the tasks running that read what others have written.

What they can't use is refused where it is read, entry by entry. An error that
gets past that must not end the process either: its next run would read the same
value again. The instance goes on with what it knows, as while the store is out.
"""

import asyncio
import collections.abc

from hyssoptack.core import clock
from hyssoptack.events import log
from hyssoptack.gateway import exceptionlog
from hyssoptack.gateway import storewatch
from hyssoptack.http1 import message

HEALTHY_MIN_MS = 10_000.0
"""Time without a failure after which the waits begin anew."""


async def keep_running(
    name: str,
    run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Runs a task, and starts it again after each exception.

    Args:
        name: Name of the task, for the log.
        run: Starts the task.
    """
    failure_count = 0
    while True:
        started_ms = clock.now_ms()
        try:
            return await run()
        except Exception as error:
            if clock.now_ms() - started_ms >= HEALTHY_MIN_MS:
                failure_count = 0
            failure_count += 1
            log.write(
                log.Event.TASK_FAILED,
                task=name,
                failure_count=failure_count,
                trace=exceptionlog.trace(error),
            )
        wait_ms = storewatch.RETRY.wait_ms(failure_count)
        await asyncio.sleep(wait_ms / message.MS_PER_S)
