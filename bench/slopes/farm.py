"""Many minimal upstreams in one process, to measure the cost of the caller."""

import asyncio
import json

import cyclopts
import uvloop
from aiohttp import web

from hyssoptack.core import keyspace


def _application(low: int, high: int) -> web.Application:
    async def search(request: web.Request) -> web.Response:
        body = await request.json()
        hits = [[low + index, 1.0, f"record {index}"] for index in range(3)]
        reply = {
            "query_id": body["query_id"],
            "version": 1,
            "held": [1],
            "low": low,
            "high": high,
            "hits": hits,
        }
        return web.Response(
            body=json.dumps(reply).encode(), content_type="application/json"
        )

    application = web.Application()
    application.router.add_post("/search", search)
    return application


async def _serve(port: int, count: int, first: int, total: int) -> None:
    size = keyspace.KEYSPACE_SIZE_COUNT
    for index in range(count):
        number = first + index
        low, high = size * number // total, size * (number + 1) // total
        runner = web.AppRunner(_application(low, high), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port + index).start()
    print("ready", flush=True)
    await asyncio.Event().wait()


application = cyclopts.App(name="farm")


@application.default
def main(port: int, count: int, first: int, total: int) -> None:
    """Serves upstreams on consecutive ports until the process ends.

    Args:
        port: Port of the first upstream.
        count: Number of upstreams in this process.
        first: Index of the first upstream in the key space.
        total: Number of upstreams in all processes.
    """
    uvloop.run(_serve(port, count, first, total))


if __name__ == "__main__":
    application()
