"""A loopback TCP proxy that injects the faults of a link.

It delays data, resets connections, or drops data in one or both directions.
"""

import asyncio

from soak import faults

CHUNK_BYTES = 65_536
MS_PER_S = 1000.0


class Proxy:
    """Forwards a port to a target, in a mode that can change while it runs.

    A connection that lost data in the modes `SILENT` or `ANSWERS_LOST` passes
    no more data when the fault ends, as on a network that dropped its
    connection state. Only new connections work then.

    Attributes:
        target: Address that connections are forwarded to.
        address: Address that the proxy listens on; empty before the start.
        mode: How connections are handled.
        delay_ms: Delay of each chunk in the mode `DELAY`.
    """

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self.mode = faults.LinkMode.PASS
        self.delay_ms = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens a loopback port; after a stop, opens the same port again."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Closes the port and all connections."""
        if self._server is not None:
            self._server.close()
        self._abort_all()

    def set_mode(self, mode: faults.LinkMode, delay_ms: float = 0.0) -> None:
        """Sets how connections are handled; `RESET` aborts the open ones."""
        self.mode = mode
        self.delay_ms = delay_ms
        if mode is faults.LinkMode.RESET:
            self._abort_all()

    def _abort_all(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is faults.LinkMode.RESET:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, far_writer}
        self._writers |= writers
        await asyncio.gather(
            self._pump(reader, far_writer, is_response=False),
            self._pump(far_reader, writer, is_response=True),
        )
        self._writers -= writers

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        dropped = False
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is faults.LinkMode.DELAY:
                    await asyncio.sleep(self.delay_ms / MS_PER_S)
                dropped = dropped or self._drops_data(is_response)
                if not dropped:
                    writer.write(data)
        except ConnectionError:
            # The other connection is closed below.
            pass
        if not dropped:
            writer.close()

    def _drops_data(self, is_response: bool) -> bool:
        match self.mode:
            case faults.LinkMode.SILENT:
                return True
            case faults.LinkMode.ANSWERS_LOST:
                return is_response
            case _:
                return False
