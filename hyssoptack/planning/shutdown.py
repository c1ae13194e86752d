"""Decides what a graceful shutdown of this process means for a request.

A request that no upstream has run is refused as soon as it is not sure to end
before the process does, so that its caller can send it elsewhere. One that may
have run is waited for until the process ends.
"""

import dataclasses

KILL_MARGIN_MS = 400.0
"""Time before the platform's kill at which all requests end. In it the last
responses are sent and the process exits."""

REFUSAL_DELAY_RATIO = 0.45
"""Part of the grace time after which a request is refused that is not sure to
end in the rest of it. The platform's balancer sends most callers elsewhere by
then, and excuses the cut of a request that arrived in the first half."""

FINISH_MARGIN_MS = 100.0
"""Time from the end of a request's time limit until its response is sent."""

STOPPING = "stopping"
"""Reason of a request or call that ends because this process does."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shutdown:
    """A graceful shutdown in progress.

    Attributes:
        started_ms: Time of the stop signal.
        grace_ms: Time until the platform kills the process.
    """

    started_ms: float
    grace_ms: float

    @property
    def end_ms(self) -> float:
        """Time at which requests in progress end at the latest."""
        return self.started_ms + self.grace_ms - KILL_MARGIN_MS

    def refusal_at_ms(self, deadline_at_ms: float, expected_ms: float) -> float:
        """Returns the time from which a request that has not run is refused.

        Args:
            deadline_at_ms: Time at which the request ends at the latest.
            expected_ms: Usual time of a call of its route; 0 if unknown.

        Returns:
            The time; infinite if the request ends before the process.
        """
        if deadline_at_ms + FINISH_MARGIN_MS <= self.end_ms:
            return float("inf")
        return min(
            self.started_ms + REFUSAL_DELAY_RATIO * self.grace_ms,
            self.end_ms - FINISH_MARGIN_MS - expected_ms,
        )

    def allows_call(self, expected_ms: float, now_ms: float) -> bool:
        """Returns whether a call sent now usually ends before the process.

        Args:
            expected_ms: Usual time of a call of its route; 0 if unknown.
            now_ms: The current time.
        """
        return now_ms + expected_ms < self.end_ms
