"""Tests of the upstream client against an HTTP server on a socket."""

import asyncio
import http.server
import threading
import time
import types

import uvloop

from hyssoptack.core import action
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
    """Replies to an action after a delay, on a thread of its own."""

    def do_POST(self) -> None:  # noqa: N802
        self.server.arrived.set()
        time.sleep(REPLY_DELAY_S)
        body = b'{"receipt": "r-1"}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_args) -> None:
        """Suppresses the access log."""


async def _send_action_during_stall(server) -> client.ActionResult:
    """Sends an action and blocks the event loop until its deadline is past."""
    upstream = types.SimpleNamespace(
        address=f"127.0.0.1:{server.server_address[1]}"
    )
    upstream_client = client.UpstreamClient()
    call = asyncio.ensure_future(
        upstream_client.send_action(upstream, REQUEST, "a1", REMAINING_MS)
    )
    while not server.arrived.is_set():
        assert not call.done(), "the deadline passed before the request arrived"
        await asyncio.sleep(0.001)
    time.sleep(STALL_S)
    try:
        return await call
    finally:
        await upstream_client.close()


def test_receipt_received_during_a_process_stall_is_returned():
    # uvloop runs timers before it reads sockets. After a stall, the client
    # would report "may have run" although the receipt is already in the
    # socket.
    server = http.server.HTTPServer(("127.0.0.1", 0), _Upstream)
    server.arrived = threading.Event()
    threading.Thread(target=server.handle_request, daemon=True).start()
    result = uvloop.run(_send_action_during_stall(server))
    server.server_close()
    assert result == client.DidRun(receipt="r-1")
