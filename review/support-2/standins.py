"""Stand-ins of the platform's store, leafs and consumers, and gateway processes.

They need nothing but the standard library. The store, the leafs and the
consumers run on the event loop of the script; the gateways are processes that
the `run` line of the deploy file starts.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


# Below the range from which systems take the ports of outgoing connections.
PORTS = range(12_000, 32_000)
_given_ports = set()


def free_port():
    """Returns a loopback port that is free now and was not given before."""
    while True:
        port = random.choice(PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


class Record:
    """Lines of record.txt, with seconds since the start of the script."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", buffering=1)
        self._start = time.monotonic()

    def __call__(self, *words):
        seconds = time.monotonic() - self._start
        self._file.write(f"{seconds:8.3f} {' '.join(str(w) for w in words)}\n")


async def read_head(reader):
    """Returns the start line and the headers of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns a body that has a length."""
    count = int(headers.get("content-length", "0"))
    return await reader.readexactly(count) if count else b""


def reply_bytes(status, headers, body):
    """Returns a complete reply with a length."""
    lines = [f"HTTP/1.1 {status} status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store, which can be restored from an older copy."""

    def __init__(self):
        self.revision = 0
        self.era = 1
        self.away = False
        self._items = {}
        self._events = []
        self._leases = {}
        self._lease_count = 0
        self._changed = asyncio.Event()
        self._writers = set()
        self.address = ""

    async def start(self):
        port = free_port()
        self.address = f"{HOST}:{port}"
        await asyncio.start_server(self._serve, HOST, port)

    # What the operator, the leafs and the script do.

    def put(self, key, value, lease=0):
        """Writes a key; returns the revision. The same value is no change."""
        old = self._items.get(key)
        if old is not None and old["data"] == value and old["lease"] == lease:
            return self.revision
        self.revision += 1
        created = old["created"] if old else self.revision
        self._items[key] = {
            "data": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._record(key, self._wire(key))
        return self.revision

    def remove(self, key):
        if self._items.pop(key, None) is not None:
            self.revision += 1
            removed = {"key": key, "revision": self.revision, "removed": True}
            self._record(key, removed)

    def copy(self):
        """Returns a copy of all that the store holds."""
        return {
            "revision": self.revision,
            "items": {key: dict(item) for key, item in self._items.items()},
            "events": list(self._events),
            "leases": dict(self._leases),
        }

    def go_away(self):
        """Cuts all connections; new calls get 503 until `restore`."""
        self.away = True
        for each in tuple(self._writers):
            each.transport.abort()

    def restore(self, copy):
        """Comes back from a copy, in a new era."""
        self.revision = copy["revision"]
        self._items = copy["items"]
        self._events = copy["events"]
        # A lease of the copy runs on from now.
        self._leases = {
            lease: (time.monotonic() + ttl_ms / 1000, ttl_ms)
            for lease, (_, ttl_ms) in copy["leases"].items()
        }
        self.era += 1
        self.away = False
        self._notify()

    def _record(self, key, event):
        self._events.append((self.revision, key, event))
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _wire(self, key):
        item = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(item["data"]).decode(),
            "revision": item["revision"],
            "created_at": item["created"],
            "lease": item["lease"],
        }

    # The protocol.

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                if self.away:
                    status, found = 503, {}
                else:
                    status, found = await self._execute(method, target, body)
                reply = {"Content-Type": "application/json"}
                reply["Store-Era"] = str(self.era)
                data = json.dumps(found).encode()
                writer.write(reply_bytes(status, reply, data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _execute(self, method, target, body):
        self._expire()
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        name = parts.path.removeprefix("/hyssoptack/")
        if name == "kv-key":
            key = query["key"]
            if key not in self._items:
                return 404, {"current_rev": self.revision}
            return 200, self._wire(key) | {"current_rev": self.revision}
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transaction(json.loads(body))
        if name == "kv-lease":
            ttl_ms = json.loads(body)["ttl_ms"]
            self._lease_count += 1
            lease = 1000 * self.era + self._lease_count
            self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        if name.startswith("kv-keep/"):
            lease = int(name.rpartition("/")[2])
            if lease not in self._leases:
                return 404, {}
            ttl_ms = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttl_ms": ttl_ms}
        if name.startswith("kv-lease-end/"):
            lease = int(name.rpartition("/")[2])
            if lease not in self._leases:
                return 404, {}
            self._end_lease(lease)
            return 200, {}
        return 404, {}

    def _range(self, query):
        keys = [
            key
            for key in sorted(self._items)
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        ]
        return {
            "items": [self._wire(key) for key in keys[:500]],
            "has_more": len(keys) > 500,
            "current_rev": self.revision,
        }

    async def _watch(self, query):
        after = int(query["after"])
        ends = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after > self.revision:
                return 410, {}
            events = [
                event
                for revision, key, event in self._events
                if revision > after and key.startswith(query["prefix"])
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _transaction(self, change):
        for row in change.get("expect", []):
            held = self._items.get(row["key"])
            if (held["revision"] if held else 0) != row["revision"]:
                keys = [each["key"] for each in change["expect"]]
                found = [self._wire(key) for key in keys if key in self._items]
                return 412, {"items": found}
        writes = change.get("writes", [])
        keys = [each["key"] for each in writes] + change.get("deletes", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for each in writes:
            lease = each.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
        for each in writes:
            data = base64.b64decode(each["value"])
            self.put(each["key"], data, each.get("lease", 0))
        for key in change.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _expire(self):
        now = time.monotonic()
        for lease, (ends, _) in tuple(self._leases.items()):
            if ends < now:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key, item in tuple(self._items.items()):
            if item["lease"] == lease:
                self.remove(key)


class Leaf:
    """One leaf: a server that registers itself in the store.

    Attributes:
        arrivals: Time and request id of each request that it began to run.
        answer: Runs a request and returns the bytes of the answer; None to
            break the connection off.
    """

    def __init__(self, store, record, leaf_id, service, zone, work_s=0.005):
        self.leaf_id = leaf_id
        self.service = service
        self.zone = zone
        self.address = ""
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.warmup_s = 0.0
        self.cold_until = 0.0
        self.arrivals = []
        self.running = True
        self.work_s = work_s
        self._store = store
        self._record = record
        self._count = 0
        self._server = None
        self._writers = set()
        self.answer = self._answer
        self._beat = None

    async def start(self):
        port = int(self.address.rpartition(":")[2] or free_port())
        self.address = f"{HOST}:{port}"
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.running = True
        self.register()
        self._beat = asyncio.create_task(self._beats())

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 6,
            "state": self.state,
            "warmup_remaining_ms": self.warmup_remaining_ms(),
            "born": self.born,
        }

    def warmup_remaining_ms(self):
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    async def restart(self):
        """Starts again under the same id and at the same address, cold."""
        self.born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + self.warmup_s
        await self.start()

    def register(self):
        """Writes the entry; returns the store's revision."""
        value = json.dumps(self.entry()).encode()
        return self._store.put(f"servers/{self.leaf_id}", value)

    async def _beats(self):
        while self.running:
            await asyncio.sleep(1.2)
            if self.running and not self._store.away:
                self.register()

    def exit(self):
        """Ends the leaf at once; it writes nothing to the store any more."""
        self.running = False
        self._beat.cancel()
        self._server.close()
        for each in tuple(self._writers):
            each.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                data = await self._handle(line, headers, body)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, line, headers, body):
        method, target, _ = line.split(" ")
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            health = {"X-Instance-Id": self.leaf_id}
            if self.warmup_s:
                health["X-Warmup-Remaining"] = str(self.warmup_remaining_ms())
            return reply_bytes(status, health, b"")
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expected-instance", self.leaf_id) != self.leaf_id:
            not_run = {"X-Not-Executed": "1", "X-Request-Id": request_id}
            return reply_bytes(421, not_run, b"")
        self.arrivals.append((time.monotonic(), request_id))
        return await self.answer(request_id, method, target, headers, body)

    async def _answer(self, request_id, method, target, headers, body):
        await asyncio.sleep(self.work_s)
        self._count += 1
        stamp = f"{self.leaf_id}.{self._count}.{request_id}"
        reply = {"X-Request-Id": request_id, "X-Server-Stamp": stamp}
        return reply_bytes(200, reply, f"{self.leaf_id}-{self._count}".encode())


class Gateway:
    """One gateway process, started by the `run` line of the deploy file."""

    def __init__(self, folder, name, zone, zones, store_address, **settings):
        self.name = name
        self.front = free_port()
        self.ready = free_port()
        self._folder = folder
        self._settings = {
            "instance_id": name,
            "failure_domain": zone,
            "failure_domains": {each: "region" for each in zones},
            "callers_address": f"{HOST}:{self.front}",
            "readiness_address": f"{HOST}:{self.ready}",
            "store_address": store_address,
            "peer_address": f"{HOST}:{free_port()}",
            "metrics_address": f"{HOST}:{free_port()}",
            "link_mbps": 1000.0,
            "lease_min_ms": 1000,
            "grace_ms": 6e3,
            "leaving_bound_ms": 3000,
            "configuration_bound_ms": 3000,
            "warmup": {"overage_ratio": 1, "slack_count": 0},
            "budget": {"ratio": 0.2, "slack_count": 58.0, "window_ms": 10e3},
        } | settings
        self.process = None
        self.log = None

    def start(self):
        path = self._folder / f"{self.name}.yaml"
        path.write_text(json.dumps(self._settings))
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            deployed = tomllib.load(file)
        command = shlex.split(deployed["roles"]["gateway"]["run"])
        self.log = open(self._folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=subprocess.STDOUT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", ""),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "HYSSOPTACK_BOOT": str(path),
            },
        )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(
                b"GET /hyssoptack/readiness HTTP/1.1\r\nHost: ready\r\n\r\n"
            )
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and " 200 " in head[0]

    async def wait_ready(self, limit_s=20.0):
        """Raises TimeoutError if the gateway does not get ready."""
        ends = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > ends or self.process.poll() is not None:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    def stop(self):
        """Ends the process, by its id."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


_request_count = 0


def new_request_id(prefix="r"):
    """Returns an id that no other request has."""
    global _request_count
    _request_count += 1
    return f"{prefix}{_request_count:06d}"


async def call(port, host, path, *, method="GET", body=b"", deadline_ms=2000,
               headers=None, request_id="", connection=None):
    """Sends one request; returns (id, status, headers, body); status 0: none.

    Args:
        connection: An open (reader, writer); by default a new one is used.
    """
    request_id = request_id or new_request_id()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Request-Id: {request_id}",
        f"X-Request-Deadline: {deadline_ms}",
    ]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            if connection is None:
                reader, writer = await asyncio.open_connection(HOST, port)
            else:
                reader, _ = connection
            (writer or connection[1]).write(data)
            head = await read_head(reader)
            if head is None:
                return request_id, 0, {}, b""
            status = int(head[0].split(" ")[1])
            found = await read_body(reader, head[1])
            return request_id, status, head[1], found
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return request_id, 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


def route(name, prefix, *, service=None, shards=None, route_type="idempotent",
          timeout_ms=2000, goal_ms=150, priority=1, max_attempts=3, top_k=5,
          min_fraction=0.75):
    """Returns a route of the operator's configuration."""
    found = {
        "name": name,
        "host": "search.example",
        "prefix": prefix,
        "route_type": route_type,
        "timeout_ms": timeout_ms,
        "target_latency_ms": goal_ms,
        "priority": priority,
        "max_attempts": max_attempts,
    }
    if service:
        found["service"] = service
    if shards:
        found["fanout_services"] = shards
        found["top_k"] = top_k
        found["min_shard_fraction"] = min_fraction
    return found


def configuration(version, routes, services, max_connections=110, **more):
    """Returns the bytes of op/config."""
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": each,
                    "max_connections": max_connections,
                    "health_check_path": "/health",
                }
                for each in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        | more
    ).encode()


def run(play, folder):
    """Plays a script; returns its exit code.

    Args:
        play: Coroutine function that gets the record, a temporary folder, a
            list for started gateways and whether the disruption takes place.
            Returns whether the rule held.
        folder: The case's folder.
    """
    record = Record(pathlib.Path(folder))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    gateways = []
    record("trouble", int(trouble))
    with tempfile.TemporaryDirectory() as scratch:
        try:
            held = asyncio.run(
                _limited(play(record, pathlib.Path(scratch), gateways, trouble))
            )
        except Exception as error:
            record("could not run:", type(error).__name__, error)
            for each in gateways:
                log = pathlib.Path(scratch) / f"{each.name}.log"
                if log.exists():
                    record(each.name, log.read_text()[-2000:])
            return 2
        finally:
            for each in gateways:
                each.stop()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for each in gateways:
                    log = pathlib.Path(scratch) / f"{each.name}.log"
                    (pathlib.Path(keep) / log.name).write_bytes(
                        log.read_bytes()
                    )
    record("rule held" if held else "rule broken")
    return 0 if held else 1


async def _limited(coroutine):
    async with asyncio.timeout(110):
        return await coroutine
