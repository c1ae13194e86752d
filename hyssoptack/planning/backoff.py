"""Exponential backoff between retries of a failed call."""

import dataclasses

DOUBLINGS_MAX_COUNT = 16
"""Largest number of doublings; any sensible bounds reach the longest wait with
fewer."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Backoff:
    """Waits that double with each failure in a row; callers add jitter.

    Attributes:
        min_ms: The shortest wait, which is doubled.
        max_ms: The longest wait.
    """

    min_ms: float
    max_ms: float

    def wait_ms(self, failure_count: int) -> float:
        """Returns the wait after a number of failures in a row."""
        doublings = min(failure_count, DOUBLINGS_MAX_COUNT)
        return min(self.max_ms, self.min_ms * 2**doublings)
