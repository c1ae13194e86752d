"""Handles requests: matches routes, then runs or delegates each request."""

import dataclasses
import http
import typing

from hyssoptack.balancing import connections
from hyssoptack.core import clock
from hyssoptack.core import gatewaymessage
from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import callrelay
from hyssoptack.gateway import calltrace
from hyssoptack.gateway import draining
from hyssoptack.gateway import inbound
from hyssoptack.gateway import metrics
from hyssoptack.gateway import querydelegation
from hyssoptack.gateway import refusals
from hyssoptack.gateway import replicatedview
from hyssoptack.gateway import requestrun
from hyssoptack.gateway import runcontext
from hyssoptack.http1 import httpserver
from hyssoptack.http1 import message
from hyssoptack.planning import callcommand
from hyssoptack.planning import callerlatency
from hyssoptack.planning import plancontext
from hyssoptack.planning import routetable
from hyssoptack.planning import shutdown
from hyssoptack.platform import headers

if typing.TYPE_CHECKING:
    from hyssoptack.gateway import admissioncontrol
    from hyssoptack.gateway import requestpermits


def log_unreadable_request(status: int, reason: str) -> None:
    """Logs a request that was rejected before its id could be read."""
    log.write(log.Event.REQUEST_UNREADABLE, status=status, reason=reason)


class RequestHandler:
    """Handles the requests of one instance, using its replicated view."""

    def __init__(
        self,
        view: replicatedview.ReplicatedView,
        plan_context: plancontext.PlanContext,
        failure_domain: str,
        collectors: metrics.Metrics,
    ):
        self._view = view
        self._plan_context = plan_context
        self.metrics = collectors
        self._failure_domain = failure_domain
        self.instance_counts = connections.InstanceCounts()
        self.active_runs: set[runcontext.ActiveRun] = set()
        self.refusals = refusals.Refusals(view, plan_context, collectors)
        self._caller_latency = callerlatency.CallerLatency()
        self.delegator: querydelegation.Delegator | None = None
        self.call_relay: callrelay.CallRelay | None = None
        self.request_permits: requestpermits.RequestPermits | None = None
        self.admission: admissioncontrol.AdmissionControl | None = None
        self.shutdown: shutdown.Shutdown | None = None

    def handle(self, exchange: httpserver.Exchange) -> None:
        """Handles a request received from a caller."""
        self._serve(exchange, None)

    def serve_delegated(
        self, delegation_request: gatewaymessage.DelegationRequest, ready: bool
    ) -> None:
        """Accepts or declines a query that a neighbour delegates."""
        # Under another configuration version the query could run in a way
        # that its sender's configuration does not allow.
        can_serve = (
            ready
            and self._view.gate.is_open()
            and delegation_request.version == self._view.version
            and self._knows_team(delegation_request.team)
            and not self._view.upstream_list.is_behind(
                delegation_request.sender_list, clock.now_ms()
            )
            and self._has_room_for(delegation_request)
        )
        exchange = self.delegator.accept(delegation_request, can_serve)
        if exchange is not None:
            self._serve(exchange, delegation_request)

    def _knows_team(self, name: str) -> bool:
        """Returns whether a team exists; an empty name means no team.

        An instance that has the same version with other content would send the
        query's calls without their team.
        """
        directory = self._view.route_table.configuration.team_directory
        return not name or (directory is not None and name in directory.by_name)

    def _has_room_for(
        self, delegation_request: gatewaymessage.DelegationRequest
    ) -> bool:
        """Returns whether admission allows a query of this version to start."""
        if self.admission is None or not delegation_request.fresh:
            return True
        configuration = self._view.route_table.configuration
        for route in configuration.routes:
            if route.name == delegation_request.route_name:
                directory = configuration.team_directory
                team = (
                    directory.by_name.get(delegation_request.team)
                    if directory
                    else None
                )
                has_priority = team is not None and team.priority is not None
                priority = team.priority if has_priority else route.priority
                return self.admission.can_accept_delegated(route, priority)
        return True

    def _serve(
        self,
        exchange: inbound.Exchange,
        delegation_request: gatewaymessage.DelegationRequest | None,
    ) -> None:
        metadata = headers.read_metadata(exchange.request)
        if isinstance(metadata, str):
            exchange.answer(
                message.problem_reply(http.HTTPStatus.BAD_REQUEST, metadata)
            )
            log_unreadable_request(http.HTTPStatus.BAD_REQUEST, metadata)
        elif delegation_request is None and not self._view.gate.is_open():
            self._hold(exchange, metadata)
        else:
            self._route(exchange, metadata, delegation_request)

    def _hold(
        self, exchange: inbound.Exchange, metadata: headers.RequestMetadata
    ) -> None:
        """Holds a request until the view is current, or to its deadline."""
        began_ms = clock.now_ms()
        gate = self._view.gate

        def resume() -> None:
            exchange.on_abandoned = None
            self._route(exchange, metadata, None, clock.now_ms() - began_ms)

        def expire() -> None:
            exchange.on_abandoned = None
            self.refusals.refuse(
                exchange,
                metadata,
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                refusals.VIEW_OUTDATED,
            )

        def on_abandoned() -> None:
            gate.cancel(held)
            self.refusals.record_caller_left(exchange, metadata)

        expires_ms = None
        if metadata.deadline_ms is not None:
            expires_ms = exchange.request.received_ms + metadata.deadline_ms
        held = gate.hold(resume, expire, expires_ms)
        exchange.on_abandoned = on_abandoned

    def _route(
        self,
        exchange: inbound.Exchange,
        metadata: headers.RequestMetadata,
        delegation_request: gatewaymessage.DelegationRequest | None,
        held_ms: float = 0.0,
    ) -> None:
        """Matches a request with the configuration and serves it."""
        path = exchange.request.path.decode("latin-1")
        match_result = self._view.route_table.find(metadata.host, path)
        match match_result:
            case routetable.RouteMiss.NOT_CONFIGURED:
                status = http.HTTPStatus.SERVICE_UNAVAILABLE
                self.refusals.refuse(
                    exchange, metadata, status, match_result.value
                )
            case routetable.RouteMiss.NO_ROUTE:
                status = http.HTTPStatus.NOT_FOUND
                self.refusals.refuse(
                    exchange, metadata, status, match_result.value
                )
            case routetable.RouteMatch():
                request = inbound.RoutedRequest(
                    exchange=exchange,
                    metadata=metadata,
                    route_match=match_result,
                    version=self._view.version,
                    held_ms=held_ms,
                )
                if delegation_request is None:
                    self._start_before_stop(request)
                else:
                    self._run_delegated(request, delegation_request)

    def _run_delegated(
        self,
        request: inbound.RoutedRequest,
        delegation_request: gatewaymessage.DelegationRequest,
    ) -> None:
        directory = self._view.route_table.configuration.team_directory
        team = None
        if directory is not None:
            team = directory.by_name.get(delegation_request.team)
            # The sender has removed the caller's key, unless it runs a release
            # without teams.
            exchange = request.exchange
            exchange.request = headers.without_identity(exchange.request)
        prepared = dataclasses.replace(
            request, transit_margin_ms=delegation_request.away_ms, team=team
        )
        run = requestrun.RequestRun(self, prepared, awaits_grant=True)
        request.exchange.on_commit = run.on_attempts_granted
        if self.admission is not None:
            self.admission.count_started(prepared)
        run.start()

    def _start_before_stop(self, request: inbound.RoutedRequest) -> None:
        """Refuses a request that this process is not sure to finish."""
        load_balancer = self._plan_context.load_balancer
        if not draining.leaves_no_time(
            self.shutdown, request, load_balancer, clock.now_ms()
        ):
            self._identify_caller(request)
            return
        self.refusals.refuse(
            request.exchange,
            request.metadata,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            shutdown.STOPPING,
        )

    def _identify_caller(self, request: inbound.RoutedRequest) -> None:
        """Serves a caller's request if its key or its route allows it."""
        directory = self._view.route_table.configuration.team_directory
        if directory is None:
            self.serve_identified(request)
            return
        exchange = request.exchange
        key = headers.caller_key(exchange.request)
        team = directory.find(key) if key is not None else None
        if team is None and not request.route_match.route.allows_anonymous:
            reason = "no_key" if key is None else "unknown_key"
            self.refusals.refuse(
                exchange, request.metadata, http.HTTPStatus.UNAUTHORIZED, reason
            )
            return
        # Removed here, so that nothing that handles the request from now on
        # can pass the key on or log it.
        exchange.request = headers.without_identity(exchange.request)
        identified = dataclasses.replace(request, team=team)
        if self.request_permits is None:
            self.serve_identified(identified)
        else:
            self.request_permits.serve(identified)

    def serve_identified(self, request: inbound.RoutedRequest) -> None:
        """Serves a request whose caller is identified and within its limit."""
        timed = dataclasses.replace(
            request, transit_margin_ms=self._caller_latency.margin_ms
        )
        if self._plan_context.mechanisms.caller_time:
            spent_ms = self._caller_latency.observe_elapsed_ms(
                request.route_match.route.name,
                request.metadata.deadline_ms,
                request.exchange.request.is_first,
            )
            timed = dataclasses.replace(
                timed,
                caller_spent_ms=spent_ms,
                is_returning=self._caller_latency.is_returning(
                    spent_ms, request.exchange.request.is_first
                ),
            )
        suspect_registry = self._plan_context.suspect_registry
        keep_local = self.delegator is None or (
            suspect_registry.has_entries
            and suspect_registry.is_tracked(timed.fingerprint)
        )
        if keep_local or not self.delegator.try_delegate(
            timed, timed.version, self._view.upstream_list.summary
        ):
            self.run_locally(timed, may_have_run=False)

    def run_locally(
        self, request: inbound.RoutedRequest, may_have_run: bool
    ) -> None:
        """Runs a request on this instance.

        Args:
            request: The request to run.
            may_have_run: Whether a neighbour may have run part of the request.
        """

        def start() -> None:
            requestrun.RequestRun(
                self, request, may_have_run=may_have_run
            ).start()

        if self.admission is None:
            start()
        elif may_have_run:
            # It can't be refused as not run.
            self.admission.count_started(request)
            start()
        else:
            self.admission.submit(
                request,
                start,
                lambda reason, retry_after_ms: self.refusals.refuse_admission(
                    request, reason, retry_after_ms
                ),
            )

    def can_rerun_locally(self, request: inbound.RoutedRequest) -> bool:
        """Returns whether the extra call budget allows rerunning a query here.

        A neighbour may have started the query, so each part counts as an extra
        call.
        """
        services = request.route_match.services
        now_ms = clock.now_ms()
        affordable_count = sum(
            self._plan_context.extra_call_budget.can_spend(each, now_ms)
            for each in services
        )
        floor_count = callcommand.coverage_floor_count(
            request.route_match.route, len(services)
        )
        return affordable_count >= floor_count

    def counts_as_shed(
        self, trace: calltrace.Trace, outcome: callcommand.Outcome
    ) -> bool:
        """Returns whether a call shows that a service has no room."""
        if self.admission is None:
            return False
        return (
            outcome.kind is callcommand.OutcomeKind.SHED
            and self.admission.counts_as_shed(trace.service, trace.upstream_id)
        )

    def record_end(
        self,
        request: inbound.RoutedRequest,
        status: int,
        in_time: bool,
        shed_count: int,
    ) -> None:
        """Records the end of a request that was started.

        Args:
            request: The request.
            status: Status of the answer; 0 if the caller has left.
            in_time: Whether it ended before its latency goal.
            shed_count: Calls that `counts_as_shed` counted.
        """
        if self.admission is not None:
            answered = (
                http.HTTPStatus.OK <= status < http.HTTPStatus.BAD_REQUEST
            )
            self.admission.on_ended(request, answered and in_time, shed_count)

    def record_lateness(self, late_ms: float) -> None:
        """Records how long after its latency goal an answer was written."""
        self._caller_latency.answer_delay.record(late_ms)

    def record_reply(self, route_name: str, reply: message.Reply) -> None:
        """Records the size of an upstream's reply, used to select delegates."""
        if self.delegator is not None:
            size_bytes = message.reply_size_bytes(reply)
            self.delegator.selector.record_reply_size(route_name, size_bytes)

    def stall_fields(self, received_ms: float) -> dict[str, float]:
        """Returns log fields of a stall shortly before or during a request."""
        if self.delegator is None:
            return {}
        return self.delegator.loop_watch.stall_fields(received_ms)

    def can_relay_to(self, failure_domain: str) -> bool:
        """Returns whether calls to a failure domain may be relayed."""
        return self.call_relay is not None and (
            failure_domain != self._failure_domain
        )

    def on_partition(self) -> None:
        """Abandons calls to other failure domains in all active requests."""
        for each in tuple(self.active_runs):
            each.on_partition()

    def on_shutdown(self, started: shutdown.Shutdown) -> None:
        """Ends the requests of this instance before its process ends."""
        self.shutdown = started
        for each in tuple(self.active_runs):
            each.on_shutdown(started)
        if self.admission is not None:
            self.admission.on_shutdown(started)

    def on_quarantined(self, fingerprint: str) -> None:
        """Fails active requests that have a newly quarantined fingerprint."""
        for each in tuple(self.active_runs):
            if each.fingerprint == fingerprint:
                each.on_quarantined()

    @property
    def view(self) -> replicatedview.ReplicatedView:
        """The instance's view of configuration and upstreams."""
        return self._view

    @property
    def plan_context(self) -> plancontext.PlanContext:
        """The shared state that call plans use."""
        return self._plan_context

    def connection_limit_count(self, upstream: traffic.Upstream) -> int:
        """Returns this instance's connection limit for an upstream."""
        configuration = self._view.route_table.configuration
        service = (
            configuration.services.get(upstream.service)
            if configuration
            else None
        )
        if service is None:
            return 1
        return connections.connection_limit_count(
            service.max_connections_count,
            upstream.failure_domain == self._failure_domain,
            self.instance_counts,
        )
