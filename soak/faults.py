"""What goes wrong in a run, and when: all of it follows from the seed.

Faults overlap, and come in series: a run is worth little where one trouble is
over before the next begins.
"""

import dataclasses
import enum
import random

MEAN_GAP_MS = 450.0
"""Between two faults; most last longer, so that some two to four overlap."""

PAUSE_RANGE_MS = (300.0, 2_500.0)
DOWN_RANGE_MS = (100.0, 1_500.0)
LINK_RANGE_MS = (300.0, 3_000.0)
DELAY_RANGE_MS = (20.0, 400.0)

SLOW_GAP_MS = 2_500.0
"""Mean time between two gateways' becoming slow."""

SLOW_RANGE_MS = (1_000.0, 3_000.0)
THROTTLE_STOP_MS = 50.0
THROTTLE_RUN_MS = 12.0
"""A slow gateway stands still and runs by turns: longer than a neighbour waits
for its word, shorter than what counts as a stop."""


class LinkMode(enum.Enum):
    """How a link treats its connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ANSWERS_LOST = "answers_lost"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinkFault:
    """A link is harmed.

    Attributes:
        name: A gateway's, for its way to the store, or a service's, for the
            way of all gateways to its first upstream.
        mode: How connections are treated.
        duration_ms: How long.
        delay_ms: Added to each chunk where the manner is a delay.
    """

    name: str
    mode: LinkMode
    duration_ms: float
    delay_ms: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreFault:
    """The store answers nobody, or with 503, or loses the answers of writes."""

    fault_name: str
    duration_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PauseGateway:
    """A gateway is stopped and goes on (SIGSTOP, SIGCONT)."""

    gateway: str
    duration_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ThrottleGateway:
    """A gateway gets little processor: it stops and runs by turns."""

    gateway: str
    duration_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestartGateway:
    """A gateway is killed, or asked to stop, and starts again."""

    gateway: str
    is_planned: bool
    down_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReloadGateway:
    """A gateway gets SIGHUP."""

    gateway: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeConfiguration:
    """The operator writes a configuration: one route goes elsewhere."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplaceUpstream:
    """An upstream of a service leaves, with a word or without; one comes."""

    service: str
    drains: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamFault:
    """An upstream treats its next requests badly (`fakeupstream.Behaviour`)."""

    service: str
    fault_name: str
    count: int


Fault = (
    LinkFault
    | StoreFault
    | PauseGateway
    | ThrottleGateway
    | RestartGateway
    | ReloadGateway
    | ChangeConfiguration
    | ReplaceUpstream
    | UpstreamFault
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ScheduledFault:
    """A fault and the time since the start at which it comes."""

    at_ms: float
    fault: Fault


def draw_schedule(
    seed: int,
    length_ms: float,
    gateways: tuple[str, ...],
    services: tuple[str, ...],
) -> tuple[ScheduledFault, ...]:
    """Draws the faults of a run."""
    dice = random.Random(seed)
    timed = []
    at_ms = 500.0
    while at_ms < length_ms:
        fault = _draw(dice, gateways, services)
        timed.append(ScheduledFault(at_ms=at_ms, fault=fault))
        at_ms += dice.expovariate(1.0 / MEAN_GAP_MS)
    timed.extend(_slow_times(seed, length_ms, gateways))
    return tuple(sorted(timed, key=lambda each: each.at_ms))


def _slow_times(
    seed: int, length_ms: float, gateways: tuple[str, ...]
) -> list[ScheduledFault]:
    """Draws when gateways become slow, apart from all other faults."""
    dice = random.Random(f"slow-{seed}")
    timed = []
    at_ms = dice.expovariate(1.0 / SLOW_GAP_MS)
    while at_ms < length_ms:
        fault = ThrottleGateway(
            gateway=dice.choice(gateways),
            duration_ms=dice.uniform(*SLOW_RANGE_MS),
        )
        timed.append(ScheduledFault(at_ms=at_ms, fault=fault))
        at_ms += dice.expovariate(1.0 / SLOW_GAP_MS)
    return timed


def _draw(
    dice: random.Random, gateways: tuple[str, ...], services: tuple[str, ...]
) -> Fault:
    gateway = dice.choice(gateways)
    service = dice.choice(services)
    kinds = ("link", "store", "pause", "restart", "reload", "configure")
    often = ("link", "configure", "replace", "replace", *3 * ("spoil",))
    match dice.choice((*kinds, *often)):
        case "link":
            return LinkFault(
                name=dice.choice((gateway, service)),
                mode=dice.choice(tuple(LinkMode)[1:]),
                duration_ms=dice.uniform(*LINK_RANGE_MS),
                delay_ms=dice.uniform(*DELAY_RANGE_MS),
            )
        case "store":
            how = dice.choice(("down", "silent", "lose_writes", "compacted"))
            return StoreFault(
                fault_name=how, duration_ms=dice.uniform(*LINK_RANGE_MS)
            )
        case "pause":
            return PauseGateway(
                gateway=gateway, duration_ms=dice.uniform(*PAUSE_RANGE_MS)
            )
        case "restart":
            return RestartGateway(
                gateway=gateway,
                is_planned=dice.random() < 0.6,
                down_ms=dice.uniform(*DOWN_RANGE_MS),
            )
        case "reload":
            return ReloadGateway(gateway=gateway)
        case "replace":
            return ReplaceUpstream(service=service, drains=dice.random() < 0.7)
        case "spoil":
            how = dice.choice(
                ("shed_count", *3 * ("reset_count",), "twice", "cut")
            )
            return UpstreamFault(
                service=service, fault_name=how, count=dice.randint(4, 30)
            )
        case _:
            return ChangeConfiguration()
