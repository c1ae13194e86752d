"""A stand-in for an upstream that speaks the platform's protocol.

It runs on the event loop of the test. Fields set its behaviour, and counters
show the test which requests it executed.
"""

import asyncio
import collections
import collections.abc
import dataclasses

from hyssoptack.http1 import message
from hyssoptack.standins import ports

WRITE_BYTES = 65_536
"""Size of one write of a reply without an end."""

NOT_RUN = b"X-Not-Executed: 1\r\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndlessReply:
    """Bytes that are sent until the caller closes the connection.

    Attributes:
        start: Sent once.
        repeated: Sent again and again.
    """

    start: bytes
    repeated: bytes


@dataclasses.dataclass(kw_only=True)
class Behaviour:
    """How an upstream handles requests.

    Attributes:
        delay_ms: Time before each response.
        release: Event that responses wait for, without the delay; None if they
            wait for none.
        shed_count: Number of next requests that are rejected as not executed.
        reset_count: Number of next requests that are executed and get a
            connection reset.
        fail_count: Number of next requests that get a signed 500.
        twice: Whether every response is sent twice.
        unframed: Whether responses have no length and end with the connection.
        stale_first: Whether a response to another request is sent first.
        unsigned: Whether responses lack the signature.
        cut: Whether the connection closes after half of the body.
        never: Whether no response is sent.
        endless: Sent instead of each response; None for a normal response.
        crashes_on: Path prefix of the requests that crash the upstream; empty
            for none.
        return_ms: Time from a crash to the restart.
    """

    delay_ms: float = 0.0
    release: asyncio.Event | None = None
    shed_count: int = 0
    reset_count: int = 0
    fail_count: int = 0
    twice: bool = False
    unframed: bool = False
    stale_first: bool = False
    unsigned: bool = False
    cut: bool = False
    never: bool = False
    endless: EndlessReply | None = None
    crashes_on: bytes = b""
    return_ms: float = 2_000.0


class FakeUpstream:
    """A fake upstream on a loopback port.

    Attributes:
        upstream_id: Id that requests must name and responses are signed with.
        body: Body of the responses.
        behaviour: Current behaviour.
        run_counts: Number of executions by request id.
        request_heads: Heads of all received requests.
        connection_count: Number of accepted connections.
        cancelled_count: Number of requests whose caller disconnected.
        address: Address that it listens on; empty before the first start.
        on_run: Called with the request id on each execution.
        on_crash: Called before a crash.
    """

    def __init__(self, upstream_id: str, body: bytes = b"x" * 16):
        self.upstream_id = upstream_id
        self.body = body
        self.behaviour = Behaviour()
        self.run_counts: collections.Counter[bytes] = collections.Counter()
        self.request_heads: list[bytes] = []
        self.connection_count = 0
        self.cancelled_count = 0
        self.address = ""
        self.on_run: collections.abc.Callable[[bytes], None] = lambda _: None
        self.on_crash: collections.abc.Callable[[], None] = lambda: None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens a loopback port; after a crash, opens the same port again."""
        if not self.address:
            self.address = f"127.0.0.1:{ports.free_port()}"
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Closes the port but not the open connections."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """Aborts all connections, closes the port and schedules the restart."""
        if self._restart_task is not None:
            # Another request has already crashed the upstream.
            return
        self.on_crash()
        self.stop()
        for writer in tuple(self._writers):
            writer.transport.abort()
        loop = asyncio.get_running_loop()
        self._restart_task = loop.create_task(self._restart())

    async def _restart(self) -> None:
        await asyncio.sleep(self.behaviour.return_ms / message.MS_PER_S)
        self._restart_task = None
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        self._writers.add(writer)
        try:
            while await self._handle_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            # The caller closed the connection, as it may at any time.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        self.request_heads.append(head)
        fields = _fields(head)
        await reader.readexactly(int(fields.get(b"content-length", b"0")))
        request_id = fields.get(b"x-request-id", b"")
        if fields.get(b"x-expected-instance") != self.upstream_id.encode():
            writer.write(_reply(421, b"Misdirected", b"", request_id, b""))
            return True
        if self.behaviour.shed_count:
            self.behaviour.shed_count -= 1
            writer.write(_reply(503, b"Full", NOT_RUN, request_id, b""))
            return True
        self.run_counts[request_id] += 1
        self.on_run(request_id)
        if await self._caller_left(reader):
            self.cancelled_count += 1
            return False
        crashes_on = self.behaviour.crashes_on
        if crashes_on and head.split(b" ", 2)[1].startswith(crashes_on):
            self.crash()
            return False
        if self.behaviour.endless is not None:
            await _send_until_closed(writer, self.behaviour.endless)
        return self._respond(writer, request_id)

    async def _caller_left(self, reader: asyncio.StreamReader) -> bool:
        """Waits for the delay; returns whether the caller disconnected."""
        if self.behaviour.release is not None:
            return await _left_before(self.behaviour.release, reader)
        delay_ms = 60_000.0 if self.behaviour.never else self.behaviour.delay_ms
        if not delay_ms:
            return False
        try:
            async with asyncio.timeout(delay_ms / message.MS_PER_S):
                return not await reader.read(1)
        except TimeoutError:
            return False

    def _respond(self, writer: asyncio.StreamWriter, request_id: bytes) -> bool:
        behaviour = self.behaviour
        signature = b"" if behaviour.unsigned else self._signature(request_id)
        reply = _reply(200, b"OK", signature, request_id, self.body)
        if behaviour.reset_count:
            behaviour.reset_count -= 1
            writer.transport.abort()
            return False
        if behaviour.fail_count:
            behaviour.fail_count -= 1
            reply = _reply(500, b"Error", signature, request_id, b"failed")
        if behaviour.unframed:
            head = b"HTTP/1.1 200 OK\r\n" + signature + b"\r\n"
            writer.write(head + self.body)
            return False
        if behaviour.cut:
            writer.write(reply[: -len(self.body) // 2])
            return False
        if behaviour.stale_first:
            writer.write(_reply(200, b"OK", signature, b"other", b"stale"))
        writer.write(reply)
        if behaviour.twice:
            writer.write(reply)
        return True

    def _signature(self, request_id: bytes) -> bytes:
        name = self.upstream_id.encode() + b"." + request_id
        return b"X-Server-Stamp: " + name + b"\r\n"


async def _send_until_closed(
    writer: asyncio.StreamWriter, reply: EndlessReply
) -> None:
    """Sends a reply without an end.

    Raises:
        ConnectionError: The caller has closed the connection.
    """
    piece = reply.repeated * (WRITE_BYTES // len(reply.repeated) + 1)
    writer.write(reply.start)
    while True:
        writer.write(piece)
        await writer.drain()


async def _left_before(
    release: asyncio.Event, reader: asyncio.StreamReader
) -> bool:
    """Returns whether the caller disconnected before an event was set."""
    left = asyncio.ensure_future(reader.read(1))
    released = asyncio.ensure_future(release.wait())
    done, pending = await asyncio.wait(
        (left, released), return_when=asyncio.FIRST_COMPLETED
    )
    for each in pending:
        each.cancel()
    return left in done


def _fields(head: bytes) -> dict[bytes, bytes]:
    lines = head.split(b"\r\n")[1:]
    split = (each.partition(b":") for each in lines if each)
    return {name.strip().lower(): value.strip() for name, _, value in split}


def _reply(
    status: int, phrase: bytes, extra: bytes, request_id: bytes, body: bytes
) -> bytes:
    return (
        b"HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s"
        % (status, phrase, request_id, extra, len(body), body)
    )
