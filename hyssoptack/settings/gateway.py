"""Settings of a gateway: reads a YAML file into a validated, frozen record.

JSON is a subset of YAML, and a file that begins like JSON is decoded as JSON:
loading the YAML library takes 25 ms of the start of a small machine.
"""

import dataclasses
import functools
import math
import os
import pathlib

import expression
import msgspec

from hyssoptack.core import decoding
from hyssoptack.core import mechanism
from hyssoptack.core import traffic
from hyssoptack.core import warmuplimits


@dataclasses.dataclass(frozen=True, kw_only=True)
class BudgetSettings:
    """Budget for extra calls, shared by all instances.

    The defaults apply to a platform that specifies no budget: a ratio of 0.1,
    the lowest in the users' profiles, and no slack.

    Attributes:
        ratio: Extra calls allowed per request to a service.
        window_ms: Length of the window in which calls are counted.
        slack_count: Further extra calls allowed in each window.
    """

    ratio: float = 0.1
    window_ms: float = 10_000.0
    slack_count: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RateLimitSettings:
    """How operators check the rate limits of teams.

    In any window, upstreams may run (rate x window + burst) x
    (1 + `overage_ratio`) + `slack_count` requests of a team.

    Attributes:
        window_ms: Length of the window.
        overage_ratio: Tolerated excess, as a part of the limit.
        slack_count: Further tolerated requests in each window.
    """

    window_ms: float = 5_000.0
    overage_ratio: float = 0.0
    slack_count: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionSettings:
    """Admission control of an instance.

    Attributes:
        enabled: Whether requests are queued and refused when the instance or
            the upstreams lack capacity.
    """

    enabled: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """One gateway's settings.

    Attributes:
        instance_id: This instance's unique name.
        failure_domain: The failure domain in which it runs.
        failure_domains: Region of each failure domain.
        callers_address: Address of the port for callers.
        readiness_address: Address of the readiness probe for the balancer.
        peer_address: Address of the port for peers; empty for none.
        metrics_address: Address of the metrics port; empty for none.
        store_address: Address of the platform's store.
        lease_min_ms: The shortest lease that the store grants.
        lease_ms: Duration of the lease under which this instance is listed.
            During network cuts shorter than this it stays listed. A crashed
            instance costs its neighbours a few messages until its lease
            expires. With 195 instances and a lease of 10 s, renewals are a
            sixth of all calls to the store.
        grace_ms: Time from a stop signal to the kill.
        leaving_bound_ms: Time after which an upstream that has announced that
            it leaves must get no more requests.
        configuration_bound_ms: Time after which a new configuration must be
            in force.
        evacuation_bound_ms: Time after which the upstreams of an evacuated
            failure domain must get no more requests.
        budget: Budget for extra calls.
        warmup: Limits on requests to cold upstreams.
        rate_limit: How rate limits of teams are checked; None if the platform
            checks none, and teams are then not limited.
        admission: Admission control.
        link_mbps: Capacity of this instance's network link in Mbit/s; 0 if
            unknown: queries are then neither delegated nor accepted.
        crossing_ratio: Latency that a call into another failure domain must
            save to justify its network cost, as a multiple of the latency of
            calls of its route. 1.5 gave better results on both of the users'
            sites than fixed savings of 15 ms or 35 ms
            (docs/design/0009-placing.md).
        trusted_fingerprints: Requests that operators know to be harmless: they
            are never suspected of crashing upstreams.
        mechanisms: The enabled mechanisms; changed in experiments only.
    """

    instance_id: str
    failure_domain: str
    failure_domains: dict[str, str]
    callers_address: str
    readiness_address: str
    store_address: str
    budget: BudgetSettings
    warmup: warmuplimits.WarmupLimits = warmuplimits.WarmupLimits()
    rate_limit: RateLimitSettings | None = None
    admission: AdmissionSettings = AdmissionSettings()
    grace_ms: float = 6_000.0
    leaving_bound_ms: float = 3_000.0
    configuration_bound_ms: float = 3_000.0
    evacuation_bound_ms: float = 5_000.0
    lease_min_ms: float = 1_000.0
    lease_ms: float = 20_000.0
    peer_address: str = ""
    metrics_address: str = ""
    link_mbps: float = 0.0
    crossing_ratio: float = 1.5
    trusted_fingerprints: tuple[str, ...] = ()
    mechanisms: mechanism.Mechanisms = mechanism.ALL_ENABLED

    @property
    def propagation_bound_ms(self) -> float:
        """Time within which any change in the store must take effect."""
        return min(
            self.leaving_bound_ms,
            self.configuration_bound_ms,
            self.evacuation_bound_ms,
        )


def load(path: str) -> expression.Result[GatewaySettings, str]:
    """Reads and validates a settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings, or an error text of one line.
    """
    try:
        data = pathlib.Path(path).read_bytes()
        return parse(data).map_error(lambda detail: f"{path}: {detail}")
    except OSError as error:
        return expression.Error(f"{path}: {error.strerror}")


def modified_ns(path: str) -> int:
    """Returns a file's modification time; 0 if it cannot be read."""
    try:
        return os.stat(path).st_mtime_ns if path else 0
    except OSError:
        # The file is being replaced: the next check finds the new one.
        return 0


_decode_json = functools.partial(msgspec.json.decode, type=GatewaySettings)
_decode_yaml = functools.partial(msgspec.yaml.decode, type=GatewaySettings)


def parse(data: bytes) -> expression.Result[GatewaySettings, str]:
    """Parses and validates settings in YAML or JSON."""
    is_json = data.lstrip().startswith(b"{")
    match decoding.decode(_decode_json if is_json else _decode_yaml, data):
        case expression.Result(tag="ok", ok=settings):
            pass
        case expression.Result(error=detail):
            return expression.Error(detail)
    if name := _nonfinite_name(dataclasses.asdict(settings)):
        return expression.Error(f"{name}: expected a finite number")
    return _validated(settings)


def _nonfinite_name(document: dict[str, object], path: str = "") -> str:
    """Returns the path of a number that is NaN or infinite; empty if none."""
    for name, value in document.items():
        match value:
            case float() if not math.isfinite(value):
                return path + name
            case dict():
                if found := _nonfinite_name(value, f"{path}{name}."):
                    return found
    return ""


def _validated(
    settings: GatewaySettings,
) -> expression.Result[GatewaySettings, str]:
    addresses = {
        "callers_address": settings.callers_address,
        "readiness_address": settings.readiness_address,
        "store_address": settings.store_address,
    }
    optional = {
        "peer_address": settings.peer_address,
        "metrics_address": settings.metrics_address,
    }
    addresses.update({name: each for name, each in optional.items() if each})
    for name, address in addresses.items():
        if traffic.split_address(address) is None:
            return expression.Error(
                f"{name}: expected HOST:PORT, got {address!r}"
            )
    if settings.failure_domain not in settings.failure_domains:
        return expression.Error(
            "failure_domain: expected one of failure_domains, got "
            f"{settings.failure_domain!r}"
        )
    positive = {
        "grace_ms": settings.grace_ms,
        "leaving_bound_ms": settings.leaving_bound_ms,
        "configuration_bound_ms": settings.configuration_bound_ms,
        "evacuation_bound_ms": settings.evacuation_bound_ms,
        "lease_ms": settings.lease_ms,
        "budget.window_ms": settings.budget.window_ms,
    }
    for name, value in positive.items():
        if value <= 0:
            return expression.Error(
                f"{name}: expected a value above 0, got {value}"
            )
    if min(settings.budget.ratio, settings.crossing_ratio) < 0:
        return expression.Error(
            "budget.ratio, crossing_ratio: expected 0 or more for both"
        )
    if min(settings.warmup.overage_ratio, settings.warmup.slack_count) < 0:
        return expression.Error(
            "warmup.overage_ratio, warmup.slack_count: expected 0 or more for "
            "both"
        )
    if settings.rate_limit is not None:
        rate_limit = settings.rate_limit
        if rate_limit.window_ms <= 0 or (
            min(rate_limit.overage_ratio, rate_limit.slack_count) < 0
        ):
            return expression.Error(
                "rate_limit: expected window_ms above 0, overage_ratio and "
                "slack_count of 0 or more"
            )
    return expression.Ok(settings)
