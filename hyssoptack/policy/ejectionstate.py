"""How long something that failed is left alone: longer each time."""

import dataclasses

BASE_EJECTION_MS = 1_000.0
"""A restart or a short stop is over by then; doubles up to the most."""

MAX_EJECTION_MS = 8_000.0
"""A cut lasts 4 to 6 s, so what is lost with one is tried again soon after."""


@dataclasses.dataclass(kw_only=True)
class EjectionState:
    """Whether one instance, or all of a failure domain, is left alone."""

    failure_count: int = 0
    ejected_until_ms: float = float("-inf")

    def is_ejected(self, now_ms: float) -> bool:
        """Whether it is left alone now."""
        return self.ejected_until_ms > now_ms

    def record_failure(self, now_ms: float) -> None:
        """Takes a failure; one loss shows in all that was on its way."""
        if self.is_ejected(now_ms):
            return
        wait_ms = BASE_EJECTION_MS * 2**self.failure_count
        self.failure_count += 1
        self.ejected_until_ms = now_ms + min(MAX_EJECTION_MS, wait_ms)

    def record_answer(self) -> None:
        """Takes an answer: the next failure counts as the first."""
        self.failure_count = 0

    def end_ejection(self) -> None:
        """Takes a sign of life that ends the avoidance itself."""
        self.record_answer()
        self.ejected_until_ms = float("-inf")
