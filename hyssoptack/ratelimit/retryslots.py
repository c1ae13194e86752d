"""Spreads the return of refused callers over the time to come."""

import math
import random

DELAY_MIN_MS = 50.0
"""Smallest retry delay: several round trips to the caller."""

DELAY_MAX_MS = 5_000.0
"""Largest retry delay: a caller honours a third of its remaining time."""

SPREAD_RATIO = 0.25
"""Largest random addition to a delay, as a part of the delay."""


class RetrySlots:
    """Assigns each refused caller a time at which a token will be there.

    Without it all refused callers would return for the same token.
    """

    def __init__(self) -> None:
        self._last_slot_ms = -math.inf

    def next_delay_ms(
        self,
        first_ms: float,
        interval_ms: float,
        now_ms: float,
        rng: random.Random,
        caller_count: int = 1,
    ) -> float:
        """Returns the delay for the next refused callers.

        Args:
            first_ms: Time until the bucket has a token.
            interval_ms: Time between two tokens.
            now_ms: The current time.
            rng: Gives the random addition.
            caller_count: Callers that are refused together.

        Returns:
            The delay of the first of them, from `DELAY_MIN_MS` to
            `DELAY_MAX_MS`.
        """
        longest_ms = DELAY_MAX_MS / (1.0 + SPREAD_RATIO)
        delay_ms = max(first_ms, self._last_slot_ms + interval_ms - now_ms)
        delay_ms = min(delay_ms, longest_ms)
        last_ms = delay_ms + (caller_count - 1) * interval_ms
        self._last_slot_ms = now_ms + min(last_ms, longest_ms)
        return min(
            DELAY_MAX_MS,
            max(DELAY_MIN_MS, delay_ms) * rng.uniform(1.0, 1.0 + SPREAD_RATIO),
        )
