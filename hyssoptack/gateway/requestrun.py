"""Runs one request by executing the commands of its call plan."""

import asyncio
import http

from hyssoptack.core import clock
from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import callrelay
from hyssoptack.gateway import callrequest
from hyssoptack.gateway import calltrace
from hyssoptack.gateway import inbound
from hyssoptack.gateway import runcontext
from hyssoptack.gateway import runlog
from hyssoptack.gateway import upstreampool
from hyssoptack.http1 import httpclient
from hyssoptack.http1 import message
from hyssoptack.planning import callcommand
from hyssoptack.planning import callplan
from hyssoptack.planning import callresult
from hyssoptack.planning import records
from hyssoptack.planning import shutdown
from hyssoptack.platform import headers

TIMER_LATE_MS = 3.0
"""Lateness above which a timer was delayed by this process. Replies may already
wait in its sockets, so they are read before the plan times out."""


class RequestRun:
    """A request in progress, from its first calls to its answer."""

    def __init__(
        self,
        handler: runcontext.RunContext,
        request: inbound.RoutedRequest,
        *,
        may_have_run: bool = False,
        awaits_grant: bool = False,
    ):
        """Creates the run without starting it.

        Args:
            handler: The request handler of this instance.
            request: The request to run.
            may_have_run: Whether a neighbour may have run part of the request.
            awaits_grant: Whether the neighbour that delegated the request may
                still take it back.
        """
        exchange, metadata, route_match = (
            request.exchange,
            request.metadata,
            request.route_match,
        )
        self._handler = handler
        self._request = request
        self._shed_count = 0
        self._exchange = exchange
        self._metadata = metadata
        self._route = route_match.route
        self._version = request.version
        self._now_ms = clock.now_ms()
        received_ms = exchange.request.received_ms
        self._spent_ms = request.caller_spent_ms
        self._team_name = request.team_name
        self._team_fields = request.team_fields
        self._time_limit_ms = request.time_limit_ms
        self._caller_deadline_at_ms = received_ms + (
            metadata.deadline_ms
            if metadata.deadline_ms is not None
            else route_match.route.timeout_ms
        )
        self._plan_request = callcommand.PlanRequest(
            route=route_match.route,
            services=route_match.services,
            goal_at_ms=request.goal_at_ms(self._now_ms),
            deadline_at_ms=request.deadline_at_ms,
            may_have_run=may_have_run,
            awaits_grant=awaits_grant,
            fingerprint=request.fingerprint,
            team_priority=request.team.priority if request.team else None,
        )
        self._plan = callplan.CallPlan(
            self._plan_request, handler.plan_context, self._now_ms
        )
        self.fingerprint = request.fingerprint
        self._forwarded = headers.forwarded_request(
            exchange.request, self._team_name
        )
        self._calls: dict[int, upstreampool.Call] = {}
        self._traces: dict[int, calltrace.Trace] = {}
        self._relayed: list[callrelay.PendingRelay] = []
        match route_match.route.target:
            case traffic.AllShards(top_count=top_count):
                self._top_count = top_count
            case _:
                self._top_count = None
        # A gatherer needs records, and replies to HEAD have no body.
        is_head = exchange.request.method == b"HEAD"
        self._may_relay = self._top_count is not None and not is_head
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = 0.0

    def start(self) -> None:
        """Starts the plan and sends the first calls."""
        self._handler.active_runs.add(self)
        self._exchange.on_abandoned = self._on_caller_left
        started = self._handler.shutdown
        if started is not None:
            self.on_shutdown(started)
        if not self._plan.finished:
            self._execute(self._plan.start(self._now_ms))

    def _execute(self, commands: list[callcommand.Command]) -> None:
        self._send_calls(callcommand.lasting_sends(commands))
        for command in commands:
            match command:
                case callcommand.Send():
                    pass
                case callcommand.Cancel(call_id=call_id):
                    self._cancel(call_id)
                case callcommand.Finish(result=result):
                    self._finish(result)
        if not self._plan.finished:
            self._schedule_timer()

    def _send_calls(self, sends: list[callcommand.Send]) -> None:
        """Sends calls directly or relays them to the upstreams' domains."""
        local_sends: list[callcommand.Send] = []
        relayed_sends: dict[str, list[callcommand.Send]] = {}
        for each in sends:
            self._traces[each.call_id] = calltrace.Trace(
                upstream_id=each.upstream.upstream_id,
                service=each.upstream.service,
                sent_ms=self._now_ms,
                extra_reason=each.extra_reason,
                list_age_ms=self._now_ms - self._handler.view.list_read_ms,
                list_revision=self._handler.view.list_revision,
            )
            if each.extra_reason:
                runlog.log_extra_call(
                    self._handler.metrics,
                    self._request,
                    each,
                    self._now_ms - self._exchange.request.received_ms,
                )
            domain = each.upstream.failure_domain
            if self._should_relay(each):
                relayed_sends.setdefault(domain, []).append(each)
            else:
                local_sends.append(each)
        # Relayed calls go first because they travel further, and opening 18
        # connections for local calls takes 2 ms.
        for domain, calls in relayed_sends.items():
            self._relay(domain, calls)
        for each in local_sends:
            self._send(each)

    def _should_relay(self, command: callcommand.Send) -> bool:
        """Returns whether an instance in the upstream's domain makes the call.

        Calls are relayed only if the service has no upstream in this instance's
        failure domain. A call that crosses domains to avoid load was selected
        at the cost of a direct call. Relaying those calls as well, at 3.5 times
        the usual load with all shards in each domain, sent 1.8 times the bytes
        across domains, and 47 in 100 requests were served in time instead of
        53.
        """
        return (
            self._may_relay
            and command.cross_domain_only
            and not command.is_probe
            and self._handler.can_relay_to(command.upstream.failure_domain)
        )

    def _relay(self, domain: str, calls: list[callcommand.Send]) -> None:
        peer = self._handler.call_relay.choose_gatherer(domain)
        if peer is None:
            for each in calls:
                self._send(each)
            return
        for each in calls:
            self._traces[each.call_id].gatherer_id = peer.instance_id
        query = callrelay.RelayedQuery(
            request_id=self._metadata.request_id,
            route_name=self._route.name,
            top_count=self._top_count,
            fingerprint=self.fingerprint,
            forwarded=self._forwarded,
            deadline_at_ms=self._caller_deadline_at_ms,
            goal_at_ms=self._plan_request.goal_at_ms,
            on_outcomes=self._on_relayed,
        )
        relayed = self._handler.call_relay.relay(peer, query, calls)
        self._relayed.append(relayed)
        call_ids = [each.call_id for each in calls]
        self._plan.record_relayed(call_ids, relayed.overdue_at_ms)

    def _send(self, command: callcommand.Send) -> None:
        upstream = command.upstream
        call_id = command.call_id
        job = callrequest.CallRequest(
            upstream=upstream,
            build_request=lambda: self._build_request(call_id, upstream),
            request_id=self._metadata.request_id,
            is_head=self._exchange.request.method == b"HEAD",
            needs_new_connection=command.is_probe or not self._route.idempotent,
            needs_recent_connection=bool(command.extra_reason),
            on_outcome=lambda outcome: self._on_outcome(call_id, outcome),
            fingerprint=self.fingerprint,
        )
        limit_count = self._handler.connection_limit_count(upstream)
        call = self._handler.view.pools.call(job, limit_count)
        self._calls[call_id] = call
        if call.connection is None:
            self._plan.calls.mark_unsent(call_id)

    def _build_request(self, call_id: int, upstream: traffic.Upstream) -> bytes:
        self._plan.calls.mark_sent(call_id)
        now_ms = clock.now_ms()
        trace, view = self._traces[call_id], self._handler.view
        trace.list_age_ms = now_ms - view.list_read_ms
        trace.list_revision = view.list_revision
        remaining_ms = self._caller_deadline_at_ms - now_ms
        return headers.upstream_request(self._forwarded, upstream, remaining_ms)

    def _cancel(self, call_id: int) -> None:
        call = self._calls.pop(call_id, None)
        if call is not None:
            call.cancel()
        trace = self._traces.get(call_id)
        if trace is not None and trace.outcome == calltrace.OPEN:
            self._record_outcome(call_id, "cancelled")

    def _record_outcome(self, call_id: int, outcome: str) -> None:
        trace = self._traces[call_id]
        trace.outcome = outcome
        trace.took_ms = clock.now_ms() - trace.sent_ms
        answered = outcome == callcommand.OutcomeKind.ANSWERED.value
        self._handler.metrics.record_call(
            trace.service, outcome, trace.took_ms if answered else None
        )

    def _on_outcome(self, call_id: int, outcome: httpclient.Outcome) -> None:
        self._now_ms = clock.now_ms()
        self._calls.pop(call_id, None)
        if isinstance(outcome, message.Reply):
            self._handler.record_reply(self._route.name, outcome)
        call_outcome = headers.call_outcome(
            outcome, self._top_count is not None
        )
        self._record_and_log_outcome(call_id, call_outcome)
        self._execute(
            self._plan.on_outcome(call_id, call_outcome, self._now_ms)
        )

    def _record_and_log_outcome(
        self, call_id: int, call_outcome: callcommand.Outcome
    ) -> None:
        self._record_outcome(
            call_id, call_outcome.reason or call_outcome.kind.value
        )
        if not call_outcome.reached:
            runlog.log_unreachable(
                self._request, self._traces[call_id], call_outcome
            )
        self._shed_count += self._handler.counts_as_shed(
            self._traces[call_id], call_outcome
        )

    def _on_relayed(
        self,
        outcomes: dict[int, callcommand.Outcome],
        waiting: tuple[int, ...],
    ) -> None:
        """Records outcomes of calls that another instance made.

        Args:
            outcomes: The outcomes by call id.
            waiting: Ids of calls that still wait for their upstreams.
        """
        self._now_ms = clock.now_ms()
        commands: list[callcommand.Command] = []
        for call_id, call_outcome in outcomes.items():
            if self._traces[call_id].outcome == calltrace.OPEN:
                self._record_and_log_outcome(call_id, call_outcome)
            commands.extend(
                self._plan.on_outcome(call_id, call_outcome, self._now_ms)
            )
        commands.extend(self._plan.on_stalled(waiting, self._now_ms))
        self._execute(commands)

    def _schedule_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_ms = max(self._now_ms, self._plan.next_deadline_ms())
        self._start_timer(self._timer_due_ms - self._now_ms)

    def _start_timer(self, wait_ms: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            wait_ms / message.MS_PER_S, self._on_timer
        )

    def _on_timer(self) -> None:
        self._now_ms = clock.now_ms()
        if self._now_ms - self._timer_due_ms > TIMER_LATE_MS:
            # The event loop runs timers before it reads sockets; the new timer
            # lets it read the replies that have arrived.
            self._timer_due_ms = self._now_ms
            self._start_timer(0.0)
            return
        for each in self._relayed:
            each.check_overdue(self._now_ms)
        self._execute(self._plan.on_timeout(self._now_ms))

    def on_attempts_granted(self) -> None:
        """Lets the plan use all attempts of a delegated request.

        Called when the neighbour that delegated the request has confirmed that
        it will not take the request back.
        """
        self._now_ms = clock.now_ms()
        self._execute(self._plan.on_attempts_granted(self._now_ms))

    def on_partition(self) -> None:
        """Abandons calls to other failure domains, which are unreachable."""
        self._now_ms = clock.now_ms()
        self._execute(self._plan.on_partition(self._now_ms))

    def on_shutdown(self, started: shutdown.Shutdown) -> None:
        """Ends the request before this process does."""
        self._now_ms = clock.now_ms()
        self._execute(self._plan.on_shutdown(started, self._now_ms))

    def on_quarantined(self) -> None:
        """Fails the request because its fingerprint is quarantined."""
        self._now_ms = clock.now_ms()
        self._execute(self._plan.on_quarantined(self._now_ms))

    def _on_caller_left(self) -> None:
        """Cancels all calls, because the caller has disconnected."""
        self._now_ms = clock.now_ms()
        self._execute(self._plan.on_caller_left(self._now_ms))
        self._end(0, "caller_left")

    def _finish(self, result: callcommand.Result) -> None:
        match result:
            case callcommand.Answer(replies=replies, part_count=part_count):
                reply = self._answer(replies, part_count)
                detail = f"{len(replies)}/{part_count}"
                self._handler.metrics.missing_parts.add(
                    {"route": self._route.name}, part_count - len(replies)
                )
            case callcommand.Refuse(reason=detail):
                status = http.HTTPStatus.SERVICE_UNAVAILABLE
                wait_ms = self._handler.refusals.retry_delay_ms(detail)
                reply = message.problem_reply(status, detail, wait_ms)
            case callcommand.Fail(
                reason=detail, reply=message.Reply() as failure
            ):
                reply = headers.single_reply(failure)
            case callcommand.Fail(reason=detail, timed_out=timed_out):
                if detail == callresult.CRASHES_UPSTREAMS:
                    self._handler.metrics.suspicion_events.inc(
                        {"what": "refused"}
                    )
                status = (
                    http.HTTPStatus.GATEWAY_TIMEOUT
                    if timed_out
                    else http.HTTPStatus.BAD_GATEWAY
                )
                reply = message.problem_reply(status, detail)
        self._exchange.answer(reply)
        self._record_lateness(result)
        self._end(reply.status, detail)

    def _record_lateness(self, result: callcommand.Result) -> None:
        """Records the delay of a partial answer sent at the latency goal."""
        decided_at_ms, goal_at_ms = self._now_ms, self._plan_request.goal_at_ms
        match result:
            case callcommand.Answer(replies=replies, part_count=part_count) if (
                len(replies) < part_count and decided_at_ms >= goal_at_ms
            ):
                self._handler.record_lateness(clock.now_ms() - goal_at_ms)

    def _answer(
        self, replies: tuple[message.Reply, ...], part_count: int
    ) -> message.Reply:
        if self._top_count is None:
            return headers.single_reply(replies[0])
        bodies = tuple(each.body for each in replies)
        return headers.merged_reply(
            self._metadata.request_id,
            replies,
            part_count,
            records.merge_greatest(bodies, self._top_count),
        )

    def _end(self, status: int, detail: str) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._handler.active_runs.discard(self)
        for each in self._relayed:
            each.cancel()
        now_ms = clock.now_ms()
        started_ms = self._exchange.request.received_ms
        runlog.count_request(
            self._handler.metrics,
            self._route.name,
            status,
            now_ms - started_ms,
            self._plan.max_reached_count >= self._plan.attempts.limit_count,
        )
        in_time = now_ms <= self._plan_request.goal_at_ms
        self._handler.record_end(
            self._request, status, in_time, self._shed_count
        )
        log.write(
            log.Event.REQUEST_ENDED,
            request_id=self._metadata.request_id.decode("latin-1"),
            fingerprint=self.fingerprint,
            route=self._route.name,
            status=status,
            reason=detail,
            took_ms=round(now_ms - started_ms, 1),
            wait_ms=self._time_limit_ms,
            spent_ms=round(self._spent_ms, 1),
            version=self._version,
            version_age_ms=round(now_ms - self._handler.view.config_applied_ms),
            attempts_count=self._plan.attempts.limit_count,
            widest_count=self._plan.max_reached_count,
            calls=[each.describe(started_ms) for each in self._traces.values()],
            **calltrace.list_fields(self._traces.values()),
            **self._handler.stall_fields(started_ms),
            **self._request.held_fields,
            **self._target_fields(),
            **self._team_fields,
        )

    def _target_fields(self) -> dict[str, str]:
        """Returns log fields for a request during which upstreams exited."""
        if not self._plan.probe_guard.crash_count:
            return {}
        return calltrace.target_fields(
            self._metadata.host, self._exchange.request.target
        )
