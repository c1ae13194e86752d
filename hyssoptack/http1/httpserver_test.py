"""Tests of one caller's connection: order of replies, and timeouts."""

import asyncio
import socket
import threading
import time

import pytest
import uvloop

from hyssoptack.core import clock
from hyssoptack.core import stops
from hyssoptack.core import traffic
from hyssoptack.http1 import httpserver
from hyssoptack.http1 import message

VALID = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
INVALID = b"nonsense\r\n\r\n"


class _Transport(asyncio.Transport):
    """Records what a connection writes."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.closed = False

    def write(self, data):
        self.written += data

    def is_closing(self):
        return self.closed

    def can_write_eof(self):
        return True

    def write_eof(self):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def close(self):
        self.closed = True


def _connect():
    """Returns a connection, its transport and the exchanges it starts."""
    exchanges = []
    server = httpserver.Server(handler=exchanges.append)
    connection = server.new_connection()
    transport = _Transport()
    connection.connection_made(transport)
    return connection, transport, exchanges


def _answer(exchange):
    body = b"answer to " + exchange.request.target
    exchange.answer(message.Reply(status=200, headers=(), body=body))


def _replies(transport):
    """Returns the status and the body of each reply."""
    replies = []
    rest = transport.written
    while rest:
        head, _, rest = rest.partition(b"\r\n\r\n")
        fields = head.lower().split(b"\r\n")
        size = next(
            int(each.split(b":")[1])
            for each in fields
            if each.startswith(b"content-length")
        )
        replies.append((int(fields[0].split()[1]), rest[:size]))
        rest = rest[size:]
    return replies


def test_an_error_does_not_overtake_the_answer_to_a_queued_request():
    # Callers match replies by their order: the second request's caller got the
    # error that invalid input behind it caused.
    async def test():
        connection, transport, exchanges = _connect()
        connection.data_received(VALID % 1 + VALID % 2)
        _answer(exchanges[0])
        # The next request is queued and starts in the next pass of the loop.
        connection.data_received(INVALID)
        await asyncio.sleep(0)
        _answer(exchanges[1])
        replies = _replies(transport)
        assert [status for status, _ in replies] == [200, 200, 400]
        assert [body for _, body in replies[:2]] == [
            b"answer to /1",
            b"answer to /2",
        ]

    asyncio.run(test())


def test_a_connection_is_closed_after_invalid_input_behind_a_request():
    # It stayed open without being read, so its caller waited for nothing.
    async def test():
        connection, transport, exchanges = _connect()
        connection.data_received(VALID % 1 + INVALID)
        assert not transport.written
        _answer(exchanges[0])
        assert [status for status, _ in _replies(transport)] == [200, 400]
        await asyncio.sleep(httpserver.LINGER_S + 0.1)
        assert transport.closed

    asyncio.run(test())


def test_invalid_input_on_an_idle_connection_gets_its_error_at_once():
    async def test():
        connection, transport, _ = _connect()
        connection.data_received(INVALID)
        assert [status for status, _ in _replies(transport)] == [400]

    asyncio.run(test())


LIMITS = traffic.Limits(header_timeout_ms=400.0, idle_timeout_ms=400.0)
STOP_S = 1.0


def _statuses_around_stop(
    port: int, pieces: tuple[bytes, ...], stop_begins: threading.Event
) -> list[int]:
    """Sends the first piece before a stop, each other one in it or after it.

    Returns:
        The status of each response until the connection was closed or silent.
    """
    with socket.create_connection(("127.0.0.1", port), timeout=1.0) as caller:
        caller.sendall(pieces[0])
        received = b""
        if pieces[0].endswith(b"\r\n\r\n"):
            received = caller.recv(65_536)
        time.sleep(0.1)
        stop_begins.set()
        for wait_s, piece in zip((0.6, 0.45), pieces[1:], strict=False):
            time.sleep(wait_s)
            caller.sendall(piece)
        try:
            while data := caller.recv(65_536):
                received += data
        except (TimeoutError, ConnectionResetError):
            pass
    heads = received.split(b"HTTP/1.1 ")[1:]
    return [int(each.split()[0]) for each in heads]


async def _play_stop(pieces: tuple[bytes, ...]) -> list[int]:
    server = httpserver.Server(handler=_answer, limits=LIMITS)
    loop = asyncio.get_running_loop()
    opened = await loop.create_server(server.new_connection, "127.0.0.1", 0)
    port = opened.sockets[0].getsockname()[1]
    checks = asyncio.ensure_future(server.close_timed_out_connections())
    stop_begins = threading.Event()
    statuses = loop.run_in_executor(
        None, _statuses_around_stop, port, pieces, stop_begins
    )
    while not stop_begins.is_set():
        await asyncio.sleep(0.005)
    time.sleep(STOP_S)
    result = await statuses
    checks.cancel()
    opened.close()
    return result


@pytest.mark.parametrize(
    ("pieces", "expected"),
    [
        pytest.param((VALID % 1, VALID % 2), [200, 200], id="sent_in_the_stop"),
        pytest.param(
            (VALID % 1, b"", VALID % 2), [200, 200], id="sent_after_the_stop"
        ),
        pytest.param(
            ((VALID % 1)[:9], b"", (VALID % 1)[9:]), [200], id="head_continued"
        ),
    ],
)
def test_a_stop_of_the_process_times_out_no_caller(pieces, expected):
    # Guards against connections closed with a request in them, and requests
    # refused with 408, because this process stood still.
    assert uvloop.run(_play_stop(pieces)) == expected


def _check_timeouts(connection):
    now_ms = clock.now_ms() + 2 * LIMITS.idle_timeout_ms
    own_stops = stops.StopDetector(LIMITS.idle_timeout_ms, now_ms)
    connection.check_timeouts(now_ms, own_stops)


@pytest.mark.parametrize(
    "close", [_check_timeouts, lambda connection: connection.close_if_idle()]
)
def test_a_connection_with_unread_input_is_not_closed_as_idle(close):
    # Guards against a request lost because the timer, or a planned stop, runs
    # before its socket is read, in a process that is only busy.
    async def test():
        server = httpserver.Server(handler=_answer, limits=LIMITS)
        loop = asyncio.get_running_loop()
        opened = await loop.create_server(server.new_connection, "127.0.0.1", 0)
        with socket.create_connection(
            opened.sockets[0].getsockname()
        ) as caller:
            await asyncio.sleep(0.05)
            (connection,) = server.connections
            caller.sendall(VALID % 1)
            time.sleep(0.02)
            close(connection)
            caller.settimeout(0)
            await asyncio.sleep(0.05)
            assert caller.recv(65_536).startswith(b"HTTP/1.1 200")
        opened.close()

    uvloop.run(test())


def test_a_stop_answers_the_requests_that_were_read_behind_another():
    # The connection closed after the first answer, and requests that had been
    # read behind it got none.
    async def test():
        connection, transport, exchanges = _connect()
        connection.data_received(b"".join(VALID % n for n in range(3)))
        connection._server.closing = True
        for number in range(3):
            exchanges[number].answer(
                message.Reply(status=200, headers=(), body=b"%d" % number)
            )
            assert transport.closed == (number == 2)
            await asyncio.sleep(0)
        assert transport.written.count(b"HTTP/1.1 200") == 3
        assert transport.written.count(b"Connection: close") == 1
        assert transport.written.endswith(b"2")

    asyncio.run(test())


def test_only_a_request_that_is_not_complete_is_refused_as_such():
    async def test():
        for data, is_refused in (
            (b"", False),
            (VALID % 1, False),
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab",
                True,
            ),
            (b"GET / HT", True),
        ):
            connection, transport, _ = _connect()
            if data:
                connection.data_received(data)
            connection._server.refuse_incomplete("stopping", 50.0)
            assert transport.written.startswith(b"HTTP/1.1 503") == is_refused
            assert (b"Retry-After: 0.050" in transport.written) == is_refused

    asyncio.run(test())


def test_a_request_that_crosses_a_planned_close_is_refused_not_cut():
    # It was sent as the idle connection closed, and got no response.
    async def test():
        refused = []
        server = httpserver.Server(
            handler=_answer,
            limits=LIMITS,
            closing_refusal=message.problem_reply(503, "stopping", 100.0),
            on_refused=lambda *refusal: refused.append(refusal),
        )
        loop = asyncio.get_running_loop()
        opened = await loop.create_server(server.new_connection, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(
            *opened.sockets[0].getsockname()
        )
        writer.write(VALID % 1)
        first = await reader.readuntil(b"\r\n\r\n")
        assert first.startswith(b"HTTP/1.1 200")
        await reader.readexactly(len(b"answer to /1"))
        server.close_idle()
        writer.write(VALID % 2)
        async with asyncio.timeout(10.0):
            rest = await reader.read()
        assert rest.startswith(b"HTTP/1.1 503")
        assert b"Connection: close" in rest
        writer.close()
        opened.close()
        assert refused == [(503, "crossed_the_close")]

    uvloop.run(test())
