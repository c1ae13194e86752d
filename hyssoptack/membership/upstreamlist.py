"""What an instance knows of the store's list of upstreams.

An entry vanishes from the store when its upstream has left, but also when the
store was down for so long that the entry expired. An upstream that has left
must get no more requests; one whose entry expired stays in use until it has had
time to register again. Which of the two happened follows from when the list was
observed: no entry expires unseen between two reads that are close together, and
once the list was observed for a while, all running upstreams are in it.

Instances exchange these lists, and each one decides by its own observations and
by those of the sender. An instance that was cut off can't tell its own cut from
an outage of the store; one that saw the removal can.

The store may also return from an older copy, in a new era. Its list is the
newer one then, but not all that it says is new: what has left before the return
stays out of use (`membership.departures`), and what the copy lacks stays in use
until it has had time to register again.

The functions do no I/O, and all times are in one clock.
"""

import dataclasses

from hyssoptack.core import listmessage
from hyssoptack.core import position
from hyssoptack.core import traffic
from hyssoptack.membership import departures
from hyssoptack.membership import keptupstreams

REREGISTRATION_GRACE_MS = 2_000.0
"""Time within which a running upstream registers again after the store's
return (specified); an upstream that is missing for longer is gone."""

EXPIRY_MIN_MS = 2_250.0
"""Longest time between two reads in which no entry can expire unseen. An entry
expires after three heartbeats of 1.2 s, the last of which may have come one
before the first read; the rest is for heartbeats that are late."""

EXTENSION_MIN_MS = 1_000.0
"""Length from which another outage within the grace period extends it.
Upstreams register about every 1.2 s, so a shorter one leaves them time."""

NEVER_MS = float("-inf")

Upstreams = dict[str, traffic.Upstream]


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamList:
    """The list of upstreams as last read, and the upstreams kept beside it.

    Attributes:
        listed: Upstreams in the store by id.
        kept: Upstreams by id that are missing, but whose entries may have
            expired.
        withdrawals: Listed upstreams by id that are out of use, as they left
            before the store returned from an older copy.
        departed: Upstreams by id that have left lately.
        read_at: Position in the store's history at which the list was read.
        read_ms: Time of the read; 0 before the first one.
        observed_since_ms: Time since which the list has been read without a
            gap in which entries could expire unseen.
        grace_end_ms: End of the period in which entries that vanish may have
            expired in an outage of the store; `NEVER_MS` if none was observed.
    """

    listed: Upstreams = dataclasses.field(default_factory=dict)
    kept: keptupstreams.Kept = dataclasses.field(default_factory=dict)
    withdrawals: departures.Withdrawals = dataclasses.field(
        default_factory=dict
    )
    departed: departures.Departures = dataclasses.field(default_factory=dict)
    read_at: position.Position = position.START
    read_ms: float = 0.0
    observed_since_ms: float = 0.0
    grace_end_ms: float = NEVER_MS

    @property
    def in_use(self) -> Upstreams:
        """The listed and the kept upstreams, without the withdrawn ones."""
        if not self.kept:
            return self.listed_in_use
        kept = {name: each.upstream for name, each in self.kept.items()}
        return kept | self.listed_in_use

    @property
    def listed_in_use(self) -> Upstreams:
        """The listed upstreams that are not withdrawn."""
        if not self.withdrawals:
            return self.listed
        return {
            name: each
            for name, each in self.listed.items()
            if name not in self.withdrawals
        }

    @property
    def is_observed(self) -> bool:
        """Whether the list was observed for the grace period.

        It holds all running upstreams then: those whose entries expired before
        have registered again.
        """
        return self.read_ms - self.observed_since_ms >= REREGISTRATION_GRACE_MS

    @property
    def is_settled(self) -> bool:
        """Whether all entries were written after the store's last return."""
        observed_ms = self.read_ms - self.observed_since_ms
        return observed_ms >= departures.COPY_EXPIRY_MS

    @property
    def left_ids(self) -> set[str]:
        """Ids of the upstreams that were seen to drain or to leave."""
        draining = (name for name, each in self.in_use.items() if each.draining)
        return {*self.departed, *self.withdrawals, *draining}

    @property
    def forgotten(self) -> departures.Departures:
        """Upstreams that left before the store returned from an older copy."""
        return {
            name: each
            for name, each in self.departed.items()
            if each.seen_at.era < self.read_at.era
        }

    @property
    def summary(self) -> listmessage.ListSummary:
        """What neighbours need to know to compare their lists with this one."""
        return listmessage.ListSummary(
            revision=self.read_at.revision,
            era=self.read_at.era,
            is_observed=self.is_observed,
        )

    def is_behind(self, other: listmessage.ListSummary, now_ms: float) -> bool:
        """Returns whether the list may hold upstreams that others saw leave.

        Args:
            other: The list of a neighbour.
            now_ms: The current time.
        """
        if self.kept and other.is_observed and not self.is_observed:
            return True
        is_old = now_ms - self.read_ms > EXPIRY_MIN_MS
        return is_old and self.read_at < other.read_at

    def shows_removal(
        self, upstream_id: str, kept: keptupstreams.KeptUpstream
    ) -> bool:
        """Returns whether the list shows that a kept upstream has left."""
        departure = self.forgotten.get(upstream_id)
        if departure is not None and kept.listed_at < departure.seen_at:
            return True
        return (
            upstream_id not in self.listed
            and upstream_id not in self.kept
            and self.read_at >= kept.listed_at
            and self.is_observed
        )

    def corrects(self, offered: "UpstreamList") -> bool:
        """Returns whether a neighbour uses upstreams that are known to be gone.

        After the store's return from an older copy, it can't find out itself.

        Args:
            offered: The neighbour's list, which was merged into this one.
        """
        if self.is_settled or offered.read_at.era != self.read_at.era:
            return False
        return bool(
            self.withdrawals.keys() - offered.withdrawals.keys()
            or self.forgotten.keys() & offered.kept.keys()
        )

    def was_corrected_since(self, before: "UpstreamList") -> bool:
        """Returns whether a neighbour has shown that upstreams are gone."""
        return not self.is_settled and bool(
            self.withdrawals.keys() - before.withdrawals.keys()
            or self.forgotten.keys() & before.kept.keys()
        )

    def refutes_outage_of(self, other: "UpstreamList") -> bool:
        """Returns whether the list was observed during the other's outage."""
        returned_ms = other.grace_end_ms - REREGISTRATION_GRACE_MS
        return (
            self.read_ms > 0
            and self.observed_since_ms + EXPIRY_MIN_MS <= returned_ms
        )


def after_outage(
    known: UpstreamList, lost_ms: float, returned_ms: float
) -> UpstreamList:
    """Returns the list when the store answers after an outage.

    The list from before the outage stays in use; what the next read lacks is
    kept for the grace period. An upstream that an earlier grace period keeps
    does not get another whole one: it could register again while the store
    answered in between.

    Args:
        known: The list from before the outage.
        lost_ms: Time for which the store did not answer.
        returned_ms: Time at which it answered again.
    """
    extension_ms = lost_ms if lost_ms >= EXTENSION_MIN_MS else 0.0
    return dataclasses.replace(
        known,
        kept={
            name: dataclasses.replace(
                each, until_ms=each.until_ms + extension_ms
            )
            for name, each in known.kept.items()
        },
        observed_since_ms=returned_ms,
        grace_end_ms=returned_ms + REREGISTRATION_GRACE_MS,
    )


def after_read(
    known: UpstreamList,
    listed: Upstreams,
    read_at: position.Position,
    read_ms: float,
) -> UpstreamList:
    """Returns the list after a read of the store, which may be an older one.

    Args:
        known: The list before.
        listed: Upstreams that were read.
        read_at: Position in the store's history of the read.
        read_ms: Time of the read.
    """
    if read_at < known.read_at:
        return known
    is_first_of_era = not known.read_ms or read_at.era > known.read_at.era
    read = UpstreamList(
        listed=listed,
        read_at=read_at,
        read_ms=max(known.read_ms, read_ms),
        observed_since_ms=(
            read_ms if is_first_of_era else known.observed_since_ms
        ),
        grace_end_ms=known.grace_end_ms,
    )
    if known.read_ms and is_first_of_era:
        return _with_departures(known, _after_restore(known, read))
    kept = {
        **keptupstreams.vanished(
            known.listed_in_use, known.read_at, listed, known.grace_end_ms
        ),
        **known.kept,
    }
    return _with_departures(known, _with_kept(read, kept, known.withdrawals))


def merge(known: UpstreamList, offered: UpstreamList) -> UpstreamList:
    """Returns an instance's list after a neighbour has offered its own.

    The later list replaces the other one. An upstream that it lacks, or that
    either of the two keeps, stays in use only if its entry may have expired as
    far as both have observed.

    Args:
        known: The instance's list.
        offered: The neighbour's list.
    """
    if offered.read_at == position.START:
        return known
    if known.read_at == position.START:
        return offered
    earlier, later = known, offered
    if offered.read_at < known.read_at:
        earlier, later = offered, known
    if earlier.read_at.era < later.read_at.era:
        merged = _after_restore(earlier, later)
    else:
        merged = _merged_in_era(earlier, later)
    merged = dataclasses.replace(
        merged, read_ms=max(known.read_ms, later.read_ms)
    )
    informed = dataclasses.replace(
        known, departed={**offered.departed, **known.departed}
    )
    return _with_departures(informed, merged)


def _merged_in_era(earlier: UpstreamList, later: UpstreamList) -> UpstreamList:
    """Returns two lists of one era of the store as one."""
    gap_ms = later.observed_since_ms - earlier.read_ms
    if gap_ms <= EXPIRY_MIN_MS:
        gap_ms = 0.0
        since_ms = min(earlier.observed_since_ms, later.observed_since_ms)
        grace_end_ms = _merged_grace_end_ms(earlier, later)
    else:
        since_ms = later.observed_since_ms
        grace_end_ms = max(
            later.grace_end_ms, since_ms + REREGISTRATION_GRACE_MS
        )
    kept = {
        **_combined_kept(earlier, later, gap_ms),
        **keptupstreams.vanished(
            earlier.listed_in_use, earlier.read_at, later.listed, grace_end_ms
        ),
    }
    if grace_end_ms > NEVER_MS:
        kept = keptupstreams.ending_by(kept, grace_end_ms)
    # A settled list shows that what it uses is running.
    withdrawals = (
        {}
        if earlier.is_settled or later.is_settled
        else {**earlier.withdrawals, **later.withdrawals}
    )
    merged = dataclasses.replace(
        later, observed_since_ms=since_ms, grace_end_ms=grace_end_ms
    )
    return _with_kept(merged, kept, withdrawals)


def _after_restore(earlier: UpstreamList, later: UpstreamList) -> UpstreamList:
    """Returns a list after the store has returned from an older copy.

    The copy may lack upstreams that registered after it was made, which need
    time to do so again. It may also list upstreams that have left meanwhile.

    Args:
        earlier: A list of before the store's return.
        later: A list of after it.
    """
    if later.is_settled:
        return later
    returned_ms = later.observed_since_ms
    grace_end_ms = max(
        later.grace_end_ms, returned_ms + REREGISTRATION_GRACE_MS
    )
    kept = {
        **keptupstreams.ending_at(earlier.kept, grace_end_ms),
        **keptupstreams.vanished(
            earlier.listed_in_use, earlier.read_at, later.listed, grace_end_ms
        ),
    }
    kept = {
        **_without_removed(kept, later),
        **_without_removed(later.kept, earlier),
    }
    withdrawals = {
        **departures.after_restore(
            earlier.left_ids,
            later.listed,
            returned_ms + departures.COPY_EXPIRY_MS,
        ),
        **later.withdrawals,
    }
    return _with_kept(
        dataclasses.replace(later, grace_end_ms=grace_end_ms), kept, withdrawals
    )


def _with_kept(
    read: UpstreamList,
    kept: keptupstreams.Kept,
    withdrawals: departures.Withdrawals,
) -> UpstreamList:
    """Returns a list with those records that still hold beside it."""
    changed = dataclasses.replace(
        read,
        withdrawals=departures.remaining(
            withdrawals, read.listed, read.read_ms
        ),
    )
    return dataclasses.replace(
        changed,
        kept=keptupstreams.remaining(kept, changed.listed_in_use, read.read_ms),
    )


def _with_departures(
    known: UpstreamList, changed: UpstreamList
) -> UpstreamList:
    """Returns a changed list that remembers what has left since."""
    seen = departures.Departure(
        seen_at=changed.read_at, seen_ms=changed.read_ms
    )
    return dataclasses.replace(
        changed,
        departed=departures.updated(
            known.departed, known.in_use, changed.in_use, seen
        ),
    )


def _merged_grace_end_ms(one: UpstreamList, other: UpstreamList) -> float:
    """Returns the end of the grace period as far as both have observed.

    Of two instances that have seen the same outage, the one that noticed the
    store's return first is right.
    """
    ends_ms = [
        each.grace_end_ms
        for each, observer in ((one, other), (other, one))
        if each.grace_end_ms > NEVER_MS and not observer.refutes_outage_of(each)
    ]
    return min(ends_ms, default=NEVER_MS)


def _combined_kept(
    earlier: UpstreamList, later: UpstreamList, gap_ms: float
) -> keptupstreams.Kept:
    """Returns what two lists keep and neither shows to have left.

    Args:
        earlier: The list that was read earlier.
        later: The list that was read later.
        gap_ms: Length of an outage that only the later list has seen, which
            extends the earlier one's ends; 0 if there was none. Without it, the
            earlier one of two ends holds.
    """
    combined = {
        name: dataclasses.replace(each, until_ms=each.until_ms + gap_ms)
        for name, each in earlier.kept.items()
        if not later.shows_removal(name, each)
    }
    for name, each in later.kept.items():
        if earlier.shows_removal(name, each):
            continue
        before = combined.get(name)
        if before is None or (before.until_ms < each.until_ms) == (gap_ms > 0):
            combined[name] = each
    return combined


def _without_removed(
    kept: keptupstreams.Kept, observer: UpstreamList
) -> keptupstreams.Kept:
    """Returns the records of which a list does not show that they have left."""
    return {
        name: each
        for name, each in kept.items()
        if not observer.shows_removal(name, each)
    }
