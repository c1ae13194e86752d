"""Simulated gateway callers.

They reuse some connections, open others, and disconnect at times before the
response.
"""

import asyncio
import dataclasses
import itertools
import random

from hyssoptack.core import clock
from hyssoptack.gateway import harness
from hyssoptack.http1 import message
from soak import environment
from soak import teams

DEADLINE_MS = 1_500
ANSWER_LIMIT_S = 3.0
"""Time to wait for a response. It exceeds every request deadline, so a
request without a response by then was held too long."""

LEAVING_RATIO = 0.06
KEPT_RATIO = 0.7
THINK_RANGE_S = (0.0, 0.06)

CRASHING_CALLER_NUMBER = 0xBAD
LATE_CALLER_NUMBER = 0x1000
"""Number of the first caller that sends a single request."""

CRASH_PAUSE_RANGE_S = (0.05, 0.5)
"""Pause between two crashing requests. It is shorter than the 2 s after which a
crashed upstream restarts."""

PATHS = (
    environment.SINGLE_PATH,
    environment.MOVED_PATH,
    environment.NON_IDEMPOTENT_PATH,
    environment.FANOUT_PATH,
    environment.FANOUT_PATH,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestRecord:
    """A request that was sent, with its outcome and response.

    Attributes:
        request_id: Value of its `X-Request-Id` header.
        gateway: Name of the gateway that the request was sent to.
        path: Path prefix of the route.
        sent_ms: Monotonic time at which the last byte was sent.
        ended_ms: Monotonic time at which the response arrived, the connection
            ended or the caller stopped waiting.
        outcome: `answered`, `cut` (connection closed without response),
            `unanswered` (no response within the limit), `left` (the caller
            disconnected) or `unconnected` (connection failed).
        response: The response; its status is 0 if there is none.
        key: The key that it was sent with; empty if it had none.
    """

    request_id: str
    gateway: str
    path: str
    sent_ms: float
    ended_ms: float
    outcome: str
    response: harness.Response
    key: str = ""


_NO_RESPONSE = harness.Response(status=0, headers={}, body=b"")


class Caller:
    """A caller that sends one request after the other."""

    def __init__(
        self,
        number: int,
        seed: int,
        gateways: dict[str, str],
        identity: teams.CallerIdentity | None = None,
    ):
        self._number = number
        self._identity = identity
        self._credentials = teams.Credentials()
        self._gateways = gateways
        self._random = random.Random(f"{seed}/{number}")
        self._idle_connections: dict[
            str, tuple[asyncio.StreamReader, asyncio.StreamWriter]
        ] = {}
        self.sent_requests: list[RequestRecord] = []

    async def send_until(self, stopped: asyncio.Event) -> None:
        """Sends requests until the event is set, then closes connections."""
        for serial in itertools.count():
            if stopped.is_set():
                break
            await self._send_next(f"{self._number:x}-{serial:x}")
            await asyncio.sleep(self._random.uniform(*THINK_RANGE_S))
        for _, writer in self._idle_connections.values():
            writer.close()

    async def send_one(self) -> None:
        """Sends one request."""
        await self._send_next(f"{self._number:x}-0")

    async def _send_next(self, request_id: str) -> None:
        path = self._random.choice(PATHS)
        await self._send(request_id, path, environment.NORMAL_SUFFIX)

    async def _send(
        self, request_id: str, path: str, path_suffix: bytes
    ) -> None:
        gateway = self._random.choice(tuple(self._gateways))
        method = "POST" if path == environment.NON_IDEMPOTENT_PATH else "GET"
        body = b"book" if path == environment.NON_IDEMPOTENT_PATH else b""
        if self._identity is not None:
            self._credentials = self._identity.next_credentials()
        data = message.request_bytes(
            method.encode(),
            path.encode() + path_suffix,
            [
                (b"Host", environment.HOST.encode()),
                (b"X-Request-Id", request_id.encode()),
                (b"X-Request-Deadline", b"%d" % DEADLINE_MS),
                *self._credentials.fields,
            ],
            body,
        )
        sent_ms = clock.now_ms()
        try:
            reader, writer = await self._connection(gateway)
        except OSError:
            self._record(request_id, gateway, path, sent_ms, "unconnected")
            return
        writer.write(data)
        sent_ms = clock.now_ms()
        await self._await_response(
            request_id, gateway, path, sent_ms, reader, writer
        )

    async def _await_response(
        self,
        request_id: str,
        gateway: str,
        path: str,
        sent_ms: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        leaves = self._random.random() < LEAVING_RATIO
        limit_s = (
            self._random.uniform(0.002, 0.02) if leaves else ANSWER_LIMIT_S
        )
        try:
            async with asyncio.timeout(limit_s):
                response = await harness.read_response(reader)
        except TimeoutError:
            writer.transport.abort()
            outcome = "left" if leaves else "unanswered"
            self._record(request_id, gateway, path, sent_ms, outcome)
            return
        except (asyncio.IncompleteReadError, ConnectionError):
            response = _NO_RESPONSE
        outcome = "answered" if response.status else "cut"
        closes = response.headers.get("connection", "").lower() == "close"
        if (
            response.status
            and not closes
            and self._random.random() < KEPT_RATIO
        ):
            self._idle_connections[gateway] = (reader, writer)
        else:
            writer.close()
        self._record(request_id, gateway, path, sent_ms, outcome, response)

    async def _connection(
        self, gateway: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        idle = self._idle_connections.pop(gateway, None)
        if idle is not None and not idle[0].at_eof():
            return idle
        host, _, port = self._gateways[gateway].rpartition(":")
        return await asyncio.open_connection(host, int(port))

    def _record(
        self,
        request_id: str,
        gateway: str,
        path: str,
        sent_ms: float,
        outcome: str,
        response: harness.Response = _NO_RESPONSE,
    ) -> None:
        self.sent_requests.append(
            RequestRecord(
                request_id=request_id,
                gateway=gateway,
                path=path,
                sent_ms=sent_ms,
                ended_ms=clock.now_ms(),
                outcome=outcome,
                response=response,
                key=self._credentials.key,
            )
        )


class CrashingCaller(Caller):
    """A caller that repeatedly sends a request that crashes upstreams."""

    def __init__(
        self,
        path: str,
        seed: int,
        gateways: dict[str, str],
        identity: teams.CallerIdentity | None = None,
    ):
        super().__init__(CRASHING_CALLER_NUMBER, seed, gateways, identity)
        self._path = path

    async def _send_next(self, request_id: str) -> None:
        await asyncio.sleep(self._random.uniform(*CRASH_PAUSE_RANGE_S))
        await self._send(request_id, self._path, environment.CRASHING_SUFFIX)
