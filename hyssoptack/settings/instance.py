"""Settings of an entry instance: addresses, domain, platform, limits."""

import dataclasses
import pathlib

from hyssoptack.settings import validation

_HOUR_MS = 3_600_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """Addresses, timeouts and staleness bounds of the platform's services.

    Attributes:
        store_address: Address of the key-value service.
        instance_list_address: Address of the service that lists live and
            leaving instances.
        timeout_ms: Timeout of one call to the store.
        watch_ms: Duration of one long poll.
        instance_list_lag_ms: Longest delay of the instance list; a new instance
            waits this long before it uses its shares of upstreams.
        list_period_ms: Interval between reads of the instance list.
        watcher_count: Instances of each failure domain that watch the store.
    """

    store_address: str
    instance_list_address: str
    timeout_ms: float
    watch_ms: float
    instance_list_lag_ms: float
    list_period_ms: float
    watcher_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class FrontSettings:
    """Limits of the port for callers.

    Attributes:
        thread_count: Threads that read requests and wait for answers.
        max_query_count: Maximum number of queries in flight at the same time.
        urgent_reserve_count: Number of these reserved for urgent lookups.
        max_action_count: Maximum number of actions in flight at the same time.
        body_limit_bytes: Size of the largest body accepted.
        client_timeout_ms: Longest wait for a caller's next bytes.
    """

    thread_count: int
    max_query_count: int
    urgent_reserve_count: int
    max_action_count: int
    body_limit_bytes: int
    client_timeout_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerSettings:
    """Settings of the gossip between instances.

    Attributes:
        period_ms: Time between heartbeats.
        fanout_count: Peers to which each heartbeat is sent.
        suspect_after_ms: Time without a message after which a peer gets no
            new sub-queries.
        link_idle_ms: Time after which unused links are closed.
        seed_addresses: Peers to contact while the platform is unreachable.
    """

    period_ms: float
    fanout_count: int
    suspect_after_ms: float
    link_idle_ms: float
    seed_addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelaySettings:
    """Settings of the connections to upstreams.

    Attributes:
        owner_count: Maximum number of instances of a failure domain that share
            one upstream.
        column_size_count: Maximum number of upstreams in a column, a group of
            upstreams with the same owners.
        flush_ms: How long finished replies are collected into a batch before
            they are sent.
        queue_limit_count: Maximum number of calls queued for one upstream.
        claim_max_age_ms: Maximum time from the start of an attempt at an action
            to its send; an older claim is released instead.
    """

    owner_count: int
    column_size_count: int
    flush_ms: float
    queue_limit_count: int
    claim_max_age_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShutdownSettings:
    """Settings of a planned stop.

    Attributes:
        balancer_lag_ms: How long new requests may still arrive after the health
            probe fails.
        drain_limit_ms: Longest wait for requests in flight.
    """

    balancer_lag_ms: float
    drain_limit_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceSettings:
    """All settings of one instance.

    Attributes:
        instance_id: The instance's unique name.
        failure_domain: The failure domain in which it runs.
        front_address: Address of the port for callers.
        operator_address: Address of the port for operators.
        peer_address: Address of the port for peers.
        log_path: Log file; empty for standard error.
        platform: The platform's services.
        front: Limits of the port for callers.
        peers: Gossip between instances.
        relay: Connections to upstreams.
        shutdown: Planned stops.
    """

    instance_id: str
    failure_domain: str
    front_address: str
    operator_address: str
    peer_address: str
    log_path: str
    platform: PlatformSettings
    front: FrontSettings
    peers: PeerSettings
    relay: RelaySettings
    shutdown: ShutdownSettings


def _platform(fields: validation.Fields) -> PlatformSettings:
    result = PlatformSettings(
        store_address=fields.address("store_address"),
        instance_list_address=fields.address("instance_list_address"),
        timeout_ms=fields.number("timeout_ms", 1, 60_000, 500),
        watch_ms=fields.number("watch_ms", 100, 600_000, 10_000),
        instance_list_lag_ms=fields.number(
            "instance_list_lag_ms", 0, 600_000, 2_000
        ),
        list_period_ms=fields.number("list_period_ms", 50, 600_000, 500),
        watcher_count=fields.count("watcher_count", 1, 10, 2),
    )
    fields.reject_unknown()
    return result


def _front(fields: validation.Fields) -> FrontSettings:
    result = FrontSettings(
        thread_count=fields.count("thread_count", 4, 1_000, 64),
        max_query_count=fields.count("max_query_count", 1, 10_000, 24),
        urgent_reserve_count=fields.count("urgent_reserve_count", 0, 10_000, 8),
        max_action_count=fields.count("max_action_count", 1, 10_000, 16),
        body_limit_bytes=fields.count(
            "body_limit_bytes", 256, 10_000_000, 65_536
        ),
        client_timeout_ms=fields.number(
            "client_timeout_ms", 100, 600_000, 2_000
        ),
    )
    if result.urgent_reserve_count >= result.max_query_count:
        fields.error(
            "urgent_reserve_count",
            result.urgent_reserve_count,
            "below max_query_count",
        )
    if result.max_query_count + result.max_action_count >= result.thread_count:
        fields.error(
            "thread_count",
            result.thread_count,
            "more than max_query_count + max_action_count",
        )
    fields.reject_unknown()
    return result


def _peers(fields: validation.Fields) -> PeerSettings:
    result = PeerSettings(
        period_ms=fields.number("period_ms", 50, 60_000, 500),
        fanout_count=fields.count("fanout_count", 1, 64, 4),
        suspect_after_ms=fields.number("suspect_after_ms", 100, 600_000, 3_000),
        link_idle_ms=fields.number("link_idle_ms", 1_000, _HOUR_MS, 60_000),
        seed_addresses=fields.addresses("seed_addresses"),
    )
    fields.reject_unknown()
    return result


def _relay(fields: validation.Fields) -> RelaySettings:
    result = RelaySettings(
        owner_count=fields.count("owner_count", 1, 1_000, 3),
        column_size_count=fields.count("column_size_count", 1, 10_000, 40),
        flush_ms=fields.number("flush_ms", 0, 100, 4),
        queue_limit_count=fields.count("queue_limit_count", 0, 10_000, 32),
        claim_max_age_ms=fields.number("claim_max_age_ms", 10, 600_000, 2_000),
    )
    fields.reject_unknown()
    return result


def _shutdown(fields: validation.Fields) -> ShutdownSettings:
    result = ShutdownSettings(
        balancer_lag_ms=fields.number("balancer_lag_ms", 0, 600_000, 1_500),
        drain_limit_ms=fields.number("drain_limit_ms", 0, 600_000, 10_000),
    )
    fields.reject_unknown()
    return result


def parse(
    text: str, file: str
) -> tuple[InstanceSettings, list[validation.SettingsError]]:
    """Parses and validates instance settings from YAML text.

    Args:
        text: The document.
        file: The document's name, for errors.

    Returns:
        The settings and a list of errors; the settings are valid only when the
        list is empty.
    """
    document, errors = validation.parse_yaml(text, file)
    if errors:
        document = {}
    fields = validation.Fields(document, file, "", errors)
    result = InstanceSettings(
        instance_id=fields.text("instance_id"),
        failure_domain=fields.text("failure_domain"),
        front_address=fields.address("front_address"),
        operator_address=fields.address("operator_address"),
        peer_address=fields.address("peer_address"),
        log_path=fields.text("log_path", ""),
        platform=_platform(fields.submapping("platform", required=True)),
        front=_front(fields.submapping("front")),
        peers=_peers(fields.submapping("peers")),
        relay=_relay(fields.submapping("relay")),
        shutdown=_shutdown(fields.submapping("shutdown")),
    )
    fields.reject_unknown()
    return result, errors


def load(
    path: pathlib.Path,
) -> tuple[InstanceSettings | None, list[validation.SettingsError]]:
    """Reads and validates instance settings from a file.

    Returns:
        The settings and no errors, or None and the errors.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return None, [
            validation.SettingsError(
                file=str(path),
                key="(file)",
                value=str(error),
                expected="a readable UTF-8 file",
            )
        ]
    result, errors = parse(text, str(path))
    return (None if errors else result), errors
