"""Links to other instances: pynng sockets, each owned by one thread.

Every instance pulls on one address and pushes to the addresses of its peers.
Sending never blocks: a message to a peer that is not connected or too slow is
dropped, and the sender is notified so that it can send a query elsewhere.
"""

import asyncio
import collections.abc
import dataclasses
import math
import queue
import threading
import typing

import msgspec
import pynng

from hyssoptack.core import clock
from hyssoptack.peers import codec

RECEIVE_WAIT_MS = 200
"""Longest wait of the receiving thread before it checks for a stop."""

SEND_BUFFER_COUNT = 128
RECEIVE_BUFFER_COUNT = 1024
DIAL_GRACE_MS = 1_000.0
"""Time after a dial during which messages are queued without a connection."""

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000
BATCH_LIMIT_COUNT = 64
"""Maximum number of queued messages added to the first one of a batch."""

REDIAL_MIN_MS = 150.0
"""Time before a connection attempt may be replaced by a new one: the attempt
may only be slow."""

LAST_RECEIVED_LIMIT_COUNT = 1_000
"""Maximum number of peers whose time of the last message is kept."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutgoingMessage:
    """A message queued for the thread that owns the sockets.

    Attributes:
        address: The peer's address.
        body: The message.
    """

    address: str
    body: typing.Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReceivedFrame:
    """A received frame, as passed to the event loop.

    Attributes:
        decoded: The decoded messages.
        byte_count: The frame's size on the wire.
    """

    decoded: codec.DecodedFrame
    byte_count: int


@dataclasses.dataclass(kw_only=True)
class _Link:
    """A push socket and its connection state.

    Attributes:
        socket: The socket.
        dialled_ms: Time of the last dial.
        used_ms: Time of the last send.
        pipe_count: Number of open connections: 0 while not connected.
        is_closed: Whether this process has closed the link.
    """

    socket: pynng.Push0
    dialled_ms: float
    used_ms: float
    pipe_count: int = 0
    is_closed: bool = False


@dataclasses.dataclass(kw_only=True)
class LinkCounters:
    """Totals since process start, for metrics and the capacity bench."""

    sent_message_count: int = 0
    sent_frame_count: int = 0
    sent_bytes: int = 0
    received_frame_count: int = 0
    received_message_count: int = 0
    received_bytes: int = 0
    undelivered_count: int = 0
    unreadable_count: int = 0


OnReceived = collections.abc.Callable[[ReceivedFrame], None]
OnLost = collections.abc.Callable[[str], None]
OnUndelivered = collections.abc.Callable[[str, typing.Any], None]


class Links:
    """Sends and receives peer messages on behalf of the event loop."""

    def __init__(
        self,
        listen_address: str,
        link_idle_ms: float,
        loop: asyncio.AbstractEventLoop,
        own_codec: codec.Codec,
        on_received: OnReceived,
        on_undelivered: OnUndelivered,
        on_lost: OnLost | None = None,
    ):
        """Opens the receiving socket; `start` starts the threads.

        Args:
            listen_address: `IP:port` to receive on.
            link_idle_ms: Time after which an unused link is closed.
            loop: Event loop on which the callbacks run.
            own_codec: Codec of the messages.
            on_received: Called with each received frame.
            on_undelivered: Called with the address and the message if a message
                cannot be sent.
            on_lost: Called with the address when a connection to a peer is
                closed.
        """
        self.counters = LinkCounters()
        self._link_idle_ms = link_idle_ms
        self._loop = loop
        self._codec = own_codec
        self._on_received = on_received
        self._on_undelivered = on_undelivered
        self._on_lost = on_lost
        self._last_received_ms: dict[str, float] = {}
        self._outbox: queue.SimpleQueue[OutgoingMessage | None] = (
            queue.SimpleQueue()
        )
        self._stopping = threading.Event()
        self._pull = pynng.Pull0(
            recv_timeout=RECEIVE_WAIT_MS,
            recv_max_size=codec.FRAME_LIMIT_BYTES,
            recv_buffer_size=RECEIVE_BUFFER_COUNT,
        )
        self._pull.listen(f"tcp://{listen_address}")
        self._threads = [
            threading.Thread(target=self._receive, name="peers-receive"),
            threading.Thread(target=self._send, name="peers-send"),
        ]

    def start(self) -> None:
        """Starts the threads that own the sockets."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops the threads and closes the sockets."""
        self._stopping.set()
        self._outbox.put(None)
        for thread in self._threads:
            thread.join()

    def send(self, address: str, body: typing.Any) -> None:
        """Queues a message for sending; never blocks."""
        self._outbox.put(OutgoingMessage(address=address, body=body))

    def _receive(self) -> None:
        with self._pull:
            while not self._stopping.is_set():
                try:
                    data = self._pull.recv()
                except pynng.exceptions.Timeout:
                    continue
                except pynng.exceptions.NNGException:
                    self.counters.unreadable_count += 1
                    continue
                self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        """Decodes a frame and passes it to the event loop."""
        decoded = self._codec.decode(data)
        for each in decoded.messages:
            if address := getattr(each, "sender_address", ""):
                self._record_received(address)
        self.counters.received_frame_count += 1
        self.counters.received_message_count += len(decoded.messages)
        self.counters.received_bytes += len(data)
        self.counters.unreadable_count += decoded.dropped_count
        received = ReceivedFrame(decoded=decoded, byte_count=len(data))
        self._call_soon(self._on_received, received)

    def _record_received(self, address: str) -> None:
        """Records the time of the latest message from a peer."""
        # Removed first, so that the dict is ordered from oldest to newest.
        self._last_received_ms.pop(address, None)
        self._last_received_ms[address] = clock.now_ms()
        if len(self._last_received_ms) > LAST_RECEIVED_LIMIT_COUNT:
            del self._last_received_ms[next(iter(self._last_received_ms))]

    def _call_soon(self, function: collections.abc.Callable, *args) -> None:
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(function, *args)

    def _send(self) -> None:
        links: dict[str, _Link] = {}
        while True:
            batch = self._next_batch()
            if batch is None:
                break
            for address, group in batch.items():
                self._send_group(links, address, group)
            self._close_idle(links)
        for link in links.values():
            link.socket.close()

    def _next_batch(self) -> dict[str, list[typing.Any]] | None:
        """Waits for a message and adds those that are already queued.

        Returns:
            Messages by address, or None when the links are stopped.
        """
        outgoing = self._outbox.get()
        groups: dict[str, list[typing.Any]] = {}
        for _ in range(BATCH_LIMIT_COUNT):
            if outgoing is None:
                return None
            groups.setdefault(outgoing.address, []).append(outgoing.body)
            try:
                outgoing = self._outbox.get_nowait()
            except queue.Empty:
                return groups
        if outgoing is None:
            return None
        groups.setdefault(outgoing.address, []).append(outgoing.body)
        return groups

    def _send_group(
        self,
        links: dict[str, _Link],
        address: str,
        group: list[typing.Any],
    ) -> None:
        """Sends messages to one peer in a single frame, dialling if needed."""
        link = links.get(address)
        if link is None:
            try:
                link = links[address] = self._dial(address)
            except (pynng.exceptions.NNGException, ValueError):
                # Whoever wrote the address, the other links must go on.
                self._report_undelivered(address, group)
                return
        link.used_ms = clock.now_ms()
        last_received_ms = self._last_received_ms.get(address, -math.inf)
        waited_ms = link.used_ms - link.dialled_ms
        if (
            link.pipe_count < 1
            and last_received_ms > link.dialled_ms
            and waited_ms > REDIAL_MIN_MS
        ):
            # The dialer's own next attempt may be a second away.
            self._redial(link, address)
        grace_over = link.used_ms - link.dialled_ms > DIAL_GRACE_MS
        if grace_over and link.pipe_count < 1:
            self._report_undelivered(address, group)
            return
        encoded = self._encode(address, group)
        if not encoded:
            return
        data = codec.encode_frame(encoded)
        try:
            link.socket.send(data, block=False)
        except pynng.exceptions.NNGException:
            self._report_undelivered(address, group)
            return
        self.counters.sent_frame_count += 1
        self.counters.sent_message_count += len(encoded)
        self.counters.sent_bytes += len(data)

    def _encode(
        self, address: str, group: list[typing.Any]
    ) -> list[tuple[int, msgspec.Raw]]:
        """Encodes messages, without those with a value that can't be sent."""
        encoded = []
        for each in group:
            try:
                encoded.append(self._codec.encode(each))
            except (OverflowError, ValueError):
                self._report_undelivered(address, [each])
        return encoded

    def _report_undelivered(
        self, address: str, group: list[typing.Any]
    ) -> None:
        """Counts undelivered messages and notifies their sender."""
        self.counters.undelivered_count += len(group)
        for each in group:
            self._call_soon(self._on_undelivered, address, each)

    def _dial(self, address: str) -> _Link:
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_COUNT,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        now_ms = clock.now_ms()
        link = _Link(socket=socket, dialled_ms=now_ms, used_ms=now_ms)

        def on_connected(_pipe: pynng.Pipe) -> None:
            link.pipe_count += 1

        def on_disconnected(_pipe: pynng.Pipe) -> None:
            link.pipe_count -= 1
            # A link that is closed because it is idle says nothing about the
            # peer.
            if self._on_lost is not None and not link.is_closed:
                self._call_soon(self._on_lost, address)

        socket.add_post_pipe_connect_cb(on_connected)
        socket.add_post_pipe_remove_cb(on_disconnected)
        try:
            socket.dial(f"tcp://{address}", block=False)
        except (pynng.exceptions.NNGException, ValueError):
            # Each further message to the address opens a socket.
            socket.close()
            raise
        return link

    def _redial(self, link: _Link, address: str) -> None:
        """Dials a peer again at once; queued messages are kept."""
        for dialer in tuple(link.socket.dialers):
            dialer.close()
        link.dialled_ms = clock.now_ms()
        link.socket.dial(f"tcp://{address}", block=False)

    def _close_idle(self, links: dict[str, _Link]) -> None:
        horizon_ms = clock.now_ms() - self._link_idle_ms
        for address in [
            address
            for address, link in links.items()
            if link.used_ms < horizon_ms
        ]:
            link = links.pop(address)
            link.is_closed = True
            link.socket.close()
