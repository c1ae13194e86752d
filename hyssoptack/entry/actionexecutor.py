"""Executes non-idempotent requests at most once.

Claims the idempotency key in the platform's key-value service before any byte
goes to the upstream, sends once, and records what became of it. `policy.claim`
holds the decisions; here are the calls around them.
"""

import asyncio
import collections.abc
import dataclasses
import itertools
import random

import expression

from hyssoptack.charts import chart
from hyssoptack.core import action
from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.core import refusal
from hyssoptack.entry import claimstore
from hyssoptack.entry import state
from hyssoptack.events import log
from hyssoptack.policy import claim
from hyssoptack.relay import client
from hyssoptack.relay import relay
from hyssoptack.revisions import store

MS_PER_S = 1000.0
CLAIM_TRY_COUNT = 6
RECORD_TRY_COUNT = 8
RECORD_WAIT_MS = 250.0

_CHART = chart.load("action")

SendTo = collections.abc.Callable[[str, message.Message], bool]


@dataclasses.dataclass(kw_only=True)
class _Attempt:
    """One attempt on the executing side.

    Attributes:
        attempt_id: Names it in the claim.
        request_id: The request that it belongs to.
        asked: The action.
        upstream: Where it goes.
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
    upstream: catalog.Upstream
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
        if not _CHART.accepts(self.chart_state, event):
            raise chart.BrokenInvariant(f"{event} in {self.chart_state}")
        self.chart_state = _CHART.step(self.chart_state, event)


class ActionExecutor:
    """Runs attempts on the upstreams that this instance owns."""

    def __init__(
        self,
        knowledge: state.InstanceState,
        own_relay: relay.Relay,
        own_claims: claimstore.ClaimStore,
        send_to: SendTo,
    ):
        self._state = knowledge
        self._relay = own_relay
        self._claims = own_claims
        self._send_to = send_to
        self._numbers = itertools.count(1)
        self._random = random.Random()
        self._tasks: set[asyncio.Task] = set()

    def unfinished_task_count(self) -> int:
        """Returns attempts and records that are not finished."""
        return len(self._tasks)

    def on_ask(self, ask: message.ActionAsk) -> None:
        """Takes a peer's ask; the answer goes back as a message."""
        self._start(self._answer(ask))

    def _start(self, work: collections.abc.Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, ask: message.ActionAsk) -> None:
        outcome = await self.execute(ask)
        reply = message.ActionReply(request_id=ask.request_id, outcome=outcome)
        self._send_to(ask.origin, reply)

    async def execute(self, ask: message.ActionAsk) -> action.Outcome:
        """Claims, sends once and records; returns what became of it."""
        now_ms = clock.now_ms()
        service = self._state.catalog.services.get(ask.action.service)
        upstream = service.upstreams.get(ask.upstream_id) if service else None
        if upstream is None or not self._relay.owns(ask.upstream_id, now_ms):
            return claim.not_run_outcome(
                refusal.Reason.UPSTREAM_UNAVAILABLE,
                f"upstream {ask.upstream_id} is not served from here now",
            )
        attempt = _Attempt(
            attempt_id=f"{self._state.incarnation}.a{next(self._numbers)}",
            request_id=ask.request_id,
            asked=ask.action,
            upstream=upstream,
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
            wanted = claim.held_claim(
                found,
                attempt.attempt_id,
                attempt.digest,
                attempt.upstream.upstream_id,
            )
            read = await self._write_then_read(attempt, wanted, version)
            if read is None:
                break
            found, version = read
        attempt.take("store_unreachable")
        # The claim may exist although nobody will send: let it go later.
        self._start(self._record_release(attempt, "the store was lost"))
        return claim.not_run_outcome(
            refusal.Reason.STORE_UNAVAILABLE,
            "the claim could not be made; nothing was sent",
        )

    async def _write_then_read(
        self, attempt: _Attempt, wanted: action.Claim, version: int
    ) -> tuple[action.Claim | None, int] | None:
        """Writes a claim and returns what the store holds after it."""
        written = await self._claims.write(
            attempt.key, wanted, version, attempt.ttl_ms
        )
        match written:
            case expression.Result(tag="ok", ok=new_version):
                return wanted, new_version
            case expression.Result(error=store.Conflict(current_value=found)):
                return claimstore.parse_claim(found)
            case _:
                # The answer was lost; the write may have taken effect.
                return await self._claims.read(attempt.key)

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
            return claim.not_run_outcome(
                refusal.Reason.UPSTREAM_UNAVAILABLE, "claimed too late to send"
            )
        attempt.take("send_started")
        result = await self._relay.send_action(
            attempt.upstream, attempt.asked, attempt.attempt_id, expires_ms
        )
        match result:
            case client.DidRun(receipt=receipt):
                attempt.take("receipt")
                done = action.ClaimState.DONE
                self._start(self._record(attempt, done, receipt, ""))
                return action.Outcome(ran=refusal.Ran.YES, receipt=receipt)
            case client.DidNotRun(detail=detail):
                attempt.take("upstream_did_not_run")
                self._start(self._record_release(attempt, detail))
                return claim.not_run_outcome(
                    refusal.Reason.UPSTREAM_UNAVAILABLE, detail
                )
            case client.MayHaveRun(detail=detail):
                attempt.take("answer_lost")
                lost = action.ClaimState.UNKNOWN
                self._start(self._record(attempt, lost, "", detail))
                return claim.unknown_outcome(detail)

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
        wanted = claim.released_claim(
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
                written = await self._claims.write(
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
        read = await self._claims.read(attempt.key)
        if read is None or read[0] is None:
            return 0
        found, version = read
        return version if found.attempt_id == attempt.attempt_id else 0

    def _ttl_ms(self, service: str) -> int:
        return self._state.catalog.services[service].action_retention_ms
