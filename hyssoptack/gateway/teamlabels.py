"""Bounds the team labels of metrics to the busiest teams.

The counts of all other teams are combined under one label, so that 10,000 teams
do not make 10,000 series.
"""

import collections
import collections.abc
import math

LABELLED_TEAM_COUNT = 20
"""Maximum number of teams with a label of their own."""

OTHER_TEAMS = "other"
"""Label of the teams without one of their own."""

TRACKED_TEAM_COUNT = 200
"""Maximum number of teams of which the activity is tracked."""

RANKING_PERIOD_MS = 10_000.0
"""How often the busiest teams are determined anew. A scrape usually follows
every 10 to 30 s."""

DECAY_RATIO = 0.5
"""Part of a team's activity that is kept at each ranking."""


class TeamLabels:
    """Assigns labels to the busiest teams of an instance."""

    def __init__(self, max_count: int = LABELLED_TEAM_COUNT):
        """Creates the labels.

        Args:
            max_count: Maximum number of teams with a label of their own.
        """
        self._max_count = max_count
        self._activity: collections.Counter[str] = collections.Counter()
        self._labelled: set[str] = set()
        self._ranked_ms = -math.inf
        self._on_dropped: list[collections.abc.Callable[[str], None]] = []

    def on_dropped(
        self, function: collections.abc.Callable[[str], None]
    ) -> None:
        """Calls a function with each team that loses its label from now on."""
        self._on_dropped.append(function)

    def record(self, team_name: str, now_ms: float) -> None:
        """Records a request of a team."""
        self._activity[team_name] += 1
        if len(self._activity) > 2 * TRACKED_TEAM_COUNT:
            self._activity = collections.Counter(
                dict(self._activity.most_common(TRACKED_TEAM_COUNT))
            )
        if now_ms - self._ranked_ms >= RANKING_PERIOD_MS:
            self._rank(now_ms)
        elif len(self._labelled) < self._max_count:
            self._labelled.add(team_name)

    def label(self, team_name: str) -> str:
        """Returns the label of a team; `OTHER_TEAMS` if it has none."""
        return team_name if team_name in self._labelled else OTHER_TEAMS

    def _rank(self, now_ms: float) -> None:
        """Gives the labels to the teams that are now the busiest."""
        self._ranked_ms = now_ms
        busiest = {
            name for name, _ in self._activity.most_common(self._max_count)
        }
        dropped = self._labelled - busiest
        self._labelled = busiest
        for name in dropped:
            for function in self._on_dropped:
                function(name)
        self._activity = collections.Counter(
            {
                name: kept
                for name, count in self._activity.items()
                if (kept := count * DECAY_RATIO) >= DECAY_RATIO
            }
        )


class TeamCounts:
    """Counts by team and cause; teams without a label are combined.

    A team that loses its label has its counts moved to the combined ones, so
    that these never decrease and the sum over all series stays correct.
    """

    def __init__(self, labels: TeamLabels):
        self._labels = labels
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        labels.on_dropped(self._combine)

    def add(self, team_name: str, cause: str, count: float = 1.0) -> None:
        """Adds to the count of a team and cause."""
        self._counts[self._labels.label(team_name), cause] += count

    def by_label(self) -> dict[tuple[str, str], float]:
        """Returns the counts by label and cause."""
        return dict(self._counts)

    def _combine(self, team_name: str) -> None:
        for label, cause in tuple(self._counts):
            if label == team_name:
                count = self._counts.pop((label, cause))
                self._counts[OTHER_TEAMS, cause] += count
