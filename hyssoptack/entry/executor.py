"""Runs non-idempotent requests at most once.

The front's side picks the leaf and an owner of it, and asks that instance to
execute. The executing side claims the idempotency key in the platform's
key-value service before any byte goes to the leaf. `policy.claim` holds the
decisions; here are the calls around them.
"""

import asyncio
import collections.abc
import concurrent.futures
import dataclasses
import itertools
import random

import expression
import msgspec

from hyssoptack.charts import chart
from hyssoptack.core import action
from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import keyspace
from hyssoptack.core import message
from hyssoptack.core import refusal
from hyssoptack.entry import state
from hyssoptack.events import log
from hyssoptack.platform import store
from hyssoptack.policy import claim
from hyssoptack.policy import routing
from hyssoptack.relay import client
from hyssoptack.relay import relay

MS_PER_S = 1000.0
SETTLE_SHARE_RATIO = 0.3
"""Part of the deadline kept to settle what a lost executor did."""

CLAIM_TRY_COUNT = 6
RECORD_TRY_COUNT = 8
RECORD_WAIT_MS = 250.0

_CHART = chart.load("action")
_DECODER = msgspec.json.Decoder(action.Claim)
_ENCODER = msgspec.json.Encoder()

SendTo = collections.abc.Callable[[str, message.Message], bool]


@dataclasses.dataclass(kw_only=True)
class _Attempt:
    """One attempt on the executing side.

    Attributes:
        attempt_id: Names it in the claim.
        request_id: The request that it belongs to.
        asked: The action.
        leaf: Where it goes.
        digest: Digest of what is asked.
        key: The claim's key in the store.
        ttl_ms: How long the claim is kept.
        chart_state: Where the attempt stands.
        version: The store's version of the claim, once held.
        held: The claim, once held.
        started_ms: When the attempt began.
    """

    attempt_id: str
    request_id: str
    asked: action.Action
    leaf: catalog.Leaf
    digest: str
    key: str
    ttl_ms: int
    started_ms: float
    chart_state: str = _CHART.initial
    version: int = 0
    held: action.Claim | None = None

    def take(self, event: str) -> None:
        """Steps the attempt's chart.

        Raises:
            chart.BrokenInvariant: The state does not take the event.
        """
        if not _CHART.takes(self.chart_state, event):
            raise chart.BrokenInvariant(f"{event} in {self.chart_state}")
        self.chart_state = _CHART.step(self.chart_state, event)


class Executor:
    """Both sides of actions; runs on the event loop."""

    def __init__(
        self,
        knowledge: state.State,
        own_relay: relay.Relay,
        store_client: store.StoreClient,
        threads: concurrent.futures.Executor,
        send_to: SendTo,
    ):
        self._state = knowledge
        self._relay = own_relay
        self._store = store_client
        self._threads = threads
        self._send_to = send_to
        self._own_id = knowledge.settings.instance_id
        self._numbers = itertools.count(1)
        self._random = random.Random()
        self._asked: dict[str, asyncio.Future[action.Outcome | None]] = {}
        self._tasks: set[asyncio.Task] = set()
        self.in_flight_count = 0
        self.store_write_count = 0

    def open_task_count(self) -> int:
        """Returns attempts and records that are not finished."""
        return len(self._tasks)

    # The front's side.

    async def act(self, asked: action.Action) -> action.Outcome:
        """Brings an action to its final outcome.

        Args:
            asked: The action; its service is known and accepts actions.

        Returns:
            The outcome; `ran` is never `no` when the action may have run.
        """
        limit = self._state.settings.front.max_action_count
        if self.in_flight_count >= limit:
            return claim.not_run(
                refusal.Reason.OVERLOADED, "too many actions are in flight"
            )
        self.in_flight_count += 1
        try:
            outcome = await self._act(asked)
        finally:
            self.in_flight_count -= 1
        reason = outcome.refused.reason.value if outcome.refused else ""
        log.write(
            log.Event.ACTION_SETTLED,
            service=asked.service,
            key=claim.key_of(asked),
            ran=outcome.ran.value,
            reason=reason,
        )
        return outcome

    async def _act(self, asked: action.Action) -> action.Outcome:
        now_ms = clock.now_ms()
        service = self._state.catalog.services[asked.service]
        leaf = _leaf_for(service, asked)
        lane = self._lane(service, leaf, now_ms)
        if lane is None:
            return claim.not_run(
                refusal.Reason.LEAF_UNAVAILABLE,
                f"no way to leaf {leaf.leaf_id} now",
            )
        request_id = f"{self._state.incarnation}.r{next(self._numbers)}"
        work_ms = asked.deadline_ms * (1.0 - SETTLE_SHARE_RATIO)
        ask = message.ActionAsk(
            origin=self._own_id,
            request_id=request_id,
            remaining_ms=work_ms,
            leaf_id=leaf.leaf_id,
            action=asked,
        )
        if lane.instance_id == self._own_id:
            return await self._execute(ask)
        return await self._ask_peer(lane, ask)

    def _lane(
        self, service: catalog.Service, leaf: catalog.Leaf, now_ms: float
    ) -> routing.Lane | None:
        """Finds a way to the one leaf that an action may go to.

        Ejection is no bar here: there is no other leaf to prefer.
        """
        if self._state.leaf_health.is_draining(leaf.leaf_id, now_ms):
            return None
        lanes = self._state.router.lanes(service, leaf.leaf_id)
        own = [each for each in lanes if each.instance_id == self._own_id]
        if own and self._relay.owns(leaf.leaf_id, now_ms):
            return own[0]
        remote = [each for each in lanes if each.instance_id != self._own_id]
        return self._random.choice(remote) if remote else None

    async def _ask_peer(
        self, lane: routing.Lane, ask: message.ActionAsk
    ) -> action.Outcome:
        done = asyncio.get_running_loop().create_future()
        self._asked[ask.request_id] = done
        self._state.awaited.asked(lane.instance_id, clock.now_ms())
        try:
            if not self._send_to(lane.instance_id, ask):
                return _unsent()
            outcome = await asyncio.wait_for(done, ask.remaining_ms / MS_PER_S)
            return outcome if outcome is not None else _unsent()
        except TimeoutError:
            return await self._settle(ask)
        finally:
            del self._asked[ask.request_id]

    def on_reply(self, reply: message.ActionReply) -> None:
        """Takes an executor's answer."""
        done = self._asked.get(reply.request_id)
        if done is not None and not done.done():
            done.set_result(reply.outcome)

    def on_undelivered(self, ask: message.ActionAsk) -> None:
        """Takes back an ask that certainly was not sent."""
        done = self._asked.get(ask.request_id)
        if done is not None and not done.done():
            done.set_result(None)

    async def _settle(self, ask: message.ActionAsk) -> action.Outcome:
        """Finds out what may be said after the executor did not answer.

        Bars the request in the claim, so that "not run" stays true even if the
        executor goes on later.
        """
        digest = claim.digest_of(ask.action)
        key = claim.key_of(ask.action)
        ttl_ms = self._ttl_ms(ask.action.service)
        for _ in range(CLAIM_TRY_COUNT):
            read = await self._read(key)
            if read is None:
                break
            found, version = read
            if not claim.may_release(found, digest):
                return claim.recorded(found)
            if found is not None and ask.request_id in found.barred:
                return _lost_executor()
            wanted = claim.released(
                found, ask.request_id, digest, "the executor did not answer"
            )
            await self._write(key, wanted, version, ttl_ms)
            # Read again: only a release that is seen in the store counts.
        return claim.unknown("the executor did not answer")

    async def look_up(self, service: str, key: str) -> action.Outcome:
        """Returns what is on record for an idempotency key."""
        asked = action.Action(
            idempotency_key=key,
            service=service,
            subject="",
            body_text="",
            deadline_ms=0,
        )
        read = await self._read(claim.key_of(asked))
        if read is None:
            return claim.unknown("the key-value service can't be read now")
        return claim.recorded(read[0])

    # The executing side.

    def on_ask(self, ask: message.ActionAsk) -> None:
        """Takes a peer's ask; the answer goes back as a message."""
        self._start(self._answer(ask))

    def _start(self, work: collections.abc.Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, ask: message.ActionAsk) -> None:
        outcome = await self._execute(ask)
        reply = message.ActionReply(request_id=ask.request_id, outcome=outcome)
        self._send_to(ask.origin, reply)

    async def _execute(self, ask: message.ActionAsk) -> action.Outcome:
        now_ms = clock.now_ms()
        service = self._state.catalog.services.get(ask.action.service)
        leaf = service.leaves.get(ask.leaf_id) if service else None
        if leaf is None or not self._relay.owns(ask.leaf_id, now_ms):
            return claim.not_run(
                refusal.Reason.LEAF_UNAVAILABLE,
                f"leaf {ask.leaf_id} is not served from here now",
            )
        attempt = _Attempt(
            attempt_id=f"{self._state.incarnation}.a{next(self._numbers)}",
            request_id=ask.request_id,
            asked=ask.action,
            leaf=leaf,
            digest=claim.digest_of(ask.action),
            key=claim.key_of(ask.action),
            ttl_ms=self._ttl_ms(ask.action.service),
            started_ms=now_ms,
        )
        attempt.take("claim_asked")
        settled = await self._claim(attempt)
        if settled is not None:
            return settled
        return await self._send_once(attempt, ask.remaining_ms)

    async def _claim(self, attempt: _Attempt) -> action.Outcome | None:
        """Claims the key; returns an outcome when the attempt must not send."""
        found: action.Claim | None = None
        version = store.ABSENT_VERSION
        for _ in range(CLAIM_TRY_COUNT):
            match claim.decide(
                found,
                version,
                attempt.attempt_id,
                attempt.request_id,
                attempt.digest,
            ):
                case claim.Settled(outcome=outcome):
                    attempt.take("claim_lost")
                    return outcome
                case claim.Proceed(version=held_version):
                    attempt.take("claim_won")
                    attempt.version = held_version
                    attempt.held = found
                    return None
            wanted = claim.held(
                found, attempt.attempt_id, attempt.digest, attempt.leaf.leaf_id
            )
            read = await self._write_then_read(attempt, wanted, version)
            if read is None:
                break
            found, version = read
        attempt.take("store_unreachable")
        # The claim may exist although nobody will send: let it go later.
        self._start(self._record_release(attempt, "the store was lost"))
        return claim.not_run(
            refusal.Reason.STORE_UNAVAILABLE,
            "the claim could not be made; nothing was sent",
        )

    async def _write_then_read(
        self, attempt: _Attempt, wanted: action.Claim, version: int
    ) -> tuple[action.Claim | None, int] | None:
        """Writes a claim and returns what the store holds after it."""
        written = await self._write(
            attempt.key, wanted, version, attempt.ttl_ms
        )
        match written:
            case expression.Result(tag="ok", ok=new_version):
                return wanted, new_version
            case expression.Result(error=store.Conflict(found=found)):
                return _claim_of(found)
            case _:
                # The answer was lost; the write may have taken effect.
                return await self._read(attempt.key)

    async def _send_once(
        self, attempt: _Attempt, remaining_ms: float
    ) -> action.Outcome:
        now_ms = clock.now_ms()
        max_age_ms = self._state.settings.relay.claim_max_age_ms
        limit_ms = min(max_age_ms, attempt.ttl_ms / 2, remaining_ms)
        expires_ms = attempt.started_ms + limit_ms
        if now_ms >= expires_ms:
            attempt.take("too_late")
            self._start(self._record_release(attempt, "claimed too late"))
            return claim.not_run(
                refusal.Reason.LEAF_UNAVAILABLE, "claimed too late to send"
            )
        attempt.take("send_started")
        result = await self._relay.act(
            attempt.leaf, attempt.asked, attempt.attempt_id, expires_ms
        )
        match result:
            case client.Ran(receipt=receipt):
                attempt.take("receipt")
                done = action.ClaimState.DONE
                self._start(self._record(attempt, done, receipt, ""))
                return action.Outcome(ran=refusal.Ran.YES, receipt=receipt)
            case client.DidNotRun(detail=detail):
                attempt.take("leaf_did_not_run")
                self._start(self._record_release(attempt, detail))
                return claim.not_run(refusal.Reason.LEAF_UNAVAILABLE, detail)
            case client.MayHaveRun(detail=detail):
                attempt.take("answer_lost")
                lost = action.ClaimState.UNKNOWN
                self._start(self._record(attempt, lost, "", detail))
                return claim.unknown(detail)

    async def _record(
        self,
        attempt: _Attempt,
        settled: action.ClaimState,
        receipt: str,
        note: str,
    ) -> None:
        """Records an outcome in the claim that this attempt holds."""
        wanted = dataclasses.replace(
            attempt.held, state=settled, receipt=receipt, note=note
        )
        await self._keep_writing(attempt, wanted)

    async def _record_release(self, attempt: _Attempt, note: str) -> None:
        """Releases the claim, if it exists, so that the key can be used."""
        wanted = claim.released(
            attempt.held, attempt.request_id, attempt.digest, note
        )
        await self._keep_writing(attempt, wanted)

    async def _keep_writing(
        self, attempt: _Attempt, wanted: action.Claim
    ) -> None:
        """Writes over this attempt's own held claim, through an outage."""
        for number in range(RECORD_TRY_COUNT):
            version = attempt.version or await self._own_version(attempt)
            if version:
                written = await self._write(
                    attempt.key, wanted, version, attempt.ttl_ms
                )
                match written:
                    case expression.Result(tag="ok"):
                        return
                    case expression.Result(error=store.Conflict()):
                        return
            wait_ms = RECORD_WAIT_MS * 2**number * self._random.random()
            await asyncio.sleep(wait_ms / MS_PER_S)
        log.write(
            log.Event.ACTION_UNRECORDED,
            key=attempt.key,
            state=wanted.state.value,
        )

    async def _own_version(self, attempt: _Attempt) -> int:
        """Finds the version of a claim whose creation was not confirmed."""
        read = await self._read(attempt.key)
        if read is None or read[0] is None:
            return 0
        found, version = read
        return version if found.attempt_id == attempt.attempt_id else 0

    # The store.

    def _ttl_ms(self, service: str) -> int:
        return self._state.catalog.services[service].action_retention_ms

    async def _write(
        self, key: str, wanted: action.Claim, version: int, ttl_ms: int
    ) -> expression.Result[int, store.WriteFailure]:
        self.store_write_count += 1
        text = _ENCODER.encode(wanted).decode()
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._threads, self._store.put, key, text, version, ttl_ms
        )

    async def _read(self, key: str) -> tuple[action.Claim | None, int] | None:
        """Reads a claim; None when the store can't be read."""
        loop = asyncio.get_running_loop()
        result = await loop.run_in_executor(self._threads, self._store.get, key)
        match result:
            case expression.Result(tag="ok", ok=found):
                return _claim_of(found)
            case _:
                return None


def _leaf_for(service: catalog.Service, asked: action.Action) -> catalog.Leaf:
    """Returns the first leaf of the subject's shard; only it takes actions."""
    key = keyspace.key_of(asked.subject)
    for shard in service.shards:
        if shard.key_range.contains(key):
            return service.leaves[shard.leaf_ids[0]]
    raise chart.BrokenInvariant(f"no shard of {service.name} has key {key}")


def _claim_of(found: store.Found) -> tuple[action.Claim | None, int] | None:
    match found:
        case store.Absent():
            return None, store.ABSENT_VERSION
        case store.Stored(value=value, version=version):
            try:
                return _DECODER.decode(value), version
            except msgspec.DecodeError:
                return None


def _unsent() -> action.Outcome:
    return claim.not_run(
        refusal.Reason.LEAF_UNAVAILABLE, "no executor could be reached"
    )


def _lost_executor() -> action.Outcome:
    return claim.not_run(
        refusal.Reason.LEAF_UNAVAILABLE,
        "the executor did not answer and can't run the request any more",
    )
