"""Relays calls to the upstreams that this instance owns.

Calls come from this instance's coordinators and from its peers.
"""

import asyncio
import collections.abc
import dataclasses

from hyssoptack.balancing import health
from hyssoptack.core import action
from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.core import timeouts
from hyssoptack.events import log
from hyssoptack.membership import ownership
from hyssoptack.relay import client
from hyssoptack.relay import upstreamqueue
from hyssoptack.settings import instance

DEADLINE_MARGIN_MS = 2.0
"""A relay ends a call this long before the coordinator's deadline, so that the
reply still arrives in time."""

OnReplies = collections.abc.Callable[[tuple[message.UpstreamReply, ...]], None]
OnDrain = collections.abc.Callable[[str], None]


@dataclasses.dataclass(kw_only=True)
class _Batch:
    """Replies of one sub-query, collected to be sent together.

    Attributes:
        on_replies: Receives the replies.
        open_count: Number of calls without a reply.
        ready: Replies not sent yet.
        timer: Timer of the next send.
    """

    on_replies: OnReplies
    open_count: int
    ready: list[message.UpstreamReply] = dataclasses.field(default_factory=list)
    timer: asyncio.TimerHandle | None = None


class Relay:
    """Makes calls within this instance's share of each upstream's slots.

    Runs on the event loop's thread.

    Attributes:
        call_count: Number of search calls started.
    """

    def __init__(
        self,
        settings: instance.RelaySettings,
        upstream_client: client.UpstreamClient,
        upstream_health: health.HealthTracker,
        on_drain: OnDrain,
    ):
        self._settings = settings
        self._client = upstream_client
        self._health = upstream_health
        self._on_drain = on_drain
        self._catalog = catalog.EMPTY
        self._owned: frozenset[str] = frozenset()
        self._owned_until_ms = 0.0
        self._queues: dict[str, upstreamqueue.UpstreamQueue] = {}
        self._jobs: dict[tuple[str, int], upstreamqueue.Job] = {}
        self.call_count = 0
        self._action_count = 0

    def set_owned_upstreams(
        self,
        current: catalog.Catalog,
        owned: frozenset[str],
        until_ms: float,
    ) -> None:
        """Sets the configuration and the upstreams that this instance owns.

        Args:
            current: Configuration in force.
            owned: Identifiers of the upstreams that this instance may call.
            until_ms: Time at which the ownership expires unless it is renewed:
                a process that was paused must not act on an outdated view.
        """
        self._catalog = current
        self._owned = owned
        self._owned_until_ms = until_ms

    def open_call_count(self) -> int:
        """Returns the number of waiting and running calls."""
        return len(self._jobs) + self._action_count

    def called_upstream_ids(self) -> frozenset[str]:
        """Returns the upstreams with waiting or running calls."""
        return frozenset(
            upstream_id
            for upstream_id, queue in self._queues.items()
            if queue.running_count or queue.waiting_count()
        )

    def upstream_queues(self) -> dict[str, upstreamqueue.UpstreamQueue]:
        """Returns the queues by upstream id, for the operator port."""
        return self._queues

    def _queue_for(
        self, upstream: catalog.Upstream
    ) -> upstreamqueue.UpstreamQueue:
        share = ownership.share_of(upstream, self._settings.owner_count)
        queue = self._queues.get(upstream.upstream_id)
        if queue is None:
            queue = upstreamqueue.UpstreamQueue(
                share.slot_count, self._settings.queue_limit_count
            )
            self._queues[upstream.upstream_id] = queue
        queue.slot_count = share.slot_count
        return queue

    def run_sub_query(
        self, sub_query: message.SubQuery, on_replies: OnReplies
    ) -> None:
        """Makes the calls of a sub-query.

        Args:
            sub_query: The sub-query.
            on_replies: Receives the replies, in one or more batches.
        """
        batch = _Batch(on_replies=on_replies, open_count=len(sub_query.asks))
        now_ms = clock.now_ms()
        expires_ms = now_ms + max(
            1.0, sub_query.remaining_ms - DEADLINE_MARGIN_MS
        )
        for ask in sub_query.asks:
            self._submit(sub_query, ask, batch, now_ms, expires_ms)

    def cancel(self, cancel: message.Cancel) -> None:
        """Cancels calls: drops waiting ones and aborts running ones."""
        for call_id in cancel.call_ids:
            job = self._jobs.pop((cancel.query_id, call_id), None)
            if job is None:
                continue
            job.cancelled = True
            if job.task is not None:
                job.task.cancel()
            if not job.started:
                # A coordinator that gets no reply considers the relay failed.
                job.on_dropped(message.CallStatus.CANCELLED)

    def _submit(
        self,
        sub_query: message.SubQuery,
        ask: message.UpstreamAsk,
        batch: _Batch,
        now_ms: float,
        expires_ms: float,
    ) -> None:
        rejection = self._rejection(sub_query.service, ask, now_ms)
        if rejection is not None:
            self._deliver(batch, rejection)
            return
        upstream = self._catalog.services[sub_query.service].upstreams[
            ask.upstream_id
        ]
        job = upstreamqueue.Job(
            query_id=sub_query.query_id,
            call_id=ask.call_id,
            urgency=sub_query.urgency,
            expires_ms=expires_ms,
            run=lambda: self._run(sub_query, ask, upstream, batch, expires_ms),
            on_dropped=lambda status: self._on_dropped(
                sub_query, ask, batch, status
            ),
        )
        self._jobs[(sub_query.query_id, ask.call_id)] = job
        service_ms = self._health.expected_ms(
            sub_query.service, ask.upstream_id, now_ms
        )
        if not self._queue_for(upstream).submit(job, now_ms, service_ms):
            del self._jobs[(sub_query.query_id, ask.call_id)]
            shed = _reply_without_call(ask, message.CallStatus.SHED)
            self._deliver(batch, shed)

    def _rejection(
        self, service: str, ask: message.UpstreamAsk, now_ms: float
    ) -> message.UpstreamReply | None:
        """Returns the reply that rejects a call, or None if it may be made."""
        known = self._catalog.services.get(service)
        if known is None or ask.upstream_id not in known.upstreams:
            return _reply_without_call(ask, message.CallStatus.NOT_OWNER)
        if not self.owns(ask.upstream_id, now_ms):
            return _reply_without_call(ask, message.CallStatus.NOT_OWNER)
        if self._health.is_draining(ask.upstream_id, now_ms):
            return _reply_without_call(ask, message.CallStatus.DRAINING)
        return None

    def _on_dropped(
        self,
        sub_query: message.SubQuery,
        ask: message.UpstreamAsk,
        batch: _Batch,
        status: message.CallStatus,
    ) -> None:
        self._jobs.pop((sub_query.query_id, ask.call_id), None)
        self._deliver(batch, _reply_without_call(ask, status))

    async def _run(
        self,
        sub_query: message.SubQuery,
        ask: message.UpstreamAsk,
        upstream: catalog.Upstream,
        batch: _Batch,
        expires_ms: float,
    ) -> None:
        started_ms = clock.now_ms()
        self.call_count += 1
        self._jobs[(sub_query.query_id, ask.call_id)].started = True
        try:
            reply = await self._client.search(
                upstream, ask, sub_query, expires_ms - started_ms
            )
        except Exception as error:
            log.write(
                log.Event.REQUEST_FAULT,
                query_id=sub_query.query_id,
                error=repr(error),
            )
            # Says nothing about the upstream's health.
            failed = _reply_without_call(ask, message.CallStatus.FAILED)
            self._deliver(
                batch, dataclasses.replace(failed, reached_upstream=True)
            )
            return
        except asyncio.CancelledError:
            # The reply is no longer needed, but the time that the call has
            # taken so far still shows how slow the upstream is.
            reply = message.UpstreamReply(
                call_id=ask.call_id,
                upstream_id=ask.upstream_id,
                status=message.CallStatus.CANCELLED,
                service_ms=clock.now_ms() - started_ms,
                reached_upstream=True,
            )
        finally:
            now_ms = clock.now_ms()
            self._jobs.pop((sub_query.query_id, ask.call_id), None)
        if (
            reply.status is not message.CallStatus.TIMED_OUT
            or now_ms - expires_ms < timeouts.STOP_MIN_MS
        ):
            self._record_reply(sub_query.service, reply, now_ms)
        # Otherwise the answer may have come while this process stood still.
        self._deliver(batch, reply)

    def _record_reply(
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
            batch.on_replies(replies)

    async def send_action(
        self,
        upstream: catalog.Upstream,
        request: action.Action,
        attempt_id: str,
        expires_ms: float,
    ) -> client.ActionResult:
        """Sends a non-idempotent request once, through the upstream's queue.

        Args:
            upstream: Upstream that receives the request.
            request: Action to send; the caller holds its claim.
            attempt_id: Identifier of the attempt that holds the claim.
            expires_ms: Deadline of the call: nothing is sent after it, and the
                answer is awaited only until then.

        Returns:
            The result; `DidNotRun` if the request was never sent.
        """
        done: asyncio.Future[client.ActionResult] = (
            asyncio.get_running_loop().create_future()
        )

        def end(result: client.ActionResult) -> None:
            # The sender may have been cancelled.
            if not done.done():
                done.set_result(result)

        async def run() -> None:
            now_ms = clock.now_ms()
            if now_ms >= expires_ms:
                end(client.DidNotRun(detail="too late to send"))
                return
            try:
                result = await self._client.send_action(
                    upstream, request, attempt_id, expires_ms - now_ms
                )
            except Exception as error:
                log.write(log.Event.REQUEST_FAULT, error=repr(error))
                result = client.MayHaveRun(detail="an internal error")
            end(result)

        def on_dropped(_status: message.CallStatus) -> None:
            end(client.DidNotRun(detail="no free slot in time"))

        job = upstreamqueue.Job(
            query_id="",
            call_id=0,
            urgency=query.Urgency.URGENT,
            expires_ms=expires_ms,
            run=run,
            on_dropped=on_dropped,
        )
        now_ms = clock.now_ms()
        view = self._health.refresh(upstream.upstream_id, now_ms)
        if not self._queue_for(upstream).submit(job, now_ms, view.service_ms):
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
        """Returns whether this instance may call an upstream now."""
        return upstream_id in self._owned and now_ms < self._owned_until_ms


def _reply_without_call(
    ask: message.UpstreamAsk, status: message.CallStatus
) -> message.UpstreamReply:
    return message.UpstreamReply(
        call_id=ask.call_id, upstream_id=ask.upstream_id, status=status
    )
