"""Configuration set by operators: profiles, services, shards, upstreams."""

import dataclasses

from hyssoptack.core import keyspace
from hyssoptack.core import query


@dataclasses.dataclass(frozen=True, kw_only=True)
class Profile:
    """Service level of the services that select this profile.

    Attributes:
        name: Name that services refer to.
        deadline_ms: Deadline of an answer, in milliseconds.
        coverage_floor_ratio: Minimum coverage of an answer.
        extra_load_ceiling_ratio: Maximum number of extra upstream calls per
            first call.
        hedge_after_ratio: Quantile of a service's latency after which a hedge
            may be sent.
        latency_goal_ratio: Ratio of requests that must be in time, for the
            burn report.
        urgency: Class of searches that do not state one.
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
    """A back end server.

    Attributes:
        upstream_id: Id of the upstream.
        failure_domain: Failure domain; only relays of this domain can reach
            the upstream.
        address: Address as `IP:port`.
        slot_count: Number of requests that it runs at the same time.
        connection_limit_count: Number of connections that it accepts.
        connect_cost_ms: Cost of a new connection, in milliseconds.
    """

    upstream_id: str
    failure_domain: str
    address: str
    slot_count: int
    connection_limit_count: int
    connect_cost_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shard:
    """A key range of a service and the ids of upstreams that hold it."""

    shard_id: str
    key_range: keyspace.KeyRange
    upstream_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service with its profile, shards and upstreams.

    Attributes:
        name: Name that callers use.
        team: Team that owns the service.
        profile: Name of the service's profile.
        accepts_actions: Whether non-idempotent requests are allowed.
        action_retention_ms: Retention of idempotency keys, in milliseconds.
        shards: Shards with disjoint key ranges.
        upstreams: All upstreams of the service by id.
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
    """One revision of the configuration.

    Attributes:
        revision: Number in the chain of revisions; 0 before the first one.
        profiles: Profiles by name.
        services: Services by name.
    """

    revision: int
    profiles: dict[str, Profile]
    services: dict[str, Service]

    def upstream(self, upstream_id: str) -> Upstream | None:
        """Returns an upstream of any service by id, or None."""
        for service in self.services.values():
            found = service.upstreams.get(upstream_id)
            if found is not None:
                return found
        return None


EMPTY = Catalog(revision=0, profiles={}, services={})


@dataclasses.dataclass(frozen=True, kw_only=True)
class TrailEntry:
    """An earlier revision in the history of a manifest."""

    revision: int
    change_id: str
    author: str
    applied_at_text: str
    changed_parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Manifest:
    """Newest revision of the configuration: number, author, parts' digests.

    It is stored as the head of the chain of revisions.

    Attributes:
        revision: Number of the revision; one more than its predecessor's.
        change_id: Id of the operator's change. If the reply to a write is lost,
            a read finds out by this id whether the change was applied.
        author: Name of the operator who applied the revision.
        applied_at_text: Time at which it was applied, in ISO 8601.
        parts: Digests of the parts by part name; each part is stored under its
            digest.
        trail: Earlier revisions, for the history.
    """

    revision: int
    change_id: str
    author: str
    applied_at_text: str
    parts: dict[str, str]
    trail: tuple[TrailEntry, ...] = ()
