"""Traffic configuration of gateways: routes, services, limits and upstreams.

Fields are named by their meaning here. Names used by the configuration's source
occur in `hyssoptack.platform` only.
"""

import dataclasses
import re

from hyssoptack.core import decoding
from hyssoptack.core import digits
from hyssoptack.core import teams


@dataclasses.dataclass(frozen=True, kw_only=True)
class OneService:
    """Sends each request to one upstream of a service."""

    service: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """Weight of a service in a split, relative to the other weights."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Split:
    """Distributes requests among services by weight."""

    shares: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class AllShards:
    """Sends each request to one upstream of each shard and merges the replies.

    Attributes:
        shards: Names of the services that hold the shards.
        top_count: Maximum number of records in the merged answer.
        floor_ratio: Minimum ratio of shards that an answer must cover.
    """

    shards: tuple[str, ...]
    top_count: int
    floor_ratio: float


Target = OneService | Split | AllShards


def services_of(target: Target) -> tuple[str, ...]:
    """Returns the names of all services of a target."""
    match target:
        case OneService(service=service):
            return (service,)
        case Split(shares=shares):
            return tuple(each.service for each in shares)
        case AllShards(shards=shards):
            return shards


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Rules for requests to one path prefix of one host.

    Attributes:
        name: Name set by the operator.
        host: Host name in the request.
        prefix: Path prefix; begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        timeout_ms: Maximum time until the response, in milliseconds.
        latency_goal_ms: Time within which an answer has its full value, in
            milliseconds.
        priority: Priority; 0 is the most urgent.
        max_attempts_count: Maximum number of upstreams (of each shard) that a
            request may be sent to.
        target: Services that requests are sent to.
        allows_anonymous: Whether requests need no key where the configuration
            has teams.
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
    allows_anonymous: bool = False

    @property
    def is_rerunnable(self) -> bool:
        """Whether a request may be sent to upstreams more than once."""
        return self.idempotent and self.max_attempts_count > 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """Properties that all upstreams of a service share.

    Attributes:
        name: Name of the service.
        max_connections_count: Number of connections that each upstream accepts
            from all clients together.
        warmup_ms: Time for which an upstream is cold after its start, in
            milliseconds.
        warmup_per_s: Requests per second that a cold upstream can handle; 0 if
            unlimited.
    """

    name: str
    max_connections_count: int
    warmup_ms: float = 0.0
    warmup_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on the size and duration of callers' requests.

    Attributes:
        max_header_bytes: Maximum size of a request's head.
        max_body_bytes: Maximum size of a request's body.
        header_timeout_ms: Maximum time to receive a head, in milliseconds.
        idle_timeout_ms: Maximum time without a request on a connection, in
            milliseconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One complete version of the traffic configuration.

    Attributes:
        version: Version number; increases with each change, not always by one.
        routes: All routes.
        services: Services by name.
        limits: Limits for callers.
        team_directory: Teams of callers; None if the configuration has no
            teams, so that callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    team_directory: teams.Directory | None = None

    @property
    def shard_services(self) -> frozenset[str]:
        """Names of the services that are shards of an index."""
        return frozenset(
            shard
            for route in self.routes
            if isinstance(route.target, AllShards)
            for shard in route.target.shards
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Upstream:
    """An upstream in the platform's list.

    Attributes:
        upstream_id: Id of one run of the upstream; changes with a restart.
        service: Name of its service.
        address: Address as `HOST:PORT`.
        failure_domain: Failure domain that the upstream runs in.
        slot_count: Number of requests that it processes at the same time.
        draining: Whether it has announced that it drains.
        cold_ms: Remaining warm-up time after its start, in milliseconds.
        listed_id: Id in the platform's list, which may stay the same after a
            restart; empty if it equals `upstream_id`.
    """

    upstream_id: str
    service: str
    address: str
    failure_domain: str
    slot_count: int
    draining: bool
    cold_ms: decoding.Finite
    listed_id: str = ""

    @property
    def expected_id(self) -> str:
        """The id that the upstream expects in calls."""
        return self.listed_id or self.upstream_id


PORT_MAX = 65_535
HOST_LIMIT_COUNT = 253

_HOST = re.compile(
    r"(?:[0-9A-Za-z_-]{1,63}\.)*[0-9A-Za-z_-]{1,63}\.?"
    r"|\[[0-9A-Fa-f:.]+\]|[0-9A-Fa-f]*:[0-9A-Fa-f:.]*"
)
"""A host name, an IPv4 address, or an IPv6 address with or without brackets."""


def split_address(address: str) -> tuple[str, int] | None:
    """Returns host and port of `HOST:PORT`; None if the text is malformed."""
    host, _, port_text = address.rpartition(":")
    port = digits.parse(port_text)
    if port is None or not 0 < port <= PORT_MAX:
        return None
    if len(host) > HOST_LIMIT_COUNT or _HOST.fullmatch(host) is None:
        return None
    return host, port
