"""What is kept of buckets that are idle or no longer owned.

An idle bucket is reduced to its tokens. Of a bucket that was given up only the
time is kept, so that an instance that repeatedly becomes owner does not get a
full start bucket each time.
"""

import collections
import dataclasses

from hyssoptack.core import teams

ENTRY_LIMIT_COUNT = 4_096
"""Largest number of idle and of given up buckets each. An instance owns about
10 teams of 10,000 at 3,200 instances; beyond the limit the oldest are dropped,
and a dropped idle team begins with a start bucket."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class IdleBucket:
    """An idle bucket.

    Attributes:
        limit: The limit in force.
        token_count: Tokens at `at_ms`.
        at_ms: Time up to which tokens have been created.
    """

    limit: teams.RateLimit
    token_count: float
    at_ms: float


class RetiredBuckets:
    """Idle buckets, and the times at which buckets were given up."""

    def __init__(self, start_period_ms: float):
        """Creates the records.

        Args:
            start_period_ms: Time in which an instance gets at most two start
                buckets of one team.
        """
        self._start_period_ms = start_period_ms
        self._idle: collections.OrderedDict[str, IdleBucket] = (
            collections.OrderedDict()
        )
        self._given_up_ms: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def is_idle(self, team_name: str) -> bool:
        """Returns whether an idle bucket of the team is owned."""
        return team_name in self._idle

    def idle_teams(self) -> list[str]:
        """Returns the teams whose idle buckets are owned."""
        return list(self._idle)

    def set_idle(
        self,
        team_name: str,
        limit: teams.RateLimit,
        token_count: float,
        now_ms: float,
    ) -> None:
        """Records the tokens of a bucket that has become idle."""
        self._idle[team_name] = IdleBucket(
            limit=limit, token_count=token_count, at_ms=now_ms
        )
        if len(self._idle) > ENTRY_LIMIT_COUNT:
            self._idle.popitem(last=False)

    def take_idle(self, team_name: str) -> IdleBucket | None:
        """Removes and returns an idle bucket."""
        return self._idle.pop(team_name, None)

    def retire(self, team_name: str, now_ms: float) -> None:
        """Records that a bucket was given up."""
        self._given_up_ms.pop(team_name, None)
        self._given_up_ms[team_name] = now_ms
        if len(self._given_up_ms) > ENTRY_LIMIT_COUNT:
            self._given_up_ms.popitem(last=False)

    def start_count(
        self, team_name: str, start_count: float, now_ms: float
    ) -> float:
        """Returns the tokens of a start bucket, fewer soon after another."""
        given_up_ms = self._given_up_ms.get(team_name)
        if given_up_ms is None:
            return start_count
        away_ratio = max(0.0, now_ms - given_up_ms) / self._start_period_ms
        return start_count * min(1.0, away_ratio)

    def forget(self, team_name: str) -> None:
        """Forgets a bucket that is owned again."""
        self._given_up_ms.pop(team_name, None)

    def empty(self, now_ms: float) -> None:
        """Removes all tokens, after the process was stopped."""
        for team_name, each in self._idle.items():
            self._idle[team_name] = dataclasses.replace(
                each, token_count=0.0, at_ms=max(each.at_ms, now_ms)
            )

    def drop_expired(self, now_ms: float) -> None:
        """Forgets buckets given up so long ago that they start in full."""
        expired = [
            team_name
            for team_name, given_up_ms in self._given_up_ms.items()
            if now_ms - given_up_ms >= self._start_period_ms
        ]
        for team_name in expired:
            del self._given_up_ms[team_name]
