"""Ejection of an instance or failure domain after failures."""

import dataclasses

from hyssoptack.planning import backoff

BASE_EJECTION_MS = 1_000.0
"""Duration of the first ejection: a restart or a short stop is over by then.
Each further failure in a row doubles it, up to `MAX_EJECTION_MS`."""

MAX_EJECTION_MS = 8_000.0
"""Longest ejection. Network partitions last 4 to 6 s, so an instance or domain
that is lost in one is tried again soon after it."""

_EJECTION = backoff.Backoff(min_ms=BASE_EJECTION_MS, max_ms=MAX_EJECTION_MS)


@dataclasses.dataclass(kw_only=True)
class EjectionState:
    """The ejection of one instance or of a whole failure domain.

    Attributes:
        ejection_count: Number of ejections since the last answer.
        ejected_until_ms: When the ejection ends.
    """

    ejection_count: int = 0
    ejected_until_ms: float = float("-inf")

    def is_ejected(self, now_ms: float) -> bool:
        """Returns whether no calls should be sent to it now."""
        return self.ejected_until_ms > now_ms

    def record_failure(self, now_ms: float) -> None:
        """Records a failure and starts an ejection.

        Failures during an ejection are ignored, because a single fault fails
        all calls in flight.
        """
        if self.is_ejected(now_ms):
            return
        wait_ms = _EJECTION.wait_ms(self.ejection_count)
        self.ejection_count += 1
        self.ejected_until_ms = now_ms + wait_ms

    def record_answer(self) -> None:
        """Records an answer, so that the next failure counts as the first."""
        self.ejection_count = 0

    def end_ejection(self) -> None:
        """Ends the ejection early, after proof that the target is alive."""
        self.record_answer()
        self.ejected_until_ms = float("-inf")
