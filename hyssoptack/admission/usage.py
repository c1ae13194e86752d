"""Recent use of an instance by teams and routes, for fair sharing and floors.

All counts decay with a half-life of `HALF_LIFE_MS`. Teams share the calls that
the instance starts by weight, separately for each priority. In addition, no
team or route may receive far less of what it asks for than all together do.
"""

import collections
import dataclasses
import math

HALF_LIFE_MS = 2_000.0
"""Half-life of the counts. Teams exceed their usual rate for about 6 s: after a
third of that, most of a team's recent use is counted, and a team that was quiet
for longer is served first."""

DECAY_PERIOD_MS = 500.0
"""Interval of the decay: a quarter of the half-life. It takes about 1 us for
each team with recent requests, of which an instance has at most 1,200."""

FORGOTTEN_COUNT = 0.05
"""Count below which a team or route is dropped: 9 s after a single request."""

SHARE_TOLERANCE_RATIO = 1.25
"""Use above the fair share that still counts as within it. A fair share is a
few calls on most instances, and one request more must not reorder the queue."""

FLOOR_RATIO = 0.6
"""Part of its fair share below which a route, or a team within its share, is
served first. Callers must get half; the rest covers the reaction time."""

BUSY_FLOOR_RATIO = 0.35
"""The same for teams above their share, of which each must get a quarter."""


@dataclasses.dataclass(kw_only=True)
class _Counts:
    """Recent requests of one team or route.

    Attributes:
        started_count: Requests that were started.
        decided_count: Requests that were started or refused.
    """

    started_count: float = 0.0
    decided_count: float = 0.0

    def is_below(self, ratio: float, overall_ratio: float) -> bool:
        """Returns whether one more refusal would leave too few started."""
        least_count = ratio * overall_ratio * (self.decided_count + 1.0)
        return self.started_count < least_count


@dataclasses.dataclass(kw_only=True)
class _Shares:
    """The recent use of the teams of one priority.

    Attributes:
        call_counts: Calls that were started, by team.
        weights: Weights of the teams that have one.
        total_count: Calls that were started for all teams.
        weight_sum: Sum of `weights`.
    """

    call_counts: dict[str, float] = dataclasses.field(default_factory=dict)
    weights: dict[str, float] = dataclasses.field(default_factory=dict)
    total_count: float = 0.0
    weight_sum: float = 0.0

    def add(self, team_name: str, weight: float, call_count: float) -> None:
        """Counts calls of a team; a weight of 0 means that it has none."""
        before_count = self.call_counts.get(team_name, 0.0)
        self.call_counts[team_name] = before_count + call_count
        self.total_count += call_count
        self.weight_sum += weight - self.weights.get(team_name, 0.0)
        if weight:
            self.weights[team_name] = weight
        else:
            self.weights.pop(team_name, None)

    def fair_count(self, team_name: str) -> float:
        """Returns a team's fair share of the calls that were started."""
        limited_count = len(self.weights)
        default = self.weight_sum / limited_count if limited_count else 1.0
        others_count = len(self.call_counts) - limited_count
        weight = self.weights.get(team_name, default)
        total = self.weight_sum + others_count * default
        return self.total_count * weight / total if total else 0.0

    def decay(self, ratio: float) -> None:
        """Reduces all counts and drops teams without recent use."""
        self.call_counts = {
            name: count * ratio
            for name, count in self.call_counts.items()
            if count * ratio >= FORGOTTEN_COUNT
        }
        self.weights = {
            name: weight
            for name, weight in self.weights.items()
            if name in self.call_counts
        }
        self.total_count = sum(self.call_counts.values())
        self.weight_sum = sum(self.weights.values())


class Usage:
    """Counts what teams and routes asked for and what was started."""

    def __init__(self, now_ms: float) -> None:
        self._decayed_ms = now_ms
        self._shares: dict[int, _Shares] = collections.defaultdict(_Shares)
        self._teams: dict[str, _Counts] = collections.defaultdict(_Counts)
        self._routes: dict[str, _Counts] = collections.defaultdict(_Counts)
        self._all = _Counts()

    @property
    def team_count(self) -> int:
        """Number of teams with recent requests."""
        return len(self._teams)

    def record_started(
        self,
        team_name: str,
        route_name: str,
        priority: int,
        weight: float,
        call_count: int,
    ) -> None:
        """Counts a request that was started.

        Args:
            team_name: Name of the team; empty for anonymous callers, who
                count as one team.
            route_name: Name of the route.
            priority: Priority of the request.
            weight: Weight of the team; 0 for the mean of the others.
            call_count: Number of first calls of the request.
        """
        self._shares[priority].add(team_name, weight, call_count)
        for each in self._counts_of(team_name, route_name):
            each.started_count += 1.0
            each.decided_count += 1.0

    def record_refused(self, team_name: str, route_name: str) -> None:
        """Counts a request that was refused."""
        for each in self._counts_of(team_name, route_name):
            each.decided_count += 1.0

    def _counts_of(
        self, team_name: str, route_name: str
    ) -> tuple[_Counts, ...]:
        return self._teams[team_name], self._routes[route_name], self._all

    def share_level(self, team_name: str, priority: int) -> int:
        """Returns how far a team is above its fair share.

        Returns:
            0 within the share, else 1 more than the number of times that the
            use is twice the share.
        """
        shares = self._shares.get(priority)
        if shares is None:
            return 0
        used_count = shares.call_counts.get(team_name, 0.0)
        fair_count = shares.fair_count(team_name)
        if used_count <= SHARE_TOLERANCE_RATIO * fair_count or not fair_count:
            return 0
        return 1 + int(math.log2(used_count / fair_count))

    def is_starved(
        self, team_name: str, route_name: str, within_share: bool
    ) -> bool:
        """Returns whether a request is to be served before other priorities.

        Args:
            team_name: Name of the team.
            route_name: Name of the route.
            within_share: Whether the team's use is within its fair share.
        """
        if not self._all.decided_count:
            return False
        overall_ratio = self._all.started_count / self._all.decided_count
        team_ratio = FLOOR_RATIO if within_share else BUSY_FLOOR_RATIO
        team = self._teams.get(team_name)
        route = self._routes.get(route_name)
        return (
            team is not None and team.is_below(team_ratio, overall_ratio)
        ) or (route is not None and route.is_below(FLOOR_RATIO, overall_ratio))

    def decay(self, now_ms: float) -> None:
        """Reduces all counts for the time since the last call."""
        elapsed_ms = now_ms - self._decayed_ms
        if elapsed_ms < DECAY_PERIOD_MS:
            return
        self._decayed_ms = now_ms
        ratio = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        for each in self._shares.values():
            each.decay(ratio)
        for counts in (self._teams, self._routes, {"": self._all}):
            for name, each in tuple(counts.items()):
                each.started_count *= ratio
                each.decided_count *= ratio
                if each.decided_count < FORGOTTEN_COUNT:
                    counts.pop(name)
