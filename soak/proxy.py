"""A loopback proxy that delays, resets, silences or loses one way of a link."""

import asyncio

from soak import faults

CHUNK_BYTES = 65_536
MS_PER_S = 1000.0


class Proxy:
    """Forwards one port to a target; how is changed while it runs.

    A connection that was open during a silence, or lost its answers, stays
    harmed when the link is well again, as on a network that dropped its state:
    only new connections work then.
    """

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self.mode = faults.LinkMode.PASS
        self.delay_ms = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens a port on loopback; the same one after a stop."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._join, "127.0.0.1", port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Closes the port and all connections."""
        if self._server is not None:
            self._server.close()
        self._abort_all()

    def set_mode(self, mode: faults.LinkMode, delay_ms: float = 0.0) -> None:
        """Changes how connections are treated."""
        self.mode = mode
        self.delay_ms = delay_ms
        if mode is faults.LinkMode.RESET:
            self._abort_all()

    def _abort_all(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _join(
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
        both = {writer, far_writer}
        self._writers |= both
        await asyncio.gather(
            self._pump(reader, far_writer, answers=False),
            self._pump(far_reader, writer, answers=True),
        )
        self._writers -= both

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool,
    ) -> None:
        deaf = False
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is faults.LinkMode.DELAY:
                    await asyncio.sleep(self.delay_ms / MS_PER_S)
                deaf = deaf or self._drops(answers)
                if not deaf:
                    writer.write(data)
        except ConnectionError:
            # The other end is told below.
            pass
        if not deaf:
            writer.close()

    def _drops(self, answers: bool) -> bool:
        match self.mode:
            case faults.LinkMode.SILENT:
                return True
            case faults.LinkMode.ANSWERS_LOST:
                return answers
            case _:
                return False
