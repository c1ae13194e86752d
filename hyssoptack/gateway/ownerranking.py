"""The instances of a failure domain that may own teams' buckets."""

import collections.abc
import dataclasses
import math

from hyssoptack.core import member
from hyssoptack.ratelimit import ownership

JOIN_WINDOW_MS = 20_000.0
"""Time after its first list in which an instance asks former owners for their
tokens. All lists contain it after 10 s; an owner that it did not ask by then
gets no requests any more."""

LOST_MS = 20_000.0
"""Time after the loss of a connection in which an instance that sends nothing
is no candidate: the duration of the lease under which a killed one is listed.
"""

SETTLE_MS = 2_000.0
"""Time after its first list in which an instance may not know of instances that
started at the same time: its third read of the list is then over."""

SECOND_LIST_MS = 400.0
"""Time after the first list from which a further one contains most instances
that started at the same time: the second read follows 500 ms after the first.
"""


REMOVAL_LIMIT_COUNT = 64
"""Removals that are remembered. They are searched when a bucket begins."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lead:
    """The time for which an instance has certainly been a team's owner.

    Attributes:
        lead_ms: The time.
        was_stopped: Whether it began with a stop of this process, which leaves
            buckets empty.
    """

    lead_ms: float
    was_stopped: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Removal:
    """An instance that left the list or to which the connection was lost.

    Attributes:
        instance_id: The instance.
        at_ms: Time of the removal.
    """

    instance_id: str
    at_ms: float


class OwnerRanking:
    """The candidates for owner of each team's bucket.

    Attributes:
        own: This instance.
    """

    def __init__(self, own: member.Peer):
        self.own = own
        self._peers: dict[str, member.Peer] = {}
        self._candidates = ownership.OwnerCandidates()
        self._lost_ms: dict[str, float] = {}
        self._first_list_ms: float | None = None
        self._has_second_list = False
        self._stopped_ms = -math.inf
        self._removals: list[_Removal] = []
        self._forgotten_ms = -math.inf

    @property
    def has_list(self) -> bool:
        """Whether a list of instances has been received."""
        return self._first_list_ms is not None

    def set_neighbours(
        self, neighbours: tuple[member.Peer, ...], now_ms: float
    ) -> None:
        """Replaces the list of the other instances of the domain."""
        if self._first_list_ms is None:
            self._first_list_ms = now_ms
        if now_ms - self._first_list_ms >= SECOND_LIST_MS:
            self._has_second_list = True
        before = self._peers
        self._peers = {each.instance_id: each for each in neighbours}
        self._peers[self.own.instance_id] = self.own
        self._update_candidates(now_ms)
        self._record_removals(before.keys() - self._peers.keys(), now_ms)

    def _update_candidates(self, now_ms: float) -> None:
        self._lost_ms = {
            instance_id: lost_ms
            for instance_id, lost_ms in self._lost_ms.items()
            if instance_id in self._peers and now_ms - lost_ms < LOST_MS
        }
        self._candidates.set_instances(
            self._peers.keys() - self._lost_ms.keys()
        )

    def record_lost(self, address: str, now_ms: float) -> None:
        """Records the loss of the connection to an instance."""
        for instance_id, peer in self._peers.items():
            if peer.address == address and peer is not self.own:
                self._lost_ms[instance_id] = now_ms
                self._update_candidates(now_ms)
                self._record_removals({instance_id}, now_ms)
                return

    def _record_removals(
        self, instance_ids: collections.abc.Set[str], now_ms: float
    ) -> None:
        """Records that this instance may now own buckets of other ones."""
        self._removals.extend(
            _Removal(instance_id=each, at_ms=now_ms) for each in instance_ids
        )
        forgotten = self._removals[:-REMOVAL_LIMIT_COUNT]
        if forgotten:
            self._forgotten_ms = forgotten[-1].at_ms
            del self._removals[:-REMOVAL_LIMIT_COUNT]

    def lost_ids(self) -> set[str]:
        """Returns the listed instances to which the connection is lost."""
        return set(self._lost_ms)

    def record_received(self, instance_id: str, now_ms: float) -> None:
        """Records a message of an instance: it runs."""
        if instance_id in self._lost_ms:
            del self._lost_ms[instance_id]
            self._update_candidates(now_ms)

    def record_stop(self, now_ms: float) -> None:
        """Records that this process was stopped until now."""
        self._stopped_ms = now_ms

    def ids(self, team_name: str) -> tuple[str, ...]:
        """Returns the first candidates for a team, best first."""
        return self._candidates.of(team_name)

    def ids_above_own(self, team_name: str) -> tuple[str, ...]:
        """Returns the candidates that rank above this instance."""
        ids = self.ids(team_name)
        own_id = self.own.instance_id
        return ids[: ids.index(own_id)] if own_id in ids else ids

    def ids_below_own(self, team_name: str) -> tuple[str, ...]:
        """Returns the candidates that rank below this instance."""
        ids = self.ids(team_name)
        own_id = self.own.instance_id
        return ids[ids.index(own_id) + 1 :] if own_id in ids else ()

    def peer(self, instance_id: str) -> member.Peer | None:
        """Returns a listed instance, or None if it is not listed."""
        return self._peers.get(instance_id)

    def other_peers(self) -> list[member.Peer]:
        """Returns the other instances of the domain."""
        own_id = self.own.instance_id
        return [each for name, each in self._peers.items() if name != own_id]

    def is_settled(self, now_ms: float) -> bool:
        """Returns whether the list contains those that started with this one.

        When all instances start at once, each may at first know of no other.
        """
        return self._has_second_list or self._listed_ms(now_ms) >= SETTLE_MS

    def _listed_ms(self, now_ms: float) -> float:
        """Returns the time since the first list; 0 if there is none."""
        if self._first_list_ms is None:
            return 0.0
        return now_ms - self._first_list_ms

    def has_joined_recently(self, now_ms: float) -> bool:
        """Returns whether former owners may hold tokens of this instance."""
        return self.has_list and self._listed_ms(now_ms) < JOIN_WINDOW_MS

    def lead(self, team_name: str, now_ms: float) -> Lead:
        """Returns for how long this instance has certainly been the owner.

        That applies if it now ranks first for the team. Soon after its first
        list a removed instance of any rank may have served others as owner.
        """
        if self._first_list_ms is None:
            return Lead(lead_ms=0.0, was_stopped=False)
        joined = self.has_joined_recently(now_ms)
        since_ms = max(self._first_list_ms, self._forgotten_ms)
        for each in reversed(self._removals):
            if each.at_ms <= since_ms:
                break
            if joined or ownership.ranks_above(
                team_name, each.instance_id, self.own.instance_id
            ):
                since_ms = each.at_ms
                break
        was_stopped = self._stopped_ms > since_ms
        since_ms = max(since_ms, self._stopped_ms)
        return Lead(
            lead_ms=max(0.0, now_ms - since_ms), was_stopped=was_stopped
        )
