"""Splits the operators' YAML configuration into parts and parses them.

A part is the YAML text of all profiles or of one service. Parts are stored
under their digests, so a change to one service transfers only one part, and
the head of the chain stays far below the size limit of one stored value for
any number of services.
"""

import hashlib
import typing

import yaml

from hyssoptack.core import catalog
from hyssoptack.core import keyspace
from hyssoptack.core import query
from hyssoptack.settings import validation

PROFILES_PART = "profiles"
SERVICE_PREFIX = "service/"
PART_LIMIT_BYTES = 1_000_000
_CLASSES = tuple(each.value for each in query.Urgency)
_DAY_MS = 86_400_000


def digest_of(text: str) -> str:
    """Returns the digest under which a part is stored."""
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _profile(name: str, fields: validation.Fields) -> catalog.Profile:
    result = catalog.Profile(
        name=name,
        deadline_ms=fields.count("deadline_ms", 1, 60_000),
        coverage_floor_ratio=fields.ratio("coverage_floor_ratio"),
        extra_load_ceiling_ratio=fields.ratio("extra_load_ceiling_ratio"),
        hedge_after_ratio=fields.ratio("hedge_after_ratio", 0.95),
        latency_goal_ratio=fields.ratio("latency_goal_ratio", 0.99),
        urgency=query.Urgency(
            fields.choice("class", _CLASSES, query.Urgency.BROWSING.value)
        ),
    )
    fields.reject_unknown()
    return result


def _upstream(
    fields: validation.Fields, defaults: dict[str, typing.Any]
) -> catalog.Upstream:
    result = catalog.Upstream(
        upstream_id=fields.text("upstream_id"),
        failure_domain=fields.text("failure_domain"),
        address=fields.address("address"),
        slot_count=fields.count(
            "slot_count", 1, 10_000, defaults["slot_count"]
        ),
        connection_limit_count=fields.count(
            "connection_limit_count",
            1,
            100_000,
            defaults["connection_limit_count"],
        ),
        connect_cost_ms=fields.number(
            "connect_cost_ms", 0, 10_000, defaults["connect_cost_ms"]
        ),
    )
    fields.reject_unknown()
    return result


def _upstream_defaults(fields: validation.Fields) -> dict[str, typing.Any]:
    result = {
        "slot_count": fields.count("slot_count", 1, 10_000),
        "connection_limit_count": fields.count(
            "connection_limit_count", 1, 100_000
        ),
        "connect_cost_ms": fields.number("connect_cost_ms", 0, 10_000),
    }
    fields.reject_unknown()
    return result


def _shard(
    fields: validation.Fields, defaults: dict[str, typing.Any]
) -> tuple[catalog.Shard, list[catalog.Upstream]]:
    low = fields.count("low", 0, keyspace.KEYSPACE_SIZE_COUNT - 1)
    high = fields.count("high", 1, keyspace.KEYSPACE_SIZE_COUNT)
    if high <= low:
        fields.error("high", high, "a key above low")
    upstreams = [
        _upstream(each, defaults) for each in fields.mapping_list("upstreams")
    ]
    shard = catalog.Shard(
        shard_id=fields.text("shard_id"),
        key_range=keyspace.KeyRange(low, high),
        upstream_ids=tuple(upstream.upstream_id for upstream in upstreams),
    )
    fields.reject_unknown()
    return shard, upstreams


def _check_shards(
    fields: validation.Fields,
    shards: list[catalog.Shard],
    upstreams: list[catalog.Upstream],
) -> None:
    """Reports overlapping ranges, gaps and duplicate upstream ids."""
    ranges = sorted(shard.key_range for shard in shards)
    position = 0
    for each in ranges:
        if each.low != position:
            fields.error(
                "shards",
                (each.low, each.high),
                f"a range that starts at {position}",
            )
        position = each.high
    if ranges and position != keyspace.KEYSPACE_SIZE_COUNT:
        fields.error(
            "shards", position, f"ranges up to {keyspace.KEYSPACE_SIZE_COUNT}"
        )
    names = [upstream.upstream_id for upstream in upstreams]
    for name in sorted({name for name in names if names.count(name) > 1}):
        fields.error("shards", name, "each upstream_id once")


def _service(name: str, fields: validation.Fields) -> catalog.Service:
    defaults = _upstream_defaults(
        fields.submapping("upstream_defaults", required=True)
    )
    pairs = [_shard(each, defaults) for each in fields.mapping_list("shards")]
    shards = [shard for shard, _ in pairs]
    upstreams = [upstream for _, group in pairs for upstream in group]
    _check_shards(fields, shards, upstreams)
    result = catalog.Service(
        name=name,
        team=fields.text("team"),
        profile=fields.text("profile"),
        accepts_actions=fields.flag("accepts_actions", False),
        action_retention_ms=fields.count(
            "action_retention_ms", 1_000, 30 * _DAY_MS, _DAY_MS
        ),
        shards=tuple(shards),
        upstreams={upstream.upstream_id: upstream for upstream in upstreams},
    )
    fields.reject_unknown()
    return result


def split(
    text: str, file: str
) -> tuple[dict[str, str], list[validation.SettingsError]]:
    """Splits a configuration document into part texts by part name.

    Returns:
        The parts and a list of errors in the document's structure or values.
    """
    document, errors = validation.parse_yaml(text, file)
    if errors:
        return {}, errors
    if not isinstance(document, dict) or set(document) != {
        "profiles",
        "services",
    }:
        found = (
            sorted(map(str, document))
            if isinstance(document, dict)
            else document
        )
        error = validation.SettingsError(
            file=file,
            key="(document)",
            value=validation.abbreviated(found),
            expected="profiles and services",
        )
        return {}, [error]
    services = document["services"]
    if not isinstance(services, dict):
        # Read as no services, it would drop all that are in force.
        error = validation.SettingsError(
            file=file,
            key="services",
            value=validation.abbreviated(services),
            expected="a mapping from names to services",
        )
        return {}, [error]
    parts = {PROFILES_PART: _dump({"profiles": document["profiles"]})}
    for name, body in services.items():
        parts[SERVICE_PREFIX + str(name)] = _dump({"service": body})
    _, errors = assemble(0, parts, file)
    return parts, errors


def assemble(
    revision: int, parts: dict[str, str], file: str
) -> tuple[catalog.Catalog, list[validation.SettingsError]]:
    """Builds and validates a catalog from part texts.

    Args:
        revision: Revision of the parts.
        parts: Part texts by part name.
        file: Origin of the parts, for errors.

    Returns:
        The catalog and a list of errors; valid only when the list is empty.
    """
    errors: list[validation.SettingsError] = []
    profiles: dict[str, catalog.Profile] = {}
    services: dict[str, catalog.Service] = {}
    for part_name in sorted(parts):
        text = parts[part_name]
        if len(text.encode()) > PART_LIMIT_BYTES:
            errors.append(
                validation.SettingsError(
                    file=file,
                    key=part_name,
                    value=f"{len(text.encode())} bytes",
                    expected=f"at most {PART_LIMIT_BYTES} bytes",
                )
            )
            continue
        document, yaml_errors = validation.parse_yaml(text, file)
        errors.extend(yaml_errors)
        fields = validation.Fields(document, file, "", errors)
        if part_name == PROFILES_PART:
            for name, each in fields.named_mappings("profiles").items():
                profiles[name] = _profile(name, each)
        else:
            name = part_name.removeprefix(SERVICE_PREFIX)
            each = fields.submapping("service", required=True)
            each.path = f"services.{name}"
            services[name] = _service(name, each)
    for service in services.values():
        if service.profile not in profiles:
            errors.append(
                validation.SettingsError(
                    file=file,
                    key=f"services.{service.name}.profile",
                    value=validation.abbreviated(service.profile),
                    expected="one of: " + ", ".join(sorted(profiles)),
                )
            )
    return catalog.Catalog(
        revision=revision, profiles=profiles, services=services
    ), errors


def _dump(document: object) -> str:
    return yaml.dump(
        document,
        sort_keys=True,
        default_flow_style=None,
        width=200,
        allow_unicode=True,
    )
