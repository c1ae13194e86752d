"""How long something that failed is left alone: longer each time."""

import dataclasses

FIRST_MS = 1_000.0
"""A restart or a short stop is over by then; doubles up to the most."""

MOST_MS = 8_000.0
"""A cut lasts 4 to 6 s, so what is lost with one is tried again soon after."""


@dataclasses.dataclass(kw_only=True)
class Avoidance:
    """Whether one instance, or all of a failure domain, is left alone."""

    failure_count: int = 0
    until_ms: float = float("-inf")

    def avoided(self, now_ms: float) -> bool:
        """Whether it is left alone now."""
        return self.until_ms > now_ms

    def failed(self, now_ms: float) -> None:
        """Takes a failure; one loss shows in all that was on its way."""
        if self.avoided(now_ms):
            return
        wait_ms = FIRST_MS * 2**self.failure_count
        self.failure_count += 1
        self.until_ms = now_ms + min(MOST_MS, wait_ms)

    def answered(self) -> None:
        """Takes an answer: the next failure counts as the first."""
        self.failure_count = 0

    def alive(self) -> None:
        """Takes a sign of life that ends the avoidance itself."""
        self.answered()
        self.until_ms = float("-inf")
