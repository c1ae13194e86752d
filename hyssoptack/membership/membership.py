"""Known instances, from the lagging platform list and from peer messages.

The roster answers three questions:

- Which instances may share an upstream: all that were seen within the list's
  lag, whether or not they are gone (`recently_seen`).
- Which instances get new sub-queries: those that are not leaving and have no
  overdue answer (`usable`).
- Since when an instance has been known (`Sighting.first_seen_ms`): its share
  starts only after the lag has passed, so that all other instances have counted
  it by then.
"""

import dataclasses
import math

from hyssoptack.core import member


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sighting:
    """Record of one incarnation of an instance.

    Attributes:
        member: Its last known membership record.
        first_seen_ms: Time at which this incarnation was first seen.
        listed_ms: Time at which the platform's list last had it; 0 if never.
        last_message_ms: Time of its last peer message; 0 if never.
    """

    member: member.Member
    first_seen_ms: float
    listed_ms: float = 0.0
    last_message_ms: float = 0.0

    def last_seen_ms(self) -> float:
        """Returns when the list or a message last showed this incarnation."""
        return max(self.listed_ms, self.last_message_ms)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Roster:
    """Sightings of all known instances.

    Attributes:
        sightings: Sightings by incarnation.
    """

    sightings: dict[str, Sighting] = dataclasses.field(default_factory=dict)


def merge_listed(
    roster: Roster, members: tuple[member.Member, ...], now_ms: float
) -> Roster:
    """Returns the roster updated from a read of the platform's list."""
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

    An instance that is already known keeps its address: the list has the one
    that this reader can reach.
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
    # Updated in place, as the cost of a copy grows with the fleet.
    roster.sightings[sender.incarnation] = new
    return roster


def pruned(roster: Roster, keep_ms: float, now_ms: float) -> Roster:
    """Returns the roster without incarnations unseen for `keep_ms`."""
    kept = {
        name: each
        for name, each in roster.sightings.items()
        if now_ms - each.last_seen_ms() < keep_ms
    }
    return Roster(sightings=kept)


def delayed(roster: Roster, stop_ms: float, now_ms: float) -> Roster:
    """Returns the roster after a stop of this process.

    Nothing could be seen during the stop, so it does not count as time in which
    an instance was not seen.
    """

    def moved(seen_ms: float) -> float:
        return min(now_ms, seen_ms + stop_ms) if seen_ms else 0.0

    sightings = {
        name: dataclasses.replace(
            each,
            listed_ms=moved(each.listed_ms),
            last_message_ms=moved(each.last_message_ms),
        )
        for name, each in roster.sightings.items()
    }
    return Roster(sightings=sightings)


def latest(
    roster: Roster, failure_domain: str, lag_ms: float, now_ms: float
) -> dict[str, member.Member]:
    """Returns a domain's instances seen within the lag, by incarnation.

    Of several incarnations of an instance only the latest is returned.
    """
    return {
        each.member.incarnation: each.member
        for each in _newest(roster).values()
        if each.member.failure_domain == failure_domain
        and now_ms - each.last_seen_ms() < lag_ms
    }


def recently_seen(
    roster: Roster, failure_domain: str, lag_ms: float, now_ms: float
) -> tuple[str, ...]:
    """Returns a domain's instances seen within the lag, sorted."""
    names = {
        each.member.instance_id
        for each in roster.sightings.values()
        if each.member.failure_domain == failure_domain
        and now_ms - each.last_seen_ms() < lag_ms
    }
    return tuple(sorted(names))


class PendingAnswers:
    """Tracks since when each instance owes an answer."""

    def __init__(self) -> None:
        self._since_ms: dict[str, float] = {}

    def record_request(self, instance_id: str, now_ms: float) -> None:
        """Records that a request was sent that the instance has to answer."""
        self._since_ms.setdefault(instance_id, now_ms)

    def delay(self, stop_ms: float, now_ms: float) -> None:
        """Moves pending answers by a stop, in which none could be read."""
        for instance_id, since_ms in self._since_ms.items():
            self._since_ms[instance_id] = min(now_ms, since_ms + stop_ms)

    def record_unreachable(self, instance_id: str) -> None:
        """Records that the instance cannot be reached; it counts as overdue."""
        self._since_ms[instance_id] = -math.inf

    def record_response(self, instance_id: str) -> None:
        """Records that the instance sent a message of any kind."""
        self._since_ms.pop(instance_id, None)

    def is_overdue(
        self, instance_id: str, suspect_after_ms: float, now_ms: float
    ) -> bool:
        """Returns whether an answer has been pending for too long."""
        since_ms = self._since_ms.get(instance_id)
        return since_ms is not None and now_ms - since_ms > suspect_after_ms


def usable(
    roster: Roster,
    pending_answers: PendingAnswers,
    suspect_after_ms: float,
    gone_after_ms: float,
    now_ms: float,
) -> dict[str, member.Member]:
    """Returns the instances that may get new work, by identifier.

    An instance is excluded once it has announced that it leaves, once an answer
    from it is overdue, or once neither list nor peers show it while the list
    can be read. An instance is not excluded only because it has sent no
    message: with thousands of instances most pairs never exchange one.

    Args:
        roster: All sightings.
        pending_answers: The answers that instances still have to send.
        suspect_after_ms: Time after which a pending answer is overdue.
        gone_after_ms: Time after which an unseen instance counts as gone.
        now_ms: The current time.

    Returns:
        The latest membership record of each usable instance.
    """
    newest = _newest(roster)
    list_ms = max((each.listed_ms for each in newest.values()), default=0.0)
    list_is_fresh = now_ms - list_ms < gone_after_ms
    return {
        name: each.member
        for name, each in newest.items()
        if not each.member.leaving
        and not pending_answers.is_overdue(name, suspect_after_ms, now_ms)
        and not (list_is_fresh and now_ms - each.last_seen_ms() > gone_after_ms)
    }


def addresses(roster: Roster) -> dict[str, str]:
    """Returns the peer addresses of all known instances, leaving ones too."""
    return {
        name: each.member.peer_address for name, each in _newest(roster).items()
    }


def _newest(roster: Roster) -> dict[str, Sighting]:
    """Returns the sighting of each instance's latest incarnation."""
    newest: dict[str, Sighting] = {}
    for each in roster.sightings.values():
        known = newest.get(each.member.instance_id)
        if known is None or each.first_seen_ms > known.first_seen_ms:
            newest[each.member.instance_id] = each
    return newest
