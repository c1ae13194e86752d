"""The gateway process: opens its ports, serves requests and stops cleanly."""

import asyncio
import collections.abc
import itertools
import random
import signal
import socket

import uvloop

from hyssoptack.balancing import connections
from hyssoptack.balancing import loadbalancer
from hyssoptack.balancing import warmup
from hyssoptack.budget import windowbudget
from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.core import traffic
from hyssoptack.delegation import delegation
from hyssoptack.delegation import gatherers
from hyssoptack.events import log
from hyssoptack.gateway import admissionsetup
from hyssoptack.gateway import budgetshare
from hyssoptack.gateway import callrelay
from hyssoptack.gateway import derivedsettings
from hyssoptack.gateway import draining
from hyssoptack.gateway import earlyport
from hyssoptack.gateway import exceptionlog
from hyssoptack.gateway import gathererservice
from hyssoptack.gateway import instancegauges
from hyssoptack.gateway import listeners
from hyssoptack.gateway import metrics
from hyssoptack.gateway import partitionmonitor
from hyssoptack.gateway import peerdispatch
from hyssoptack.gateway import peering
from hyssoptack.gateway import pool
from hyssoptack.gateway import quarantinestore
from hyssoptack.gateway import quarantinesync
from hyssoptack.gateway import querydelegation
from hyssoptack.gateway import ratelimitsetup
from hyssoptack.gateway import registration
from hyssoptack.gateway import replicatedview
from hyssoptack.gateway import requesthandler
from hyssoptack.gateway import settingsfile
from hyssoptack.gateway import statuspages
from hyssoptack.gateway import storewatch
from hyssoptack.gateway import supervision
from hyssoptack.http1 import httpserver
from hyssoptack.membership import partitiondetector
from hyssoptack.membership import readerelection
from hyssoptack.planning import plancontext
from hyssoptack.planning import shutdown
from hyssoptack.platform import headers
from hyssoptack.platform import keyvalue
from hyssoptack.platform import storeformat
from hyssoptack.quarantine import quarantine
from hyssoptack.settings import gateway


class Gateway:
    """One gateway instance: its servers, peer links, state and tasks."""

    def __init__(self, settings: gateway.GatewaySettings, path: str = ""):
        """Creates a gateway; `path` is the settings file, empty if none."""
        self._settings = settings
        self._path = path
        self._pools = pool.Pools(headers.REQUEST_ID)
        self._warmups = warmup.WarmupLimiter(
            derivedsettings.own_peer(settings), settings.warmup, clock.now_ms()
        )
        self._load_balancer = loadbalancer.LoadBalancer(
            derivedsettings.load_balancer_settings(settings), self._warmups
        )
        self.view = replicatedview.ReplicatedView(
            load_balancer=self._load_balancer,
            pools=self._pools,
            on_configuration=self._on_configuration,
            keeps_expired_upstreams=settings.mechanisms.grace,
        )
        self.reader_election = readerelection.ReaderElection(
            settings.instance_id,
            settings.failure_domain,
            readerelection.read_timings(settings.propagation_bound_ms),
        )
        self.view.gate.set_timings(self.reader_election.read_timings)
        self._pools.context.run_when_current = self.view.gate.run_when_open
        self._extra_call_budget = windowbudget.WindowBudget(
            budgetshare.even_share(settings.budget, 0), clock.now_ms()
        )
        self._partition_detector = partitiondetector.PartitionDetector()
        self._suspect_registry = quarantine.SuspectRegistry(
            random.Random(), settings.mechanisms.suspicion
        )
        self._suspect_registry.set_trusted(
            settings.trusted_fingerprints, clock.now_ms()
        )
        self._metrics = metrics.Metrics()
        self._admission = admissionsetup.for_instance(
            settings,
            self._load_balancer,
            self._partition_detector,
            self._metrics,
        )
        self._request_handler = requesthandler.RequestHandler(
            self.view, self._context(), settings.failure_domain, self._metrics
        )
        self._request_handler.admission = self._admission
        self._caller_server = httpserver.Server(
            handler=self._request_handler.handle,
            on_refused=requesthandler.log_unreadable_request,
        )
        pages = statuspages.StatusPages(
            self._metrics, self._is_ready, self._gauge_values
        )
        self._probe_server = httpserver.Server(handler=pages.answer_readiness)
        self._metrics_server = httpserver.Server(handler=pages.answer_metrics)
        # Separate pools: `Pools.keep_only` closes all but the given upstreams'.
        self._store_pools = pool.Pools(headers.REQUEST_ID)
        self._store = keyvalue.Client(settings.store_address, self._store_pools)
        self._peering = peering.Peering(
            settings,
            self.view,
            self.reader_election,
            self._on_instances,
            self._partition_detector.on_neighbour_suspicion,
        )
        self._delegator = querydelegation.Delegator(
            delegation.DelegateSelector(
                derivedsettings.delegation_link_mbps(settings), random.Random()
            ),
            settings.peer_address,
            self._peering.send,
            self._request_handler.run_locally,
            self._request_handler.can_rerun_locally,
        )
        self._request_handler.delegator = self._delegator
        self.view.gate.awake_since_ms = (
            self._delegator.loop_watch.awake_since_ms
        )
        self._call_relay = callrelay.CallRelay(
            gatherers.GathererSelector(random.Random()),
            settings.peer_address,
            self._peering.send,
            settings.mechanisms.relaying,
        )
        self._request_handler.call_relay = self._call_relay
        self._gatherer_service = gathererservice.GathererService(
            self.view,
            settings.peer_address,
            self._peering.send,
            self._request_handler.connection_limit_count,
            self._delegator.loop_watch.messages_may_be_stale,
            self._suspect_registry,
        )
        self._quarantine_sync = quarantinesync.QuarantineSync(
            self._suspect_registry,
            derivedsettings.own_peer(settings),
            self.reader_election.neighbours,
            self._call_relay.selector.peers,
            self._peering.send,
            self._request_handler.on_quarantined,
            self._metrics,
        )
        self._quarantine_store = quarantinestore.QuarantineStore(
            self._suspect_registry, self._store, storeformat.BLOCKED_PREFIX
        )
        self._pools.context.on_upstream_exit = (
            self._quarantine_sync.on_upstream_exit
        )
        self._rate_limiter = ratelimitsetup.limit_rates(
            settings,
            self.view,
            self._request_handler,
            self._metrics,
            self._peering.send,
            self._call_relay.selector.peers,
        )
        self._connect_peers()
        self._partition_monitor = partitionmonitor.PartitionMonitor(
            self.view,
            self._partition_detector,
            settings.failure_domain,
            lambda: self._settings.store_address,
            self._on_partition_change,
        )
        self._stopping = asyncio.Event()
        self._stop_signal_ms = 0.0
        self._listeners = listeners.Listeners()

    def _context(self) -> plancontext.PlanContext:
        return plancontext.PlanContext(
            load_balancer=self._load_balancer,
            extra_call_budget=self._extra_call_budget,
            partition_detector=self._partition_detector,
            mechanisms=self._settings.mechanisms,
            suspect_registry=self._suspect_registry,
            holds_extra_calls=self._admission.holds_extra_calls
            if self._admission
            else plancontext.never_holds,
        )

    def _connect_peers(self) -> None:
        """Passes the messages of peers to the components."""
        dispatch = peerdispatch.PeerDispatch(
            is_serving=self._is_serving,
            request_handler=self._request_handler,
            delegator=self._delegator,
            call_relay=self._call_relay,
            gatherer_service=self._gatherer_service,
            quarantine_sync=self._quarantine_sync,
            rate_limiter=self._rate_limiter,
        )
        self._peering.on_message = dispatch.on_message
        self._peering.on_undelivered = dispatch.on_undelivered
        self._peering.on_link_lost = dispatch.on_link_lost

    def _on_configuration(self, configuration: traffic.Configuration) -> None:
        self._caller_server.limits = configuration.limits
        self._warmups.set_services(configuration.services)
        self._extra_call_budget.shard_services = configuration.shard_services
        if self._rate_limiter is not None:
            self._rate_limiter.on_configuration()
        if self._admission is not None:
            self._admission.on_configuration(configuration)

    def _on_partition_change(self) -> None:
        """Sets whether caller connections close after their next reply.

        During a partition, also notifies neighbours and abandons calls to
        other failure domains.
        """
        leaves_rotation = self._partition_detector.leaves_rotation
        self._caller_server.closing = leaves_rotation or self._stopping.is_set()
        if not self._partition_detector.is_partitioned:
            return
        if self._partition_detector.suspected_locally:
            self._peering.publish_partition()
        self._request_handler.on_partition()

    def _is_serving(self) -> bool:
        return self.view.is_complete and not self._stopping.is_set()

    def _is_ready(self) -> bool:
        leaves_rotation = self._partition_detector.leaves_rotation
        return self._is_serving() and not leaves_rotation

    def _gauge_values(self, now_ms: float) -> dict[str, float]:
        gauges = instancegauges.InstanceGauges(
            view=self.view,
            store=self._store,
            caller_server=self._caller_server,
            request_handler=self._request_handler,
            gatherer_service=self._gatherer_service,
            reader_election=self.reader_election,
            suspect_registry=self._suspect_registry,
        )
        return gauges.values(now_ms)

    async def run(self, callers_port: socket.socket | None = None) -> None:
        """Serves until a stop signal, then finishes the requests in progress.

        `callers_port` is the callers' port, if it is open already.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(exceptionlog.log_callback_exception)
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        loop.add_signal_handler(signal.SIGINT, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if callers_port is None:
            callers_port = earlyport.listening_socket(
                self._settings.callers_address
            )
        await self._listeners.listen(
            self._settings.readiness_address, self._probe_server
        )
        if self._settings.metrics_address:
            await self._listeners.listen(
                self._settings.metrics_address, self._metrics_server
            )
        log.write(
            log.Event.STARTED,
            instance=self._settings.instance_id,
            failure_domain=self._settings.failure_domain,
        )
        self._peering.start()
        try:
            await self._serve_until_stopped(callers_port)
            started = shutdown.Shutdown(
                started_ms=self._stop_signal_ms,
                grace_ms=self._settings.grace_ms,
            )
            self._request_handler.on_shutdown(started)
            took_ms = await draining.drain(
                self._caller_server, self._listeners, self, started
            )
            log.write(
                log.Event.STOPPED,
                took_ms=round(took_ms),
                unfinished=len(self._request_handler.active_runs),
            )
        finally:
            self._peering.stop()

    async def _serve_until_stopped(self, callers_port: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        registered = registration.Registration(self._settings, self._store)
        watcher = storewatch.StoreWatcher(
            self._settings,
            self.view,
            self._store,
            self._peering,
            self._on_instances,
            self._quarantine_store.reconcile,
        )
        reading = {
            "upstreams": watcher.poll_upstreams,
            "configuration": watcher.watch_configuration,
            "instances": watcher.poll_instances,
            "registration": registered.maintain_registration,
            "settings": lambda: settingsfile.watch(self._path, self.reload),
        }
        tasks = [
            loop.create_task(each)
            for each in (
                *itertools.starmap(supervision.keep_running, reading.items()),
                self._delegator.loop_watch.watch(),
                self._caller_server.close_timed_out_connections(),
                self._probe_server.close_timed_out_connections(),
                self._pools.sweep(),
                self._store_pools.sweep(),
            )
        ]
        tasks.extend(loop.create_task(each) for each in self._optional_tasks())
        await self._listeners.accept_callers(
            callers_port, self._caller_server, self.view
        )
        stopped = loop.create_task(self._stopping.wait())
        done, _ = await asyncio.wait(
            (*tasks, stopped), return_when=asyncio.FIRST_COMPLETED
        )
        for each in done:
            # No task returns by itself. One that reads nothing from outside
            # fails only if an invariant is violated, which stops the process.
            each.result()

    def _optional_tasks(self) -> list[collections.abc.Coroutine]:
        """Returns the tasks of the mechanisms that are switched on."""
        tasks = []
        if self._settings.mechanisms.told_calls:
            tasks.append(self._peering.publish_latencies_periodically())
        if self._settings.mechanisms.suspicion:
            tasks.append(self._quarantine_sync.share_periodically())
        if self._admission is not None:
            tasks.append(self._admission.watch())
        if self._settings.mechanisms.cut_belief:
            tasks.append(self._partition_monitor.watch())
        if self._rate_limiter is not None:
            tasks.append(self._rate_limiter.run_periodically())
        return tasks

    def stop(self) -> None:
        """Begins a graceful shutdown."""
        log.write(
            log.Event.STOP_ASKED, running=len(self._request_handler.active_runs)
        )
        if not self._stopping.is_set():
            loop_watch = self._delegator.loop_watch
            self._stop_signal_ms = loop_watch.earliest_event_ms()
        self._stopping.set()

    def reload(self) -> None:
        """Reloads the settings file; an invalid file changes nothing."""
        settings = settingsfile.reload(self._path, self._settings)
        if settings is not None:
            self._apply(settings)

    def _apply(self, settings: gateway.GatewaySettings) -> None:
        """Applies settings that were read again."""
        self._settings = settings
        self._store.set_address(settings.store_address)
        self.reader_election.read_timings = readerelection.read_timings(
            settings.propagation_bound_ms
        )
        self.view.gate.set_timings(self.reader_election.read_timings)
        self._load_balancer.settings = derivedsettings.load_balancer_settings(
            settings
        )
        self._warmups.limits = settings.warmup
        self._delegator.selector.link_mbps = (
            derivedsettings.delegation_link_mbps(settings)
        )
        budgetshare.update_shares(
            self._extra_call_budget, self._settings, self.reader_election
        )
        self._suspect_registry.set_trusted(
            settings.trusted_fingerprints, clock.now_ms()
        )

    def _on_instances(self, far_gatherers: tuple[member.Peer, ...]) -> None:
        """Applies new instances and the gatherers of other failure domains."""
        self._delegator.selector.set_neighbours(
            self.reader_election.neighbours()
        )
        self._call_relay.selector.set_gatherers(far_gatherers)
        if self._rate_limiter is not None and (
            self.reader_election.instance_count
        ):
            self._rate_limiter.set_neighbours(self.reader_election.neighbours())
        self._warmups.update_instances(
            self.reader_election.neighbours(), clock.now_ms()
        )
        if self._admission is not None:
            self._admission.instance_count = (
                self.reader_election.peak_instance_count
            )
        own_count = len(self.reader_election.neighbours()) + 1
        self._request_handler.instance_counts = connections.InstanceCounts(
            same_domain_count=own_count,
            other_domain_count=max(
                0, self.reader_election.instance_count - own_count
            ),
        )
        budgetshare.update_shares(
            self._extra_call_budget, self._settings, self.reader_election
        )

    def is_in_progress(self) -> bool:
        """Returns whether requests, or calls for other instances, run here."""
        return bool(
            self._request_handler.active_runs
            or self._gatherer_service.active_gathers
        )

    def on_process_end(self) -> None:
        """Answers delegated queries, and reports relayed calls as lost."""
        self._delegator.on_process_end()
        self._gatherer_service.on_process_end()


def run(
    settings: gateway.GatewaySettings,
    path: str,
    callers_port: socket.socket | None = None,
) -> None:
    """Runs a gateway until it is stopped; `Gateway` documents the arguments."""

    async def main() -> None:
        await Gateway(settings, path).run(callers_port)

    uvloop.run(main())
