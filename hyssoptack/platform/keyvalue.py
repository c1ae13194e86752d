"""Client of the platform's key-value store, built on `http1.httpclient`.

A write whose answer is lost may have been applied, or may still be applied
later, so the client never retries a write by itself.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import typing
import urllib.parse

import expression
import msgspec

from hyssoptack.core import clock
from hyssoptack.core import decoding
from hyssoptack.core import digits
from hyssoptack.core import position
from hyssoptack.core import timeouts
from hyssoptack.core import traffic
from hyssoptack.gateway import callrequest
from hyssoptack.gateway import pool
from hyssoptack.http1 import httpclient
from hyssoptack.http1 import message
from hyssoptack.platform import transaction

T = typing.TypeVar("T")

CALL_TIMEOUT_MS = 1_000.0
"""Timeout of one call. The store answers in 4 ms, and in some 200 ms when slow;
a connection without an answer after a second is considered dead."""

WATCH_MARGIN_MS = 700.0
"""Added to the wait of a watch to get its timeout: the store may take some
200 ms to answer, and a longer silence means a dead connection."""

OUTDATED_ANSWER_MS = 300.0
"""An answer handled more than this long after its timeout is discarded: it was
delayed by a pause of the whole process, not by the network."""

DELAYED_MIN_MS = timeouts.STOP_MIN_MS + timeouts.SOCKET_READ_MS
"""Time beyond its timeout after which a call without an answer says nothing
about the store: this process stood still, and then read its sockets in vain."""

_ERA = b"store-era"

CONNECTION_LIMIT_COUNT = 6
"""Maximum number of connections to the store."""

TRANSACTION_LIMIT_COUNT = 32
"""Maximum number of entries that the store accepts in one transaction."""

PAGE_LIMIT_COUNT = 400
"""Maximum number of pages of one range read: 200,000 items, far more than are
stored."""


class FailureKind(enum.Enum):
    """Why a call to the store failed."""

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    COMPACTED = "compacted"
    CONFLICT = "conflict"
    NO_LEASE = "no_lease"
    REFUSED = "refused"
    DELAYED = "delayed"
    """This process stood still during the call, which says nothing about the
    store."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """A failed call to the store.

    Attributes:
        kind: The class of the failure.
        detail: Text for the log.
    """

    kind: FailureKind
    detail: str


class Item(msgspec.Struct):
    """A key with its value, or the removal of a key."""

    key: str
    value: bytes = b""
    revision: decoding.Int64 = 0
    removed: bool = False


class Listing(msgspec.Struct):
    """Items under a prefix.

    Attributes:
        items: The items of all pages.
        store_revision: The whole store's revision when the first page was read.
        era: The store's era, as in `core.position`.
    """

    items: list[Item]
    store_revision: int
    era: int = 0

    @property
    def position(self) -> position.Position:
        """The position in the store's history at which this was read."""
        return position.Position(self.era, self.store_revision)


class _Page(msgspec.Struct):
    items: list[Item]
    # The revision of the whole store, not of an item.
    current_rev: decoding.Int64
    has_more: bool = False


class Changes(msgspec.Struct):
    """The changes that a watch returned.

    Attributes:
        events: The changed items.
        current_rev: The store's revision to continue the watch from.
        era: The store's era, as in `core.position`.
    """

    events: list[Item]
    current_rev: decoding.Int64
    era: int = 0

    @property
    def position(self) -> position.Position:
        """The store's position up to which changes are included."""
        return position.Position(self.era, self.current_rev)


class _Lease(msgspec.Struct):
    lease: decoding.Int64
    ttl_ms: float


_PAGE = msgspec.json.Decoder(_Page)
_CHANGES = msgspec.json.Decoder(Changes)
_LEASE = msgspec.json.Decoder(_Lease)
_ENCODER = msgspec.json.Encoder()

_FAILURE_KINDS = {
    404: FailureKind.NO_LEASE,
    410: FailureKind.COMPACTED,
    412: FailureKind.CONFLICT,
    429: FailureKind.BUSY,
    503: FailureKind.BUSY,
}


class Client:
    """Asynchronous client of the store; all calls run on the event loop.

    Attributes:
        call_count: Number of calls made.
        era: The store's era in its last answer; 0 before the first one.
    """

    def __init__(self, address: str, pools: pool.Pools):
        self._pools = pools
        self._era_changed = asyncio.Event()
        self.call_count = 0
        self.era = 0
        self.set_address(address)

    def set_address(self, address: str) -> None:
        """Sends all further calls to the given address."""
        self._host = address.encode()
        self._store = traffic.Upstream(
            upstream_id=f"store {address}",
            service="store",
            address=address,
            failure_domain="",
            slot_count=1,
            draining=False,
            cold_ms=0.0,
        )

    async def read_range(
        self,
        prefix: str,
        allow_stale: bool = False,
        timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> expression.Result[Listing, Failure]:
        """Reads all items under a prefix; the pages are not one snapshot.

        Args:
            prefix: Start of the keys.
            allow_stale: Whether the store may answer with data some seconds
                old.
            timeout_ms: Timeout of the call for each page.

        Returns:
            The items, or the failure.
        """
        items: list[Item] = []
        read_at: position.Position | None = None
        query = {"prefix": prefix} | (
            {"allow_stale": "1"} if allow_stale else {}
        )
        for _ in range(PAGE_LIMIT_COUNT):
            result = await self._call("GET", "kv-range", query, timeout_ms)
            match result:
                case expression.Result(tag="ok", ok=reply):
                    page = _decode(_PAGE, reply.body)
                case expression.Result(error=failure):
                    return expression.Error(failure)
            if isinstance(page, Failure):
                return expression.Error(page)
            era = _era(reply)
            if era is None:
                return expression.Error(_UNREADABLE_ERA)
            if read_at is None:
                read_at = position.Position(era, page.current_rev)
            if era != read_at.era:
                return expression.Error(_ERA_CHANGED)
            items.extend(page.items)
            if not page.has_more:
                return expression.Ok(
                    Listing(
                        items=items,
                        store_revision=read_at.revision,
                        era=read_at.era,
                    )
                )
            if not page.items:
                break
            query = query | {"after": page.items[-1].key}
        # A part would pass for the whole: what it lacks counts as gone.
        return expression.Error(_INCOMPLETE)

    async def watch(
        self, prefix: str, after: position.Position, wait_ms: float
    ) -> expression.Result[Changes, Failure]:
        """Waits until an item under a prefix changes, for at most `wait_ms`.

        Args:
            prefix: Start of the keys.
            after: Position from which changes are wanted. In a later era, the
                changes up to its revision may be others, so that the call
                fails.
            wait_ms: Longest wait.
        """
        query = {
            "prefix": prefix,
            "after": str(after.revision),
            "wait_ms": str(int(wait_ms)),
        }
        result = await self._call(
            "GET", "kv-watch", query, wait_ms + WATCH_MARGIN_MS
        )
        changes = _decode_result(result, _CHANGES)
        if changes.is_error():
            return changes
        era = _era(result.ok)
        if era is None:
            return expression.Error(_UNREADABLE_ERA)
        if era != after.era:
            return expression.Error(_ERA_CHANGED)
        changes.ok.era = era
        return changes

    async def grant_lease(
        self, ttl_ms: float
    ) -> expression.Result[int, Failure]:
        """Requests a lease and returns its number."""
        body = _ENCODER.encode({"ttl_ms": int(ttl_ms)})
        result = await self._call("POST", "kv-lease", {}, body=body)
        return _decode_result(result, _LEASE).map(lambda found: found.lease)

    async def renew_lease(
        self, lease: int
    ) -> expression.Result[message.Reply, Failure]:
        """Renews a lease."""
        return await self._call("POST", f"kv-keep/{lease}", {})

    async def put(
        self, key: str, value: bytes, lease: int
    ) -> expression.Result[message.Reply, Failure]:
        """Writes a key that is removed when the lease expires."""
        return await self.put_all({key: value}, lease)

    async def put_all(
        self, values: dict[str, bytes], lease: int
    ) -> expression.Result[message.Reply, Failure]:
        """Writes up to 32 keys that are removed when the lease expires."""
        writes = [
            transaction.Write(key=key, value=value, lease=lease)
            for key, value in values.items()
        ]
        return await self._commit(
            transaction.Transaction(expect=[], writes=writes, deletes=[])
        )

    async def delete(
        self, keys: collections.abc.Sequence[str]
    ) -> expression.Result[message.Reply, Failure]:
        """Deletes up to 32 keys."""
        return await self._commit(
            transaction.Transaction(expect=[], writes=[], deletes=[*keys])
        )

    async def _commit(
        self, change: transaction.Transaction
    ) -> expression.Result[message.Reply, Failure]:
        body = _ENCODER.encode(change)
        return await self._call("POST", "kv-txn", {}, body=body)

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        timeout_ms: float = CALL_TIMEOUT_MS,
        body: bytes = b"",
    ) -> expression.Result[message.Reply, Failure]:
        self.call_count += 1
        path = f"/hyssoptack/{name}"
        if query:
            path += "?" + urllib.parse.urlencode(query, safe="/")
        started_ms = clock.now_ms()
        outcome = await self._exchange(method, path, timeout_ms, body)
        took_ms = clock.now_ms() - started_ms
        if took_ms > timeout_ms + OUTDATED_ANSWER_MS:
            # The process was paused during the call: the answer is outdated.
            outcome = httpclient.BrokenCall(reason="answer_too_old", sent=True)
        match outcome:
            case httpclient.BrokenCall(reason=reason) if (
                took_ms > timeout_ms + DELAYED_MIN_MS
            ):
                kind = FailureKind.DELAYED
                detail = f"{method} {name}: {reason}"
            case message.Reply(status=200):
                self._record_era(outcome)
                return expression.Ok(outcome)
            case message.Reply(status=status):
                kind = _FAILURE_KINDS.get(status, FailureKind.REFUSED)
                detail = f"{method} {name}: status {status}"
            case httpclient.BrokenCall(reason=reason):
                kind = FailureKind.UNREACHABLE
                detail = f"{method} {name}: {reason}"
        return expression.Error(Failure(kind=kind, detail=detail))

    def _record_era(self, reply: message.Reply) -> None:
        era = _era(reply)
        if era is not None and era > self.era:
            self.era = era
            self._era_changed.set()
            self._era_changed = asyncio.Event()

    async def wait_for_era_change(self, wait_ms: float) -> None:
        """Waits until the store's era changes, for at most `wait_ms`."""
        try:
            async with asyncio.timeout(wait_ms / timeouts.MS_PER_S):
                await self._era_changed.wait()
        except TimeoutError:
            # The usual case: the store has lost nothing.
            return

    async def _exchange(
        self, method: str, path: str, timeout_ms: float, body: bytes
    ) -> httpclient.Outcome:
        headers = [(b"Host", self._host)]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        data = message.request_bytes(
            method.encode(), path.encode(), headers, body
        )
        done: asyncio.Future[httpclient.Outcome] = (
            asyncio.get_running_loop().create_future()
        )

        def sink(outcome: httpclient.Outcome) -> None:
            if not done.done():
                done.set_result(outcome)

        job = callrequest.CallRequest(
            upstream=self._store,
            build_request=lambda: data,
            request_id=b"",
            is_head=False,
            needs_new_connection=False,
            needs_recent_connection=False,
            on_outcome=sink,
        )
        call = self._pools.call(job, CONNECTION_LIMIT_COUNT)
        try:
            if await timeouts.wait_until_done(done, timeout_ms):
                return done.result()
            return httpclient.BrokenCall(reason="timeout", sent=True)
        finally:
            call.cancel()


def _era(reply: message.Reply) -> int | None:
    """Returns the store's era, 0 if there is none, None if it is no number."""
    era_text = reply.value(_ERA)
    return digits.parse(era_text.decode("latin-1")) if era_text else 0


_INCOMPLETE = Failure(
    kind=FailureKind.REFUSED,
    detail="the range ends before its last page",
)

_UNREADABLE_ERA = Failure(
    kind=FailureKind.REFUSED,
    detail="the store's era is not a number",
)

_ERA_CHANGED = Failure(
    kind=FailureKind.COMPACTED,
    detail="the store's era has changed between two answers",
)


def _decode_result(
    result: expression.Result[message.Reply, Failure],
    decoder: msgspec.json.Decoder[T],
) -> expression.Result[T, Failure]:
    match result:
        case expression.Result(tag="ok", ok=reply):
            found = _decode(decoder, reply.body)
            if isinstance(found, Failure):
                return expression.Error(found)
            return expression.Ok(found)
        case expression.Result(error=failure):
            return expression.Error(failure)


def _decode(decoder: msgspec.json.Decoder[T], body: bytes) -> T | Failure:
    match decoding.decode(decoder.decode, body):
        case expression.Result(tag="ok", ok=found):
            return found
        case expression.Result(error=detail):
            return Failure(
                kind=FailureKind.REFUSED, detail=f"unreadable: {detail}"
            )
