"""A stand-in for the platform's key-value store that speaks its protocol.

It runs on an event loop in the test process. Fields of `Faults` inject faults.
"""

import asyncio
import base64
import dataclasses
import json
import urllib.parse

from hyssoptack.core import clock
from hyssoptack.http1 import httpserver
from hyssoptack.http1 import message


@dataclasses.dataclass(kw_only=True)
class Faults:
    """Faults of the store.

    Attributes:
        down: Whether every request gets a 503.
        silent: Whether no request gets a response.
        lose_writes: Whether writes are executed without a response.
        compacted: Whether watches get a 410.
        lag_ms: Additional time before each response.
        lost_read_count: Number of next range reads that get no response.
    """

    down: bool = False
    silent: bool = False
    lose_writes: bool = False
    compacted: bool = False
    lag_ms: float = 0.0
    lost_read_count: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Copy:
    """What the store held at one time.

    Attributes:
        revision: The store's revision.
        items: All items by key.
        events: The history that watches read.
        leases: End and period of each lease by number, in milliseconds.
        lease_count: Number of leases granted until then.
    """

    revision: int
    items: dict[str, dict[str, object]]
    events: tuple[dict[str, object], ...]
    leases: dict[int, tuple[float, float]]
    lease_count: int


class Store:
    """A key-value store with leases and watches.

    Attributes:
        era: Number that increases each time the store returns from a copy.
        faults: Active faults.
        call_names: Names of all received calls in order.
        address: Address that it listens on; empty before the start.
    """

    def __init__(self, page_count: int = 50):
        self.era = 1
        self.faults = Faults()
        self.call_names: list[str] = []
        self.address = ""
        self._page_count = page_count
        self._revision = 0
        self._items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_count = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Opens a loopback port."""
        server = httpserver.Server(handler=self._handle)
        self._server = await asyncio.get_running_loop().create_server(
            server.new_connection, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Closes the port."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key and returns the new revision."""
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "created_at": self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._record_event(item)
        return self._revision

    def remove(self, key: str) -> None:
        """Removes a key and records the event for watches."""
        self._revision += 1
        self._items.pop(key, None)
        self._record_event(
            {"key": key, "revision": self._revision, "removed": True}
        )

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    def copy(self) -> Copy:
        """Returns a copy of all that the store holds."""
        return Copy(
            revision=self._revision,
            items=dict(self._items),
            events=tuple(self._events),
            leases=dict(self._leases),
            lease_count=self._lease_count,
        )

    def restore(self, copy: Copy) -> None:
        """Returns from a copy, in a new era.

        What was written since is lost. Its revisions and lease numbers are
        given out again, and the leases of the copy run on from now.
        """
        now_ms = clock.now_ms()
        self._revision = copy.revision
        self._items = dict(copy.items)
        self._events = list(copy.events)
        self._leases = {
            lease: (now_ms + ttl_ms, ttl_ms)
            for lease, (_, ttl_ms) in copy.leases.items()
        }
        self._lease_count = copy.lease_count
        self.era += 1
        self._notify()

    def value(self, key: str) -> bytes:
        """Returns the value of an existing key."""
        return base64.b64decode(str(self._items[key]["value"]))

    def sorted_keys(self) -> list[str]:
        """Returns the existing keys in order."""
        return sorted(self._items)

    def _record_event(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _handle(self, exchange: httpserver.Exchange) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, exchange: httpserver.Exchange) -> None:
        request = exchange.request
        target = urllib.parse.urlsplit(request.target.decode())
        query = dict(urllib.parse.parse_qsl(target.query))
        name = target.path.removeprefix("/hyssoptack/")
        self.call_names.append(name)
        await asyncio.sleep(self.faults.lag_ms / 1000)
        if self.faults.silent:
            return
        if self.faults.down:
            exchange.answer(message.problem_reply(503, "down"))
            return
        if name == "kv-range" and self.faults.lost_read_count:
            self.faults.lost_read_count -= 1
            return
        self._revoke_expired()
        status, body = await self._execute(name, query, request.body)
        if name.startswith("kv-txn") and self.faults.lose_writes:
            return
        exchange.answer(
            message.Reply(
                status=status,
                headers=((b"Store-Era", b"%d" % self.era),),
                body=json.dumps(body).encode(),
            )
        )

    async def _execute(
        self, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transaction(json.loads(body))
        if name == "kv-lease":
            return 200, self._grant(json.loads(body)["ttl_ms"])
        if name.startswith("kv-keep/"):
            return self._renew(int(name.rpartition("/")[2]))
        if name.startswith("kv-lease-end/"):
            return self._revoke(int(name.rpartition("/")[2]))
        return 404, {}

    def _range(self, query: dict[str, str]) -> object:
        after = query.get("after", "")
        found = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(query["prefix"]) and key > after
        ]
        return {
            "items": found[: self._page_count],
            "has_more": len(found) > self._page_count,
            "current_rev": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        if self.faults.compacted:
            return 410, {}
        ends_ms = clock.now_ms() + float(query["wait_ms"])
        while True:
            if int(query["after"]) > self._revision:
                # This history was lost.
                return 410, {}
            events = [
                each
                for each in self._events
                if each["revision"] > int(query["after"])
                and each["key"].startswith(query["prefix"])
            ]
            left_ms = ends_ms - clock.now_ms()
            if events or left_ms <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transaction(self, body: dict[str, list]) -> tuple[int, object]:
        for row in body["expect"]:
            item = self._items.get(row["key"], {"revision": 0})
            if item["revision"] != row["revision"]:
                return 412, {"items": []}
        for row in body["writes"]:
            lease = row.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
            self.put(row["key"], base64.b64decode(row["value"]), lease)
        for key in body["deletes"]:
            self.remove(key)
        return 200, {"revision": self._revision}

    def _grant(self, ttl_ms: float) -> object:
        self._lease_count += 1
        lease = self._lease_count
        self._leases[lease] = (clock.now_ms() + ttl_ms, ttl_ms)
        return {"lease": lease, "ttl_ms": ttl_ms}

    def _renew(self, lease: int) -> tuple[int, object]:
        if lease not in self._leases:
            return 404, {}
        ttl_ms = self._leases[lease][1]
        self._leases[lease] = (clock.now_ms() + ttl_ms, ttl_ms)
        return 200, {"ttl_ms": ttl_ms}

    def _revoke(self, lease: int) -> tuple[int, object]:
        if self._leases.pop(lease, None) is None:
            return 404, {}
        for key, item in tuple(self._items.items()):
            if item["lease"] == lease:
                self.remove(key)
        return 200, {}

    def revoke_all_leases(self) -> None:
        """Revokes every lease at once.

        The real store may do so for clients that it is disconnected from.
        """
        for lease in tuple(self._leases):
            self._revoke(lease)

    def _revoke_expired(self) -> None:
        now_ms = clock.now_ms()
        for lease, (ends_ms, _) in tuple(self._leases.items()):
            if ends_ms < now_ms:
                self._revoke(lease)
