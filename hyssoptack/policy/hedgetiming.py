"""When a call of a request is sent once more, to another upstream.

A call alone is hedged when it takes longer than nearly all calls of its route.
The calls of a query say more: once most shards have answered and nothing more
comes in for a while, those that are missing wait for an upstream that pauses or
is slow, not for their turn on this instance's own link, where answers come in
one behind the other without a gap. They are then hedged at once, while a second
call still has most of the time to the goal.

While answers keep coming in, one behind the other, what is missing may as well
be this instance's own fault: on 0.12 of a core the first of 42 answers came
after 35 to 112 ms, and the rest over 50 more, of upstreams that take 8. A hedge
then waits in the same queue and lengthens it, so none is sent until the answers
pause. Nor when all calls are silent together, until twice the time.
"""

from hyssoptack.policy import latencyestimate

QUANTILE_RATIO = 0.97
"""A call that takes longer than this share of its route's calls is hedged: the
users' upstreams pause for 4 calls in 100, so most hedges answer a pause."""

MIN_DELAY_MS = 5.0
"""No hedge sooner: below it, timers and the wire decide, not the upstream."""

DEFAULT_RATIO = 0.4
"""Before a route has measured calls, hedge at this share of its goal."""

MAX_DELAY_RATIO = 0.6
"""Hedge at this share of the time to the goal at the latest, so that the second
call has time to answer."""

MIN_DELAY_RATIO = 0.5
"""Nor hedge a call alone before this share of the time to the goal: an answer
that is in time sooner is worth no more, and in most cases the first call
answers within 10 ms of the earlier hedge (60 in 100 on the grown sites' calm
seconds), which then has spent what a call that fails needs."""

STALL_ANSWERED_RATIO = 0.7
"""Part of a query's shards that must have answered before a gap between answers
says anything of the others: with 15 in 100 upstreams slow, and 4 pausing, 8 in
10 are in; with fewer the fault may be this instance's."""

STALL_GAP_RATIO = 0.15
"""Gap without an answer, over the time to the query's first answer, after which
the missing ones are late for a cause of their own. The first answer waited for
nothing here, so it shows what an upstream takes (9 and 22 ms on the users'
routes); on the narrowest links answers come 1.3 ms apart."""

STREAM_GAP_RATIO = 3.0
"""Answers are still coming in while the last one is no older than this many
times their usual distance: 1 in 20 distances is longer where answers come at
random, so a stream ends late by two or three of them (1 to 9 ms) at most."""

ALL_SILENT_RATIO = 2.0
"""Where no shard has answered, calls are waited for this many times as long:
that all upstreams pause or are slow at once is rarer than a stop or a queue of
this process; only a cut shows the same, and a hedge mends none."""


class HedgeTiming:
    """The times at which one request's calls are hedged."""

    def __init__(
        self,
        typical: latencyestimate.LatencyEstimate,
        goal_ms: float,
        goal_at_ms: float,
        now_ms: float,
        part_count: int,
    ):
        """Makes the times of a request.

        Args:
            typical: What calls of its route take.
            goal_ms: The route's goal.
            goal_at_ms: When this request's answer loses most of its use.
            now_ms: The time now.
            part_count: Its shards.
        """
        self._started_ms = now_ms
        self._first_ms: float | None = None
        self._last_ms = now_ms
        self._part_count = part_count
        self._answered_count = 0
        self._alone_ms = _alone_ms(typical, goal_ms, goal_at_ms - now_ms)

    def record_answer(self, now_ms: float) -> None:
        """Takes an answer of one of the shards."""
        if self._first_ms is None:
            self._first_ms = now_ms
        self._last_ms = now_ms
        self._answered_count += 1

    def single_hedge_at_ms(self, created_ms: float) -> float:
        """Returns when a call is hedged that is alone in being late.

        Args:
            created_ms: When it was decided on.
        """
        due_ms = created_ms + self._alone_ms
        if self._part_count < 2:
            return due_ms
        if self._first_ms is None:
            return created_ms + ALL_SILENT_RATIO * self._alone_ms
        return max(due_ms, self._last_ms + self._stream_gap_ms())

    def stall_at_ms(self) -> float | None:
        """Returns when answers have dried up; None while that can't be told."""
        if self._first_ms is None or self._part_count < 2:
            return None
        if self._answered_count < STALL_ANSWERED_RATIO * self._part_count:
            return None
        own_ms = self._first_ms - self._started_ms
        gap_ms = max(STALL_GAP_RATIO * own_ms, self._stream_gap_ms())
        return self._last_ms + gap_ms

    def _stream_gap_ms(self) -> float:
        """Returns the age of the last answer at which they have paused."""
        gaps_count = max(1, self._answered_count - 1)
        usual_ms = (self._last_ms - self._first_ms) / gaps_count
        return max(MIN_DELAY_MS, STREAM_GAP_RATIO * usual_ms)


def _alone_ms(
    typical: latencyestimate.LatencyEstimate, goal_ms: float, to_goal_ms: float
) -> float:
    """Returns how long a call is waited for, whatever the others do."""
    slow_ms = typical.quantile_ms(QUANTILE_RATIO)
    if slow_ms is None:
        slow_ms = DEFAULT_RATIO * goal_ms
    if to_goal_ms > 0.0:
        slow_ms = min(slow_ms, MAX_DELAY_RATIO * to_goal_ms)
        slow_ms = max(slow_ms, MIN_DELAY_RATIO * to_goal_ms)
    return max(MIN_DELAY_MS, slow_ms)
