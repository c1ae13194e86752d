"""A whole gateway with stand-ins around it, in one process, for tests."""

import asyncio
import dataclasses
import json

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
"""Size of an upstream's reply at which a narrow link hands its queries over."""

SLACK_COUNT = 100_000.0
"""Extra calls in ten seconds: a new instance has some within milliseconds."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """What a caller got.

    Attributes:
        status: The status code; 0 where the connection ended without one.
        headers: The headers, by name in lower case.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class Site:
    """A store, upstreams and gateways on loopback."""

    def __init__(self) -> None:
        self.store = kvstore.Store()
        self.services: dict[str, fakeupstream.FakeUpstream] = {}
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
        for each in self.services.values():
            each.stop()
        self.store.stop()

    async def add_upstream(
        self,
        upstream_id: str,
        service_name: str,
        body: bytes = b"x" * 16,
        zone: str = "north",
    ) -> fakeupstream.FakeUpstream:
        """Starts an upstream and lists it."""
        added = fakeupstream.FakeUpstream(upstream_id, body)
        await added.start()
        self.services[upstream_id] = added
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
        """Writes an upstream's entry."""
        entry = {
            "service": service_name,
            "address": self.services[upstream_id].address,
            "zone": zone,
            "version": "v1",
            "slots": 3,
            "state": state,
            "warmup_remaining_ms": cold_ms,
            "sequence": 1,
        }
        self.store.put(f"servers/{upstream_id}", json.dumps(entry).encode())

    def configure(self, *routes: dict[str, object]) -> int:
        """Writes a configuration with these routes; returns its version."""
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
        self.store.put("op/config", json.dumps(body).encode())
        return self._version

    async def start(
        self, name: str = "gateway-1", ready: bool = True, **changes: object
    ) -> daemon.Gateway:
        """Starts a gateway and waits until it is ready."""
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
        settings = dataclasses.replace(settings, **changes)
        started = daemon.Gateway(settings)
        self.gateways[name] = started
        self.settings[name] = settings
        loop = asyncio.get_running_loop()
        self._tasks[name] = loop.create_task(started.run())
        if ready:
            await self.wait_ready(name)
            await self._wait_counted(started)
        return started

    def kill(self, name: str) -> None:
        """Ends a gateway at once, without a word to anybody."""
        self._tasks[name].cancel()

    async def wait_ready(self, name: str = "gateway-1") -> None:
        """Waits until a gateway asks for callers."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.readiness_status(name) != 200:
                if self._tasks[name].done():
                    # Tells why it will never be ready.
                    self._tasks[name].result()
                await asyncio.sleep(0.02)

    async def start_delegating_pair(
        self,
    ) -> tuple[daemon.Gateway, daemon.Gateway]:
        """Starts a gateway with a narrow link, and one that it hands over to.

        Returns:
            The narrow one and the wide one, which know each other.
        """
        narrow = await self.start("narrow", link_mbps=NARROW_MBPS)
        wide = await self.start("wide", link_mbps=WIDE_MBPS)
        async with asyncio.timeout(PAIR_TIMEOUT_S):
            while not narrow.reader_election.neighbours():
                await asyncio.sleep(0.05)
            while narrow.view.version != wide.view.version:
                await asyncio.sleep(0.05)
        narrow._delegating.selector.record_reply_size("route-0", REPLY_BYTES)
        return narrow, wide

    async def _wait_counted(self, gateway: daemon.Gateway) -> None:
        """Waits until a gateway knows its share of the extra calls."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not gateway.reader_election.peak_instance_count:
                await asyncio.sleep(0.005)

    async def readiness_status(self, name: str = "gateway-1") -> int:
        """Asks a gateway whether it is ready; returns the status."""
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
    ) -> Response:
        """Sends a request on a connection of its own."""
        return await send_raw(
            self.settings[name].callers_address,
            request_bytes(path, request_id, deadline_ms, method, body),
        )

    def run_count(self, request_id: str) -> int:
        """Returns how often a request ran on all upstreams."""
        key = request_id.encode()
        return sum(each.run_counts[key] for each in self.services.values())


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
) -> bytes:
    """Returns a caller's request."""
    headers = [
        (b"Host", HOST.encode()),
        (b"X-Request-Id", request_id.encode()),
        (b"X-Request-Deadline", b"%d" % deadline_ms),
    ]
    return message.request_bytes(method.encode(), path.encode(), headers, body)


async def send_raw(address: str, data: bytes) -> Response:
    """Sends bytes on a new connection and reads one reply."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads one reply."""
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
