"""Load of a simulated burst, and the outcomes for its callers."""

import dataclasses

GROUP = ("search",)
TRIP_MS = 4.0
"""Round trip between a caller and an instance."""

TRY_COUNT = 3
LATE_VALUE = 0.15
"""Value of a late answer: the users' values are 0.04 to 0.3."""

DELAY_PERIOD_MS = 25.0
REVIEW_PERIOD_MS = 10.0
EXTRA_CALL_RATIO = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """One kind of request.

    Attributes:
        name: Name of its route.
        priority: Priority, 0 the most urgent.
        goal_ms: Latency goal.
        deadline_ms: Time for which callers wait.
        weight: Share of the requests.
    """

    name: str
    priority: int
    goal_ms: float
    deadline_ms: float
    weight: float


KINDS = (
    Kind(name="urgent", priority=0, goal_ms=80, deadline_ms=800, weight=0.3),
    Kind(name="usual", priority=1, goal_ms=150, deadline_ms=1500, weight=0.4),
    Kind(name="batch", priority=2, goal_ms=300, deadline_ms=2000, weight=0.3),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """One simulated site and its load.

    Attributes:
        admits: Whether admission is enabled.
        team_rates_per_s: Requests per second by team, during the burst.
        calm_ratio: Load before and after the burst, relative to the burst.
        burst_from_ms: Start of the burst.
        burst_to_ms: End of the burst.
        end_ms: End of the load.
        instance_count: Number of instances.
        receive_ms: Processor time to read an attempt and to refuse it.
        serve_ms: Processor time to serve an attempt.
        slot_count: Slots of each upstream.
        queue_count: Waiting calls above which an upstream sheds.
        service_ms: Mean time of a call in a slot.
        slow_ratios: Factor on the time of calls, by upstream.
        shed_ratios: Part of the calls that are shed anyway, by upstream.
        slow_from_ms: When upstreams begin to be slow or to shed.
        slow_to_ms: When upstreams stop being slow or shedding.
        seed: Seed of the random numbers.
    """

    admits: bool
    team_rates_per_s: dict[str, float]
    calm_ratio: float = 0.3
    burst_from_ms: float = 2_000.0
    burst_to_ms: float = 8_000.0
    end_ms: float = 10_000.0
    instance_count: int = 6
    receive_ms: float = 0.3
    serve_ms: float = 1.2
    slot_count: int = 3
    queue_count: int = 12
    service_ms: float = 12.0
    slow_ratios: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    shed_ratios: tuple[float, ...] = (0.0, 0.0, 0.0, 0.0)
    slow_from_ms: float = 0.0
    slow_to_ms: float = 1e9
    seed: int = 1

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that the upstreams complete when none is slow."""
        return len(self.slow_ratios) * self.slot_count * 1000 / self.service_ms


@dataclasses.dataclass(kw_only=True)
class Request:
    """A caller's request over all its attempts.

    Attributes:
        team: Name of the team.
        kind: Its kind.
        began_ms: When the caller began.
        first_instance: Instance of the first attempt.
        try_count: Attempts so far.
        refused_late: Whether an attempt was refused too late to gain.
        refused_with_call: Whether a refused attempt had sent a call.
        ended_ms: When the caller had the answer; None without one.
    """

    team: str
    kind: Kind
    began_ms: float
    first_instance: int
    try_count: int = 0
    refused_late: bool = False
    refused_with_call: bool = False
    ended_ms: float | None = None

    @property
    def timely(self) -> bool:
        """Whether the caller had the answer within the latency goal."""
        return (
            self.ended_ms is not None
            and self.ended_ms - self.began_ms <= self.kind.goal_ms
        )

    @property
    def value(self) -> float:
        """Value of the outcome to the caller, from 0 to 1."""
        if self.ended_ms is None:
            return 0.0
        if not self.timely:
            return LATE_VALUE
        if self.try_count == 1:
            return 1.0
        return LATE_VALUE if self.refused_late else (1.0 + LATE_VALUE) / 2


def timely_ratio(requests: list[Request]) -> float:
    """Returns the part of the requests that was answered within its goal."""
    return sum(each.timely for each in requests) / max(1, len(requests))


def value_ratio(requests: list[Request]) -> float:
    """Returns the mean value of the requests' outcomes."""
    return sum(each.value for each in requests) / max(1, len(requests))
