"""The operators' port: metrics, probes and status."""

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
    """The tasks that the port reads from."""

    state: state.InstanceState
    configuration: configuration.ActiveConfiguration
    query_coordinator: querycoordinator.QueryCoordinator
    action_coordinator: actioncoordinator.ActionCoordinator
    claim_store: claimstore.ClaimStore
    relay: relay.Relay
    links: link.Links
    platform_watcher: platformwatch.PlatformWatcher
    metrics: metrics.Metrics
    burn_counts: burncounts.BurnCounts


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamStatus:
    """One upstream as this instance sees it."""

    upstream_id: str
    state: str
    service_ms: float
    held_versions: tuple[int, ...]
    owned: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Status:
    """What `/status` shows."""

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
    """Owns the operators' socket."""

    def __init__(self, parts: StatusSources, loop: asyncio.AbstractEventLoop):
        self._parts = parts
        self._loop = loop
        address = parts.state.settings.operator_address
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
        """Closes the port."""
        self._server.stop()
        self._thread.join()

    def _application(
        self,
        environ: dict[str, object],
        start_response: collections.abc.Callable,
    ) -> list[bytes]:
        accepts = str(environ.get("HTTP_ACCEPT", ""))
        future = asyncio.run_coroutine_threadsafe(
            self._answer(str(environ["PATH_INFO"]), accepts), self._loop
        )
        status, content_type, body = future.result()
        headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
        ]
        start_response(status, headers)
        return [body]

    async def _answer(self, path: str, accepts: str) -> tuple[str, str, bytes]:
        """Reads the tasks' state on the loop, where they write it."""
        match path:
            case "/metrics":
                self._set_gauges()
                body, headers = self._parts.metrics.render(accepts)
                return STATUS_LINE_OK, headers["Content-Type"], body
            case "/healthz":
                return STATUS_LINE_OK, TEXT_TYPE, b"alive\n"
            case "/readyz":
                ready = self._parts.state.is_ready()
                line = STATUS_LINE_OK if ready else STATUS_LINE_UNAVAILABLE
                text = self._parts.state.chart_state + "\n"
                return line, TEXT_TYPE, text.encode()
            case "/status":
                page = responses.json_response(self._status())
                return STATUS_LINE_OK, responses.JSON_TYPE, page.body
            case "/burn":
                windows = self._parts.burn_counts.window_sums(
                    BURN_WINDOWS_MS, clock.now_ms()
                )
                page = responses.json_response(windows)
                return STATUS_LINE_OK, responses.JSON_TYPE, page.body
            case _:
                text = b"paths: /metrics /healthz /readyz /status /burn\n"
                return STATUS_LINE_NOT_FOUND, TEXT_TYPE, text

    def _set_gauges(self) -> None:
        parts = self._parts
        traffic = parts.links.counters
        facts = {
            "revision": parts.configuration.revision(),
            "ready": int(parts.state.is_ready()),
            "queries_in_flight": parts.query_coordinator.in_flight_count(),
            "actions_in_flight": parts.action_coordinator.in_flight_count,
            "claim_writes": parts.claim_store.write_count,
            "watches": parts.platform_watcher.watch_count,
            "upstream_calls_made": parts.relay.call_count,
            **dataclasses.asdict(traffic),
        }
        for name, value in facts.items():
            parts.metrics.instance_facts.set({"fact": name}, value)

    def _status(self) -> Status:
        parts = self._parts
        now_ms = clock.now_ms()
        settings = parts.state.settings
        manifest = parts.configuration.manifest
        since_ms = parts.state.catalog_applied_ms
        limits = {
            name: round(gate.limit_count, 2)
            for name, gate in parts.query_coordinator.limiters().items()
        }
        return Status(
            instance_id=settings.instance_id,
            incarnation=parts.state.incarnation,
            failure_domain=settings.failure_domain,
            state=parts.state.chart_state,
            leaving=parts.state.is_leaving(),
            peer_address=settings.peer_address,
            operator_address=settings.operator_address,
            revision=parts.configuration.revision(),
            change_id=manifest.change_id if manifest else "",
            in_force_ms=now_ms - since_ms if since_ms else 0.0,
            is_watcher=parts.platform_watcher.is_watcher(),
            watch_count=parts.platform_watcher.watch_count,
            usable_instances=tuple(sorted(parts.state.usable_members(now_ms))),
            query_count=parts.query_coordinator.in_flight_count(),
            action_count=parts.action_coordinator.in_flight_count,
            upstream_call_count=parts.relay.call_count,
            search_count=parts.query_coordinator.started_count,
            claim_write_count=parts.claim_store.write_count,
            peer_traffic=parts.links.counters,
            admission_limits=limits,
            extra_call_tokens={
                name: round(
                    parts.state.retry_budgets.for_service(name).token_count, 2
                )
                for name in parts.state.catalog.services
            },
            upstream_p95_ms={
                name: parts.state.upstream_health.quantile_ms(name, 0.95)
                for name in parts.state.catalog.services
            },
            upstreams=self._upstreams(now_ms),
        )

    def _upstreams(self, now_ms: float) -> tuple[UpstreamStatus, ...]:
        health = self._parts.state.upstream_health
        result = []
        for upstream_id in sorted(health.upstreams):
            view = health.refresh(upstream_id, now_ms)
            result.append(
                UpstreamStatus(
                    upstream_id=upstream_id,
                    state=view.state,
                    service_ms=round(view.service_ms, 3),
                    held_versions=view.held_versions or (),
                    owned=self._parts.relay.owns(upstream_id, now_ms),
                )
            )
        return tuple(result)
