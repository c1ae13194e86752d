"""Delegates queries to neighbours and accepts queries that they delegate.

`delegation.delegation` selects the neighbour; this module exchanges messages.
The neighbour's complete answer is the answer to a delegated query. The query is
taken back and run on this instance if the neighbour declines, is unreachable,
or does not report in time that it has started. Once started, the query may have
used all attempts of its route. If it is lost after that, it fails at once, and
the caller may retry it with all attempts.
"""

import collections.abc
import enum
import http

from hyssoptack.core import clock
from hyssoptack.core import gatewaymessage
from hyssoptack.core import listmessage
from hyssoptack.core import member
from hyssoptack.core import timeouts
from hyssoptack.core import traffic
from hyssoptack.delegation import delegation
from hyssoptack.events import log
from hyssoptack.gateway import correlationids
from hyssoptack.gateway import inbound
from hyssoptack.gateway import loopwatch
from hyssoptack.gateway import peerexchange
from hyssoptack.http1 import message
from hyssoptack.planning import shutdown
from hyssoptack.platform import headers

Send = collections.abc.Callable[[str, gatewaymessage.Message], None]
"""Sends a message to the instance at an address."""


class _State(enum.Enum):
    """The state of a delegated query, as the neighbour last reported it."""

    SENT = "sent"
    BEGUN = "begun"


RunLocally = collections.abc.Callable[[inbound.RoutedRequest, bool], None]
"""Runs a query here; the flag says if a neighbour may have run part of it."""

CanRerunLocally = collections.abc.Callable[[inbound.RoutedRequest], bool]
"""Returns whether a query that a neighbour may have started can run here."""


_Notice = gatewaymessage.DelegationCancel | gatewaymessage.DelegationCommit


class Delegator:
    """Tracks the queries that this instance delegates and accepts."""

    def __init__(
        self,
        selector: delegation.DelegateSelector,
        own_address: str,
        send: Send,
        run_locally: RunLocally,
        can_rerun_locally: CanRerunLocally,
    ):
        """Creates a delegator that receives messages at `own_address`."""
        self.can_rerun_locally = can_rerun_locally
        self.selector = selector
        self.own_address = own_address
        self.send = send
        self.run_locally = run_locally
        self.pending: dict[int, DelegatedQuery] = {}
        self._ask_ids = correlationids.new_sequence()
        self._accepted: dict[tuple[str, int], peerexchange.PeerExchange] = {}
        self.loop_watch = loopwatch.LoopWatch()

    def try_delegate(
        self,
        query: inbound.RoutedRequest,
        version: int,
        own_list: listmessage.ListSummary,
    ) -> bool:
        """Delegates a query if a neighbour is better; returns whether it did.

        The query must run under the configuration version `version`, on no
        upstream that has left by `own_list`.
        """
        now_ms = clock.now_ms()
        route = query.route_match.route
        if not route.is_rerunnable:
            return False
        match route.target:
            case traffic.AllShards(shards=shards):
                candidate = delegation.Query(
                    route_name=route.name,
                    part_count=len(shards),
                    to_goal_ms=query.goal_at_ms(now_ms) - now_ms,
                )
                peer = self.selector.choose(candidate, now_ms)
            case _:
                return False
        if peer is None:
            return False
        ask_id = next(self._ask_ids)
        delegated = DelegatedQuery(self, query, peer, ask_id, own_list)
        delegated.start(version)
        return True

    def accept(
        self, received: gatewaymessage.DelegationRequest, can_serve: bool
    ) -> peerexchange.PeerExchange | None:
        """Accepts or declines a neighbour's query and reports which to it.

        `can_serve` says whether this instance is ready and has the sender's
        configuration version. Returns the exchange to answer, or None if no new
        query is to be started.
        """
        now_ms = clock.now_ms()
        key = received.sender_address, received.ask_id
        already_running = key in self._accepted
        stale = self.loop_watch.messages_may_be_stale()
        begun = already_running or (can_serve and not stale and received.fresh)
        status = gatewaymessage.DelegationStatus(
            sender_address=self.own_address, ask_id=received.ask_id, begun=begun
        )
        self.send(received.sender_address, status)
        if already_running:
            if not received.fresh:
                # A sender repeats it only after it has received `begun=True`.
                self._on_commit(key)
            return None
        request = message.Request(
            method=received.method,
            target=received.target,
            headers=received.headers,
            body=received.body,
            received_ms=now_ms - max(0.0, received.elapsed_ms),
            keep_alive=True,
        )
        log.write(
            log.Event.QUERY_TAKEN,
            request_id=headers.request_id_text(request),
            sender_address=received.sender_address,
            ask_id=received.ask_id,
            elapsed_ms=round(received.elapsed_ms, 1),
            fresh=received.fresh,
            willing=can_serve,
            stale=stale,
            begun=begun,
        )
        if not begun:
            return None
        route_name = received.route_name
        exchange = peerexchange.PeerExchange(
            request=request,
            send_reply=lambda reply: self._send_answer(key, route_name, reply),
        )
        self._accepted[key] = exchange
        return exchange

    def _send_answer(
        self, key: tuple[str, int], route_name: str, reply: message.Reply
    ) -> None:
        self._accepted.pop(key, None)
        address, ask_id = key
        answer = gatewaymessage.DelegationAnswer(
            sender_address=self.own_address,
            ask_id=ask_id,
            reply_bytes=self.selector.reply_bytes(route_name),
            status=reply.status,
            headers=reply.headers,
            body=reply.body,
        )
        self.send(address, answer)

    def _on_commit(self, key: tuple[str, int]) -> None:
        exchange = self._accepted.get(key)
        if exchange is not None and exchange.on_commit is not None:
            exchange.on_commit()

    def on_message(self, received: gatewaymessage.Message) -> None:
        """Handles a message about a delegated or accepted query."""
        match received:
            case gatewaymessage.DelegationStatus(ask_id=ask_id, begun=begun):
                if (delegated := self.pending.get(ask_id)) is not None:
                    delegated.on_status(begun)
            case gatewaymessage.DelegationAnswer(ask_id=ask_id):
                if (delegated := self.pending.get(ask_id)) is not None:
                    delegated.on_answer(received)
                else:
                    log.write(
                        log.Event.QUERY_ANSWER_UNUSED,
                        neighbour_address=received.sender_address,
                        ask_id=ask_id,
                        status=received.status,
                    )
            case gatewaymessage.DelegationCommit(
                sender_address=address, ask_id=ask_id
            ):
                self._on_commit((address, ask_id))
            case gatewaymessage.DelegationCancel(
                sender_address=address, ask_id=ask_id
            ):
                exchange = self._accepted.pop((address, ask_id), None)
                if exchange is not None and exchange.on_abandoned is not None:
                    exchange.on_abandoned()

    def on_undelivered(self, undelivered: gatewaymessage.Message) -> None:
        """Handles a delegation request that could not be delivered."""
        match undelivered:
            case gatewaymessage.DelegationRequest(ask_id=ask_id):
                if (delegated := self.pending.get(ask_id)) is not None:
                    delegated.on_undelivered()

    def on_process_end(self) -> None:
        """Answers the delegated queries that neighbours have not answered."""
        for each in tuple(self.pending.values()):
            each.on_process_end()

    def on_link_lost(self, address: str) -> None:
        """Handles the loss of the connection to a neighbour."""
        for each in tuple(self.pending.values()):
            if each.address == address:
                each.on_lost("link_lost")


class DelegatedQuery:
    """A query of this instance that is delegated to a neighbour."""

    def __init__(
        self,
        delegator: Delegator,
        query: inbound.RoutedRequest,
        peer: member.Peer,
        ask_id: int,
        own_list: listmessage.ListSummary = listmessage.UNKNOWN_LIST,
    ):
        self._parent = delegator
        self._own_list = own_list
        self._query = query
        self._peer = peer
        self._ask_id = ask_id
        self._received_ms = query.exchange.request.received_ms
        self._state = _State.SENT
        self._hop_ms = delegator.selector.hop_delays.estimate_ms
        self._goal_ms = query.goal_at_ms(clock.now_ms())
        self._timer: timeouts.Timer | None = None

    def start(self, version: int) -> None:
        """Sends the query to the neighbour and starts the accept timeout."""
        self._parent.pending[self._ask_id] = self
        self._parent.selector.begin_delegation(self._peer.address)
        self._query.exchange.on_abandoned = self._on_caller_left
        self._send_request(version, fresh=True)
        self._start_timer(delegation.ACCEPT_TIMEOUT_MS, self._on_accept_timeout)

    @property
    def address(self) -> str:
        """Address at which the neighbour receives messages."""
        return self._peer.address

    def _send_request(self, version: int, fresh: bool) -> None:
        request = self._query.exchange.request
        delegation_request = gatewaymessage.DelegationRequest(
            sender_address=self._parent.own_address,
            ask_id=self._ask_id,
            version=version,
            route_name=self._query.route_match.route.name,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            elapsed_ms=clock.now_ms() - self._received_ms,
            away_ms=self._query.reserved_ms + self._hop_ms,
            fresh=fresh,
            team=self._query.team_name,
            sender_list=self._own_list,
        )
        self._parent.send(self._peer.address, delegation_request)

    def _start_timer(
        self, wait_ms: float, function: collections.abc.Callable[[], None]
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = timeouts.Timer(wait_ms, function)

    def _on_accept_timeout(self) -> None:
        """Takes the query back, or waits if it can't be rerun here."""
        now_ms = clock.now_ms()
        if now_ms < self._goal_ms and not self._parent.can_rerun_locally(
            self._query
        ):
            log.write(
                log.Event.QUERY_LEFT_THERE,
                request_id=self._query.request_id,
                neighbour=self._peer.instance_id,
                ask_id=self._ask_id,
                to_goal_ms=round(self._goal_ms - now_ms),
            )
            # Not sent again: a neighbour that has answered would rerun it.
            self._start_timer(self._goal_ms - now_ms, self._on_accept_timeout)
            return
        self._notify(gatewaymessage.DelegationCancel)
        self._take_back("not_begun", may_have_run=True)

    def _check_liveness(self) -> None:
        """Checks whether the neighbour still runs the query."""
        self._send_request(version=0, fresh=False)
        self._start_timer(
            delegation.ACCEPT_TIMEOUT_MS, lambda: self.on_lost("silent")
        )

    def on_status(self, begun: bool) -> None:
        """Handles the neighbour's report on whether it runs the query."""
        match self._state, begun:
            case _State.SENT, True:
                self._state = _State.BEGUN
                self._notify(gatewaymessage.DelegationCommit)
                goal_ms = self._query.route_match.route.latency_goal_ms
                due_ms = self._received_ms + goal_ms
                left_ms = max(0.0, due_ms - clock.now_ms())
                self._start_timer(
                    left_ms + delegation.ANSWER_SLACK_MS, self._check_liveness
                )
            case _State.SENT, False:
                self._take_back("declined", may_have_run=False)
            case _State.BEGUN, True:
                self._start_timer(
                    delegation.LIVENESS_CHECK_PERIOD_MS, self._check_liveness
                )
            case _State.BEGUN, False:
                self.on_lost("forgotten")

    def on_undelivered(self) -> None:
        """Handles a request message that could not be delivered."""
        match self._state:
            case _State.SENT:
                self._take_back("unreachable", may_have_run=False)
            case _:
                self.on_lost("unreachable")

    def on_lost(self, reason: str) -> None:
        """Takes back or fails the query, as the neighbour may have lost it."""
        if self._state is _State.SENT:
            self._take_back(reason, may_have_run=True)
            return
        self._parent.selector.record_failure(self._peer.address, clock.now_ms())
        self._fail(reason, http.HTTPStatus.BAD_GATEWAY, "neighbour_lost")

    def on_process_end(self) -> None:
        """Fails the query because this process ends before its answer."""
        status = http.HTTPStatus.GATEWAY_TIMEOUT
        self._fail(shutdown.STOPPING, status, shutdown.STOPPING)

    def _fail(
        self, log_reason: str, status: http.HTTPStatus, reply_reason: str
    ) -> None:
        """Fails a query that the neighbour may have run."""
        self._notify(gatewaymessage.DelegationCancel)
        self._end()
        # A line with a status ends the query; without one it runs here.
        self._log_back(log_reason, True, status=int(status))
        reply = message.problem_reply(status, reply_reason)
        self._query.exchange.answer(reply)

    def on_answer(self, answer: gatewaymessage.DelegationAnswer) -> None:
        """Sends the neighbour's answer to the caller."""
        self._parent.selector.record_answer(self._peer.address)
        route_name = self._query.route_match.route.name
        self._parent.selector.record_reply_size(route_name, answer.reply_bytes)
        self._end()
        reply = message.Reply(
            status=answer.status, headers=answer.headers, body=answer.body
        )
        self._query.exchange.answer(reply)
        if headers.has_missing_parts(reply):
            # A partial answer leaves at the goal: lateness is travel time.
            late_ms = clock.now_ms() - self._goal_ms
            self._parent.selector.hop_delays.record(self._hop_ms + late_ms)
        log.write(
            log.Event.QUERY_HANDED,
            request_id=self._query.request_id,
            neighbour=self._peer.instance_id,
            status=answer.status,
            took_ms=round(clock.now_ms() - self._received_ms, 1),
            **self._query.team_fields,
        )

    def _take_back(self, reason: str, may_have_run: bool) -> None:
        """Records the neighbour's failure and runs the query here."""
        self._parent.selector.record_failure(self._peer.address, clock.now_ms())
        self._end()
        self._log_back(reason, may_have_run)
        self._parent.run_locally(self._query, may_have_run)

    def _log_back(self, reason: str, may_have_run: bool, **status: int) -> None:
        log.write(
            log.Event.QUERY_BACK,
            request_id=self._query.request_id,
            neighbour=self._peer.instance_id,
            ask_id=self._ask_id,
            reason=reason,
            may_have_run=may_have_run,
            **(status | self._query.team_fields),
        )

    def _on_caller_left(self) -> None:
        self._notify(gatewaymessage.DelegationCancel)
        self._end()

    def _notify(self, kind: type[_Notice]) -> None:
        own_address = self._parent.own_address
        notice = kind(sender_address=own_address, ask_id=self._ask_id)
        self._parent.send(self._peer.address, notice)

    def _end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._parent.pending.pop(self._ask_id, None)
        self._parent.selector.end_delegation(self._peer.address)
