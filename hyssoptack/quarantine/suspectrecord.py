"""State of a request that may crash upstreams: its crashes and quarantine."""

import collections.abc
import dataclasses

from hyssoptack.core import decoding
from hyssoptack.core import gatewaymessage
from hyssoptack.planning import backoff

QUARANTINE_EVENT_COUNT = 3
"""Crash events without an answer after which a request is quarantined: the
users accept three events and count what is sent beyond them. One event is not
enough, because a rack that loses power takes down all upstreams of a query at
once. A harmless request that was in flight on the same upstream as a crashing
one meets it there once more in about 1 of 10 cases (four shards with three
upstreams each), and twice more in 1 of 100."""

CRASH_EVENT_WINDOW_MS = 1_000.0
"""Crashes further apart than this belong to different events: the effects of
one event are noticed within about 200 ms, the time after which a call gives up
on a connection."""

CRASH_LIMIT_COUNT = 2 * QUARANTINE_EVENT_COUNT
"""Largest number of crashes that are recorded and shared for one request."""

QUARANTINE_MIN_MS = 60_000.0
"""Length of the first quarantine, from the last crash until the next probe.
Each further quarantine is twice as long. An upstream that a probe crashes is
unavailable for some seconds, and a shard has three upstreams."""

QUARANTINE_MAX_MS = 900_000.0
"""Longest quarantine. Faults that crash upstreams are fixed within minutes to
hours. Callers then wait at most a quarter of an hour, and probes crash an
upstream at most four times an hour."""

_QUARANTINE = backoff.Backoff(
    min_ms=QUARANTINE_MIN_MS, max_ms=QUARANTINE_MAX_MS
)

SUSPICION_TTL_MS = 30_000.0
"""Time after the last crash during which a request is sent as a probe. A caller
that repeats the request does so sooner; probing costs a harmless request the
time of one call."""

SHARING_CUTOFF_MS = 2_000.0
"""Entries that expire within this time are neither shared nor accepted.
Instances drop an entry at times that differ by how long it took to reach them,
and would otherwise send it to each other endlessly. The time is twice the
longest interval at which an instance shares an entry again."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamCrash:
    """A crash of an upstream with the request in flight.

    Attributes:
        upstream_id: Identifier of the upstream.
        at_ms: Time at which the crash was noticed.
        is_separate_event: Whether the upstream was known to be alive after an
            earlier crash, and ran no other call of the same instance.
    """

    upstream_id: str
    at_ms: float
    is_separate_event: bool


@dataclasses.dataclass(kw_only=True)
class SuspectRecord:
    """State of one suspected or quarantined request.

    Attributes:
        crashes: Crashes of upstreams that ran it.
        last_crash_ms: Time of the last crash.
        is_shared: Whether the entry is shared with other instances.
        quarantine_count: Quarantines in a row; 0 while only suspected.
        quarantined_until_ms: Time of the next probe, without jitter.
        expires_ms: Time at which a quarantined request is dropped if no caller
            sends it.
        probe_jitter_ms: Extra delay of this instance's probe.
        is_probing: Whether this instance is probing it.
    """

    crashes: list[UpstreamCrash] = dataclasses.field(default_factory=list)
    last_crash_ms: float = float("-inf")
    is_shared: bool = False
    quarantine_count: int = 0
    quarantined_until_ms: float = float("-inf")
    probe_jitter_ms: float = 0.0
    expires_ms: float = float("-inf")
    is_probing: bool = False


def crash_event_count(crashes: collections.abc.Iterable[UpstreamCrash]) -> int:
    """Returns in how many separate events upstreams crashed."""
    count = 0
    before_ms = float("-inf")
    for each in sorted(crashes, key=lambda each: each.at_ms):
        count += (
            each.is_separate_event
            or each.at_ms - before_ms >= CRASH_EVENT_WINDOW_MS
        )
        before_ms = each.at_ms
    return count


def quarantine_ms(quarantine_count: int) -> float:
    """Returns the length of a request's latest quarantine.

    Args:
        quarantine_count: Its quarantines in a row, the latest one included.
    """
    return _QUARANTINE.wait_ms(quarantine_count - 1)


def to_notice(
    fingerprint: str, entry: SuspectRecord, now_ms: float
) -> gatewaymessage.Suspect:
    """Returns the notice that tells other instances of a request."""
    return gatewaymessage.Suspect(
        fingerprint=fingerprint,
        age_ms=now_ms - entry.last_crash_ms,
        blocked_count=entry.quarantine_count,
        blocked_for_ms=max(0.0, entry.quarantined_until_ms - now_ms),
        kept_for_ms=max(0.0, entry.expires_ms - now_ms),
        endings=tuple(
            gatewaymessage.SuspectCrash(
                upstream_id=each.upstream_id,
                age_ms=now_ms - each.at_ms,
                proven=each.is_separate_event,
            )
            for each in (() if entry.quarantine_count else entry.crashes)
        ),
    )


def crashes_from_notice(
    each: gatewaymessage.Suspect, now_ms: float
) -> tuple[UpstreamCrash, ...]:
    """Returns the crashes that a notice of another instance reports."""
    return tuple(
        UpstreamCrash(
            upstream_id=given.upstream_id,
            at_ms=now_ms - given.age_ms,
            is_separate_event=given.proven,
        )
        for given in each.endings[:CRASH_LIMIT_COUNT]
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuarantineTerm:
    """Length of a quarantine.

    Attributes:
        count: Quarantines of the request in a row, this one included.
        duration_ms: Time until the next probe, without jitter.
        retention_ms: Time until the request is dropped if no caller sends it.
    """

    count: int
    duration_ms: float
    retention_ms: float


def quarantine_term(count: int) -> QuarantineTerm:
    """Returns the term of a request's n-th quarantine in a row."""
    count = min(count, decoding.COUNT_MAX)
    duration_ms = quarantine_ms(count)
    return QuarantineTerm(
        count=count, duration_ms=duration_ms, retention_ms=2 * duration_ms
    )


def term_from_notice(each: gatewaymessage.Suspect) -> QuarantineTerm:
    """Returns the term that another instance reports, within this one's."""
    duration_ms = quarantine_ms(each.blocked_count)
    return QuarantineTerm(
        count=each.blocked_count,
        duration_ms=min(each.blocked_for_ms, duration_ms),
        retention_ms=min(each.kept_for_ms, 2 * duration_ms),
    )


def is_worth_sharing(each: gatewaymessage.Suspect) -> bool:
    """Returns whether a notice is recent enough to be sent or accepted."""
    if each.cleared:
        return True
    if each.blocked_count:
        return each.kept_for_ms > SHARING_CUTOFF_MS
    return each.age_ms < SUSPICION_TTL_MS - SHARING_CUTOFF_MS
