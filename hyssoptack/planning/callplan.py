"""The state machine of one request: events in, commands out.

A request has one part per service that it is sent to: a single service, or
every shard of an index. The runner passes in call outcomes and the current
time, and executes the returned commands. This module reads no clock or socket.

A call that did not run may always be retried; a call that may have run is
retried only if the route is idempotent. Every extra call spends from the
service's budget and counts towards the route's attempt limit.
"""

import collections.abc

from hyssoptack.balancing import callfeedback
from hyssoptack.core import traffic
from hyssoptack.hedging import hedgequeue
from hyssoptack.hedging import hedgetiming
from hyssoptack.membership import partitiondetector
from hyssoptack.planning import attempts
from hyssoptack.planning import callcommand
from hyssoptack.planning import callpart
from hyssoptack.planning import callresult
from hyssoptack.planning import extracalls
from hyssoptack.planning import opencalls
from hyssoptack.planning import plancontext
from hyssoptack.planning import shutdown
from hyssoptack.planning import timelimit
from hyssoptack.planning import upstreamchoice
from hyssoptack.quarantine import probeguard


class CallPlan:
    """Decides which calls one request makes and how the request ends.

    Attributes:
        request: The request.
        calls: The open calls.
        finished: Whether the request has ended.
        probe_guard: Queues calls while the request is sent as a probe, and
            rejects requests that crash upstreams.
        attempts: The attempts that the request may make from this instance.
    """

    def __init__(
        self,
        request: callcommand.PlanRequest,
        context: plancontext.PlanContext,
        now_ms: float,
    ):
        self.request = request
        self._context = context
        self._parts = callpart.Parts(
            request.services,
            callcommand.coverage_floor_count(
                request.route, len(request.services)
            ),
        )
        self._extra_calls = extracalls.ExtraCalls(
            context, request.services, self._parts
        )
        self.calls = opencalls.OpenCalls(
            context.load_balancer, request.route.name, request.may_have_run
        )
        self.finished = False
        self._started_ms = now_ms
        self._remote_tally = partitiondetector.RemoteCallTally()
        latency = context.load_balancer.latency_of(request.route.name)
        self._time_limit = timelimit.TimeLimit(
            request, self.calls, latency, now_ms
        )
        self._hedge_timing = hedgetiming.HedgeTiming(
            latency,
            request.route.latency_goal_ms,
            request.goal_at_ms,
            now_ms,
            len(request.services),
        )
        self._hedge_queue = hedgequeue.HedgeQueue(
            self._hedge_timing, self._can_hedge, context.mechanisms.dry_hedges
        )
        self.probe_guard = probeguard.ProbeGuard(
            context.suspect_registry, request.fingerprint
        )
        self.attempts = attempts.Attempts(request)
        self._choice = upstreamchoice.UpstreamChoice(
            request, context, self.probe_guard, self.attempts, self._time_limit
        )

    def start(self, now_ms: float) -> list[callcommand.Command]:
        """Returns the commands for the first calls, one for each part.

        If the coverage floor cannot be reached, or no time is left, nothing is
        sent and the request is refused as not run. A request known to crash
        upstreams is not sent either but fails, as earlier attempts have run.
        """
        if not self.probe_guard.admit(now_ms):
            return self._reject_crashing(now_ms)
        if limit_reason := self._time_limit.reason(now_ms):
            return self._finish(now_ms, limit_reason)
        chosen = [
            (part, self._choice.first_upstream(part, now_ms))
            for part in self._parts.all
        ]
        for part, upstream in chosen:
            if upstream is None:
                self._parts.abandon(part)
        if not self._parts.can_reach_floor():
            return self._finish(now_ms)
        commands: list[callcommand.Command] = []
        for part, upstream in chosen:
            if upstream is not None:
                commands.extend(self._send_first_call(part, upstream, now_ms))
        commands.extend(self._send_queued(now_ms))
        return commands + self._finish_if_due(now_ms)

    def _send_first_call(
        self, part: callpart.Part, upstream: traffic.Upstream, now_ms: float
    ) -> list[callcommand.Command]:
        if self.request.may_have_run:
            return self._send_to(part, upstream, now_ms, "taken_back")
        self._context.extra_call_budget.record_request(part.service, now_ms)
        return self._send_to(part, upstream, now_ms, "")

    def next_deadline_ms(self) -> float:
        """Returns the time at which `on_timeout` must be called next."""
        next_ms = self._time_limit.due_ms()
        if self.attempts.granted:
            next_ms = min(next_ms, self._hedge_queue.next_due_ms())
        if self._answers_at_goal():
            next_ms = min(next_ms, self.request.goal_at_ms)
        return next_ms

    def on_timeout(self, now_ms: float) -> list[callcommand.Command]:
        """Returns the commands that are due by time: hedges, or the end."""
        if self.finished:
            return []
        self._context.partition_detector.record_wait(
            self._remote_tally, now_ms - self._started_ms
        )
        commands: list[callcommand.Command] = []
        if self.attempts.granted:
            for call in self._hedge_queue.pop_due(now_ms):
                commands.extend(self._send_hedge(call, now_ms))
        return commands + self._finish_if_due(now_ms)

    def on_attempts_granted(self, now_ms: float) -> list[callcommand.Command]:
        """Grants the remaining attempts; sends deferred retries and hedges."""
        if self.finished or self.attempts.granted:
            return []
        retries, stalled = self.attempts.grant()
        commands: list[callcommand.Command] = []
        for part, reason in retries:
            if part.is_open():
                commands.extend(self._retry(part, reason, now_ms))
        commands.extend(self.on_stalled(stalled, now_ms))
        commands.extend(self._send_queued(now_ms))
        return commands + self.on_timeout(now_ms)

    def record_relayed(
        self, call_ids: collections.abc.Iterable[int], overdue_at_ms: float
    ) -> None:
        """Records calls that another instance makes and their overdue time."""
        self._hedge_queue.record_relayed(
            self.calls.still_open(call_ids), overdue_at_ms
        )

    def on_outcome(
        self, call_id: int, outcome: callcommand.Outcome, now_ms: float
    ) -> list[callcommand.Command]:
        """Processes the outcome of a call; ignores unknown calls."""
        call = self.calls.pop(call_id)
        if call is None:
            return []
        return self._process(call, outcome, now_ms) + self._send_queued(now_ms)

    def _process(
        self, call: callpart.Call, outcome: callcommand.Outcome, now_ms: float
    ) -> list[callcommand.Command]:
        callfeedback.record_outcome(
            self._context.load_balancer,
            self.request.route.name,
            call.upstream_id,
            call.created_ms,
            outcome,
            now_ms,
        )
        if call.cross_domain and outcome.reason != callresult.PARTITIONED:
            self._context.partition_detector.record_outcome(
                self._remote_tally, outcome.proves_alive
            )
        if self.finished:
            return []
        part = call.part
        part.last_reason = outcome.reason or outcome.kind.value
        if self.probe_guard.record_outcome(call, outcome, now_ms):
            return self._reject_crashing(now_ms)
        commands = self._apply_outcome(part, call.upstream_id, outcome, now_ms)
        return commands + self._finish_if_due(now_ms)

    def on_stalled(
        self, call_ids: collections.abc.Iterable[int], now_ms: float
    ) -> list[callcommand.Command]:
        """Hedges calls that are stalled at their upstreams.

        Other calls that the same instance made with them have been answered.
        """
        if not self.attempts.granted:
            self.attempts.defer_stalled(tuple(call_ids))
            return []
        commands: list[callcommand.Command] = []
        for call in self.calls.still_open(call_ids):
            if self._can_hedge(call.part):
                commands.extend(self._send_hedge(call, now_ms))
        return commands

    def on_partition(self, now_ms: float) -> list[callcommand.Command]:
        """Cancels calls to other failure domains, which cannot be answered.

        If the local domain cannot reach the floor, the request ends at once.
        """
        if self.finished:
            return []
        commands: list[callcommand.Command] = []
        for call in self.calls.all():
            if call.cross_domain and not self.finished:
                commands.append(callcommand.Cancel(call_id=call.call_id))
                commands.extend(
                    self.on_outcome(
                        call.call_id, callresult.partition_outcome(call), now_ms
                    )
                )
        return commands

    def on_quarantined(self, now_ms: float) -> list[callcommand.Command]:
        """Ends the request because it was found to crash upstreams."""
        if self.finished:
            return []
        if self._parts.answered_count:
            # An upstream answered it here; the reporter does not know it.
            self.probe_guard.clear_suspicion(now_ms)
            return []
        return self._reject_crashing(now_ms)

    def on_shutdown(
        self, started: shutdown.Shutdown, now_ms: float
    ) -> list[callcommand.Command]:
        """Ends the request before this process does, at once if due."""
        self._time_limit.shutdown = started
        return self._finish_if_due(now_ms)

    def on_caller_left(self, now_ms: float) -> list[callcommand.Command]:
        """Cancels all calls because the caller has disconnected."""
        self.finished = True
        self.probe_guard.record_end()
        return self._cancel_all(now_ms)

    def _apply_outcome(
        self,
        part: callpart.Part,
        upstream_id: str,
        outcome: callcommand.Outcome,
        now_ms: float,
    ) -> list[callcommand.Command]:
        if not part.is_open():
            return []
        match outcome.kind:
            case callcommand.OutcomeKind.ANSWERED:
                self._parts.record_answer(part, outcome.reply)
                self.probe_guard.record_answer(now_ms)
                self._hedge_timing.record_answer(now_ms)
                self.calls.has_run = True
                return self.calls.cancel(part, now_ms)
            case callcommand.OutcomeKind.FAILED:
                self.calls.has_run = True
                part.failure = outcome.reply or part.failure
                if outcome.reason in callresult.GATHERER_FAULTS:
                    part.tried_upstream_ids.discard(upstream_id)
                if not self.request.route.idempotent:
                    self._parts.abandon(part)
                    return []
                return self._retry(part, "retry", now_ms)
            case callcommand.OutcomeKind.NOT_RUN if not outcome.reached:
                # Nothing was sent: it uses up neither an attempt nor budget.
                part.record_unreached(upstream_id)
                if outcome.reason in callresult.GATHERER_FAULTS:
                    part.tried_upstream_ids.discard(upstream_id)
                return self._send(part, now_ms, "reroute")
            case callcommand.OutcomeKind.SHED | callcommand.OutcomeKind.NOT_RUN:
                if outcome.kind is callcommand.OutcomeKind.SHED:
                    part.shed_upstream_ids.append(upstream_id)
                return self._retry(part, outcome.kind.value, now_ms)

    def _retry(
        self, part: callpart.Part, reason: str, now_ms: float
    ) -> list[callcommand.Command]:
        """Retries a part if its attempts and budget allow it.

        If another call is open, it retries only below the coverage floor.
        """
        if part.calls and not self._parts.is_below_floor():
            return []
        if not self.attempts.granted:
            self.attempts.defer_retry(part, reason)
            return []
        upstream = self._choice.retry_upstream(part, now_ms)
        if upstream is not None:
            may_have_run = self.calls.may_have_run()
            if self._extra_calls.try_retry(part, may_have_run, now_ms):
                return self._send_to(part, upstream, now_ms, reason)
        if not part.calls:
            self._parts.abandon(part)
        return []

    def _send(
        self, part: callpart.Part, now_ms: float, extra_reason: str = ""
    ) -> list[callcommand.Command]:
        upstream = self._choice.untried_upstream(part, now_ms)
        if upstream is None:
            if not part.calls:
                self._parts.abandon(part)
            return []
        return self._send_to(part, upstream, now_ms, extra_reason)

    def _send_to(
        self,
        part: callpart.Part,
        upstream: traffic.Upstream,
        now_ms: float,
        extra_reason: str,
    ) -> list[callcommand.Command]:
        queued = probeguard.QueuedCall(
            part=part, upstream=upstream, extra_reason=extra_reason
        )
        if self.probe_guard.queue_if_probing(queued, self.calls.all()):
            return []
        call = self.calls.add(
            part,
            upstream,
            now_ms,
            cross_domain=self._choice.is_cross_domain(upstream),
            is_probe=self.probe_guard.is_probing,
        )
        self._remote_tally.sent_count += call.cross_domain
        self._hedge_queue.add(call)
        return [
            callcommand.Send(
                call_id=call.call_id,
                upstream=upstream,
                extra_reason=extra_reason,
                is_probe=call.is_probe,
                cross_domain_only=self._choice.is_cross_domain_only(part),
            )
        ]

    def _send_queued(self, now_ms: float) -> list[callcommand.Command]:
        """Sends the calls that were queued while the request was probed."""
        commands: list[callcommand.Command] = []
        while not self.finished:
            queued = self.probe_guard.next_queued(self.calls, now_ms)
            if queued is None:
                break
            part, reason = queued.part, queued.extra_reason
            if len(part.reached_upstream_ids) < self.attempts.limit_count:
                sends = self._send(part, now_ms, reason)
            else:
                # No further upstream is allowed: resend to one that shed it.
                sends = self._send_to(part, queued.upstream, now_ms, reason)
            commands += sends + self._finish_if_due(now_ms)
        return commands

    def _can_hedge(self, part: callpart.Part) -> bool:
        return (
            self.request.route.idempotent
            and self._context.mechanisms.hedges
            and part.is_open()
            and not part.hedged
            and len(part.calls) == 1
            and len(part.reached_upstream_ids) < self.attempts.limit_count
        )

    def _send_hedge(
        self, call: callpart.Call, now_ms: float
    ) -> list[callcommand.Command]:
        part = call.part
        if self._extra_calls.are_held_back:
            return []
        if not self._time_limit.allows_call(now_ms):
            return []
        part.hedged = True
        if not self._extra_calls.try_hedge(part, now_ms):
            return []
        relayed = call.overdue_at_ms is not None
        if relayed and self._choice.untried_upstream(part, now_ms) is None:
            # The relaying instance may be lost and the upstream healthy.
            part.tried_upstream_ids.discard(call.upstream_id)
        return self._send(part, now_ms, probeguard.HEDGE)

    def _cancel_all(self, now_ms: float) -> list[callcommand.Command]:
        commands: list[callcommand.Command] = []
        for part in self._parts.all:
            commands.extend(self.calls.cancel(part, now_ms))
        return commands

    @property
    def max_reached_count(self) -> int:
        """The largest number of upstreams that may have seen a single part."""
        return self._parts.max_reached_count()

    def _answers_at_goal(self) -> bool:
        """Returns whether the request ends at its latency goal."""
        return (
            self._context.mechanisms.answer_at_goal
            and self._parts.meets_floor()
        )

    def _finish_if_due(self, now_ms: float) -> list[callcommand.Command]:
        if self.finished:
            return []
        if not self._parts.open_count or not self._parts.can_reach_floor():
            return self._finish(now_ms)
        if now_ms >= self.request.goal_at_ms and self._answers_at_goal():
            return self._finish(now_ms)
        limit_reason = self._time_limit.reason(now_ms)
        return self._finish(now_ms, limit_reason) if limit_reason else []

    def _finish(
        self, now_ms: float, limit_reason: str = ""
    ) -> list[callcommand.Command]:
        result = callresult.request_result(
            self._parts,
            meets_floor=self._parts.meets_floor(),
            limit_reason=limit_reason,
            may_have_run=self.calls.may_have_run(),
        )
        return self._finish_with(result, now_ms)

    def _reject_crashing(self, now_ms: float) -> list[callcommand.Command]:
        reason = callresult.CRASHES_UPSTREAMS
        result = callcommand.Fail(reason=reason, timed_out=False)
        return self._finish_with(result, now_ms)

    def _finish_with(
        self, result: callcommand.Result, now_ms: float
    ) -> list[callcommand.Command]:
        self.finished = True
        self._context.partition_detector.record_wait(
            self._remote_tally, now_ms - self._started_ms
        )
        self.probe_guard.record_end()
        return [*self._cancel_all(now_ms), callcommand.Finish(result=result)]
