"""How long to wait before a call that failed is made again."""

import dataclasses

DOUBLINGS_MAX_COUNT = 16
"""Beyond so many the longest wait is reached with any sensible bounds."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Backoff:
    """Waits that double with each failure in a row; callers add the jitter.

    Attributes:
        min_ms: The base that is doubled.
        max_ms: The longest wait.
    """

    min_ms: float
    max_ms: float

    def wait_ms(self, failure_count: int) -> float:
        """Returns the wait after so many failures in a row."""
        doublings = min(failure_count, DOUBLINGS_MAX_COUNT)
        return min(self.max_ms, self.min_ms * 2**doublings)
