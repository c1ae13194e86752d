"""Estimates the latency of a route's calls from the answered ones."""

import collections

TYPICAL_STEP_RATIO = 0.05
"""Step of the running median as a part of its value: 20 calls move it by at
most about its own value."""

WINDOW_COUNT = 128
"""Number of recent calls from which quantiles are computed."""

WINDOW_STEP_COUNT = 16
"""Number of new calls after which the recent ones are sorted again, because
sorting takes 10 us."""


class LatencyEstimate:
    """A running median and recent quantiles of a route's call times.

    Attributes:
        median_ms: The running median; 0 before the first call.
    """

    def __init__(self) -> None:
        self.median_ms = 0.0
        self._recent: collections.deque[float] = collections.deque(
            maxlen=WINDOW_COUNT
        )
        self._sorted: list[float] = []
        self._since_sort_count = 0

    def record(self, elapsed_ms: float) -> None:
        """Records the time of an answered call."""
        if not self.median_ms:
            self.median_ms = elapsed_ms
        step_ms = TYPICAL_STEP_RATIO * self.median_ms
        self.median_ms += step_ms if elapsed_ms > self.median_ms else -step_ms
        self._recent.append(elapsed_ms)
        self._since_sort_count += 1
        if self._since_sort_count >= WINDOW_STEP_COUNT or not self._sorted:
            self._sorted = sorted(self._recent)
            self._since_sort_count = 0

    def quantile_ms(self, ratio: float) -> float | None:
        """Returns a quantile of the recent call times, or None with too few."""
        if len(self._sorted) < WINDOW_STEP_COUNT:
            return None
        return self._sorted[int(ratio * (len(self._sorted) - 1))]
