"""The entry daemon: starts the instance's tasks and shuts down gracefully."""

import asyncio
import concurrent.futures
import os
import signal
import traceback
import typing

import uvloop

from hyssoptack.admission import limiter
from hyssoptack.charts import chart
from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.entry import actioncoordinator
from hyssoptack.entry import actionexecutor
from hyssoptack.entry import burncounts
from hyssoptack.entry import callerserver
from hyssoptack.entry import claimstore
from hyssoptack.entry import loopstall
from hyssoptack.entry import metrics
from hyssoptack.entry import operatorserver
from hyssoptack.entry import ownershiprenewer
from hyssoptack.entry import queryadmission
from hyssoptack.entry import querycoordinator
from hyssoptack.entry import state
from hyssoptack.events import log
from hyssoptack.hedging import hedging
from hyssoptack.peers import codec
from hyssoptack.peers import gossip
from hyssoptack.peers import link
from hyssoptack.relay import client
from hyssoptack.relay import relay
from hyssoptack.revisions import configuration
from hyssoptack.revisions import members
from hyssoptack.revisions import platformwatch
from hyssoptack.revisions import store
from hyssoptack.settings import instance

MS_PER_S = 1000.0
IDLE_CHECK_MS = 20.0
THREAD_COUNT = 32
EXIT_OK = 0
# EX_SOFTWARE of sysexits.h.
EXIT_INTERNAL_ERROR = 70


class Daemon:
    """One entry instance: its servers, coordinators and background tasks."""

    def __init__(
        self,
        settings: instance.InstanceSettings,
        hedge_policy: hedging.HedgePolicy,
        admission_policy: limiter.Policy,
    ):
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._second_signal = asyncio.Event()
        self._stop_requested = asyncio.Event()
        self._threads = concurrent.futures.ThreadPoolExecutor(
            THREAD_COUNT, thread_name_prefix="platform"
        )
        self._state = state.InstanceState(settings, hedge_policy)
        self._config = configuration.ActiveConfiguration()
        self._client = client.UpstreamClient()
        self._metrics = metrics.Metrics()
        self._burn_counts = burncounts.BurnCounts()
        self._stalls = loopstall.StallMonitor()
        admission = queryadmission.QueryAdmission(
            settings.front, admission_policy, self._stalls
        )
        store_client = store.StoreClient(settings.platform)
        self._links = link.Links(
            settings.peer_address,
            settings.peers.link_idle_ms,
            self._loop,
            codec.Codec(message.KINDS),
            self._on_received,
            self._on_undelivered,
        )
        self._relay = relay.Relay(
            settings.relay,
            self._client,
            self._state.upstream_health,
            self._on_drain,
        )
        self._query_coordinator = querycoordinator.QueryCoordinator(
            self._state,
            self._relay,
            self._send_to,
            self._metrics,
            self._burn_counts,
            admission,
        )
        self._claim_store = claimstore.ClaimStore(store_client, self._threads)
        self._executor = actionexecutor.ActionExecutor(
            self._state,
            self._relay,
            self._claim_store,
            self._send_to,
        )
        self._action_coordinator = actioncoordinator.ActionCoordinator(
            self._state,
            self._relay,
            self._executor,
            self._claim_store,
            self._send_to,
        )
        self._gossip = gossip.Gossip(
            self._state, self._config, self._links.send, self._on_config
        )
        self._platform_watcher = platformwatch.PlatformWatcher(
            self._state,
            self._config,
            store_client,
            members.MembersClient(settings.platform),
            self._threads,
            self._on_config,
            self._on_listed,
        )
        self._renewer = ownershiprenewer.OwnershipRenewer(
            self._state,
            self._relay,
            self._links.send,
            self._platform_watcher.request_instances,
        )
        self._caller_server = callerserver.CallerServer(
            self._state,
            self._query_coordinator,
            self._action_coordinator,
            self._metrics,
            self._loop,
        )
        self._operator_server = operatorserver.OperatorServer(
            operatorserver.StatusSources(
                state=self._state,
                configuration=self._config,
                query_coordinator=self._query_coordinator,
                admission=admission,
                action_coordinator=self._action_coordinator,
                claim_store=self._claim_store,
                relay=self._relay,
                links=self._links,
                platform_watcher=self._platform_watcher,
                metrics=self._metrics,
                burn_counts=self._burn_counts,
            ),
            self._loop,
        )

    async def run(self) -> None:
        """Runs until a requested shutdown is complete."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._on_signal)
        self._links.start()
        self._operator_server.start()
        self._caller_server.start()
        tasks = [
            asyncio.ensure_future(each)
            for each in (
                self._refresh_periodically(),
                self._stalls.watch(),
                self._platform_watcher.poll_instances(),
                self._platform_watcher.watch_configuration(),
                self._gossip.run(),
            )
        ]
        stopping = asyncio.ensure_future(self._stop_requested.wait())
        await asyncio.wait(
            [*tasks, stopping], return_when=asyncio.FIRST_COMPLETED
        )
        for task in tasks:
            if task.done():
                # Only a broken invariant ends one of these tasks: raise it.
                task.result()
        await self._shut_down()
        for task in tasks:
            task.cancel()
        await self._close()

    async def _refresh_periodically(self) -> None:
        while True:
            self._state.refresh(self._relay, clock.now_ms())
            self._renewer.advance()
            await asyncio.sleep(state.REFRESH_MS / MS_PER_S)

    def _on_signal(self) -> None:
        hurried = self._stop_requested.is_set()
        log.write(log.Event.STOP_ASKED, hurried=hurried)
        if hurried:
            self._second_signal.set()
        self._stop_requested.set()

    async def _shut_down(self) -> None:
        """Announces the shutdown, waits for the load balancer and drains.

        Waits `balancer_lag_ms`, within which the load balancer stops sending
        requests, and then until all work is finished or the drain limit is
        reached. A second signal ends both waits.
        """
        shutdown = self._settings.shutdown
        self._state.apply_event("stop_asked")
        self._gossip.broadcast_heartbeat()
        if self._state.chart_state == "leaving":
            await self._wait_for_second_signal(shutdown.balancer_lag_ms)
            self._state.apply_event("balancer_informed")
        limit_at_ms = clock.now_ms() + shutdown.drain_limit_ms
        while not self._is_idle():
            if clock.now_ms() >= limit_at_ms or self._second_signal.is_set():
                self._state.apply_event("drain_limit")
                self._caller_server.end_requests()
                return
            await asyncio.sleep(IDLE_CHECK_MS / MS_PER_S)
        self._state.apply_event("idle")

    async def _wait_for_second_signal(self, wait_ms: float) -> None:
        try:
            await asyncio.wait_for(
                self._second_signal.wait(), wait_ms / MS_PER_S
            )
        except TimeoutError:
            return

    def _is_idle(self) -> bool:
        return (
            self._caller_server.open_request_count() == 0
            and self._query_coordinator.in_flight_count() == 0
            and self._action_coordinator.in_flight_count == 0
            and self._executor.unfinished_task_count() == 0
            and self._relay.open_call_count() == 0
        )

    async def _close(self) -> None:
        await asyncio.to_thread(self._caller_server.stop)
        await asyncio.to_thread(self._operator_server.stop)
        self._links.stop()
        await self._client.close()
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _on_config(
        self, new_configuration: configuration.NewConfiguration
    ) -> None:
        now_ms = clock.now_ms()
        self._state.apply_catalog(new_configuration.catalog, now_ms)
        self._state.refresh(self._relay, now_ms)
        self._gossip.send_heartbeat()

    def _on_listed(self) -> None:
        self._renewer.advance()

    def _send_to(self, instance_id: str, body: message.Message) -> bool:
        address = self._state.peer_address(instance_id)
        if address is None:
            return False
        self._links.send(address, body)
        return True

    def _on_drain(self, upstream_id: str) -> None:
        """Notifies the other owners of an upstream that it is draining."""
        log.write(log.Event.UPSTREAM_DRAINING, upstream_id=upstream_id)
        own = self._settings.instance_id
        notice = message.UpstreamNote(
            upstream_id=upstream_id, draining=True, observer=own
        )
        for owner in self._state.owners_of(upstream_id) - {own}:
            self._send_to(owner, notice)

    def _on_undelivered(self, address: str, body: message.Message) -> None:
        log.write(
            log.Event.PEER_UNDELIVERED,
            address=address,
            kind=type(body).__name__,
        )
        instance_id = self._state.instance_id_at(address)
        match body:
            case message.SubQuery():
                self._query_coordinator.on_undelivered(instance_id, body)
            case message.ActionAsk():
                self._action_coordinator.on_undelivered(body)
            case _:
                pass

    def _on_received(self, received: link.ReceivedFrame) -> None:
        if received.decoded.dropped_count:
            log.write(
                log.Event.PEER_UNREADABLE,
                dropped_count=received.decoded.dropped_count,
                reason=received.decoded.reason,
            )
        for each in received.decoded.messages:
            self._on_message(each)

    def _on_message(self, body: message.Message) -> None:
        match body:
            case message.SubQuery():
                self._relay.run_sub_query(body, self._reply_sender(body))
            case message.SubAnswer():
                self._query_coordinator.on_sub_answer(body)
            case message.Cancel():
                self._relay.cancel(body)
            case message.ActionAsk():
                self._executor.on_action_ask(body)
            case message.ActionReply():
                self._action_coordinator.on_reply(body)
            case _:
                self._on_control_message(body)

    def _on_control_message(self, body: message.Message) -> None:
        match body:
            case message.UpstreamNote(upstream_id=upstream_id):
                if self._state.catalog.upstream(upstream_id) is not None:
                    self._state.upstream_health.record_drain(
                        upstream_id, clock.now_ms()
                    )
            case message.Heartbeat():
                self._gossip.on_heartbeat(body)
            case message.ConfigWanted():
                self._gossip.on_config_wanted(body)
            case message.ConfigOffer():
                self._gossip.on_config_offer(body)
            case message.OwnershipClaim():
                self._renewer.on_claim(body)
            case message.OwnershipConfirmation():
                self._renewer.on_confirmation(body)

    def _reply_sender(self, sub_query: message.SubQuery) -> relay.OnReplies:
        def send_replies(replies: tuple[message.UpstreamReply, ...]) -> None:
            answer = message.SubAnswer(
                origin=self._settings.instance_id,
                query_id=sub_query.query_id,
                replies=replies,
            )
            self._send_to(sub_query.origin, answer)

        return send_replies


def _on_loop_error(
    _loop: asyncio.AbstractEventLoop, context: dict[str, object]
) -> None:
    """Logs an exception of a callback; a broken invariant ends the process."""
    error = context.get("exception")
    if isinstance(error, chart.BrokenInvariant):
        _exit_with_error(error)
    log.write(
        log.Event.REQUEST_FAULT,
        error=repr(error),
        message=str(context.get("message")),
    )


def _exit_with_error(error: BaseException) -> typing.NoReturn:
    """Logs an error and exits at once.

    Threads and tasks must not continue with inconsistent state.
    """
    detail = "".join(traceback.format_exception(error))
    log.write(log.Event.INSTANCE_BROKEN, error=detail)
    os._exit(EXIT_INTERNAL_ERROR)


async def _main(
    settings: instance.InstanceSettings,
    hedge_policy: hedging.HedgePolicy,
    admission_policy: limiter.Policy,
) -> None:
    asyncio.get_running_loop().set_exception_handler(_on_loop_error)
    try:
        await Daemon(settings, hedge_policy, admission_policy).run()
    except Exception as error:
        _exit_with_error(error)


def run(
    settings: instance.InstanceSettings,
    hedge_policy: hedging.HedgePolicy | None = None,
    admission_policy: limiter.Policy | None = None,
) -> None:
    """Runs an entry instance until it is stopped by a signal.

    Args:
        settings: Settings of the instance.
        hedge_policy: Policy for hedged calls; by default a call is hedged once
            it is slower than the profile's quantile. Benchmarks set others.
        admission_policy: Admission policy for queries; by default adaptive.
            Benchmarks set others.
    """
    log.open_destination(settings.log_path)
    work = _main(
        settings,
        hedge_policy or hedging.HedgeAfterQuantile(),
        admission_policy or limiter.Adaptive(),
    )
    uvloop.run(work)
    # All work is finished. A thread may still be in a long poll of the store,
    # and a normal exit of the interpreter would wait for the poll to end.
    os._exit(EXIT_OK)
