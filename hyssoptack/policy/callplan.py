"""The decisions for one request, as events in and commands out.

A request has one part for each service that it goes to: one, or all shards of
an index. The runner feeds outcomes of calls and the time, and carries out the
commands. Nothing here reads a clock or a socket.

What may be sent again: a call that did not run, always; one that may have run,
only where the route is idempotent. Each extra call is paid from the service's
budget and counts towards the route's attempts.
"""

import collections.abc

from hyssoptack.core import traffic
from hyssoptack.policy import attempts
from hyssoptack.policy import callcommand
from hyssoptack.policy import callfeedback
from hyssoptack.policy import callpart
from hyssoptack.policy import callresult
from hyssoptack.policy import hedgequeue
from hyssoptack.policy import hedgetiming
from hyssoptack.policy import opencalls
from hyssoptack.policy import partitiondetector
from hyssoptack.policy import plancontext
from hyssoptack.policy import probeguard
from hyssoptack.policy import upstreamchoice

HEDGE_RESERVE_COUNT = 1.0
"""Tokens that a hedge leaves where the answer can do without it: for retries
after failures, and for queries that would miss their floor. One that can't do
without takes the last token: an answer that is late by one part loses nine
tenths of its use, one that leaves the part out a twentieth."""

DEADLINE_MARGIN_MS = 10.0
"""Kept back from the caller's deadline to write the answer and carry it."""


class CallPlan:
    """One request's decisions."""

    def __init__(
        self,
        ask: callcommand.PlanRequest,
        knowledge: plancontext.PlanContext,
        now_ms: float,
    ):
        self.request = ask
        self._know = knowledge
        self._parts = callpart.Parts(
            ask.services,
            callcommand.coverage_floor_count(ask.route, len(ask.services)),
        )
        self.calls = opencalls.OpenCalls(
            knowledge.load_balancer, ask.route.name
        )
        self._may_have_run = ask.may_have_run
        self.finished = False
        self._started_ms = now_ms
        self._tally = partitiondetector.RemoteCallTally()
        self._ends_ms = max(now_ms, ask.deadline_at_ms - DEADLINE_MARGIN_MS)
        self._hedge_time = hedgetiming.HedgeTiming(
            knowledge.load_balancer.latency_of(ask.route.name),
            ask.route.latency_goal_ms,
            ask.goal_at_ms,
            now_ms,
            len(ask.services),
        )
        self._hedges = hedgequeue.HedgeQueue(
            self._hedge_time,
            self._may_hedge,
            knowledge.mechanisms.dry_hedges,
        )
        self.caution = probeguard.ProbeGuard(
            knowledge.suspicions, ask.fingerprint
        )
        self.attempts = attempts.Attempts(ask)
        self._choice = upstreamchoice.UpstreamChoice(
            ask, knowledge, self.caution, self.attempts
        )

    def start(self, now_ms: float) -> list[callcommand.Command]:
        """Returns the first calls, one for each part.

        Nothing is sent where the floor is out of reach from the start: the
        caller is then told that nothing ran. Nor is what crashes upstreams:
        earlier attempts have run.
        """
        if not self.caution.admit(now_ms):
            return self._give_up(now_ms)
        chosen = [
            (part, self._choice.first_upstream(part, now_ms))
            for part in self._parts.all
        ]
        for part, upstream in chosen:
            if upstream is None:
                self._parts.abandon(part)
        if not self._parts.can_reach_floor():
            return self._finish(now_ms, timed_out=False)
        commands: list[callcommand.Command] = []
        for part, upstream in chosen:
            if upstream is not None:
                commands.extend(self._send_first(part, upstream, now_ms))
        commands.extend(self._release(now_ms))
        return commands + self._finish_if_due(now_ms)

    def _send_first(
        self, part: callpart.Part, upstream: traffic.Upstream, now_ms: float
    ) -> list[callcommand.Command]:
        if self.request.may_have_run:
            return self._send_to(part, upstream, now_ms, "taken_back")
        self._know.extra_call_budget.record_request(part.service, now_ms)
        return self._send_to(part, upstream, now_ms, "")

    def next_deadline_ms(self) -> float:
        """Returns when `on_time` should be called next."""
        next_ms = self._ends_ms
        if self.attempts.granted:
            next_ms = min(next_ms, self._hedges.next_due_ms())
        if self._answers_at_goal():
            next_ms = min(next_ms, self.request.goal_at_ms)
        return next_ms

    def on_timeout(self, now_ms: float) -> list[callcommand.Command]:
        """Returns what time alone brings: hedges, or the end."""
        if self.finished:
            return []
        self._know.partition_detector.record_wait(
            self._tally, now_ms - self._started_ms
        )
        commands: list[callcommand.Command] = []
        if self.attempts.granted:
            for call in self._hedges.pop_due(now_ms):
                commands.extend(self._hedge(call, now_ms))
        return commands + self._finish_if_due(now_ms)

    def on_attempts_granted(self, now_ms: float) -> list[callcommand.Command]:
        """Takes that the route's other attempts may be made from here."""
        if self.finished or self.attempts.granted:
            return []
        retries, dried_up = self.attempts.grant()
        commands: list[callcommand.Command] = []
        for part, why in retries:
            if part.is_open():
                commands.extend(self._again(part, why, now_ms))
        commands.extend(self.on_stalled(dried_up, now_ms))
        commands.extend(self._release(now_ms))
        return commands + self.on_timeout(now_ms)

    def record_relayed(
        self, call_ids: collections.abc.Iterable[int], overdue_at_ms: float
    ) -> None:
        """Notes calls that another instance makes.

        Args:
            call_ids: The calls.
            overdue_at_ms: When word of them is overdue.
        """
        self._hedges.record_relayed(
            self.calls.still_open(call_ids), overdue_at_ms
        )

    def on_outcome(
        self, call_id: int, outcome: callcommand.Outcome, now_ms: float
    ) -> list[callcommand.Command]:
        """Takes what became of a call; an unknown call changes nothing."""
        call = self.calls.pop(call_id)
        if call is None:
            return []
        return self._on_outcome(call, outcome, now_ms) + self._release(now_ms)

    def _on_outcome(
        self,
        call: callpart.Call,
        outcome: callcommand.Outcome,
        now_ms: float,
    ) -> list[callcommand.Command]:
        callfeedback.record_outcome(
            self._know.load_balancer,
            self.request.route.name,
            call.upstream_id,
            call.created_ms,
            outcome,
            now_ms,
        )
        if call.cross_domain and outcome.reason != callresult.PARTITIONED:
            self._know.partition_detector.record_outcome(
                self._tally, outcome.proves_alive
            )
        if self.finished:
            return []
        part = call.part
        part.last_reason = outcome.reason or outcome.kind.value
        if self.caution.record_outcome(call, outcome, now_ms):
            return self._give_up(now_ms)
        commands = self._take(part, call.upstream_id, outcome, now_ms)
        return commands + self._finish_if_due(now_ms)

    def on_stalled(
        self, call_ids: collections.abc.Iterable[int], now_ms: float
    ) -> list[callcommand.Command]:
        """Hedges calls that wait for their upstreams.

        Args:
            call_ids: The calls: those made beside them have been answered.
            now_ms: The time now.
        """
        if not self.attempts.granted:
            self.attempts.defer_stalled(tuple(call_ids))
            return []
        commands: list[callcommand.Command] = []
        for call in self.calls.still_open(call_ids):
            if self._may_hedge(call.part):
                commands.extend(self._hedge(call, now_ms))
        return commands

    def on_partition(self, now_ms: float) -> list[callcommand.Command]:
        """Gives up on calls into other failure domains: nothing comes back.

        What the own domain can't cover ends at once, rather than when the
        caller's time is over.
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
        """Gives up on a request that was found to crash upstreams."""
        if self.finished:
            return []
        if self._parts.answered_count:
            # It was answered here: whoever found so lacks that.
            self.caution.clear_suspicion(now_ms)
            return []
        return self._give_up(now_ms)

    def on_caller_left(self, now_ms: float) -> list[callcommand.Command]:
        """Gives everything up: the caller has left."""
        self.finished = True
        self.caution.record_failure()
        return self._cancel_all(now_ms)

    # Outcomes of calls.

    def _take(
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
                self.caution.record_answer(now_ms)
                self._hedge_time.record_answer(now_ms)
                self._may_have_run = True
                return self._cancel_part(part, now_ms)
            case callcommand.OutcomeKind.FAILED:
                self._may_have_run = True
                part.failure = outcome.reply or part.failure
                if outcome.reason in callresult.GATHERER_FAULTS:
                    part.tried_upstream_ids.discard(upstream_id)
                if not self.request.route.idempotent:
                    self._parts.abandon(part)
                    return []
                return self._again(part, "retry", now_ms)
            case callcommand.OutcomeKind.NOT_RUN if not outcome.reached:
                # Nothing was sent: it is no attempt, and costs no budget.
                part.record_unreached(upstream_id)
                if outcome.reason in callresult.GATHERER_FAULTS:
                    part.tried_upstream_ids.discard(upstream_id)
                return self._send(part, now_ms, "reroute")
            case callcommand.OutcomeKind.SHED | callcommand.OutcomeKind.NOT_RUN:
                if outcome.kind is callcommand.OutcomeKind.SHED:
                    part.shed_upstream_ids.append(upstream_id)
                return self._again(part, outcome.kind.value, now_ms)

    def _again(
        self, part: callpart.Part, why: str, now_ms: float
    ) -> list[callcommand.Command]:
        """Sends a part once more, if it may be.

        While its other call is out it is, too, where the floor depends on it.
        """
        if part.calls and not self._parts.is_below_floor():
            return []
        if not self.attempts.granted:
            self.attempts.defer_retry(part, why)
            return []
        upstream = self._choice.retry_upstream(part, now_ms)
        if upstream is not None:
            if self._know.extra_call_budget.try_spend(part.service, now_ms):
                return self._send_to(part, upstream, now_ms, why)
            part.last_reason = "no_retry_budget"
        if not part.calls:
            self._parts.abandon(part)
        return []

    # Calls.

    def _send(
        self, part: callpart.Part, now_ms: float, extra: str = ""
    ) -> list[callcommand.Command]:
        upstream = self._choice.untried_upstream(part, now_ms)
        if upstream is None:
            if not part.calls:
                self._parts.abandon(part)
            return []
        return self._send_to(part, upstream, now_ms, extra)

    def _send_to(
        self,
        part: callpart.Part,
        upstream: traffic.Upstream,
        now_ms: float,
        extra: str,
    ) -> list[callcommand.Command]:
        asked = probeguard.QueuedCall(part=part, upstream=upstream, extra=extra)
        if self.caution.queue_if_probing(asked, self.calls.all()):
            return []
        call = self.calls.add(
            part,
            upstream,
            now_ms,
            cross_domain=self._choice.is_cross_domain(upstream),
            is_probe=self.caution.is_probing,
        )
        self._tally.sent_count += call.cross_domain
        self._hedges.add(call)
        return [
            callcommand.Send(
                call_id=call.call_id,
                upstream=upstream,
                extra_reason=extra,
                is_probe=call.is_probe,
                cross_domain_only=self._choice.is_cross_domain_only(part),
            )
        ]

    def _release(self, now_ms: float) -> list[callcommand.Command]:
        """Sends what had to wait while the request was sent with care."""
        commands: list[callcommand.Command] = []
        while not self.finished:
            held = self.caution.next_queued(self.calls, now_ms)
            if held is None:
                break
            part, extra = held.part, held.extra
            if len(part.reached_upstream_ids) < self.attempts.limit_count:
                sends = self._send(part, now_ms, extra)
            else:
                # One that refused before: the route allows no other.
                sends = self._send_to(part, held.upstream, now_ms, extra)
            commands += sends + self._finish_if_due(now_ms)
        return commands

    def _may_hedge(self, part: callpart.Part) -> bool:
        return (
            self.request.route.idempotent
            and self._know.mechanisms.hedges
            and part.is_open()
            and not part.hedged
            and len(part.calls) == 1
            and len(part.reached_upstream_ids) < self.attempts.limit_count
        )

    def _hedge(
        self, call: callpart.Call, now_ms: float
    ) -> list[callcommand.Command]:
        part = call.part
        part.hedged = True
        keep_count = (
            0.0 if self._parts.is_below_floor() else HEDGE_RESERVE_COUNT
        )
        if not self._know.extra_call_budget.try_spend(
            part.service, now_ms, keep_count
        ):
            return []
        relayed = call.overdue_at_ms is not None
        if relayed and self._choice.untried_upstream(part, now_ms) is None:
            # Its upstream may be well, and the instance that calls it gone.
            part.tried_upstream_ids.discard(call.upstream_id)
        return self._send(part, now_ms, probeguard.HEDGE)

    def _cancel_part(
        self, part: callpart.Part, now_ms: float
    ) -> list[callcommand.Command]:
        return [
            callcommand.Cancel(call_id=call_id)
            for call_id in self.calls.cancel(part, now_ms)
        ]

    def _cancel_all(self, now_ms: float) -> list[callcommand.Command]:
        commands: list[callcommand.Command] = []
        for part in self._parts.all:
            commands.extend(self._cancel_part(part, now_ms))
        return commands

    # The end.

    @property
    def max_reached_count(self) -> int:
        """The most upstreams that may have seen any one part."""
        return self._parts.max_reached_count()

    def _answers_at_goal(self) -> bool:
        """Whether the goal ends the wait for parts."""
        return (
            self._know.mechanisms.answer_at_goal and self._parts.meets_floor()
        )

    def _finish_if_due(self, now_ms: float) -> list[callcommand.Command]:
        if self.finished:
            return []
        if not self._parts.open_count or not self._parts.can_reach_floor():
            return self._finish(now_ms, timed_out=False)
        if now_ms >= self.request.goal_at_ms and self._answers_at_goal():
            return self._finish(now_ms, timed_out=False)
        if now_ms >= self._ends_ms:
            return self._finish(now_ms, timed_out=True)
        return []

    def _finish(
        self, now_ms: float, timed_out: bool
    ) -> list[callcommand.Command]:
        result = callresult.request_result(
            self._parts,
            meets_floor=self._parts.meets_floor(),
            timed_out=timed_out,
            may_have_run=self._may_have_run or self.calls.any_sent(),
        )
        return self._end(result, now_ms)

    def _give_up(self, now_ms: float) -> list[callcommand.Command]:
        reason = callresult.CRASHES_UPSTREAMS
        result = callcommand.Fail(reason=reason, timed_out=False)
        return self._end(result, now_ms)

    def _end(
        self, result: callcommand.Result, now_ms: float
    ) -> list[callcommand.Command]:
        self.finished = True
        self._know.partition_detector.record_wait(
            self._tally, now_ms - self._started_ms
        )
        self.caution.record_failure()
        return [*self._cancel_all(now_ms), callcommand.Finish(result=result)]
