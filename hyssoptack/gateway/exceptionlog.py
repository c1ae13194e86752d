"""Logs unhandled exceptions in event loop callbacks."""

import asyncio
import traceback

from hyssoptack.events import log


def log_callback_exception(
    _loop: asyncio.AbstractEventLoop, context: dict[str, object]
) -> None:
    """Logs an unhandled exception; other requests are not affected."""
    exception = context.get("exception")
    trace = (
        "".join(traceback.format_exception(exception))
        if isinstance(exception, BaseException)
        else ""
    )
    log.write(
        log.Event.REQUEST_FAULT, detail=context.get("message"), trace=trace
    )
