"""Decides the upstream calls of one query: events in, commands out.

The coordinator passes in replies and the current time, and executes the
returned commands. Nothing here reads a clock or a socket, so replaying a
recorded trace gives the same commands (`bench/traces.py`).
"""

import collections
import collections.abc
import dataclasses

from hyssoptack.balancing import health
from hyssoptack.balancing import routing
from hyssoptack.budget import budget
from hyssoptack.core import catalog
from hyssoptack.core import keyspace
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.core import refusal
from hyssoptack.hedging import hedging
from hyssoptack.planning import merge
from hyssoptack.planning import querycommand
from hyssoptack.planning import queryresult
from hyssoptack.planning import shardstate
from hyssoptack.planning import versionchoice

ANSWER_RESERVE_MS = 5.0
"""Part of the deadline reserved for merging and writing the answer."""

REROUTE_LIMIT_COUNT = 3
VERSION_CHANGE_LIMIT_COUNT = 2
RESTART_RESERVE_COUNT = -20.0
"""Negative: a restart at another index version may overdraw the budget, as a
refused query is sent again whole. Later extra calls wait for the balance."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryPlanContext:
    """State that all query plans of an instance share.

    Attributes:
        router: Chooses the relay path of each call.
        upstream_health: Health and latency of upstreams, from earlier calls.
        extra_call_budgets: Budgets for extra calls, one for each service.
        hedge_policy: Policy that sets the delay and the budget of hedges.
        current_service: Looks up a service by name in the current
            configuration; returns None for an unknown name.
    """

    router: routing.Router
    upstream_health: health.HealthTracker
    extra_call_budgets: budget.ServiceBudgets
    hedge_policy: hedging.HedgePolicy
    current_service: collections.abc.Callable[[str], catalog.Service | None]


class QueryPlan:
    """Plans the calls, retries and hedges of one query."""

    def __init__(
        self,
        request: query.Query,
        profile: catalog.Profile,
        service: catalog.Service,
        context: QueryPlanContext,
        now_ms: float,
    ):
        self.query = request
        self.was_shed = False
        self._profile = profile
        self._service = service
        self._context = context
        self._started_ms = now_ms
        self.end_ms = now_ms + max(1.0, request.deadline_ms - ANSWER_RESERVE_MS)
        self._states = [
            shardstate.ShardState(shard=shard) for shard in service.shards
        ]
        self._state_by_call_id: dict[int, shardstate.ShardState] = {}
        self._open_count = len(self._states)
        self._open_key_count = keyspace.KEYSPACE_SIZE_COUNT
        # Call IDs in the order sent, in which their hedges fall due.
        self._unhedged: collections.deque[int] = collections.deque()
        self._next_call_id = 1
        self.upstream_call_count = 0
        self.extra_call_count = 0
        self._version_change_count = 0
        self._replanned = False
        self._finished = False
        self._merger = merge.AnswerMerger(
            self._choose_version(now_ms), request.limit_count
        )
        self._hedge_after_ms = self._hedge_delay_ms()

    def start(self, now_ms: float) -> list[querycommand.Command]:
        """Returns commands for the first calls, one for each shard."""
        commands: list[querycommand.Command] = []
        for state in self._states:
            commands.extend(self._call_shard(state, now_ms))
        sent = sum(isinstance(each, querycommand.Send) for each in commands)
        ceiling = self._profile.extra_load_ceiling_ratio
        self._context.extra_call_budgets.earn(self._service.name, ceiling, sent)
        return commands + self._finish_if_done(now_ms)

    def next_deadline_ms(self) -> float:
        """Returns the time at which `on_timeout` must be called next."""
        call = self._next_unhedged()
        if call is None:
            return self.end_ms
        return min(self.end_ms, call.sent_ms + self._hedge_after_ms)

    def _next_unhedged(self) -> shardstate.Call | None:
        """Returns the oldest call whose shard is open and not yet hedged."""
        while self._unhedged:
            call_id = self._unhedged[0]
            state = self._state_by_call_id.get(call_id)
            if state is not None and state.is_open() and not state.hedged:
                return state.calls[call_id]
            self._unhedged.popleft()
        return None

    def on_timeout(self, now_ms: float) -> list[querycommand.Command]:
        """Returns the commands due by now: hedges, or the final answer."""
        if self._finished:
            return []
        if now_ms >= self.end_ms:
            return self._finish(now_ms)
        commands: list[querycommand.Command] = []
        while (call := self._next_unhedged()) is not None:
            if now_ms < call.sent_ms + self._hedge_after_ms:
                break
            state = self._state_by_call_id[self._unhedged.popleft()]
            commands.extend(self._hedge(state, call, now_ms))
        return commands

    def on_reply(
        self, reply: message.UpstreamReply, now_ms: float
    ) -> list[querycommand.Command]:
        """Processes a call's result; ignores ended or cancelled calls."""
        state = self._state_by_call_id.pop(reply.call_id, None)
        if self._finished or state is None:
            return []
        call = state.calls.pop(reply.call_id)
        self._context.router.end_call(call.path)
        if reply.reached_upstream:
            self.upstream_call_count += 1
        commands = self._handle_reply(state, call, reply, now_ms)
        return commands + self._finish_if_done(now_ms)

    def _handle_reply(
        self,
        state: shardstate.ShardState,
        call: shardstate.Call,
        reply: message.UpstreamReply,
        now_ms: float,
    ) -> list[querycommand.Command]:
        state.last_status = reply.status.value
        state.lacked_version = (
            reply.status is message.CallStatus.VERSION_MISSING
        )
        if not state.is_open():
            return []
        match reply.status:
            case message.CallStatus.ANSWERED:
                return self._handle_answer(state, call, reply, now_ms)
            case message.CallStatus.VERSION_MISSING:
                if self._merger.index_version not in reply.held_versions:
                    state.failed_upstream_ids.add(reply.upstream_id)
                return self._handle_version_missing(state, now_ms)
            case message.CallStatus.NOT_OWNER | message.CallStatus.DRAINING:
                return self._reroute(state, now_ms)
            case message.CallStatus.SHED:
                self.was_shed = True
                return self._retry_or_reroute(state, reply, now_ms)
            case _:
                # Another relay would not help: the upstream itself failed.
                state.failed_upstream_ids.add(reply.upstream_id)
                return self._retry_or_reroute(state, reply, now_ms)

    def _retry_or_reroute(
        self,
        state: shardstate.ShardState,
        reply: message.UpstreamReply,
        now_ms: float,
    ) -> list[querycommand.Command]:
        """Tries another path; spends budget if the call reached an upstream."""
        if reply.reached_upstream:
            return self._retry(state, now_ms)
        return self._reroute(state, now_ms)

    def _handle_answer(
        self,
        state: shardstate.ShardState,
        call: shardstate.Call,
        reply: message.UpstreamReply,
        now_ms: float,
    ) -> list[querycommand.Command]:
        if self._merger.index_version == query.ANY_VERSION:
            self._merger.index_version = reply.index_version
        if self._merger.add(reply):
            state.answered = True
            self._close(state)
            return self._cancel_calls(state)
        if self._merger.index_version in reply.held_versions:
            # The upstream answered from another version than the query's, but
            # holds the query's version as well.
            state.tried_paths.discard(
                (call.path.upstream_id, call.path.instance_id)
            )
            return self._call_version(state, now_ms)
        return self._handle_version_missing(state, now_ms)

    def _handle_version_missing(
        self, state: shardstate.ShardState, now_ms: float
    ) -> list[querycommand.Command]:
        version = self._choose_version(now_ms, self._merger.index_version)
        changes = version not in (self._merger.index_version, query.ANY_VERSION)
        if changes and self._version_change_count < VERSION_CHANGE_LIMIT_COUNT:
            return self._restart_at_version(version, now_ms)
        return [] if state.calls else self._call_version(state, now_ms)

    def _restart_at_version(
        self, version: int, now_ms: float
    ) -> list[querycommand.Command]:
        """Restarts the query at another version; discards earlier answers.

        A call in flight goes on: if its upstream lacks the earlier version, it
        says so without work, and the next call for its shard is no extra load.
        """
        self._version_change_count += 1
        self._merger = merge.AnswerMerger(version, self.query.limit_count)
        commands: list[querycommand.Command] = []
        for state in self._states:
            self._reopen(state)
            state.tried_paths.clear()
            state.failed_upstream_ids.clear()
            if not state.calls:
                commands.extend(self._call_version(state, now_ms))
        return commands

    def _call_version(
        self, state: shardstate.ShardState, now_ms: float
    ) -> list[querycommand.Command]:
        """Calls a shard; spends budget if an upstream worked for it before."""
        if state.lacked_version:
            return self._call_shard(state, now_ms)
        return self._call_within_budget(state, now_ms, RESTART_RESERVE_COUNT)

    def _reroute(
        self, state: shardstate.ShardState, now_ms: float
    ) -> list[querycommand.Command]:
        """Tries another path without budget: no upstream ran the call."""
        state.reroute_count += 1
        if state.calls:
            return []
        if state.reroute_count > REROUTE_LIMIT_COUNT:
            return self._abandon(state)
        return self._call_shard(state, now_ms)

    def _retry(
        self, state: shardstate.ShardState, now_ms: float
    ) -> list[querycommand.Command]:
        """Retries within the budget unless a call is still in flight."""
        if state.calls:
            return []
        return self._call_within_budget(state, now_ms)

    def _close(self, state: shardstate.ShardState) -> None:
        self._open_count -= 1
        self._open_key_count -= state.key_count()

    def _abandon(
        self, state: shardstate.ShardState
    ) -> list[querycommand.Command]:
        """Stops calling upstreams for a shard."""
        state.abandoned = True
        self._close(state)
        return []

    def _reopen(self, state: shardstate.ShardState) -> None:
        if not state.is_open():
            self._open_count += 1
            self._open_key_count += state.key_count()
        state.answered = state.abandoned = state.hedged = False

    def _call_within_budget(
        self,
        state: shardstate.ShardState,
        now_ms: float,
        reserve_count: float = 0.0,
    ) -> list[querycommand.Command]:
        if not self._context.extra_call_budgets.try_spend(
            self._service.name, reserve_count
        ):
            return self._abandon(state)
        self.extra_call_count += 1
        return self._call_shard(state, now_ms)

    def _hedge(
        self, state: shardstate.ShardState, call: shardstate.Call, now_ms: float
    ) -> list[querycommand.Command]:
        state.hedged = True
        path = self._best_path(state, now_ms, excluded_id=call.path.upstream_id)
        if path is None or not hedging.try_spend(
            self._context.hedge_policy,
            self._context.extra_call_budgets,
            self._service.name,
        ):
            return []
        self.extra_call_count += 1
        return [self._send(state, path, now_ms)]

    def _hedge_delay_ms(self) -> float:
        quantile_ms = self._context.upstream_health.quantile_ms(
            self._service.name, self._profile.hedge_after_ratio
        )
        return hedging.delay_ms(self._context.hedge_policy, quantile_ms)

    def _call_shard(
        self, state: shardstate.ShardState, now_ms: float
    ) -> list[querycommand.Command]:
        path = self._best_path(state, now_ms)
        if path is None:
            return self._abandon(state)
        return [self._send(state, path, now_ms)]

    def _best_path(
        self,
        state: shardstate.ShardState,
        now_ms: float,
        excluded_id: str | None = None,
    ) -> routing.RelayPath | None:
        version = self._merger.index_version
        candidates = tuple(
            upstream_id
            for upstream_id in state.shard.upstream_ids
            if upstream_id not in state.failed_upstream_ids
        )
        may_hold = self._context.upstream_health.may_hold
        holders = tuple(
            each for each in candidates if may_hold(each, version, now_ms)
        )
        # Held versions are known from answers only. If no remaining upstream is
        # recorded as holding the version, one is called all the same, which
        # updates an outdated record.
        return self._context.router.best_path(
            self._service,
            holders or candidates,
            frozenset(state.tried_paths),
            now_ms,
            excluded_id,
        )

    def _send(
        self,
        state: shardstate.ShardState,
        path: routing.RelayPath,
        now_ms: float,
    ) -> querycommand.Send:
        call_id = self._next_call_id
        self._next_call_id += 1
        state.calls[call_id] = shardstate.Call(path=path, sent_ms=now_ms)
        state.tried_paths.add((path.upstream_id, path.instance_id))
        self._context.router.begin_call(path)
        self._state_by_call_id[call_id] = state
        self._unhedged.append(call_id)
        return querycommand.Send(
            call_id=call_id, path=path, index_version=self._merger.index_version
        )

    def _cancel_calls(
        self, state: shardstate.ShardState
    ) -> list[querycommand.Command]:
        commands: list[querycommand.Command] = []
        for call_id, call in state.calls.items():
            self._state_by_call_id.pop(call_id, None)
            self._context.router.end_call(call.path)
            self.upstream_call_count += 1
            commands.append(
                querycommand.Cancel(
                    call_id=call_id, instance_id=call.path.instance_id
                )
            )
        state.calls.clear()
        return commands

    def _choose_version(
        self, now_ms: float, current_version: int = query.ANY_VERSION
    ) -> int:
        shards = self._service.shards
        held = self._context.upstream_health.all_held_versions(shards, now_ms)
        return versionchoice.choose_version(
            shards, held, current_version=current_version
        ).index_version

    def _finish_if_done(self, now_ms: float) -> list[querycommand.Command]:
        """Finishes once no shard is open or the floor can't be reached."""
        if self._finished:
            return []
        if not self._open_count:
            commands = self._call_new_shards(now_ms)
            return commands or self._finish(now_ms)
        open_ratio = self._open_key_count / keyspace.KEYSPACE_SIZE_COUNT
        reachable = self._merger.coverage_ratio() + open_ratio
        if reachable < self._profile.coverage_floor_ratio:
            return self._finish(now_ms)
        return []

    def _call_new_shards(self, now_ms: float) -> list[querycommand.Command]:
        """Calls missing ranges from a changed shard map, at most once."""
        new = self._context.current_service(self._service.name)
        if self._replanned or new is None or new.shards == self._service.shards:
            return []
        self._replanned = True
        self._service = new
        missing = self._merger.missing_ranges()
        commands: list[querycommand.Command] = []
        for shard in shardstate.overlapping(new.shards, missing):
            state = shardstate.ShardState(shard=shard)
            self._states.append(state)
            self._open_count += 1
            self._open_key_count += state.key_count()
            commands.extend(self._call_within_budget(state, now_ms))
        return commands

    def _finish(self, now_ms: float) -> list[querycommand.Command]:
        self._finished = True
        missing = shardstate.missing_shards_text(self._states)
        commands: list[querycommand.Command] = []
        for state in self._states:
            commands.extend(self._cancel_calls(state))
        coverage = self._merger.coverage_ratio()
        floor = self._profile.coverage_floor_ratio
        if coverage < floor or not self._merger.covered_ranges():
            result: query.Answer | refusal.Refusal = queryresult.below_floor(
                coverage, floor, missing
            )
        else:
            result = query.Answer(
                query_id=self.query.query_id,
                hits=self._merger.best_hits(),
                index_version=self._merger.index_version,
                coverage_ratio=coverage,
                ranges=self._merger.covered_ranges(),
                upstream_call_count=self.upstream_call_count,
                extra_call_count=self.extra_call_count,
                elapsed_ms=now_ms - self._started_ms,
            )
        return [*commands, querycommand.Finish(result=result)]
