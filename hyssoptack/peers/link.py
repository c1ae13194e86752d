"""Links to other instances.

Every instance pulls on one address, with a pynng socket that a thread owns, and
pushes to the addresses of its peers from the event loop. Sending never blocks:
a message to a peer that is not connected or too slow is dropped, and the sender
is notified so that it can send a query elsewhere.
"""

import asyncio
import collections.abc
import dataclasses
import math
import threading
import typing

import msgspec
import pynng

from hyssoptack.core import clock
from hyssoptack.peers import codec
from hyssoptack.peers import outgoing

RECEIVE_WAIT_MS = 200
"""Longest wait of the receiving thread before it checks for a stop."""

RECEIVE_BUFFER_COUNT = 1024
DIAL_GRACE_MS = 1_000.0
"""Time after a dial during which messages are queued without a connection."""

BATCH_LIMIT_COUNT = 64
"""Maximum number of messages in a frame."""

FLUSH_LIMIT_MS = 5.0
"""Time for which frames are encoded before the event loop runs other tasks. A
first notice of a large list takes 0.5 ms for each neighbour."""

REDIAL_MIN_MS = 150.0
"""Time before a connection attempt may be replaced by a new one: the attempt
may only be slow."""

LAST_RECEIVED_LIMIT_COUNT = 1_000
"""Maximum number of peers whose time of the last message is kept."""


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
        self._links: dict[str, outgoing.OutgoingLink] = {}
        self._outbox: dict[str, list[typing.Any]] = {}
        self._stopping = threading.Event()
        self._pull = pynng.Pull0(
            recv_timeout=RECEIVE_WAIT_MS,
            recv_max_size=codec.FRAME_LIMIT_BYTES,
            recv_buffer_size=RECEIVE_BUFFER_COUNT,
        )
        self._pull.listen(f"tcp://{listen_address}")
        self._thread = threading.Thread(
            target=self._receive, name="peers-receive"
        )

    def start(self) -> None:
        """Starts the thread that receives."""
        self._thread.start()

    def stop(self) -> None:
        """Closes all links and ends the thread; queued messages are lost."""
        self._stopping.set()
        self._outbox.clear()
        for each in self._links.values():
            each.close()
        self._links.clear()
        self._thread.join()

    def send(self, address: str, body: typing.Any) -> None:
        """Queues a message; all to one peer until then go in one frame.

        Must be called on the event loop.
        """
        if self._stopping.is_set():
            return
        if not self._outbox:
            self._loop.call_soon(self._flush)
        self._outbox.setdefault(address, []).append(body)

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

    def _flush(self) -> None:
        """Sends the queued messages, for at most `FLUSH_LIMIT_MS` at a time."""
        end_ms = clock.now_ms() + FLUSH_LIMIT_MS
        try:
            while self._outbox and clock.now_ms() < end_ms:
                address = next(iter(self._outbox))
                group = self._outbox.pop(address)
                for start in range(0, len(group), BATCH_LIMIT_COUNT):
                    batch = group[start : start + BATCH_LIMIT_COUNT]
                    self._send_group(address, batch)
        finally:
            if self._outbox:
                self._loop.call_soon(self._flush)
        self._close_idle()

    def _send_group(self, address: str, group: list[typing.Any]) -> None:
        """Sends messages to one peer in a single frame, dialling if needed."""
        link = self._links.get(address)
        if link is None:
            try:
                link = self._links[address] = self._dial(address)
            except ValueError:
                # Whoever wrote the address, the other links must go on.
                self._report_undelivered(address, group)
                return
        link.used_ms = clock.now_ms()
        last_received_ms = self._last_received_ms.get(address, -math.inf)
        waited_ms = link.used_ms - link.dialled_ms
        if (
            not link.is_connected
            and last_received_ms > link.dialled_ms
            and waited_ms > REDIAL_MIN_MS
        ):
            # The link's own next attempt may be a second away.
            self._redial(link)
        grace_over = link.used_ms - link.dialled_ms > DIAL_GRACE_MS
        if grace_over and not link.is_connected:
            self._report_undelivered(address, group)
            return
        encoded = self._encode(address, group)
        if not encoded:
            return
        data = codec.encode_frame(encoded)
        if not link.send(data):
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

    def _dial(self, address: str) -> outgoing.OutgoingLink:
        def on_lost() -> None:
            if self._on_lost is not None:
                self._on_lost(address)

        return outgoing.OutgoingLink(address, self._loop, on_lost)

    def _redial(self, link: outgoing.OutgoingLink) -> None:
        """Dials a peer again at once; queued messages are kept."""
        link.dial()

    def _close_idle(self) -> None:
        horizon_ms = clock.now_ms() - self._link_idle_ms
        for address in [
            address
            for address, link in self._links.items()
            if link.used_ms < horizon_ms
        ]:
            self._links.pop(address).close()
