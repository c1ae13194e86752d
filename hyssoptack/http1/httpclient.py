"""HTTP/1.1 client: upstream connections that carry one call at a time.

A reply is delivered only when it is complete. Until the first byte of a
request has been sent, the request has certainly not been executed. After that
it may have been, unless a complete reply says that it was not.
"""

import asyncio
import collections.abc
import dataclasses

import httptools

from hyssoptack.core import clock
from hyssoptack.core import digits
from hyssoptack.http1 import message
from hyssoptack.http1 import replymemory

REPLY_LIMIT_BYTES = 16 * 1024 * 1024
"""Largest reply body accepted. It is far larger than what services send and
keeps a faulty service from exhausting the memory."""

HEAD_LIMIT_BYTES = 64 * 1024
"""Largest reply head, and trailers, accepted, beyond which a faulty service
could exhaust the memory as well."""

FRAMING_RATIO = 0.5
"""Largest part of a body's size that may be received in addition for heads and
chunk framing, beyond `HEAD_LIMIT_BYTES`. Each chunk takes processor time, so
smaller ones than a record of 16 bytes must not go on for long."""

FINAL_STATUS_MIN = 200
"""Lowest final status code. After a lower, informational one (1xx), the final
reply follows."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class BrokenCall:
    """The outcome of a call that ended without a complete reply.

    Attributes:
        reason: Identifier of the cause, such as `connection_reset`.
        sent: Whether any byte of the request may have been sent.
        upstream_exited: Whether the upstream was found to have exited.
        was_only_call: Whether the upstream had no other call from this instance
            when it exited.
    """

    reason: str
    sent: bool
    upstream_exited: bool = False
    was_only_call: bool = False


Outcome = message.Reply | BrokenCall
Sink = collections.abc.Callable[[Outcome], None]


class UpstreamConnection(asyncio.Protocol):
    """One connection to one upstream."""

    def __init__(
        self,
        id_header: bytes = b"",
        memory: replymemory.ReplyMemory | None = None,
    ) -> None:
        """Creates the protocol object.

        Args:
            id_header: Name, in lower case, of the reply header that holds the
                id of the answered request; empty where there is none.
            memory: Limits what this connection's reply and others take
                together; None for a limit of its own.
        """
        self._id_header = id_header
        self._memory = memory or replymemory.ReplyMemory()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._sink: Sink | None = None
        self._request_id = b""
        self._is_head = False
        self.reusable = True
        self.lost = False
        self.last_used_ms = clock.now_ms()
        self.idle_limit_ms = float("inf")
        self.on_lost: collections.abc.Callable[[], None] | None = None
        # All that was received for the call in progress, which may be several
        # replies: informational ones, or late ones to earlier calls.
        self._call_bytes = 0
        self._call_body_bytes = 0
        self._reset_reply()

    def _reset_reply(self) -> None:
        self._headers: list[message.Header] = []
        self._body = bytearray()
        self._head_bytes = 0
        self._unreported_bytes = 0
        self._head_done = False
        self._until_close = False

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""
        return self._sink is not None

    # Calls.

    def send(
        self, data: bytes, request_id: bytes, is_head: bool, sink: Sink
    ) -> None:
        """Sends a request.

        Args:
            data: The complete request.
            request_id: The id that the reply must have if it has one; empty
                where replies have none.
            is_head: Whether it is a HEAD request.
            sink: Called once, with the outcome.
        """
        if self.lost or self._transport is None:
            sink(BrokenCall(reason="connection_lost", sent=False))
            return
        self._sink = sink
        self._request_id = request_id
        self._is_head = is_head
        self.last_used_ms = clock.now_ms()
        self._call_bytes = self._call_body_bytes = 0
        self._transport.write(data)

    def close(self) -> None:
        """Aborts the connection; a call in progress gets no outcome."""
        self._sink = None
        self.reusable = False
        self._release_body()
        if self._transport is not None:
            self._transport.abort()

    def _release_body(self) -> None:
        self._body = bytearray()
        self._memory.record(self._abort_for_memory, 0)

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes the connection if no call waits.

        Bytes that no call waits for are a repeated or a late reply.
        """
        if self._sink is None:
            self.close()
            return
        before_bytes = self._head_bytes + self._call_body_bytes
        self._call_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._abort("not_http")
            return
        if self._sink is None:
            return
        if self._head_bytes + self._call_body_bytes != before_bytes:
            self._unreported_bytes = 0
        else:
            # The parser is collecting a header that has not ended.
            self._unreported_bytes += len(data)
        framing_bytes = self._call_bytes - self._call_body_bytes
        framing_limit_bytes = HEAD_LIMIT_BYTES + (
            FRAMING_RATIO * self._call_body_bytes
        )
        if max(self._head_bytes, self._unreported_bytes) > HEAD_LIMIT_BYTES:
            self._abort("reply_head_too_large")
        elif framing_bytes > framing_limit_bytes:
            self._abort(
                "reply_framing_too_large"
                if self._call_body_bytes
                else "reply_head_too_large"
            )
        else:
            self._memory.record(self._abort_for_memory, len(self._body))

    def eof_received(self) -> bool:
        """Completes a reply whose body ends with the connection."""
        if self._sink is not None and self._head_done and self._until_close:
            self.reusable = False
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails a call in progress and notifies the connection's owner."""
        self.lost = True
        self.reusable = False
        self._abort("connection_closed" if exc is None else "connection_reset")
        if self.on_lost is not None:
            self.on_lost()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Resets the reply state for a new reply."""
        if self._sink is None:
            # A second reply after the one to the request.
            self.reusable = False
        self._reset_reply()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._headers.append((name, value))
        self._head_bytes += len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Records how the body is delimited; completes replies to HEAD."""
        self._head_done = True
        status = self._parser.get_status_code()
        framed = any(
            name.lower() in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        bodyless = status in message.NO_BODY_STATUSES
        self._until_close = not framed and not bodyless
        if self._is_head and status >= FINAL_STATUS_MIN:
            # The parser would wait for a body, but replies to HEAD have none.
            self.reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Stores a piece of the body, up to `REPLY_LIMIT_BYTES`."""
        self._call_body_bytes += len(body)
        if self._call_body_bytes > REPLY_LIMIT_BYTES:
            self._abort("reply_too_large")
        if self._sink is not None:
            self._body += body

    def on_message_complete(self) -> None:
        """Completes the call, unless the reply is informational (1xx)."""
        if self._parser.get_status_code() < FINAL_STATUS_MIN:
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._complete()

    # Completion of calls.

    def _complete(self) -> None:
        """Delivers the reply, unless it answers another request."""
        if self._sink is None:
            return
        reply = message.Reply(
            status=self._parser.get_status_code(),
            headers=tuple(self._headers),
            body=bytes(self._body),
        )
        reply_id = reply.value(self._id_header)
        if reply_id and self._request_id and reply_id != self._request_id:
            # A late reply to an earlier call; this call's reply is still due.
            self.reusable = False
            return
        self._read_idle_timeout(reply)
        self.last_used_ms = clock.now_ms()
        self._deliver(reply)

    def _read_idle_timeout(self, reply: message.Reply) -> None:
        """Stores the idle timeout that the upstream announces, if any."""
        for each in reply.value(b"keep-alive").split(b","):
            name, _, value = each.strip().partition(b"=")
            limit_s = digits.parse(value.decode("latin-1"))
            if name.lower() == b"timeout" and limit_s is not None:
                self.idle_limit_ms = limit_s * message.MS_PER_S

    def _abort(self, reason: str) -> None:
        """Aborts the connection and fails a call in progress."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()
        if self._sink is not None:
            self._deliver(BrokenCall(reason=reason, sent=True))

    def _abort_for_memory(self) -> None:
        self._abort("reply_memory_exhausted")

    def _deliver(self, outcome: Outcome) -> None:
        self._release_body()
        sink, self._sink = self._sink, None
        if sink is not None:
            sink(outcome)
