"""Requests of callers that are in progress when their instance ends."""

import asyncio
import json
import types

import pytest

from hyssoptack.core import query
from hyssoptack.core import refusal
from hyssoptack.entry import callerserver
from hyssoptack.gateway import harness
from hyssoptack.standins import ports

PROFILE = types.SimpleNamespace(
    deadline_ms=60_000, urgency=query.Urgency.URGENT
)
SERVICE = types.SimpleNamespace(profile="p", accepts_actions=True)
REQUESTS = {
    "/services/s/search": {"text": "oven"},
    "/services/s/actions": {"subject": "oven", "request": {}},
}


def _server(run_request):
    """Returns a server whose requests all end as `run_request` does."""
    front = types.SimpleNamespace(
        thread_count=4, client_timeout_ms=5_000.0, body_limit_bytes=4_096
    )
    settings = types.SimpleNamespace(
        front_address=f"127.0.0.1:{ports.free_port()}", front=front
    )
    state = types.SimpleNamespace(
        settings=settings,
        catalog=types.SimpleNamespace(
            services={"s": SERVICE}, profiles={"p": PROFILE}
        ),
        accepts_requests=lambda: True,
        is_leaving=lambda: True,
    )
    runner = types.SimpleNamespace(
        new_query_id=lambda: "q-1",
        run_query=run_request,
        run_action=run_request,
    )
    loop = asyncio.get_running_loop()
    server = callerserver.CallerServer(state, runner, runner, None, loop)
    return server, settings.front_address


@pytest.mark.parametrize("path", REQUESTS)
@pytest.mark.parametrize("is_late", [False, True])
def test_a_request_in_progress_is_answered_when_its_process_ends(path, is_late):
    # At the limit of the drain its connection was closed without a response.
    async def test():
        begun = asyncio.Event()

        async def run_request(_request):
            begun.set()
            await asyncio.Event().wait()

        server, address = _server(run_request)
        server.start()
        body = json.dumps(REQUESTS[path]).encode()
        data = (
            b"POST %s HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (path.encode(), len(body), body)
        )
        if is_late:
            server.end_requests()
        sending = asyncio.create_task(harness.send_raw(address, data))
        if not is_late:
            await asyncio.wait_for(begun.wait(), 5.0)
            server.end_requests()
        await sending
        await asyncio.to_thread(server.stop)
        response = sending.result()
        problem = json.loads(response.body)
        assert response.status == 504
        assert problem["reason"] == refusal.Reason.OUTCOME_UNKNOWN.value
        assert problem["ran"] == refusal.Ran.UNKNOWN.value
        assert server.open_request_count() == 0

    asyncio.run(test())
