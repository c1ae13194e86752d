"""What calls of one route usually take, from those that were answered."""

import collections

TYPICAL_STEP_RATIO = 0.05
"""Step of the running median; 20 calls move it by its own size at most."""

WINDOW_COUNT = 128
"""Calls that quantiles are taken of."""

WINDOW_STEP_COUNT = 16
"""They are sorted again after so many more, as sorting costs 10 us."""


class LatencyEstimate:
    """What calls of one route take: a running median and recent quantiles."""

    def __init__(self) -> None:
        self.median_ms = 0.0
        self._recent: collections.deque[float] = collections.deque(
            maxlen=WINDOW_COUNT
        )
        self._sorted: list[float] = []
        self._since_sort_count = 0

    def record(self, elapsed_ms: float) -> None:
        """Takes the time of a call that was answered."""
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
        """Returns a quantile of the recent calls; None with too few."""
        if len(self._sorted) < WINDOW_STEP_COUNT:
            return None
        return self._sorted[int(ratio * (len(self._sorted) - 1))]
