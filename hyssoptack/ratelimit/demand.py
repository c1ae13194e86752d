"""Recent demand as an exponentially decayed average."""

import math


class Demand:
    """Decayed average of a count per second."""

    def __init__(self, average_ms: float):
        """Creates an average over about `average_ms`."""
        self._average_ms = average_ms
        self._weighted_count = 0.0
        self._updated_ms = -math.inf

    def record(self, count: float, now_ms: float) -> None:
        """Adds a count."""
        self._weighted_count = self._decayed(now_ms) + count
        self._updated_ms = max(self._updated_ms, now_ms)

    def per_s(self, now_ms: float) -> float:
        """Returns the average per second."""
        return self._decayed(now_ms) / (self._average_ms / 1_000.0)

    def _decayed(self, now_ms: float) -> float:
        age_ms = max(0.0, now_ms - self._updated_ms)
        return self._weighted_count * math.exp(-age_ms / self._average_ms)
