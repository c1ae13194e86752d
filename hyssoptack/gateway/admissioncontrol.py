"""Admission of an instance's requests: timers, logs, metrics and wiring.

`admission.controller` decides. While there is room, a request starts in the
same turn of the event loop, without a timer or a log line.
"""

import asyncio
import collections.abc
import dataclasses
import itertools
import random

from hyssoptack.admission import controller
from hyssoptack.admission import queue
from hyssoptack.admission import refusal
from hyssoptack.balancing import loadbalancer
from hyssoptack.core import clock
from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import draining
from hyssoptack.gateway import inbound
from hyssoptack.gateway import limitlog
from hyssoptack.gateway import metrics
from hyssoptack.gateway import slotcounts
from hyssoptack.http1 import message
from hyssoptack.membership import partitiondetector
from hyssoptack.planning import retrydelay
from hyssoptack.planning import shutdown

DELAY_PERIOD_MS = 25.0
"""Interval of the measurements of the event loop's delay: a third of the
tightest of the users' goals (73 ms). 40 measurements cost 2 ms of a core."""

REVIEW_PERIOD_MS = 10.0
"""Interval of the checks of waiting requests: half of the 18 ms within which a
request with a goal of 73 ms must be refused for its caller to gain."""

REFRESH_PERIOD_MS = 1_000.0
"""Interval at which ceilings are computed again. The list of upstreams changes
a few times a minute."""

LOG_CHECK_PERIOD_MS = 100.0
"""Interval of the checks for reduced limits, which take 850 ms to recover."""

UNKNOWN_INSTANCE_COUNT = 12
"""Assumed number of instances before the first list of instances, as in
`balancing.connections`."""

_STOPPING_REFUSAL = retrydelay.RefusalContext(
    cause=retrydelay.cause_of(shutdown.STOPPING)
)

Start = collections.abc.Callable[[], None]
RefuseRequest = collections.abc.Callable[[str, float], None]
"""Refuses a request with a reason and a retry delay in milliseconds."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Pending:
    """A waiting request and what to do when it is decided."""

    request: inbound.RoutedRequest
    start: Start
    refuse: RefuseRequest
    submitted_ms: float


class AdmissionControl:
    """Admits, queues and refuses the requests of one instance.

    Attributes:
        instance_count: Number of instances that share the upstreams; 0 if
            unknown.
    """

    def __init__(
        self,
        load_balancer: loadbalancer.LoadBalancer,
        detector: partitiondetector.PartitionDetector,
        collectors: metrics.Metrics,
        rng: random.Random,
    ):
        self.instance_count = 0
        self._load_balancer = load_balancer
        self._slots = slotcounts.SlotCounts(load_balancer, detector)
        self._metrics = collectors
        self._random = rng
        self._shutdown: shutdown.Shutdown | None = None
        self._controller = controller.AdmissionController(rng, clock.now_ms())
        self._controller.instance_count = UNKNOWN_INSTANCE_COUNT
        self._routes_of: dict[queue.Group, list[traffic.Route]] = {}
        self._ask_ids = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._running: dict[int, tuple[inbound.RoutedRequest, int]] = {}
        self._limit_log = limitlog.LimitLog()
        self._review_timer: asyncio.TimerHandle | None = None
        self._refreshed_ms = self._logged_ms = clock.now_ms()

    # Requests.

    def submit(
        self,
        request: inbound.RoutedRequest,
        start: Start,
        refuse: RefuseRequest,
    ) -> None:
        """Starts a request, now or later, or refuses it.

        Args:
            request: The request.
            start: Starts it. `on_ended` must be called when it has ended.
            refuse: Refuses it with a reason and a retry delay.
        """
        now_ms = clock.now_ms()
        ask = self._new_ask(request, now_ms)
        pending = _Pending(
            request=request, start=start, refuse=refuse, submitted_ms=now_ms
        )
        match self._controller.submit(ask, now_ms):
            case controller.Admit():
                self._begin(ask, pending)
            case controller.Wait():
                self._pending[ask.ask_id] = pending
                request.exchange.on_abandoned = lambda: self._on_caller_left(
                    ask.ask_id
                )
                self._start_waiting()
                self._schedule_review()
            case refusal.Refuse() as refused:
                self._refuse(ask, pending, refused, now_ms)

    def count_started(self, request: inbound.RoutedRequest) -> None:
        """Counts a request that starts whether or not there is room.

        Such requests were accepted from a neighbour, or may have run there, so
        that they can't be refused truthfully.
        """
        now_ms = clock.now_ms()
        ask = self._new_ask(request, now_ms)
        self._controller.start_unconditionally(ask, now_ms)
        self._running[id(request)] = request, ask.ask_id

    def on_ended(
        self, request: inbound.RoutedRequest, timely: bool, shed_count: int
    ) -> None:
        """Records the end of a request that was started.

        Args:
            request: The request as it was submitted.
            timely: Whether it was answered within its latency goal.
            shed_count: Calls that `counts_as_shed` counted.
        """
        _, ask_id = self._running.pop(id(request), (request, 0))
        now_ms = clock.now_ms()
        route_name = request.route_match.route.name
        call_ms = self._load_balancer.latency_of(route_name).median_ms
        self._controller.end(ask_id, shed_count, call_ms, now_ms)
        self._start_waiting()
        if shed_count:
            self._log_limits(now_ms)

    def counts_as_shed(self, service: str, upstream_id: str) -> bool:
        """Returns whether a shed call shows that a service has no room.

        It does not if another upstream of the service has a free slot.
        """
        return not self._slots.has_other_room(
            service, upstream_id, clock.now_ms()
        )

    def can_accept_delegated(self, route: traffic.Route, priority: int) -> bool:
        """Returns whether a neighbour's query would start here at once.

        Args:
            route: The query's route.
            priority: Its priority. A query of any priority is declined at
                capacity, as its sender is a closer place to wait.
        """
        group = traffic.services_of(route.target)
        has_room = self._controller.has_room(group, clock.now_ms())
        if not has_room:
            self._metrics.admission_refusals.inc(
                {"route": route.name, "cause": "delegation_declined"}
            )
            log.write(
                log.Event.DELEGATION_DECLINED,
                route=route.name,
                priority=priority,
                **self._inputs(group),
            )
        return has_room

    def holds_extra_calls(self, services: tuple[str, ...]) -> bool:
        """Returns whether hedges and retries to services are held back."""
        return self._controller.holds_extra_calls(services)

    def _new_ask(
        self, request: inbound.RoutedRequest, now_ms: float
    ) -> queue.Ask:
        route = request.route_match.route
        group = request.route_match.services
        if not self._controller.knows(group):
            self._routes_of.setdefault(group, [route])
            self._set_facts(group, now_ms)
        received_ms = request.exchange.request.received_ms
        rate_limit = request.team.rate_limit if request.team else None
        return queue.Ask(
            ask_id=next(self._ask_ids),
            group=group,
            route_name=route.name,
            team_name=request.team_name,
            team_weight=rate_limit.rate_per_s if rate_limit else 0.0,
            priority=request.priority,
            returning=request.is_returning,
            goal_ms=route.latency_goal_ms,
            started_ms=received_ms - request.caller_spent_ms,
            goal_at_ms=received_ms
            + route.latency_goal_ms
            - request.reserved_ms,
            deadline_at_ms=request.deadline_at_ms,
        )

    def _begin(self, ask: queue.Ask, pending: _Pending) -> None:
        # The request is kept so that its id is not used again.
        self._running[id(pending.request)] = pending.request, ask.ask_id
        pending.start()

    def _start_waiting(self) -> None:
        """Starts the waiting requests for which there is room."""
        while ask := self._controller.next_start(clock.now_ms()):
            self._begin(ask, self._pending.pop(ask.ask_id))

    def _on_caller_left(self, ask_id: int) -> None:
        pending = self._pending.pop(ask_id, None)
        if pending is None or self._controller.leave(ask_id) is None:
            return
        request = pending.request
        self._metrics.requests.inc(
            {"route": request.route_match.route.name, "status": "0"}
        )
        log.write(
            log.Event.REQUEST_ENDED,
            request_id=request.request_id,
            route=request.route_match.route.name,
            status=0,
            reason="caller_left",
            took_ms=round(clock.now_ms() - pending.submitted_ms, 1),
            calls=[],
            **inbound.team_fields(request.team_name),
        )
        self._start_waiting()

    def _refuse(
        self,
        ask: queue.Ask,
        pending: _Pending,
        refused: refusal.Refuse,
        now_ms: float,
    ) -> None:
        reason = refused.reason.value
        self._metrics.admission_refusals.inc(
            {"route": ask.route_name, "cause": reason}
        )
        log.write(
            log.Event.REQUEST_REFUSED,
            request_id=pending.request.request_id,
            route=ask.route_name,
            priority=ask.priority,
            returning=ask.returning,
            reason=reason,
            waited_ms=round(now_ms - pending.submitted_ms, 1),
            spent_ms=round(now_ms - ask.started_ms, 1),
            expected_wait_ms=round(refused.expected_wait_ms, 1),
            retry_after_ms=round(refused.retry_after_ms, 1),
            to_goal_ms=round(ask.goal_at_ms - now_ms, 1),
            to_deadline_ms=round(ask.deadline_at_ms - now_ms, 1),
            **self._inputs(ask.group),
            **inbound.team_fields(ask.team_name),
        )
        pending.refuse(reason, refused.retry_after_ms)

    def _inputs(self, group: queue.Group) -> dict[str, object]:
        """Returns the inputs of a decision for its log line."""
        process = self._controller.process
        limit = self._controller.groups().get(group)
        return {
            "group": limitlog.group_label(group),
            "waiting": self._controller.waiting_count,
            "limit": round(limit.limit_count, 1) if limit else None,
            "in_progress": limit.in_progress_count if limit else 0,
            "duration_ms": round(limit.duration_ms, 1) if limit else None,
            "process_limit": round(process.limit_count),
            "process_in_progress": process.in_progress_count,
        }

    # Shutdown.

    def on_shutdown(self, started: shutdown.Shutdown) -> None:
        """Refuses requests as soon as they can't end before this process."""
        self._shutdown = started
        self._refuse_stopping(clock.now_ms())

    def _refuse_stopping(self, now_ms: float) -> None:
        """Refuses the waiting requests that this process can't finish."""
        for ask_id, pending in tuple(self._pending.items()):
            if not draining.leaves_no_time(
                self._shutdown, pending.request, self._load_balancer, now_ms
            ):
                continue
            del self._pending[ask_id]
            ask = self._controller.leave(ask_id)
            refused = refusal.Refuse(
                reason=refusal.Reason.STOPPING,
                retry_after_ms=retrydelay.retry_delay_ms(
                    _STOPPING_REFUSAL, self._random
                ),
                expected_wait_ms=0.0,
            )
            self._refuse(ask, pending, refused, now_ms)

    # Periodic work.

    async def watch(self) -> None:
        """Measures this process's lateness and updates ceilings, forever."""
        while True:
            due_ms = clock.now_ms() + DELAY_PERIOD_MS
            await asyncio.sleep(DELAY_PERIOD_MS / message.MS_PER_S)
            now_ms = clock.now_ms()
            self.record_delay(now_ms - due_ms, now_ms)

    def record_delay(self, delay_ms: float, now_ms: float) -> None:
        """Records the event loop's delay and reviews the waiting requests."""
        self._controller.record_delay(max(0.0, delay_ms), now_ms)
        self._review(now_ms)
        if now_ms - self._refreshed_ms >= REFRESH_PERIOD_MS:
            self._refreshed_ms = now_ms
            self._controller.maintain(now_ms)
            self._refresh_ceilings(now_ms)
        if now_ms - self._logged_ms >= LOG_CHECK_PERIOD_MS:
            self._logged_ms = now_ms
            self._log_limits(now_ms)

    def _schedule_review(self) -> None:
        if self._review_timer is not None or not self._pending:
            return
        loop = asyncio.get_running_loop()
        self._review_timer = loop.call_later(
            REVIEW_PERIOD_MS / message.MS_PER_S, self._on_review_timer
        )

    def _on_review_timer(self) -> None:
        self._review_timer = None
        self._review(clock.now_ms())
        self._schedule_review()

    def _review(self, now_ms: float) -> None:
        """Starts or refuses waiting requests whose time has come."""
        self._refuse_stopping(now_ms)
        refused = self._controller.review(now_ms)
        for ask, decision in refused:
            self._refuse(ask, self._pending.pop(ask.ask_id), decision, now_ms)
        self._start_waiting()

    def on_configuration(self, configuration: traffic.Configuration) -> None:
        """Applies the latency goals and groups of a configuration."""
        routes = configuration.routes
        if not routes:
            return
        self._routes_of = {}
        for route in routes:
            for group in _groups_of(route.target):
                self._routes_of.setdefault(group, []).append(route)
        self._controller.set_goal(
            min(each.latency_goal_ms for each in routes),
            max(len(each) for each in self._routes_of),
        )
        self._controller.keep_groups(frozenset(self._routes_of))
        now_ms = clock.now_ms()
        for group in self._routes_of:
            self._set_facts(group, now_ms)

    def _set_facts(self, group: queue.Group, now_ms: float) -> None:
        routes = self._routes_of[group]
        medians_ms = [
            self._load_balancer.latency_of(each.name).median_ms
            for each in routes
        ]
        facts = controller.GroupFacts(
            goal_ms=min(each.latency_goal_ms for each in routes),
            slot_count=self._slots.smallest_count(group),
            call_ms=min(filter(None, medians_ms), default=0.0),
        )
        self._controller.set_facts(group, facts, now_ms)

    def _refresh_ceilings(self, now_ms: float) -> None:
        self._controller.instance_count = (
            self.instance_count or UNKNOWN_INSTANCE_COUNT
        )
        for group in self._routes_of:
            self._set_facts(group, now_ms)

    # Observation.

    def _log_limits(self, now_ms: float) -> None:
        """Logs limits that were reduced or that have recovered."""
        self._limit_log.write_changes(
            self._controller.process,
            self._controller.groups(),
            self._controller.delay_ms,
            now_ms,
        )

    def gauge_values(self) -> dict[str, float]:
        """Returns gauges by name; their number depends on the routes only."""
        process = self._controller.process
        values = {
            "admission_waiting_count": self._controller.waiting_count,
            "admission_loop_delay_ms": self._controller.delay_ms,
            "admission_call_count": process.in_progress_count,
            "admission_call_limit": process.limit_count,
            "admission_team_count": self._controller.usage.team_count,
        }
        for group, limit in self._controller.groups().items():
            label = limitlog.group_label(group)
            values[f"admission_limit/{label}"] = limit.limit_count
            values[f"admission_ceiling/{label}"] = limit.ceiling_count
            values[f"admission_running/{label}"] = limit.in_progress_count
            values[f"admission_waiting/{label}"] = self._controller.waiting_in(
                group
            )
        return values


def _groups_of(target: traffic.Target) -> list[queue.Group]:
    """Returns the groups of services that requests to a target call."""
    match target:
        case traffic.AllShards(shards=shards):
            return [shards]
        case _:
            return [(each,) for each in traffic.services_of(target)]
