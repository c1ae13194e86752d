"""Decides which requests of one instance start, wait or are refused.

A request starts at once while its group and the process have room. Otherwise
it waits, and is refused as soon as waiting is of no use to its caller. Every
request of an instance is admitted as a whole and counts until it ends.
"""

import collections
import dataclasses
import random

from hyssoptack.admission import queue
from hyssoptack.admission import refusal
from hyssoptack.admission import usage
from hyssoptack.admission import worklimit

LATE_RATIO = 0.2
"""Mean delay of the event loop, as a part of the tightest latency goal, that is
a sign of overload. A request passes the loop three times (read, replies,
answer), and upstreams and network take up to 40 % of the goal."""

DELAY_SMOOTHING_RATIO = 0.25
"""Weight of the newest delay in the mean. With a measurement every 25 ms the
mean covers about 100 ms, one period in which the system schedules a process
with less than one core; a single pause within it is normal there."""

DEFAULT_GOAL_MS = 100.0
"""Latency goal before a configuration is known: between the users' goals of 73
and 151 ms."""

LOST_AFTER_MS = 5_000.0
"""Time after its deadline at which a request that has not ended is dropped from
the count. Requests end at their deadlines; only an internal error loses one."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admit:
    """The request starts now."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Wait:
    """The request waits for room."""


Decision = Admit | Wait | refusal.Refuse


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupFacts:
    """What determines the ceiling of a group.

    Attributes:
        goal_ms: Tightest latency goal of its routes.
        slot_count: Listed slots of the group's smallest service.
        call_ms: Typical time of one call; 0 if none was answered yet.
    """

    goal_ms: float
    slot_count: float
    call_ms: float


@dataclasses.dataclass(kw_only=True)
class _Group:
    """State of one group of services.

    Attributes:
        limit: Its limit, in requests.
        goal_ms: Tightest latency goal of its routes.
        call_ms: Typical call time while upstreams are not crowded. Slower
            calls must not reduce the ceiling, as hedges handle slow upstreams.
    """

    limit: worklimit.WorkLimit
    goal_ms: float
    call_ms: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Started:
    """A request in progress.

    Attributes:
        ask: The request.
        start_ms: When it started.
    """

    ask: queue.Ask
    start_ms: float


@dataclasses.dataclass(kw_only=True)
class _Ahead:
    """The requests before another one in the order.

    Attributes:
        counts: Requests by group.
        total_count: All requests.
        call_count: First calls of all requests.
    """

    counts: collections.Counter[queue.Group] = dataclasses.field(
        default_factory=collections.Counter
    )
    total_count: int = 0
    call_count: int = 0

    def add(self, ask: queue.Ask) -> None:
        """Adds the next request of the order."""
        self.counts[ask.group] += 1
        self.total_count += 1
        self.call_count += ask.call_count


def _until_free_ms(limit: worklimit.WorkLimit, wanted_count: float) -> float:
    """Returns the expected time until an amount of work may have started.

    Work in progress ends at the rate of its amount divided by its duration.
    """
    lacking_count = wanted_count - max(0.0, limit.available_count)
    return max(0.0, lacking_count * limit.duration_ms / limit.limit_count)


class AdmissionController:
    """Admission of one instance.

    Attributes:
        instance_count: Number of instances that share the upstreams.
        usage: Recent use by teams and routes.
        process: Limit of all calls in progress.
    """

    def __init__(self, rng: random.Random, now_ms: float):
        self._random = rng
        self.instance_count = 1
        self._goal_ms = DEFAULT_GOAL_MS
        self._widest_count = 1
        self._delay_ms = 0.0
        self.usage = usage.Usage(now_ms)
        self.process = worklimit.new(
            worklimit.process_share_count(self._goal_ms, self._widest_count),
            worklimit.process_floor_count(self._goal_ms, self._widest_count),
            now_ms,
            burst_ratio=1.0,
        )
        self._groups: dict[queue.Group, _Group] = {}
        self._waiting = queue.WaitQueue(self.usage, self._duration_ms)
        self._started: dict[int, _Started] = {}

    # Facts from outside.

    def set_goal(self, goal_ms: float, widest_count: int) -> None:
        """Sets the tightest latency goal and the largest number of calls."""
        self._goal_ms = goal_ms
        self._widest_count = widest_count
        self.process = worklimit.with_share(
            self.process,
            worklimit.process_share_count(goal_ms, widest_count),
            worklimit.process_floor_count(goal_ms, widest_count),
        )

    def knows(self, group: queue.Group) -> bool:
        """Returns whether the facts of a group were set."""
        return group in self._groups

    def groups(self) -> dict[queue.Group, worklimit.WorkLimit]:
        """Returns the limits of all groups."""
        return {key: each.limit for key, each in self._groups.items()}

    def set_facts(
        self, group: queue.Group, facts: GroupFacts, now_ms: float
    ) -> None:
        """Sets what determines the ceiling of a group."""
        found = self._groups.get(group)
        if found is None:
            limit = worklimit.new(
                worklimit.CEILING_MIN_COUNT,
                worklimit.limiter.LIMIT_MIN_COUNT,
                now_ms,
            )
            found = self._groups[group] = _Group(
                limit=limit, goal_ms=facts.goal_ms
            )
        found.goal_ms = facts.goal_ms
        found.call_ms = worklimit.uncrowded_call_ms(
            found.call_ms, facts.call_ms, found.limit.is_calm(now_ms)
        )
        share_count = worklimit.slot_share_count(
            facts.slot_count, self.instance_count, found.call_ms, found.goal_ms
        )
        found.limit = worklimit.with_share(
            found.limit, share_count, found.limit.floor_count
        )

    def keep_groups(self, groups: frozenset[queue.Group]) -> None:
        """Drops unused groups that no route calls any more."""
        for key in tuple(self._groups):
            unused = not self._groups[key].limit.in_progress_count
            if (
                key not in groups
                and unused
                and not self._waiting.waiting_count(key)
            ):
                del self._groups[key]

    def record_delay(self, delay_ms: float, now_ms: float) -> None:
        """Records a delay of the process's own event loop."""
        self._delay_ms += DELAY_SMOOTHING_RATIO * (delay_ms - self._delay_ms)
        if self._delay_ms > LATE_RATIO * self._goal_ms:
            self.process = worklimit.record_sign(
                self.process, self._goal_ms, now_ms
            )

    @property
    def delay_ms(self) -> float:
        """Recent mean delay of the event loop, in milliseconds."""
        return self._delay_ms

    # Requests.

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def waiting_in(self, group: queue.Group) -> int:
        """Returns the number of waiting requests of a group."""
        return self._waiting.waiting_count(group)

    def holds_extra_calls(self, group: queue.Group) -> bool:
        """Returns whether hedges and retries of a group are held back.

        They are while first calls wait for the same upstreams, or for this
        process.
        """
        return self._waiting.has_timely(group) or self._process_is_awaited()

    def has_room(self, group: queue.Group, now_ms: float) -> bool:
        """Returns whether a new request of a group would start at once."""
        if group not in self._groups:
            return True
        if self._waiting.has_timely(group) or self._process_is_awaited():
            return False
        self._recover(group, now_ms)
        return self._group_has_room(group) and self._process_has_room(group)

    def _process_is_awaited(self) -> bool:
        """Returns whether a request may be waiting for the process's limit."""
        return (
            len(self._waiting) > 0
            and self.process.available_count < self._widest_count
        )

    def submit(self, ask: queue.Ask, now_ms: float) -> Decision:
        """Decides on a new request. The facts of its group must be set."""
        if self.has_room(ask.group, now_ms):
            self._start(ask, now_ms)
            return Admit()
        self._waiting.add(ask, now_ms)
        found = self._refusal_of(ask, now_ms)
        if found is not None:
            self._remove_refused(ask)
            return found
        self.process = worklimit.record_wait(self.process, now_ms)
        group = self._groups[ask.group]
        group.limit = worklimit.record_wait(group.limit, now_ms)
        return Wait()

    def start_unconditionally(self, ask: queue.Ask, now_ms: float) -> None:
        """Counts a request that starts whether or not there is room."""
        self._start(ask, now_ms)

    def next_start(self, now_ms: float) -> queue.Ask | None:
        """Starts the first waiting request for which there is room."""
        if not len(self._waiting):
            return None
        # If the process lacks room for the first one, the others wait too:
        # requests with few calls would otherwise always precede wide ones.
        ask = self._waiting.first(now_ms, self._group_has_room)
        if ask is None or not self._process_has_room(ask.group):
            return None
        self._waiting.remove(ask.ask_id)
        self._start(ask, now_ms)
        return ask

    def review(self, now_ms: float) -> list[tuple[queue.Ask, refusal.Refuse]]:
        """Removes and returns the waiting requests that are to be refused."""
        self.usage.decay(now_ms)
        self._recover_all(now_ms)
        if not len(self._waiting):
            return []
        refused: list[tuple[queue.Ask, refusal.Refuse]] = []
        ahead = _Ahead()
        for ask in self._waiting.ordered(now_ms):
            found = self._refusal(ask, ahead, now_ms)
            if found is None:
                ahead.add(ask)
                continue
            # A request that is refused does not delay those after it.
            self._remove_refused(ask)
            refused.append((ask, found))
        return refused

    def _remove_refused(self, ask: queue.Ask) -> None:
        self._waiting.remove(ask.ask_id)
        self.usage.record_refused(ask.team_name, ask.route_name)

    def _refusal_of(
        self, ask: queue.Ask, now_ms: float
    ) -> refusal.Refuse | None:
        """Returns the refusal of a waiting request; None if it is kept."""
        ahead = _Ahead()
        for each in self._waiting.ordered(now_ms):
            if each is ask:
                break
            ahead.add(each)
        return self._refusal(ask, ahead, now_ms)

    def _refusal(
        self, ask: queue.Ask, ahead: "_Ahead", now_ms: float
    ) -> refusal.Refuse | None:
        """Returns the refusal of a request behind others; None if it waits."""
        wait_ms = max(
            _until_free_ms(
                self._groups[ask.group].limit, ahead.counts[ask.group] + 1
            ),
            _until_free_ms(self.process, ahead.call_count + ask.call_count),
        )
        needed_ms = queue.needed_ms(ask, self._duration_ms(ask.group))
        found = refusal.due(ask, wait_ms, needed_ms, now_ms, self._random)
        left_ms = ask.goal_at_ms - now_ms - needed_ms
        max_count = (
            queue.MAX_LATE_COUNT if left_ms < 0.0 else queue.MAX_WAITING_COUNT
        )
        if found is None and ahead.total_count >= max_count:
            found = refusal.refuse(
                refusal.Reason.QUEUE_FULL, wait_ms, left_ms, self._random
            )
        return found

    def leave(self, ask_id: int) -> queue.Ask | None:
        """Removes a waiting request whose caller has left."""
        return self._waiting.remove(ask_id)

    def end(
        self, ask_id: int, shed_count: int, call_ms: float, now_ms: float
    ) -> None:
        """Records the end of a request that was started.

        Args:
            ask_id: The request.
            shed_count: Calls that were shed while no other upstream had room.
            call_ms: Typical time of a call of its route now.
            now_ms: Current time in milliseconds.
        """
        started = self._started.pop(ask_id, None)
        if started is None:
            return
        ask = started.ask
        elapsed_ms = now_ms - started.start_ms
        self.process = worklimit.end(self.process, ask.call_count, elapsed_ms)
        group = self._groups.get(ask.group)
        if group is None:
            return
        limit = group.limit
        if shed_count:
            limit = worklimit.record_sign(limit, group.goal_ms, now_ms)
        crowded = call_ms > worklimit.CROWDED_RATIO * group.call_ms > 0.0
        limit = worklimit.adapt_extra(limit, crowded, now_ms)
        group.limit = worklimit.end(limit, 1.0, elapsed_ms)
        self._recover(ask.group, now_ms)

    # Parts of the decisions.

    def _group_has_room(
        self, group: queue.Group, is_late: bool = False
    ) -> bool:
        limit = self._groups[group].limit
        usable_count = limit.limit_count
        if is_late:
            usable_count = max(1.0, queue.LATE_WORK_RATIO * usable_count)
        return limit.in_progress_count + 1.0 <= usable_count

    def _process_has_room(self, group: queue.Group) -> bool:
        return (
            self.process.available_count >= len(group)
            or not self.process.in_progress_count
        )

    def _start(self, ask: queue.Ask, now_ms: float) -> None:
        group = self._groups[ask.group]
        group.limit = worklimit.begin(group.limit, 1.0)
        self.process = worklimit.begin(self.process, ask.call_count)
        self._started[ask.ask_id] = _Started(ask=ask, start_ms=now_ms)
        self.usage.record_started(
            ask.team_name,
            ask.route_name,
            ask.priority,
            ask.team_weight,
            ask.call_count,
        )

    def _duration_ms(self, group: queue.Group) -> float:
        return self._groups[group].limit.duration_ms

    def _recover(self, group: queue.Group, now_ms: float) -> None:
        found = self._groups[group]
        found.limit = worklimit.recover(found.limit, now_ms)
        self.process = worklimit.recover(self.process, now_ms)

    def _recover_all(self, now_ms: float) -> None:
        for key in self._groups:
            self._recover(key, now_ms)

    def maintain(self, now_ms: float) -> int:
        """Decays observations; returns the number of lost requests dropped."""
        for each in self._groups.values():
            each.limit = worklimit.decay(each.limit, now_ms)
        self.process = worklimit.decay(self.process, now_ms)
        lost_ids = [
            ask_id
            for ask_id, each in self._started.items()
            if now_ms > each.ask.deadline_at_ms + LOST_AFTER_MS
        ]
        for ask_id in lost_ids:
            self.end(ask_id, shed_count=0, call_ms=0.0, now_ms=now_ms)
        return len(lost_ids)
