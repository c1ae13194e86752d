"""Which requests crash the upstreams that run them.

An upstream that ends takes along all that it has in hand, so an end alone says
little of a request. Two things tell those that crash upstreams from those that
were beside them:

- A request that is answered by any upstream crashes none: it is cleared.
- A request under which an upstream has ended, and that none has answered, is
  sent on with care: one call at a time, over a connection that is opened then.
  An upstream that takes the connection lives; when it ends with the request in
  hand, it is not the same event that it ended by.

A request is blocked once upstreams have ended under it at three moments, and
none has answered it. An innocent request is blocked only if upstreams that were
found alive end by chance as often, each within the tens to hundreds of
milliseconds for which it is there. Blocked requests are refused. After a
while one is tried, with care, so that a request that has become harmless is
served again at the price of one upstream where it has not.

Entries are bounded in number and in time; instances tell each other of them
(`gateway.quarantinesync`).
"""

import collections
import collections.abc
import dataclasses
import enum
import itertools
import random

from hyssoptack.core import gatewaymessage
from hyssoptack.policy import suspectrecord

PROBE_JITTER_RATIO = 0.5
"""Instances try at different times, up to this part later, so that the first
try's outcome is known to the others before theirs."""

TRY_MS = 5_000.0
"""After a try that brought neither an answer nor an end, the next one."""

ENTRY_LIMIT_COUNT = 4_096
"""Most suspected requests, and most blocked ones, of one instance: 2.5 and 5 MB
(`quarantine_test`, 50,000 and 20,000 requests), a sixteenth of what it may use.
Beyond it the oldest are forgotten."""


class Verdict(enum.Enum):
    """How a request is to be sent."""

    UNRESTRICTED = "free"
    PROBE = "with_care"
    REFUSE = "refused"


class ChangeKind(enum.Enum):
    """What has changed in what is believed of a request."""

    SUSPECTED = "suspected"
    QUARANTINED = "blocked"
    PROBED = "tried"
    CLEARED = "cleared"
    EXPIRED = "forgotten"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspicionChange:
    """A change of belief, for the log and for who runs such requests.

    Attributes:
        kind: What has changed.
        fingerprint: The request.
        upstream_ids: Upstreams that have ended under it, as far as kept.
        quarantine_count: How often in a row it was blocked.
        quarantine_ms: How long it stays blocked at least.
        source: The instance that told so; empty where it was found here.
    """

    kind: ChangeKind
    fingerprint: str
    upstream_ids: tuple[str, ...] = ()
    quarantine_count: int = 0
    quarantine_ms: float = 0.0
    source: str = ""


OnChange = collections.abc.Callable[[SuspicionChange], None]


class SuspectRegistry:
    """One instance's beliefs about requests that crash upstreams."""

    def __init__(self, source: random.Random, enabled: bool = True):
        """Makes an instance that suspects nothing.

        Args:
            source: Spreads tries over the instances.
            enabled: Whether anything is suspected at all.
        """
        self._random = source
        self._enabled = enabled
        self._suspected: collections.OrderedDict[
            str, suspectrecord.SuspectRecord
        ] = collections.OrderedDict()
        self._blocked: collections.OrderedDict[
            str, suspectrecord.SuspectRecord
        ] = collections.OrderedDict()
        self._answered: dict[str, float] = {}
        self._trusted: frozenset[str] = frozenset()
        self._news: dict[str, None] = {}
        self.on_change: OnChange = lambda _: None
        self.on_pending_notices: collections.abc.Callable[[], None] = lambda: (
            None
        )

    @property
    def suspected_count(self) -> int:
        """Requests that are sent with care."""
        return len(self._suspected)

    @property
    def quarantined_count(self) -> int:
        """Requests that are refused."""
        return len(self._blocked)

    @property
    def has_entries(self) -> bool:
        """Whether anything is held against any request."""
        return bool(self._suspected or self._blocked)

    def is_tracked(self, fingerprint: str) -> bool:
        """Whether anything is held against a request."""
        return fingerprint in self._suspected or fingerprint in self._blocked

    def is_quarantined(self, fingerprint: str, now_ms: float) -> bool:
        """Whether a request is refused, with no try due."""
        entry = self._blocked.get(fingerprint)
        return entry is not None and (
            now_ms < entry.quarantined_until_ms + entry.probe_jitter_ms
        )

    # Requests.

    def decide(self, fingerprint: str, now_ms: float) -> Verdict:
        """Returns how a request that has come in is to be sent."""
        entry = self._blocked.get(fingerprint)
        if entry is not None:
            if self.is_quarantined(fingerprint, now_ms):
                return Verdict.REFUSE
            entry.is_probing = True
            entry.quarantined_until_ms = now_ms + TRY_MS
            entry.expires_ms = max(entry.expires_ms, now_ms + 2 * TRY_MS)
            entry.probe_jitter_ms = 0.0
            self._say(ChangeKind.PROBED, fingerprint, entry)
            return Verdict.PROBE
        entry = self._suspected.get(fingerprint)
        if (
            entry is None
            or now_ms - entry.last_crash_ms > suspectrecord.SUSPICION_TTL_MS
        ):
            return Verdict.UNRESTRICTED
        return Verdict.PROBE

    def record_answer(self, fingerprint: str, now_ms: float) -> None:
        """Takes that an upstream has answered a request: it crashes none."""
        self._keep_answered(fingerprint, now_ms)
        if self.is_tracked(fingerprint):
            self._clear(fingerprint, "")

    def _keep_answered(self, fingerprint: str, at_ms: float) -> None:
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = at_ms
        if len(self._answered) > ENTRY_LIMIT_COUNT:
            del self._answered[next(iter(self._answered))]

    def record_crash(
        self,
        fingerprint: str,
        ending: suspectrecord.UpstreamCrash,
        now_ms: float,
    ) -> None:
        """Takes that an upstream has ended with a request in hand.

        The request has no answer from any upstream, as far as its plan knows.
        """
        if not self._enabled or fingerprint in self._trusted:
            return
        entry = self._blocked.get(fingerprint)
        if entry is not None:
            # Calls that were out when it was blocked show nothing new.
            if entry.is_probing:
                entry.last_crash_ms = now_ms
                blocking = suspectrecord.quarantine_term(
                    entry.quarantine_count + 1
                )
                self._block(fingerprint, entry, blocking, now_ms)
            return
        self._add(fingerprint, (ending,), now_ms, "")

    def share(self, fingerprint: str) -> None:
        """Lets others know of a request that has ended without an answer."""
        entry = self._suspected.get(fingerprint)
        if entry is not None and not entry.is_shared:
            entry.is_shared = True
            self._announce(fingerprint)

    def set_trusted(
        self, fingerprints: collections.abc.Iterable[str], now_ms: float
    ) -> None:
        """Takes which requests operators know to be harmless."""
        self._trusted = frozenset(fingerprints)
        for each in self._trusted:
            if self.is_tracked(each):
                self.record_answer(each, now_ms)

    # Beliefs.

    def _add(
        self,
        fingerprint: str,
        endings: collections.abc.Iterable[suspectrecord.UpstreamCrash],
        now_ms: float,
        source: str,
    ) -> None:
        entry = self._suspected.get(fingerprint)
        is_new = entry is None
        if entry is None:
            entry = self._suspected[fingerprint] = suspectrecord.SuspectRecord()
            _limit(self._suspected)
        known = {each.upstream_id for each in entry.crashes}
        fresh = [each for each in endings if each.upstream_id not in known]
        for each in fresh:
            # Many ends of one moment tell no more than one.
            same = (
                each.at_ms - entry.last_crash_ms
                < suspectrecord.CRASH_EVENT_WINDOW_MS
            )
            if each.proven or not same or len(entry.crashes) < 2:
                entry.crashes.append(each)
            entry.last_crash_ms = max(entry.last_crash_ms, each.at_ms)
        if source and fresh:
            entry.is_shared = True
            self._announce(fingerprint)
        if (
            suspectrecord.crash_event_count(entry.crashes)
            >= suspectrecord.QUARANTINE_EVENT_COUNT
        ):
            self._block(
                fingerprint,
                entry,
                suspectrecord.quarantine_term(1),
                now_ms,
                source,
            )
        elif is_new:
            self.on_pending_notices()
            self._say(ChangeKind.SUSPECTED, fingerprint, entry, source=source)

    def _block(
        self,
        fingerprint: str,
        entry: suspectrecord.SuspectRecord,
        blocking: suspectrecord.QuarantineTerm,
        now_ms: float,
        source: str = "",
    ) -> None:
        self._suspected.pop(fingerprint, None)
        self._blocked[fingerprint] = entry
        self._blocked.move_to_end(fingerprint)
        _limit(self._blocked)
        entry.quarantine_count = blocking.count
        entry.quarantined_until_ms = now_ms + blocking.duration_ms
        entry.expires_ms = now_ms + blocking.retention_ms
        most_ms = PROBE_JITTER_RATIO * suspectrecord.quarantine_ms(
            blocking.count
        )
        entry.probe_jitter_ms = self._random.uniform(0.0, most_ms)
        entry.is_probing = False
        entry.is_shared = True
        self._announce(fingerprint)
        self._say(
            ChangeKind.QUARANTINED,
            fingerprint,
            entry,
            blocking.duration_ms,
            source,
        )

    def _clear(self, fingerprint: str, source: str) -> None:
        entry = self._suspected.pop(fingerprint, None)
        entry = self._blocked.pop(fingerprint, entry)
        if entry.is_shared:
            self._announce(fingerprint)
        self._say(ChangeKind.CLEARED, fingerprint, entry, source=source)

    def expire(self, now_ms: float) -> None:
        """Forgets what is too old to mean anything."""
        for fingerprint, entry in tuple(self._suspected.items()):
            if now_ms - entry.last_crash_ms > suspectrecord.SUSPICION_TTL_MS:
                del self._suspected[fingerprint]
                self._say(ChangeKind.EXPIRED, fingerprint, entry)
        for fingerprint, entry in tuple(self._blocked.items()):
            # Nobody has asked for it in all the time in which it may be tried.
            if now_ms > entry.expires_ms:
                del self._blocked[fingerprint]
                self._say(ChangeKind.EXPIRED, fingerprint, entry)

    def _say(
        self,
        what: ChangeKind,
        fingerprint: str,
        entry: suspectrecord.SuspectRecord,
        for_ms: float = 0.0,
        source: str = "",
    ) -> None:
        change = SuspicionChange(
            kind=what,
            fingerprint=fingerprint,
            upstream_ids=tuple(each.upstream_id for each in entry.crashes),
            quarantine_count=entry.quarantine_count,
            quarantine_ms=for_ms,
            source=source,
        )
        self.on_change(change)

    # What instances tell each other.

    def _announce(self, fingerprint: str) -> None:
        self._news.pop(fingerprint, None)
        self._news[fingerprint] = None
        if len(self._news) > ENTRY_LIMIT_COUNT:
            del self._news[next(iter(self._news))]
        self.on_pending_notices()

    def pop_new_notices(
        self, most_count: int, now_ms: float
    ) -> tuple[gatewaymessage.Suspect, ...]:
        """Takes out what others should know at once: the newest, blocked first.

        What is over the count is told with all the rest later.
        """
        newest = reversed(self._news)
        names = sorted(newest, key=lambda each: each not in self._blocked)
        self._news.clear()
        told = (self._told(each, now_ms) for each in names[:most_count])
        return tuple(each for each in told if each is not None)

    def sample_notices(
        self, most_count: int, now_ms: float
    ) -> tuple[gatewaymessage.Suspect, ...]:
        """Returns what others may have missed; what is blocked first."""
        names = self._sample(self._blocked, most_count)
        shared = [name for name, e in self._suspected.items() if e.is_shared]
        names += self._sample(shared, most_count - len(names))
        told = (self._told(each, now_ms) for each in names)
        return tuple(
            each
            for each in told
            if each and suspectrecord.is_worth_sharing(each)
        )

    def _sample(
        self, names: collections.abc.Collection[str], most_count: int
    ) -> list[str]:
        return self._random.sample(tuple(names), min(len(names), most_count))

    def _told(
        self, fingerprint: str, now_ms: float
    ) -> gatewaymessage.Suspect | None:
        entry = self._blocked.get(fingerprint)
        entry = entry or self._suspected.get(fingerprint)
        if entry is None:
            answered_ms = self._answered.get(fingerprint)
            if answered_ms is None:
                return None
            return gatewaymessage.Suspect(
                fingerprint=fingerprint,
                age_ms=now_ms - answered_ms,
                cleared=True,
            )
        return suspectrecord.to_notice(fingerprint, entry, now_ms)

    # What is kept elsewhere.

    def newest_quarantined(
        self, most_count: int, now_ms: float
    ) -> list[tuple[str, suspectrecord.SuspectRecord]]:
        """Returns the requests that were blocked last, with what is held."""
        newest = itertools.islice(reversed(self._blocked.items()), most_count)
        return [
            each
            for each in newest
            if each[1].expires_ms > now_ms + suspectrecord.SHARING_CUTOFF_MS
        ]

    def was_cleared(self, fingerprint: str) -> bool:
        """Whether a request is known to have been answered, last."""
        return fingerprint in self._answered and not self.is_tracked(
            fingerprint
        )

    def merge_notice(
        self, each: gatewaymessage.Suspect, source: str, now_ms: float
    ) -> None:
        """Takes another instance's word."""
        if not self._enabled or not suspectrecord.is_worth_sharing(each):
            return
        if each.fingerprint in self._trusted and not each.cleared:
            self._keep_answered(each.fingerprint, now_ms)
        at_ms = now_ms - each.age_ms
        if each.cleared:
            self._take_cleared(each.fingerprint, at_ms, source)
        elif at_ms <= self._answered.get(each.fingerprint, float("-inf")):
            # It has been answered since: who told does not know that yet.
            self._announce(each.fingerprint)
        elif each.blocked_count:
            self._take_blocked(each, at_ms, source, now_ms)
        elif each.fingerprint not in self._blocked:
            endings = suspectrecord.crashes_from_notice(each, now_ms)
            self._add(each.fingerprint, endings, now_ms, source)

    def _take_cleared(
        self, fingerprint: str, at_ms: float, source: str
    ) -> None:
        if at_ms > self._answered.get(fingerprint, float("-inf")):
            self._keep_answered(fingerprint, at_ms)
        entry = self._blocked.get(fingerprint)
        entry = entry or self._suspected.get(fingerprint)
        if entry is not None and entry.last_crash_ms <= at_ms:
            self._clear(fingerprint, source)

    def _take_blocked(
        self,
        each: gatewaymessage.Suspect,
        at_ms: float,
        source: str,
        now_ms: float,
    ) -> None:
        entry = self._blocked.get(each.fingerprint)
        if entry is not None and entry.quarantine_count >= each.blocked_count:
            return
        entry = entry or self._suspected.get(each.fingerprint)
        entry = entry or suspectrecord.SuspectRecord()
        entry.last_crash_ms = max(entry.last_crash_ms, at_ms)
        self._block(
            each.fingerprint,
            entry,
            suspectrecord.QuarantineTerm(
                count=each.blocked_count,
                duration_ms=min(
                    each.blocked_for_ms,
                    suspectrecord.quarantine_ms(each.blocked_count),
                ),
                retention_ms=min(
                    each.kept_for_ms,
                    2 * suspectrecord.quarantine_ms(each.blocked_count),
                ),
            ),
            now_ms,
            source,
        )


def _limit(
    entries: collections.OrderedDict[str, suspectrecord.SuspectRecord],
) -> None:
    """Drops the oldest of too many."""
    while len(entries) > ENTRY_LIMIT_COUNT:
        entries.popitem(last=False)
