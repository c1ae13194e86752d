"""Registry of requests that crash the upstreams that run them.

A crashing upstream loses all calls in flight on it, so a crash alone does not
show which request caused it. Two rules separate requests that crash upstreams
from those that were only in flight at the same time:

- A request that any upstream has answered crashes none: it is cleared.
- A request that was in flight at a crash and has no answer yet is sent as a
  probe: one call at a time, each over a newly opened connection. An upstream
  that accepts the connection is alive, so if it crashes while it runs the
  probe, that crash is not part of the earlier event.

A request is quarantined once upstreams have crashed with it in flight in three
separate events and none has answered it. A harmless request is quarantined only
if upstreams known to be alive crash by chance that often, each during the tens
to hundreds of milliseconds in which they run it. Quarantined requests fail at
once, unsent. When a quarantine ends, one request is sent as a probe: a request
now harmless is served again, one that still crashes upstreams costs one.

Entries are limited in number and in age. Instances exchange them
(`gateway.quarantinesync`).
"""

import collections
import collections.abc
import enum
import itertools
import random

from hyssoptack.core import gatewaymessage
from hyssoptack.quarantine import suspectrecord
from hyssoptack.quarantine import suspicionchange

PROBE_JITTER_RATIO = 0.5
"""Random extra delay before an instance's probe, at most this part of the
quarantine. Instances thus probe at different times, so that the others learn
the outcome of the first probe before their own."""

PROBE_RETRY_MS = 5_000.0
"""Delay until the next probe after one without an answer or a crash."""

ENTRY_LIMIT_COUNT = 4_096
"""Limit for suspected and for quarantined requests each. Beyond it, the oldest
entries are dropped. They take 2.5 MB and 5 MB (tested in `quarantine_test`
with 50,000 and 20,000 requests), a sixteenth of an instance's memory limit."""


class Verdict(enum.Enum):
    """How a request is to be sent."""

    UNRESTRICTED = "free"
    PROBE = "with_care"
    REFUSE = "refused"


class SuspectRegistry:
    """Suspected and quarantined requests as one instance knows them.

    Attributes:
        on_change: Called with each state change of a request.
        on_pending_notices: Called on each queued notice or new suspect.
    """

    def __init__(self, source: random.Random, enabled: bool = True):
        """Creates a registry; `source` gives the probe jitter and samples.

        Unless `enabled`, no request is suspected.
        """
        self._random = source
        self._enabled = enabled
        self._suspects: collections.OrderedDict[
            str, suspectrecord.SuspectRecord
        ] = collections.OrderedDict()
        self._quarantined: collections.OrderedDict[
            str, suspectrecord.SuspectRecord
        ] = collections.OrderedDict()
        self._answers: dict[str, float] = {}
        self._trusted: frozenset[str] = frozenset()
        self._pending_notices: dict[str, None] = {}
        self.on_change: suspicionchange.OnChange = lambda _: None
        self.on_pending_notices: collections.abc.Callable[[], None] = lambda: (
            None
        )

    @property
    def suspected_count(self) -> int:
        """Number of requests that are sent as probes."""
        return len(self._suspects)

    @property
    def quarantined_count(self) -> int:
        """Number of requests that are quarantined."""
        return len(self._quarantined)

    @property
    def has_entries(self) -> bool:
        """Whether any request is suspected or quarantined."""
        return bool(self._suspects or self._quarantined)

    def is_tracked(self, fingerprint: str) -> bool:
        """Returns whether a request is suspected or quarantined."""
        return fingerprint in self._suspects or fingerprint in self._quarantined

    def is_quarantined(self, fingerprint: str, now_ms: float) -> bool:
        """Returns whether a request is quarantined and no probe is due."""
        entry = self._quarantined.get(fingerprint)
        return entry is not None and (
            now_ms < entry.quarantined_until_ms + entry.probe_jitter_ms
        )

    def decide(self, fingerprint: str, now_ms: float) -> Verdict:
        """Returns how to send a request, and starts its probe if one is due."""
        entry = self._quarantined.get(fingerprint)
        if entry is not None:
            if self.is_quarantined(fingerprint, now_ms):
                return Verdict.REFUSE
            entry.is_probing = True
            entry.quarantined_until_ms = now_ms + PROBE_RETRY_MS
            entry.expires_ms = max(
                entry.expires_ms, now_ms + 2 * PROBE_RETRY_MS
            )
            entry.probe_jitter_ms = 0.0
            self._report(suspicionchange.ChangeKind.PROBED, fingerprint, entry)
            return Verdict.PROBE
        entry = self._suspects.get(fingerprint)
        if (
            entry is None
            or now_ms - entry.last_crash_ms > suspectrecord.SUSPICION_TTL_MS
        ):
            return Verdict.UNRESTRICTED
        return Verdict.PROBE

    def record_answer(self, fingerprint: str, now_ms: float) -> None:
        """Clears a request, as an upstream has answered it."""
        self._remember_answer(fingerprint, now_ms)
        if self.is_tracked(fingerprint):
            self._clear(fingerprint, "")

    def _remember_answer(self, fingerprint: str, at_ms: float) -> None:
        self._answers.pop(fingerprint, None)
        self._answers[fingerprint] = at_ms
        if len(self._answers) > ENTRY_LIMIT_COUNT:
            del self._answers[next(iter(self._answers))]

    def record_crash(
        self,
        fingerprint: str,
        crash: suspectrecord.UpstreamCrash,
        now_ms: float,
    ) -> None:
        """Records that an upstream crashed with a request in flight.

        Must be called only while the request's plan knows of no answer to it.
        """
        if not self._enabled or fingerprint in self._trusted:
            return
        entry = self._quarantined.get(fingerprint)
        if entry is not None:
            # Crashes of calls sent before the quarantine prove nothing new.
            if entry.is_probing:
                entry.last_crash_ms = now_ms
                term = suspectrecord.quarantine_term(entry.quarantine_count + 1)
                self._start_quarantine(fingerprint, entry, term, now_ms)
            return
        self._add_crashes(fingerprint, (crash,), now_ms, "")

    def share(self, fingerprint: str) -> None:
        """Shares a suspected request that has ended without an answer."""
        entry = self._suspects.get(fingerprint)
        if entry is not None and not entry.is_shared:
            entry.is_shared = True
            self._queue_notice(fingerprint)

    def set_trusted(
        self, fingerprints: collections.abc.Iterable[str], now_ms: float
    ) -> None:
        """Replaces the requests that operators have declared harmless."""
        self._trusted = frozenset(fingerprints)
        for each in self._trusted:
            if self.is_tracked(each):
                self.record_answer(each, now_ms)

    def _add_crashes(
        self,
        fingerprint: str,
        crashes: collections.abc.Iterable[suspectrecord.UpstreamCrash],
        now_ms: float,
        source: str,
    ) -> None:
        entry = self._suspects.get(fingerprint)
        is_new = entry is None
        if entry is None:
            entry = self._suspects[fingerprint] = suspectrecord.SuspectRecord()
            _drop_oldest(self._suspects)
        known_ids = {each.upstream_id for each in entry.crashes}
        new = [each for each in crashes if each.upstream_id not in known_ids]
        for each in new:
            # Many crashes in one event prove no more than one does.
            repeats = (
                each.at_ms - entry.last_crash_ms
                < suspectrecord.CRASH_EVENT_WINDOW_MS
            )
            if each.is_separate_event or not repeats or len(entry.crashes) < 2:
                entry.crashes.append(each)
            entry.last_crash_ms = max(entry.last_crash_ms, each.at_ms)
        if source and new:
            entry.is_shared = True
            self._queue_notice(fingerprint)
        if (
            suspectrecord.crash_event_count(entry.crashes)
            >= suspectrecord.QUARANTINE_EVENT_COUNT
        ):
            self._start_quarantine(
                fingerprint,
                entry,
                suspectrecord.quarantine_term(1),
                now_ms,
                source,
            )
        elif is_new:
            self.on_pending_notices()
            self._report(
                suspicionchange.ChangeKind.SUSPECTED,
                fingerprint,
                entry,
                source=source,
            )

    def _start_quarantine(
        self,
        fingerprint: str,
        entry: suspectrecord.SuspectRecord,
        term: suspectrecord.QuarantineTerm,
        now_ms: float,
        source: str = "",
    ) -> None:
        self._suspects.pop(fingerprint, None)
        self._quarantined[fingerprint] = entry
        self._quarantined.move_to_end(fingerprint)
        _drop_oldest(self._quarantined)
        entry.quarantine_count = term.count
        entry.quarantined_until_ms = now_ms + term.duration_ms
        entry.expires_ms = now_ms + term.retention_ms
        limit_ms = PROBE_JITTER_RATIO * suspectrecord.quarantine_ms(term.count)
        entry.probe_jitter_ms = self._random.uniform(0.0, limit_ms)
        entry.is_probing = False
        entry.is_shared = True
        self._queue_notice(fingerprint)
        self._report(
            suspicionchange.ChangeKind.QUARANTINED,
            fingerprint,
            entry,
            term.duration_ms,
            source,
        )

    def _clear(self, fingerprint: str, source: str) -> None:
        entry = self._suspects.pop(fingerprint, None)
        entry = self._quarantined.pop(fingerprint, entry)
        if entry.is_shared:
            self._queue_notice(fingerprint)
        self._report(
            suspicionchange.ChangeKind.CLEARED,
            fingerprint,
            entry,
            source=source,
        )

    def expire(self, now_ms: float) -> None:
        """Drops entries that have expired."""
        for fingerprint, entry in tuple(self._suspects.items()):
            if now_ms - entry.last_crash_ms > suspectrecord.SUSPICION_TTL_MS:
                del self._suspects[fingerprint]
                self._report(
                    suspicionchange.ChangeKind.EXPIRED, fingerprint, entry
                )
        for fingerprint, entry in tuple(self._quarantined.items()):
            # No caller has sent it for as long as a probe was allowed.
            if now_ms > entry.expires_ms:
                del self._quarantined[fingerprint]
                self._report(
                    suspicionchange.ChangeKind.EXPIRED, fingerprint, entry
                )

    def _report(
        self,
        kind: suspicionchange.ChangeKind,
        fingerprint: str,
        entry: suspectrecord.SuspectRecord,
        for_ms: float = 0.0,
        source: str = "",
    ) -> None:
        change = suspicionchange.SuspicionChange(
            kind=kind,
            fingerprint=fingerprint,
            upstream_ids=tuple(each.upstream_id for each in entry.crashes),
            quarantine_count=entry.quarantine_count,
            quarantine_ms=for_ms,
            source=source,
        )
        self.on_change(change)

    def _queue_notice(self, fingerprint: str) -> None:
        self._pending_notices.pop(fingerprint, None)
        self._pending_notices[fingerprint] = None
        if len(self._pending_notices) > ENTRY_LIMIT_COUNT:
            del self._pending_notices[next(iter(self._pending_notices))]
        self.on_pending_notices()

    def pop_new_notices(
        self, limit_count: int, now_ms: float
    ) -> tuple[gatewaymessage.Suspect, ...]:
        """Removes all pending notices and returns the most important ones.

        Quarantined requests come first, then the newest. Notices beyond the
        limit are dropped; `sample_notices` covers them later.
        """
        newest = reversed(self._pending_notices)
        names = sorted(newest, key=lambda each: each not in self._quarantined)
        self._pending_notices.clear()
        notices = (self._notice(each, now_ms) for each in names[:limit_count])
        return tuple(each for each in notices if each is not None)

    def sample_notices(
        self, limit_count: int, now_ms: float
    ) -> tuple[gatewaymessage.Suspect, ...]:
        """Returns random notices others may have missed, quarantined first."""
        names = self._sample(self._quarantined, limit_count)
        shared = [name for name, e in self._suspects.items() if e.is_shared]
        names += self._sample(shared, limit_count - len(names))
        notices = (self._notice(each, now_ms) for each in names)
        return tuple(
            each
            for each in notices
            if each and suspectrecord.is_worth_sharing(each)
        )

    def _sample(
        self, names: collections.abc.Collection[str], limit_count: int
    ) -> list[str]:
        return self._random.sample(tuple(names), min(len(names), limit_count))

    def _notice(
        self, fingerprint: str, now_ms: float
    ) -> gatewaymessage.Suspect | None:
        entry = self._quarantined.get(fingerprint)
        entry = entry or self._suspects.get(fingerprint)
        if entry is None:
            at_ms = self._answers.get(fingerprint)
            if at_ms is None:
                return None
            return gatewaymessage.Suspect(
                fingerprint=fingerprint, age_ms=now_ms - at_ms, cleared=True
            )
        return suspectrecord.to_notice(fingerprint, entry, now_ms)

    def newest_quarantined(
        self, limit_count: int, now_ms: float
    ) -> list[tuple[str, suspectrecord.SuspectRecord]]:
        """Returns the most recently quarantined requests and their records."""
        new = itertools.islice(reversed(self._quarantined.items()), limit_count)
        return [
            each
            for each in new
            if each[1].expires_ms > now_ms + suspectrecord.SHARING_CUTOFF_MS
        ]

    def was_cleared(self, fingerprint: str) -> bool:
        """Returns whether a request was answered and is no longer tracked."""
        return fingerprint in self._answers and not self.is_tracked(fingerprint)

    def merge_notice(
        self, notice: gatewaymessage.Suspect, source: str, now_ms: float
    ) -> None:
        """Merges another instance's notice into the registry."""
        if not self._enabled or not suspectrecord.is_worth_sharing(notice):
            return
        if notice.fingerprint in self._trusted and not notice.cleared:
            self._remember_answer(notice.fingerprint, now_ms)
        at_ms = now_ms - notice.age_ms
        if notice.cleared:
            self._merge_clear(notice.fingerprint, at_ms, source)
        elif at_ms <= self._answers.get(notice.fingerprint, float("-inf")):
            # It has been answered since, which the sender does not know yet.
            self._queue_notice(notice.fingerprint)
        elif notice.blocked_count:
            self._merge_quarantine(notice, at_ms, source, now_ms)
        elif notice.fingerprint not in self._quarantined:
            crashes = suspectrecord.crashes_from_notice(notice, now_ms)
            self._add_crashes(notice.fingerprint, crashes, now_ms, source)

    def _merge_clear(self, fingerprint: str, at_ms: float, source: str) -> None:
        if at_ms > self._answers.get(fingerprint, float("-inf")):
            self._remember_answer(fingerprint, at_ms)
        entry = self._quarantined.get(fingerprint)
        entry = entry or self._suspects.get(fingerprint)
        if entry is not None and entry.last_crash_ms <= at_ms:
            self._clear(fingerprint, source)

    def _merge_quarantine(
        self,
        notice: gatewaymessage.Suspect,
        at_ms: float,
        source: str,
        now_ms: float,
    ) -> None:
        entry = self._quarantined.get(notice.fingerprint)
        if entry is not None and entry.quarantine_count >= notice.blocked_count:
            return
        entry = entry or self._suspects.get(notice.fingerprint)
        entry = entry or suspectrecord.SuspectRecord()
        entry.last_crash_ms = max(entry.last_crash_ms, at_ms)
        self._start_quarantine(
            notice.fingerprint,
            entry,
            suspectrecord.term_from_notice(notice),
            now_ms,
            source,
        )


def _drop_oldest(
    entries: collections.OrderedDict[str, suspectrecord.SuspectRecord],
) -> None:
    """Drops the oldest entries beyond the limit."""
    while len(entries) > ENTRY_LIMIT_COUNT:
        entries.popitem(last=False)
