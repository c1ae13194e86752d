"""Settings of one gateway: a YAML file into a checked frozen record.

JSON is YAML too, and a file that begins as JSON is read as such: the YAML
library costs a small machine 25 ms of its start.
"""

import dataclasses
import os
import pathlib

import expression
import msgspec

from hyssoptack.core import mechanism
from hyssoptack.core import traffic
from hyssoptack.core import warmuplimits


@dataclasses.dataclass(frozen=True, kw_only=True)
class BudgetSettings:
    """The budget for extra calls that all instances share.

    The defaults are for a platform that names no budget: a tenth, as the users'
    profiles allowed at the least, and nothing besides.

    Attributes:
        ratio: Extra calls allowed for each request for a service.
        window_ms: The span over which they are counted.
        slack_count: Extra calls allowed besides, in one span.
    """

    ratio: float = 0.1
    window_ms: float = 10_000.0
    slack_count: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """One gateway's settings.

    Attributes:
        instance_id: This instance's name; unique.
        failure_domain: Where it runs.
        failure_domains: All failure domains, with their regions.
        callers_address: Where callers connect.
        readiness_address: Where the balancer asks whether to send callers.
        peer_address: Where peers connect; empty for none.
        metrics_address: Where metrics are served; empty for none.
        store_address: The platform's store.
        lease_min_ms: The shortest lease that the store grants.
        lease_ms: The lease under which this instance is listed. Cuts shorter
            than it leave it listed; a dead one costs its neighbours a few
            messages until it ends. With 195 instances and a lease of 10 s
            renewals are a sixth of all calls to the store.
        grace_ms: From a stop signal to the kill.
        leaving_bound_ms: After it an upstream that said that it leaves must
            get nothing more.
        configuration_bound_ms: After it a new configuration must be in force.
        evacuation_bound_ms: After it an evacuated failure domain's upstreams
            must get nothing more.
        budget: The budget for extra calls.
        warmup: What cold upstreams may get.
        link_mbps: What this instance's network link carries; 0 where that is
            not known: queries are then never handed to others, or taken.
        crossing_ratio: What a call into another failure domain must gain to
            be worth its network price, as a multiple of what calls of its
            route take. The default was the best of 15 ms, 35 ms and 1.5 times
            on both users' sites (docs/design/0009-placing.md).
        trusted_fingerprints: Requests that operators know to be harmless: they
            are never taken to crash upstreams.
        mechanisms: What is at work; for experiments only.
    """

    instance_id: str
    failure_domain: str
    failure_domains: dict[str, str]
    callers_address: str
    readiness_address: str
    store_address: str
    budget: BudgetSettings
    warmup: warmuplimits.WarmupLimits = warmuplimits.WarmupLimits()
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
        """The time in which any change in the store has to be heeded."""
        return min(
            self.leaving_bound_ms,
            self.configuration_bound_ms,
            self.evacuation_bound_ms,
        )


def load(path: str) -> expression.Result[GatewaySettings, str]:
    """Reads and checks a settings file.

    Args:
        path: The file.

    Returns:
        The settings, or a line that says what is wrong and where.
    """
    try:
        data = pathlib.Path(path).read_bytes()
        return parse(data).map_error(lambda detail: f"{path}: {detail}")
    except OSError as error:
        return expression.Error(f"{path}: {error.strerror}")


def modified_ns(path: str) -> int:
    """Returns when a file was changed; 0 for one that can't be looked at."""
    try:
        return os.stat(path).st_mtime_ns if path else 0
    except OSError:
        # Being replaced: the next look finds the new one.
        return 0


def parse(data: bytes) -> expression.Result[GatewaySettings, str]:
    """Reads and checks settings, given as YAML."""
    try:
        if data.lstrip().startswith(b"{"):
            settings = msgspec.json.decode(data, type=GatewaySettings)
        else:
            settings = msgspec.yaml.decode(data, type=GatewaySettings)
    except msgspec.DecodeError as error:
        return expression.Error(str(error))
    return _checked(settings)


def _checked(
    settings: GatewaySettings,
) -> expression.Result[GatewaySettings, str]:
    addresses = {
        "callers_address": settings.callers_address,
        "readiness_address": settings.readiness_address,
        "store_address": settings.store_address,
    }
    for name, address in addresses.items():
        if traffic.split_address(address) is None:
            return expression.Error(f"{name}: expected HOST:PORT: {address!r}")
    if settings.failure_domain not in settings.failure_domains:
        return expression.Error(
            f"failure_domain: {settings.failure_domain!r} is not among "
            "failure_domains"
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
            return expression.Error(f"{name}: expected above 0: {value}")
    if min(settings.budget.ratio, settings.crossing_ratio) < 0:
        return expression.Error(
            "budget.ratio, crossing_ratio: expected 0 or more"
        )
    if min(settings.warmup.overage_ratio, settings.warmup.slack_count) < 0:
        return expression.Error(
            "warmup.overage_ratio, warmup.slack_count: expected 0 or more"
        )
    return expression.Ok(settings)
