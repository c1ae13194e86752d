"""How many upstreams of each service a request may be sent to from here.

A route's attempts are those of the whole request, whoever makes them. Until the
sender of a query has heard that its neighbour began, either may run it: the
neighbour then holds one attempt, and the sender the others, should it take the
query back. The two shares add up to the route's attempts, whatever messages are
late or lost.
"""

from hyssoptack.policy import callcommand
from hyssoptack.policy import callpart

Retry = tuple[callpart.Part, str]
"""A part to be sent once more, and why."""


class Attempts:
    """The attempts of one request, and what waits for more of them."""

    def __init__(self, ask: callcommand.PlanRequest):
        self._ask = ask
        self.granted = not ask.awaits_grant
        self._retries: list[Retry] = []
        self._dried_up: list[int] = []

    @property
    def limit_count(self) -> int:
        """Upstreams of each service that it may be sent to now."""
        return self._ask.max_attempts_count if self.granted else 1

    def defer_retry(self, part: callpart.Part, reason: str) -> None:
        """Keeps a part that is to be sent once more until attempts come."""
        self._retries.append((part, reason))

    def defer_stalled(self, call_ids: tuple[int, ...]) -> None:
        """Keeps calls that are to be hedged until attempts come."""
        self._dried_up.extend(call_ids)

    def grant(self) -> tuple[tuple[Retry, ...], tuple[int, ...]]:
        """Takes the route's other attempts.

        Returns:
            The parts to be sent once more and the calls to be hedged.
        """
        self.granted = True
        held = tuple(self._retries), tuple(self._dried_up)
        self._retries.clear()
        self._dried_up.clear()
        return held
