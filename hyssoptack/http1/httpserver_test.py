"""Tests of the order of replies on one caller's connection."""

import asyncio

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
