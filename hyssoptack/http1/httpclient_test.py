"""Replies of upstreams with strange heads."""

import pytest

from hyssoptack.http1 import httpclient
from hyssoptack.http1 import message


class _Transport:
    """Records whether a connection was aborted."""

    def __init__(self):
        self.is_aborted = False

    def write(self, _data):
        pass

    def abort(self):
        self.is_aborted = True


def exchange(*received):
    """Returns the connection and the outcomes of a call with this reply."""
    outcomes = []
    connection = httpclient.UpstreamConnection(b"x-request-id")
    connection.connection_made(_Transport())
    connection.send(b"GET / HTTP/1.1\r\n\r\n", b"1", False, outcomes.append)
    for each in received:
        connection.data_received(each)
    return connection, outcomes


def reply(keep_alive):
    head = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=%s\r\n" % keep_alive
    return head + b"Content-Length: 2\r\n\r\nok"


@pytest.mark.parametrize("limit", [b"9" * 5_000, b"9" * 400, b"-1", b"\xb2"])
def test_a_reply_is_delivered_whatever_idle_limit_it_announces(limit):
    # A number without a float broke the parser's callback: a complete reply
    # was lost, and the caller of a request that may run only once got a 502.
    connection, outcomes = exchange(reply(limit))
    assert [each.body for each in outcomes] == [b"ok"]
    assert connection.idle_limit_ms == float("inf")


def test_the_announced_idle_limit_is_used():
    connection, _ = exchange(reply(b"5, max=100"))
    assert connection.idle_limit_ms == 5 * message.MS_PER_S
