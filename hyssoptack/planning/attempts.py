"""Limits how many upstreams per service this instance may send a request to.

A route's attempt limit covers the whole request, whichever instances make the
calls. Until the sender of a query has learned that its neighbour started it,
either of them may run it. During that time the neighbour has one attempt, and
the sender has the others in case it takes the query back. The two shares add
up to the route's limit even if messages are late or lost.
"""

from hyssoptack.planning import callcommand
from hyssoptack.planning import callpart

Retry = tuple[callpart.Part, str]
"""A part to retry, and the reason."""


class Attempts:
    """Tracks a request's attempts and what is deferred until more are granted.

    Attributes:
        granted: Whether all of the request's attempts may be used.
    """

    def __init__(self, request: callcommand.PlanRequest):
        self._request = request
        self.granted = not request.awaits_grant
        self._retries: list[Retry] = []
        self._stalled_call_ids: list[int] = []

    @property
    def limit_count(self) -> int:
        """Number of upstreams per service that may be called now."""
        return self._request.max_attempts_count if self.granted else 1

    def defer_retry(self, part: callpart.Part, reason: str) -> None:
        """Defers the retry of a part until more attempts are granted."""
        self._retries.append((part, reason))

    def defer_stalled(self, call_ids: tuple[int, ...]) -> None:
        """Defers hedges of stalled calls until more attempts are granted."""
        self._stalled_call_ids.extend(call_ids)

    def grant(self) -> tuple[tuple[Retry, ...], tuple[int, ...]]:
        """Grants the route's remaining attempts.

        Returns:
            The deferred retries, and the IDs of the calls to hedge.
        """
        self.granted = True
        deferred = tuple(self._retries), tuple(self._stalled_call_ids)
        self._retries.clear()
        self._stalled_call_ids.clear()
        return deferred
