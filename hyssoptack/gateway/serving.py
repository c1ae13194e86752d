"""Serves callers' requests: routes them, runs their plans, writes answers."""

import asyncio
import dataclasses
import http
import random

from hyssoptack.core import clock
from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import beliefs
from hyssoptack.gateway import metrics
from hyssoptack.gateway import pool
from hyssoptack.http1 import callerside
from hyssoptack.http1 import message
from hyssoptack.http1 import upstreamside
from hyssoptack.platform import headers
from hyssoptack.policy import callcommand
from hyssoptack.policy import callplan
from hyssoptack.policy import comeback
from hyssoptack.policy import connections
from hyssoptack.policy import records
from hyssoptack.policy import routetable

ANSWER_MARGIN_MS = 8.0
"""Kept back from a goal for the way to the caller and back (2 ms, 4 ms with a
new connection) and for timers that fire late."""


def log_refusal(status: int, reason: str) -> None:
    """Logs a request that was refused before its id was known."""
    log.write(log.Event.REQUEST_UNREADABLE, status=status, reason=reason)


class Serving:
    """Serves requests from the beliefs of one instance."""

    def __init__(
        self,
        believed: beliefs.Beliefs,
        knowledge: callplan.Knowledge,
        failure_domain: str,
        counted: metrics.Metrics,
    ):
        self._beliefs = believed
        self._knowledge = knowledge
        self.metrics = counted
        self._failure_domain = failure_domain
        self.crowd = connections.Crowd()
        self.running: set[Running] = set()
        self._random = random.Random()

    def handle(self, exchange: callerside.Exchange) -> None:
        """Serves one request."""
        facts = headers.caller_facts(exchange.request)
        if isinstance(facts, str):
            exchange.answer(message.problem(http.HTTPStatus.BAD_REQUEST, facts))
            log_refusal(http.HTTPStatus.BAD_REQUEST, facts)
            return
        path = exchange.request.path.decode("latin-1")
        found = self._beliefs.table.find(facts.host, path)
        match found:
            case routetable.Miss.NOT_CONFIGURED:
                status = http.HTTPStatus.SERVICE_UNAVAILABLE
                self._refuse(exchange, facts, status, found.value)
            case routetable.Miss.NO_ROUTE:
                status = http.HTTPStatus.NOT_FOUND
                self._refuse(exchange, facts, status, found.value)
            case routetable.Found():
                Running(self, exchange, facts, found).start()

    def _refuse(
        self,
        exchange: callerside.Exchange,
        facts: headers.CallerFacts,
        status: int,
        reason: str,
    ) -> None:
        comes_back = status == http.HTTPStatus.SERVICE_UNAVAILABLE
        wait_ms = self.comeback_ms(reason) if comes_back else None
        self.metrics.requests.inc({"route": "", "status": str(status)})
        exchange.answer(message.problem(status, reason, wait_ms))
        log.write(
            log.Event.REQUEST_ENDED,
            request_id=facts.request_id.decode("latin-1"),
            host=facts.host,
            path=exchange.request.path.decode("latin-1"),
            status=status,
            reason=reason,
            version=self._beliefs.version,
        )

    def comeback_ms(self, reason: str) -> float:
        """Returns when a caller that is refused should come back."""
        domains = self._knowledge.domains
        cut_for_ms = clock.now_ms() - domains.cut_since_ms
        refusal = comeback.Refusal(
            cause=comeback.cause_of(reason),
            cut_for_ms=cut_for_ms if domains.cut else 0.0,
        )
        return comeback.wait_ms(refusal, self._random)

    def note_cut(self) -> None:
        """Ends what waits for other failure domains."""
        for each in tuple(self.running):
            each.note_cut()

    @property
    def beliefs(self) -> beliefs.Beliefs:
        """What requests are served from."""
        return self._beliefs

    @property
    def knowledge(self) -> callplan.Knowledge:
        """What plans draw on."""
        return self._knowledge

    def connection_limit_count(self, upstream: traffic.Upstream) -> int:
        """Returns how many connections to an upstream this instance may use."""
        configuration = self._beliefs.table.configuration
        service = (
            configuration.services.get(upstream.service)
            if configuration
            else None
        )
        if service is None:
            return 1
        return connections.limit_count(
            service.max_connections_count,
            upstream.failure_domain == self._failure_domain,
            self.crowd,
        )


@dataclasses.dataclass(kw_only=True)
class _Trace:
    """One call, for the log line of its request."""

    upstream_id: str
    service: str
    sent_ms: float
    extra: str
    outcome: str = "open"
    took_ms: float = 0.0

    def text(self, started_ms: float) -> str:
        """Returns the call as `upstream why +start took outcome`."""
        after_ms = self.sent_ms - started_ms
        why = self.extra or "first"
        return (
            f"{self.upstream_id} {why} +{after_ms:.0f} "
            f"{self.took_ms:.0f} {self.outcome}"
        )


class Running:
    """One request in progress."""

    def __init__(
        self,
        serving: Serving,
        exchange: callerside.Exchange,
        facts: headers.CallerFacts,
        found: routetable.Found,
    ):
        self._serving = serving
        self._exchange = exchange
        self._facts = facts
        self._route = found.route
        self._version = serving.beliefs.version
        self._now_ms = clock.now_ms()
        received_ms = exchange.request.received_ms
        self._wait_ms = found.route.timeout_ms
        if facts.deadline_ms is not None:
            self._wait_ms = min(self._wait_ms, facts.deadline_ms)
        self._deadline_at_ms = received_ms + (
            facts.deadline_ms
            if facts.deadline_ms is not None
            else found.route.timeout_ms
        )
        self._ask = callplan.Ask(
            route=found.route,
            services=found.services,
            goal_at_ms=received_ms + found.route.goal_ms - ANSWER_MARGIN_MS,
            ends_at_ms=received_ms + self._wait_ms,
        )
        self._plan = callplan.CallPlan(
            self._ask, serving.knowledge, self._now_ms
        )
        self._common = headers.forwarded(exchange.request)
        self._calls: dict[int, pool.Call] = {}
        self._traces: dict[int, _Trace] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Sends the first calls."""
        self._serving.running.add(self)
        self._exchange.on_left = self._left
        self._carry(self._plan.start(self._now_ms))

    def _carry(self, commands: list[callcommand.Command]) -> None:
        for command in commands:
            match command:
                case callcommand.Send():
                    self._send(command)
                case callcommand.Cancel(call_id=call_id):
                    self._cancel(call_id)
                case callcommand.Finish(result=result):
                    self._finish(result)
        if not self._plan.finished:
            self._arm()

    def _send(self, command: callcommand.Send) -> None:
        upstream = command.upstream
        call_id = command.call_id
        self._traces[call_id] = _Trace(
            upstream_id=upstream.upstream_id,
            service=upstream.service,
            sent_ms=self._now_ms,
            extra=command.extra,
        )
        if command.extra:
            self._log_extra(command)
        job = pool.Job(
            upstream=upstream,
            data=lambda: self._data(call_id, upstream),
            request_id=self._facts.request_id,
            to_head=self._exchange.request.method == b"HEAD",
            once=not self._route.idempotent,
            proven=bool(command.extra),
            sink=lambda outcome: self._on_outcome(call_id, outcome),
        )
        limit_count = self._serving.connection_limit_count(upstream)
        call = self._serving.beliefs.pools.call(job, limit_count)
        self._calls[call_id] = call
        if call.connection is None:
            self._plan.note_waiting(call_id)

    def _data(self, call_id: int, upstream: traffic.Upstream) -> bytes:
        self._plan.note_sent(call_id)
        remaining_ms = self._deadline_at_ms - clock.now_ms()
        return headers.upstream_request(self._common, upstream, remaining_ms)

    def _cancel(self, call_id: int) -> None:
        call = self._calls.pop(call_id, None)
        if call is not None:
            call.cancel()
            self._note(call_id, "cancelled")

    def _note(self, call_id: int, outcome: str) -> None:
        trace = self._traces[call_id]
        trace.outcome = outcome
        trace.took_ms = clock.now_ms() - trace.sent_ms
        answered = outcome == callcommand.Kind.ANSWERED.value
        self._serving.metrics.note_call(
            trace.service, outcome, trace.took_ms if answered else None
        )

    def _on_outcome(self, call_id: int, outcome: upstreamside.Outcome) -> None:
        self._now_ms = clock.now_ms()
        self._calls.pop(call_id, None)
        read = self._read(outcome)
        self._note(call_id, read.reason or read.kind.value)
        if not read.reached:
            self._log_unreachable(call_id, read)
        self._carry(self._plan.on_outcome(call_id, read, self._now_ms))

    def _read(self, outcome: upstreamside.Outcome) -> callcommand.Outcome:
        match outcome:
            case upstreamside.Broken(reason=reason, sent=False):
                return callcommand.Outcome(
                    kind=callcommand.Kind.NOT_RUN, reason=reason, reached=False
                )
            case upstreamside.Broken(reason=reason):
                return callcommand.Outcome(
                    kind=callcommand.Kind.FAILED, reason=reason
                )
            case message.Reply() if isinstance(
                self._route.target, traffic.AllShards
            ):
                return headers.part_outcome(outcome)
            case message.Reply():
                return headers.outcome(outcome)

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        wait_ms = max(0.0, self._plan.next_time_ms() - self._now_ms)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_ms / message.MS_PER_S, self._on_time)

    def _on_time(self) -> None:
        self._now_ms = clock.now_ms()
        self._carry(self._plan.on_time(self._now_ms))

    def note_cut(self) -> None:
        """Gives up on other failure domains."""
        self._now_ms = clock.now_ms()
        self._carry(self._plan.on_cut(self._now_ms))

    def _left(self) -> None:
        """Cancels everything: nobody waits for the answer."""
        self._now_ms = clock.now_ms()
        self._carry(self._plan.abandon(self._now_ms))
        self._end(0, "caller_left")

    def _finish(self, result: callcommand.Result) -> None:
        match result:
            case callcommand.Answer(replies=replies, part_count=part_count):
                reply = self._answer(replies, part_count)
                detail = f"{len(replies)}/{part_count}"
                self._serving.metrics.parts_left_out.add(
                    {"route": self._route.name}, part_count - len(replies)
                )
            case callcommand.Refuse(reason=detail):
                status = http.HTTPStatus.SERVICE_UNAVAILABLE
                wait_ms = self._serving.comeback_ms(detail)
                reply = message.problem(status, detail, wait_ms)
            case callcommand.Fail(
                reason=detail, reply=message.Reply() as failure
            ):
                reply = headers.single_reply(failure)
            case callcommand.Fail(reason=detail, timed_out=timed_out):
                status = (
                    http.HTTPStatus.GATEWAY_TIMEOUT
                    if timed_out
                    else http.HTTPStatus.BAD_GATEWAY
                )
                reply = message.problem(status, detail)
        self._exchange.answer(reply)
        self._end(reply.status, detail)

    def _answer(
        self, replies: tuple[message.Reply, ...], part_count: int
    ) -> message.Reply:
        match self._route.target:
            case traffic.AllShards(top_count=top_count):
                bodies = tuple(each.body for each in replies)
                return headers.merged_reply(
                    self._facts.request_id,
                    replies,
                    part_count,
                    records.greatest(bodies, top_count),
                )
            case _:
                return headers.single_reply(replies[0])

    def _end(self, status: int, detail: str) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._serving.running.discard(self)
        now_ms = clock.now_ms()
        started_ms = self._exchange.request.received_ms
        self._count(status, now_ms - started_ms)
        log.write(
            log.Event.REQUEST_ENDED,
            request_id=self._facts.request_id.decode("latin-1"),
            route=self._route.name,
            status=status,
            reason=detail,
            took_ms=round(now_ms - started_ms, 1),
            wait_ms=self._wait_ms,
            version=self._version,
            version_age_ms=round(now_ms - self._serving.beliefs.config_ms),
            list_age_ms=round(now_ms - self._serving.beliefs.listed_ms),
            calls=[each.text(started_ms) for each in self._traces.values()],
        )

    def _count(self, status: int, took_ms: float) -> None:
        counted = self._serving.metrics
        labels = {"route": self._route.name}
        counted.requests.inc({**labels, "status": str(status)})
        counted.request_ms.observe(labels, took_ms)

    def _log_extra(self, command: callcommand.Send) -> None:
        self._serving.metrics.extra_calls.inc(
            {"service": command.upstream.service, "why": command.extra}
        )
        log.write(
            log.Event.CALL_EXTRA,
            request_id=self._facts.request_id.decode("latin-1"),
            upstream=command.upstream.upstream_id,
            service=command.upstream.service,
            why=command.extra,
            after_ms=round(self._now_ms - self._exchange.request.received_ms),
        )

    def _log_unreachable(self, call_id: int, read: callcommand.Outcome) -> None:
        log.write(
            log.Event.UPSTREAM_UNREACHABLE,
            request_id=self._facts.request_id.decode("latin-1"),
            upstream=self._traces[call_id].upstream_id,
            reason=read.reason,
        )
