"""Computes the retry delay that a refused caller is given.

Each cause of a refusal has its own expected duration. A caller that retries
earlier is refused again and uses up one of its few tries; one that retries
later waits needlessly. Delays are randomized so that retries do not coincide.
"""

import dataclasses
import enum
import random

from hyssoptack.planning import callresult
from hyssoptack.planning import routetable

BALANCER_REMOVAL_MS = 2_200.0
"""Time from the start of a partition until the external load balancer sends
callers elsewhere: two failed health checks, one per second, of every instance
of the domain, and some 200 ms until the neighbours learn of the partition."""

REMOVED_RETRY_MS = 50.0
"""Smallest delay during a partition, for callers that the external load
balancer already sends elsewhere: a few times the round trip to the caller (6
ms)."""

OVERLOADED_RETRY_MS = 100.0
"""Delay after overload: about the time a full upstream queue takes to clear."""

NO_UPSTREAM_RETRY_MS = 1_000.0
"""Delay where no upstream is listed: a new one is known after the next read of
the list."""

STARTING_RETRY_MS = 200.0
"""Delay while the instance starts: it has a configuration 10 to 20 ms after its
start, or after the first retry if the store refused."""

SPREAD_RATIO = 0.25
"""Largest random addition to a delay, as a part of the delay."""


class RefusalCause(enum.Enum):
    """The causes of refusals that differ in their retry delay."""

    PARTITIONED = "cut_off"
    STARTING = "starting"
    NO_UPSTREAM = "not_listed"
    OVERLOADED = "full"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefusalContext:
    """A refusal and what is known about the end of its cause.

    Attributes:
        cause: The cause of the refusal.
        partitioned_for_ms: How long the failure domain has been partitioned; 0
            if it is not.
    """

    cause: RefusalCause
    partitioned_for_ms: float = 0.0


def cause_of(reason: str) -> RefusalCause:
    """Returns the cause for a reason given by a call plan or route table."""
    match reason:
        case callresult.PARTITIONED:
            return RefusalCause.PARTITIONED
        case routetable.RouteMiss.NOT_CONFIGURED.value:
            return RefusalCause.STARTING
        case "no_upstream":
            return RefusalCause.NO_UPSTREAM
        case _:
            return RefusalCause.OVERLOADED


def retry_delay_ms(refusal: RefusalContext, rng: random.Random) -> float:
    """Returns the randomized delay after which a caller should retry."""
    match refusal.cause:
        case RefusalCause.PARTITIONED:
            removal_in_ms = BALANCER_REMOVAL_MS - refusal.partitioned_for_ms
            min_delay_ms = max(REMOVED_RETRY_MS, removal_in_ms)
        case RefusalCause.STARTING:
            min_delay_ms = STARTING_RETRY_MS
        case RefusalCause.NO_UPSTREAM:
            min_delay_ms = NO_UPSTREAM_RETRY_MS
        case RefusalCause.OVERLOADED:
            min_delay_ms = OVERLOADED_RETRY_MS
    return min_delay_ms * rng.uniform(1.0, 1.0 + SPREAD_RATIO)
