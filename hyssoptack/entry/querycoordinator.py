"""Runs queries: admits, carries out a plan's commands, hands back answers."""

import asyncio
import collections.abc
import dataclasses
import itertools
import random

from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.core import refusal
from hyssoptack.entry import burncounts
from hyssoptack.entry import metrics
from hyssoptack.entry import state
from hyssoptack.events import log
from hyssoptack.policy import admission
from hyssoptack.policy import querycommand
from hyssoptack.policy import queryplan
from hyssoptack.policy import routing
from hyssoptack.relay import relay

MS_PER_S = 1000.0

SendTo = collections.abc.Callable[[str, message.Message], bool]
"""Sends to an instance by name; False when its address is not known."""

Result = query.Answer | refusal.Refusal


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sent:
    """A call in flight: where it went and when."""

    lane: routing.RelayPath
    sent_ms: float


@dataclasses.dataclass(kw_only=True)
class _Running:
    """One query in flight."""

    plan: queryplan.QueryPlan
    service: catalog.Service
    done: asyncio.Future[Result]
    sent: dict[int, _Sent] = dataclasses.field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None


class QueryCoordinator:
    """Owns the queries of this instance's callers; runs on the event loop."""

    def __init__(
        self,
        knowledge: state.InstanceState,
        own_relay: relay.Relay,
        send_to: SendTo,
        counts: metrics.Metrics,
        burned: burncounts.BurnCounts,
        policy: admission.Policy,
    ):
        self._state = knowledge
        self._relay = own_relay
        self._send_to = send_to
        self._metrics = counts
        self._burn = burned
        self._policy = policy
        self._own_id = knowledge.settings.instance_id
        self._numbers = itertools.count(1)
        self._random = random.Random()
        self._running: dict[str, _Running] = {}
        self._gates: dict[str, admission.Limiter] = {}
        self.started_count = 0

    def in_flight_count(self) -> int:
        """Returns the queries in flight."""
        return len(self._running)

    def limiters(self) -> dict[str, admission.Limiter]:
        """Returns admission's view by service, for the operator port."""
        return self._gates

    def new_query_id(self) -> str:
        """Returns an identifier that no other query has."""
        return f"{self._state.incarnation}.{next(self._numbers)}"

    async def run_query(self, asked: query.Query) -> Result:
        """Runs a query to its final answer.

        Args:
            asked: The query; its service is known to be in the catalog.

        Returns:
            A whole answer, or a refusal.
        """
        now_ms = clock.now_ms()
        service = self._state.catalog.services[asked.service]
        profile = self._state.catalog.profiles[service.profile]
        gate = self._gate(asked.service)
        refused = self._admit(gate, asked)
        if refused is not None:
            self._count(asked, profile, refused, 0.0)
            return refused
        self._gates[asked.service] = admission.begin_query(gate, asked.urgency)
        self.started_count += 1
        plan = queryplan.QueryPlan(
            asked, profile, service, self._state.plan_context, now_ms
        )
        result = await self._run(plan, service, now_ms)
        self._close(plan, profile, result, now_ms)
        return result

    def _gate(self, service: str) -> admission.Limiter:
        front = self._state.settings.front
        if service not in self._gates:
            self._gates[service] = admission.new_limiter(
                front.max_query_count, front.urgent_reserve_count
            )
        return self._gates[service]

    def _admit(
        self, gate: admission.Limiter, asked: query.Query
    ) -> refusal.Refusal | None:
        match self._policy:
            case admission.AdmitAll():
                return None
            case admission.Adaptive():
                return self._admit_adaptively(gate, asked)

    def _admit_adaptively(
        self, gate: admission.Limiter, asked: query.Query
    ) -> refusal.Refusal | None:
        total = len(self._running)
        if total >= self._state.settings.front.max_query_count:
            decision: admission.Decision = admission.Overloaded(
                retry_after_ms=admission.RETRY_MIN_MS
                + int(gate.duration_ms * (1 + self._random.random()))
            )
        else:
            decision = admission.decide(
                gate, asked, self._random.random(), clock.now_ms()
            )
        if not isinstance(decision, admission.Admitted):
            self._gates[asked.service] = admission.record_refusal(
                gate, asked.urgency, clock.now_ms()
            )
        match decision:
            case admission.Admitted():
                return None
            case admission.Overloaded(retry_after_ms=retry_after_ms):
                return refusal.Refusal(
                    reason=refusal.Reason.OVERLOADED,
                    ran=refusal.Ran.NO,
                    detail="too many queries are in flight for this service",
                    retry_after_ms=retry_after_ms,
                )
            case admission.DeadlineTooShort(expected_ms=expected_ms):
                return refusal.Refusal(
                    reason=refusal.Reason.DEADLINE_TOO_SHORT,
                    ran=refusal.Ran.NO,
                    detail=f"answers take about {expected_ms:.0f} ms now",
                    retry_after_ms=int(expected_ms),
                )

    async def _run(
        self,
        plan: queryplan.QueryPlan,
        service: catalog.Service,
        now_ms: float,
    ) -> Result:
        running = _Running(
            plan=plan,
            service=service,
            done=asyncio.get_running_loop().create_future(),
        )
        self._running[plan.query.query_id] = running
        try:
            self._carry(running, plan.start(now_ms), now_ms)
            return await running.done
        finally:
            del self._running[plan.query.query_id]
            if running.timer is not None:
                running.timer.cancel()

    def _carry(
        self,
        running: _Running,
        commands: list[querycommand.Command],
        now_ms: float,
    ) -> None:
        """Carries out a plan's commands, one message for each relay."""
        asks: dict[str, list[message.UpstreamAsk]] = {}
        drops: dict[str, list[int]] = {}
        result: Result | None = None
        for command in commands:
            match command:
                case querycommand.Send(path=lane):
                    group = asks.setdefault(lane.instance_id, [])
                    group.append(self._note_ask(running, command, now_ms))
                case querycommand.Cancel(
                    call_id=call_id, instance_id=instance_id
                ):
                    running.sent.pop(call_id, None)
                    drops.setdefault(instance_id, []).append(call_id)
                case querycommand.Finish(result=finished):
                    result = finished
        for instance_id, call_ids in drops.items():
            self._send_cancel(running, instance_id, tuple(call_ids))
        for instance_id, group in asks.items():
            self._send_asks(running, instance_id, tuple(group), now_ms)
        if result is not None and not running.done.done():
            running.done.set_result(result)
        else:
            self._arm(running, now_ms)

    def _note_ask(
        self, running: _Running, ask: querycommand.Send, now_ms: float
    ) -> message.UpstreamAsk:
        running.sent[ask.call_id] = _Sent(lane=ask.path, sent_ms=now_ms)
        return message.UpstreamAsk(
            call_id=ask.call_id,
            upstream_id=ask.path.upstream_id,
            index_version=ask.index_version,
        )

    def _send_cancel(
        self, running: _Running, instance_id: str, call_ids: tuple[int, ...]
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
        running: _Running,
        instance_id: str,
        asks: tuple[message.UpstreamAsk, ...],
        now_ms: float,
    ) -> None:
        asked = running.plan.query
        sub = message.SubQuery(
            origin=self._own_id,
            query_id=asked.query_id,
            service=asked.service,
            text=asked.text,
            limit_count=asked.limit_count,
            urgency=asked.urgency,
            remaining_ms=running.plan.end_ms - now_ms,
            asks=asks,
        )
        if instance_id == self._own_id:
            self._relay.run_sub_query(sub, self._local_sink(asked.query_id))
            return
        self._state.pending_answers.record_request(instance_id, now_ms)
        if not self._send_to(instance_id, sub):
            self.on_undelivered(instance_id, sub)

    def _local_sink(self, query_id: str) -> relay.OnReplies:
        """Returns where the own relay's replies go: never re-entrant."""
        loop = asyncio.get_running_loop()

        def sink(replies: tuple[message.UpstreamReply, ...]) -> None:
            loop.call_soon(self._on_replies, self._own_id, query_id, replies)

        return sink

    def _arm(self, running: _Running, now_ms: float) -> None:
        """Sets the timer for the plan's next step in time."""
        if running.timer is not None:
            running.timer.cancel()
        wait_s = max(0.0, running.plan.next_deadline_ms() - now_ms) / MS_PER_S
        loop = asyncio.get_running_loop()
        running.timer = loop.call_later(wait_s, self._on_time, running)

    def _on_time(self, running: _Running) -> None:
        if running.done.done():
            return
        now_ms = clock.now_ms()
        self._carry(running, running.plan.on_timeout(now_ms), now_ms)

    def on_sub_answer(self, answer: message.SubAnswer) -> None:
        """Takes upstream replies from a peer's relay."""
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
        # The query is over; what its late answers show is still of use.
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
            if sent is None or sent.lane.instance_id != instance_id:
                continue
            del running.sent[reply.call_id]
            if reply.status is message.CallStatus.ANSWERED:
                added_ms = now_ms - sent.sent_ms - reply.service_ms
                self._state.router.record_overhead(instance_id, added_ms)
            commands.extend(running.plan.on_reply(reply, now_ms))
        self._carry(running, commands, now_ms)

    def on_undelivered(self, instance_id: str, sub: message.SubQuery) -> None:
        """Takes back a sub-query that could not be sent to a peer."""
        self._state.pending_answers.record_unreachable(instance_id)
        replies = tuple(
            message.UpstreamReply(
                call_id=ask.call_id,
                upstream_id=ask.upstream_id,
                status=message.CallStatus.NOT_OWNER,
            )
            for ask in sub.asks
        )
        loop = asyncio.get_running_loop()
        loop.call_soon(self._on_replies, instance_id, sub.query_id, replies)

    def _close(
        self,
        plan: queryplan.QueryPlan,
        profile: catalog.Profile,
        result: Result,
        started_ms: float,
    ) -> None:
        now_ms = clock.now_ms()
        elapsed_ms = now_ms - started_ms
        asked = plan.query
        good = isinstance(result, query.Answer) and not plan.was_shed
        self._gates[asked.service] = admission.end_query(
            self._gates[asked.service],
            asked.urgency,
            elapsed_ms,
            good,
            asked.deadline_ms,
            now_ms,
        )
        self._burn.record_calls(
            asked.service,
            plan.upstream_call_count,
            plan.extra_call_count,
            now_ms,
        )
        labels = {"service": asked.service}
        self._metrics.upstream_calls.add(labels, plan.upstream_call_count)
        self._metrics.extra_calls.add(labels, plan.extra_call_count)
        self._count(asked, profile, result, elapsed_ms)

    def _count(
        self,
        asked: query.Query,
        profile: catalog.Profile,
        result: Result,
        elapsed_ms: float,
    ) -> None:
        now_ms = clock.now_ms()
        labels = {"service": asked.service, "kind": asked.urgency.value}
        match result:
            case query.Answer(coverage_ratio=coverage_ratio):
                self._burn.record_answer(
                    asked.service,
                    elapsed_ms,
                    profile.deadline_ms,
                    coverage_ratio,
                    now_ms,
                )
                self._metrics.requests.inc({**labels, "result": "answered"})
                name = {"service": asked.service}
                self._metrics.answer_latency_ms.observe(name, elapsed_ms)
                self._metrics.last_coverage_ratio.set(name, coverage_ratio)
            case refusal.Refusal(reason=reason):
                self._burn.record_refusal(asked.service, reason.value, now_ms)
                self._metrics.requests.inc({**labels, "result": reason.value})
                log.write(
                    log.Event.QUERY_REFUSED,
                    query_id=asked.query_id,
                    service=asked.service,
                    reason=reason.value,
                    detail=result.detail,
                )
