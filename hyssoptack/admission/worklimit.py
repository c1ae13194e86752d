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

WORK_GOAL_RATIO = 0.5
"""Part of the tightest latency goal that a request may spend at upstreams when
all instances are at their ceilings. The other half is left for waiting here,
where priorities and shares decide, unlike in the queues of upstreams."""

CEILING_MIN_COUNT = 4.0
"""Smallest ceiling of a group, in requests. At 68 instances the even share of
12 slots is below one request, and a caller's next request must not wait for its
previous ones while the upstreams are idle."""

PROCESS_FLOOR_RATIO = 0.1
"""Least part of the process's ceiling that stays allowed. Refusals take time of
the processor too, so below some limit a lower one no longer helps."""

CALL_PROCESSOR_MS = 0.2
"""Processor time of one call. Of 36 calls of a query, each takes about 0.2 ms
on a full core with its share of logging and metrics."""

MIN_PROCESS_REQUEST_COUNT = 2.0
"""Requests of the widest kind that the process limit always allows: one that
waits for upstreams while another is being sent."""

CALM_AFTER_MS = 1_000.0
"""Time after a sign, or after a request waited, during which work in progress
is not taken for normal: limits have recovered by then."""

CALM_HALF_LIFE_MS = 60_000.0
"""Half-life of the observed normal work in progress: ten times the length of a
burst, and shorter than the users' shifts of demand."""

BURST_RATIO = 4.0
"""Multiple of its share that an instance may use while the upstreams are not
crowded, as other instances then use less than theirs. Callers are assigned by a
hash, and a team sends up to 8 times its rate through few instances: the busiest
instance has about 4 times the mean."""

CROWDED_RATIO = 2.0
"""Ratio of the typical time of calls to its shortest value at which upstreams
are crowded: a call then waits for a slot as long as it runs. The typical time
is a median over all upstreams, so a few slow ones don't change it."""

DURATION_SMOOTHING_RATIO = 0.3
"""Weight of the newest request in the usual duration: after a slow spell, ten
requests bring the estimate back to within a twentieth."""


CALL_DROP_RATIO = 0.3
"""Weight of a shorter call time each second: a value learned under load is
within a tenth of the true one after 7 s."""

CALL_CALM_RISE_RATIO = 0.1
"""Weight of a longer call time each second without overload. The typical time
varies by a third at random; its mean over 10 s does not."""

CALL_RISE_RATIO = 1.01
"""Largest growth of the call time each second under load: 6 % in a burst of
6 s, while calls that stay longer for good are learned within minutes."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkLimit(limiter.AdaptiveLimit):
    """A limit with the work that counts against it.

    Attributes:
        burst_ratio: Multiple of the share that is allowed in bursts.
        share_count: Ceiling derived from the listed slots or the processor.
        in_progress_count: Work in progress.
        calm_count: Largest work in progress under normal load, decaying.
        calm_at_ms: Time to which `calm_count` has decayed.
        extra_count: Room beyond the base of the ceiling, for bursts.
        peak_count: Largest work in progress since `calm_at_ms`.
        sign_at_ms: Time of the last sign of overload.
        busy_at_ms: Time at which a request last waited or upstreams were
            crowded.
        grown_at_ms: Time up to which the limit has recovered.
    """

    share_count: float
    burst_ratio: float = BURST_RATIO
    in_progress_count: float = 0.0
    calm_count: float = 0.0
    calm_at_ms: float = 0.0
    extra_count: float = 0.0
    peak_count: float = 0.0
    sign_at_ms: float = float("-inf")
    busy_at_ms: float = float("-inf")
    grown_at_ms: float = 0.0

    @property
    def available_count(self) -> float:
        """Amount of work that may start now."""
        return self.limit_count - self.in_progress_count

    @property
    def base_count(self) -> float:
        """The ceiling without the room for bursts."""
        return max(self.share_count, self.floor_count, self.calm_count)

    @property
    def extra_max_count(self) -> float:
        """The largest room for bursts."""
        return (self.burst_ratio - 1.0) * self.share_count

    def is_calm(self, now_ms: float) -> bool:
        """Returns whether there was no sign or wait in the last time."""
        disturbed_at_ms = max(self.sign_at_ms, self.busy_at_ms)
        return now_ms - disturbed_at_ms >= CALM_AFTER_MS


def new(
    share_count: float,
    floor_count: float,
    now_ms: float,
    burst_ratio: float = BURST_RATIO,
) -> WorkLimit:
    """Returns a limit at its ceiling, with no work in progress.

    It starts at its ceiling, so that calm traffic never waits. New instances
    don't flood upstreams, as the ceiling follows from an instance's share.
    """
    base_count = max(share_count, floor_count)
    extra_count = (burst_ratio - 1.0) * share_count
    return WorkLimit(
        limit_count=base_count + extra_count,
        ceiling_count=base_count + extra_count,
        floor_count=floor_count,
        share_count=share_count,
        burst_ratio=burst_ratio,
        extra_count=extra_count,
        shrunk_at_ms=float("-inf"),
        calm_at_ms=now_ms,
        grown_at_ms=now_ms,
    )


def slot_share_count(
    slot_count: float, instance_count: int, call_ms: float, goal_ms: float
) -> float:
    """Returns the requests of a group that an instance may have in progress.

    A request occupies a slot of each shard only while its call there runs. So
    in the time that requests may spend at upstreams, each slot completes that
    time divided by `call_ms` of them, and as many may be in progress.

    Args:
        slot_count: Listed slots of the group's smallest service.
        instance_count: Number of instances that share them.
        call_ms: Typical time of one call; 0 if none was answered yet.
        goal_ms: Tightest latency goal of the group's routes.
    """
    if call_ms <= 0.0:
        return CEILING_MIN_COUNT
    even_count = slot_count / max(1, instance_count)
    turns_count = max(1.0, WORK_GOAL_RATIO * goal_ms / call_ms)
    return max(CEILING_MIN_COUNT, even_count * turns_count)


def uncrowded_call_ms(known_ms: float, call_ms: float, is_calm: bool) -> float:
    """Returns the typical call time while upstreams are not crowded.

    Args:
        known_ms: The value so far; 0 if there is none.
        call_ms: Typical call time now; 0 if no call was answered yet.
        is_calm: Whether there were no signs of overload and no waiting.
    """
    if not known_ms or not call_ms:
        return known_ms or call_ms
    if call_ms < known_ms:
        return known_ms + CALL_DROP_RATIO * (call_ms - known_ms)
    risen_ms = known_ms + CALL_CALM_RISE_RATIO * (call_ms - known_ms)
    return risen_ms if is_calm else min(risen_ms, CALL_RISE_RATIO * known_ms)


def process_share_count(goal_ms: float, widest_count: int) -> float:
    """Returns the calls that a full core completes within half of a goal.

    The other half is left for the upstreams and for waiting in order.

    Args:
        goal_ms: Tightest latency goal of all routes.
        widest_count: Number of calls of the widest request.
    """
    return max(
        WORK_GOAL_RATIO * goal_ms / CALL_PROCESSOR_MS,
        MIN_PROCESS_REQUEST_COUNT * widest_count,
    )


def process_floor_count(goal_ms: float, widest_count: int) -> float:
    """Returns the calls that the process limit always allows.

    Args:
        goal_ms: Tightest latency goal of all routes.
        widest_count: Number of calls of the widest request.
    """
    return max(
        PROCESS_FLOOR_RATIO * process_share_count(goal_ms, widest_count),
        MIN_PROCESS_REQUEST_COUNT * widest_count,
    )


def record_wait(current: WorkLimit, now_ms: float) -> WorkLimit:
    """Returns the limit after a request had to wait."""
    return dataclasses.replace(current, busy_at_ms=now_ms)


def with_share(
    current: WorkLimit, share_count: float, floor_count: float
) -> WorkLimit:
    """Returns the limit with another share and floor."""
    if (current.share_count, current.floor_count) == (share_count, floor_count):
        return current
    had_all_extra = current.extra_count >= current.extra_max_count
    current = dataclasses.replace(
        current, share_count=share_count, floor_count=floor_count
    )
    extra_count = current.extra_max_count
    if not had_all_extra:
        extra_count = min(extra_count, current.extra_count)
    return _with_extra(current, extra_count)


def _with_extra(current: WorkLimit, extra_count: float) -> WorkLimit:
    """Returns the limit with another room for bursts.

    A limit at its ceiling stays there; another one keeps its value.
    """
    ceiling_count = current.base_count + extra_count
    if (
        ceiling_count == current.ceiling_count
        and extra_count == current.extra_count
    ):
        return current
    at_ceiling = current.limit_count >= current.ceiling_count
    return dataclasses.replace(
        current,
        extra_count=extra_count,
        ceiling_count=ceiling_count,
        limit_count=ceiling_count
        if at_ceiling
        else min(current.limit_count, ceiling_count),
    )


def begin(current: WorkLimit, count: float) -> WorkLimit:
    """Returns the limit after work was started."""
    in_progress_count = current.in_progress_count + count
    return dataclasses.replace(
        current,
        in_progress_count=in_progress_count,
        peak_count=max(current.peak_count, in_progress_count),
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
            limiter.smoothed(duration_ms, elapsed_ms, DURATION_SMOOTHING_RATIO)
            if duration_ms
            else elapsed_ms
        )
    return dataclasses.replace(
        current,
        in_progress_count=max(0.0, current.in_progress_count - count),
        duration_ms=duration_ms,
    )


def adapt_extra(current: WorkLimit, crowded: bool, now_ms: float) -> WorkLimit:
    """Returns the limit after an answer, with its room for bursts adapted.

    The base of the ceiling, which is the instance's share or its normal work,
    stays as it is.

    Args:
        current: The limit before.
        crowded: Whether calls wait at most upstreams of the group.
        now_ms: Current time in milliseconds.
    """
    if crowded:
        current = record_wait(current, now_ms)
        return _with_extra(current, current.extra_count * limiter.SHRINK_RATIO)
    return _with_extra(
        current, min(current.extra_max_count, current.extra_count + 1.0)
    )


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
    """Returns the limit after it recovered until `now_ms`.

    The room for bursts recovers while no request waits, the limit while there
    are no signs.
    """
    elapsed_ms = now_ms - current.grown_at_ms
    has_all = (
        current.limit_count >= current.ceiling_count
        and current.extra_count >= current.extra_max_count
    )
    if has_all or elapsed_ms <= 0.0:
        return current
    grown_ratio = elapsed_ms / RECOVERY_GROWTH_MS
    current = dataclasses.replace(current, grown_at_ms=now_ms)
    if now_ms - current.busy_at_ms >= RECOVERY_HOLD_MS:
        grown_count = current.extra_max_count * grown_ratio
        current = _with_extra(
            current,
            min(current.extra_max_count, current.extra_count + grown_count),
        )
    if now_ms - current.sign_at_ms >= RECOVERY_HOLD_MS:
        current = limiter.grow(current, current.ceiling_count * grown_ratio)
    return current


def decay(current: WorkLimit, now_ms: float) -> WorkLimit:
    """Returns the limit after its observed normal work has been updated.

    Must be called about every `CALM_AFTER_MS`.
    """
    ratio = 0.5 ** ((now_ms - current.calm_at_ms) / CALM_HALF_LIFE_MS)
    calm_count = current.calm_count
    if current.is_calm(now_ms):
        calm_count = max(current.peak_count, calm_count * ratio)
    return _with_extra(
        dataclasses.replace(
            current,
            calm_count=calm_count,
            peak_count=current.in_progress_count,
            calm_at_ms=now_ms,
        ),
        current.extra_count,
    )
