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

TURNED_AWAY_MS = 2_200.0
"""From the start of a cut until the balancer sends callers elsewhere: it takes
two failed checks, one a second, of every instance of the domain, and some 200
ms for the neighbours to hear of the cut."""

SOON_MS = 50.0
"""Where a caller that comes back is sent elsewhere already, or an upstream is
about to be free: a few times the way to the caller and back (6 ms)."""

FULL_MS = 100.0
"""About as long as a full queue of an upstream takes to clear."""

LISTED_MS = 1_000.0
"""A new upstream is known one reading of the list later."""

STARTING_MS = 200.0
"""A new instance has a configuration 10 to 20 ms after its start, or with the
first try again after the store refused."""

SPREAD_RATIO = 0.25
"""Returns are spread over this part of the wait besides."""


class Cause(enum.Enum):
    """What keeps a request from being served, by how it ends."""

    CUT_OFF = "cut_off"
    STARTING = "starting"
    NOT_LISTED = "not_listed"
    FULL = "full"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """A refusal, as far as its end is known.

    Attributes:
        cause: What it is for.
        cut_for_ms: How long the domain has been cut off; 0 where it is not.
    """

    cause: Cause
    cut_for_ms: float = 0.0


def cause_of(reason: str) -> Cause:
    """Returns the cause behind a plan's or a route table's reason."""
    match reason:
        case callresult.CUT_OFF:
            return Cause.CUT_OFF
        case routetable.Miss.NOT_CONFIGURED.value:
            return Cause.STARTING
        case "no_upstream":
            return Cause.NOT_LISTED
        case _:
            return Cause.FULL


def wait_ms(refusal: Refusal, source: random.Random) -> float:
    """Returns after what time a refused caller should come back."""
    match refusal.cause:
        case Cause.CUT_OFF:
            away_ms = TURNED_AWAY_MS - refusal.cut_for_ms
            least_ms = max(SOON_MS, away_ms)
        case Cause.STARTING:
            least_ms = STARTING_MS
        case Cause.NOT_LISTED:
            least_ms = LISTED_MS
        case Cause.FULL:
            least_ms = FULL_MS
    return least_ms * source.uniform(1.0, 1.0 + SPREAD_RATIO)
