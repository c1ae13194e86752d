"""HTTP/1.1 server: one protocol object per caller connection.

Requests of one connection are served one after the other. A request is served
only once its body is complete: bodies are small and bounded, and a complete
body can be sent again in a retry. A caller that closes its side of the
connection counts as disconnected, and its requests are cancelled.
"""

import asyncio
import collections
import collections.abc
import dataclasses

import httptools

from hyssoptack.core import clock
from hyssoptack.core import sockets
from hyssoptack.core import stops
from hyssoptack.core import timeouts
from hyssoptack.core import traffic
from hyssoptack.http1 import message

TIMEOUT_CHECK_PERIOD_S = 0.25
"""Interval between checks of caller timeouts, which are seconds long."""

# Checks that come later show a stop of this process.
_GAP_LIMIT_MS = (
    TIMEOUT_CHECK_PERIOD_S * timeouts.MS_PER_S + timeouts.STOP_MIN_MS
)

BODY_STALL_MS = 10_000.0
"""Longest pause within a body before the connection is closed: longer than the
retransmissions of a lossy link, too short for stalled connections to pile up.
"""

PIPELINE_LIMIT_COUNT = 8
"""Requests queued on one connection before reading is paused."""

LINGER_S = 0.5
"""Time for which input is still read and discarded after an error reply. It
allows for some round trips, so that the caller receives the reply before the
connection is closed."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Exchange:
    """A request in progress, which the handler answers once."""

    def __init__(
        self, connection: "CallerConnection", request: message.Request
    ):
        self.request = request
        self._connection = connection
        self._answered = False
        self.on_abandoned: collections.abc.Callable[[], None] | None = None

    def answer(self, reply: message.Reply) -> None:
        """Sends the reply; ignored if already answered or abandoned."""
        if self._answered:
            return
        self._answered = True
        self.on_abandoned = None
        self._connection.write_reply(self, reply)

    def abandon(self) -> None:
        """Discards later answers and notifies the handler of the disconnect."""
        self._answered = True
        if self.on_abandoned is not None:
            self.on_abandoned()


Handler = collections.abc.Callable[[Exchange], None]


@dataclasses.dataclass(kw_only=True)
class Server:
    """State that all connections of one port share.

    Attributes:
        handler: Called with each request to serve.
        limits: Limits in force; replaced when the configuration changes.
        connections: All open connections.
        closing: Whether connections are closed after their next reply.
        closing_refusal: Sent on an idle connection that is closed, for a
            request that crosses the close on its way: it is not read any more,
            and its caller would find a closed connection. None to send nothing.
        on_refused: Called with status and reason when input is rejected.
    """

    handler: Handler
    on_refused: collections.abc.Callable[[int, str], None] | None = None
    limits: traffic.Limits = dataclasses.field(default_factory=traffic.Limits)
    connections: set["CallerConnection"] = dataclasses.field(
        default_factory=set
    )
    closing: bool = False
    closing_refusal: message.Reply | None = None

    def new_connection(self) -> "CallerConnection":
        """Creates the protocol object of a new connection."""
        return CallerConnection(self)

    async def close_timed_out_connections(self) -> None:
        """Periodically checks the timeouts of all connections."""
        own_stops = stops.StopDetector(_GAP_LIMIT_MS, clock.now_ms())
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_PERIOD_S)
            now_ms = clock.now_ms()
            own_stops.check(now_ms)
            for each in tuple(self.connections):
                each.check_timeouts(now_ms, own_stops)

    def refuse_incomplete(self, reason: str, retry_after_ms: float) -> None:
        """Answers requests that have begun and were not read completely."""
        for each in tuple(self.connections):
            each.refuse_if_incomplete(reason, retry_after_ms)

    def close_idle(self) -> None:
        """Closes all connections on which no request has begun."""
        for each in tuple(self.connections):
            each.close_if_idle()


class CallerConnection(asyncio.Protocol):
    """Protocol object of one caller's connection."""

    def __init__(self, server: Server):
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self.lost = False
        self._closing = False
        self._closed_as_idle = False
        self._is_first = True
        self._last_activity_ms = clock.now_ms()
        self._queue: collections.deque[message.Request] = collections.deque()
        self._current: Exchange | None = None
        # The reply to invalid input behind requests that are not answered yet.
        self._refusal: message.Reply | None = None
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
        """Stores the transport and registers the connection."""
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandons the request in progress and discards queued ones."""
        self.lost = True
        self._server.connections.discard(self)
        self._queue.clear()
        current, self._current = self._current, None
        if current is not None:
            current.abandon()

    def eof_received(self) -> bool:
        """Returns False: a caller that closes its side has disconnected."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; refuses input that is not valid HTTP."""
        if self._closing:
            self._log_crossing_request()
            return
        self._last_activity_ms = clock.now_ms()
        if not self._started_ms:
            self._started_ms = self._last_activity_ms
        if not self._in_body:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrade_not_supported")
        except httptools.HttpParserError:
            self._refuse(400, "malformed_request")
        if not self._closing and self._in_head:
            self._check_head()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Resets the request state for a new request."""
        self._reset_request()
        self._in_head = True
        self._started_ms = self._last_activity_ms

    def on_url(self, url: bytes) -> None:
        """Stores a piece of the request target."""
        self._target += url
        self._check_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._headers.append((name, value))
        self._head_bytes += len(name) + len(value)

    def _check_head(self) -> None:
        """Refuses an incomplete head of over twice the limit.

        Bytes of parsed headers may be counted twice in `_head_bytes`: when
        received and when parsed. `on_headers_complete` checks the exact size.
        """
        if self._head_bytes > 2 * self._server.limits.max_header_bytes:
            self._refuse(431, "head_too_large")

    def on_headers_complete(self) -> None:
        """Checks the head's size and the Expect header before the body."""
        self._in_head = False
        self._in_body = True
        size = len(self._target) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        if size > self._server.limits.max_header_bytes:
            self._refuse(431, "head_too_large")
            return
        for name, value in self._headers:
            if name.lower() == b"expect" and not self._closing:
                self._expect(value)

    def _expect(self, value: bytes) -> None:
        if value.lower() != b"100-continue":
            self._refuse(417, "unknown_expectation")
        elif self._current is None and not self._queue:
            self._write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Stores a piece of the body, up to the configured limit."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._refuse(413, "body_too_large")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        if self._closing:
            return
        request = message.Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=tuple(self._headers),
            body=b"".join(self._body),
            received_ms=self._started_ms,
            keep_alive=self._parser.should_keep_alive(),
            is_first=self._is_first,
        )
        self._is_first = False
        self._reset_request()
        self._queue.append(request)
        if len(self._queue) >= PIPELINE_LIMIT_COUNT and self._transport:
            self._transport.pause_reading()
        self._serve_next()

    # Serving.

    def _serve_next(self) -> None:
        if self._current is not None or not self._queue or self.lost:
            return
        self._current = Exchange(self, self._queue.popleft())
        if not self._queue and self._transport:
            self._transport.resume_reading()
        self._server.handler(self._current)

    def write_reply(self, exchange: Exchange, reply: message.Reply) -> None:
        """Sends a reply, then closes or continues with the next request."""
        if self.lost or exchange is not self._current:
            return
        self._current = None
        # Requests that were read behind this one are answered before the
        # connection closes.
        closes = self._server.closing and not self._queue
        keep_alive = exchange.request.keep_alive and not closes
        is_head = exchange.request.method == b"HEAD"
        self._write(message.reply_bytes(reply, keep_alive, is_head))
        self._last_activity_ms = clock.now_ms()
        if not keep_alive:
            self._end()
        elif self._refusal is not None and not self._queue:
            self._send_refusal(self._refusal)
        else:
            asyncio.get_running_loop().call_soon(self._serve_next)

    def _refuse(
        self, status: int, reason: str, retry_after_ms: float | None = None
    ) -> None:
        """Rejects invalid input: reads no more, sends an error and closes.

        Replies are matched to requests by their order, so the error follows
        the answers to all requests before it.
        """
        if self._closing:
            return
        if self._server.on_refused is not None:
            self._server.on_refused(status, reason)
        self._closing = True
        reply = message.problem_reply(status, reason, retry_after_ms)
        if self._current is None and not self._queue:
            self._send_refusal(reply)
        else:
            self._refusal = reply

    def _send_refusal(self, reply: message.Reply) -> None:
        self._write(message.reply_bytes(reply, keep_alive=False))
        self._linger()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _linger(self) -> None:
        """Keeps reading for `LINGER_S`: closing now could lose the reply."""
        self._closing = True
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._end)

    def _end(self) -> None:
        self._closing = True
        self._queue.clear()
        if self._transport is not None:
            self._transport.close()

    # Timeouts.

    def _is_idle(self) -> bool:
        has_begun = self._in_head or self._in_body or self._started_ms
        return self._current is None and not self._queue and not has_begun

    def close_if_idle(self) -> None:
        """Closes the connection if no request has begun or waits on it."""
        if self._closing or not self._is_idle() or self._has_input():
            return
        if self._server.closing_refusal is None:
            self._end()
        else:
            self._closed_as_idle = True
            self._send_refusal(self._server.closing_refusal)

    def _log_crossing_request(self) -> None:
        """Logs once that a request came after its connection was closed."""
        if self._closed_as_idle and self._server.on_refused is not None:
            self._closed_as_idle = False
            self._server.on_refused(503, "crossed_the_close")

    def refuse_if_incomplete(self, reason: str, retry_after_ms: float) -> None:
        """Answers a request that has begun and was not read completely."""
        if self._current is None and not self._queue and not self._is_idle():
            self._refuse(503, reason, retry_after_ms)

    def check_timeouts(
        self, now_ms: float, own_stops: stops.StopDetector
    ) -> None:
        """Closes the connection on a timeout, with a 408 if a request began.

        Timers run before sockets are read, so a connection with unread input
        is left to its next check.

        Args:
            now_ms: Current time.
            own_stops: Stops of this process, in which no timeout runs out.
        """
        if self._current is not None or self._queue or self._closing:
            return
        limits = self._server.limits
        inactive_ms = own_stops.elapsed_ms(self._last_activity_ms, now_ms)
        if self._in_body:
            has_timed_out, reason = inactive_ms > BODY_STALL_MS, "body_timeout"
        elif self._started_ms:
            head_ms = own_stops.elapsed_ms(self._started_ms, now_ms)
            has_timed_out = head_ms > limits.header_timeout_ms
            reason = "head_timeout"
        else:
            has_timed_out, reason = inactive_ms > limits.idle_timeout_ms, ""
        if not has_timed_out or self._has_input():
            return
        if reason:
            self._refuse(408, reason)
        else:
            self._end()

    def _has_input(self) -> bool:
        connection = self._transport and self._transport.get_extra_info(
            "socket"
        )
        return bool(connection) and sockets.has_input(connection.fileno())
