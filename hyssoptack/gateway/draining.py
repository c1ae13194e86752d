"""Finishes the work of a gateway that is being stopped."""

import asyncio
import http
import typing

from hyssoptack.balancing import loadbalancer
from hyssoptack.core import clock
from hyssoptack.gateway import inbound
from hyssoptack.gateway import listeners
from hyssoptack.http1 import httpserver
from hyssoptack.http1 import message
from hyssoptack.planning import retrydelay
from hyssoptack.planning import shutdown

IDLE_CLOSE_DELAY_MS = 2_600.0
"""Time from a stop signal to closing idle connections: the platform's balancer
needs two probes, a second apart, to see that an instance is not ready."""

DRAIN_CHECK_MS = 50.0
"""Pause between two checks for unfinished work while the process drains."""

FLUSH_LIMIT_MS = 200.0
"""Time in which the last responses are sent, to slow callers as well. It ends
half of `shutdown.KILL_MARGIN_MS` before the platform kills the process."""


def leaves_no_time(
    started: shutdown.Shutdown | None,
    request: inbound.RoutedRequest,
    load_balancer: loadbalancer.LoadBalancer,
    now_ms: float,
) -> bool:
    """Returns whether a request that has not run is refused for a shutdown.

    Args:
        started: The shutdown; None while there is none.
        request: The request.
        load_balancer: Knows how long calls of the request's route take.
        now_ms: The current time.
    """
    if started is None:
        return False
    estimate = load_balancer.latency_of(request.route_match.route.name)
    refusal_at_ms = started.refusal_at_ms(
        request.deadline_at_ms, estimate.median_ms
    )
    return now_ms >= refusal_at_ms


class Work(typing.Protocol):
    """What a process does for callers and for other instances."""

    def is_in_progress(self) -> bool:
        """Returns whether requests, or calls for others, are in progress."""

    def on_process_end(self) -> None:
        """Ends what was delegated to other instances or by them."""


async def drain(
    server: httpserver.Server,
    ports: listeners.Listeners,
    work: Work,
    started: shutdown.Shutdown,
) -> float:
    """Closes connections to callers, finishes the work and closes ports.

    Requests end by themselves at `started.end_ms` at the latest. Their last
    responses are sent before this returns.

    Args:
        server: The server for callers.
        ports: The open ports.
        work: The work in progress.
        started: The shutdown.

    Returns:
        How long it took, in milliseconds.
    """
    server.closing = True
    server.closing_refusal = message.problem_reply(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        shutdown.STOPPING,
        retrydelay.OVERLOADED_RETRY_MS,
    )
    end_ms = started.end_ms
    idle_wait_ms = min(IDLE_CLOSE_DELAY_MS, end_ms - clock.now_ms())
    await asyncio.sleep(idle_wait_ms / message.MS_PER_S)
    await _close_idle_until(end_ms, server, work)
    await _answer_all(end_ms + FLUSH_LIMIT_MS, server, work)
    ports.close()
    # Until here requests were accepted, if only to be refused.
    await _close_idle_until(end_ms, server, work)
    if server.connections or work.is_in_progress():
        await _answer_all(end_ms + FLUSH_LIMIT_MS, server, work)
    return clock.now_ms() - started.started_ms


async def _answer_all(
    end_ms: float, server: httpserver.Server, work: Work
) -> None:
    """Answers what is still in progress and sends the last responses."""
    if clock.now_ms() >= end_ms:
        return
    work.on_process_end()
    server.refuse_incomplete(shutdown.STOPPING, retrydelay.OVERLOADED_RETRY_MS)
    await _close_idle_until(end_ms, server, work)
    # Messages to other instances leave meanwhile.
    await asyncio.sleep(DRAIN_CHECK_MS / message.MS_PER_S)


async def _close_idle_until(
    end_ms: float, server: httpserver.Server, work: Work
) -> None:
    """Closes idle connections until none is open and no work is left."""
    while clock.now_ms() < end_ms:
        server.close_idle()
        if not server.connections and not work.is_in_progress():
            break
        await asyncio.sleep(DRAIN_CHECK_MS / message.MS_PER_S)
