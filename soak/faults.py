"""The faults of a soak run and their schedule, both drawn from the seed.

Faults overlap, because a run in which each fault ends before the next begins
finds few errors.
"""

import collections.abc
import dataclasses
import enum
import random

MEAN_GAP_MS = 450.0
"""Mean time between two faults. Most faults last longer, so that about two to
four overlap."""

PAUSE_RANGE_MS = (300.0, 2_500.0)
DOWN_RANGE_MS = (100.0, 1_500.0)
LINK_RANGE_MS = (300.0, 3_000.0)
DELAY_RANGE_MS = (20.0, 400.0)

SLOW_GAP_MS = 2_500.0
"""Mean time between two `ThrottleGateway` faults."""

SLOW_RANGE_MS = (1_000.0, 3_000.0)
THROTTLE_STOP_MS = 50.0
THROTTLE_RUN_MS = 12.0
"""A throttled gateway is stopped and run in alternation. A stop is longer than
its peers wait for its reply, but too short to be detected as a failure."""

CUT_RANGE_MS = (4_000.0, 8_000.0)
"""Length of a cut of a gateway from the store and its peers."""

CUT_GAP_RANGE_MS = (4_500.0, 7_000.0)
"""Time between two cuts, so that checks with a time limit apply in between."""

LEAVING_RANGE_MS = (1_200.0, 3_000.0)
"""Time before the end of a cut at which upstreams leave. The others still use
none of them then, and a grace period of the returning gateway is longer than
the rest of the time in which their use has to end."""

LEAVING_COUNT = 4
"""Number of upstreams that leave in a cut."""


STALL_RANGE_MS = (3_400.0, 5_000.0)
"""Length of a stall that outlasts the time within which the use of a leaving
upstream has to end."""

STALL_GAP_RANGE_MS = (4_500.0, 6_000.0)
"""Time between two stalls, in which gateways are undisturbed again."""


class LinkMode(enum.Enum):
    """How a link handles its connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ANSWERS_LOST = "answers_lost"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinkFault:
    """A link fails for a time.

    Attributes:
        name: Name of a gateway, for its link to the store, or of a service, for
            the link of all gateways to its first active upstream.
        mode: How the link handles connections meanwhile.
        duration_ms: Duration of the fault.
        delay_ms: Delay of each chunk, for `LinkMode.DELAY`.
    """

    name: str
    mode: LinkMode
    duration_ms: float
    delay_ms: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class IsolateGateway:
    """A gateway is cut off from the store and gets no messages of its peers.

    Attributes:
        gateway: Name of the gateway.
        mode: How its links handle connections meanwhile.
        duration_ms: Duration of the fault.
    """

    gateway: str
    mode: LinkMode
    duration_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreFault:
    """The store fails for a time.

    Attributes:
        fault_name: Field of `kvstore.Faults` that is set meanwhile: the store
            does not respond, responds with 503, drops the responses to writes
            or has compacted its history.
        duration_ms: Duration of the fault.
    """

    fault_name: str
    duration_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestoreStore:
    """The store returns from an older copy, in a new era.

    Attributes:
        lost_ms: Time before the return from which all writes are lost.
        away_ms: Time at the end of it for which the store does not answer.
    """

    lost_ms: float
    away_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PauseGateway:
    """A gateway process is stopped and resumed (SIGSTOP, SIGCONT).

    Attributes:
        gateway: Name of the gateway.
        duration_ms: Time from the stop to the resumption.
    """

    gateway: str
    duration_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class StallGateways:
    """Gateways stand still while the configuration and upstreams change.

    Requests are sent to them shortly before they are resumed.

    Attributes:
        gateways: Names of the gateways.
        services: Services of which an upstream announces that it leaves.
        duration_ms: Time from the stop to the resumption.
    """

    gateways: tuple[str, ...]
    services: tuple[str, ...]
    duration_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ThrottleGateway:
    """A gateway gets little processor time: it is stopped and resumed often.

    Attributes:
        gateway: Name of the gateway.
        duration_ms: Duration of the fault.
    """

    gateway: str
    duration_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestartGateway:
    """A gateway is stopped (SIGTERM if planned, else SIGKILL) and restarted.

    Attributes:
        gateway: Name of the gateway.
        is_planned: Whether the stop is planned.
        down_ms: Time from the end of the process to the restart.
    """

    gateway: str
    is_planned: bool
    down_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReloadGateway:
    """A gateway receives SIGHUP."""

    gateway: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeConfiguration:
    """A new configuration is written that moves a route to another service."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplaceUpstream:
    """A new upstream replaces one of a service.

    Attributes:
        service: The service.
        drains: Whether the old upstream announces that it is draining.
    """

    service: str
    drains: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamFault:
    """An upstream mishandles requests.

    Attributes:
        service: The service whose first active upstream has the fault.
        fault_name: Field of `fakeupstream.Behaviour` that is set.
        count: Requests affected, for the fields that are counts.
    """

    service: str
    fault_name: str
    count: int


Fault = (
    LinkFault
    | IsolateGateway
    | StoreFault
    | RestoreStore
    | PauseGateway
    | StallGateways
    | ThrottleGateway
    | RestartGateway
    | ReloadGateway
    | ChangeConfiguration
    | ReplaceUpstream
    | UpstreamFault
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ScheduledFault:
    """A fault and its time since the start of the run."""

    at_ms: float
    fault: Fault


Draw = collections.abc.Callable[
    [int, float, tuple[str, ...], tuple[str, ...]], tuple[ScheduledFault, ...]
]
"""Draws the faults of a run; `draw_schedule` documents the arguments."""


def draw_schedule(
    seed: int,
    length_ms: float,
    gateways: tuple[str, ...],
    services: tuple[str, ...],
) -> tuple[ScheduledFault, ...]:
    """Returns the faults of a run in order of time.

    Args:
        seed: Seed of the random generators.
        length_ms: Duration of the phase in which faults begin.
        gateways: Names of the gateways.
        services: Names of the services; repeated names are drawn more often.
    """
    rng = random.Random(seed)
    scheduled = []
    at_ms = 500.0
    while at_ms < length_ms:
        fault = _draw(rng, gateways, services)
        scheduled.append(ScheduledFault(at_ms=at_ms, fault=fault))
        at_ms += rng.expovariate(1.0 / MEAN_GAP_MS)
    scheduled.extend(_draw_throttling(seed, length_ms, gateways))
    return tuple(sorted(scheduled, key=lambda each: each.at_ms))


def draw_cuts(
    seed: int,
    length_ms: float,
    gateways: tuple[str, ...],
    services: tuple[str, ...],
) -> tuple[ScheduledFault, ...]:
    """Returns cuts of gateways, in the last seconds of which upstreams leave.

    The arguments are those of `draw_schedule`.
    """
    rng = random.Random(f"cuts-{seed}")
    scheduled = []
    at_ms = 500.0
    while at_ms < length_ms:
        end_ms = at_ms + rng.uniform(*CUT_RANGE_MS)
        for gateway in rng.sample(gateways, rng.choice((1, 1, 2))):
            cut = IsolateGateway(
                gateway=gateway,
                mode=rng.choice((LinkMode.RESET, LinkMode.SILENT)),
                duration_ms=end_ms - at_ms,
            )
            scheduled.append(ScheduledFault(at_ms=at_ms, fault=cut))
        for service in rng.sample(sorted(set(services)), LEAVING_COUNT):
            leaving = ReplaceUpstream(service=service, drains=False)
            before_ms = rng.uniform(*LEAVING_RANGE_MS)
            scheduled.append(
                ScheduledFault(at_ms=end_ms - before_ms, fault=leaving)
            )
        at_ms = end_ms + rng.uniform(*CUT_GAP_RANGE_MS)
    return tuple(sorted(scheduled, key=lambda each: each.at_ms))


def draw_stalls(
    seed: int,
    length_ms: float,
    gateways: tuple[str, ...],
    services: tuple[str, ...],
) -> tuple[ScheduledFault, ...]:
    """Returns stalls of one, some or all gateways, one after the other.

    The arguments are those of `draw_schedule`.
    """
    rng = random.Random(f"stalls-{seed}")
    scheduled = []
    at_ms = 500.0
    while at_ms < length_ms:
        count = rng.choice((1, 1, 2, len(gateways)))
        stall = StallGateways(
            gateways=tuple(rng.sample(gateways, min(count, len(gateways)))),
            services=tuple(rng.sample(sorted(set(services)), LEAVING_COUNT)),
            duration_ms=rng.uniform(*STALL_RANGE_MS),
        )
        scheduled.append(ScheduledFault(at_ms=at_ms, fault=stall))
        at_ms += stall.duration_ms + rng.uniform(*STALL_GAP_RANGE_MS)
    return tuple(scheduled)


def _draw_throttling(
    seed: int, length_ms: float, gateways: tuple[str, ...]
) -> list[ScheduledFault]:
    """Draws `ThrottleGateway` faults from a random generator of their own."""
    rng = random.Random(f"slow-{seed}")
    scheduled = []
    at_ms = rng.expovariate(1.0 / SLOW_GAP_MS)
    while at_ms < length_ms:
        fault = ThrottleGateway(
            gateway=rng.choice(gateways),
            duration_ms=rng.uniform(*SLOW_RANGE_MS),
        )
        scheduled.append(ScheduledFault(at_ms=at_ms, fault=fault))
        at_ms += rng.expovariate(1.0 / SLOW_GAP_MS)
    return scheduled


def _draw(
    rng: random.Random, gateways: tuple[str, ...], services: tuple[str, ...]
) -> Fault:
    gateway = rng.choice(gateways)
    service = rng.choice(services)
    kinds = ("link", "store", "pause", "restart", "reload", "configure")
    frequent_kinds = (
        "link",
        "configure",
        "replace",
        "replace",
        *3 * ("upstream",),
    )
    match rng.choice((*kinds, *frequent_kinds)):
        case "link":
            return LinkFault(
                name=rng.choice((gateway, service)),
                mode=rng.choice(tuple(LinkMode)[1:]),
                duration_ms=rng.uniform(*LINK_RANGE_MS),
                delay_ms=rng.uniform(*DELAY_RANGE_MS),
            )
        case "store":
            fault_name = rng.choice(
                ("down", "silent", "lose_writes", "compacted")
            )
            return StoreFault(
                fault_name=fault_name, duration_ms=rng.uniform(*LINK_RANGE_MS)
            )
        case "pause":
            return PauseGateway(
                gateway=gateway, duration_ms=rng.uniform(*PAUSE_RANGE_MS)
            )
        case "restart":
            return RestartGateway(
                gateway=gateway,
                is_planned=rng.random() < 0.6,
                down_ms=rng.uniform(*DOWN_RANGE_MS),
            )
        case "reload":
            return ReloadGateway(gateway=gateway)
        case "replace":
            return ReplaceUpstream(service=service, drains=rng.random() < 0.7)
        case "upstream":
            fault_name = rng.choice(
                ("shed_count", *3 * ("reset_count",), "twice", "cut")
            )
            return UpstreamFault(
                service=service, fault_name=fault_name, count=rng.randint(4, 30)
            )
        case _:
            return ChangeConfiguration()
