"""A stand-in for the platform's key-value service, with fault injection.

It provides compare-and-swap by version, leases as a time to live and watches as
long polls. It has a listening port for each failure domain, so that a domain
can be cut off.
"""

import asyncio
import dataclasses
import random
import time

import cyclopts
from aiohttp import web

from hyssoptack.standins import web as standin_web

MS_PER_S = 1000.0
VALUE_LIMIT_BYTES = 1_000_000


@dataclasses.dataclass(kw_only=True)
class Faults:
    """Active faults; a POST to /faults changes any field.

    Attributes:
        outage: Whether no request gets a response; writes have no effect.
        cut_domains: Failure domains whose requests get no response.
        slow_ms: Delay of every request.
        lose_write_ratio: Share of writes that take effect without a response.
        lose_write_count: Number of next writes that take effect without a
            response.
        swallow_write_count: Number of next writes that have no effect and get
            no response.
        hold_write_ms: Time until the connection of a write without a response
            is closed.
    """

    outage: bool = False
    cut_domains: list[str] = dataclasses.field(default_factory=list)
    slow_ms: float = 0.0
    lose_write_ratio: float = 0.0
    lose_write_count: int = 0
    swallow_write_count: int = 0
    hold_write_ms: float = 0.0


@dataclasses.dataclass(kw_only=True)
class Counters:
    """Counters since the start.

    Attributes:
        read_count: Reads that are no watches.
        write_count: Writes that were not rejected for a fault or their size.
        watch_count: Watches.
        conflict_count: Writes rejected because of another version.
        waiting_count: Watches that wait now.
        waiting_peak_count: Maximum of `waiting_count`.
        waiting_by_domain: Watches that wait now, by failure domain.
        bytes_out: Characters of the values that were returned.
    """

    read_count: int = 0
    write_count: int = 0
    watch_count: int = 0
    conflict_count: int = 0
    waiting_count: int = 0
    waiting_peak_count: int = 0
    waiting_by_domain: dict[str, int] = dataclasses.field(default_factory=dict)
    bytes_out: int = 0


@dataclasses.dataclass(kw_only=True)
class Entry:
    """A value with its version and expiry time."""

    value: str
    version: int
    expires_s: float


class Store:
    """A versioned key-value store with watches and injected faults."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._last_version = 0
        self._faults = Faults()
        self._counters = Counters()
        self._change_events: dict[str, asyncio.Event] = {}
        self._random = random.Random(7)

    def runner(self, domain: str) -> web.AppRunner:
        """Returns an application that serves one failure domain."""
        application = web.Application(client_max_size=4 * VALUE_LIMIT_BYTES)
        application["domain"] = domain
        application.router.add_get("/kv/{key:.+}", self._get)
        application.router.add_put("/kv/{key:.+}", self._put)
        application.router.add_post("/faults", self._change_faults)
        application.router.add_get("/account", self._get_counters)
        return web.AppRunner(application, access_log=None)

    async def _is_cut(self, request: web.Request) -> bool:
        await asyncio.sleep(self._faults.slow_ms / MS_PER_S)
        domain = request.app["domain"]
        return self._faults.outage or domain in self._faults.cut_domains

    def _find(self, key: str) -> Entry | None:
        entry = self._entries.get(key)
        if entry is not None and time.monotonic() >= entry.expires_s:
            del self._entries[key]
            return None
        return entry

    async def _get(self, request: web.Request) -> web.Response:
        if await self._is_cut(request):
            return standin_web.abort_connection(request)
        key = request.match_info["key"]
        if "after" in request.query:
            self._counters.watch_count += 1
            await self._wait(request, key)
            if await self._is_cut(request):
                return standin_web.abort_connection(request)
        else:
            self._counters.read_count += 1
        entry = self._find(key)
        if entry is None:
            return standin_web.json_response({}, status=404)
        self._counters.bytes_out += len(entry.value)
        return standin_web.json_response(_entry_document(entry))

    async def _wait(self, request: web.Request, key: str) -> None:
        after = int(request.query["after"])
        wait_s = int(request.query.get("wait_ms", "0")) / MS_PER_S
        entry = self._find(key)
        if entry is not None and entry.version > after:
            return
        counters = self._counters
        waiting = counters.waiting_by_domain
        domain = request.app["domain"]
        waiting[domain] = waiting.get(domain, 0) + 1
        counters.waiting_count += 1
        counters.waiting_peak_count = max(
            counters.waiting_peak_count, counters.waiting_count
        )
        changed = self._change_events.setdefault(key, asyncio.Event())
        try:
            await asyncio.wait_for(changed.wait(), wait_s)
        except TimeoutError:
            pass
        finally:
            waiting[domain] -= 1
            counters.waiting_count -= 1

    async def _put(self, request: web.Request) -> web.Response:
        value = await request.text()
        if await self._is_cut(request):
            return standin_web.abort_connection(request)
        if self._faults.swallow_write_count > 0:
            self._faults.swallow_write_count -= 1
            return standin_web.abort_connection(request)
        if len(value.encode()) > VALUE_LIMIT_BYTES:
            return standin_web.json_response({}, status=413)
        key = request.match_info["key"]
        self._counters.write_count += 1
        entry = self._find(key)
        found_version = entry.version if entry else 0
        if int(request.query["expect"]) != found_version:
            self._counters.conflict_count += 1
            document = (
                _entry_document(entry) if entry else {"value": "", "version": 0}
            )
            return standin_web.json_response(document, status=409)
        entry = self._write(key, value, int(request.query.get("ttl_ms", "0")))
        if self._loses_response():
            await asyncio.sleep(self._faults.hold_write_ms / MS_PER_S)
            return standin_web.abort_connection(request)
        return standin_web.json_response(
            {"value": "", "version": entry.version}
        )

    def _write(self, key: str, value: str, ttl_ms: int) -> Entry:
        self._last_version += 1
        expires_s = (
            time.monotonic() + ttl_ms / MS_PER_S if ttl_ms else float("inf")
        )
        entry = Entry(
            value=value, version=self._last_version, expires_s=expires_s
        )
        self._entries[key] = entry
        waiting = self._change_events.pop(key, None)
        if waiting is not None:
            waiting.set()
        return entry

    def _loses_response(self) -> bool:
        if self._faults.lose_write_count > 0:
            self._faults.lose_write_count -= 1
            return True
        return self._random.random() < self._faults.lose_write_ratio

    async def _change_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            if not hasattr(self._faults, name):
                return standin_web.json_response({"unknown": name}, status=400)
            setattr(self._faults, name, value)
        return standin_web.json_response(dataclasses.asdict(self._faults))

    async def _get_counters(self, _request: web.Request) -> web.Response:
        return standin_web.json_response(dataclasses.asdict(self._counters))


def _entry_document(entry: Entry) -> dict[str, object]:
    return {"value": entry.value, "version": entry.version}


application = cyclopts.App(name="hyssoptack-standin-store")


@application.default
def main(*, listen: list[str]) -> None:
    """Serves the store until the process ends.

    Args:
        listen: DOMAIN=IP:PORT, repeated for each failure domain.
    """
    store = Store()
    pairs = [each.split("=", 1) for each in listen]
    standin_web.serve_forever(
        [(store.runner(domain), address) for domain, address in pairs]
    )


if __name__ == "__main__":
    application()
