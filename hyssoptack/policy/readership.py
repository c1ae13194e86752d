"""Which instances read the platform's store for their failure domain.

The live instances of a domain are ranked by rendezvous hashing. The first one
reads and tells the others. The others take over one after the other, by rank,
when they have heard nothing for a while: an instance cut off from its readers,
or from all peers, so ends up reading for itself. Views need not agree: an
instance that reads needlessly costs some calls, and stops once it hears a
higher one.
"""

import dataclasses

from hyssoptack.core import member
from hyssoptack.policy import rendezvous

LIST_PERIOD_RATIO = 1 / 3
"""How often the list of upstreams is read, as a part of the time in which a
change has to be heeded: one missed reading still keeps that."""

WATCH_SLACK_MS = 500.0
"""Kept back from that time by a watch of the configuration: a silent connection
is noticed when the watch is over, and another reading must still be in time."""

SILENCE_RATIO = 1.4 * LIST_PERIOD_RATIO
"""Silence after which the second instance reads. Readers speak once a period,
which varies by 15 parts in 100."""

SILENCE_STEP_RATIO = 0.1
"""Further silence for each rank: time for the one before to read and speak."""

BOUND_MIN_MS = 1_000.0
BOUND_MAX_MS = 6_000.0
"""Bounds on that time itself: a slower pace would save hardly any calls, and
what is believed would grow old."""

SILENCE_STEPS_COUNT = 3
"""Ranks beyond this wait no longer, as a change must be known in time."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pace:
    """How often the store is read and neighbours are told.

    Attributes:
        list_period_ms: Between two readings of the list of upstreams.
        watch_ms: Length of one watch of the configuration.
        silence_ms: After it the second instance reads for itself.
        silence_step_ms: Further silence for each rank behind it.
    """

    list_period_ms: float
    watch_ms: float
    silence_ms: float
    silence_step_ms: float


def pace(bound_ms: float) -> Pace:
    """Returns the pace by which changes are heeded in time.

    Args:
        bound_ms: The time in which they have to be: 3 and 5 s at the users'.

    Returns:
        The slowest pace that keeps it.
    """
    bound_ms = min(BOUND_MAX_MS, max(BOUND_MIN_MS, bound_ms))
    return Pace(
        list_period_ms=LIST_PERIOD_RATIO * bound_ms,
        watch_ms=bound_ms - WATCH_SLACK_MS,
        silence_ms=SILENCE_RATIO * bound_ms,
        silence_step_ms=SILENCE_STEP_RATIO * bound_ms,
    )


def rank(failure_domain: str, instance_id: str) -> int:
    """Returns an instance's rank; the highest reads first."""
    return rendezvous.rank(f"reader/{failure_domain}", instance_id)


class Readership:
    """One instance's view of who reads."""

    def __init__(self, instance_id: str, failure_domain: str, own_pace: Pace):
        self.pace = own_pace
        self._instance_id = instance_id
        self._failure_domain = failure_domain
        self.rank = rank(failure_domain, instance_id)
        self._heard_ms = float("-inf")
        self._failing = False
        self._neighbours: tuple[member.Peer, ...] = ()
        self.total_count = 0
        self.most_count = 0

    def install(
        self, neighbours: tuple[member.Peer, ...], total_count: int
    ) -> None:
        """Replaces the list of live instances.

        Args:
            neighbours: Those of the own failure domain.
            total_count: All of them; 0 would mean that none is known.
        """
        self._neighbours = tuple(
            each for each in neighbours if each.instance_id != self._instance_id
        )
        self.total_count = total_count
        # Entries may lapse while their instances live: shares of what all may
        # spend together go by the most that were ever seen.
        self.most_count = max(self.most_count, total_count)

    def neighbours(self) -> tuple[member.Peer, ...]:
        """Returns the other instances of the own failure domain."""
        return self._neighbours

    def heard(self, sender_id: str, now_ms: float) -> None:
        """Notes that another instance reads.

        One of lower rank counts only while the own reading fails: it stops once
        it hears this instance.
        """
        higher = rank(self._failure_domain, sender_id) > self.rank
        if higher or self._failing:
            self._heard_ms = now_ms

    def read(self, succeeded: bool) -> None:
        """Notes how the own reading went."""
        self._failing = not succeeded

    def wait_ms(self, now_ms: float) -> float:
        """Returns how long to wait before reading; 0 to read now."""
        due_ms = self._heard_ms + self._silence_ms()
        return max(0.0, due_ms - now_ms)

    def _silence_ms(self) -> float:
        higher = sum(
            rank(self._failure_domain, each.instance_id) > self.rank
            for each in self._neighbours
        )
        steps = min(max(0, higher - 1), SILENCE_STEPS_COUNT)
        return self.pace.silence_ms + self.pace.silence_step_ms * steps
