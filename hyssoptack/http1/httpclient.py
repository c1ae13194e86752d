"""The upstreams' side of HTTP/1.1: a connection that carries one call a time.

A reply is taken whole. What the connection saw decides what the caller may
assume: before the first byte left, the request has not run; after it, it may
have, unless a whole reply says otherwise.
"""

import asyncio
import collections.abc
import dataclasses

import httptools

from hyssoptack.core import clock
from hyssoptack.http1 import message

REPLY_LIMIT_BYTES = 16 * 1024 * 1024
"""Most bytes of one reply; far over what services send, so that a broken one
can't fill the memory."""

INFORMATIONAL_LIMIT = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class BrokenCall:
    """A call ended without a whole reply.

    Attributes:
        reason: What was seen.
        sent: Whether a byte of the request may have left.
        upstream_exited: Whether the upstream was found to have ended.
        was_only_call: Whether it was the only call that broke off with it.
    """

    reason: str
    sent: bool
    upstream_exited: bool = False
    was_only_call: bool = False


Outcome = message.Reply | BrokenCall
Sink = collections.abc.Callable[[Outcome], None]


class UpstreamConnection(asyncio.Protocol):
    """One connection to one upstream."""

    def __init__(self, id_header: bytes = b"") -> None:
        """Makes a connection.

        Args:
            id_header: The header, in lower case, by which replies name the
                request that they answer; empty where there is none.
        """
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._sink: Sink | None = None
        self._request_id = b""
        self._to_head = False
        self.reusable = True
        self.lost = False
        self.last_used_ms = clock.now_ms()
        self.idle_limit_ms = float("inf")
        self.on_lost: collections.abc.Callable[[], None] | None = None
        self._reset_reply()

    def _reset_reply(self) -> None:
        self._headers: list[message.Header] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_done = False
        self._until_close = False

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""
        return self._sink is not None

    # Use.

    def send(
        self, data: bytes, request_id: bytes, is_head: bool, sink: Sink
    ) -> None:
        """Sends a request.

        Args:
            data: The whole request.
            request_id: The id that the reply must carry, if it carries one;
                empty where replies carry none.
            is_head: Whether it is a HEAD request.
            sink: Takes the outcome, once.
        """
        if self.lost or self._transport is None:
            sink(BrokenCall(reason="connection_lost", sent=False))
            return
        self._sink = sink
        self._request_id = request_id
        self._to_head = is_head
        self.last_used_ms = clock.now_ms()
        self._transport.write(data)

    def close(self) -> None:
        """Ends the connection; a call in progress is dropped silently."""
        self._sink = None
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses what came; bytes that no call waits for spoil the connection.

        They belong to no request: an answer that came twice, or late.
        """
        if self._sink is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._break("not_http")

    def eof_received(self) -> bool:
        """Ends a reply that lasts until the connection closes."""
        if self._sink is not None and self._head_done and self._until_close:
            self.reusable = False
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends a call in progress."""
        self.lost = True
        self.reusable = False
        self._break("connection_closed" if exc is None else "connection_reset")
        if self.on_lost is not None:
            self.on_lost()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a reply."""
        if self._sink is None:
            # A second reply follows the one that was asked for.
            self.reusable = False
        self._reset_reply()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Notes how the body is framed."""
        self._head_done = True
        status = self._parser.get_status_code()
        framed = any(
            name.lower() in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        bodyless = status in message.NO_BODY_STATUSES
        self._until_close = not framed and not bodyless
        if self._to_head and status >= INFORMATIONAL_LIMIT:
            # The parser would wait for a body that never comes.
            self.reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > REPLY_LIMIT_BYTES:
            self._break("reply_too_large")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Takes a whole reply."""
        if self._parser.get_status_code() < INFORMATIONAL_LIMIT:
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._complete()

    # Outcomes.

    def _complete(self) -> None:
        if self._sink is None:
            return
        reply = message.Reply(
            status=self._parser.get_status_code(),
            headers=tuple(self._headers),
            body=b"".join(self._body),
        )
        carried = reply.value(self._id_header)
        if carried and self._request_id and carried != self._request_id:
            # A late reply to an earlier call; ours is still to come.
            self.reusable = False
            return
        self._note_keep_alive(reply)
        self.last_used_ms = clock.now_ms()
        self._finish(reply)

    def _note_keep_alive(self, reply: message.Reply) -> None:
        for each in reply.value(b"keep-alive").split(b","):
            name, _, value = each.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.idle_limit_ms = int(value) * message.MS_PER_S

    def _break(self, reason: str) -> None:
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()
        if self._sink is not None:
            self._finish(BrokenCall(reason=reason, sent=True))

    def _finish(self, outcome: Outcome) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink(outcome)
