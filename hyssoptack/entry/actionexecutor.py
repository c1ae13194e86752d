"""Executes non-idempotent requests at most once.

Claims the idempotency key in the platform's key-value service before any byte
is sent to the upstream, sends the request once, and records the outcome.
`planning.claim` makes the decisions; this module makes the calls.
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
from hyssoptack.planning import claim
from hyssoptack.relay import client
from hyssoptack.relay import relay
from hyssoptack.revisions import store

MS_PER_S = 1000.0
CLAIM_TRY_COUNT = 6
RECORD_TRY_COUNT = 8
# Upper bound of the random wait before the first retry; it doubles at each
# further retry.
RECORD_BACKOFF_BASE_MS = 250.0

_CHART = chart.load("action")

SendTo = collections.abc.Callable[[str, message.Message], bool]


@dataclasses.dataclass(kw_only=True)
class _Attempt:
    """One attempt to execute an action.

    Attributes:
        attempt_id: Identifier of the attempt, stored in the claim.
        request_id: Identifier of the request that it executes.
        request: Action to execute.
        upstream: Upstream that receives the action.
        digest: Digest of the action's content.
        key: Key of the claim in the store.
        ttl_ms: Lifetime of the claim in the store, in milliseconds.
        started_ms: Time at which the attempt started.
        chart_state: Current state in the `action` chart.
        version: The store's version of the claim; 0 until it is held.
        held: Claim that the attempt holds; None until it is held.
    """

    attempt_id: str
    request_id: str
    request: action.Action
    upstream: catalog.Upstream
    digest: str
    key: str
    ttl_ms: int
    started_ms: float
    chart_state: str = _CHART.initial
    version: int = 0
    held: action.Claim | None = None

    def apply_event(self, event: str) -> None:
        """Applies an event to the attempt's state chart.

        Raises:
            chart.BrokenInvariant: The current state has no transition for
                the event.
        """
        if not _CHART.accepts(self.chart_state, event):
            raise chart.BrokenInvariant(
                f"event {event} has no transition in state {self.chart_state}"
            )
        self.chart_state = _CHART.step(self.chart_state, event)


class ActionExecutor:
    """Executes actions on the upstreams that this instance owns."""

    def __init__(
        self,
        instance_state: state.InstanceState,
        own_relay: relay.Relay,
        claim_store: claimstore.ClaimStore,
        send_to: SendTo,
    ):
        self._state = instance_state
        self._relay = own_relay
        self._claim_store = claim_store
        self._send_to = send_to
        self._attempt_numbers = itertools.count(1)
        self._random = random.Random()
        self._tasks: set[asyncio.Task] = set()

    def unfinished_task_count(self) -> int:
        """Returns the number of attempts and claim updates still running."""
        return len(self._tasks)

    def on_action_ask(self, ask: message.ActionAsk) -> None:
        """Executes an action for a peer and sends the outcome to it."""
        self._start(self._execute_and_reply(ask))

    def _start(self, work: collections.abc.Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute_and_reply(self, ask: message.ActionAsk) -> None:
        outcome = await self.execute(ask)
        reply = message.ActionReply(request_id=ask.request_id, outcome=outcome)
        self._send_to(ask.origin, reply)

    async def execute(self, ask: message.ActionAsk) -> action.Outcome:
        """Claims the key, sends the action once and records the outcome.

        Returns:
            The outcome. The claim may be updated after the return.
        """
        now_ms = clock.now_ms()
        service = self._state.catalog.services.get(ask.action.service)
        upstream = service.upstreams.get(ask.upstream_id) if service else None
        if upstream is None or not self._relay.owns(ask.upstream_id, now_ms):
            return claim.not_run_outcome(
                refusal.Reason.UPSTREAM_UNAVAILABLE,
                f"upstream {ask.upstream_id} is not served from here now",
            )
        attempt = _Attempt(
            attempt_id=f"{self._state.incarnation}.a{next(self._attempt_numbers)}",
            request_id=ask.request_id,
            request=ask.action,
            upstream=upstream,
            digest=claim.digest_of(ask.action),
            key=claim.key_of(ask.action),
            ttl_ms=self._ttl_ms(ask.action.service),
            started_ms=now_ms,
        )
        attempt.apply_event("claim_asked")
        early_outcome = await self._claim(attempt)
        if early_outcome is not None:
            return early_outcome
        return await self._send_once(attempt, ask.remaining_ms)

    async def _claim(self, attempt: _Attempt) -> action.Outcome | None:
        """Claims the idempotency key for an attempt.

        Returns:
            None once the claim is held; otherwise the outcome to return without
            sending the action.
        """
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
                    attempt.apply_event("claim_lost")
                    return outcome
                case claim.Proceed(version=held_version):
                    attempt.apply_event("claim_won")
                    attempt.version = held_version
                    attempt.held = found
                    return None
            new_claim = claim.held_claim(
                found,
                attempt.attempt_id,
                attempt.digest,
                attempt.upstream.upstream_id,
            )
            read = await self._write_then_read(attempt, new_claim, version)
            if read is None:
                break
            found, version = read
        attempt.apply_event("store_unreachable")
        # A write whose answer was lost may have created the claim, but nothing
        # will be sent: release it in the background.
        self._start(self._release_claim(attempt, "the store was lost"))
        return claim.not_run_outcome(
            refusal.Reason.STORE_UNAVAILABLE,
            "the claim could not be made; nothing was sent",
        )

    async def _write_then_read(
        self, attempt: _Attempt, new_claim: action.Claim, version: int
    ) -> tuple[action.Claim | None, int] | None:
        """Writes a claim and returns what the store then holds.

        Returns:
            The claim (None if absent) and its version; None in place of the
            pair if the store did not answer or its value can't be decoded.
        """
        written = await self._claim_store.write(
            attempt.key, new_claim, version, attempt.ttl_ms
        )
        match written:
            case expression.Result(tag="ok", ok=new_version):
                return new_claim, new_version
            case expression.Result(error=store.Conflict(current_value=found)):
                return claimstore.parse_claim(found)
            case _:
                # Without an answer, the write may or may not have taken effect.
                return await self._claim_store.read(attempt.key)

    async def _send_once(
        self, attempt: _Attempt, remaining_ms: float
    ) -> action.Outcome:
        now_ms = clock.now_ms()
        max_age_ms = self._state.settings.relay.claim_max_age_ms
        limit_ms = min(max_age_ms, attempt.ttl_ms / 2, remaining_ms)
        expires_ms = attempt.started_ms + limit_ms
        if now_ms >= expires_ms:
            attempt.apply_event("too_late")
            self._start(self._release_claim(attempt, "claimed too late"))
            return claim.not_run_outcome(
                refusal.Reason.UPSTREAM_UNAVAILABLE, "claimed too late to send"
            )
        attempt.apply_event("send_started")
        result = await self._relay.send_action(
            attempt.upstream, attempt.request, attempt.attempt_id, expires_ms
        )
        match result:
            case client.DidRun(receipt=receipt):
                attempt.apply_event("receipt")
                done = action.ClaimState.DONE
                self._start(self._record_outcome(attempt, done, receipt, ""))
                return action.Outcome(ran=refusal.Ran.YES, receipt=receipt)
            case client.DidNotRun(detail=detail):
                attempt.apply_event("upstream_did_not_run")
                self._start(self._release_claim(attempt, detail))
                return claim.not_run_outcome(
                    refusal.Reason.UPSTREAM_UNAVAILABLE, detail
                )
            case client.MayHaveRun(detail=detail):
                attempt.apply_event("answer_lost")
                lost = action.ClaimState.UNKNOWN
                self._start(self._record_outcome(attempt, lost, "", detail))
                return claim.unknown_outcome(detail)

    async def _record_outcome(
        self,
        attempt: _Attempt,
        claim_state: action.ClaimState,
        receipt: str,
        note: str,
    ) -> None:
        """Writes the action's outcome into the claim that the attempt holds."""
        new_claim = dataclasses.replace(
            attempt.held, state=claim_state, receipt=receipt, note=note
        )
        await self._write_with_retries(attempt, new_claim)

    async def _release_claim(self, attempt: _Attempt, note: str) -> None:
        """Releases the claim, if it exists, and marks this request as barred.

        Other requests may then use the key.
        """
        new_claim = claim.released_claim(
            attempt.held, attempt.request_id, attempt.digest, note
        )
        await self._write_with_retries(attempt, new_claim)

    async def _write_with_retries(
        self, attempt: _Attempt, new_claim: action.Claim
    ) -> None:
        """Overwrites the attempt's own claim, with retries if the store fails.

        Stops when the write succeeds or conflicts. Logs `ACTION_UNRECORDED`
        after the last retry.
        """
        for retry in range(RECORD_TRY_COUNT):
            version = attempt.version or await self._read_own_version(attempt)
            if version:
                written = await self._claim_store.write(
                    attempt.key, new_claim, version, attempt.ttl_ms
                )
                match written:
                    case expression.Result(tag="ok"):
                        return
                    case expression.Result(error=store.Conflict()):
                        return
            wait_ms = RECORD_BACKOFF_BASE_MS * 2**retry * self._random.random()
            await asyncio.sleep(wait_ms / MS_PER_S)
        log.write(
            log.Event.ACTION_UNRECORDED,
            key=attempt.key,
            state=new_claim.state.value,
        )

    async def _read_own_version(self, attempt: _Attempt) -> int:
        """Reads the version of a claim whose creation was not confirmed.

        Returns:
            The version; 0 if the store can't be read or holds no claim of this
            attempt.
        """
        read = await self._claim_store.read(attempt.key)
        if read is None or read[0] is None:
            return 0
        found, version = read
        return version if found.attempt_id == attempt.attempt_id else 0

    def _ttl_ms(self, service: str) -> int:
        return self._state.catalog.services[service].action_retention_ms
