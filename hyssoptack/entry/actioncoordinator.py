"""The front's side of non-idempotent requests: finds an executor, settles.

Picks the upstream and its owner, and asks that instance to execute. When the
executor does not answer, bars the request in its claim before it says "not
run", so that this stays true even if the executor goes on later.
"""

import asyncio
import collections.abc
import itertools
import random

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
from hyssoptack.policy import claim
from hyssoptack.policy import routing
from hyssoptack.relay import relay

SETTLE_SHARE_RATIO = 0.3
"""Part of the deadline kept to settle what a lost executor did."""

SETTLE_TRY_COUNT = 6

SendTo = collections.abc.Callable[[str, message.Message], bool]


class ActionCoordinator:
    """Owns the actions of this instance's callers; runs on the event loop."""

    def __init__(
        self,
        knowledge: state.InstanceState,
        own_relay: relay.Relay,
        own_executor: actionexecutor.ActionExecutor,
        own_claims: claimstore.ClaimStore,
        send_to: SendTo,
    ):
        self._state = knowledge
        self._relay = own_relay
        self._executor = own_executor
        self._claims = own_claims
        self._send_to = send_to
        self._own_id = knowledge.settings.instance_id
        self._numbers = itertools.count(1)
        self._random = random.Random()
        self._asked: dict[str, asyncio.Future[action.Outcome | None]] = {}
        self.in_flight_count = 0

    async def run_action(self, asked: action.Action) -> action.Outcome:
        """Brings an action to its final outcome.

        Args:
            asked: The action; its service is known and accepts actions.

        Returns:
            The outcome; `ran` is never `no` when the action may have run.
        """
        limit = self._state.settings.front.max_action_count
        if self.in_flight_count >= limit:
            return claim.not_run_outcome(
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
        upstream = _upstream_for(service, asked)
        lane = self._lane(service, upstream, now_ms)
        if lane is None:
            return claim.not_run_outcome(
                refusal.Reason.UPSTREAM_UNAVAILABLE,
                f"no way to upstream {upstream.upstream_id} now",
            )
        request_id = f"{self._state.incarnation}.r{next(self._numbers)}"
        work_ms = asked.deadline_ms * (1.0 - SETTLE_SHARE_RATIO)
        ask = message.ActionAsk(
            origin=self._own_id,
            request_id=request_id,
            remaining_ms=work_ms,
            upstream_id=upstream.upstream_id,
            action=asked,
        )
        if lane.instance_id == self._own_id:
            return await self._executor.execute(ask)
        return await self._ask_peer(lane, ask)

    def _lane(
        self,
        service: catalog.Service,
        upstream: catalog.Upstream,
        now_ms: float,
    ) -> routing.RelayPath | None:
        """Finds a way to the one upstream that an action may go to.

        Ejection is no bar here: there is no other upstream to prefer.
        """
        if self._state.upstream_health.is_draining(
            upstream.upstream_id, now_ms
        ):
            return None
        lanes = self._state.router.paths(service, upstream.upstream_id)
        own = [each for each in lanes if each.instance_id == self._own_id]
        if own and self._relay.owns(upstream.upstream_id, now_ms):
            return own[0]
        remote = [each for each in lanes if each.instance_id != self._own_id]
        return self._random.choice(remote) if remote else None

    async def _ask_peer(
        self, lane: routing.RelayPath, ask: message.ActionAsk
    ) -> action.Outcome:
        done = asyncio.get_running_loop().create_future()
        self._asked[ask.request_id] = done
        self._state.pending_answers.record_request(
            lane.instance_id, clock.now_ms()
        )
        try:
            if not self._send_to(lane.instance_id, ask):
                return _unsent()
            if not await timeouts.wait_until_done(done, ask.remaining_ms):
                return await self._settle(ask)
            outcome = done.result()
            if outcome is not None:
                self._state.pending_answers.record_response(lane.instance_id)
            return outcome if outcome is not None else _unsent()
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
        for _ in range(SETTLE_TRY_COUNT):
            read = await self._claims.read(key)
            if read is None:
                break
            found, version = read
            if not claim.may_release(found, digest):
                return claim.recorded_outcome(found)
            if found is not None and ask.request_id in found.barred:
                return _lost_executor()
            wanted = claim.released_claim(
                found, ask.request_id, digest, "the executor did not answer"
            )
            await self._claims.write(key, wanted, version, ttl_ms)
            # Read again: only a release that is seen in the store counts.
        return claim.unknown_outcome("the executor did not answer")

    async def read_outcome(self, service: str, key: str) -> action.Outcome:
        """Returns what is on record for an idempotency key."""
        asked = action.Action(
            idempotency_key=key,
            service=service,
            subject="",
            body_text="",
            deadline_ms=0,
        )
        read = await self._claims.read(claim.key_of(asked))
        if read is None:
            return claim.unknown_outcome(
                "the key-value service can't be read now"
            )
        return claim.recorded_outcome(read[0])

    def _ttl_ms(self, service: str) -> int:
        return self._state.catalog.services[service].action_retention_ms


def _upstream_for(
    service: catalog.Service, asked: action.Action
) -> catalog.Upstream:
    """Returns the first upstream of a subject's shard: it takes actions."""
    key = keyspace.key_of(asked.subject)
    for shard in service.shards:
        if shard.key_range.contains(key):
            return service.upstreams[shard.upstream_ids[0]]
    raise chart.BrokenInvariant(f"no shard of {service.name} has key {key}")


def _unsent() -> action.Outcome:
    return claim.not_run_outcome(
        refusal.Reason.UPSTREAM_UNAVAILABLE, "no executor could be reached"
    )


def _lost_executor() -> action.Outcome:
    return claim.not_run_outcome(
        refusal.Reason.UPSTREAM_UNAVAILABLE,
        "the executor did not answer and can't run the request any more",
    )
