"""What operators want done with callers' requests: routes, services, limits.

The records say what each value is for, whatever the source calls it; the
source's own names are read in `hyssoptack.platform` only.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class OneService:
    """Requests go to one upstream of a service."""

    service: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """A service's part of a split, relative to the other parts."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Split:
    """Requests are distributed among services by weight."""

    shares: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class AllShards:
    """Requests go to one upstream of each shard; the answer merges them.

    Attributes:
        shards: The services that hold the shards.
        top_count: Records in the merged answer.
        floor_ratio: The least share of the shards that makes an answer.
    """

    shards: tuple[str, ...]
    top_count: int
    floor_ratio: float


Target = OneService | Split | AllShards


def services_of(target: Target) -> tuple[str, ...]:
    """Returns all services that requests for a target may go to."""
    match target:
        case OneService(service=service):
            return (service,)
        case Split(shares=shares):
            return tuple(each.service for each in shares)
        case AllShards(shards=shards):
            return shards


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """How requests under one prefix of one host are served.

    Attributes:
        name: The operator's name for it.
        host: The host that callers name.
        prefix: Start of the paths; begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        timeout_ms: Longest time that a caller is kept waiting.
        latency_goal_ms: Time within which an answer is of full use.
        priority: Urgency, 0 the most urgent.
        max_attempts_count: Most upstreams (of each shard) that one request may
            be sent to.
        target: Where requests go.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: float
    latency_goal_ms: float
    priority: int
    max_attempts_count: int
    target: Target

    @property
    def is_rerunnable(self) -> bool:
        """Whether two instances may each send a request to upstreams."""
        return self.idempotent and self.max_attempts_count > 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """What is said of a service as a whole.

    Attributes:
        name: Its name.
        max_connections_count: Connections that each of its upstreams accepts,
            from all callers together.
        warmup_ms: How long its upstreams are cold after a start.
        warmup_per_s: Requests a second that a cold one bears; 0 for any number.
    """

    name: str
    max_connections_count: int
    warmup_ms: float = 0.0
    warmup_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """What a caller may send, and how long it may take.

    Attributes:
        max_header_bytes: Most bytes of a request's head.
        max_body_bytes: Most bytes of a request's body.
        header_timeout_ms: Longest time to send a head.
        idle_timeout_ms: Longest time without a request on a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the operators' wishes, whole.

    Attributes:
        version: Grows with each change, by uneven steps.
        routes: All routes.
        services: Services by name.
        limits: Limits for callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits

    @property
    def shard_services(self) -> frozenset[str]:
        """The services that queries go to as shards of an index."""
        return frozenset(
            shard
            for route in self.routes
            if isinstance(route.target, AllShards)
            for shard in route.target.shards
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Upstream:
    """One upstream as the platform lists it.

    Attributes:
        upstream_id: Names one start of the upstream; a restart has another.
        listed_id: Its name in the platform's list, which a restart may keep;
            empty where that is `upstream_id`.
        service: The service that it belongs to.
        address: Host and port.
        failure_domain: Where it runs.
        slot_count: Requests that it works on at a time.
        draining: Whether it said that it leaves.
        cold_ms: How much longer it stays slow after its start.
    """

    upstream_id: str
    service: str
    address: str
    failure_domain: str
    slot_count: int
    draining: bool
    cold_ms: float
    listed_id: str = ""

    @property
    def expected_id(self) -> str:
        """The name that the upstream checks in the calls that it gets."""
        return self.listed_id or self.upstream_id


PORT_MAX = 65_535


def split_address(address: str) -> tuple[str, int] | None:
    """Splits HOST:PORT; returns None where it is not that."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= PORT_MAX:
        return None
    return host, int(port)
