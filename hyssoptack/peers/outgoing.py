"""A link to one peer, over which frames are pushed.

It speaks the TCP mapping of the scalability protocols, as the peer's pynng
socket expects: an exchange of 8 bytes that names the protocols, then each frame
behind its size. Dialling with pynng itself crashes the process when a dialer is
closed that still resolves or connects.
"""

import asyncio
import collections.abc
import random
import struct

from hyssoptack.core import clock
from hyssoptack.core import traffic
from hyssoptack.http1 import message
from hyssoptack.planning import backoff

CONNECT_TIMEOUT_MS = 1_000.0
"""Timeout of a connection attempt. A packet that is lost in a partition is sent
again by the operating system only after seconds."""

GREETING_TIMEOUT_MS = 5_000.0
"""Time within which an accepting peer names its protocol. It may be starting or
stopped for a moment."""

RECONNECT = backoff.Backoff(min_ms=50.0, max_ms=1_000.0)
JITTER_RATIO = 0.5
"""Part of each wait that is random, so that instances whose peer restarts do
not dial it at the same time."""

QUEUE_LIMIT_COUNT = 128
"""Maximum number of frames that wait for a connection."""

UNSENT_LIMIT_BYTES = 1_000_000
"""Unsent bytes from which no further frame is accepted: the peer is too slow,
or was unreachable for too long."""

_HEADER = struct.Struct(">4sHH")
_MAGIC = b"\x00SP\x00"
_PUSH, _PULL = 0x50, 0x51
_OWN_GREETING = _HEADER.pack(_MAGIC, _PUSH, 0)
_PEER_GREETING = _HEADER.pack(_MAGIC, _PULL, 0)
_SIZE = struct.Struct(">Q")


class _Connection(asyncio.Protocol):
    """One TCP connection to a peer.

    Attributes:
        greeted: Done when the peer has named its protocol; false if the
            connection ended before or the peer speaks another protocol.
        ended: Done when the connection has ended.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._transport: asyncio.Transport | None = None
        self._received = b""
        self.greeted: asyncio.Future[bool] = loop.create_future()
        self.ended: asyncio.Future[None] = loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Names the protocol of this side."""
        self._transport = transport
        transport.write(_OWN_GREETING)

    def data_received(self, data: bytes) -> None:
        """Reads the peer's greeting, after which it sends nothing."""
        self._received += data
        if len(self._received) < len(_PEER_GREETING):
            return
        is_greeting = self._received == _PEER_GREETING
        if not self.greeted.done():
            self.greeted.set_result(is_greeting)
        if not is_greeting:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the connection."""
        for each, result in ((self.greeted, False), (self.ended, None)):
            if not each.done():
                each.set_result(result)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the operating system has not taken yet."""
        return self._transport.get_write_buffer_size()

    def write(self, frame: bytes) -> None:
        """Writes a frame."""
        self._transport.write(_SIZE.pack(len(frame)) + frame)

    def close(self) -> None:
        """Closes the connection once all frames are sent."""
        self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._transport.abort()


class OutgoingLink:
    """A connection to a peer that is opened again whenever it ends.

    Attributes:
        dialled_ms: Time at which it was last dialled on purpose.
        used_ms: Time of the last frame.
    """

    def __init__(
        self,
        address: str,
        loop: asyncio.AbstractEventLoop,
        on_lost: collections.abc.Callable[[], None],
    ):
        """Dials a peer.

        Args:
            address: `IP:port` of the peer.
            loop: The event loop.
            on_lost: Called when the peer ends an open connection.

        Raises:
            ValueError: The address is malformed.
        """
        found = traffic.split_address(address)
        if found is None:
            raise ValueError(f"expected IP:port, got {address!r}")
        self._host, self._port = found
        self._loop = loop
        self._on_lost = on_lost
        self._waiting: list[bytes] = []
        self._connection: _Connection | None = None
        self._task: asyncio.Task[None] | None = None
        self.dialled_ms = self.used_ms = clock.now_ms()
        self.dial()

    @property
    def is_connected(self) -> bool:
        """Whether frames go to the peer at once."""
        return self._connection is not None

    def dial(self) -> None:
        """Dials at once; frames that wait are kept."""
        if self._task is not None:
            self._task.cancel()
        self.dialled_ms = clock.now_ms()
        self._task = self._loop.create_task(self._stay_connected())

    def send(self, frame: bytes) -> bool:
        """Sends a frame, or keeps it until the link is connected.

        Returns:
            Whether it was accepted; false if too much is unsent.
        """
        if self._connection is not None:
            if self._connection.unsent_bytes > UNSENT_LIMIT_BYTES:
                return False
            self._connection.write(frame)
            return True
        waiting_bytes = sum(len(each) for each in self._waiting)
        if (
            len(self._waiting) >= QUEUE_LIMIT_COUNT
            or waiting_bytes > UNSENT_LIMIT_BYTES
        ):
            return False
        self._waiting.append(frame)
        return True

    def close(self) -> None:
        """Closes the link for good."""
        self._task.cancel()
        if self._connection is not None:
            self._connection.close()

    async def _stay_connected(self) -> None:
        failure_count = 0
        while True:
            connection = await self._connect()
            if connection is not None:
                failure_count = 0
                await self._use(connection)
            wait_ms = RECONNECT.wait_ms(failure_count)
            wait_ms *= 1.0 - JITTER_RATIO * random.random()
            failure_count += 1
            await asyncio.sleep(wait_ms / message.MS_PER_S)

    async def _connect(self) -> _Connection | None:
        """Opens a connection; returns None if the peer can't be reached."""
        connection = _Connection(self._loop)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / message.MS_PER_S):
                await self._loop.create_connection(
                    lambda: connection, self._host, self._port
                )
        except (OSError, ValueError):
            return None
        is_greeted = False
        try:
            async with asyncio.timeout(GREETING_TIMEOUT_MS / message.MS_PER_S):
                is_greeted = await connection.greeted
        except TimeoutError:
            return None
        finally:
            if not is_greeted:
                connection.abort()
        return connection if is_greeted else None

    async def _use(self, connection: _Connection) -> None:
        """Sends the waiting frames, and returns when the connection ends."""
        self._connection = connection
        waiting, self._waiting = self._waiting, []
        for frame in waiting:
            connection.write(frame)
        await connection.ended
        self._connection = None
        self._loop.call_soon(self._on_lost)
