"""Decides when a call of a request is hedged with a call to another upstream.

A single call is hedged when it takes longer than nearly all calls of its route.
The calls of a query to many shards give more information. Once most shards have
answered and no answer arrives for a while, the missing calls are delayed by
upstreams that pause or are slow: answers that queue on this instance's own link
arrive one after the other without a gap. The missing calls are then hedged at
once, while a second call still has most of the time to the latency goal.

While answers keep arriving, the delay of the missing ones may be caused by this
instance: on 0.12 of a core the first of 42 answers arrived after 35 to 112 ms
and the rest over 50 ms more, from upstreams that take 8 ms. A hedge would wait
in the same queue and lengthen it, so none is sent until the answers pause. If
no call has been answered at all, hedges wait for twice the usual time.
"""

from hyssoptack.balancing import latencyestimate

QUANTILE_RATIO = 0.97
"""Quantile of the route's call times after which a call is hedged. Upstreams
pause for 4 calls in 100, so most hedges replace a call delayed by a pause."""

MIN_DELAY_MS = 5.0
"""Shortest delay before a hedge. Below it the delay of timers and the network
outweighs that of the upstream."""

DEFAULT_RATIO = 0.4
"""Delay before a hedge while a route has too few answered calls, as a part of
its latency goal."""

MAX_DELAY_RATIO = 0.6
"""Longest delay before a hedge, as a part of the time to the latency goal, so
that the second call has time to answer."""

MIN_DELAY_RATIO = 0.5
"""Shortest delay before a single call is hedged, as a part of the time to the
latency goal. An answer before the goal is worth no more for being earlier, and
in most cases the first call answers within 10 ms of an earlier hedge (60 in 100
on large sites without faults). That hedge would use up budget that a failed
call needs."""

STALL_ANSWERED_RATIO = 0.7
"""Part of a query's shards that must have answered before a gap between answers
counts as a stall of the others. With 15 in 100 upstreams slow and 4 pausing, 8
in 10 have answered; with fewer answers the fault may be in this instance."""

STALL_GAP_RATIO = 0.15
"""Gap without an answer that counts as a stall, as a part of the time to the
query's first answer. The first answer did not queue in this instance, so it
shows how long an upstream takes (9 and 22 ms on the operators' routes). On the
slowest links answers arrive 1.3 ms apart."""

STREAM_GAP_RATIO = 3.0
"""Answers count as still arriving until the age of the last one exceeds this
many times their mean interval. With answers at random times 1 in 20 intervals
is longer, so the end of a stream is detected at most two or three intervals (1
to 9 ms) late."""

NO_ANSWER_RATIO = 2.0
"""Factor on the delay before a hedge while no shard has answered. That this
instance is paused or has a backlog is more likely than that all upstreams are
paused or slow at once. Only a network partition looks the same, and a hedge
does not help there."""


class HedgeTiming:
    """Computes when the calls of one request are hedged."""

    def __init__(
        self,
        typical: latencyestimate.LatencyEstimate,
        goal_ms: float,
        goal_at_ms: float,
        now_ms: float,
        part_count: int,
    ):
        """Creates the hedge timing of a request.

        Args:
            typical: The latency estimate of the request's route.
            goal_ms: The latency goal of the route.
            goal_at_ms: When the latency goal of this request is reached; a
                later answer has lost most of its value.
            now_ms: The time now.
            part_count: Number of shards that the request calls.
        """
        self._started_ms = now_ms
        self._first_answer_at_ms: float | None = None
        self._last_answer_at_ms = now_ms
        self._part_count = part_count
        self._answered_count = 0
        self._single_delay_ms = _single_delay_ms(
            typical, goal_ms, goal_at_ms - now_ms
        )

    def record_answer(self, now_ms: float) -> None:
        """Records an answer of one of the shards."""
        if self._first_answer_at_ms is None:
            self._first_answer_at_ms = now_ms
        self._last_answer_at_ms = now_ms
        self._answered_count += 1

    def single_hedge_at_ms(self, created_ms: float) -> float:
        """Returns when a call is hedged unless the answers stall earlier.

        Args:
            created_ms: When the call was created.
        """
        due_ms = created_ms + self._single_delay_ms
        if self._part_count < 2:
            return due_ms
        if self._first_answer_at_ms is None:
            return created_ms + NO_ANSWER_RATIO * self._single_delay_ms
        return max(due_ms, self._last_answer_at_ms + self._stream_gap_ms())

    def stall_at_ms(self) -> float | None:
        """Returns when the missing answers count as stalled.

        Returns:
            The time, or None for a single call or while too few shards have
            answered.
        """
        if self._first_answer_at_ms is None or self._part_count < 2:
            return None
        if self._answered_count < STALL_ANSWERED_RATIO * self._part_count:
            return None
        first_answer_ms = self._first_answer_at_ms - self._started_ms
        gap_ms = max(STALL_GAP_RATIO * first_answer_ms, self._stream_gap_ms())
        return self._last_answer_at_ms + gap_ms

    def _stream_gap_ms(self) -> float:
        """Returns how long after the last answer the stream counts as ended."""
        gaps_count = max(1, self._answered_count - 1)
        mean_gap_ms = (
            self._last_answer_at_ms - self._first_answer_at_ms
        ) / gaps_count
        return max(MIN_DELAY_MS, STREAM_GAP_RATIO * mean_gap_ms)


def _single_delay_ms(
    typical: latencyestimate.LatencyEstimate, goal_ms: float, to_goal_ms: float
) -> float:
    """Returns the delay after which a single call is hedged."""
    slow_ms = typical.quantile_ms(QUANTILE_RATIO)
    if slow_ms is None:
        slow_ms = DEFAULT_RATIO * goal_ms
    if to_goal_ms > 0.0:
        slow_ms = min(slow_ms, MAX_DELAY_RATIO * to_goal_ms)
        slow_ms = max(slow_ms, MIN_DELAY_RATIO * to_goal_ms)
    return max(MIN_DELAY_MS, slow_ms)
