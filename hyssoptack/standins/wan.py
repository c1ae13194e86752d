"""A stand-in for the network between failure domains, with latency and cuts.

It has a listening port for each pair of a domain and an instance outside it.
Bytes are forwarded after a fixed delay. Cutting a pair of domains simulates a
partition: existing and new connections between them are aborted.
"""

import asyncio
import json

import cyclopts
import uvloop
from aiohttp import web

from hyssoptack.standins import web as standin_web

MS_PER_S = 1000.0
CHUNK_BYTES = 262_144


class Wan:
    """TCP forwarders between failure domains that can be cut off."""

    def __init__(self, one_way_ms: float):
        self._one_way_s = one_way_ms / MS_PER_S
        self._cut: set[frozenset[str]] = set()
        self._writers: dict[frozenset[str], set[asyncio.StreamWriter]] = {}

    async def listen(self, route: dict[str, str]) -> None:
        """Opens the port of a route.

        Args:
            route: The keys `viewer` and `domain` (the two failure domains),
                `address` (to listen on) and `target` (to forward to).
        """
        pair = frozenset((route["viewer"], route["domain"]))

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._forward(pair, route["target"], reader, writer)

        host, _, port = route["address"].rpartition(":")
        await asyncio.start_server(accept, host, int(port), backlog=256)

    async def _forward(
        self,
        pair: frozenset[str],
        target: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if pair in self._cut:
            writer.transport.abort()
            return
        host, _, port = target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        open_writers = self._writers.setdefault(pair, set())
        open_writers.update((writer, far_writer))
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer)
        )
        open_writers.difference_update((writer, far_writer))

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards bytes, each chunk after the one-way latency."""
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                loop.call_later(self._one_way_s, _write, writer, data)
        except OSError:
            pass
        loop.call_later(self._one_way_s, writer.close)

    async def change(self, request: web.Request) -> web.Response:
        """Sets the pairs of domains that are cut off from each other."""
        pairs = {frozenset(each) for each in (await request.json())["cut"]}
        for pair in pairs - self._cut:
            for writer in self._writers.get(pair, ()):
                writer.transport.abort()
        self._cut = pairs
        return standin_web.json_response(
            {"cut": [sorted(each) for each in pairs]}
        )


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


async def _serve(control: str, routes: list[dict], one_way_ms: float) -> None:
    wan = Wan(one_way_ms)
    for route in routes:
        await wan.listen(route)
    application = web.Application()
    application.router.add_post("/faults", wan.change)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    host, _, port = control.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    await asyncio.Event().wait()


application = cyclopts.App(name="hyssoptack-standin-wan")


@application.default
def main(*, control: str, routes: str, one_way_ms: float = 1.0) -> None:
    """Forwards connections until the process ends.

    Args:
        control: Address that serves POST /faults.
        routes: JSON list of objects with viewer, domain, address and target.
        one_way_ms: Latency in each direction.
    """
    uvloop.run(_serve(control, json.loads(routes), one_way_ms))


if __name__ == "__main__":
    application()
