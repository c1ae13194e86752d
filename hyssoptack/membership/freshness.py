"""How long what an instance knows of the store counts as current.

Each change must be in force everywhere within a bound. An instance learns of
changes by reads of the store, its own and its neighbours'. One that stood still
does not know what has changed meanwhile, and neither the list of upstreams nor
the configuration shows it.

One that is awake asks for the next read in time. If the store is slow or does
not answer, nothing is gained by waiting: it goes on with what it knows.
"""

from hyssoptack.membership import readerelection

NEVER_MS = float("-inf")


class Freshness:
    """Times of the reads that what an instance knows is based on.

    Attributes:
        timings: Intervals at which the store is read.
    """

    def __init__(self, timings: readerelection.ReadTimings):
        """Creates the state of an instance that has read nothing yet."""
        self.timings = timings
        self._exact_ms: float | None = None
        self._failed_ms = NEVER_MS
        self._pending_ms = NEVER_MS

    def begin_read(self, asked_ms: float, awake_since_ms: float) -> None:
        """Records that this instance asks the store.

        Args:
            asked_ms: The current time.
            awake_since_ms: End of the last stall of this process.
        """
        # A read that should have been asked for earlier has to be waited for.
        is_in_time = self.is_current(asked_ms, awake_since_ms)
        self._pending_ms = asked_ms if is_in_time else NEVER_MS

    def end_read(self, asked_ms: float, exact: bool) -> None:
        """Records the result of an own read.

        Args:
            asked_ms: Time at which the read was asked for.
            exact: Whether it returned the current state.
        """
        self._pending_ms = NEVER_MS
        if exact or self._exact_ms is None:
            # Changes are counted from the first read, which may be stale.
            self.record_exact_read(asked_ms)

    def fail_read(self, asked_ms: float) -> None:
        """Records an own read that the store did not answer."""
        self._pending_ms = NEVER_MS
        self._failed_ms = max(self._failed_ms, asked_ms)

    def record_exact_read(self, asked_ms: float) -> None:
        """Records an exact read, by this instance or by a neighbour."""
        self._exact_ms = max(self._exact_ms or NEVER_MS, asked_ms)

    def age_ms(self, now_ms: float) -> float:
        """Returns the time since the last exact read; 0 before any read."""
        return 0.0 if self._exact_ms is None else now_ms - self._exact_ms

    def remaining_ms(self, now_ms: float) -> float:
        """Returns the time for which the last exact read is still current."""
        return self.timings.current_ms - self.age_ms(now_ms)

    def is_current(self, now_ms: float, awake_since_ms: float) -> bool:
        """Returns whether requests may be routed without waiting for a read.

        Args:
            now_ms: The current time.
            awake_since_ms: End of the last stall of this process.
        """
        if self.remaining_ms(now_ms) >= 0.0:
            return True
        asked_ms = max(self._failed_ms, self._pending_ms)
        is_recent = now_ms - asked_ms <= self.timings.current_ms
        return is_recent and asked_ms >= awake_since_ms
