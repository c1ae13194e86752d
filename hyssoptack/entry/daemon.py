"""The entry daemon: builds the tasks, runs them, and stops without a cut."""

import asyncio
import concurrent.futures
import os
import signal
import traceback
import typing

import uvloop

from hyssoptack.charts import chart
from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.entry import actioncoordinator
from hyssoptack.entry import actionexecutor
from hyssoptack.entry import burncounts
from hyssoptack.entry import callerserver
from hyssoptack.entry import claimstore
from hyssoptack.entry import metrics
from hyssoptack.entry import operatorserver
from hyssoptack.entry import querycoordinator
from hyssoptack.entry import state
from hyssoptack.events import log
from hyssoptack.peers import codec
from hyssoptack.peers import gossip
from hyssoptack.peers import link
from hyssoptack.policy import admission
from hyssoptack.policy import hedging
from hyssoptack.relay import client
from hyssoptack.relay import relay
from hyssoptack.revisions import configuration
from hyssoptack.revisions import members
from hyssoptack.revisions import platformwatch
from hyssoptack.revisions import store
from hyssoptack.settings import instance

MS_PER_S = 1000.0
REFRESH_MS = 100.0
IDLE_CHECK_MS = 20.0
THREAD_COUNT = 32
EXIT_OK = 0
EXIT_BROKEN = 70


class Daemon:
    """One entry instance."""

    def __init__(
        self,
        settings: instance.InstanceSettings,
        hedges: hedging.HedgePolicy,
        admits: admission.Policy,
    ):
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._hurried = asyncio.Event()
        self._stop_asked = asyncio.Event()
        self._threads = concurrent.futures.ThreadPoolExecutor(
            THREAD_COUNT, thread_name_prefix="platform"
        )
        self._state = state.InstanceState(settings, hedges)
        self._config = configuration.ActiveConfiguration()
        self._client = client.UpstreamClient()
        self._metrics = metrics.Metrics()
        self._burn = burncounts.BurnCounts()
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
        self._coordinator = querycoordinator.QueryCoordinator(
            self._state,
            self._relay,
            self._send_to,
            self._metrics,
            self._burn,
            admits,
        )
        self._claims = claimstore.ClaimStore(store_client, self._threads)
        self._executor = actionexecutor.ActionExecutor(
            self._state,
            self._relay,
            self._claims,
            self._send_to,
        )
        self._actor = actioncoordinator.ActionCoordinator(
            self._state,
            self._relay,
            self._executor,
            self._claims,
            self._send_to,
        )
        self._gossip = gossip.Gossip(
            self._state, self._config, self._links.send, self._on_config
        )
        self._follower = platformwatch.PlatformWatcher(
            self._state,
            self._config,
            store_client,
            members.MembersClient(settings.platform),
            self._threads,
            self._on_config,
        )
        self._front = callerserver.CallerServer(
            self._state,
            self._coordinator,
            self._actor,
            self._metrics,
            self._loop,
        )
        self._operations = operatorserver.OperatorServer(
            operatorserver.StatusSources(
                state=self._state,
                configuration=self._config,
                query_coordinator=self._coordinator,
                action_coordinator=self._actor,
                claim_store=self._claims,
                relay=self._relay,
                links=self._links,
                platform_watcher=self._follower,
                metrics=self._metrics,
                burn_counts=self._burn,
            ),
            self._loop,
        )

    async def run(self) -> None:
        """Runs until a planned stop is complete."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._on_signal)
        self._links.start()
        self._operations.start()
        self._front.start()
        tasks = [
            asyncio.ensure_future(each)
            for each in (
                self._refresh(),
                self._follower.poll_instances(),
                self._follower.watch_configuration(),
                self._gossip.run(),
            )
        ]
        stopping = asyncio.ensure_future(self._stop_asked.wait())
        await asyncio.wait(
            [*tasks, stopping], return_when=asyncio.FIRST_COMPLETED
        )
        for task in tasks:
            if task.done():
                # Only a broken invariant ends one of these.
                task.result()
        await self._leave()
        for task in tasks:
            task.cancel()
        await self._close()

    async def _refresh(self) -> None:
        while True:
            self._state.refresh(self._relay, clock.now_ms())
            await asyncio.sleep(REFRESH_MS / MS_PER_S)

    def _on_signal(self) -> None:
        hurried = self._stop_asked.is_set()
        log.write(log.Event.STOP_ASKED, hurried=hurried)
        if hurried:
            self._hurried.set()
        self._stop_asked.set()

    async def _leave(self) -> None:
        """Tells everyone, waits out the balancer's lag, finishes all work."""
        shutdown = self._settings.shutdown
        self._state.apply_event("stop_asked")
        self._gossip.broadcast_heartbeat()
        if self._state.chart_state == "leaving":
            await self._wait_or_hurry(shutdown.balancer_lag_ms)
            self._state.apply_event("balancer_informed")
        ends_ms = clock.now_ms() + shutdown.drain_limit_ms
        while not self._is_idle():
            if clock.now_ms() >= ends_ms or self._hurried.is_set():
                self._state.apply_event("drain_limit")
                return
            await asyncio.sleep(IDLE_CHECK_MS / MS_PER_S)
        self._state.apply_event("idle")

    async def _wait_or_hurry(self, wait_ms: float) -> None:
        try:
            await asyncio.wait_for(self._hurried.wait(), wait_ms / MS_PER_S)
        except TimeoutError:
            return

    def _is_idle(self) -> bool:
        return (
            self._front.open_request_count() == 0
            and self._coordinator.in_flight_count() == 0
            and self._actor.in_flight_count == 0
            and self._executor.unfinished_task_count() == 0
            and self._relay.open_call_count() == 0
        )

    async def _close(self) -> None:
        await asyncio.to_thread(self._front.stop)
        await asyncio.to_thread(self._operations.stop)
        await asyncio.to_thread(self._links.stop)
        await self._client.close()
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _on_config(self, taken: configuration.InForce) -> None:
        now_ms = clock.now_ms()
        self._state.apply_catalog(taken.catalog, now_ms)
        self._state.refresh(self._relay, now_ms)
        self._gossip.send_heartbeat()

    def _send_to(self, instance_id: str, body: message.Message) -> bool:
        address = self._state.peer_address(instance_id)
        if address is None:
            return False
        self._links.send(address, body)
        return True

    def _on_drain(self, upstream_id: str) -> None:
        """Tells the other owners of an upstream that it is leaving."""
        log.write(log.Event.UPSTREAM_DRAINING, upstream_id=upstream_id)
        own = self._settings.instance_id
        note = message.UpstreamNote(
            upstream_id=upstream_id, draining=True, observer=own
        )
        for owner in self._state.owners_of(upstream_id) - {own}:
            self._send_to(owner, note)

    def _on_undelivered(self, address: str, body: message.Message) -> None:
        log.write(
            log.Event.PEER_UNDELIVERED,
            address=address,
            kind=type(body).__name__,
        )
        instance_id = self._state.instance_id_at(address)
        match body:
            case message.SubQuery():
                self._coordinator.on_undelivered(instance_id, body)
            case message.ActionAsk():
                self._actor.on_undelivered(body)
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
                self._relay.run_sub_query(body, self._sink_to(body))
            case message.SubAnswer():
                self._coordinator.on_sub_answer(body)
            case message.Cancel():
                self._relay.cancel(body)
            case message.ActionAsk():
                self._executor.on_ask(body)
            case message.ActionReply():
                self._actor.on_reply(body)
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

    def _sink_to(self, sub: message.SubQuery) -> relay.OnReplies:
        def sink(replies: tuple[message.UpstreamReply, ...]) -> None:
            answer = message.SubAnswer(
                origin=self._settings.instance_id,
                query_id=sub.query_id,
                replies=replies,
            )
            self._send_to(sub.origin, answer)

        return sink


def _on_loop_error(
    _loop: asyncio.AbstractEventLoop, context: dict[str, object]
) -> None:
    """Logs what a callback raised; a broken invariant stops the process."""
    error = context.get("exception")
    if isinstance(error, chart.BrokenInvariant):
        _stop_broken(error)
    log.write(
        log.Event.REQUEST_FAULT,
        error=repr(error),
        message=str(context.get("message")),
    )


def _stop_broken(error: BaseException) -> typing.NoReturn:
    """Stops at once: threads and tasks must not go on with broken state."""
    detail = "".join(traceback.format_exception(error))
    log.write(log.Event.INSTANCE_BROKEN, error=detail)
    os._exit(EXIT_BROKEN)


async def _main(
    settings: instance.InstanceSettings,
    hedges: hedging.HedgePolicy,
    admits: admission.Policy,
) -> None:
    asyncio.get_running_loop().set_exception_handler(_on_loop_error)
    try:
        await Daemon(settings, hedges, admits).run()
    except Exception as error:
        _stop_broken(error)


def run(
    settings: instance.InstanceSettings,
    hedges: hedging.HedgePolicy | None = None,
    admits: admission.Policy | None = None,
) -> None:
    """Runs an entry instance until it is told to stop.

    Args:
        settings: What the instance is told at its start.
        hedges: When to hedge; the profile's quantile unless a bench says
            otherwise.
        admits: How queries are admitted; adaptively unless a bench says
            otherwise.
    """
    log.open_destination(settings.log_path)
    work = _main(
        settings,
        hedges or hedging.HedgeAfterQuantile(),
        admits or admission.Adaptive(),
    )
    uvloop.run(work)
    # All work is finished. What may be left is a thread in a long poll of the
    # store, for which the interpreter would wait until the poll's end.
    os._exit(EXIT_OK)
