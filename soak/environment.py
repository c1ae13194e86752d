"""The environment of the gateways: store, upstreams, configurations, links."""

import asyncio
import dataclasses
import json
import random

from hyssoptack.core import clock
from hyssoptack.platform import storeformat
from hyssoptack.standins import fakeupstream
from hyssoptack.standins import kvstore
from soak import faults
from soak import proxy
from soak import teams

HOST = "soak.example"
SHARD_COUNT = 6
SINGLE_PATH, NON_IDEMPOTENT_PATH, FANOUT_PATH = "/single/", "/once/", "/all/"
MOVED_PATH = "/moved/"
ANONYMOUS_PATH = SINGLE_PATH
"""Path of the route that needs no key in runs with teams."""

NORMAL_SUFFIX, CRASHING_SUFFIX = b"x", b"bad"
"""Path suffix of normal requests and of requests that crash an upstream."""

REPLICA_COUNT = 3
"""Initial upstreams of a service: one more than a request may be sent to."""

MAX_ATTEMPTS_COUNT = 2
TOP_COUNT = 4
COVERAGE_FLOOR_RATIO = 0.6
UPSTREAM_MS = (2.0, 25.0)
HEARTBEAT_MS = 1_200.0
"""Time within which a running upstream registers again, after the store has
returned from an older copy."""

ENTRY_EXPIRY_MS = 3 * HEARTBEAT_MS
"""Time after the store's return from which it no longer lists upstreams that
have left and that an older copy listed."""

OTHER_WRITE_COUNT = 60
"""Lost changes of keys that gateways do not read. The store's revision after
its return stays below the one of before for the rest of a run."""

LEAVE_MS = 6_000.0
"""Time from the announcement that an upstream leaves to its end. It is longer
than the time within which the gateways must stop using the upstream."""

SHARD_SERVICES = tuple(f"shard-{number}" for number in range(SHARD_COUNT))
UNSHARDED_SERVICES = ("desk-a", "desk-b")
SERVICES = (*SHARD_SERVICES, *UNSHARDED_SERVICES)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One execution of a request by an upstream.

    Attributes:
        at_ms: Monotonic time of the execution.
        upstream_id: Id of the upstream.
        service: Service of the upstream.
    """

    at_ms: float
    upstream_id: str
    service: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigVersion:
    """A configuration version that was written to the store.

    Attributes:
        at_ms: Monotonic time of the write.
        number: Version number of the configuration.
        moved_route_service: Service that the route of `MOVED_PATH` leads to.
    """

    at_ms: float
    number: int
    moved_route_service: str


class RecordingUpstream(fakeupstream.FakeUpstream):
    """A fake upstream that records each execution with its time."""

    def __init__(
        self, recorder: "Environment", upstream_id: str, service_name: str
    ):
        rng = random.Random(upstream_id)
        records = b"".join(rng.randbytes(16) for _ in range(5))
        super().__init__(upstream_id, records)
        self.service_name = service_name
        self.on_run = lambda request_id: recorder.record_run(
            request_id.decode(),
            Run(
                at_ms=clock.now_ms(),
                upstream_id=upstream_id,
                service=service_name,
            ),
        )
        self.behaviour.delay_ms = rng.uniform(*UPSTREAM_MS)
        self.behaviour.crashes_on = recorder.crashing_target
        self.on_crash = lambda: recorder.record_crash(self)


def peer_link_name(gateway: str) -> str:
    """Returns the name of the link to a gateway's port for peers."""
    return f"{gateway}/peers"


class SoakStore(kvstore.Store):
    """A store in which gateways are listed with the addresses of proxies.

    Attributes:
        peer_addresses: Listed addresses by gateway.
    """

    def __init__(self) -> None:
        super().__init__()
        self.peer_addresses: dict[str, str] = {}

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key; a gateway's entry gets its proxy's address."""
        name = key.removeprefix(storeformat.PEER_PREFIX)
        if key != name and name in self.peer_addresses:
            entry = json.loads(value) | {"address": self.peer_addresses[name]}
            value = json.dumps(entry).encode()
        return super().put(key, value, lease)


class Environment:
    """All stand-ins of one soak run, which run in the soak process.

    Attributes:
        store: The key-value store.
        upstreams: Upstreams by id, including those that have left.
        links: Proxies by upstream id, gateway name (to the store) or name
            of `peer_link_name` (to the gateway's port for peers).
        runs_by_request: Executions by request id.
        config_versions: Configuration versions in the order of writing.
        departure_ms: Monotonic times at which upstreams began to leave, by id.
        crash_times_ms: Monotonic times of upstream crashes.
        crashing_path: Path prefix of the route of the crashing request.
        team_plan: Teams of the configurations; None if there are none.
    """

    def __init__(self, seed: int) -> None:
        self.store = SoakStore()
        self.upstreams: dict[str, RecordingUpstream] = {}
        self.links: dict[str, proxy.Proxy] = {}
        self.runs_by_request: dict[str, list[Run]] = {}
        self.config_versions: list[ConfigVersion] = []
        self.departure_ms: dict[str, float] = {}
        self.crash_times_ms: list[float] = []
        self.team_plan = teams.plan_for(seed)
        self._random = random.Random(seed)
        self.crashing_path = self._random.choice(
            (SINGLE_PATH, NON_IDEMPOTENT_PATH, FANOUT_PATH, FANOUT_PATH)
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._states: dict[str, str] = {}
        self._configuration = b""
        self._added_counts: dict[str, int] = {}

    async def start(self) -> None:
        """Starts the store and the upstreams of each service."""
        await self.store.start()
        for name in SERVICES:
            for _ in range(REPLICA_COUNT):
                await self.add_upstream(name)
        self.write_configuration()

    @property
    def crashing_target(self) -> bytes:
        """The path of the request that crashes the upstreams it runs on."""
        return self.crashing_path.encode() + CRASHING_SUFFIX

    def record_crash(self, crashed: RecordingUpstream) -> None:
        """Records a crash and closes the upstream's link until it restarts."""
        self.crash_times_ms.append(clock.now_ms())
        link = self.links[crashed.upstream_id]
        link.stop()
        task = asyncio.create_task(
            _reopen(link, crashed.behaviour.return_ms / 1000.0)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Closes all ports and cancels pending reopenings of links."""
        for each in tuple(self._tasks):
            each.cancel()
        for each in (*self.links.values(), *self.upstreams.values()):
            each.stop()
        self.store.stop()

    def record_run(self, request_id: str, run: Run) -> None:
        """Records an execution of a request for the invariant checker."""
        self.runs_by_request.setdefault(request_id, []).append(run)

    async def add_link(self, name: str, target: str) -> str:
        """Starts a proxy before a target and returns the proxy's address."""
        made = self.links[name] = proxy.Proxy(target)
        await made.start()
        return made.address

    async def add_peer_link(self, gateway: str, target: str) -> None:
        """Starts a proxy before a gateway's port for peers and lists it."""
        name = peer_link_name(gateway)
        self.store.peer_addresses[gateway] = await self.add_link(name, target)

    async def add_upstream(self, service_name: str) -> str:
        """Starts an upstream behind a link, registers it and returns its id."""
        number = self._added_counts.get(service_name, 0)
        self._added_counts[service_name] = number + 1
        upstream_id = f"i-{service_name}-{number}"
        added = RecordingUpstream(self, upstream_id, service_name)
        await added.start()
        self.upstreams[upstream_id] = added
        address = await self.add_link(upstream_id, added.address)
        self._register(upstream_id, address, "ready")
        return upstream_id

    def _register(self, upstream_id: str, address: str, state: str) -> None:
        self._states[upstream_id] = state
        self._put_unless_equal(
            f"servers/{upstream_id}",
            self._entry(upstream_id, address, state),
        )

    def _put_unless_equal(self, key: str, value: bytes) -> None:
        """Writes a key; the same value is no change, as in the real store."""
        if key not in self.store.sorted_keys() or (
            self.store.value(key) != value
        ):
            self.store.put(key, value)

    def _entry(self, upstream_id: str, address: str, state: str) -> bytes:
        entry = {
            "service": self.upstreams[upstream_id].service_name,
            "address": address,
            "zone": f"zone-{len(upstream_id) % 2}",
            "version": "v1",
            "slots": 3,
            "state": state,
            "warmup_remaining_ms": 0,
            "sequence": 1,
        }
        return json.dumps(entry).encode()

    def _unregister(self, upstream_id: str) -> None:
        del self._states[upstream_id]
        self.store.remove(f"servers/{upstream_id}")

    async def restore_store(self, lost_ms: float, away_ms: float) -> float:
        """Makes a copy of the store, from which it returns later.

        Args:
            lost_ms: Time from the copy until the return.
            away_ms: Time before the return in which the store does not answer.

        Returns:
            The time of the return.
        """
        copy = self.store.copy()
        for number in range(OTHER_WRITE_COUNT):
            self.store.put("other/key", b"%d" % number)
        await asyncio.sleep((lost_ms - away_ms) / 1000.0)
        self.store.faults.down = True
        await asyncio.sleep(away_ms / 1000.0)
        self.store.restore(copy)
        self.store.faults.down = False
        returned_ms = clock.now_ms()
        await asyncio.gather(
            self._write_configuration_again(),
            *(self._write_entry_again(each) for each in tuple(self.upstreams)),
        )
        return returned_ms

    async def _write_configuration_again(self) -> None:
        await asyncio.sleep(self._random.uniform(0.0, 0.3))
        self._put_unless_equal("op/config", self._configuration)

    async def _write_entry_again(self, upstream_id: str) -> None:
        """Registers an upstream anew, or lets a copy of its entry expire."""
        heartbeat_ms = self._random.uniform(0.0, HEARTBEAT_MS)
        await asyncio.sleep(heartbeat_ms / 1000.0)
        if upstream_id in self._states:
            address = self.links[upstream_id].address
            self._register(upstream_id, address, self._states[upstream_id])
        await asyncio.sleep((ENTRY_EXPIRY_MS - heartbeat_ms) / 1000.0)
        key = f"servers/{upstream_id}"
        if upstream_id not in self._states and key in self.store.sorted_keys():
            self.store.remove(key)

    def active_upstreams(self, service_name: str) -> list[RecordingUpstream]:
        """Returns the upstreams of a service that are not leaving or gone."""
        return [
            each
            for name, each in self.upstreams.items()
            if each.service_name == service_name
            and name not in self.departure_ms
        ]

    async def replace_upstream(self, service_name: str, drains: bool) -> None:
        """Adds an upstream to a service, then removes the oldest one.

        Args:
            service_name: The service.
            drains: Whether the old upstream first announces that it is
                draining; otherwise its entry is removed at once.
        """
        oldest = self.active_upstreams(service_name)[0].upstream_id
        await self.add_upstream(service_name)
        self.departure_ms[oldest] = clock.now_ms()
        if drains:
            self._register(oldest, self.links[oldest].address, "draining")
            await asyncio.sleep(LEAVE_MS / 1000.0)
        self._unregister(oldest)
        if not drains:
            await asyncio.sleep(LEAVE_MS / 1000.0)
        self.links[oldest].set_mode(faults.LinkMode.RESET)

    def write_configuration(self) -> None:
        """Writes a configuration that moves one route to the other service."""
        last = self.config_versions[-1] if self.config_versions else None
        moved_to = (
            UNSHARDED_SERVICES[1]
            if last and last.moved_route_service == UNSHARDED_SERVICES[0]
            else UNSHARDED_SERVICES[0]
        )
        number = (last.number if last else 0) + self._random.randint(1, 9)
        now_ms = clock.now_ms()
        self.config_versions.append(
            ConfigVersion(
                at_ms=now_ms,
                number=number,
                moved_route_service=moved_to,
            )
        )
        body = {
            "version": number,
            "routes": [
                _route(SINGLE_PATH, service=UNSHARDED_SERVICES[0]),
                _route(MOVED_PATH, service=moved_to),
                _route(
                    NON_IDEMPOTENT_PATH,
                    service=UNSHARDED_SERVICES[1],
                    route_type="non_idempotent",
                ),
                _route(
                    FANOUT_PATH,
                    fanout_services=list(SHARD_SERVICES),
                    top_k=TOP_COUNT,
                    min_shard_fraction=COVERAGE_FLOOR_RATIO,
                ),
            ],
            "services": [
                {"name": name, "max_connections": 60} for name in SERVICES
            ],
            "limits": {
                "max_header_bytes": 4096,
                "max_body_bytes": 4096,
                "header_timeout_ms": 1000,
                "idle_timeout_ms": 4000,
            },
        }
        if self.team_plan is not None:
            body["tenants"] = self.team_plan.next_entries(now_ms)
            for route in body["routes"]:
                is_open = route["prefix"] == ANONYMOUS_PATH
                route["allow_anonymous"] = is_open
        self._configuration = json.dumps(body).encode()
        self.store.put("op/config", self._configuration)


async def _reopen(link: proxy.Proxy, after_s: float) -> None:
    await asyncio.sleep(after_s)
    await link.start()


def _route(prefix: str, **fields: object) -> dict[str, object]:
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "route_type": "idempotent",
        "timeout_ms": 1_500,
        "target_latency_ms": 200,
        "priority": 1,
        "max_attempts": MAX_ATTEMPTS_COUNT,
        **fields,
    }
