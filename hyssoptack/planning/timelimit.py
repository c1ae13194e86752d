"""The time at which a request ends, even if its calls have not.

It is the deadline of the request or, if earlier, the end of this process.
"""

from hyssoptack.balancing import latencyestimate
from hyssoptack.planning import callcommand
from hyssoptack.planning import callresult
from hyssoptack.planning import opencalls
from hyssoptack.planning import shutdown

DEADLINE_MARGIN_MS = 10.0
"""Time reserved before the caller's deadline to write and send the answer."""


class TimeLimit:
    """The time limit of one request.

    Attributes:
        shutdown: The shutdown in progress; None while there is none.
    """

    def __init__(
        self,
        request: callcommand.PlanRequest,
        calls: opencalls.OpenCalls,
        latency: latencyestimate.LatencyEstimate,
        now_ms: float,
    ):
        """Creates the limit of a request that starts now.

        Args:
            request: The request.
            calls: Its open calls.
            latency: Times of calls of its route.
            now_ms: The current time.
        """
        self.shutdown: shutdown.Shutdown | None = None
        self._request = request
        self._calls = calls
        self._latency = latency
        self._deadline_ms = max(
            now_ms, request.deadline_at_ms - DEADLINE_MARGIN_MS
        )

    def due_ms(self) -> float:
        """Returns the time at which the request ends."""
        return min(self._deadline_ms, self._shutdown_due_ms())

    def reason(self, now_ms: float) -> str:
        """Returns why the request ends now; empty before its end."""
        if now_ms >= self._deadline_ms:
            return callresult.DEADLINE
        if now_ms >= self._shutdown_due_ms():
            return shutdown.STOPPING
        return ""

    def allows_call(self, now_ms: float) -> bool:
        """Returns whether this process runs long enough for a further call."""
        if self.shutdown is None:
            return True
        return now_ms < self._shutdown_due_ms() and self.shutdown.allows_call(
            self._latency.median_ms, now_ms
        )

    def _shutdown_due_ms(self) -> float:
        """Returns when the request ends because the process does."""
        if self.shutdown is None:
            return float("inf")
        if self._calls.may_have_run():
            return self.shutdown.end_ms
        refusal_at_ms = self.shutdown.refusal_at_ms(
            self._request.deadline_at_ms, self._latency.median_ms
        )
        return min(self.shutdown.end_ms, refusal_at_ms)
