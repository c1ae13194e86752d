"""Relays calls of queries to gatherers: instances in other failure domains.

`delegation.gatherers` selects the gatherer. The query's plan decides on each
call and receives its outcome as if this instance had made the call.
"""

import collections.abc
import dataclasses
import math

from hyssoptack.core import clock
from hyssoptack.core import gatewaymessage
from hyssoptack.core import member
from hyssoptack.delegation import gatherers
from hyssoptack.events import log
from hyssoptack.gateway import correlationids
from hyssoptack.planning import callcommand
from hyssoptack.planning import callresult
from hyssoptack.platform import headers

Send = collections.abc.Callable[[str, gatewaymessage.Message], None]
"""Sends a message to the instance at an address."""

KINDS_BY_NAME = {each.value: each for each in callcommand.OutcomeKind}
"""Outcome kinds by their name in messages."""

OnOutcomes = collections.abc.Callable[
    [dict[int, callcommand.Outcome], tuple[int, ...]], None
]
"""Receives outcomes by call id, and the ids of calls that still wait for their
upstreams."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayedQuery:
    """The query that relayed calls belong to.

    Attributes:
        request_id: The caller's request id.
        route_name: The route of the query.
        top_count: Maximum number of records in the answer.
        fingerprint: Hash that identifies the query's content.
        forwarded: Head and body that are sent to upstreams.
        deadline_at_ms: Time at which the caller stops waiting.
        goal_at_ms: Time after which the answer loses most of its value.
        on_outcomes: Receives the outcomes of the calls.
    """

    request_id: bytes
    route_name: str
    top_count: int
    fingerprint: str
    forwarded: headers.ForwardedRequest
    deadline_at_ms: float
    goal_at_ms: float
    on_outcomes: OnOutcomes


class CallRelay:
    """Tracks the calls that this instance relays to gatherers."""

    def __init__(
        self,
        selector: gatherers.GathererSelector,
        own_address: str,
        send: Send,
        enabled: bool,
    ):
        """Creates a relay without any calls.

        Args:
            selector: Selects the gatherer of a failure domain.
            own_address: Address at which this instance receives messages.
            send: Sends a message to an address.
            enabled: Whether calls are relayed at all.
        """
        self.selector = selector
        self.own_address = own_address
        self.send = send
        self._enabled = enabled
        self.pending: dict[int, PendingRelay] = {}
        self._correlation_ids = correlationids.new_sequence()

    def choose_gatherer(self, failure_domain: str) -> member.Peer | None:
        """Returns the gatherer of a domain, or None to make calls directly."""
        if not self._enabled or not self.own_address:
            return None
        return self.selector.choose(failure_domain, clock.now_ms())

    def relay(
        self,
        peer: member.Peer,
        query: RelayedQuery,
        calls: collections.abc.Sequence[callcommand.Send],
    ) -> "PendingRelay":
        """Sends calls of a query to a gatherer."""
        ask_id = next(self._correlation_ids)
        pending = PendingRelay(self, peer, query, ask_id)
        self.pending[ask_id] = pending
        pending.start(calls)
        return pending

    def on_batch(self, batch: gatewaymessage.RelayBatch) -> None:
        """Handles outcomes; those of a query that has ended are ignored."""
        pending = self.pending.get(batch.ask_id)
        if pending is not None and pending.peer.address == batch.sender_address:
            pending.on_batch(batch)

    def on_undelivered(
        self, relay_request: gatewaymessage.RelayRequest
    ) -> None:
        """Handles a relay request that could not be delivered."""
        if (pending := self.pending.get(relay_request.ask_id)) is not None:
            pending.on_lost(sent=False)

    def on_link_lost(self, address: str) -> None:
        """Handles the loss of the connection to a gatherer."""
        for each in tuple(self.pending.values()):
            if each.peer.address == address:
                each.on_lost(sent=True)


class PendingRelay:
    """Calls of one query that were relayed to one gatherer."""

    def __init__(
        self,
        relay: CallRelay,
        peer: member.Peer,
        query: RelayedQuery,
        ask_id: int,
    ):
        self.peer = peer
        self._relay = relay
        self._query = query
        self._ask_id = ask_id
        self._open_ids: set[int] = set()
        self._has_reported = False
        self._sent_ms = 0.0
        self.overdue_at_ms = math.inf

    def start(self, calls: collections.abc.Sequence[callcommand.Send]) -> None:
        """Sends the relay request to the gatherer."""
        self._open_ids = {each.call_id for each in calls}
        self._relay.selector.begin_query(self.peer)
        now_ms = clock.now_ms()
        to_goal_ms = max(0.0, self._query.goal_at_ms - now_ms)
        self._sent_ms = now_ms
        self.overdue_at_ms = (
            now_ms + self._relay.selector.first_report_timeout_ms(to_goal_ms)
        )
        relay_request = gatewaymessage.RelayRequest(
            sender_address=self._relay.own_address,
            ask_id=self._ask_id,
            route_name=self._query.route_name,
            top_count=self._query.top_count,
            request_id=self._query.request_id,
            fingerprint=self._query.fingerprint,
            head=self._query.forwarded.head,
            body=self._query.forwarded.body,
            remaining_ms=self._query.deadline_at_ms - now_ms,
            to_goal_ms=to_goal_ms,
            calls=tuple(
                gatewaymessage.RelayedCall(
                    call_id=each.call_id, upstream_id=each.upstream.upstream_id
                )
                for each in calls
            ),
        )
        self._relay.send(self.peer.address, relay_request)

    def on_batch(self, batch: gatewaymessage.RelayBatch) -> None:
        """Records the outcomes of some calls and passes them to the query."""
        if not self._has_reported:
            self._has_reported = True
            took_ms = clock.now_ms() - self._sent_ms
            self._relay.selector.record_first_report(took_ms)
        outcomes = {
            each.call_id: _outcome(each)
            for each in batch.outcomes
            if each.call_id in self._open_ids
        }
        self._open_ids.difference_update(outcomes)
        if any(
            each.reason == callresult.GATHERER_DECLINED
            for each in outcomes.values()
        ):
            self._relay.selector.record_decline(self.peer, clock.now_ms())
        else:
            self._relay.selector.record_report(self.peer)
        waiting = tuple(self._open_ids) if batch.dried_up else ()
        if not self._open_ids:
            self._end()
        self._query.on_outcomes(outcomes, waiting)

    def check_overdue(self, now_ms: float) -> None:
        """Records the gatherer as lost if its first report is overdue."""
        if now_ms >= self.overdue_at_ms and not self._has_reported:
            self.overdue_at_ms = math.inf
            self._relay.selector.record_loss(self.peer, clock.now_ms())
            self._log("silent")

    def on_lost(self, sent: bool) -> None:
        """Ends the calls because the gatherer is lost or unreachable.

        Args:
            sent: Whether the gatherer may have made the calls.
        """
        self._relay.selector.record_loss(self.peer, clock.now_ms())
        self._log("link_lost" if sent else "unreachable")
        self._end()
        outcome = callcommand.Outcome(
            kind=callcommand.OutcomeKind.FAILED
            if sent
            else callcommand.OutcomeKind.NOT_RUN,
            reason=callresult.GATHERER_LOST,
            reached=sent,
        )
        self._query.on_outcomes(dict.fromkeys(self._open_ids, outcome), ())

    def cancel(self) -> None:
        """Cancels the open calls, because the query has ended."""
        if self._ask_id not in self._relay.pending:
            return
        self._end()
        cancel = gatewaymessage.RelayCancel(
            sender_address=self._relay.own_address, ask_id=self._ask_id
        )
        self._relay.send(self.peer.address, cancel)

    def _end(self) -> None:
        if self._relay.pending.pop(self._ask_id, None) is not None:
            self._relay.selector.end_query(self.peer)

    def _log(self, reason: str) -> None:
        log.write(
            log.Event.RELAY_LOST,
            request_id=self._query.request_id.decode("latin-1"),
            instance=self.peer.instance_id,
            failure_domain=self.peer.failure_domain,
            reason=reason,
            open_count=len(self._open_ids),
        )


def _outcome(relayed: gatewaymessage.RelayedOutcome) -> callcommand.Outcome:
    kind = KINDS_BY_NAME.get(relayed.kind, callcommand.OutcomeKind.FAILED)
    reply = None
    if kind is callcommand.OutcomeKind.ANSWERED:
        reply = headers.relayed_part(relayed.signature, relayed.records)
    return callcommand.Outcome(
        kind=kind,
        reply=reply,
        reason=relayed.reason,
        reached=relayed.reached,
        upstream_exited=relayed.ended,
    )
