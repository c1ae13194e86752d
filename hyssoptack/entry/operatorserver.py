"""HTTP server for operators: metrics, probes, status and burn counts."""

import asyncio
import collections.abc
import dataclasses
import threading

from cheroot import wsgi

from hyssoptack.core import clock
from hyssoptack.entry import actioncoordinator
from hyssoptack.entry import burncounts
from hyssoptack.entry import claimstore
from hyssoptack.entry import metrics
from hyssoptack.entry import queryadmission
from hyssoptack.entry import querycoordinator
from hyssoptack.entry import responses
from hyssoptack.entry import state
from hyssoptack.peers import link
from hyssoptack.relay import relay
from hyssoptack.revisions import configuration
from hyssoptack.revisions import platformwatch

THREAD_COUNT = 4
TEXT_TYPE = "text/plain; charset=utf-8"
BURN_WINDOWS_MS = (60_000.0, 300_000.0, 3_600_000.0)
STATUS_LINE_OK = "200 OK"
STATUS_LINE_UNAVAILABLE = "503 Service Unavailable"
STATUS_LINE_NOT_FOUND = "404 Not Found"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusSources:
    """Components whose state the operator port reports."""

    state: state.InstanceState
    configuration: configuration.ActiveConfiguration
    query_coordinator: querycoordinator.QueryCoordinator
    admission: queryadmission.QueryAdmission
    action_coordinator: actioncoordinator.ActionCoordinator
    claim_store: claimstore.ClaimStore
    relay: relay.Relay
    links: link.Links
    platform_watcher: platformwatch.PlatformWatcher
    metrics: metrics.Metrics
    burn_counts: burncounts.BurnCounts


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamStatus:
    """State of one upstream in this instance's view.

    Attributes:
        upstream_id: Identifier of the upstream.
        state: State in the `upstream` chart.
        service_ms: Estimate of the service time, in milliseconds.
        held_versions: Index versions that it holds, as far as known.
        owned: Whether this instance may call it now.
    """

    upstream_id: str
    state: str
    service_ms: float
    held_versions: tuple[int, ...]
    owned: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Status:
    """Body of `/status`; its fields are the JSON keys.

    Attributes:
        instance_id: Identifier of the instance.
        incarnation: Unique identifier of its process.
        failure_domain: Failure domain of the instance.
        state: State in the `instance` chart.
        leaving: Whether the instance has announced that it is leaving.
        peer_address: Address for messages of peers.
        operator_address: Address of the operator port.
        revision: Configuration revision in force; 0 if there is none.
        change_id: Identifier of the change that made the revision.
        in_force_ms: Time since the revision came into force, in milliseconds.
        is_watcher: Whether the instance watches the store for its domain.
        watch_count: Number of long polls of the store in progress.
        usable_instances: Identifiers of the instances that may receive work.
        query_count: Number of queries in flight.
        action_count: Number of actions in flight.
        upstream_call_count: Number of search calls to upstreams so far.
        search_count: Number of queries started so far.
        claim_write_count: Number of claim writes started so far.
        peer_traffic: Counters of the links to peers.
        admission_limits: Limit of queries in flight, by service.
        extra_call_tokens: Remaining budget of extra calls, by service.
        upstream_p95_ms: 95th percentile of service times, by service; None if
            not known.
        upstreams: State of each known upstream.
    """

    instance_id: str
    incarnation: str
    failure_domain: str
    state: str
    leaving: bool
    peer_address: str
    operator_address: str
    revision: int
    change_id: str
    in_force_ms: float
    is_watcher: bool
    watch_count: int
    usable_instances: tuple[str, ...]
    query_count: int
    action_count: int
    upstream_call_count: int
    search_count: int
    claim_write_count: int
    peer_traffic: link.LinkCounters
    admission_limits: dict[str, float]
    extra_call_tokens: dict[str, float]
    upstream_p95_ms: dict[str, float | None]
    upstreams: tuple[UpstreamStatus, ...]


class OperatorServer:
    """Serves the operator port on threads of its own."""

    def __init__(self, sources: StatusSources, loop: asyncio.AbstractEventLoop):
        self._sources = sources
        self._loop = loop
        address = sources.state.settings.operator_address
        host, _, port = address.rpartition(":")
        self._server = wsgi.Server(
            (host, int(port)),
            self._application,
            numthreads=THREAD_COUNT,
            shutdown_timeout=1,
        )
        self._thread = threading.Thread(
            target=self._server.serve, name="operations"
        )

    def start(self) -> None:
        """Opens the port."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Closes the port and waits for its thread."""
        self._server.stop()
        self._thread.join()

    def _application(
        self,
        environ: dict[str, object],
        start_response: collections.abc.Callable,
    ) -> list[bytes]:
        accept_header = str(environ.get("HTTP_ACCEPT", ""))
        future = asyncio.run_coroutine_threadsafe(
            self._respond(str(environ["PATH_INFO"]), accept_header), self._loop
        )
        status, content_type, body = future.result()
        headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
        ]
        start_response(status, headers)
        return [body]

    async def _respond(
        self, path: str, accept_header: str
    ) -> tuple[str, str, bytes]:
        """Builds a response on the event loop, which owns the reported state.

        Args:
            path: Path of the request.
            accept_header: Value of its `Accept` header.

        Returns:
            The status line, content type and body.
        """
        match path:
            case "/metrics":
                self._set_gauges()
                body, headers = self._sources.metrics.render(accept_header)
                return STATUS_LINE_OK, headers["Content-Type"], body
            case "/healthz":
                return STATUS_LINE_OK, TEXT_TYPE, b"alive\n"
            case "/readyz":
                ready = self._sources.state.is_ready()
                line = STATUS_LINE_OK if ready else STATUS_LINE_UNAVAILABLE
                text = self._sources.state.chart_state + "\n"
                return line, TEXT_TYPE, text.encode()
            case "/status":
                response = responses.json_response(self._status())
                return STATUS_LINE_OK, responses.JSON_TYPE, response.body
            case "/burn":
                windows = self._sources.burn_counts.window_sums(
                    BURN_WINDOWS_MS, clock.now_ms()
                )
                response = responses.json_response(windows)
                return STATUS_LINE_OK, responses.JSON_TYPE, response.body
            case _:
                text = b"paths: /metrics /healthz /readyz /status /burn\n"
                return STATUS_LINE_NOT_FOUND, TEXT_TYPE, text

    def _set_gauges(self) -> None:
        sources = self._sources
        traffic = sources.links.counters
        facts = {
            "revision": sources.configuration.revision(),
            "ready": int(sources.state.is_ready()),
            "queries_in_flight": sources.query_coordinator.in_flight_count(),
            "actions_in_flight": sources.action_coordinator.in_flight_count,
            "claim_writes": sources.claim_store.write_count,
            "watches": sources.platform_watcher.watch_count,
            "upstream_calls_made": sources.relay.call_count,
            **dataclasses.asdict(traffic),
        }
        for name, value in facts.items():
            sources.metrics.instance_facts.set({"fact": name}, value)

    def _status(self) -> Status:
        sources = self._sources
        now_ms = clock.now_ms()
        settings = sources.state.settings
        manifest = sources.configuration.manifest
        since_ms = sources.state.catalog_applied_ms
        limits = {
            name: round(limiter.limit_count, 2)
            for name, limiter in sources.admission.limiters().items()
        }
        return Status(
            instance_id=settings.instance_id,
            incarnation=sources.state.incarnation,
            failure_domain=settings.failure_domain,
            state=sources.state.chart_state,
            leaving=sources.state.is_leaving(),
            peer_address=settings.peer_address,
            operator_address=settings.operator_address,
            revision=sources.configuration.revision(),
            change_id=manifest.change_id if manifest else "",
            in_force_ms=now_ms - since_ms if since_ms else 0.0,
            is_watcher=sources.platform_watcher.is_watcher(),
            watch_count=sources.platform_watcher.watch_count,
            usable_instances=tuple(
                sorted(sources.state.usable_members(now_ms))
            ),
            query_count=sources.query_coordinator.in_flight_count(),
            action_count=sources.action_coordinator.in_flight_count,
            upstream_call_count=sources.relay.call_count,
            search_count=sources.query_coordinator.started_count,
            claim_write_count=sources.claim_store.write_count,
            peer_traffic=sources.links.counters,
            admission_limits=limits,
            extra_call_tokens={
                name: round(
                    sources.state.retry_budgets.for_service(name).token_count, 2
                )
                for name in sources.state.catalog.services
            },
            upstream_p95_ms={
                name: sources.state.upstream_health.quantile_ms(name, 0.95)
                for name in sources.state.catalog.services
            },
            upstreams=self._upstreams(now_ms),
        )

    def _upstreams(self, now_ms: float) -> tuple[UpstreamStatus, ...]:
        health = self._sources.state.upstream_health
        result = []
        for upstream_id in sorted(health.upstreams):
            view = health.refresh(upstream_id, now_ms)
            result.append(
                UpstreamStatus(
                    upstream_id=upstream_id,
                    state=view.state,
                    service_ms=round(view.service_ms, 3),
                    held_versions=view.held_versions or (),
                    owned=self._sources.relay.owns(upstream_id, now_ms),
                )
            )
        return tuple(result)
