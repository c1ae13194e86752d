"""The operators' configuration: profiles, services, shards, upstreams."""

import dataclasses

from hyssoptack.core import keyspace
from hyssoptack.core import query


@dataclasses.dataclass(frozen=True, kw_only=True)
class Profile:
    """What a service may expect.

    Attributes:
        name: What services pick it by.
        deadline_ms: How late an answer may be.
        coverage_floor_ratio: How much coverage is enough.
        extra_load_ceiling_ratio: Extra upstream calls tolerated for each first
            call.
        hedge_after_ratio: The quantile of an upstream's latency after which a
            hedge may go.
        urgency: The class of searches that name none.
        latency_goal_ratio: The share of requests that must be in time, for the
            burn report.
    """

    name: str
    deadline_ms: int
    coverage_floor_ratio: float
    extra_load_ceiling_ratio: float
    hedge_after_ratio: float = 0.95
    latency_goal_ratio: float = 0.99
    urgency: query.Urgency = query.Urgency.BROWSING


@dataclasses.dataclass(frozen=True, kw_only=True)
class Upstream:
    """One back end.

    Attributes:
        upstream_id: Its name.
        failure_domain: Where it runs; only relays of this domain reach it.
        address: `IP:port`.
        slot_count: Requests that it runs at the same time.
        connection_limit_count: Connections that it accepts.
        connect_cost_ms: What a new connection costs.
    """

    upstream_id: str
    failure_domain: str
    address: str
    slot_count: int
    connection_limit_count: int
    connect_cost_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shard:
    """A key range of a service, and the upstreams that hold it."""

    shard_id: str
    key_range: keyspace.KeyRange
    upstream_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """One service: its profile, kind and shards.

    Attributes:
        name: What callers name it by.
        team: The customer that it belongs to.
        profile: The name of the profile that it picks.
        accepts_actions: Whether non-idempotent requests are allowed.
        action_retention_ms: How long an idempotency key is remembered.
        shards: Disjoint key ranges with their upstreams.
        upstreams: All upstreams of the service by their identifier.
    """

    name: str
    team: str
    profile: str
    accepts_actions: bool
    action_retention_ms: int
    shards: tuple[Shard, ...]
    upstreams: dict[str, Upstream]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Catalog:
    """One revision of the operators' configuration.

    Attributes:
        revision: Its place in the chain; 0 is 'none yet'.
        profiles: Profiles by name.
        services: Services by name.
    """

    revision: int
    profiles: dict[str, Profile]
    services: dict[str, Service]

    def upstream(self, upstream_id: str) -> Upstream | None:
        """Finds an upstream of any service, or None."""
        for service in self.services.values():
            found = service.upstreams.get(upstream_id)
            if found is not None:
                return found
        return None


EMPTY = Catalog(revision=0, profiles={}, services={})


@dataclasses.dataclass(frozen=True, kw_only=True)
class TrailEntry:
    """One earlier revision, for the history."""

    revision: int
    change_id: str
    author: str
    applied_at_text: str
    changed_parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Manifest:
    """The head of the revision chain.

    Attributes:
        revision: One more than the predecessor's.
        change_id: Names the operator's change, so that a lost answer can be
            settled by a read.
        author: Who applied it.
        applied_at_text: When, as an ISO 8601 text.
        parts: Digest of each part by part name; a part is kept under its
            digest.
    """

    revision: int
    change_id: str
    author: str
    applied_at_text: str
    parts: dict[str, str]
    trail: tuple[TrailEntry, ...] = ()
