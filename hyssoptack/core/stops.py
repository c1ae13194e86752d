"""Detects stops of this process, in which timeouts must not run out.

The operating system may stop a process, or its whole machine, for seconds.
What others sent meanwhile lies in its sockets, or is sent once they go on, so
a timeout that fell into a stop says nothing about them: it is counted from the
end of the stop.
"""


class StopDetector:
    """Detects stops from the times of a periodic check.

    Attributes:
        resumed_ms: End of the last stop; 0 if there was none.
    """

    def __init__(self, gap_limit_ms: float, now_ms: float):
        """Creates a detector.

        Args:
            gap_limit_ms: Longest time between two checks of a process that
                runs; a longer one is a stop.
            now_ms: Current time.
        """
        self._gap_limit_ms = gap_limit_ms
        self._checked_ms = now_ms
        self.resumed_ms = 0.0

    def check(self, now_ms: float) -> float:
        """Notes a check; returns the length of the stop before it, or 0."""
        gap_ms = now_ms - self._checked_ms
        self._checked_ms = now_ms
        if gap_ms <= self._gap_limit_ms:
            return 0.0
        self.resumed_ms = now_ms
        return gap_ms

    def elapsed_ms(self, since_ms: float, now_ms: float) -> float:
        """Returns the time since an event, or since a stop that came later."""
        return now_ms - max(since_ms, self.resumed_ms)
