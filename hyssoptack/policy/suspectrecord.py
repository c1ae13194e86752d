"""What is held against one request: the upstreams that ended under it."""

import collections.abc
import dataclasses

from hyssoptack.core import gatewaymessage

QUARANTINE_EVENT_COUNT = 3
"""Moments at which upstreams ended under a request that is blocked: as many as
the users allow before they count what else is sent. One event, say a rack
without power, takes all upstreams of a query at one moment. A request beside
one that crashes upstreams is beside it once more about 1 time in 10 (four
shards, three copies each), so twice more 1 time in 100."""

CRASH_EVENT_WINDOW_MS = 1_000.0
"""Ends further apart than this are no single event: what fails together shows
within some 200 ms, the time in which a call gives up on a connection."""

ENDINGS_COUNT = 2 * QUARANTINE_EVENT_COUNT
"""Most ends that are kept of one request, and told of it."""

QUARANTINE_MIN_MS = 60_000.0
"""From the last end until a blocked request is tried again; doubles each time.
A try costs an upstream some seconds, one of three that a shard has."""

QUARANTINE_MAX_MS = 900_000.0
"""What crashes upstreams is mended within minutes to hours; its callers wait a
quarter of an hour at most, which costs an upstream four times an hour."""

SUSPICION_TTL_MS = 30_000.0
"""A request under which upstreams have ended is sent with care for so long. A
caller that repeats it comes back sooner; care costs others one call's time."""

SHARING_CUTOFF_MS = 2_000.0
"""What is forgotten this soon is not told any more, nor taken: instances forget
at times that differ by how long they took to hear of it, and would else hand it
round for ever. Twice the longest that one waits to tell of it again."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamCrash:
    """An upstream's end with a request in hand.

    Attributes:
        upstream_id: The upstream.
        at_ms: When it was seen to have ended.
        proven: Whether it had been found alive after an earlier end, and had
            nothing else of the same instance in hand.
    """

    upstream_id: str
    at_ms: float
    proven: bool


@dataclasses.dataclass(kw_only=True)
class SuspectRecord:
    """What is held against one request.

    Attributes:
        crashes: The upstreams that ended under it.
        last_crash_ms: When the last of all of them did.
        is_shared: Whether other instances are told of it.
        quarantine_count: How often in a row it was blocked.
        quarantined_until_ms: When it may be tried, but for the spread.
        expires_ms: When a blocked one is forgotten that nobody asks for.
        probe_jitter_ms: How much later this instance tries it.
        is_probing: Whether it is being tried here.
    """

    crashes: list[UpstreamCrash] = dataclasses.field(default_factory=list)
    last_crash_ms: float = float("-inf")
    is_shared: bool = False
    quarantine_count: int = 0
    quarantined_until_ms: float = float("-inf")
    probe_jitter_ms: float = 0.0
    expires_ms: float = float("-inf")
    is_probing: bool = False


def crash_event_count(endings: collections.abc.Iterable[UpstreamCrash]) -> int:
    """Returns at how many moments upstreams have ended."""
    count = 0
    before_ms = float("-inf")
    for each in sorted(endings, key=lambda each: each.at_ms):
        count += each.proven or each.at_ms - before_ms >= CRASH_EVENT_WINDOW_MS
        before_ms = each.at_ms
    return count


def quarantine_ms(blocked_count: int) -> float:
    """Returns how long a request stays blocked for the n-th time in a row."""
    return min(
        QUARANTINE_MAX_MS, QUARANTINE_MIN_MS * 2.0 ** (blocked_count - 1)
    )


def to_notice(
    fingerprint: str, entry: SuspectRecord, now_ms: float
) -> gatewaymessage.Suspect:
    """Returns what others are told of a request."""
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
                proven=each.proven,
            )
            for each in (() if entry.quarantine_count else entry.crashes)
        ),
    )


def crashes_from_notice(
    each: gatewaymessage.Suspect, now_ms: float
) -> tuple[UpstreamCrash, ...]:
    """Returns the ends that another instance tells of."""
    return tuple(
        UpstreamCrash(
            upstream_id=given.upstream_id,
            at_ms=now_ms - given.age_ms,
            proven=given.proven,
        )
        for given in each.endings[:ENDINGS_COUNT]
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuarantineTerm:
    """For how long a request is blocked.

    Attributes:
        count: How often in a row it was blocked.
        duration_ms: Until it may be tried, but for the spread.
        retention_ms: Until it is forgotten that nobody asks for.
    """

    count: int
    duration_ms: float
    retention_ms: float


def quarantine_term(count: int) -> QuarantineTerm:
    """Returns what holds for a request that is blocked for the n-th time."""
    for_ms = quarantine_ms(count)
    return QuarantineTerm(
        count=count, duration_ms=for_ms, retention_ms=2 * for_ms
    )


def is_worth_sharing(each: gatewaymessage.Suspect) -> bool:
    """Whether a word of another instance is worth taking, and telling."""
    if each.cleared:
        return True
    if each.blocked_count:
        return each.kept_for_ms > SHARING_CUTOFF_MS
    return each.age_ms < SUSPICION_TTL_MS - SHARING_CUTOFF_MS
