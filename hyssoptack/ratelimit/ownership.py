"""Ranks the instances of a failure domain as owners of a team's bucket."""

import collections
import collections.abc

from hyssoptack.membership import rendezvous

CACHED_TEAM_LIMIT_COUNT = 1_024
"""Teams whose candidates are kept. Ranking 1,067 instances takes about 0.7 ms,
so it is not repeated for each request."""

CANDIDATE_COUNT = 4
"""Instances kept for a team: the owner and those that replace it in turn."""


def rank(team_name: str, instance_id: str) -> tuple[int, str]:
    """Returns an instance's rank for a team; the highest owns the bucket."""
    return rendezvous.rank(f"team/{team_name}", instance_id), instance_id


def ranking(
    team_name: str, instance_ids: collections.abc.Iterable[str]
) -> list[str]:
    """Returns the instances in the order in which they own the bucket."""
    return sorted(
        set(instance_ids), key=lambda each: rank(team_name, each), reverse=True
    )


def ranks_above(team_name: str, instance_id: str, other_id: str) -> bool:
    """Returns whether an instance ranks above another for a team.

    A handover is honoured only if the sender ranks above the receiver, which
    may not have the sender in its list yet.
    """
    return rank(team_name, instance_id) > rank(team_name, other_id)


def replaced_ids(
    candidates: collections.abc.Sequence[str],
    own_id: str,
    skipped_ids: collections.abc.Collection[str],
) -> tuple[str, ...]:
    """Returns the instances that this instance may replace as owner.

    It may if the asker could reach none of the instances that rank above, and
    after it has asked each of them itself without an answer. An asker skips all
    instances to which its link is lost, but only one that is merely silent: if
    it skipped each that is slow, many instances would own a bucket of one team.

    Args:
        candidates: The candidates of the instance's own list.
        own_id: The instance.
        skipped_ids: Instances that the asker could not reach.

    Returns:
        The instances that rank above; empty if this instance may not begin.
    """
    if own_id not in candidates:
        return ()
    above_ids = tuple(candidates[: candidates.index(own_id)])
    return above_ids if set(above_ids) <= set(skipped_ids) else ()


class OwnerCandidates:
    """The highest-ranking instances of recently used teams."""

    def __init__(self) -> None:
        self._instance_ids: frozenset[str] = frozenset()
        self._by_team: collections.OrderedDict[str, tuple[str, ...]] = (
            collections.OrderedDict()
        )

    def set_instances(
        self, instance_ids: collections.abc.Iterable[str]
    ) -> bool:
        """Replaces the instances of the domain; returns whether they differ.

        Args:
            instance_ids: The listed instances except those to which the link is
                lost, and the own.
        """
        updated = frozenset(instance_ids)
        if updated == self._instance_ids:
            return False
        self._instance_ids = updated
        self._by_team.clear()
        return True

    def of(self, team_name: str) -> tuple[str, ...]:
        """Returns a team's owner and the instances that replace it, in order.

        At most `CANDIDATE_COUNT` are returned.
        """
        found = self._by_team.get(team_name)
        if found is None:
            found = tuple(
                ranking(team_name, self._instance_ids)[:CANDIDATE_COUNT]
            )
            self._by_team[team_name] = found
            if len(self._by_team) > CACHED_TEAM_LIMIT_COUNT:
                self._by_team.popitem(last=False)
        else:
            self._by_team.move_to_end(team_name)
        return found
