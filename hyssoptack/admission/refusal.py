"""Decides when a waiting request is refused, and when its caller should retry.

A request is refused as soon as its expected start is too late for its deadline,
or too late for its latency goal while its caller still gains by a retry at
another instance.
"""

import dataclasses
import enum
import random

from hyssoptack.admission import queue
from hyssoptack.planning import shutdown

RETRY_GAIN_RATIO = 0.25
"""Part of its latency goal within which a refused caller gains by a retry: a
request that is refused by then and served within its goal by the next attempt
is worth the mean of a timely and a late answer."""

WAIT_MARGIN_RATIO = 1.25
"""Factor on the expected wait while the caller can still gain by a retry. Later
requests of higher priority lengthen the wait, and a refusal after the caller
can't gain any more is worth nothing."""

RETRY_MIN_MS = 5.0
"""Least retry delay: about one round trip to the caller (2 to 6 ms)."""

RETRY_MAX_MS = 1_000.0
"""Largest retry delay: limits have recovered by then."""

RETRY_USABLE_RATIO = 0.5
"""Largest part of the time left for waiting that a retry delay may take, so
that the next attempt can still be served in time."""

RETRY_SPREAD_RATIO = 0.25
"""Largest random change of a retry delay, as a part of it, so that callers who
were refused together don't return together."""


class Reason(enum.Enum):
    """Why a request is refused, as the caller reads it."""

    GOAL = "no_room_before_goal"
    DEADLINE = "no_room_before_deadline"
    QUEUE_FULL = "queue_full"
    STOPPING = shutdown.STOPPING


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """The request is refused; no call was sent for it.

    Attributes:
        reason: Why it is refused.
        retry_after_ms: Time after which the caller should retry.
        expected_wait_ms: Time until it would have started here.
    """

    reason: Reason
    retry_after_ms: float
    expected_wait_ms: float


def due(
    ask: queue.Ask,
    wait_ms: float,
    needed_ms: float,
    now_ms: float,
    rng: random.Random,
) -> Refuse | None:
    """Returns the refusal of a waiting request; None if it keeps waiting.

    Args:
        ask: The request.
        wait_ms: Expected time until it starts.
        needed_ms: Time that it needs from its start to its answer.
        now_ms: Current time in milliseconds.
        rng: Source of the jitter.
    """
    answer_at_ms = now_ms + wait_ms + needed_ms
    if answer_at_ms > ask.deadline_at_ms:
        left_ms = ask.deadline_at_ms - now_ms - needed_ms
        return refuse(Reason.DEADLINE, wait_ms, left_ms, rng)
    spent_ms = now_ms - ask.started_ms
    gains = spent_ms < RETRY_GAIN_RATIO * ask.goal_ms
    cautious_at_ms = now_ms + WAIT_MARGIN_RATIO * wait_ms + needed_ms
    if gains and cautious_at_ms > ask.goal_at_ms:
        left_ms = ask.goal_at_ms - now_ms - needed_ms
        return refuse(Reason.GOAL, wait_ms, left_ms, rng)
    return None


def refuse(
    reason: Reason, wait_ms: float, left_ms: float, rng: random.Random
) -> Refuse:
    """Returns a refusal with a retry delay from the expected wait.

    The next attempt goes to another instance, so it need not wait until this
    one has room if it would then be too late.

    Args:
        reason: Why the request is refused.
        wait_ms: Expected time until it would have started.
        left_ms: Time that it could wait and still be of use.
        rng: Source of the jitter.
    """
    delay_ms = min(wait_ms, RETRY_USABLE_RATIO * left_ms)
    delay_ms = min(RETRY_MAX_MS, max(RETRY_MIN_MS, delay_ms))
    spread = rng.uniform(1.0 - RETRY_SPREAD_RATIO, 1.0 + RETRY_SPREAD_RATIO)
    return Refuse(
        reason=reason,
        retry_after_ms=delay_ms * spread,
        expected_wait_ms=wait_ms,
    )
