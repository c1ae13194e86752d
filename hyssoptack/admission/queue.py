"""The order of the requests that wait for room on one instance.

Requests that can no longer meet their latency goals come last, because a late
answer is worth 0.04 to 0.3 of a timely one. The others are ordered by:

1. whether their team or route is below its floor (`admission.usage`),
2. priority,
3. how far their team is above its fair share of that priority,
4. whether the caller returns after a refusal,
5. the time left to the latency goal.

A returning caller of a team above its share does not precede callers of teams
within theirs, because a team that is often refused also returns most often.
"""

import bisect
import collections
import collections.abc
import dataclasses

from hyssoptack.admission import usage

MAX_WAITING_COUNT = 64
"""Largest number of waiting requests. An instance completes at most 150
requests a second, of which 23 fit into a goal of 151 ms; the others wait only
in the hope that load ends before their deadlines. Each choice of the next
request compares all that wait, which takes 0.2 ms at this number."""

MAX_LATE_COUNT = 8
"""Largest number of requests before one that waits although it can't meet its
goal. Those behind would be overtaken until their deadlines."""

ORDER_AGE_MS = 5.0
"""Age above which the order is computed again. An instance starts at most one
request in this time, and goals are 73 ms and longer."""

Group = tuple[str, ...]
"""The services that a request calls: one service, or all shards of an index."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ask:
    """A request that asks for admission.

    Attributes:
        ask_id: Number of the request, unique on this instance.
        group: Services that it calls.
        route_name: Name of its route.
        team_name: Name of its team; empty if there is none.
        team_weight: Weight of the team in fair sharing; 0 if it has none.
        priority: Priority, 0 the most urgent.
        returning: Whether the caller returns after a refusal.
        goal_ms: Latency goal of the route.
        started_ms: Estimated time at which the caller began.
        goal_at_ms: Time at which the answer should be sent.
        deadline_at_ms: Time until which the caller waits.
    """

    ask_id: int
    group: Group
    route_name: str
    team_name: str
    team_weight: float
    priority: int
    returning: bool
    goal_ms: float
    started_ms: float
    goal_at_ms: float
    deadline_at_ms: float

    @property
    def call_count(self) -> int:
        """Number of first calls of the request."""
        return len(self.group)


LATE_WORK_RATIO = 0.25
"""Largest part of a limit that requests may use which can't meet their goals,
so that those which can find room as soon as load ends."""

Rank = tuple[bool, bool, int, int, bool, float, int]
"""Position in the order; the smallest comes first."""

NEEDED_MAX_RATIO = 0.7
"""Largest part of its latency goal that a request is expected to need. When
some upstreams are slow, queries end at their goals without some parts; their
durations then say little about the least time for an answer."""

HasRoom = collections.abc.Callable[[Group, bool], bool]
"""Returns whether a group has room; the flag is set for late requests."""

DurationOf = collections.abc.Callable[[Group], float]
"""Returns the usual time from start to answer in a group, in milliseconds."""


def needed_ms(ask: Ask, duration_ms: float) -> float:
    """Returns the time that a request needs from its start to its answer.

    Args:
        ask: The request.
        duration_ms: Usual duration of requests of its group.
    """
    return min(duration_ms, NEEDED_MAX_RATIO * ask.goal_ms)


def rank(
    ask: Ask, recent: usage.Usage, duration_ms: float, now_ms: float
) -> Rank:
    """Returns the position of a request in the order.

    Args:
        ask: The request.
        recent: Recent use by teams and routes.
        duration_ms: Usual duration of requests of its group.
        now_ms: Current time in milliseconds.
    """
    level = recent.share_level(ask.team_name, ask.priority)
    starved = recent.is_starved(ask.team_name, ask.route_name, not level)
    return (
        now_ms + needed_ms(ask, duration_ms) > ask.goal_at_ms,
        not starved,
        ask.priority,
        level,
        not ask.returning,
        ask.goal_at_ms,
        ask.ask_id,
    )


class WaitQueue:
    """The requests that wait for room.

    The order is computed again when it is older than `ORDER_AGE_MS`; until then
    new requests are inserted.
    """

    def __init__(self, recent: usage.Usage, duration_of: DurationOf):
        self._usage = recent
        self._duration_of = duration_of
        self._asks: dict[int, Ask] = {}
        self._group_counts: collections.Counter[Group] = collections.Counter()
        self._ranked: list[tuple[Rank, Ask]] = []
        self._ranked_ms = float("-inf")

    def __len__(self) -> int:
        return len(self._asks)

    def waiting_count(self, group: Group) -> int:
        """Returns the number of waiting requests of a group."""
        return self._group_counts[group]

    def add(self, ask: Ask, now_ms: float) -> None:
        """Adds a request."""
        self._asks[ask.ask_id] = ask
        self._group_counts[ask.group] += 1
        bisect.insort(
            self._ranked, (self._rank(ask, now_ms), ask), key=_rank_of
        )

    def remove(self, ask_id: int) -> Ask | None:
        """Removes a request; returns None if it does not wait."""
        ask = self._asks.pop(ask_id, None)
        if ask is not None:
            self._group_counts[ask.group] -= 1
            if not self._group_counts[ask.group]:
                del self._group_counts[ask.group]
        return ask

    def ordered(self, now_ms: float) -> list[Ask]:
        """Returns all waiting requests in their order."""
        if now_ms - self._ranked_ms >= ORDER_AGE_MS:
            self._ranked_ms = now_ms
            self._ranked = sorted(
                ((self._rank(ask, now_ms), ask) for ask in self._asks.values()),
                key=_rank_of,
            )
        elif len(self._ranked) > len(self._asks):
            self._ranked = [
                each for each in self._ranked if each[1].ask_id in self._asks
            ]
        return [ask for _, ask in self._ranked]

    def first(self, now_ms: float, has_room: HasRoom) -> Ask | None:
        """Returns the first waiting request of the groups that have room."""
        self.ordered(now_ms)
        rooms: dict[tuple[Group, bool], bool] = {}
        for (is_late, *_), ask in self._ranked:
            key = ask.group, is_late
            if key not in rooms:
                rooms[key] = has_room(ask.group, is_late)
            if rooms[key]:
                return ask
        return None

    def has_timely(self, group: Group) -> bool:
        """Returns whether a request of a group waits that can meet its goal."""
        for (is_late, *_), ask in self._ranked:
            if is_late:
                return False
            if ask.group == group and ask.ask_id in self._asks:
                return True
        return False

    def _rank(self, ask: Ask, now_ms: float) -> Rank:
        return rank(ask, self._usage, self._duration_of(ask.group), now_ms)


def _rank_of(ranked: tuple[Rank, Ask]) -> Rank:
    return ranked[0]
