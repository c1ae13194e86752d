"""Callers of the gateways: kept and new connections, and some who leave."""

import asyncio
import dataclasses
import itertools
import random

from hyssoptack.core import clock
from hyssoptack.gateway import harness
from hyssoptack.http1 import message
from soak import environment

DEADLINE_MS = 1_500
ANSWER_LIMIT_S = 3.0
"""Longer than any deadline: what is unanswered then was held too long."""

LEAVING_RATIO = 0.06
KEPT_RATIO = 0.7
THINK_RANGE_S = (0.0, 0.06)

BAD_NUMBER = 0xBAD
BAD_PAUSE_RANGE_S = (0.05, 0.5)
"""Between two of a caller that does not wait for upstreams' return (2 s)."""

PATHS = (
    environment.SINGLE_PATH,
    environment.MOVED_PATH,
    environment.NON_IDEMPOTENT_PATH,
    environment.FANOUT_PATH,
    environment.FANOUT_PATH,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestRecord:
    """One request and what became of it.

    Attributes:
        request_id: Its id.
        gateway: Who was asked.
        path: The route.
        sent_ms: When its last byte left.
        ended_ms: When the answer, or the connection's end, came.
        outcome: `answered`, `cut`, `unanswered`, `left` or `unconnected`.
        response: The answer; a status of 0 without one.
    """

    request_id: str
    gateway: str
    path: str
    sent_ms: float
    ended_ms: float
    outcome: str
    response: harness.Response


_NOTHING = harness.Response(status=0, headers={}, body=b"")


class Caller:
    """One caller: asks one request after the other."""

    def __init__(self, number: int, seed: int, gateways: dict[str, str]):
        self._number = number
        self._gateways = gateways
        self._dice = random.Random(f"{seed}/{number}")
        self._kept: dict[
            str, tuple[asyncio.StreamReader, asyncio.StreamWriter]
        ] = {}
        self.sent_requests: list[RequestRecord] = []

    async def send_until(self, over: asyncio.Event) -> None:
        """Asks until told that the run is over."""
        for serial in itertools.count():
            if over.is_set():
                break
            await self._ask(f"{self._number:x}-{serial:x}")
            await asyncio.sleep(self._dice.uniform(*THINK_RANGE_S))
        for _, writer in self._kept.values():
            writer.close()

    async def _ask(self, request_id: str) -> None:
        path = self._dice.choice(PATHS)
        await self._send(request_id, path, environment.NORMAL_SUFFIX)

    async def _send(self, request_id: str, path: str, tail: bytes) -> None:
        gateway = self._dice.choice(tuple(self._gateways))
        method = "POST" if path == environment.NON_IDEMPOTENT_PATH else "GET"
        body = b"book" if path == environment.NON_IDEMPOTENT_PATH else b""
        data = message.request_bytes(
            method.encode(),
            path.encode() + tail,
            [
                (b"Host", environment.HOST.encode()),
                (b"X-Request-Id", request_id.encode()),
                (b"X-Request-Deadline", b"%d" % DEADLINE_MS),
            ],
            body,
        )
        sent_ms = clock.now_ms()
        try:
            reader, writer = await self._connection(gateway)
        except OSError:
            self._note(request_id, gateway, path, sent_ms, "unconnected")
            return
        writer.write(data)
        sent_ms = clock.now_ms()
        await self._await_answer(
            request_id, gateway, path, sent_ms, reader, writer
        )

    async def _await_answer(
        self,
        request_id: str,
        gateway: str,
        path: str,
        sent_ms: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        leaves = self._dice.random() < LEAVING_RATIO
        limit_s = self._dice.uniform(0.002, 0.02) if leaves else ANSWER_LIMIT_S
        try:
            async with asyncio.timeout(limit_s):
                got = await harness.read_response(reader)
        except TimeoutError:
            writer.transport.abort()
            ended = "left" if leaves else "unanswered"
            self._note(request_id, gateway, path, sent_ms, ended)
            return
        except (asyncio.IncompleteReadError, ConnectionError):
            got = _NOTHING
        ended = "answered" if got.status else "cut"
        closes = got.headers.get("connection", "").lower() == "close"
        if got.status and not closes and self._dice.random() < KEPT_RATIO:
            self._kept[gateway] = (reader, writer)
        else:
            writer.close()
        self._note(request_id, gateway, path, sent_ms, ended, got)

    async def _connection(
        self, gateway: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        kept = self._kept.pop(gateway, None)
        if kept is not None and not kept[0].at_eof():
            return kept
        host, _, port = self._gateways[gateway].rpartition(":")
        return await asyncio.open_connection(host, int(port))

    def _note(
        self,
        request_id: str,
        gateway: str,
        path: str,
        sent_ms: float,
        ended: str,
        got: harness.Response = _NOTHING,
    ) -> None:
        self.sent_requests.append(
            RequestRecord(
                request_id=request_id,
                gateway=gateway,
                path=path,
                sent_ms=sent_ms,
                ended_ms=clock.now_ms(),
                outcome=ended,
                response=got,
            )
        )


class CrashingCaller(Caller):
    """A caller that sends a request time and again that crashes upstreams."""

    def __init__(self, path: str, seed: int, gateways: dict[str, str]):
        super().__init__(BAD_NUMBER, seed, gateways)
        self._path = path

    async def _ask(self, request_id: str) -> None:
        await asyncio.sleep(self._dice.uniform(*BAD_PAUSE_RANGE_S))
        await self._send(request_id, self._path, environment.CRASHING_SUFFIX)
