"""The decisions of one query, as events in and commands out.

The coordinator feeds replies and the time, and carries out the commands.
Nothing here reads a clock or a socket, so a recorded trace replays to the same
commands (`trace.py`).
"""

import collections
import collections.abc
import dataclasses

from hyssoptack.core import catalog
from hyssoptack.core import keyspace
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.core import refusal
from hyssoptack.policy import budget
from hyssoptack.policy import health
from hyssoptack.policy import hedging
from hyssoptack.policy import merge
from hyssoptack.policy import querycommand
from hyssoptack.policy import routing
from hyssoptack.policy import shardstate
from hyssoptack.policy import versionchoice

ANSWER_RESERVE_MS = 5.0
"""Time kept back from the deadline to merge and write the answer."""

REROUTE_LIMIT_COUNT = 3
REPIN_LIMIT_COUNT = 2
HEDGE_KEEP_COUNT = 2.0
RETRY_AFTER_COVERAGE_MS = 500


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryPlanContext:
    """What a query's decisions draw on; shared by all queries of an instance.

    Attributes:
        router: Lanes and their scores.
        upstream_health: What calls have shown about upstreams.
        retry_budgets: Tokens for extra calls.
        hedge_policy: When to hedge.
        current_service: Finds a service in the configuration in force now.
    """

    router: routing.Router
    upstream_health: health.HealthTracker
    retry_budgets: budget.ServiceBudgets
    hedge_policy: hedging.HedgePolicy
    current_service: collections.abc.Callable[[str], catalog.Service | None]


class QueryPlan:
    """One query's decisions."""

    def __init__(
        self,
        asked: query.Query,
        profile: catalog.Profile,
        service: catalog.Service,
        knowledge: QueryPlanContext,
        now_ms: float,
    ):
        self.query = asked
        self.was_shed = False
        self._profile = profile
        self._service = service
        self._know = knowledge
        self._started_ms = now_ms
        self.end_ms = now_ms + max(1.0, asked.deadline_ms - ANSWER_RESERVE_MS)
        self._states = [
            shardstate.ShardState(shard=shard) for shard in service.shards
        ]
        self._state_of: dict[int, shardstate.ShardState] = {}
        self._open_count = len(self._states)
        self._open_key_count = keyspace.KEYSPACE_SIZE_COUNT
        # Calls in the order they were sent, which is that of their hedges.
        self._unhedged: collections.deque[int] = collections.deque()
        self._next_call_id = 1
        self.upstream_call_count = 0
        self.extra_call_count = 0
        self._repin_count = 0
        self._replanned = False
        self._finished = False
        self._merge = merge.AnswerMerger(self._pin(now_ms), asked.limit_count)
        self._hedge_after_ms = self._hedge_delay()

    def start(self, now_ms: float) -> list[querycommand.Command]:
        """Returns the first calls, one for each shard."""
        commands: list[querycommand.Command] = []
        for state in self._states:
            commands.extend(self._ask(state, now_ms))
        asked_count = sum(
            isinstance(each, querycommand.Send) for each in commands
        )
        ceiling = self._profile.extra_load_ceiling_ratio
        self._know.retry_budgets.earn(self._service.name, ceiling, asked_count)
        return commands + self._finish_if_done(now_ms)

    def next_deadline_ms(self) -> float:
        """Returns when `on_time` should be called next."""
        call = self._next_unhedged()
        if call is None:
            return self.end_ms
        return min(self.end_ms, call.sent_ms + self._hedge_after_ms)

    def _next_unhedged(self) -> shardstate.Call | None:
        """Returns the longest open call of a shard that has no hedge yet."""
        while self._unhedged:
            call_id = self._unhedged[0]
            state = self._state_of.get(call_id)
            if state is not None and state.is_open() and not state.hedged:
                return state.calls[call_id]
            self._unhedged.popleft()
        return None

    def on_timeout(self, now_ms: float) -> list[querycommand.Command]:
        """Returns what time alone brings: hedges, or the final answer."""
        if self._finished:
            return []
        if now_ms >= self.end_ms:
            return self._finish(now_ms)
        commands: list[querycommand.Command] = []
        while (call := self._next_unhedged()) is not None:
            if now_ms < call.sent_ms + self._hedge_after_ms:
                break
            state = self._state_of[self._unhedged.popleft()]
            commands.extend(self._hedge(state, call, now_ms))
        return commands

    def on_reply(
        self, reply: message.UpstreamReply, now_ms: float
    ) -> list[querycommand.Command]:
        """Takes what became of a call.

        Replies to calls that are no longer open change nothing.
        """
        state = self._state_of.pop(reply.call_id, None)
        if self._finished or state is None:
            return []
        call = state.calls.pop(reply.call_id)
        self._know.router.end_call(call.path)
        if reply.reached_upstream:
            self.upstream_call_count += 1
        commands = self._take(state, call, reply, now_ms)
        return commands + self._finish_if_done(now_ms)

    def _take(
        self,
        state: shardstate.ShardState,
        call: shardstate.Call,
        reply: message.UpstreamReply,
        now_ms: float,
    ) -> list[querycommand.Command]:
        state.last_status = reply.status.value
        if not state.is_open():
            return []
        match reply.status:
            case message.CallStatus.ANSWERED:
                return self._take_answer(state, call, reply, now_ms)
            case message.CallStatus.VERSION_MISSING:
                state.failed_upstream_ids.add(reply.upstream_id)
                return self._take_version_missing(state, now_ms)
            case message.CallStatus.NOT_OWNER | message.CallStatus.DRAINING:
                return self._reroute(state, now_ms)
            case message.CallStatus.SHED:
                self.was_shed = True
                return self._again(state, reply, now_ms)
            case _:
                # Whatever relay calls it, this upstream is no way out now.
                state.failed_upstream_ids.add(reply.upstream_id)
                return self._again(state, reply, now_ms)

    def _again(
        self,
        state: shardstate.ShardState,
        reply: message.UpstreamReply,
        now_ms: float,
    ) -> list[querycommand.Command]:
        """Tries another lane; only a call that reached one is paid for."""
        if reply.reached_upstream:
            return self._retry(state, now_ms)
        return self._reroute(state, now_ms)

    def _take_answer(
        self,
        state: shardstate.ShardState,
        call: shardstate.Call,
        reply: message.UpstreamReply,
        now_ms: float,
    ) -> list[querycommand.Command]:
        if self._merge.index_version == query.ANY_VERSION:
            self._merge.index_version = reply.index_version
        if self._merge.add(reply):
            state.answered = True
            self._close(state)
            return self._drop_calls(state)
        if self._merge.index_version in reply.held_versions:
            # This upstream answered at another version than the pinned one, but
            # holds it as well.
            state.tried_paths.discard(
                (call.path.upstream_id, call.path.instance_id)
            )
            return self._paid_ask(state, now_ms)
        return self._take_version_missing(state, now_ms)

    def _take_version_missing(
        self, state: shardstate.ShardState, now_ms: float
    ) -> list[querycommand.Command]:
        version = self._pin(now_ms)
        changes = version not in (self._merge.index_version, query.ANY_VERSION)
        if changes and self._repin_count < REPIN_LIMIT_COUNT:
            return self._repin(version, now_ms)
        return self._retry(state, now_ms)

    def _repin(self, version: int, now_ms: float) -> list[querycommand.Command]:
        """Starts over at a version that covers more; keeps nothing."""
        self._repin_count += 1
        self._merge = merge.AnswerMerger(version, self.query.limit_count)
        commands: list[querycommand.Command] = []
        for state in self._states:
            commands.extend(self._drop_calls(state))
            self._reopen(state)
            state.tried_paths.clear()
            state.failed_upstream_ids.clear()
            commands.extend(self._paid_ask(state, now_ms))
        return commands

    def _reroute(
        self, state: shardstate.ShardState, now_ms: float
    ) -> list[querycommand.Command]:
        """Tries another lane for nothing: the upstream saw no call."""
        state.reroute_count += 1
        if state.calls:
            return []
        if state.reroute_count > REROUTE_LIMIT_COUNT:
            return self._lose(state)
        return self._ask(state, now_ms)

    def _retry(
        self, state: shardstate.ShardState, now_ms: float
    ) -> list[querycommand.Command]:
        """Tries another lane, paid, unless a call is still in flight."""
        if state.calls:
            return []
        return self._paid_ask(state, now_ms)

    def _close(self, state: shardstate.ShardState) -> None:
        self._open_count -= 1
        self._open_key_count -= state.key_count()

    def _lose(self, state: shardstate.ShardState) -> list[querycommand.Command]:
        """Gives a shard up."""
        state.abandoned = True
        self._close(state)
        return []

    def _reopen(self, state: shardstate.ShardState) -> None:
        if not state.is_open():
            self._open_count += 1
            self._open_key_count += state.key_count()
        state.answered = state.abandoned = state.hedged = False

    def _paid_ask(
        self, state: shardstate.ShardState, now_ms: float
    ) -> list[querycommand.Command]:
        if not self._know.retry_budgets.try_spend(self._service.name):
            return self._lose(state)
        self.extra_call_count += 1
        return self._ask(state, now_ms)

    def _hedge(
        self, state: shardstate.ShardState, call: shardstate.Call, now_ms: float
    ) -> list[querycommand.Command]:
        state.hedged = True
        lane = self._lane(
            state, now_ms, other_upstream_than=call.path.upstream_id
        )
        if lane is None or not self._pays_hedge():
            return []
        self.extra_call_count += 1
        return [self._send(state, lane, now_ms)]

    def _pays_hedge(self) -> bool:
        match self._know.hedge_policy:
            case hedging.HedgeAfterQuantile():
                return self._know.retry_budgets.try_spend(
                    self._service.name, HEDGE_KEEP_COUNT
                )
            case hedging.HedgeAfterDelay():
                return True
            case hedging.NoHedge():
                return False

    def _hedge_delay(self) -> float:
        quantile_ms = self._know.upstream_health.quantile_ms(
            self._service.name, self._profile.hedge_after_ratio
        )
        return hedging.delay_ms(self._know.hedge_policy, quantile_ms)

    def _ask(
        self, state: shardstate.ShardState, now_ms: float
    ) -> list[querycommand.Command]:
        lane = self._lane(state, now_ms)
        if lane is None:
            return self._lose(state)
        return [self._send(state, lane, now_ms)]

    def _lane(
        self,
        state: shardstate.ShardState,
        now_ms: float,
        other_upstream_than: str | None = None,
    ) -> routing.RelayPath | None:
        version = self._merge.index_version
        left = tuple(
            upstream_id
            for upstream_id in state.shard.upstream_ids
            if upstream_id not in state.failed_upstream_ids
        )
        holders = tuple(
            each for each in left if self._may_hold(each, version, now_ms)
        )
        # What an upstream holds is known from its answers only: if all that are
        # left are thought to lack the version, asking is how to find out.
        return self._know.router.best_path(
            self._service,
            holders or left,
            frozenset(state.tried_paths),
            now_ms,
            other_upstream_than,
        )

    def _may_hold(self, upstream_id: str, version: int, now_ms: float) -> bool:
        held = self._know.upstream_health.held_versions(upstream_id, now_ms)
        return version == query.ANY_VERSION or held is None or version in held

    def _send(
        self,
        state: shardstate.ShardState,
        lane: routing.RelayPath,
        now_ms: float,
    ) -> querycommand.Send:
        call_id = self._next_call_id
        self._next_call_id += 1
        state.calls[call_id] = shardstate.Call(path=lane, sent_ms=now_ms)
        state.tried_paths.add((lane.upstream_id, lane.instance_id))
        self._know.router.begin_call(lane)
        self._state_of[call_id] = state
        self._unhedged.append(call_id)
        return querycommand.Send(
            call_id=call_id, path=lane, index_version=self._merge.index_version
        )

    def _drop_calls(
        self, state: shardstate.ShardState
    ) -> list[querycommand.Command]:
        commands: list[querycommand.Command] = []
        for call_id, call in state.calls.items():
            self._state_of.pop(call_id, None)
            self._know.router.end_call(call.path)
            self.upstream_call_count += 1
            commands.append(
                querycommand.Cancel(
                    call_id=call_id, instance_id=call.path.instance_id
                )
            )
        state.calls.clear()
        return commands

    def _pin(self, now_ms: float) -> int:
        held = {}
        for shard in self._service.shards:
            for upstream_id in shard.upstream_ids:
                versions = self._know.upstream_health.held_versions(
                    upstream_id, now_ms
                )
                if versions is not None:
                    held[upstream_id] = versions
        return versionchoice.choose_version(
            self._service.shards, held
        ).index_version

    def _finish_if_done(self, now_ms: float) -> list[querycommand.Command]:
        """Finishes once nothing is open, or once the floor is out of reach."""
        if self._finished:
            return []
        if not self._open_count:
            more = self._ask_repartitioned(now_ms)
            return more or self._finish(now_ms)
        open_ratio = self._open_key_count / keyspace.KEYSPACE_SIZE_COUNT
        reachable = self._merge.coverage_ratio() + open_ratio
        if reachable < self._profile.coverage_floor_ratio:
            return self._finish(now_ms)
        return []

    def _ask_repartitioned(self, now_ms: float) -> list[querycommand.Command]:
        """Asks once for what a shard map come meanwhile still offers."""
        current = self._know.current_service(self._service.name)
        if (
            self._replanned
            or current is None
            or current.shards == self._service.shards
        ):
            return []
        self._replanned = True
        self._service = current
        missing = self._merge.missing_ranges()
        commands: list[querycommand.Command] = []
        for shard in current.shards:
            overlaps = any(
                each.low < shard.key_range.high
                and shard.key_range.low < each.high
                for each in missing
            )
            if overlaps:
                state = shardstate.ShardState(shard=shard)
                self._states.append(state)
                self._open_count += 1
                self._open_key_count += state.key_count()
                commands.extend(self._paid_ask(state, now_ms))
        return commands

    def _finish(self, now_ms: float) -> list[querycommand.Command]:
        self._finished = True
        missing = shardstate.missing_shards_text(self._states)
        commands: list[querycommand.Command] = []
        for state in self._states:
            commands.extend(self._drop_calls(state))
        coverage = self._merge.coverage_ratio()
        floor = self._profile.coverage_floor_ratio
        if coverage < floor or not self._merge.covered_ranges():
            result: query.Answer | refusal.Refusal = refusal.Refusal(
                reason=refusal.Reason.COVERAGE_BELOW_FLOOR,
                ran=refusal.Ran.NO,
                detail=f"reached coverage {coverage:.4f} of at least {floor}; "
                + missing,
                retry_after_ms=RETRY_AFTER_COVERAGE_MS,
                coverage_ratio=coverage,
            )
        else:
            result = query.Answer(
                query_id=self.query.query_id,
                hits=self._merge.best_hits(),
                index_version=self._merge.index_version,
                coverage_ratio=coverage,
                ranges=self._merge.covered_ranges(),
                upstream_call_count=self.upstream_call_count,
                extra_call_count=self.extra_call_count,
                elapsed_ms=now_ms - self._started_ms,
            )
        return [*commands, querycommand.Finish(result=result)]
