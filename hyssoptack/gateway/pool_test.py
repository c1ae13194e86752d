"""Detection of an upstream's exit by its connections."""

import asyncio
import time

import pytest

from hyssoptack.core import timeouts
from hyssoptack.core import traffic
from hyssoptack.gateway import callrequest
from hyssoptack.gateway import pool
from hyssoptack.gateway import upstreampool
from hyssoptack.http1 import httpclient
from hyssoptack.http1 import message
from hyssoptack.standins import fakeupstream

WAIT_S = 2.0
LIMIT_COUNT = 9


class _Caller:
    """Calls one upstream and records the calls that its exit broke."""

    def __init__(self, called: fakeupstream.FakeUpstream):
        self.pools = pool.Pools(b"x-request-id")
        self.pools.context.on_upstream_exit = lambda _, jobs: (
            self.exited_jobs.append(jobs)
        )
        self.exited_jobs: list[tuple[callrequest.CallRequest, ...]] = []
        self._upstream = traffic.Upstream(
            upstream_id=called.upstream_id,
            service="desk",
            address=called.address,
            failure_domain="north",
            slot_count=3,
            draining=False,
            cold_ms=0.0,
        )

    async def call(self, path: bytes) -> httpclient.Outcome:
        """Makes a call and returns its outcome."""
        future = asyncio.get_running_loop().create_future()
        headers = [
            (b"X-Request-Id", b"r1"),
            (b"X-Expected-Instance", self._upstream.expected_id.encode()),
        ]
        job = callrequest.CallRequest(
            upstream=self._upstream,
            build_request=lambda: message.request_bytes(
                b"GET", path, headers, b""
            ),
            request_id=b"r1",
            is_head=False,
            needs_new_connection=False,
            needs_recent_connection=False,
            on_outcome=future.set_result,
            fingerprint=path.decode(),
        )
        self.pools.call(job, LIMIT_COUNT)
        async with asyncio.timeout(WAIT_S):
            return await future

    async def wait_for_exit(self) -> None:
        """Waits until an upstream's exit is reported."""
        async with asyncio.timeout(WAIT_S):
            while not self.exited_jobs:
                await asyncio.sleep(0.005)


def test_an_upstreams_exit_reports_its_calls_in_progress():
    async def test():
        called = fakeupstream.FakeUpstream("i-1")
        called.behaviour.crashes_on = b"/bad"
        called.behaviour.delay_ms = 20.0
        await called.start()
        caller = _Caller(called)
        await asyncio.gather(caller.call(b"/bad/1"), caller.call(b"/beside/1"))
        await caller.wait_for_exit()
        called.stop()
        jobs = [each for jobs in caller.exited_jobs for each in jobs]
        names = {each.fingerprint for each in jobs}
        assert names == {"/bad/1", "/beside/1"}

    asyncio.run(test())


def test_an_exit_is_detected_if_the_first_check_is_still_accepted():
    # The system of an exiting process may accept a connection and reset it.
    async def test():
        called = fakeupstream.FakeUpstream("i-1")
        accepted = []

        async def accept(reader, writer):
            accepted.append(writer)
            if len(accepted) == 1:
                await reader.readuntil(b"\r\n\r\n")
            else:
                server.close()
            writer.transport.abort()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        called.address = f"127.0.0.1:{port}"
        caller = _Caller(called)
        broken = await caller.call(b"/bad/1")
        assert broken.upstream_exited
        assert len(accepted) == 2

    asyncio.run(test())


def test_a_single_lost_connection_is_not_taken_for_an_exit():
    async def test():
        called = fakeupstream.FakeUpstream("i-1")
        called.behaviour.reset_count = 1
        await called.start()
        caller = _Caller(called)
        broken = await caller.call(b"/one/1")
        assert isinstance(broken, httpclient.BrokenCall)
        await asyncio.sleep(0.1)
        assert not caller.exited_jobs
        # The connection of the exit check carries the next call.
        opened_count = caller.pools.context.opened_count
        reply = await caller.call(b"/one/2")
        assert isinstance(reply, message.Reply)
        assert caller.pools.context.opened_count == opened_count
        called.stop()

    asyncio.run(test())


def test_a_stop_of_this_process_is_no_connect_timeout():
    # A connect timeout ejects the upstream; the callers of the only one of a
    # service were refused.
    async def test():
        called = fakeupstream.FakeUpstream("i-0")
        await called.start()
        caller = _Caller(called)
        running = asyncio.create_task(caller.call(b"/x"))
        await asyncio.sleep(0)
        stop_s = (
            upstreampool.CONNECT_TIMEOUT_MS + 2 * timeouts.STOP_MIN_MS
        ) / 1e3
        asyncio.get_running_loop().call_soon(time.sleep, stop_s)
        outcome = await running
        assert isinstance(outcome, message.Reply), outcome
        called.stop()

    asyncio.run(test())


@pytest.mark.parametrize(
    "address", ["a..b:80", "x" * 300 + ":80", "a\x00b:80", "nowhere", "h:x"]
)
def test_a_call_to_an_address_that_is_none_fails_at_once(address):
    # The error was lost with its task, so that the call had no outcome and the
    # caller's request waited until its deadline.
    async def test():
        called = fakeupstream.FakeUpstream("i-1")
        called.address = address
        outcome = await _Caller(called).call(b"/a")
        assert isinstance(outcome, httpclient.BrokenCall)
        assert not outcome.sent

    asyncio.run(test())


def test_a_call_in_its_handshake_does_not_reach_an_upstream_that_left():
    async def test():
        called = fakeupstream.FakeUpstream("i-1")
        await called.start()
        caller = _Caller(called)
        calling = asyncio.create_task(caller.call(b"/one"))
        await asyncio.sleep(0)
        caller.pools.keep_only(())
        outcome = await calling
        called.stop()
        assert outcome == httpclient.BrokenCall(
            reason=upstreampool.WITHDRAWN, sent=False
        )
        assert not called.run_counts

    asyncio.run(test())


def test_a_call_cancelled_in_the_step_of_its_start_uses_up_no_connection():
    # Its task never ran, so that the connection was counted as open for good.
    # After as many calls as the limit allows, the upstream was not reached.
    async def test():
        called = fakeupstream.FakeUpstream("i-1")
        await called.start()
        caller = _Caller(called)
        job = callrequest.CallRequest(
            upstream=caller._upstream,
            build_request=lambda: b"",
            request_id=b"r0",
            is_head=False,
            needs_new_connection=False,
            needs_recent_connection=False,
            on_outcome=lambda _: None,
        )
        for _ in range(2 * LIMIT_COUNT):
            caller.pools.call(job, LIMIT_COUNT).cancel()
        await asyncio.sleep(0)
        answered = await caller.call(b"/one/1")
        assert answered.status == 200
        called.stop()

    asyncio.run(test())
