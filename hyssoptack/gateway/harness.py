"""Test harness: gateways, a fake store and fake upstreams in one process."""

import asyncio
import dataclasses
import json
import pathlib
import sys

import msgspec

from hyssoptack.core import clock
from hyssoptack.gateway import daemon
from hyssoptack.http1 import message
from hyssoptack.settings import gateway
from hyssoptack.standins import fakeupstream
from hyssoptack.standins import kvstore
from hyssoptack.standins import ports

HOST = "shop.example"
START_TIMEOUT_S = 5.0
PAIR_TIMEOUT_S = 6.0
NARROW_MBPS, WIDE_MBPS = 0.5, 1_000.0
REPLY_BYTES = 1_250
"""Size of an upstream's reply at which an instance with a narrow link delegates
its queries."""

SLACK_COUNT = 100_000.0
"""Slack of the extra-call budget in ten seconds, large enough that a new
instance may make extra calls within milliseconds."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """A response as a caller received it.

    Attributes:
        status: The status code; 0 if the connection ended without a response.
        headers: The headers by lower-case name.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class Site:
    """A store, upstreams and gateways on the loopback interface."""

    def __init__(self) -> None:
        self.store = kvstore.Store()
        self.upstreams: dict[str, fakeupstream.FakeUpstream] = {}
        self.gateways: dict[str, daemon.Gateway] = {}
        self.settings: dict[str, gateway.GatewaySettings] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._version = 0
        self.warmup_per_s = 0.0

    async def __aenter__(self) -> "Site":
        await self.store.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        for each in self.upstreams.values():
            each.stop()
        self.store.stop()

    async def add_upstream(
        self,
        upstream_id: str,
        service_name: str,
        body: bytes = b"x" * 16,
        zone: str = "north",
    ) -> fakeupstream.FakeUpstream:
        """Starts an upstream and writes its entry to the store."""
        added = fakeupstream.FakeUpstream(upstream_id, body)
        await added.start()
        self.upstreams[upstream_id] = added
        self.put_upstream_entry(upstream_id, service_name, zone)
        return added

    def put_upstream_entry(
        self,
        upstream_id: str,
        service_name: str,
        zone: str = "north",
        state: str = "ready",
        cold_ms: float = 0.0,
    ) -> None:
        """Writes an upstream's entry to the store."""
        entry = {
            "service": service_name,
            "address": self.upstreams[upstream_id].address,
            "zone": zone,
            "version": "v1",
            "slots": 3,
            "state": state,
            "warmup_remaining_ms": cold_ms,
            "sequence": 1,
        }
        self.store.put(f"servers/{upstream_id}", json.dumps(entry).encode())

    def configure(
        self,
        *routes: dict[str, object],
        tenants: list[dict[str, object]] | None = None,
    ) -> int:
        """Writes a configuration and returns its version.

        Args:
            *routes: The routes; fields that are not given have defaults.
            tenants: The teams with their keys; None if callers need no keys.
        """
        self._version += 3
        names = set()
        for route in routes:
            names.update(route.get("fanout_services", ()))
            names.update(
                each["service"] for each in route.get("traffic_split", ())
            )
            names.update([route["service"]] if "service" in route else ())
        body = {
            "version": self._version,
            "routes": [
                _route(index, each) for index, each in enumerate(routes)
            ],
            "services": [
                {
                    "name": name,
                    "health_check_path": "/health",
                    "max_connections": 30,
                    "protocol": "h1",
                    "tls": False,
                    "warmup_s": 3.0,
                    "warmup_per_s": self.warmup_per_s,
                }
                for name in sorted(names)
            ],
            "limits": {
                "max_header_bytes": 4096,
                "max_body_bytes": 4096,
                "header_timeout_ms": 400,
                "idle_timeout_ms": 1500,
            },
        }
        if tenants is not None:
            body["tenants"] = tenants
        self.store.put("op/config", json.dumps(body).encode())
        return self._version

    async def start(
        self, name: str = "gateway-1", ready: bool = True, **changes: object
    ) -> daemon.Gateway:
        """Starts a gateway.

        Args:
            name: Id of the instance.
            ready: Whether to wait until the gateway is ready.
            **changes: Settings that differ from the defaults.
        """
        settings = self.new_settings(name, **changes)
        started = daemon.Gateway(settings)
        self.gateways[name] = started
        loop = asyncio.get_running_loop()
        self._tasks[name] = loop.create_task(started.run())
        if ready:
            await self.wait_ready(name)
            await self._wait_for_budget_share(started)
        return started

    def new_settings(
        self, name: str, **changes: object
    ) -> gateway.GatewaySettings:
        """Returns the settings of a new gateway and records them.

        Args:
            name: Id of the instance.
            **changes: Settings that differ from the defaults.
        """
        settings = gateway.GatewaySettings(
            instance_id=name,
            failure_domain="north",
            failure_domains={"north": "wales", "south": "wales"},
            callers_address=f"127.0.0.1:{ports.free_port()}",
            readiness_address=f"127.0.0.1:{ports.free_port()}",
            store_address=self.store.address,
            peer_address=f"127.0.0.1:{ports.free_port()}",
            metrics_address=f"127.0.0.1:{ports.free_port()}",
            budget=gateway.BudgetSettings(
                ratio=0.2, window_ms=10_000.0, slack_count=SLACK_COUNT
            ),
            grace_ms=6_000.0,
        )
        self.settings[name] = dataclasses.replace(settings, **changes)
        return self.settings[name]

    async def start_process(
        self, folder: pathlib.Path, name: str, **changes: object
    ) -> asyncio.subprocess.Process:
        """Starts a gateway in a process of its own and waits until it is ready.

        Args:
            folder: Folder for its settings file and its log.
            name: Id of the instance.
            **changes: Settings that differ from the defaults.
        """
        path = folder / f"{name}.yaml"
        path.write_bytes(
            msgspec.json.encode(self.new_settings(name, **changes))
        )
        with (folder / f"{name}.log").open("wb") as log_file:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "hyssoptack.scripts.gateway", path),
                stdout=log_file,
            )
        await self.wait_ready(name)
        return process

    def kill(self, name: str) -> None:
        """Ends a gateway at once, without a graceful shutdown."""
        self._tasks[name].cancel()

    async def wait_ready(self, name: str = "gateway-1") -> None:
        """Waits until a gateway reports that it is ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.readiness_status(name) != 200:
                if name in self._tasks and self._tasks[name].done():
                    # Raises the error that ended the gateway.
                    self._tasks[name].result()
                await asyncio.sleep(0.02)

    async def start_delegating_pair(
        self, **changes: object
    ) -> tuple[daemon.Gateway, daemon.Gateway]:
        """Starts a gateway with a narrow link, and one that it delegates to.

        Args:
            **changes: Settings of both that differ from the defaults.

        Returns:
            The gateways with the narrow and the wide link, which know each
            other.
        """
        narrow = await self.start("narrow", link_mbps=NARROW_MBPS, **changes)
        wide = await self.start("wide", link_mbps=WIDE_MBPS, **changes)
        async with asyncio.timeout(PAIR_TIMEOUT_S):
            while not narrow.reader_election.neighbours():
                await asyncio.sleep(0.05)
            while narrow.view.version != wide.view.version:
                await asyncio.sleep(0.05)
        narrow._delegator.selector.record_reply_size("route-0", REPLY_BYTES)
        return narrow, wide

    async def _wait_for_budget_share(self, gateway: daemon.Gateway) -> None:
        """Waits until a gateway knows its share of the extra-call budget."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not gateway.reader_election.peak_instance_count:
                await asyncio.sleep(0.005)

    async def readiness_status(self, name: str = "gateway-1") -> int:
        """Returns the status of a readiness probe; 0 if it got no answer."""
        address = self.settings[name].readiness_address
        try:
            got = await send_raw(
                address,
                b"GET /hyssoptack/readiness HTTP/1.1\r\nHost: p\r\n\r\n",
            )
        except ConnectionError:
            return 0
        return got.status

    async def get(
        self,
        path: str,
        request_id: str,
        deadline_ms: int = 2_000,
        name: str = "gateway-1",
        method: str = "GET",
        body: bytes = b"",
        fields: tuple[message.Header, ...] = (),
    ) -> Response:
        """Sends a request on a new connection and returns the response."""
        return await send_raw(
            self.settings[name].callers_address,
            request_bytes(path, request_id, deadline_ms, method, body, fields),
        )

    def run_count(self, request_id: str) -> int:
        """Returns how often a request ran, over all upstreams."""
        key = request_id.encode()
        return sum(each.run_counts[key] for each in self.upstreams.values())


def read_log(folder: pathlib.Path, name: str) -> list[dict[str, object]]:
    """Returns the log lines of a gateway that `Site.start_process` started."""
    data = (folder / f"{name}.log").read_bytes()
    return [json.loads(line) for line in data.splitlines()]


class RunningTime:
    """Time that this process was running, to check durations in tests.

    A stop of the process stops the tested instances and the test's clock alike,
    so it does not count.
    """

    _STEP_MS = 5.0

    def __init__(self) -> None:
        self._stopped_ms = 0.0
        self._started_ms = 0.0
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "RunningTime":
        """Starts the measurement."""
        self._started_ms = clock.now_ms()
        self._task = asyncio.create_task(self._watch())
        return self

    async def __aexit__(self, *_details: object) -> None:
        """Ends the measurement."""
        self._task.cancel()

    async def _watch(self) -> None:
        last_ms = self._started_ms
        while True:
            await asyncio.sleep(self._STEP_MS / message.MS_PER_S)
            now_ms = clock.now_ms()
            late_ms = now_ms - last_ms - self._STEP_MS
            if late_ms > self._STEP_MS:
                self._stopped_ms += late_ms
            last_ms = now_ms

    async def stopped_ms(self) -> float:
        """Returns how long the process stood still in all."""
        # A stop that has just ended is measured by then.
        await asyncio.sleep(2 * self._STEP_MS / message.MS_PER_S)
        return self._stopped_ms

    async def elapsed_ms(self) -> float:
        """Returns the running time since the start of the measurement."""
        stopped_ms = await self.stopped_ms()
        return clock.now_ms() - self._started_ms - stopped_ms


def _route(index: int, given: dict[str, object]) -> dict[str, object]:
    return {
        "name": f"route-{index}",
        "host": HOST,
        "route_type": "idempotent",
        "timeout_ms": 2_000,
        "target_latency_ms": 300,
        "priority": 1,
        "max_attempts": 2,
        **given,
    }


def request_bytes(
    path: str,
    request_id: str,
    deadline_ms: int = 2_000,
    method: str = "GET",
    body: bytes = b"",
    fields: tuple[message.Header, ...] = (),
) -> bytes:
    """Returns the bytes of a caller's request, with further header fields."""
    headers = [
        *fields,
        (b"Host", HOST.encode()),
        (b"X-Request-Id", request_id.encode()),
        (b"X-Request-Deadline", b"%d" % deadline_ms),
    ]
    return message.request_bytes(method.encode(), path.encode(), headers, body)


async def send_raw(address: str, data: bytes) -> Response:
    """Sends bytes on a new connection and returns the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads one response."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response(status=0, headers={}, body=b"")
    lines = head.decode("latin-1").split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (
            each.partition(":") for each in lines[1:] if each
        )
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Response(status=int(lines[0].split()[1]), headers=headers, body=body)
