"""A stand-in for the platform's load balancer.

It forwards TCP connections to the ready instances in turn. Readiness is probed
periodically, so new connections go to a stopping instance until the next probe.
"""

import asyncio
import itertools
import json

import aiohttp
import cyclopts
import uvloop

from hyssoptack.core import clock

PROBE_S = 0.2
PROBE_LIMIT_S = 0.5
CHUNK_BYTES = 262_144


class Balancer:
    """A TCP balancer that probes its backends."""

    def __init__(self, backends: list[str]):
        self._pairs = [each.split("=", 1) for each in backends]
        self._ready: list[str] = []
        self._next_index = itertools.count()

    async def probe(self) -> None:
        """Updates the list of ready instances every `PROBE_S` seconds."""
        timeout = aiohttp.ClientTimeout(total=PROBE_LIMIT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                results = await asyncio.gather(
                    *(self._is_ready(session, each) for _, each in self._pairs)
                )
                self._ready = [
                    front
                    for (front, _), ready in zip(
                        self._pairs, results, strict=True
                    )
                    if ready
                ]
                await asyncio.sleep(PROBE_S)

    async def _is_ready(
        self, session: aiohttp.ClientSession, address: str
    ) -> bool:
        try:
            async with session.get(f"http://{address}/readyz") as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards a connection to the next ready instance, or responds 503."""
        for _ in range(max(1, len(self._ready))):
            if not self._ready:
                break
            target = self._ready[next(self._next_index) % len(self._ready)]
            host, _, port = target.rpartition(":")
            try:
                far_reader, far_writer = await asyncio.open_connection(
                    host, int(port)
                )
            except OSError:
                continue
            callers_port = writer.get_extra_info("peername")[1]
            await asyncio.gather(
                _pump(reader, far_writer, f"caller {callers_port}"),
                _pump(far_reader, writer, f"instance {target}"),
            )
            return
        writer.write(
            b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
            b"Content-Length: 0\r\nConnection: close\r\n\r\n"
        )
        writer.close()


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: str
) -> None:
    """Forwards bytes in one direction; logs the side that ends a connection."""
    cause = "end of stream"
    try:
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
    except OSError as error:
        cause = repr(error)
    if not writer.is_closing():
        ended = {"ended_by": sender, "cause": cause, "now_ms": clock.now_ms()}
        print(json.dumps(ended), flush=True)
        writer.close()


async def _serve(listen: str, backends: list[str]) -> None:
    balancer = Balancer(backends)
    host, _, port = listen.rpartition(":")
    await asyncio.start_server(balancer.accept, host, int(port), backlog=1024)
    await balancer.probe()


application = cyclopts.App(name="hyssoptack-standin-balancer")


@application.default
def main(*, listen: str, backend: list[str]) -> None:
    """Runs the balancer until the process ends.

    Args:
        listen: Address that callers connect to.
        backend: FRONT=OPERATOR addresses, repeated for each instance.
    """
    uvloop.run(_serve(listen, backend))


if __name__ == "__main__":
    application()
