"""Decodes values of the platform's store into records of `core.traffic`.

The field names below are the platform's; they appear in no other module.
"""

import typing

import expression
import msgspec

from hyssoptack.core import decoding
from hyssoptack.core import teams
from hyssoptack.core import traffic
from hyssoptack.http1 import message

OPERATOR_PREFIX = "op/"
"""Prefix of all keys that operators write; instances read it in one call."""

CONFIGURATION_KEY = OPERATOR_PREFIX + "config"
_EVACUATION_PREFIX = OPERATOR_PREFIX + "evacuate/"
UPSTREAM_PREFIX = "servers/"
OWN_PREFIX = "hyssoptack/"
"""Prefix of all keys that instances write; they read it in one call."""

PEER_PREFIX = OWN_PREFIX + "peers/"
BLOCKED_PREFIX = OWN_PREFIX + "blocked/"

_IDEMPOTENT = "idempotent"
_DRAINING = "draining"


class _SplitPart(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float
    priority: decoding.Int64
    max_attempts: decoding.Int64
    service: str | None = None
    traffic_split: list[_SplitPart] | None = None
    # The shards of an index, each of which is a service.
    fanout_services: list[str] | None = None
    top_k: decoding.Int64 = 0
    min_shard_fraction: float = 0.0
    allow_anonymous: bool | None = None


class _Service(msgspec.Struct):
    name: str
    # Limit for one upstream over all its callers, not for each caller.
    max_connections: decoding.Int64
    # Absent where a cold upstream may get any number of requests.
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: decoding.Int64
    max_body_bytes: decoding.Int64
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    priority: decoding.Int64 | None = None
    # 0 or null means that the team is not limited.
    rate_per_s: float | None = None
    burst: float | None = None


class _Configuration(msgspec.Struct):
    version: decoding.Int64
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: decoding.Int64
    state: typing.Literal["ready", "draining"]
    warmup_remaining_ms: float = 0.0
    # Unix time of its start, in ms: distinguishes two starts under one id. 0
    # where the entry has none; ids are then new at each start.
    born: decoding.Int64 = 0


_CONFIGURATION = msgspec.json.Decoder(_Configuration)
_SERVER = msgspec.json.Decoder(_Server)


def parse_configuration(
    data: bytes,
) -> expression.Result[traffic.Configuration, str]:
    """Decodes a configuration.

    Args:
        data: The stored value.

    Returns:
        The configuration, or an error text.
    """
    match decoding.decode(_CONFIGURATION.decode, data):
        case expression.Result(tag="ok", ok=raw):
            pass
        case expression.Result(error=detail):
            return expression.Error(f"unreadable configuration: {detail}")
    try:
        return expression.Ok(
            traffic.Configuration(
                version=raw.version,
                routes=tuple(_route(each) for each in raw.routes),
                services={each.name: _service(each) for each in raw.services},
                limits=_limits(raw.limits),
                team_directory=_team_directory(raw.tenants),
            )
        )
    except ValueError as error:
        return expression.Error(f"unreadable configuration: {error}")


def _route(raw: _Route) -> traffic.Route:
    return traffic.Route(
        name=raw.name,
        host=raw.host.lower(),
        prefix=raw.prefix,
        idempotent=raw.route_type == _IDEMPOTENT,
        timeout_ms=raw.timeout_ms,
        latency_goal_ms=raw.target_latency_ms,
        priority=raw.priority,
        max_attempts_count=max(1, raw.max_attempts),
        target=_target(raw),
        allows_anonymous=bool(raw.allow_anonymous),
    )


def _target(raw: _Route) -> traffic.Target:
    if raw.fanout_services:
        return traffic.AllShards(
            shards=tuple(raw.fanout_services),
            top_count=raw.top_k,
            floor_ratio=raw.min_shard_fraction,
        )
    if raw.traffic_split:
        shares = tuple(
            traffic.Share(service=each.service, weight=each.weight)
            for each in raw.traffic_split
        )
        return traffic.Split(shares=shares)
    if raw.service:
        return traffic.OneService(service=raw.service)
    raise ValueError(
        f"route {raw.name}: expected service, traffic_split or fanout_services"
    )


def _service(raw: _Service) -> traffic.Service:
    return traffic.Service(
        name=raw.name,
        max_connections_count=raw.max_connections,
        warmup_ms=max(0.0, raw.warmup_s) * message.MS_PER_S,
        warmup_per_s=max(0.0, raw.warmup_per_s),
    )


def _team_directory(raw: list[_Tenant] | None) -> teams.Directory | None:
    if raw is None:
        return None
    for each in raw:
        if not _is_visible_ascii(each.name):
            # The name is sent in a header of each call.
            raise ValueError(
                f"team {each.name!r}: expected a name of visible ASCII"
            )
    return teams.new_directory(
        (_team(each), [key.encode() for key in each.api_keys]) for each in raw
    )


def _team(raw: _Tenant) -> teams.Team:
    rate_limit = None
    if raw.rate_per_s is not None and raw.rate_per_s > 0:
        rate_limit = teams.RateLimit(
            rate_per_s=min(decoding.FINITE_MAX, raw.rate_per_s),
            burst_count=min(decoding.FINITE_MAX, max(0.0, raw.burst or 0.0)),
        )
    return teams.Team(
        name=raw.name, priority=raw.priority, rate_limit=rate_limit
    )


def _limits(raw: _Limits) -> traffic.Limits:
    return traffic.Limits(
        max_header_bytes=raw.max_header_bytes,
        max_body_bytes=raw.max_body_bytes,
        header_timeout_ms=raw.header_timeout_ms,
        idle_timeout_ms=raw.idle_timeout_ms,
    )


def parse_upstream(
    key: str, data: bytes
) -> expression.Result[traffic.Upstream, str]:
    """Decodes one entry of the list of upstreams.

    Args:
        key: The entry's key; the value does not hold the upstream's id.
        data: The stored value.

    Returns:
        The upstream, or an error text.
    """
    match decoding.decode(_SERVER.decode, data):
        case expression.Result(tag="ok", ok=raw):
            pass
        case expression.Result(error=detail):
            return expression.Error(f"unreadable entry: {detail}")
    listed_id = key.removeprefix(UPSTREAM_PREFIX)
    if not _is_visible_ascii(listed_id):
        # The id is sent in a header of each call.
        return expression.Error(
            "unreadable entry: expected an id of visible ASCII"
        )
    if traffic.split_address(raw.address) is None:
        return expression.Error(
            f"unreadable entry: expected HOST:PORT, got {raw.address!r}"
        )
    return expression.Ok(
        traffic.Upstream(
            upstream_id=f"{listed_id}#{raw.born}" if raw.born else listed_id,
            listed_id=listed_id,
            service=raw.service,
            address=raw.address,
            failure_domain=raw.zone,
            slot_count=max(1, raw.slots),
            draining=raw.state == _DRAINING,
            cold_ms=raw.warmup_remaining_ms,
        )
    )


def evacuated_domain(key: str) -> str | None:
    """Returns the failure domain that a key evacuates; None for other keys."""
    domain = key.removeprefix(_EVACUATION_PREFIX)
    return domain if domain != key and _is_visible_ascii(domain) else None


def _is_visible_ascii(name: str) -> bool:
    """Returns whether a name is visible ASCII only, and not empty."""
    # Printable ASCII is visible ASCII and the space. A look at each character
    # took a fifth of the time to decode a configuration with 10,000 teams.
    return (name.isascii() and name.isprintable() and " " not in name) and bool(
        name
    )
