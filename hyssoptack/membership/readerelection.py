"""Elects the instances that read the platform's store for their failure domain.

The live instances of a domain are ranked by rendezvous hashing. The first one
reads and notifies the others. The others take over one after the other, by
rank, when no notice has come for a while, so that an instance that is cut off
from its readers or from all peers ends up reading for itself. Instances need
not agree on the ranking: one that reads needlessly costs some calls, and stops
once it receives a notice from one of higher rank.
"""

import dataclasses
import random

from hyssoptack.core import member
from hyssoptack.membership import rendezvous

LIST_PERIOD_RATIO = 1 / 3
"""Interval between two reads of the upstream list, as a part of the time within
which a change must take effect. A change takes effect in time even if one read
fails."""

READS_PER_EXACT_READ_COUNT = 2
"""One read in this many is exact: it returns the current state of the store.
The others may return a state that is some seconds old, and cost a tenth as
much. An old state is recognized by its revision and changes nothing."""

JITTER_RATIO = 0.15
"""Jitter of all periods, so that readers do not read at the same time."""

LIST_TIMEOUT_RATIO = 0.1
"""Timeout of one read of the list, as a part of the time within which a change
must take effect. Two periods with their jitter take 0.77 of that time, so one
lost answer and a retry still fit."""

LIST_TIMEOUT_MIN_MS = 300.0
"""Lower bound of that timeout: a slow store answers within 240 ms."""

WATCH_SLACK_MS = 500.0
"""Time by which a watch of the configuration ends before a change must take
effect: a connection that delivers nothing is noticed when the watch ends, and
another read must still be in time."""

SILENCE_RATIO = 1.4 * LIST_PERIOD_RATIO
"""Time without a notice after which the second instance reads. Readers send one
a period, which varies by 15 parts in 100."""

SILENCE_STEP_RATIO = 0.1
"""Additional time for each further rank, in which the instance before it reads
and sends its notice."""

EXACT_SILENCE_RATIO = 0.787
"""Age of the last exact read at which the second instance reads, even if it has
received older states since, as a part of the time within which a change must
take effect. The first instance's next exact read comes within 0.767 of that
time (two periods with their jitter), which is a fiftieth of that time before
the second instance reads."""

EXACT_STEP_RATIO = 0.025
"""Additional age for each further rank, as a part of the same time: 75 to 150
ms where that time is 3 to 6 s. A read takes some 30 ms."""

BOUND_MIN_MS = 1_000.0
BOUND_MAX_MS = 6_000.0
"""Limits to which `read_timings` clamps the time within which a change must
take effect. Above the upper limit, longer intervals would save hardly any
calls, and the known state would get too old."""

CURRENT_RATIO = 0.9
"""Age of the last exact read up to which requests are routed by it, as a part
of the time within which a change must take effect. The instances of all ranks
have read before that (0.862), and the rest is left for a routed request to
reach its upstream."""

RANK_STEP_LIMIT_COUNT = 3
"""Largest number of rank steps that an instance waits. Instances of still lower
rank wait no longer, because a change must be known in time."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadTimings:
    """Intervals at which the store is read and neighbours are notified.

    Attributes:
        list_period_ms: Interval between two reads of the list of upstreams.
        watch_ms: Length of one watch of the configuration.
        silence_ms: Time without a notice after which the second instance reads.
        silence_step_ms: Additional time for each further rank.
        list_timeout_ms: Timeout of one read of the list.
        exact_silence_ms: Age of the last exact read at which the second
            instance reads.
        exact_step_ms: Additional age for each further rank.
        current_ms: Age of the last exact read up to which requests are routed
            by it.
    """

    list_period_ms: float
    watch_ms: float
    silence_ms: float
    silence_step_ms: float
    list_timeout_ms: float
    exact_silence_ms: float
    exact_step_ms: float
    current_ms: float

    @property
    def unread_max_ms(self) -> float:
        """Maximum age of the list at a running instance if no read fails."""
        last_rank_ms = self.silence_step_ms * RANK_STEP_LIMIT_COUNT
        return self.silence_ms + last_rank_ms + self.list_timeout_ms


def read_timings(bound_ms: float) -> ReadTimings:
    """Returns the intervals at which changes take effect in time.

    Args:
        bound_ms: Time within which a change must take effect: 3 s and 5 s in
            the users' set-ups.

    Returns:
        The longest intervals with which a change takes effect within that time.
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
        current_ms=CURRENT_RATIO * bound_ms,
    )


def jittered_ms(period_ms: float, rng: random.Random) -> float:
    """Returns a period with its jitter."""
    return period_ms * rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)


def rank(failure_domain: str, instance_id: str) -> int:
    """Returns an instance's rank; the one with the highest reads first."""
    return rendezvous.rank(f"reader/{failure_domain}", instance_id)


class ReaderElection:
    """Decides when one instance reads the store.

    Attributes:
        read_timings: The instance's intervals.
        rank: Rank of the instance among its domain's.
        instance_count: Number of live instances in all domains.
        peak_instance_count: Highest `instance_count` so far.
        peak_neighbour_mbps: Highest sum of the neighbours' link bandwidths so
            far, in Mbit/s.
    """

    def __init__(
        self, instance_id: str, failure_domain: str, timings: ReadTimings
    ):
        self.read_timings = timings
        self._instance_id = instance_id
        self._failure_domain = failure_domain
        self.rank = rank(failure_domain, instance_id)
        self._last_notice_ms = float("-inf")
        # None until an exact read is known. Its age counts as 0 until then, so
        # that a new instance does not take its state for outdated.
        self._last_exact_read_ms: float | None = None
        self._read_failing = False
        self._neighbours: tuple[member.Peer, ...] = ()
        self.instance_count = 0
        self.peak_instance_count = 0
        self.peak_neighbour_mbps = 0.0

    def set_neighbours(
        self, neighbours: tuple[member.Peer, ...], total_count: int
    ) -> None:
        """Replaces the list of live instances.

        Args:
            neighbours: Instances of this failure domain.
            total_count: Instances of all domains; 0 if none is known.
        """
        self._neighbours = tuple(
            each for each in neighbours if each.instance_id != self._instance_id
        )
        self.instance_count = total_count
        # Entries may expire while their instances live, so the shares of a
        # limit common to all instances follow the highest count ever seen.
        self.peak_instance_count = max(self.peak_instance_count, total_count)
        links_mbps = [each.link_mbps for each in self._neighbours]
        if all(links_mbps):
            self.peak_neighbour_mbps = max(
                self.peak_neighbour_mbps, sum(links_mbps)
            )

    def neighbours(self) -> tuple[member.Peer, ...]:
        """Returns the other instances of this failure domain."""
        return self._neighbours

    def record_other_reader(
        self, sender_id: str, now_ms: float, exact_age_ms: float
    ) -> None:
        """Records that another instance reads.

        An instance of lower rank counts only while the own reads fail, as it
        stops once it receives this instance's notices.

        Args:
            sender_id: The instance that sent the notice.
            now_ms: The current time.
            exact_age_ms: Age of its last exact read.
        """
        higher = rank(self._failure_domain, sender_id) > self.rank
        if higher or self._read_failing:
            self._last_notice_ms = now_ms
            self._record_exact_read(now_ms - exact_age_ms)

    def record_read(self, now_ms: float, exact: bool) -> None:
        """Records a successful read of the list."""
        self._read_failing = False
        if exact:
            self._record_exact_read(now_ms)

    def record_read_failure(self) -> None:
        """Records a failed read of the list."""
        self._read_failing = True

    def _record_exact_read(self, at_ms: float) -> None:
        before_ms = (
            at_ms
            if self._last_exact_read_ms is None
            else self._last_exact_read_ms
        )
        self._last_exact_read_ms = max(at_ms, before_ms)

    def exact_age_ms(self, now_ms: float) -> float:
        """Returns the age of the last exact read by any instance."""
        return (
            0.0
            if self._last_exact_read_ms is None
            else now_ms - self._last_exact_read_ms
        )

    def read_delay_ms(self, now_ms: float) -> float:
        """Returns how long to wait before reading; 0 to read now."""
        steps = self._rank_step_count()
        timings = self.read_timings
        silence_ms = timings.silence_ms + timings.silence_step_ms * steps
        due_ms = self._last_notice_ms + silence_ms
        if self._last_exact_read_ms is not None:
            age_ms = timings.exact_silence_ms + timings.exact_step_ms * steps
            due_ms = min(due_ms, self._last_exact_read_ms + age_ms)
        return max(0.0, due_ms - now_ms)

    def _rank_step_count(self) -> int:
        higher = sum(
            rank(self._failure_domain, each.instance_id) > self.rank
            for each in self._neighbours
        )
        return min(max(0, higher - 1), RANK_STEP_LIMIT_COUNT)
