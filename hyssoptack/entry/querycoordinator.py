"""Runs queries: admits them, executes their plans and returns the results."""

import asyncio
import collections.abc
import dataclasses
import itertools

from hyssoptack.balancing import routing
from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.core import refusal
from hyssoptack.core import timeouts
from hyssoptack.entry import burncounts
from hyssoptack.entry import metrics
from hyssoptack.entry import queryadmission
from hyssoptack.entry import state
from hyssoptack.events import log
from hyssoptack.planning import querycommand
from hyssoptack.planning import queryplan
from hyssoptack.relay import relay

MS_PER_S = 1000.0

SendTo = collections.abc.Callable[[str, message.Message], bool]
"""Sends a message to an instance by its id; returns False if its address is
not known."""

Result = query.Answer | refusal.Refusal


@dataclasses.dataclass(frozen=True, kw_only=True)
class _SentCall:
    """An upstream call in flight.

    Attributes:
        path: Path that the call took.
        sent_ms: Time at which it was sent.
    """

    path: routing.RelayPath
    sent_ms: float


@dataclasses.dataclass(kw_only=True)
class _RunningQuery:
    """One query in flight.

    Attributes:
        plan: Plan that decides the calls.
        service: The query's service when it started.
        done: Completed with the query's result.
        sent: Unanswered calls by call id.
        timer: Timer of the plan's next deadline.
    """

    plan: queryplan.QueryPlan
    service: catalog.Service
    done: asyncio.Future[Result]
    sent: dict[int, _SentCall] = dataclasses.field(default_factory=dict)
    timer: timeouts.Timer | None = None


class QueryCoordinator:
    """Coordinates the queries of this instance's callers on the event loop."""

    def __init__(
        self,
        instance_state: state.InstanceState,
        own_relay: relay.Relay,
        send_to: SendTo,
        instance_metrics: metrics.Metrics,
        burn_counts: burncounts.BurnCounts,
        admission: queryadmission.QueryAdmission,
    ):
        self._state = instance_state
        self._relay = own_relay
        self._send_to = send_to
        self._metrics = instance_metrics
        self._burn_counts = burn_counts
        self._admission = admission
        self._own_id = instance_state.settings.instance_id
        self._query_numbers = itertools.count(1)
        self._running: dict[str, _RunningQuery] = {}
        self.started_count = 0

    def in_flight_count(self) -> int:
        """Returns the number of queries in flight."""
        return len(self._running)

    def new_query_id(self) -> str:
        """Returns a new unique query id."""
        return f"{self._state.incarnation}.{next(self._query_numbers)}"

    async def run_query(self, request: query.Query) -> Result:
        """Runs a query to its final result.

        Args:
            request: The query.

        Returns:
            The answer, which may cover only part of the keys, or a refusal.
        """
        now_ms = clock.now_ms()
        service = self._state.catalog.services.get(request.service)
        if service is None:
            return refusal.Refusal(
                reason=refusal.Reason.UNKNOWN_SERVICE,
                ran=refusal.Ran.NO,
                detail="a new configuration has dropped service "
                f"{request.service}",
            )
        profile = self._state.catalog.profiles[service.profile]
        refused = self._admission.refusal_of(request, len(self._running))
        if refused is not None:
            self._count_result(request, profile, refused, 0.0)
            return refused
        admitted = self._admission.begin(request, now_ms)
        self.started_count += 1
        plan = queryplan.QueryPlan(
            request, profile, service, self._state.plan_context, now_ms
        )
        result = await self._run(plan, service, now_ms)
        self._record_completion(plan, profile, result, admitted)
        return result

    async def _run(
        self,
        plan: queryplan.QueryPlan,
        service: catalog.Service,
        now_ms: float,
    ) -> Result:
        running = _RunningQuery(
            plan=plan,
            service=service,
            done=asyncio.get_running_loop().create_future(),
        )
        self._running[plan.query.query_id] = running
        try:
            self._execute_commands(running, plan.start(now_ms), now_ms)
            return await running.done
        finally:
            del self._running[plan.query.query_id]
            if running.timer is not None:
                running.timer.cancel()

    def _execute_commands(
        self,
        running: _RunningQuery,
        commands: list[querycommand.Command],
        now_ms: float,
    ) -> None:
        """Executes a plan's commands, with one message for each relay."""
        asks_by_instance: dict[str, list[message.UpstreamAsk]] = {}
        cancelled_ids: dict[str, list[int]] = {}
        result: Result | None = None
        for command in commands:
            match command:
                case querycommand.Send(path=path):
                    group = asks_by_instance.setdefault(path.instance_id, [])
                    group.append(self._register_call(running, command, now_ms))
                case querycommand.Cancel(
                    call_id=call_id, instance_id=instance_id
                ):
                    running.sent.pop(call_id, None)
                    cancelled_ids.setdefault(instance_id, []).append(call_id)
                case querycommand.Finish(result=finished):
                    result = finished
        for instance_id, call_ids in cancelled_ids.items():
            self._send_cancel(running, instance_id, tuple(call_ids))
        for instance_id, group in asks_by_instance.items():
            self._send_asks(running, instance_id, tuple(group), now_ms)
        if result is not None and not running.done.done():
            running.done.set_result(result)
        else:
            self._set_timer(running, now_ms)

    def _register_call(
        self, running: _RunningQuery, ask: querycommand.Send, now_ms: float
    ) -> message.UpstreamAsk:
        running.sent[ask.call_id] = _SentCall(path=ask.path, sent_ms=now_ms)
        return message.UpstreamAsk(
            call_id=ask.call_id,
            upstream_id=ask.path.upstream_id,
            index_version=ask.index_version,
        )

    def _send_cancel(
        self,
        running: _RunningQuery,
        instance_id: str,
        call_ids: tuple[int, ...],
    ) -> None:
        cancel = message.Cancel(
            query_id=running.plan.query.query_id, call_ids=call_ids
        )
        if instance_id == self._own_id:
            self._relay.cancel(cancel)
        else:
            self._send_to(instance_id, cancel)

    def _send_asks(
        self,
        running: _RunningQuery,
        instance_id: str,
        asks: tuple[message.UpstreamAsk, ...],
        now_ms: float,
    ) -> None:
        request = running.plan.query
        sub_query = message.SubQuery(
            origin=self._own_id,
            query_id=request.query_id,
            service=request.service,
            text=request.text,
            limit_count=request.limit_count,
            urgency=request.urgency,
            remaining_ms=running.plan.end_ms - now_ms,
            asks=asks,
        )
        if instance_id == self._own_id:
            self._relay.run_sub_query(
                sub_query, self._local_reply_handler(request.query_id)
            )
            return
        self._state.pending_answers.record_request(instance_id, now_ms)
        if not self._send_to(instance_id, sub_query):
            self.on_undelivered(instance_id, sub_query)

    def _local_reply_handler(self, query_id: str) -> relay.OnReplies:
        """Returns the handler for replies of this instance's own relay.

        The handler defers to the event loop, so that a reply given at once does
        not re-enter the plan.
        """
        loop = asyncio.get_running_loop()

        def on_replies(replies: tuple[message.UpstreamReply, ...]) -> None:
            loop.call_soon(self._on_replies, self._own_id, query_id, replies)

        return on_replies

    def _set_timer(self, running: _RunningQuery, now_ms: float) -> None:
        """Sets the timer for the plan's next deadline."""
        if running.timer is not None:
            running.timer.cancel()
        running.timer = timeouts.Timer(
            max(0.0, running.plan.next_deadline_ms() - now_ms),
            lambda: self._on_timer(running),
            timeouts.STOP_MIN_MS,
        )

    def _on_timer(self, running: _RunningQuery) -> None:
        if running.done.done():
            return
        now_ms = clock.now_ms()
        self._execute_commands(running, running.plan.on_timeout(now_ms), now_ms)

    def on_sub_answer(self, answer: message.SubAnswer) -> None:
        """Processes upstream replies from a peer's relay."""
        self._state.pending_answers.record_response(answer.origin)
        now_ms = clock.now_ms()
        service = self._service_of(answer)
        if service:
            for reply in answer.replies:
                self._state.upstream_health.record_reply(service, reply, now_ms)
        self._on_replies(answer.origin, answer.query_id, answer.replies)

    def _service_of(self, answer: message.SubAnswer) -> str:
        running = self._running.get(answer.query_id)
        if running is not None:
            return running.service.name
        # The query has ended, but its late replies still update the health of
        # the upstreams.
        for name, service in self._state.catalog.services.items():
            if (
                answer.replies
                and answer.replies[0].upstream_id in service.upstreams
            ):
                return name
        return ""

    def _on_replies(
        self,
        instance_id: str,
        query_id: str,
        replies: tuple[message.UpstreamReply, ...],
    ) -> None:
        running = self._running.get(query_id)
        if running is None or running.done.done():
            return
        now_ms = clock.now_ms()
        commands: list[querycommand.Command] = []
        for reply in replies:
            sent = running.sent.get(reply.call_id)
            if sent is None or sent.path.instance_id != instance_id:
                continue
            del running.sent[reply.call_id]
            if reply.status is message.CallStatus.ANSWERED:
                overhead_ms = now_ms - sent.sent_ms - reply.service_ms
                self._state.router.record_overhead(instance_id, overhead_ms)
            commands.extend(running.plan.on_reply(reply, now_ms))
        self._execute_commands(running, commands, now_ms)

    def on_undelivered(
        self, instance_id: str, sub_query: message.SubQuery
    ) -> None:
        """Replies `NOT_OWNER` to each call of a sub-query that was not sent.

        Args:
            instance_id: Peer that could not be reached.
            sub_query: Sub-query that was not sent.
        """
        self._state.pending_answers.record_unreachable(instance_id)
        replies = tuple(
            message.UpstreamReply(
                call_id=ask.call_id,
                upstream_id=ask.upstream_id,
                status=message.CallStatus.NOT_OWNER,
            )
            for ask in sub_query.asks
        )
        loop = asyncio.get_running_loop()
        loop.call_soon(
            self._on_replies, instance_id, sub_query.query_id, replies
        )

    def _record_completion(
        self,
        plan: queryplan.QueryPlan,
        profile: catalog.Profile,
        result: Result,
        admitted: queryadmission.AdmittedQuery,
    ) -> None:
        now_ms = clock.now_ms()
        elapsed_ms = now_ms - admitted.started_ms
        request = plan.query
        succeeded = isinstance(result, query.Answer) and not plan.was_shed
        self._admission.end(admitted, succeeded, now_ms)
        self._burn_counts.record_calls(
            request.service,
            plan.upstream_call_count,
            plan.extra_call_count,
            now_ms,
        )
        labels = {"service": request.service}
        self._metrics.upstream_calls.add(labels, plan.upstream_call_count)
        self._metrics.extra_calls.add(labels, plan.extra_call_count)
        self._count_result(request, profile, result, elapsed_ms)

    def _count_result(
        self,
        request: query.Query,
        profile: catalog.Profile,
        result: Result,
        elapsed_ms: float,
    ) -> None:
        now_ms = clock.now_ms()
        labels = {"service": request.service, "kind": request.urgency.value}
        match result:
            case query.Answer(coverage_ratio=coverage_ratio):
                self._burn_counts.record_answer(
                    request.service,
                    elapsed_ms,
                    profile.deadline_ms,
                    coverage_ratio,
                    now_ms,
                )
                self._metrics.requests.inc({**labels, "result": "answered"})
                service_labels = {"service": request.service}
                self._metrics.answer_latency_ms.observe(
                    service_labels, elapsed_ms
                )
                self._metrics.last_coverage_ratio.set(
                    service_labels, coverage_ratio
                )
            case refusal.Refusal(reason=reason):
                self._burn_counts.record_refusal(
                    request.service, reason.value, now_ms
                )
                self._metrics.requests.inc({**labels, "result": reason.value})
                limiter = self._admission.limiter_of(request.service)
                log.write(
                    log.Event.QUERY_REFUSED,
                    query_id=request.query_id,
                    service=request.service,
                    reason=reason.value,
                    detail=result.detail,
                    elapsed_ms=round(elapsed_ms),
                    limit=round(limiter.limit_count, 2),
                    in_progress=limiter.in_progress_count,
                )
