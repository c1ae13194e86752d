"""Which instances exist, by the lagging list and by heartbeats.

Three questions have three answers. Who may share an upstream: everyone
seen within the list's lag, whether or not it is gone (`assumed`). Who gets new
sub-queries: those that are not leaving and owe no answer for long (`usable`).
Since when an instance has been known: its share starts only after the lag has
passed, so that every other instance has counted it by then.
"""

import dataclasses
import math

from hyssoptack.core import member


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sighting:
    """What is known of one incarnation of an instance.

    Attributes:
        member: Its last known record.
        first_seen_ms: When this incarnation was first seen.
        listed_ms: When the platform's list last had it; 0 if never.
        last_message_ms: When a peer message from it last came; 0 if never.
    """

    member: member.Member
    first_seen_ms: float
    listed_ms: float = 0.0
    last_message_ms: float = 0.0

    def last_seen_ms(self) -> float:
        """Returns when anything last showed this incarnation."""
        return max(self.listed_ms, self.last_message_ms)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Roster:
    """All sightings by incarnation."""

    sightings: dict[str, Sighting] = dataclasses.field(default_factory=dict)


def merge_listed(
    roster: Roster, members: tuple[member.Member, ...], now_ms: float
) -> Roster:
    """Returns the roster after the platform's list was read."""
    sightings = dict(roster.sightings)
    for each in members:
        old = sightings.get(each.incarnation)
        if old is None:
            sightings[each.incarnation] = Sighting(
                member=each, first_seen_ms=now_ms, listed_ms=now_ms
            )
            continue
        leaving = old.member.leaving or each.leaving
        sightings[each.incarnation] = dataclasses.replace(
            old,
            member=dataclasses.replace(each, leaving=leaving),
            listed_ms=now_ms,
        )
    return Roster(sightings=sightings)


def record_message(
    roster: Roster, sender: member.Member, now_ms: float
) -> Roster:
    """Updates the roster after a message from an instance, and returns it.

    The address of an instance already listed stays as the list has it: it is
    the address that this reader can reach.
    """
    old = roster.sightings.get(sender.incarnation)
    if old is None:
        new = Sighting(
            member=sender, first_seen_ms=now_ms, last_message_ms=now_ms
        )
    else:
        known = dataclasses.replace(
            old.member, leaving=old.member.leaving or sender.leaving
        )
        new = dataclasses.replace(old, member=known, last_message_ms=now_ms)
    # In place: a copy for each message would grow with the fleet.
    roster.sightings[sender.incarnation] = new
    return roster


def pruned(roster: Roster, keep_ms: float, now_ms: float) -> Roster:
    """Returns the roster without what was unseen for `keep_ms`."""
    kept = {
        name: each
        for name, each in roster.sightings.items()
        if now_ms - each.last_seen_ms() < keep_ms
    }
    return Roster(sightings=kept)


def recently_seen(
    roster: Roster, failure_domain: str, lag_ms: float, now_ms: float
) -> tuple[str, ...]:
    """Returns a domain's instances seen within the lag; sorted."""
    names = {
        each.member.instance_id
        for each in roster.sightings.values()
        if each.member.failure_domain == failure_domain
        and now_ms - each.last_seen_ms() < lag_ms
    }
    return tuple(sorted(names))


class PendingAnswers:
    """Since when each instance owes an answer."""

    def __init__(self) -> None:
        self._since_ms: dict[str, float] = {}

    def record_request(self, instance_id: str, now_ms: float) -> None:
        """Notes that work was sent whose answer is awaited."""
        self._since_ms.setdefault(instance_id, now_ms)

    def record_unreachable(self, instance_id: str) -> None:
        """Notes that the instance can't be reached at all."""
        self._since_ms[instance_id] = -math.inf

    def record_response(self, instance_id: str) -> None:
        """Notes that the instance sent anything at all."""
        self._since_ms.pop(instance_id, None)

    def is_overdue(
        self, instance_id: str, suspect_after_ms: float, now_ms: float
    ) -> bool:
        """Tells whether an answer is outstanding for too long."""
        since_ms = self._since_ms.get(instance_id)
        return since_ms is not None and now_ms - since_ms > suspect_after_ms


def usable(
    roster: Roster,
    awaited: PendingAnswers,
    suspect_after_ms: float,
    gone_after_ms: float,
    now_ms: float,
) -> dict[str, member.Member]:
    """Returns the instances that may get new work, by identifier.

    An instance is left out once it said that it leaves, once an answer from it
    is outstanding for long, or once neither list nor peers show it while the
    list can be read. Silence alone is no suspicion: with thousands of
    instances most pairs never talk.

    Args:
        roster: All sightings.
        awaited: Who owes an answer.
        suspect_after_ms: How long an answer may be outstanding.
        gone_after_ms: How long an instance may go unseen.
        now_ms: The time now.

    Returns:
        The latest record of each usable instance.
    """
    newest = _newest(roster)
    list_ms = max((each.listed_ms for each in newest.values()), default=0.0)
    list_is_fresh = now_ms - list_ms < gone_after_ms
    return {
        name: each.member
        for name, each in newest.items()
        if not each.member.leaving
        and not awaited.is_overdue(name, suspect_after_ms, now_ms)
        and not (list_is_fresh and now_ms - each.last_seen_ms() > gone_after_ms)
    }


def addresses(roster: Roster) -> dict[str, str]:
    """Returns the peer address of every known instance, leaving ones too."""
    return {
        name: each.member.peer_address for name, each in _newest(roster).items()
    }


def _newest(roster: Roster) -> dict[str, Sighting]:
    """Returns the latest incarnation's sighting of each instance."""
    best: dict[str, Sighting] = {}
    for each in roster.sightings.values():
        known = best.get(each.member.instance_id)
        if known is None or each.first_seen_ms > known.first_seen_ms:
            best[each.member.instance_id] = each
    return best
