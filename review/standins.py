"""Stand-ins for the review's scripts: store, leafs, consumers, gateways.

They need nothing but Python's standard library. All listen on loopback, on
ports that the system gives them. Times are seconds of the monotonic clock.
"""

import asyncio
import base64
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "review.example"
PAGE_COUNT = 50
PROBE_PERIOD_S = 1.0
RESTART_DELAY_S = 0.3

OK, BROKEN, NOT_RUN = 0, 1, 2


def now() -> float:
    """Returns the monotonic time in seconds."""
    return time.monotonic()


def has_trouble() -> bool:
    """Returns whether the disruption is played (`TROUBLE=0` leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines about what was sent, answered and run, with their times."""

    def __init__(self, path: pathlib.Path):
        self._started = now()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{now() - self._started:9.3f} {text}\n")

    def write_runs(self, runs: "list[Run]") -> None:
        """Writes what leafs ran, each with the time at which it began."""
        for each in runs:
            self._file.write(
                f"{each.at - self._started:9.3f} run {each.request_id} "
                f"by {each.leaf_id}\n"
            )

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def free_address() -> str:
    """Returns a loopback address whose port is free at present.

    The system gives no port below 32,768 to a connection, so that none takes
    the port before a gateway listens on it.
    """
    while True:
        address = "127.0.0.1", random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(address)
            except OSError:
                continue
        return f"{address[0]}:{address[1]}"


# HTTP.


@dataclasses.dataclass
class Message:
    """One request or reply: its first line, headers by name, and body."""

    first: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status code of a reply."""
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message with a length; None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


def reply_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Serializes a reply."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class HttpServer:
    """A server with one handler; a subclass answers."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Opens a loopback port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=1024
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Closes the port and all connections."""
        if self._server is not None:
            self._server.close()
        for each in tuple(self._writers):
            each.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                reply = await self.answer(request)
                if reply is None:
                    break
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            # The other side has left, or the case is over.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, request: Message) -> bytes | None:
        """Returns the reply; None closes the connection."""
        raise NotImplementedError


# The platform's store.


class Store(HttpServer):
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        super().__init__()
        self._revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key."""
        self._revision += 1
        before = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "created_at": before["created_at"] if before else self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._notify(item)
        return self._revision

    def remove(self, key: str) -> None:
        """Removes a key."""
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._notify({"key": key, "revision": self._revision, "removed": True})

    def _notify(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        ended = [n for n, (end, _) in self._leases.items() if end < now()]
        for lease in ended:
            self._end(lease)

    def _end(self, lease: int) -> None:
        del self._leases[lease]
        held = [k for k, i in self._items.items() if i["lease"] == lease]
        for key in held:
            self.remove(key)

    async def answer(self, request: Message) -> bytes | None:
        """Answers a call."""
        method, target, _ = request.first.split(" ")
        path, _, text = target.partition("?")
        query = dict(
            (part.partition("=")[0], part.partition("=")[2])
            for part in text.split("&")
            if part
        )
        query = {
            name: value.replace("%2F", "/").replace("%23", "#")
            for name, value in query.items()
        }
        name = path.removeprefix("/hyssoptack/")
        self._expire()
        status, body = await self._call(method, name, query, request.body)
        kind = {"Content-Type": "application/json"}
        return reply_bytes(status, kind, json.dumps(body).encode())

    async def _call(
        self, method: str, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict]:
        if name == "kv-key":
            item = self._items.get(query["key"])
            rev = {"current_rev": self._revision}
            return (200, item | rev) if item else (404, {})
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(json.loads(body))
        if name == "kv-lease":
            ttl_ms = json.loads(body)["ttl_ms"]
            lease = 1000 + len(self._leases) + self._revision
            while lease in self._leases:
                lease += 1
            self._leases[lease] = (now() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        verb, _, number = name.partition("/")
        lease = int(number) if number.isdigit() else -1
        if lease not in self._leases:
            return 404, {}
        if verb == "kv-keep":
            ttl_ms = self._leases[lease][1]
            self._leases[lease] = (now() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttl_ms": ttl_ms}
        self._end(lease)
        return 200, {}

    def _range(self, query: dict[str, str]) -> dict:
        found = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        ]
        return {
            "items": found[:PAGE_COUNT],
            "has_more": len(found) > PAGE_COUNT,
            "current_rev": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        end = now() + float(query["wait_ms"]) / 1000
        after = int(query["after"])
        while True:
            events = [
                each
                for each in self._events
                if each["revision"] > after
                and each["key"].startswith(query["prefix"])
            ]
            if events or now() >= end:
                return 200, {"events": events, "current_rev": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), end - now())
            except TimeoutError:
                continue

    def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body["expect"]:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for row in body["writes"]:
            if row.get("lease", 0) and row["lease"] not in self._leases:
                return 404, {}
        for row in body["writes"]:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in body["deletes"]:
            self.remove(key)
        return 200, {"revision": self._revision}


# Leafs.


@dataclasses.dataclass
class Run:
    """One request that a leaf began to work on."""

    at: float
    leaf_id: str
    request_id: str


class Leaf(HttpServer):
    """A leaf: registers itself, and runs the requests that expect it."""

    def __init__(
        self,
        leaf_id: str,
        service: str,
        zone: str,
        work_s: tuple[float, float],
        runs: list[Run],
    ):
        super().__init__()
        self.leaf_id, self.service, self.zone = leaf_id, service, zone
        self._work_s = work_s
        self._runs = runs
        self._rng = random.Random(leaf_id)
        self.records = b"".join(self._rng.randbytes(16) for _ in range(5))

    def register(self, store: Store) -> None:
        """Writes the leaf's entry."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "warmup_remaining_ms": 0,
            "sequence": 1,
        }
        store.put(f"servers/{self.leaf_id}", json.dumps(entry).encode())

    async def answer(self, request: Message) -> bytes | None:
        """Runs a request, or rejects one that expects another leaf."""
        path = request.first.split(" ")[1]
        if path == "/health":
            return reply_bytes(200, {"X-Instance-Id": self.leaf_id}, b"")
        request_id = request.headers.get("x-request-id", "")
        expected = request.headers.get("x-expected-instance", self.leaf_id)
        if expected != self.leaf_id:
            headers = {"X-Instance-Id": self.leaf_id}
            return reply_bytes(421, headers, b"")
        self._runs.append(Run(now(), self.leaf_id, request_id))
        await asyncio.sleep(self._rng.uniform(*self._work_s))
        headers = {
            "X-Request-Id": request_id,
            "X-Server-Stamp": f"{self.leaf_id}.{request_id}",
        }
        return reply_bytes(200, headers, self.records)


# Consumers.


@dataclasses.dataclass
class Attempt:
    """One attempt of a consumer, and what came of it.

    `status` is 0 if the connection ended without a whole answer.
    """

    request_id: str
    gateway: str
    sent: float
    ended: float = 0.0
    status: int = 0
    refused_connection: bool = False


class Consumers:
    """Sends requests, each on a new connection, and records the answers."""

    def __init__(self, record: Record, seed: int):
        self.attempts: list[Attempt] = []
        self._record = record
        self._rng = random.Random(seed)

    async def send(
        self, gateway: str, address: str, path: str, limit_ms: int
    ) -> Attempt:
        """Sends one request and waits for its answer."""
        request_id = f"{self._rng.getrandbits(64):016x}"
        attempt = Attempt(request_id, gateway, now())
        self.attempts.append(attempt)
        text = (
            f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Request-Deadline: {limit_ms}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(limit_ms / 1000 + 1.0):
                await self._exchange(attempt, address, text)
        except TimeoutError:
            attempt.status = -1
        attempt.ended = now()
        self._record.write(
            f"attempt {request_id} {path} at {gateway}: "
            f"sent {attempt.ended - attempt.sent:.3f} s ago, "
            f"status {attempt.status}"
        )
        return attempt

    async def _exchange(self, attempt: Attempt, address: str, text: str):
        host, _, port = address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            attempt.refused_connection = True
            return
        try:
            writer.write(text.encode())
            attempt.sent = now()
            reply = await read_message(reader)
            attempt.status = reply.status if reply else 0
        except OSError:
            attempt.status = 0
        finally:
            writer.close()


# Gateways.


class Gateway:
    """One machine with the project's gateway, run as the deploy file says."""

    def __init__(self, name: str, zone: str, record: Record):
        self.name, self.zone = name, zone
        self.front = free_address()
        self.ready = free_address()
        self.process: asyncio.subprocess.Process | None = None
        self.ends: list[float] = []
        self.is_ready = False
        self.miss_count = 0
        self._record = record
        self._ended_by_us = False
        self._closing = False
        self._watch: asyncio.Task | None = None
        self._env: dict[str, str] = {}
        self._log = None

    def configure(
        self, folder: pathlib.Path, store: Store, zones: tuple[str, ...]
    ) -> None:
        """Writes the settings that `deploy/gateway.yaml.in` would give."""
        document = {
            "instance_id": self.name,
            "failure_domain": self.zone,
            "failure_domains": dict.fromkeys(zones, "region"),
            "callers_address": self.front,
            "readiness_address": self.ready,
            "store_address": store.address,
            "peer_address": free_address(),
            "metrics_address": free_address(),
            "link_mbps": 1000.0,
            "lease_min_ms": 1000,
            "grace_ms": 6e3,
            "leaving_bound_ms": 3000,
            "configuration_bound_ms": 3000,
            "warmup": {"overage_ratio": 1, "slack_count": 0},
            "budget": {"ratio": 0.2, "slack_count": 58, "window_ms": 10e3},
        }
        path = folder / f"{self.name}.yaml"
        path.write_text(json.dumps(document), "utf-8")
        self._env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "HYSSOPTACK_BOOT": str(path),
        }
        self._log = (folder / f"{self.name}.log").open("ab")

    async def start(self) -> None:
        """Starts the process; it is started again when it ends by itself."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        self._ended_by_us = False
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=self._env, stdout=self._log, stderr=self._log
        )
        self._record.write(f"start {self.name}")
        self._watch = asyncio.create_task(self._await_end(self.process))

    async def _await_end(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self._record.write(f"end {self.name}: return code {code}")
        if self._closing or self._ended_by_us:
            return
        self.ends.append(now())
        await asyncio.sleep(RESTART_DELAY_S)
        if not self._closing:
            await self.start()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self._record.write(f"signal {number.name} to {self.name}")
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._ended_by_us = True
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def close(self) -> None:
        """Ends the process."""
        self._closing = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self._watch is not None:
            await asyncio.wait({self._watch}, timeout=1.0)
            self._watch.cancel()
        if self._log is not None:
            self._log.close()

    async def probe(self) -> bool:
        """Asks for readiness once; returns whether it answers 200."""
        host, _, port = self.ready.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(PROBE_PERIOD_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"GET /hyssoptack/readiness HTTP/1.1\r\nHost: p\r\n\r\n"
                )
                reply = await read_message(reader)
                return reply is not None and reply.status == 200
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()


class Balancer:
    """Selects the gateway of a new connection, as PROTOCOL.md says."""

    def __init__(self, gateways: list[Gateway], record: Record, seed: int):
        self._gateways = gateways
        self._record = record
        self._rng = random.Random(seed)

    async def probe_periodically(self) -> None:
        """Asks each gateway once a second until cancelled."""
        while True:
            await asyncio.gather(*(self._probe(g) for g in self._gateways))
            await asyncio.sleep(PROBE_PERIOD_S)

    async def _probe(self, gateway: Gateway) -> None:
        if await gateway.probe():
            gateway.miss_count = 0
            in_rotation = True
        else:
            gateway.miss_count += 1
            in_rotation = gateway.is_ready and gateway.miss_count < 2
        if in_rotation != gateway.is_ready:
            gateway.is_ready = in_rotation
            word = "into" if in_rotation else "out of"
            self._record.write(f"{gateway.name} {word} rotation")

    def choose(self, zone: str) -> Gateway | None:
        """Returns the gateway for a new connection of a zone's consumer."""
        own = [g for g in self._gateways if g.zone == zone]
        ready = [g for g in own if g.is_ready]
        if ready and 2 * len(ready) < len(own):
            return self._rng.choice(own)
        if not ready:
            ready = [g for g in self._gateways if g.is_ready]
        return self._rng.choice(ready) if ready else None


async def wait_ready(gateways: list[Gateway], limit_s: float = 30.0) -> bool:
    """Waits until all gateways are ready; returns whether they are."""
    end = now() + limit_s
    while now() < end:
        states = await asyncio.gather(*(each.probe() for each in gateways))
        if all(states):
            return True
        await asyncio.sleep(0.1)
    return False


def route(name: str, **fields: object) -> dict:
    """Returns a route of the configuration; its prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "route_type": "idempotent",
        "timeout_ms": 2500,
        "target_latency_ms": 183,
        "priority": 1,
        "max_attempts": 2,
        **fields,
    }


def configuration(version: int, routes: list[dict], services: list[str]):
    """Returns the bytes of a configuration."""
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_check_path": "/health",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    return json.dumps(document).encode()


def main(play, folder: pathlib.Path) -> None:
    """Plays a case and exits with its result.

    Args:
        play: Takes the record and a temporary folder; returns the exit code.
        folder: The folder of the case, which gets `record.txt`.
    """
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build first")
        sys.exit(NOT_RUN)
    record = Record(folder / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(play(record, pathlib.Path(temporary)))
    except Exception as error:  # The case could not run.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = NOT_RUN
    record.close()
    sys.exit(code)
