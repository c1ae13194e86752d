"""The callers' side of HTTP/1.1: one protocol object a connection.

Requests of one connection are served one after the other. A request's body is
taken whole before it is served: bodies are small and bounded, and a whole body
can be sent again. A caller that closes its side has left, and the work for it
is cancelled.
"""

import asyncio
import collections
import collections.abc
import dataclasses

import httptools

from hyssoptack.core import clock
from hyssoptack.core import traffic
from hyssoptack.http1 import message

SWEEP_S = 0.25
"""How often timeouts of callers are looked at; they are seconds long."""

BODY_STALL_MS = 10_000.0
"""Longest pause within a body before the connection is given up: longer than a
lossy link's retransmissions, shorter than it takes to pile up connections."""

PIPELINE_LIMIT_COUNT = 8
"""Requests read ahead on one connection before reading is paused."""

LINGER_S = 0.5
"""How long a refused caller's further bytes are read and dropped: some round
trips, in which it can take the refusal in."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Exchange:
    """One request being served; the handler answers it once."""

    def __init__(
        self, connection: "CallerConnection", request: message.Request
    ):
        self.request = request
        self._connection = connection
        self._answered = False
        self.on_abandoned: collections.abc.Callable[[], None] | None = None

    def answer(self, reply: message.Reply) -> None:
        """Writes the answer; a second one, or one to nobody, is dropped."""
        if self._answered:
            return
        self._answered = True
        self.on_abandoned = None
        self._connection.write_reply(self, reply)

    def abandon(self) -> None:
        """Tells the handler that the caller went away."""
        self._answered = True
        if self.on_abandoned is not None:
            self.on_abandoned()


Handler = collections.abc.Callable[[Exchange], None]


@dataclasses.dataclass(kw_only=True)
class Server:
    """What the connections of one port share.

    Attributes:
        handler: Serves a request.
        limits: Limits in force; replaced with the configuration.
        connections: All open connections.
        closing: Whether connections are closed after their next answer.
        on_refused: Told of status and reason when input can't be taken.
    """

    handler: Handler
    on_refused: collections.abc.Callable[[int, str], None] | None = None
    limits: traffic.Limits = dataclasses.field(default_factory=traffic.Limits)
    connections: set["CallerConnection"] = dataclasses.field(
        default_factory=set
    )
    closing: bool = False

    def new_connection(self) -> "CallerConnection":
        """Returns the protocol of a new connection."""
        return CallerConnection(self)

    async def sweep(self) -> None:
        """Closes connections that took too long, while the server runs."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now_ms = clock.now_ms()
            for each in tuple(self.connections):
                each.check_timeouts(now_ms)

    def close_idle(self) -> None:
        """Closes the connections on which no request has begun."""
        for each in tuple(self.connections):
            each.close_if_idle()


class CallerConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, server: Server):
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self.lost = False
        self._ending = False
        self._fresh = True
        self._changed_ms = clock.now_ms()
        self._waiting: collections.deque[message.Request] = collections.deque()
        self._current: Exchange | None = None
        self._reset_request()

    def _reset_request(self) -> None:
        self._in_head = False
        self._in_body = False
        self._head_bytes = 0
        self._body_bytes = 0
        self._target = b""
        self._headers: list[message.Header] = []
        self._body: list[bytes] = []
        self._started_ms = 0.0

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels what is being served."""
        self.lost = True
        self._server.connections.discard(self)
        self._waiting.clear()
        current, self._current = self._current, None
        if current is not None:
            current.abandon()

    def eof_received(self) -> bool:
        """Takes the caller's close as its leaving."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parses what came."""
        if self._ending:
            return
        self._changed_ms = clock.now_ms()
        if not self._started_ms:
            self._started_ms = self._changed_ms
        if not self._in_body:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrade_not_supported")
        except httptools.HttpParserError:
            self._refuse(400, "malformed_request")
        if not self._ending and self._in_head:
            self._check_head()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._reset_request()
        self._in_head = True
        self._started_ms = self._changed_ms

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the target."""
        self._target += url
        self._check_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._headers.append((name, value))
        self._head_bytes += len(name) + len(value)

    def _check_head(self) -> None:
        if self._head_bytes > 2 * self._server.limits.max_header_bytes:
            self._refuse(431, "head_too_large")

    def on_headers_complete(self) -> None:
        """Checks the head before a body is taken."""
        self._in_head = False
        self._in_body = True
        size = len(self._target) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        if size > self._server.limits.max_header_bytes:
            self._refuse(431, "head_too_large")
            return
        for name, value in self._headers:
            if name.lower() == b"expect" and not self._ending:
                self._expect(value)

    def _expect(self, value: bytes) -> None:
        if value.lower() != b"100-continue":
            self._refuse(417, "unknown_expectation")
        elif self._current is None and not self._waiting:
            self._write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._refuse(413, "body_too_large")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues the whole request."""
        if self._ending:
            return
        request = message.Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=tuple(self._headers),
            body=b"".join(self._body),
            received_ms=self._started_ms,
            keep_alive=self._parser.should_keep_alive(),
            is_first=self._fresh,
        )
        self._fresh = False
        self._reset_request()
        self._waiting.append(request)
        if len(self._waiting) >= PIPELINE_LIMIT_COUNT and self._transport:
            self._transport.pause_reading()
        self._serve_next()

    # Serving.

    def _serve_next(self) -> None:
        if self._current is not None or not self._waiting or self.lost:
            return
        self._current = Exchange(self, self._waiting.popleft())
        if not self._waiting and self._transport:
            self._transport.resume_reading()
        self._server.handler(self._current)

    def write_reply(self, exchange: Exchange, reply: message.Reply) -> None:
        """Writes an answer and goes on with the next request."""
        if self.lost or exchange is not self._current:
            return
        self._current = None
        keep = exchange.request.keep_alive and not self._server.closing
        to_head = exchange.request.method == b"HEAD"
        self._write(message.reply_bytes(reply, keep, to_head))
        self._changed_ms = clock.now_ms()
        if not keep:
            self._end()
        else:
            asyncio.get_running_loop().call_soon(self._serve_next)

    def _refuse(self, status: int, reason: str) -> None:
        """Answers what can't be read, and ends the connection."""
        if self._ending:
            return
        if self._server.on_refused is not None:
            self._server.on_refused(status, reason)
        if self._current is None:
            reply = message.problem_reply(status, reason)
            self._write(message.reply_bytes(reply, keep_alive=False))
            self._linger()
        else:
            # The request in progress is answered first; then this ends.
            self._ending = True

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _linger(self) -> None:
        """Reads on for a moment, as closing now could destroy the answer."""
        self._ending = True
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._end)

    def _end(self) -> None:
        self._ending = True
        self._waiting.clear()
        if self._transport is not None:
            self._transport.close()

    # Time.

    def _is_idle(self) -> bool:
        begun = self._in_head or self._in_body or self._started_ms
        return self._current is None and not self._waiting and not begun

    def close_if_idle(self) -> None:
        """Closes the connection if no request has begun on it."""
        if self._is_idle():
            self._end()

    def check_timeouts(self, now_ms: float) -> None:
        """Ends the connection if the caller takes too long."""
        if self._current is not None or self._waiting:
            return
        if self._ending:
            return
        limits = self._server.limits
        quiet_ms = now_ms - self._changed_ms
        if self._in_body:
            if quiet_ms > BODY_STALL_MS:
                self._refuse(408, "body_timeout")
        elif self._started_ms:
            if now_ms - self._started_ms > limits.header_timeout_ms:
                self._refuse(408, "head_timeout")
        elif quiet_ms > limits.idle_timeout_ms:
            self._end()
