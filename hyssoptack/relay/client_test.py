"""Tests of calls to upstreams against one that answers on a socket."""

import asyncio
import http.server
import threading
import time
import types

import uvloop

from hyssoptack.core import action
from hyssoptack.relay import client

LEFT_MS = 2_000.0
ANSWERS_AFTER_S = 0.1
STANDS_STILL_S = 2.5
ASKED = action.Action(
    idempotency_key="key",
    service="service",
    subject="Awa",
    body_text="",
    deadline_ms=1_000,
)


class _Upstream(http.server.BaseHTTPRequestHandler):
    """Answers an action after a while, in a thread of its own."""

    def do_POST(self) -> None:  # noqa: N802
        self.server.arrived.set()
        time.sleep(ANSWERS_AFTER_S)
        body = b'{"receipt": "r-1"}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_args) -> None:
        """Writes nothing."""


async def _act_beside_a_stall(server) -> client.ActionResult:
    """Sends an action; the process stands still until its time is over."""
    upstream = types.SimpleNamespace(
        address=f"127.0.0.1:{server.server_address[1]}"
    )
    called = client.UpstreamClient()
    call = asyncio.ensure_future(
        called.send_action(upstream, ASKED, "a1", LEFT_MS)
    )
    while not server.arrived.is_set():
        assert not call.done(), "its time was over before it arrived"
        await asyncio.sleep(0.001)
    time.sleep(STANDS_STILL_S)
    try:
        return await call
    finally:
        await called.close()


def test_an_answer_that_came_while_the_process_stood_still_is_taken():
    # uvloop runs timers before it reads: "may have run" would be told of an
    # action whose receipt lies in the socket.
    server = http.server.HTTPServer(("127.0.0.1", 0), _Upstream)
    server.arrived = threading.Event()
    threading.Thread(target=server.handle_request, daemon=True).start()
    result = uvloop.run(_act_beside_a_stall(server))
    server.server_close()
    assert result == client.DidRun(receipt="r-1")
