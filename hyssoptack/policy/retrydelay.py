"""When a refused caller may come back: as soon as it is likely to be served.

Every reason for a refusal ends at a time of its own. A caller that is told less
comes back to the same refusal, and callers have few tries; one that is told
more waits for nothing. Times are spread, so that returns don't meet.
"""

import dataclasses
import enum
import random

from hyssoptack.policy import callresult
from hyssoptack.policy import routetable

BALANCER_REMOVAL_MS = 2_200.0
"""From the start of a cut until the balancer sends callers elsewhere: it takes
two failed checks, one a second, of every instance of the domain, and some 200
ms for the neighbours to hear of the cut."""

SOON_MS = 50.0
"""Where a caller that comes back is sent elsewhere already, or an upstream is
about to be free: a few times the way to the caller and back (6 ms)."""

OVERLOADED_RETRY_MS = 100.0
"""About as long as a full queue of an upstream takes to clear."""

LISTED_MS = 1_000.0
"""A new upstream is known one reading of the list later."""

STARTING_MS = 200.0
"""A new instance has a configuration 10 to 20 ms after its start, or with the
first try again after the store refused."""

SPREAD_RATIO = 0.25
"""Returns are spread over this part of the wait besides."""


class RefusalCause(enum.Enum):
    """What keeps a request from being served, by how it ends."""

    PARTITIONED = "cut_off"
    STARTING = "starting"
    NO_UPSTREAM = "not_listed"
    OVERLOADED = "full"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefusalContext:
    """A refusal, as far as its end is known.

    Attributes:
        cause: What it is for.
        partitioned_for_ms: How long the domain has been cut off; 0 where it
            is not.
    """

    cause: RefusalCause
    partitioned_for_ms: float = 0.0


def cause_of(reason: str) -> RefusalCause:
    """Returns the cause behind a plan's or a route table's reason."""
    match reason:
        case callresult.PARTITIONED:
            return RefusalCause.PARTITIONED
        case routetable.RouteMiss.NOT_CONFIGURED.value:
            return RefusalCause.STARTING
        case "no_upstream":
            return RefusalCause.NO_UPSTREAM
        case _:
            return RefusalCause.OVERLOADED


def retry_delay_ms(refusal: RefusalContext, source: random.Random) -> float:
    """Returns after what time a refused caller should come back."""
    match refusal.cause:
        case RefusalCause.PARTITIONED:
            away_ms = BALANCER_REMOVAL_MS - refusal.partitioned_for_ms
            least_ms = max(SOON_MS, away_ms)
        case RefusalCause.STARTING:
            least_ms = STARTING_MS
        case RefusalCause.NO_UPSTREAM:
            least_ms = LISTED_MS
        case RefusalCause.OVERLOADED:
            least_ms = OVERLOADED_RETRY_MS
    return least_ms * source.uniform(1.0, 1.0 + SPREAD_RATIO)
