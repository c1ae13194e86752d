"""Tests of the upstream client against an HTTP server on a socket."""

import asyncio
import http.server
import threading
import time
import types

import uvloop

from hyssoptack.core import action
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.relay import client

REMAINING_MS = 2_000.0
REPLY_DELAY_S = 0.1
STALL_S = 2.5
REQUEST = action.Action(
    idempotency_key="key",
    service="service",
    subject="Awa",
    body_text="",
    deadline_ms=1_000,
)


class _Upstream(http.server.BaseHTTPRequestHandler):
    """Replies to a request after a delay, on a thread of its own."""

    def do_POST(self) -> None:  # noqa: N802
        self.server.arrived.set()
        time.sleep(REPLY_DELAY_S)
        body = self.server.reply_body
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_args) -> None:
        """Suppresses the access log."""


ASK = message.UpstreamAsk(call_id=1, upstream_id="u", index_version=1)
SUB_QUERY = message.SubQuery(
    origin="one",
    query_id="q",
    service="service",
    text="x",
    limit_count=10,
    urgency=query.Urgency.URGENT,
    remaining_ms=REMAINING_MS,
    asks=(ASK,),
)


async def _call_during_stall(server, send_call):
    """Makes a call and blocks the event loop until its deadline is past.

    Args:
        server: The upstream.
        send_call: Starts the call, given the client and the upstream.
    """
    upstream = types.SimpleNamespace(
        address=f"127.0.0.1:{server.server_address[1]}"
    )
    upstream_client = client.UpstreamClient()
    call = asyncio.ensure_future(send_call(upstream_client, upstream))
    while not server.arrived.is_set():
        assert not call.done(), "the deadline passed before the request arrived"
        await asyncio.sleep(0.001)
    time.sleep(STALL_S)
    try:
        return await call
    finally:
        await upstream_client.close()


def _play_stall(reply_body, send_call):
    server = http.server.HTTPServer(("127.0.0.1", 0), _Upstream)
    server.arrived = threading.Event()
    server.reply_body = reply_body
    threading.Thread(target=server.handle_request, daemon=True).start()
    result = uvloop.run(_call_during_stall(server, send_call))
    server.server_close()
    return result


def test_receipt_received_during_a_process_stall_is_returned():
    # uvloop runs timers before it reads sockets. After a stall, the client
    # would report "may have run" although the receipt is already in the
    # socket.
    result = _play_stall(
        b'{"receipt": "r-1"}',
        lambda sender, upstream: sender.send_action(
            upstream, REQUEST, "a1", REMAINING_MS
        ),
    )
    assert result == client.DidRun(receipt="r-1")


def test_answer_received_during_a_process_stall_is_returned():
    # Guards against a search refused although its answers lie in the sockets.
    result = _play_stall(
        b'{"query_id": "q", "version": 1, "held": [1], "low": 0, "high": 5, '
        b'"hits": []}',
        lambda sender, upstream: sender.search(
            upstream, ASK, SUB_QUERY, REMAINING_MS
        ),
    )
    assert result.status is message.CallStatus.ANSWERED


def test_an_upstream_that_does_not_answer_in_time_has_timed_out():
    server = http.server.HTTPServer(("127.0.0.1", 0), _Upstream)
    server.arrived = threading.Event()
    server.reply_body = b"{}"
    threading.Thread(target=server.handle_request, daemon=True).start()

    async def test():
        sender = client.UpstreamClient()
        upstream = types.SimpleNamespace(
            address=f"127.0.0.1:{server.server_address[1]}"
        )
        result = await sender.search(upstream, ASK, SUB_QUERY, 20.0)
        await sender.close()
        return result

    result = uvloop.run(test())
    server.server_close()
    assert result.status is message.CallStatus.TIMED_OUT
    assert result.service_ms < 1_000 * REPLY_DELAY_S
