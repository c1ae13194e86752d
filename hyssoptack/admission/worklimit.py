"""The adaptive limits of a gateway's work in progress.

A gateway keeps one limit for each service or group of shards, in requests, and
one for the process, in calls. The first shrinks when upstreams shed calls and
no other upstream has room. The second shrinks when the process's own event loop
is late. Neither shrinks because upstreams are slow, which hedges handle, nor
because calls fail. Both return to their ceilings within 1 s of the last sign.
"""

import dataclasses

from hyssoptack.admission import limiter

RECOVERY_HOLD_MS = 150.0
"""Time without signs after which a limit grows again. It exceeds the users'
latency goals (73 to 151 ms), so that requests admitted before the last
reduction have ended and would have shown a sign."""

RECOVERY_GROWTH_MS = 700.0
"""Time in which a limit grows from nothing to its ceiling. With the hold above
it returns 850 ms after the last sign; operators require 1 s."""

BURST_RATIO = 4.0
"""Multiple of its even share of the slots that an instance may use. Callers are
assigned by a hash, and a team sends up to 8 times its rate through few
instances: the busiest instance has about 4 times the mean."""

CEILING_MIN_COUNT = 8.0
"""Smallest ceiling of a group, in requests. At 68 instances the even share of
12 slots is below one request, and a caller that sends 8 requests at once must
not wait while the upstreams are idle."""

CALL_PROCESSOR_MS = 0.2
"""Processor time of one call. Of 36 calls of a query, each takes about 0.2 ms
on a full core with its share of logging and metrics."""

MIN_PROCESS_REQUEST_COUNT = 2.0
"""Requests of the widest kind that the process limit always allows: one that
waits for upstreams while another is being sent."""

CALM_AFTER_MS = 1_000.0
"""Time after a sign during which work in progress is not taken for normal."""

CALM_HALF_LIFE_MS = 60_000.0
"""Half-life of the observed normal work in progress: ten times the length of a
burst, and shorter than the users' shifts of demand."""

TIMELY_RATIO = 0.5
"""Part of the latency goal within which an answer at a full limit shows that
the upstreams have room for more. The other half is left for waiting here, where
priorities and shares decide, unlike in the queues of upstreams."""

DURATION_SMOOTHING_RATIO = 0.3
"""Weight of the newest request in the usual duration: after a slow spell, ten
requests bring the estimate back to within a twentieth."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkLimit(limiter.AdaptiveLimit):
    """A limit with the work that counts against it.

    Attributes:
        share_count: Ceiling derived from the listed slots or the processor.
        in_progress_count: Work in progress.
        calm_count: Largest work in progress under normal load, decaying.
        calm_at_ms: Time to which `calm_count` has decayed.
        sign_at_ms: Time of the last sign of overload.
        grown_at_ms: Time up to which the limit has recovered.
    """

    share_count: float
    in_progress_count: float = 0.0
    calm_count: float = 0.0
    calm_at_ms: float = 0.0
    sign_at_ms: float = float("-inf")
    grown_at_ms: float = 0.0

    @property
    def available_count(self) -> float:
        """Amount of work that may start now."""
        return self.limit_count - self.in_progress_count

    def is_calm(self, now_ms: float) -> bool:
        """Returns whether there was no recent sign of overload."""
        return now_ms - self.sign_at_ms >= CALM_AFTER_MS


def new(share_count: float, floor_count: float, now_ms: float) -> WorkLimit:
    """Returns a limit at its ceiling, with no work in progress.

    It starts at the ceiling because the ceiling is already one instance's
    share, so that new instances don't flood upstreams.
    """
    return WorkLimit(
        limit_count=max(share_count, floor_count),
        ceiling_count=max(share_count, floor_count),
        floor_count=floor_count,
        share_count=share_count,
        shrunk_at_ms=float("-inf"),
        calm_at_ms=now_ms,
        grown_at_ms=now_ms,
    )


def slot_share_count(
    slot_count: float, instance_count: int, call_ms: float, goal_ms: float
) -> float:
    """Returns the requests of a group that an instance may have in progress.

    A request occupies a slot of each shard only while its call there runs. So
    in one latency goal each slot completes `goal_ms` / `call_ms` requests, and
    as many may be in progress without a late answer.

    Args:
        slot_count: Listed slots of the group's smallest service.
        instance_count: Number of instances that share them.
        call_ms: Typical time of one call; 0 if none was answered yet.
        goal_ms: Tightest latency goal of the group's routes.
    """
    if call_ms <= 0.0:
        return CEILING_MIN_COUNT
    even_count = slot_count / max(1, instance_count)
    turns_count = max(1.0, goal_ms / call_ms)
    return max(CEILING_MIN_COUNT, even_count * turns_count * BURST_RATIO)


def process_share_count(goal_ms: float, widest_count: int) -> float:
    """Returns the calls that a full core completes within a latency goal.

    Args:
        goal_ms: Tightest latency goal of all routes.
        widest_count: Number of calls of the widest request.
    """
    return max(
        goal_ms / CALL_PROCESSOR_MS, MIN_PROCESS_REQUEST_COUNT * widest_count
    )


def with_share(
    current: WorkLimit, share_count: float, floor_count: float
) -> WorkLimit:
    """Returns the limit with another share and floor; it is raised at once."""
    if (current.share_count, current.floor_count) == (share_count, floor_count):
        return current
    at_ceiling = current.limit_count >= current.ceiling_count
    ceiling_count = max(share_count, floor_count, current.calm_count)
    return dataclasses.replace(
        current,
        share_count=share_count,
        floor_count=floor_count,
        ceiling_count=ceiling_count,
        limit_count=ceiling_count
        if at_ceiling
        else min(ceiling_count, max(floor_count, current.limit_count)),
    )


def begin(current: WorkLimit, count: float, now_ms: float) -> WorkLimit:
    """Returns the limit after work was started."""
    in_progress_count = current.in_progress_count + count
    if in_progress_count <= current.calm_count or not current.is_calm(now_ms):
        return dataclasses.replace(current, in_progress_count=in_progress_count)
    ceiling_count = max(current.ceiling_count, in_progress_count)
    at_ceiling = current.limit_count >= current.ceiling_count
    return dataclasses.replace(
        current,
        in_progress_count=in_progress_count,
        calm_count=in_progress_count,
        ceiling_count=ceiling_count,
        limit_count=ceiling_count if at_ceiling else current.limit_count,
    )


def end(
    current: WorkLimit, count: float, elapsed_ms: float | None
) -> WorkLimit:
    """Returns the limit after the end of work.

    Args:
        current: The limit before.
        count: Amount of work that has ended.
        elapsed_ms: Duration of the work; None if it says nothing about others,
            as its caller left.
    """
    duration_ms = current.duration_ms
    if elapsed_ms is not None:
        duration_ms = (
            limiter.smoothed_ms(
                duration_ms, elapsed_ms, DURATION_SMOOTHING_RATIO
            )
            if duration_ms
            else elapsed_ms
        )
    return dataclasses.replace(
        current,
        in_progress_count=max(0.0, current.in_progress_count - count),
        duration_ms=duration_ms,
    )


def raise_ceiling(current: WorkLimit, now_ms: float) -> WorkLimit:
    """Returns the limit after a timely answer while requests waited.

    The answer shows that the upstreams have room beyond the instance's share,
    as other instances use less than theirs. As in `limiter.Limiter`, as many
    such answers as the limit raise it by one.
    """
    if not current.is_calm(now_ms):
        return current
    step_count = 1.0 / current.limit_count
    raised_count = current.ceiling_count + step_count
    current = dataclasses.replace(
        current,
        ceiling_count=raised_count,
        calm_count=max(current.calm_count, raised_count),
    )
    return limiter.grow(current, step_count)


def record_sign(
    current: WorkLimit, pause_ms: float, now_ms: float
) -> WorkLimit:
    """Returns the limit after a sign of overload.

    Args:
        current: The limit before.
        pause_ms: Least time between two reductions.
        now_ms: Current time in milliseconds.
    """
    used_count = max(current.in_progress_count, current.calm_count)
    current = recover(current, now_ms)
    current = limiter.shrink(current, pause_ms, now_ms, used_count)
    return dataclasses.replace(current, sign_at_ms=now_ms, grown_at_ms=now_ms)


def recover(current: WorkLimit, now_ms: float) -> WorkLimit:
    """Returns the limit after it recovered until `now_ms`."""
    if current.limit_count >= current.ceiling_count:
        return current
    since_ms = max(current.grown_at_ms, current.sign_at_ms + RECOVERY_HOLD_MS)
    if now_ms <= since_ms:
        return current
    step_count = (
        current.ceiling_count * (now_ms - since_ms) / RECOVERY_GROWTH_MS
    )
    grown = limiter.grow(current, step_count)
    return dataclasses.replace(grown, grown_at_ms=now_ms)


def decay_calm(current: WorkLimit, now_ms: float) -> WorkLimit:
    """Returns the limit after its observed normal work has decayed."""
    ratio = 0.5 ** ((now_ms - current.calm_at_ms) / CALM_HALF_LIFE_MS)
    at_ceiling = current.limit_count >= current.ceiling_count
    calm_count = max(current.in_progress_count, current.calm_count * ratio)
    if not current.is_calm(now_ms):
        calm_count = current.calm_count
    ceiling_count = max(current.share_count, current.floor_count, calm_count)
    return dataclasses.replace(
        current,
        calm_count=calm_count,
        calm_at_ms=now_ms,
        ceiling_count=ceiling_count,
        limit_count=ceiling_count
        if at_ceiling
        else min(current.limit_count, ceiling_count),
    )
