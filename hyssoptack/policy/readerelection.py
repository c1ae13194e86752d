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

READS_PER_EXACT_READ_COUNT = 2
"""Of so many readings one is exact; the others may be some seconds old, and
cost a tenth. An old one is told by its revision and changes nothing."""

JITTER_RATIO = 0.15
"""Spread of all periods, so that readers do not keep step with each other."""

LIST_TIMEOUT_RATIO = 0.1
LIST_TIMEOUT_MIN_MS = 300.0
"""Longest wait for one answer of the list, as a part of that time: two periods
with their spread take 0.77 of it, so one lost answer and the next try still
fit. A slow store answers within 240 ms."""

WATCH_SLACK_MS = 500.0
"""Kept back from that time by a watch of the configuration: a silent connection
is noticed when the watch is over, and another reading must still be in time."""

SILENCE_RATIO = 1.4 * LIST_PERIOD_RATIO
"""Silence after which the second instance reads. Readers speak once a period,
which varies by 15 parts in 100."""

SILENCE_STEP_RATIO = 0.1
"""Further silence for each rank: time for the one before to read and speak."""

EXACT_SILENCE_RATIO = 0.787
"""Age of the last exact reading at which the second instance reads, whatever
older ones it was told of since: a fiftieth of the time behind the first's next
one (two periods with their spread)."""

EXACT_STEP_RATIO = 0.025
"""Further age for each rank, 75 to 150 ms: a reading takes some 30 ms."""

BOUND_MIN_MS = 1_000.0
BOUND_MAX_MS = 6_000.0
"""Bounds on that time itself: a slower pace would save hardly any calls, and
what is believed would grow old."""

SILENCE_STEP_LIMIT_COUNT = 3
"""Ranks beyond this wait no longer, as a change must be known in time."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadTimings:
    """How often the store is read and neighbours are told.

    Attributes:
        list_period_ms: Between two readings of the list of upstreams.
        watch_ms: Length of one watch of the configuration.
        silence_ms: After it the second instance reads for itself.
        silence_step_ms: Further silence for each rank behind it.
        list_timeout_ms: Longest wait for one answer of the list.
        exact_silence_ms: At this age of the last exact reading the second
            instance reads for itself.
        exact_step_ms: Further age for each rank behind it.
    """

    list_period_ms: float
    watch_ms: float
    silence_ms: float
    silence_step_ms: float
    list_timeout_ms: float
    exact_silence_ms: float
    exact_step_ms: float


def read_timings(bound_ms: float) -> ReadTimings:
    """Returns the pace by which changes are heeded in time.

    Args:
        bound_ms: The time in which they have to be: 3 and 5 s at the users'.

    Returns:
        The slowest pace that keeps it.
    """
    bound_ms = min(BOUND_MAX_MS, max(BOUND_MIN_MS, bound_ms))
    return ReadTimings(
        list_period_ms=LIST_PERIOD_RATIO * bound_ms,
        watch_ms=bound_ms - WATCH_SLACK_MS,
        silence_ms=SILENCE_RATIO * bound_ms,
        silence_step_ms=SILENCE_STEP_RATIO * bound_ms,
        list_timeout_ms=max(LIST_TIMEOUT_MIN_MS, LIST_TIMEOUT_RATIO * bound_ms),
        exact_silence_ms=EXACT_SILENCE_RATIO * bound_ms,
        exact_step_ms=EXACT_STEP_RATIO * bound_ms,
    )


def rank(failure_domain: str, instance_id: str) -> int:
    """Returns an instance's rank; the highest reads first."""
    return rendezvous.rank(f"reader/{failure_domain}", instance_id)


class ReaderElection:
    """One instance's view of who reads."""

    def __init__(
        self, instance_id: str, failure_domain: str, own_pace: ReadTimings
    ):
        self.read_timings = own_pace
        self._instance_id = instance_id
        self._failure_domain = failure_domain
        self.rank = rank(failure_domain, instance_id)
        self._heard_ms = float("-inf")
        # Nothing that was known before this instance began is too old yet.
        self._exact_ms: float | None = None
        self._failing = False
        self._neighbours: tuple[member.Peer, ...] = ()
        self.instance_count = 0
        self.peak_instance_count = 0
        self.peak_neighbour_mbps = 0.0

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
        self.instance_count = total_count
        # Entries may lapse while their instances live: shares of what all may
        # spend together go by the most that were ever seen.
        self.peak_instance_count = max(self.peak_instance_count, total_count)
        links_mbps = [each.link_mbps for each in self._neighbours]
        if all(links_mbps):
            self.peak_neighbour_mbps = max(
                self.peak_neighbour_mbps, sum(links_mbps)
            )

    def neighbours(self) -> tuple[member.Peer, ...]:
        """Returns the other instances of the own failure domain."""
        return self._neighbours

    def record_other_reader(
        self, sender_id: str, now_ms: float, exact_age_ms: float
    ) -> None:
        """Notes that another instance reads.

        One of lower rank counts only while the own reading fails: it stops once
        it hears this instance.

        Args:
            sender_id: The instance that told what it read.
            now_ms: The time now.
            exact_age_ms: Age of its last exact reading.
        """
        higher = rank(self._failure_domain, sender_id) > self.rank
        if higher or self._failing:
            self._heard_ms = now_ms
            self._note_exact(now_ms - exact_age_ms)

    def record_read(self, now_ms: float, exact: bool) -> None:
        """Notes that the list was read."""
        self._failing = False
        if exact:
            self._note_exact(now_ms)

    def record_read_failure(self) -> None:
        """Notes that the list could not be read."""
        self._failing = True

    def _note_exact(self, at_ms: float) -> None:
        before_ms = at_ms if self._exact_ms is None else self._exact_ms
        self._exact_ms = max(at_ms, before_ms)

    def exact_age_ms(self, now_ms: float) -> float:
        """Returns how old the last exact reading is, by whomever."""
        return 0.0 if self._exact_ms is None else now_ms - self._exact_ms

    def read_delay_ms(self, now_ms: float) -> float:
        """Returns how long to wait before reading; 0 to read now."""
        steps = self._steps()
        pace_now = self.read_timings
        silence_ms = pace_now.silence_ms + pace_now.silence_step_ms * steps
        due_ms = self._heard_ms + silence_ms
        if self._exact_ms is not None:
            age_ms = pace_now.exact_silence_ms + pace_now.exact_step_ms * steps
            due_ms = min(due_ms, self._exact_ms + age_ms)
        return max(0.0, due_ms - now_ms)

    def _steps(self) -> int:
        higher = sum(
            rank(self._failure_domain, each.instance_id) > self.rank
            for each in self._neighbours
        )
        return min(max(0, higher - 1), SILENCE_STEP_LIMIT_COUNT)
