"""Random calls, cancels and losses: no connection slot is lost."""

import asyncio
import errno

import hypothesis
from hypothesis import strategies

from hyssoptack.core import traffic
from hyssoptack.gateway import callrequest
from hyssoptack.gateway import poolcontext
from hyssoptack.gateway import upstreampool

LIMIT_COUNT = 3
SETTLE_STEP_COUNT = 200
SETTLE_STEP_S = 0.001
"""Step of the time in which exit checks end; one waits 2 ms for a reset."""

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class _Transport:
    """A transport that loses its connection in the next step."""

    def __init__(self, loop, protocol):
        self._loop = loop
        self._protocol = protocol
        self.is_lost = False
        self.is_busy = False

    def write(self, _data):
        self.is_busy = True

    def abort(self):
        if not self.is_lost:
            self.is_lost = True
            self._loop.call_soon(self._protocol.connection_lost, None)

    def reply(self):
        self.is_busy = False
        self._protocol.data_received(REPLY)


class _Network:
    """Attempts to connect, which end as the test says."""

    def __init__(self, loop):
        self._loop = loop
        self.attempts = []
        self.transports = []
        loop.create_connection = self._create_connection

    async def _create_connection(self, new_protocol, _host, _port):
        attempt = self._loop.create_future()
        self.attempts.append(attempt)
        try:
            is_lost_at_once = await attempt
        finally:
            if attempt in self.attempts:
                self.attempts.remove(attempt)
        protocol = new_protocol()
        transport = _Transport(self._loop, protocol)
        protocol.connection_made(transport)
        self.transports.append(transport)
        if is_lost_at_once:
            transport.is_lost = True
            protocol.connection_lost(ConnectionResetError())
        return transport, protocol

    def end_attempt(self, number, how):
        attempts = [each for each in self.attempts if not each.done()]
        if not attempts:
            return
        attempt = attempts[number % len(attempts)]
        match how:
            case "accept" | "accept_and_lose":
                attempt.set_result(how == "accept_and_lose")
            case "refuse":
                attempt.set_exception(OSError(errno.ECONNREFUSED, "refused"))
            case "reset":
                attempt.set_exception(OSError(errno.ECONNRESET, "reset"))

    def end_call(self, number, how):
        transports = [
            each
            for each in self.transports
            if not each.is_lost and (each.is_busy or how == "lose")
        ]
        if not transports:
            return
        transport = transports[number % len(transports)]
        if how == "reply":
            transport.reply()
        else:
            transport.abort()


def _new_job():
    return callrequest.CallRequest(
        upstream=None,
        build_request=lambda: b"GET / HTTP/1.1\r\n\r\n",
        request_id=b"",
        is_head=False,
        needs_new_connection=False,
        needs_recent_connection=False,
        on_outcome=lambda _: None,
        fingerprint="f",
    )


def _new_pool():
    upstream = traffic.Upstream(
        upstream_id="i-1",
        service="desk",
        address="127.0.0.1:1",
        failure_domain="north",
        slot_count=3,
        draining=False,
        cold_ms=0.0,
    )
    created = upstreampool.UpstreamPool(
        poolcontext.PoolContext(), upstream, b"x-request-id"
    )
    created.slots.limit_count = LIMIT_COUNT
    return created


async def _settle(network, pool, calls):
    """Ends all calls and attempts, and waits until nothing is in progress."""
    for each in calls:
        each.cancel()
    for _ in range(SETTLE_STEP_COUNT):
        network.end_attempt(0, "refuse")
        await asyncio.sleep(SETTLE_STEP_S)
        if not network.attempts and pool._exit_check is None:
            break
    await asyncio.sleep(0)
    await asyncio.sleep(0)


async def _play(steps):
    network = _Network(asyncio.get_running_loop())
    pool = _new_pool()
    calls = []
    for kind, number in steps:
        match kind:
            case "start":
                calls.append(pool.start(_new_job()))
            case "cancel" if calls:
                calls[number % len(calls)].cancel()
            case "accept" | "accept_and_lose" | "refuse" | "reset":
                network.end_attempt(number, kind)
            case "reply" | "lose":
                network.end_call(number, kind)
            case "withdraw":
                pool.is_withdrawn = bool(number % 2)
                pool.withdraw()
            case _:
                await asyncio.sleep(0)
    await _settle(network, pool, calls)
    load = pool.load(0.0)
    assert load.used_count == load.idle_count
    assert not load.waiting_count
    pool.close_idle(0.0)
    await asyncio.sleep(0)
    assert pool.empty


_KINDS = (
    *3 * ("start",),
    *2 * ("cancel",),
    *2 * ("accept",),
    "accept_and_lose",
    "refuse",
    "reset",
    *2 * ("reply",),
    "lose",
    "withdraw",
    *4 * ("step",),
)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(_KINDS), strategies.integers(0, 5)
        ),
        max_size=40,
    )
)
def test_all_slots_are_free_once_all_calls_have_ended(steps):
    # A call that was cancelled before its attempt to connect began, and a
    # connection that was lost as it was made, each used up a slot for good.
    asyncio.run(_play(steps))
