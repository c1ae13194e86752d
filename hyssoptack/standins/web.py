"""Common functions of the HTTP stand-ins."""

import asyncio
import json

import uvloop
from aiohttp import web


def abort_connection(request: web.Request) -> web.Response:
    """Aborts the connection of a request instead of responding.

    Returns a response, which is never sent, for the handler to return.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def json_response(
    value: object, status: int = 200, **headers: str
) -> web.Response:
    """Returns a JSON response."""
    return web.Response(
        text=json.dumps(value),
        status=status,
        content_type="application/json",
        headers=headers,
    )


async def _serve(runners: list[tuple[web.AppRunner, str]]) -> None:
    for runner, address in runners:
        host, _, port = address.rpartition(":")
        await runner.setup()
        site = web.TCPSite(runner, host, int(port), backlog=1024)
        await site.start()
    await asyncio.Event().wait()


def serve_forever(runners: list[tuple[web.AppRunner, str]]) -> None:
    """Serves applications on their addresses until the process ends."""
    uvloop.run(_serve(runners))
