"""Calls the upstreams that this instance owns, for itself and for its peers."""

import asyncio
import collections.abc
import dataclasses

from hyssoptack.core import action
from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.policy import health
from hyssoptack.policy import ownership
from hyssoptack.relay import client
from hyssoptack.relay import upstreamqueue
from hyssoptack.settings import instance

DEADLINE_MARGIN_MS = 2.0
"""A relay gives up this much before the asker does, so that it still hears."""

OnReplies = collections.abc.Callable[[tuple[message.UpstreamReply, ...]], None]
OnDraining = collections.abc.Callable[[str], None]


@dataclasses.dataclass(kw_only=True)
class _Batch:
    """Replies of one sub-query that wait to be sent together."""

    sink: OnReplies
    open_count: int
    ready: list[message.UpstreamReply] = dataclasses.field(default_factory=list)
    timer: asyncio.TimerHandle | None = None


class Relay:
    """Owns upstream connections and slots; runs on the event loop's thread."""

    def __init__(
        self,
        settings: instance.RelaySettings,
        upstream_client: client.UpstreamClient,
        upstream_health: health.HealthTracker,
        on_drain: OnDraining,
    ):
        self._settings = settings
        self._client = upstream_client
        self._health = upstream_health
        self._on_drain = on_drain
        self._catalog = catalog.EMPTY
        self._owned: frozenset[str] = frozenset()
        self._owned_until_ms = 0.0
        self._lanes: dict[str, upstreamqueue.UpstreamQueue] = {}
        self._jobs: dict[tuple[str, int], upstreamqueue.Job] = {}
        self.call_count = 0
        self._action_count = 0

    def set_owned_upstreams(
        self,
        current: catalog.Catalog,
        owned: frozenset[str],
        until_ms: float,
    ) -> None:
        """Puts a configuration and the owned upstreams in force.

        Args:
            current: The configuration.
            owned: The upstreams that this instance may call.
            until_ms: When that ends unless it is installed again: a process
                that was stopped must not go on with an old view.
        """
        self._catalog = current
        self._owned = owned
        self._owned_until_ms = until_ms

    def open_call_count(self) -> int:
        """Returns the calls that wait or run."""
        return len(self._jobs) + self._action_count

    def upstream_queues(self) -> dict[str, upstreamqueue.UpstreamQueue]:
        """Returns the lanes by upstream, for the operator port."""
        return self._lanes

    def _lane(self, upstream: catalog.Upstream) -> upstreamqueue.UpstreamQueue:
        share = ownership.share_of(upstream, self._settings.owner_count)
        found = self._lanes.get(upstream.upstream_id)
        if found is None:
            found = upstreamqueue.UpstreamQueue(
                share.slot_count, self._settings.queue_limit_count
            )
            self._lanes[upstream.upstream_id] = found
        found.slot_count = share.slot_count
        return found

    def run_sub_query(self, sub: message.SubQuery, sink: OnReplies) -> None:
        """Runs a sub-query; replies reach `sink` in one or more batches."""
        batch = _Batch(sink=sink, open_count=len(sub.asks))
        now_ms = clock.now_ms()
        expires_ms = now_ms + max(1.0, sub.remaining_ms - DEADLINE_MARGIN_MS)
        for ask in sub.asks:
            self._submit(sub, ask, batch, now_ms, expires_ms)

    def cancel(self, cancel: message.Cancel) -> None:
        """Drops calls that wait, and aborts running ones where that pays."""
        for call_id in cancel.call_ids:
            job = self._jobs.pop((cancel.query_id, call_id), None)
            if job is None:
                continue
            job.cancelled = True
            if job.task is not None:
                job.task.cancel()
            if not job.started:
                # An asker that hears nothing takes the relay for lost.
                job.on_dropped(message.CallStatus.CANCELLED)

    def _submit(
        self,
        sub: message.SubQuery,
        ask: message.UpstreamAsk,
        batch: _Batch,
        now_ms: float,
        expires_ms: float,
    ) -> None:
        refused = self._refusal(sub.service, ask, now_ms)
        if refused is not None:
            self._deliver(batch, refused)
            return
        upstream = self._catalog.services[sub.service].upstreams[
            ask.upstream_id
        ]
        job = upstreamqueue.Job(
            query_id=sub.query_id,
            call_id=ask.call_id,
            urgency=sub.urgency,
            expires_ms=expires_ms,
            run=lambda: self._run(sub, ask, upstream, batch, expires_ms),
            on_dropped=lambda status: self._give_up(sub, ask, batch, status),
        )
        self._jobs[(sub.query_id, ask.call_id)] = job
        service_ms = self._health.expected_ms(
            sub.service, ask.upstream_id, now_ms
        )
        if not self._lane(upstream).submit(job, now_ms, service_ms):
            del self._jobs[(sub.query_id, ask.call_id)]
            shed = _reply_without_call(ask, message.CallStatus.SHED)
            self._deliver(batch, shed)

    def _refusal(
        self, service: str, ask: message.UpstreamAsk, now_ms: float
    ) -> message.UpstreamReply | None:
        """Returns why an upstream is not called from here, or None."""
        known = self._catalog.services.get(service)
        if known is None or ask.upstream_id not in known.upstreams:
            return _reply_without_call(ask, message.CallStatus.NOT_OWNER)
        if not self.owns(ask.upstream_id, now_ms):
            return _reply_without_call(ask, message.CallStatus.NOT_OWNER)
        if self._health.is_draining(ask.upstream_id, now_ms):
            return _reply_without_call(ask, message.CallStatus.DRAINING)
        return None

    def _give_up(
        self,
        sub: message.SubQuery,
        ask: message.UpstreamAsk,
        batch: _Batch,
        status: message.CallStatus,
    ) -> None:
        self._jobs.pop((sub.query_id, ask.call_id), None)
        self._deliver(batch, _reply_without_call(ask, status))

    async def _run(
        self,
        sub: message.SubQuery,
        ask: message.UpstreamAsk,
        upstream: catalog.Upstream,
        batch: _Batch,
        expires_ms: float,
    ) -> None:
        started_ms = clock.now_ms()
        self.call_count += 1
        self._jobs[(sub.query_id, ask.call_id)].started = True
        try:
            reply = await self._client.search(
                upstream, ask, sub, expires_ms - started_ms
            )
        except asyncio.CancelledError:
            # The asker has moved on. What the upstream took so far still counts
            # as a sign of how slow it is.
            reply = message.UpstreamReply(
                call_id=ask.call_id,
                upstream_id=ask.upstream_id,
                status=message.CallStatus.CANCELLED,
                service_ms=clock.now_ms() - started_ms,
                reached_upstream=True,
            )
        finally:
            now_ms = clock.now_ms()
            self._jobs.pop((sub.query_id, ask.call_id), None)
        self._learn(sub.service, reply, now_ms)
        self._deliver(batch, reply)

    def _learn(
        self, service: str, reply: message.UpstreamReply, now_ms: float
    ) -> None:
        changed = self._health.record_reply(service, reply, now_ms)
        if changed and self._health.is_draining(reply.upstream_id, now_ms):
            self._on_drain(reply.upstream_id)

    def _deliver(self, batch: _Batch, reply: message.UpstreamReply) -> None:
        batch.ready.append(reply)
        batch.open_count -= 1
        if batch.open_count <= 0:
            self._flush(batch)
        elif batch.timer is None:
            delay_s = self._settings.flush_ms / client.MS_PER_S
            loop = asyncio.get_running_loop()
            batch.timer = loop.call_later(delay_s, self._flush, batch)

    def _flush(self, batch: _Batch) -> None:
        if batch.timer is not None:
            batch.timer.cancel()
            batch.timer = None
        if batch.ready:
            replies = tuple(batch.ready)
            batch.ready.clear()
            batch.sink(replies)

    async def send_action(
        self,
        upstream: catalog.Upstream,
        asked: action.Action,
        attempt_id: str,
        expires_ms: float,
    ) -> client.ActionResult:
        """Sends a non-idempotent request through the upstream's lane, once.

        Args:
            upstream: The upstream.
            asked: The action, whose claim the caller holds.
            attempt_id: The attempt that holds the claim.
            expires_ms: After this time nothing is sent any more.

        Returns:
            What became of it; `DidNotRun` when it was never sent.
        """
        done: asyncio.Future[client.ActionResult] = (
            asyncio.get_running_loop().create_future()
        )

        async def run() -> None:
            now_ms = clock.now_ms()
            if now_ms >= expires_ms:
                late = client.DidNotRun(detail="too late to send")
                done.set_result(late)
                return
            result = await self._client.send_action(
                upstream, asked, attempt_id, expires_ms - now_ms
            )
            done.set_result(result)

        def give_up(_status: message.CallStatus) -> None:
            done.set_result(client.DidNotRun(detail="no free slot in time"))

        job = upstreamqueue.Job(
            query_id="",
            call_id=0,
            urgency=query.Urgency.URGENT,
            expires_ms=expires_ms,
            run=run,
            on_dropped=give_up,
        )
        now_ms = clock.now_ms()
        view = self._health.refresh(upstream.upstream_id, now_ms)
        if not self._lane(upstream).submit(job, now_ms, view.service_ms):
            return client.DidNotRun(detail="the upstream's slots are taken")
        self._action_count += 1
        try:
            result = await done
        finally:
            self._action_count -= 1
        match result:
            case client.DidNotRun(draining=True):
                if self._health.record_drain(
                    upstream.upstream_id, clock.now_ms()
                ):
                    self._on_drain(upstream.upstream_id)
            case _:
                pass
        return result

    def owns(self, upstream_id: str, now_ms: float) -> bool:
        """Tells whether this instance may call an upstream now."""
        return upstream_id in self._owned and now_ms < self._owned_until_ms


def _reply_without_call(
    ask: message.UpstreamAsk, status: message.CallStatus
) -> message.UpstreamReply:
    return message.UpstreamReply(
        call_id=ask.call_id, upstream_id=ask.upstream_id, status=status
    )
