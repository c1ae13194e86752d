"""Coordinates non-idempotent requests for the instance that received them.

Selects the upstream and the instance that owns it, and has that instance
execute the action. If the executor does not answer, the coordinator marks the
request in its claim as barred before it reports "not run". No executor sends a
barred request, so the report stays true even if the executor resumes later.
"""

import asyncio
import collections.abc
import itertools
import random

from hyssoptack.balancing import routing
from hyssoptack.charts import chart
from hyssoptack.core import action
from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import keyspace
from hyssoptack.core import message
from hyssoptack.core import refusal
from hyssoptack.core import timeouts
from hyssoptack.entry import actionexecutor
from hyssoptack.entry import claimstore
from hyssoptack.entry import state
from hyssoptack.events import log
from hyssoptack.planning import claim
from hyssoptack.relay import relay

OUTCOME_RESERVE_RATIO = 0.3
"""Fraction of the deadline reserved to determine the outcome if the executor
does not answer."""

OUTCOME_TRY_COUNT = 6

SendTo = collections.abc.Callable[[str, message.Message], bool]


class ActionCoordinator:
    """Coordinates the actions of this instance's callers on the event loop."""

    def __init__(
        self,
        instance_state: state.InstanceState,
        own_relay: relay.Relay,
        own_executor: actionexecutor.ActionExecutor,
        claim_store: claimstore.ClaimStore,
        send_to: SendTo,
    ):
        self._state = instance_state
        self._relay = own_relay
        self._executor = own_executor
        self._claim_store = claim_store
        self._send_to = send_to
        self._own_id = instance_state.settings.instance_id
        self._request_numbers = itertools.count(1)
        self._random = random.Random()
        # By request id; a result of None means that the message to the
        # executor was not sent.
        self._pending_outcomes: dict[
            str, asyncio.Future[action.Outcome | None]
        ] = {}
        self.in_flight_count = 0

    async def run_action(self, request: action.Action) -> action.Outcome:
        """Runs an action to its final outcome.

        Args:
            request: The action. Its service must be in the catalog and accept
                actions.

        Returns:
            The outcome. `ran` is `no` only if the action certainly did not run.
        """
        limit = self._state.settings.front.max_action_count
        if self.in_flight_count >= limit:
            return claim.not_run_outcome(
                refusal.Reason.OVERLOADED, "too many actions are in flight"
            )
        self.in_flight_count += 1
        try:
            outcome = await self._execute(request)
        finally:
            self.in_flight_count -= 1
        reason = outcome.refused.reason.value if outcome.refused else ""
        log.write(
            log.Event.ACTION_SETTLED,
            service=request.service,
            key=claim.key_of(request),
            ran=outcome.ran.value,
            reason=reason,
        )
        return outcome

    async def _execute(self, request: action.Action) -> action.Outcome:
        now_ms = clock.now_ms()
        service = self._state.catalog.services.get(request.service)
        if service is None:
            return claim.not_run_outcome(
                refusal.Reason.UNKNOWN_SERVICE,
                f"a new configuration has dropped service {request.service}",
            )
        upstream = _upstream_for(service, request)
        path = self._select_path(service, upstream, now_ms)
        if path is None:
            return claim.not_run_outcome(
                refusal.Reason.UPSTREAM_UNAVAILABLE,
                f"no way to upstream {upstream.upstream_id} now",
            )
        request_id = f"{self._state.incarnation}.r{next(self._request_numbers)}"
        execution_ms = request.deadline_ms * (1.0 - OUTCOME_RESERVE_RATIO)
        ask = message.ActionAsk(
            origin=self._own_id,
            request_id=request_id,
            remaining_ms=execution_ms,
            upstream_id=upstream.upstream_id,
            action=request,
        )
        if path.instance_id == self._own_id:
            return await self._executor.execute(ask)
        return await self._ask_peer(path, ask, service)

    def _select_path(
        self,
        service: catalog.Service,
        upstream: catalog.Upstream,
        now_ms: float,
    ) -> routing.RelayPath | None:
        """Selects the path to the only upstream that may receive an action.

        An ejected upstream is still used, because there is no other one.

        Returns:
            The path; None if the upstream is draining or has no path.
        """
        if self._state.upstream_health.is_draining(
            upstream.upstream_id, now_ms
        ):
            return None
        paths = self._state.router.paths(service, upstream.upstream_id)
        own = [each for each in paths if each.instance_id == self._own_id]
        if own and self._relay.owns(upstream.upstream_id, now_ms):
            return own[0]
        remote = [each for each in paths if each.instance_id != self._own_id]
        return self._random.choice(remote) if remote else None

    async def _ask_peer(
        self,
        path: routing.RelayPath,
        ask: message.ActionAsk,
        service: catalog.Service,
    ) -> action.Outcome:
        done = asyncio.get_running_loop().create_future()
        self._pending_outcomes[ask.request_id] = done
        pending_answers = self._state.pending_answers
        try:
            if not self._send_to(path.instance_id, ask):
                return _not_sent_outcome()
            pending_answers.record_request(path.instance_id, clock.now_ms())
            if not await timeouts.wait_until_done(done, ask.remaining_ms):
                return await self._determine_outcome(
                    ask, service.action_retention_ms
                )
            outcome = done.result()
            if outcome is None:
                pending_answers.record_unreachable(path.instance_id)
                return _not_sent_outcome()
            pending_answers.record_response(path.instance_id)
            return outcome
        finally:
            del self._pending_outcomes[ask.request_id]

    def on_reply(self, reply: message.ActionReply) -> None:
        """Completes a pending action with the executor's reply."""
        done = self._pending_outcomes.get(reply.request_id)
        if done is not None and not done.done():
            done.set_result(reply.outcome)

    def on_undelivered(self, ask: message.ActionAsk) -> None:
        """Completes a pending action whose message was certainly not sent."""
        done = self._pending_outcomes.get(ask.request_id)
        if done is not None and not done.done():
            done.set_result(None)

    async def _determine_outcome(
        self, ask: message.ActionAsk, ttl_ms: int
    ) -> action.Outcome:
        """Determines the outcome after the executor did not answer.

        Marks the request in the claim as barred, so that "not run" stays true
        even if the executor resumes later.
        """
        digest = claim.digest_of(ask.action)
        key = claim.key_of(ask.action)
        for _ in range(OUTCOME_TRY_COUNT):
            read = await self._claim_store.read(key)
            if read is None:
                break
            found, version = read
            if not claim.may_release(found, digest):
                return claim.recorded_outcome(found)
            if found is not None and ask.request_id in found.barred:
                return _executor_lost_outcome()
            new_claim = claim.released_claim(
                found, ask.request_id, digest, "the executor did not answer"
            )
            await self._claim_store.write(key, new_claim, version, ttl_ms)
            # The next pass reads the claim back: only a release that is found
            # in the store counts.
        return claim.unknown_outcome("the executor did not answer")

    async def read_outcome(self, service: str, key: str) -> action.Outcome:
        """Returns the recorded outcome for an idempotency key."""
        request = action.Action(
            idempotency_key=key,
            service=service,
            subject="",
            body_text="",
            deadline_ms=0,
        )
        read = await self._claim_store.read(claim.key_of(request))
        if read is None:
            return claim.unknown_outcome(
                "the key-value service can't be read now"
            )
        return claim.recorded_outcome(read[0])


def _upstream_for(
    service: catalog.Service, request: action.Action
) -> catalog.Upstream:
    """Returns the first upstream of the subject's shard.

    Only the first upstream of a shard receives actions.
    """
    key = keyspace.key_of(request.subject)
    for shard in service.shards:
        if shard.key_range.contains(key):
            return service.upstreams[shard.upstream_ids[0]]
    raise chart.BrokenInvariant(
        f"no shard of service {service.name} contains key {key}"
    )


def _not_sent_outcome() -> action.Outcome:
    return claim.not_run_outcome(
        refusal.Reason.UPSTREAM_UNAVAILABLE, "no executor could be reached"
    )


def _executor_lost_outcome() -> action.Outcome:
    return claim.not_run_outcome(
        refusal.Reason.UPSTREAM_UNAVAILABLE,
        "the executor did not answer and can't run the request any more",
    )
