"""Logs unhandled exceptions, which affect nothing else."""

import asyncio
import traceback

from hyssoptack.events import log

TRACE_LIMIT_COUNT = 4_000
"""Maximum number of characters of a trace, of which the end is kept."""


def log_callback_exception(
    _loop: asyncio.AbstractEventLoop, context: dict[str, object]
) -> None:
    """Logs an unhandled exception of a callback of the event loop."""
    exception = context.get("exception")
    log.write(
        log.Event.REQUEST_FAULT,
        detail=context.get("message"),
        trace=trace(exception) if isinstance(exception, BaseException) else "",
    )


def trace(exception: BaseException) -> str:
    """Returns the trace of an exception for a log line."""
    return "".join(traceback.format_exception(exception))[-TRACE_LIMIT_COUNT:]
