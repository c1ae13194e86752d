"""Makes calls that instances of other failure domains relay to this one.

Each call is made once. Answers are reported together when all have arrived,
when they have stopped arriving, or at 0.4 of the time to the latency goal
(`delegation.gatherers.REPORT_RATIO`). Failures, and answers after that, are
reported at once. The requesting instance decides on retries and timeouts of
calls.
"""

import asyncio
import collections.abc
import sys

from hyssoptack.balancing import callfeedback
from hyssoptack.core import clock
from hyssoptack.core import gatewaymessage
from hyssoptack.core import traffic
from hyssoptack.delegation import gatherers
from hyssoptack.gateway import callrequest
from hyssoptack.gateway import replicatedview
from hyssoptack.gateway import upstreampool
from hyssoptack.hedging import hedgetiming
from hyssoptack.http1 import httpclient
from hyssoptack.http1 import message
from hyssoptack.planning import callcommand
from hyssoptack.planning import callresult
from hyssoptack.planning import records
from hyssoptack.platform import headers
from hyssoptack.quarantine import quarantine

RELAYED_RANK = sys.maxsize
"""Priority of relayed calls to upstreams that are warming up, the lowest one:
queries of the upstream's own domain go first."""

Send = collections.abc.Callable[[str, gatewaymessage.Message], None]
"""Sends a message to the instance at an address."""

ConnectionLimitCount = collections.abc.Callable[[traffic.Upstream], int]
"""Returns this instance's connection limit for an upstream."""


class GathererService:
    """Tracks the relayed calls that this instance makes."""

    def __init__(
        self,
        view: replicatedview.ReplicatedView,
        own_address: str,
        send: Send,
        connection_limit_count: ConnectionLimitCount,
        is_stale: collections.abc.Callable[[], bool],
        suspect_registry: quarantine.SuspectRegistry,
    ):
        """Creates a service without any calls.

        Args:
            view: Upstreams, their load balancer state and connection pools.
            own_address: Address at which this instance receives messages.
            send: Sends a message to an address.
            connection_limit_count: Returns the connection limit for an
                upstream.
            is_stale: Returns whether received messages may date from a stall
                of this process.
            suspect_registry: Registry of requests that crash upstreams.
        """
        self.view = view
        self.own_address = own_address
        self.send = send
        self.connection_limit_count = connection_limit_count
        self._is_stale = is_stale
        self._suspect_registry = suspect_registry
        self.active_gathers: dict[tuple[str, int], GatherTask] = {}

    def accept(
        self, relay_request: gatewaymessage.RelayRequest, ready: bool
    ) -> None:
        """Makes the calls of a relay request, or declines them at once.

        Args:
            relay_request: The relay request.
            ready: Whether this instance accepts new work.
        """
        key = relay_request.sender_address, relay_request.ask_id
        if key in self.active_gathers:
            return
        gather = GatherTask(self, relay_request)
        if not ready or self._is_stale():
            gather.decline(callresult.GATHERER_DECLINED)
            return
        if self._suspect_registry.is_quarantined(
            relay_request.fingerprint, clock.now_ms()
        ):
            gather.decline(callresult.CRASHES_UPSTREAMS)
            return
        if relay_request.remaining_ms <= 0.0:
            gather.decline(callresult.DEADLINE)
            return
        self.active_gathers[key] = gather
        gather.start()

    def on_cancel(self, cancel: gatewaymessage.RelayCancel) -> None:
        """Cancels the calls of a query that has ended."""
        gather = self.active_gathers.get((cancel.sender_address, cancel.ask_id))
        if gather is not None:
            gather.end()

    def on_process_end(self) -> None:
        """Reports the open calls as lost, so that others make them."""
        for each in tuple(self.active_gathers.values()):
            each.report_lost()


class GatherTask:
    """The calls of one relay request."""

    def __init__(
        self,
        service: GathererService,
        relay_request: gatewaymessage.RelayRequest,
    ):
        self._service = service
        self._relay_request = relay_request
        self._started_ms = clock.now_ms()
        self._forwarded = headers.ForwardedRequest(
            head=relay_request.head, body=relay_request.body
        )
        self._calls: dict[int, upstreampool.Call] = {}
        self._open_upstream_ids: dict[int, str] = {}
        self._unsent: list[gatewaymessage.RelayedOutcome] = []
        self._reported = False
        self._flush_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._end_timer: asyncio.TimerHandle | None = None
        self._to_goal_ms = max(0.0, relay_request.to_goal_ms)
        self._hedge_timing = hedgetiming.HedgeTiming(
            service.view.load_balancer.latency_of(relay_request.route_name),
            self._to_goal_ms,
            self._started_ms + self._to_goal_ms,
            self._started_ms,
            len(relay_request.calls),
        )

    def decline(self, reason: str) -> None:
        """Reports all calls as not run."""
        for each in self._relay_request.calls:
            self._unsent.append(_not_run(each.call_id, reason))
        self._flush()

    def start(self) -> None:
        """Makes the calls and schedules the first report."""
        for each in self._relay_request.calls:
            upstream = self._service.view.load_balancer.usable_upstream(
                each.upstream_id, RELAYED_RANK, self._started_ms
            )
            if upstream is None:
                reason = callresult.NOT_LISTED_AT_GATHERER
                self._unsent.append(_not_run(each.call_id, reason))
            else:
                self._make_call(each.call_id, upstream)
        loop = asyncio.get_running_loop()
        self._end_timer = loop.call_later(
            max(0.0, self._relay_request.remaining_ms) / message.MS_PER_S,
            self.end,
        )
        if self._unsent:
            self._flush_soon()
        self._schedule_report()

    def _make_call(self, call_id: int, upstream: traffic.Upstream) -> None:
        self._open_upstream_ids[call_id] = upstream.upstream_id
        self._service.view.load_balancer.begin_call(
            upstream.upstream_id, self._started_ms
        )
        job = callrequest.CallRequest(
            upstream=upstream,
            build_request=lambda: self._build_request(upstream),
            request_id=self._relay_request.request_id,
            is_head=False,
            needs_new_connection=False,
            needs_recent_connection=False,
            on_outcome=lambda outcome: self._on_outcome(call_id, outcome),
            fingerprint=self._relay_request.fingerprint,
        )
        limit_count = self._service.connection_limit_count(upstream)
        self._calls[call_id] = self._service.view.pools.call(job, limit_count)

    def _build_request(self, upstream: traffic.Upstream) -> bytes:
        spent_ms = clock.now_ms() - self._started_ms
        remaining_ms = self._relay_request.remaining_ms - spent_ms
        return headers.upstream_request(self._forwarded, upstream, remaining_ms)

    def _on_outcome(self, call_id: int, outcome: httpclient.Outcome) -> None:
        now_ms = clock.now_ms()
        self._calls.pop(call_id, None)
        upstream_id = self._open_upstream_ids.pop(call_id)
        call_outcome = headers.call_outcome(outcome, is_part=True)
        load_balancer = self._service.view.load_balancer
        load_balancer.end_call(upstream_id)
        # The requesting instance records the outcome in its own load balancer
        # as well.
        callfeedback.record_outcome(
            load_balancer,
            self._relay_request.route_name,
            upstream_id,
            self._started_ms,
            call_outcome,
            now_ms,
        )
        is_answered = call_outcome.kind is callcommand.OutcomeKind.ANSWERED
        if is_answered:
            self._hedge_timing.record_answer(now_ms)
        self._unsent.append(self._relayed_outcome(call_id, call_outcome))
        # Failures are reported at once because they may be retried, and late
        # answers because the requesting instance waits for them.
        if not self._open_upstream_ids or not is_answered or self._reported:
            self._flush_soon()
        else:
            self._schedule_report()

    def _relayed_outcome(
        self, call_id: int, call_outcome: callcommand.Outcome
    ) -> gatewaymessage.RelayedOutcome:
        match call_outcome:
            case callcommand.Outcome(
                kind=callcommand.OutcomeKind.ANSWERED,
                reply=message.Reply() as reply,
            ):
                top_records = records.merge_greatest(
                    (reply.body,), self._relay_request.top_count
                )
                signature = headers.signature(reply)
            case _:
                top_records = signature = b""
        return gatewaymessage.RelayedOutcome(
            call_id=call_id,
            kind=call_outcome.kind.value,
            reason=call_outcome.reason,
            reached=call_outcome.reached,
            signature=signature,
            records=top_records,
            ended=call_outcome.upstream_exited,
        )

    # Reports to the requesting instance.

    def _schedule_report(self) -> None:
        if self._reported:
            return
        if self._timer is not None:
            self._timer.cancel()
        stall_at_ms = self._hedge_timing.stall_at_ms()
        report_at_ms = (
            self._started_ms + gatherers.REPORT_RATIO * self._to_goal_ms
        )
        if stall_at_ms is not None:
            report_at_ms = min(report_at_ms, stall_at_ms)
        wait_ms = max(0.0, report_at_ms - clock.now_ms())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            wait_ms / message.MS_PER_S,
            self._report,
            report_at_ms == stall_at_ms,
        )

    def _report(self, stalled: bool) -> None:
        """Reports the answers so far; an empty report shows liveness."""
        self._reported = True
        self._flush(stalled, send_if_empty=True)

    def _flush_soon(self) -> None:
        """Schedules a report of all outcomes of this event loop turn."""
        if not self._flush_scheduled:
            self._flush_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self._flush)

    def _flush(
        self, stalled: bool = False, send_if_empty: bool = False
    ) -> None:
        self._flush_scheduled = False
        if not self._unsent and not send_if_empty:
            return
        batch = gatewaymessage.RelayBatch(
            sender_address=self._service.own_address,
            ask_id=self._relay_request.ask_id,
            outcomes=tuple(self._unsent),
            dried_up=stalled,
        )
        self._unsent.clear()
        self._service.send(self._relay_request.sender_address, batch)
        if not self._open_upstream_ids:
            self.end()

    def report_lost(self) -> None:
        """Reports the open calls as lost and cancels them."""
        self._unsent.extend(map(_outcome_unknown, self._open_upstream_ids))
        self._flush()
        self.end()

    def end(self) -> None:
        """Cancels the open calls and removes the task."""
        for timer in (self._timer, self._end_timer):
            if timer is not None:
                timer.cancel()
        for call in self._calls.values():
            call.cancel()
        for upstream_id in self._open_upstream_ids.values():
            self._service.view.load_balancer.end_call(upstream_id)
        self._calls.clear()
        self._open_upstream_ids.clear()
        key = self._relay_request.sender_address, self._relay_request.ask_id
        self._service.active_gathers.pop(key, None)


def _not_run(call_id: int, reason: str) -> gatewaymessage.RelayedOutcome:
    """Returns the outcome of a call that was not made."""
    return gatewaymessage.RelayedOutcome(
        call_id=call_id,
        kind=callcommand.OutcomeKind.NOT_RUN.value,
        reason=reason,
        reached=False,
    )


def _outcome_unknown(call_id: int) -> gatewaymessage.RelayedOutcome:
    """Returns the outcome of a call that its upstream may have run."""
    return gatewaymessage.RelayedOutcome(
        call_id=call_id,
        kind=callcommand.OutcomeKind.FAILED.value,
        reason=callresult.GATHERER_LOST,
        reached=True,
    )
