"""Ranks the instances of a failure domain as owners of teams' buckets.

Ranking 1,000 instances takes about a millisecond, so only the first few of each
team's ranking are kept, for teams that were used recently. They are updated
with the changes of the list.
"""

import dataclasses
import math

from hyssoptack.core import member
from hyssoptack.ratelimit import ownership

KEPT_COUNT = 8
"""Instances of a ranking that are kept. A request asks at most two; more are
kept so that departures seldom require ranking all instances."""

KEPT_MIN_COUNT = 4
"""Instances that must remain before all are ranked again."""

JOIN_WINDOW_MS = 20_000.0
"""Time after its first list in which an instance asks former owners for their
tokens. All lists contain it after 10 s; an owner that it did not ask by then
gets no requests any more."""


@dataclasses.dataclass(kw_only=True)
class _Ranking:
    """The first instances of a team's ranking.

    Attributes:
        ids: Their ids, best first.
        used_ms: Time of the last use.
    """

    ids: list[str]
    used_ms: float


class OwnerRanking:
    """The candidates for owner of each team's bucket in a failure domain.

    Attributes:
        own: This instance.
        was_stopped: Whether the time as owner (`lead_ms`) began after a stop of
            this process, with empty buckets.
    """

    def __init__(self, own: member.Peer):
        self.own = own
        self.was_stopped = False
        self._peers: dict[str, member.Peer] = {}
        self._rankings: dict[str, _Ranking] = {}
        self._first_list_ms: float | None = None
        self._leads_since_ms = math.inf

    @property
    def has_list(self) -> bool:
        """Whether a list of instances has been received."""
        return self._first_list_ms is not None

    def set_neighbours(
        self, neighbours: tuple[member.Peer, ...], now_ms: float
    ) -> None:
        """Replaces the list of the other instances of the domain."""
        if self._first_list_ms is None:
            self._first_list_ms = self._leads_since_ms = now_ms
        before = self._peers
        self._peers = {each.instance_id: each for each in neighbours}
        self._peers[self.own.instance_id] = self.own
        added = self._peers.keys() - before.keys()
        removed = before.keys() - self._peers.keys()
        if removed:
            # This instance may now be the owner in place of a removed one.
            self._leads_since_ms = now_ms
            self.was_stopped = False
        if added or removed:
            for name, each in tuple(self._rankings.items()):
                is_complete = len(each.ids) == len(before)
                self._update(name, each, is_complete, added, removed)

    def _update(
        self,
        name: str,
        kept: _Ranking,
        is_complete: bool,
        added: set[str],
        removed: set[str],
    ) -> None:
        """Updates a ranking; removes it if too few instances remain.

        Args:
            name: Name of the team.
            kept: Its ranking.
            is_complete: Whether it contained all instances.
            added: Ids of new instances.
            removed: Ids of instances that are no longer listed.
        """
        remaining = [each for each in kept.ids if each not in removed]
        if not is_complete and len(remaining) < KEPT_MIN_COUNT:
            del self._rankings[name]
            return
        # An instance that was not kept may rank above an added one that would
        # make the ranking longer.
        limit_count = KEPT_COUNT if is_complete else len(remaining)
        if added:
            remaining = ownership.ranking(name, {*remaining, *added})
        kept.ids = remaining[:limit_count]

    def record_stop(self, now_ms: float) -> None:
        """Records that this process was stopped until now."""
        if self.has_list:
            self._leads_since_ms = now_ms
            self.was_stopped = True

    def ids(self, team_name: str, now_ms: float) -> list[str]:
        """Returns the first candidates for a team, best first."""
        kept = self._rankings.get(team_name)
        if kept is None:
            ids = ownership.ranking(team_name, self._peers)[:KEPT_COUNT]
            kept = self._rankings[team_name] = _Ranking(ids=ids, used_ms=now_ms)
        kept.used_ms = now_ms
        return kept.ids

    def ids_above_own(self, team_name: str, now_ms: float) -> list[str]:
        """Returns the candidates that rank above this instance."""
        ids = self.ids(team_name, now_ms)
        own_id = self.own.instance_id
        return ids[: ids.index(own_id)] if own_id in ids else ids

    def ids_below_own(self, team_name: str, now_ms: float) -> list[str]:
        """Returns the candidates that rank below this instance."""
        ids = self.ids(team_name, now_ms)
        own_id = self.own.instance_id
        return ids[ids.index(own_id) + 1 :] if own_id in ids else []

    def peer(self, instance_id: str) -> member.Peer | None:
        """Returns a listed instance, or None if it is not listed."""
        return self._peers.get(instance_id)

    def ranks_above(self, team_name: str, first_id: str, other_id: str) -> bool:
        """Returns whether an instance ranks above another for a team."""
        ids = ownership.ranking(team_name, (first_id, other_id))
        return first_id != other_id and ids[0] == first_id

    def has_joined_recently(self, now_ms: float) -> bool:
        """Returns whether former owners may hold tokens of this instance."""
        return (
            self._first_list_ms is not None
            and now_ms - self._first_list_ms < JOIN_WINDOW_MS
        )

    def lead_ms(self, now_ms: float) -> float:
        """Returns for how long this instance has certainly been the owner.

        That applies to each team for which it now ranks first.
        """
        return max(0.0, now_ms - self._leads_since_ms)

    def drop_idle(self, before_ms: float) -> None:
        """Removes rankings that have not been used since a time."""
        self._rankings = {
            name: each
            for name, each in self._rankings.items()
            if each.used_ms >= before_ms
        }
