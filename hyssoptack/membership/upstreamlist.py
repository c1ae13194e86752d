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

The functions do no I/O, and all times are in one clock.
"""

import dataclasses

from hyssoptack.core import listmessage
from hyssoptack.core import traffic

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
class KeptUpstream:
    """An upstream that stays in use although it is not listed.

    Attributes:
        upstream: The upstream as it was last listed.
        listed_revision: Store revision of the last read that listed it.
        until_ms: Time from which a read that does not list it shows that it is
            gone.
    """

    upstream: traffic.Upstream
    listed_revision: int
    until_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamList:
    """The list of upstreams as last read, and the upstreams kept beside it.

    Attributes:
        listed: Upstreams in the store by id.
        kept: Upstreams by id that are missing, but whose entries may have
            expired.
        revision: Store revision at which the list was read.
        read_ms: Time of the read; 0 before the first one.
        observed_since_ms: Time since which the list has been read without a
            gap in which entries could expire unseen.
        grace_end_ms: End of the period in which entries that vanish may have
            expired in an outage of the store; `NEVER_MS` if none was observed.
    """

    listed: Upstreams = dataclasses.field(default_factory=dict)
    kept: dict[str, KeptUpstream] = dataclasses.field(default_factory=dict)
    revision: int = 0
    read_ms: float = 0.0
    observed_since_ms: float = 0.0
    grace_end_ms: float = NEVER_MS

    @property
    def in_use(self) -> Upstreams:
        """The listed and the kept upstreams."""
        if not self.kept:
            return self.listed
        kept = {name: each.upstream for name, each in self.kept.items()}
        return kept | self.listed

    @property
    def is_observed(self) -> bool:
        """Whether the list was observed for the grace period.

        It holds all running upstreams then: those whose entries expired before
        have registered again.
        """
        return self.read_ms - self.observed_since_ms >= REREGISTRATION_GRACE_MS

    @property
    def summary(self) -> listmessage.ListSummary:
        """What neighbours need to know to compare their lists with this one."""
        return listmessage.ListSummary(
            revision=self.revision, is_observed=self.is_observed
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
        return is_old and self.revision < other.revision

    def shows_removal(self, upstream_id: str, kept: KeptUpstream) -> bool:
        """Returns whether the list shows that a kept upstream has left."""
        return (
            upstream_id not in self.listed
            and upstream_id not in self.kept
            and self.revision >= kept.listed_revision
            and self.is_observed
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
    known: UpstreamList, listed: Upstreams, revision: int, read_ms: float
) -> UpstreamList:
    """Returns the list after a read of the store, which may be an older one.

    Args:
        known: The list before.
        listed: Upstreams that were read.
        revision: Store revision of the read.
        read_ms: Time of the read.
    """
    if revision < known.revision:
        return known
    kept = {
        **_vanished(known, listed, known.grace_end_ms),
        **known.kept,
    }
    return UpstreamList(
        listed=listed,
        kept=_remaining(kept, listed, read_ms),
        revision=revision,
        read_ms=max(known.read_ms, read_ms),
        observed_since_ms=known.observed_since_ms if known.read_ms else read_ms,
        grace_end_ms=known.grace_end_ms,
    )


def merge(known: UpstreamList, offered: UpstreamList) -> UpstreamList:
    """Returns an instance's list after a neighbour has offered its own.

    The list of the later revision replaces the other one. An upstream that it
    lacks, or that either of the two keeps, stays in use only if its entry may
    have expired as far as both have observed.

    Args:
        known: The instance's list.
        offered: The neighbour's list.
    """
    if not offered.revision:
        return known
    if not known.revision:
        return offered
    earlier, later = known, offered
    if offered.revision < known.revision:
        earlier, later = offered, known
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
        **_vanished(earlier, later.listed, grace_end_ms),
    }
    if grace_end_ms > NEVER_MS:
        kept = _ending_by(kept, grace_end_ms)
    return UpstreamList(
        listed=later.listed,
        kept=_remaining(kept, later.listed, later.read_ms),
        revision=later.revision,
        read_ms=max(known.read_ms, later.read_ms),
        observed_since_ms=since_ms,
        grace_end_ms=grace_end_ms,
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


def _vanished(
    known: UpstreamList, listed: Upstreams, until_ms: float
) -> dict[str, KeptUpstream]:
    """Returns records that keep what a later list lacks until a time."""
    return {
        name: KeptUpstream(
            upstream=known.listed[name],
            listed_revision=known.revision,
            until_ms=until_ms,
        )
        for name in known.listed.keys() - listed.keys()
    }


def _combined_kept(
    earlier: UpstreamList, later: UpstreamList, gap_ms: float
) -> dict[str, KeptUpstream]:
    """Returns what two lists keep and neither shows to have left.

    Args:
        earlier: The list of the earlier revision.
        later: The list of the later revision.
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


def _ending_by(
    kept: dict[str, KeptUpstream], end_ms: float
) -> dict[str, KeptUpstream]:
    """Returns the records with no end later than that of the grace period."""
    return {
        name: dataclasses.replace(each, until_ms=min(each.until_ms, end_ms))
        for name, each in kept.items()
    }


def _remaining(
    kept: dict[str, KeptUpstream], listed: Upstreams, read_ms: float
) -> dict[str, KeptUpstream]:
    """Returns what is still kept beside a list.

    An upstream that restarted is listed with a new id and replaces the kept
    one.
    """
    if not kept:
        return {}
    expected_ids = {each.expected_id for each in listed.values()}
    return {
        name: each
        for name, each in kept.items()
        if each.until_ms > read_ms
        and each.upstream.expected_id not in expected_ids
    }
