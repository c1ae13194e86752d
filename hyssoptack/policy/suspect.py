"""What is held against one request: the upstreams that ended under it."""

import collections.abc
import dataclasses

from hyssoptack.core import notice

MOMENT_COUNT = 3
"""Moments at which upstreams ended under a request that is blocked: as many as
the users allow before they count what else is sent. One event, say a rack
without power, takes all upstreams of a query at one moment. A request beside
one that crashes upstreams is beside it once more about 1 time in 10 (four
shards, three copies each), so twice more 1 time in 100."""

MOMENT_MS = 1_000.0
"""Ends further apart than this are no single event: what fails together shows
within some 200 ms, the time in which a call gives up on a connection."""

ENDINGS_COUNT = 2 * MOMENT_COUNT
"""Most ends that are kept of one request, and told of it."""

BLOCKED_FIRST_MS = 60_000.0
"""From the last end until a blocked request is tried again; doubles each time.
A try costs an upstream some seconds, one of three that a shard has."""

BLOCKED_MOST_MS = 900_000.0
"""What crashes upstreams is mended within minutes to hours; its callers wait a
quarter of an hour at most, which costs an upstream four times an hour."""

SUSPECTED_MS = 30_000.0
"""A request under which upstreams have ended is sent with care for so long. A
caller that repeats it comes back sooner; care costs others one call's time."""

LAST_WORD_MS = 2_000.0
"""What is forgotten this soon is not told any more, nor taken: instances forget
at times that differ by how long they took to hear of it, and would else hand it
round for ever. Twice the longest that one waits to tell of it again."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ending:
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
class Entry:
    """What is held against one request.

    Attributes:
        endings: The upstreams that ended under it.
        last_ms: When the last of all of them did.
        shared: Whether other instances are told of it.
        blocked_count: How often in a row it was blocked.
        blocked_until_ms: When it may be tried, but for the spread.
        over_ms: When a blocked one is forgotten that nobody asks for.
        spread_ms: How much later this instance tries it.
        trying: Whether it is being tried here.
    """

    endings: list[Ending] = dataclasses.field(default_factory=list)
    last_ms: float = float("-inf")
    shared: bool = False
    blocked_count: int = 0
    blocked_until_ms: float = float("-inf")
    spread_ms: float = 0.0
    over_ms: float = float("-inf")
    trying: bool = False


def moment_count(endings: collections.abc.Iterable[Ending]) -> int:
    """Returns at how many moments upstreams have ended."""
    count = 0
    before_ms = float("-inf")
    for each in sorted(endings, key=lambda each: each.at_ms):
        count += each.proven or each.at_ms - before_ms >= MOMENT_MS
        before_ms = each.at_ms
    return count


def blocked_ms(blocked_count: int) -> float:
    """Returns how long a request stays blocked for the n-th time in a row."""
    return min(BLOCKED_MOST_MS, BLOCKED_FIRST_MS * 2.0 ** (blocked_count - 1))


def told(fingerprint: str, entry: Entry, now_ms: float) -> notice.Suspect:
    """Returns what others are told of a request."""
    return notice.Suspect(
        fingerprint=fingerprint,
        age_ms=now_ms - entry.last_ms,
        blocked_count=entry.blocked_count,
        blocked_for_ms=max(0.0, entry.blocked_until_ms - now_ms),
        kept_for_ms=max(0.0, entry.over_ms - now_ms),
        endings=tuple(
            notice.SuspectCrash(
                upstream_id=each.upstream_id,
                age_ms=now_ms - each.at_ms,
                proven=each.proven,
            )
            for each in (() if entry.blocked_count else entry.endings)
        ),
    )


def endings(each: notice.Suspect, now_ms: float) -> tuple[Ending, ...]:
    """Returns the ends that another instance tells of."""
    return tuple(
        Ending(
            upstream_id=given.upstream_id,
            at_ms=now_ms - given.age_ms,
            proven=given.proven,
        )
        for given in each.endings[:ENDINGS_COUNT]
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Blocking:
    """For how long a request is blocked.

    Attributes:
        count: How often in a row it was blocked.
        for_ms: Until it may be tried, but for the spread.
        kept_for_ms: Until it is forgotten that nobody asks for.
    """

    count: int
    for_ms: float
    kept_for_ms: float


def blocking(count: int) -> Blocking:
    """Returns what holds for a request that is blocked for the n-th time."""
    for_ms = blocked_ms(count)
    return Blocking(count=count, for_ms=for_ms, kept_for_ms=2 * for_ms)


def lasts(each: notice.Suspect) -> bool:
    """Whether a word of another instance is worth taking, and telling."""
    if each.cleared:
        return True
    if each.blocked_count:
        return each.kept_for_ms > LAST_WORD_MS
    return each.age_ms < SUSPECTED_MS - LAST_WORD_MS
