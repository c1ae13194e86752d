"""The asker's side: requests wait here for permits of their teams.

At most one message per team awaits a reply at any time. Requests that arrive
meanwhile share the next message.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import random

from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.core import ratelimitmessage
from hyssoptack.core import teams
from hyssoptack.gateway import ownerskips
from hyssoptack.gateway import permitdecision
from hyssoptack.gateway import ratelimitcheck
from hyssoptack.gateway import ratelimitcontext
from hyssoptack.gateway import spentpermits
from hyssoptack.gateway import tokencollection
from hyssoptack.http1 import message
from hyssoptack.ratelimit import permits

ANSWER_TIMEOUT_MS = 15.0
"""Time in which an owner must answer (specified)."""

SUBSTITUTE_TIMEOUT_MS = 35.0
"""Time in which the next instance in the ranking must answer: it first waits up
to 15 ms for the owner, and then for a transfer."""

LOCAL_TIMEOUT_MS = 60.0
"""Time in which this instance must decide as the owner: a handover takes up to
20 ms, and transfers may follow."""

ATTEMPT_COUNT = 2
"""Instances that are asked for one decision."""

REDIRECT_COUNT = 2
"""Times that one decision follows a former owner's reference to its successor.
"""

LIST_TIMEOUT_MS = 100.0
"""Time for which requests wait for the first list of instances (specified)."""

UNDECIDED_RETRY_MS = 100.0
"""Smallest delay after which the caller of an undecided request retries: the
next attempt usually reaches another instance."""

LATE_REPLY_MS = 1_000.0
"""Time for which a reply after the time-out is still used. Its permits have
left the owner's bucket and would be lost."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Waiter:
    """A request that waits for a permit.

    Attributes:
        on_decision: Called with the decision.
    """

    on_decision: permitdecision.OnDecision


@dataclasses.dataclass(kw_only=True)
class _Ask:
    """A message to an owner that awaits its reply.

    Attributes:
        request: The message.
        target: The instance that was asked.
        asked_ms: Time of the message.
        attempt: Number of the attempt, from 1.
        redirect_count: References to successors that were followed.
        timeout: Ends the attempt.
    """

    request: ratelimitmessage.PermitRequest
    target: member.Peer
    asked_ms: float
    attempt: int
    redirect_count: int
    timeout: tokencollection.Timeout | None = None


@dataclasses.dataclass(kw_only=True)
class _TeamState:
    """The waiting requests of one team.

    Attributes:
        team: The team as last seen in a request.
        waiters: Its waiting requests, oldest first.
        ask: The message that awaits a reply, if any.
        owner_id: Id of the instance that answered last.
        used_ms: Time of the last request.
    """

    team: teams.Team
    waiters: collections.deque[_Waiter] = dataclasses.field(
        default_factory=collections.deque
    )
    ask: _Ask | None = None
    owner_id: str = ""
    used_ms: float = 0.0


class PermitAsker:
    """Obtains permits for the requests of one instance.

    Attributes:
        cache: The permits that the instance holds.
    """

    def __init__(
        self,
        context: ratelimitcontext.RateLimitContext,
        cache: permits.PermitCache,
        ask_locally: spentpermits.AskLocally,
    ):
        self.cache = cache
        self._context = context
        self._ask_locally = ask_locally
        self._skips = ownerskips.OwnerSkips(context.ranking, context.report)
        self._spent = spentpermits.SpentPermits(
            context, cache, self._skips, ask_locally
        )
        self._states: dict[str, _TeamState] = {}
        self._asks: dict[int, _TeamState] = {}
        self._late: dict[int, _Ask] = {}
        self._random = random.Random()

    def acquire(
        self, team: teams.Team, on_decision: permitdecision.OnDecision
    ) -> None:
        """Obtains a permit for a request; may decide at once."""
        now_ms = clock.now_ms()
        state = self._states.get(team.name)
        if state is None:
            state = self._states[team.name] = _TeamState(team=team)
        state.team, state.used_ms = team, now_ms
        if self.cache.try_spend(team.name, now_ms):
            on_decision(permitdecision.PERMITTED)
            self._advance(state)
            return
        denied_ms = self.cache.denied_for_ms(team.name, now_ms)
        if denied_ms > 0:
            on_decision(
                permitdecision.OverLimit(
                    retry_after_ms=denied_ms, owner_id=state.owner_id
                )
            )
            return
        if self._spent.try_spend(team.name, now_ms):
            on_decision(permitdecision.PERMITTED)
            return
        waiter = _Waiter(on_decision=on_decision)
        state.waiters.append(waiter)
        if not self._context.ranking.has_list:
            asyncio.get_running_loop().call_later(
                LIST_TIMEOUT_MS / message.MS_PER_S,
                self._on_list_timeout,
                state,
                waiter,
            )
        self._advance(state)

    def refund(self, team: teams.Team) -> None:
        """Takes back the permit of a request that has not run."""
        self.cache.refund(team.name, clock.now_ms())
        state = self._states.get(team.name)
        if state is not None and state.waiters:
            self._advance(state)

    def _advance(self, state: _TeamState) -> None:
        """Serves waiting requests from held permits, then asks for more."""
        name, now_ms = state.team.name, clock.now_ms()
        while state.waiters and self.cache.try_spend(name, now_ms, waited=True):
            state.waiters.popleft().on_decision(permitdecision.PERMITTED)
        if state.ask is not None or not self._context.ranking.has_list:
            return
        if state.waiters or self.cache.refill_count(name, now_ms):
            self._ask_next(state, 1)

    # Messages to owners.

    def _ask_next(self, state: _TeamState, attempt: int) -> None:
        """Asks the owner, or the second in the ranking if it is skipped."""
        name, now_ms = state.team.name, clock.now_ms()
        if attempt > ATTEMPT_COUNT:
            self._leave_undecided(state)
            return
        chosen_id, skipped_ids = self._skips.choose(name, now_ms)
        peer = self._context.ranking.peer(chosen_id)
        self._ask(state, peer, skipped_ids, attempt, 0)

    def _ask(
        self,
        state: _TeamState,
        target: member.Peer,
        skipped_ids: tuple[str, ...],
        attempt: int,
        redirect_count: int,
    ) -> None:
        context, name, now_ms = self._context, state.team.name, clock.now_ms()
        own = context.own
        is_local = target.instance_id == own.instance_id
        prefetch_count = (
            0 if is_local else self.cache.refill_count(name, now_ms)
        )
        wanted_count = len(state.waiters)
        if not wanted_count and not prefetch_count:
            return
        stated = context.limits.stated(name, now_ms)
        if isinstance(stated, ratelimitcheck.UnknownTeam):
            # The team was removed while its requests waited.
            self._leave_undecided(state)
            return
        request = ratelimitmessage.PermitRequest(
            sender_id=own.instance_id,
            sender_address=own.address,
            ask_id=next(context.ask_ids),
            team=name,
            limit=stated,
            wanted_count=wanted_count,
            prefetch_count=prefetch_count,
            held_count=self.cache.held_count(name, now_ms),
            skipped_ids=skipped_ids,
        )
        ask = state.ask = _Ask(
            request=request,
            target=target,
            asked_ms=now_ms,
            attempt=attempt,
            redirect_count=redirect_count,
        )
        self._asks[request.ask_id] = state
        self.cache.record_ask(
            name, request.wanted_count + request.prefetch_count, now_ms
        )
        if is_local:
            context.report.count("asks_local")
            self._ask_locally(request, self.on_reply)
            timeout_ms = LOCAL_TIMEOUT_MS
        else:
            context.report.count("asks_sent")
            context.send(target.address, request)
            timeout_ms = (
                SUBSTITUTE_TIMEOUT_MS if skipped_ids else ANSWER_TIMEOUT_MS
            )
        if state.ask is ask:
            ask.timeout = tokencollection.Timeout(
                timeout_ms, lambda: self._fail(state, ask, "no_answer")
            )

    def _close(self, state: _TeamState, ask: _Ask) -> None:
        del self._asks[ask.request.ask_id]
        state.ask = None
        if ask.timeout is not None:
            ask.timeout.cancel()

    def _fail(self, state: _TeamState, ask: _Ask, cause: str) -> None:
        """Skips an owner that did not answer and asks the next one."""
        self._close(state, ask)
        self._late[ask.request.ask_id] = ask
        self._try_next(state, ask, cause)

    def _try_next(self, state: _TeamState, ask: _Ask, cause: str) -> None:
        now_ms = clock.now_ms()
        self.cache.add(state.team.name, 0, ask.asked_ms, now_ms)
        self._skips.skip(state.team.name, ask.target.instance_id, cause, now_ms)
        if state.waiters:
            self._ask_next(state, ask.attempt + 1)

    def _leave_undecided(self, state: _TeamState) -> None:
        waiters, state.waiters = state.waiters, collections.deque()
        for each in waiters:
            self._decide_undecided(each)

    def _decide_undecided(self, waiter: _Waiter) -> None:
        retry_ms = UNDECIDED_RETRY_MS * self._random.uniform(1.0, 2.0)
        waiter.on_decision(permitdecision.Undecided(retry_after_ms=retry_ms))

    def _on_list_timeout(self, state: _TeamState, waiter: _Waiter) -> None:
        if not self._context.ranking.has_list and waiter in state.waiters:
            state.waiters.remove(waiter)
            self._decide_undecided(waiter)

    # Replies of owners.

    def on_reply(self, reply: ratelimitmessage.PermitReply) -> None:
        """Handles the reply to a request for permits."""
        if self._spent.on_reply(reply):
            return
        state = self._asks.get(reply.ask_id)
        if state is None:
            self._on_late_reply(reply)
            return
        ask = state.ask
        if not _answers(reply, ask):
            self._context.report.log_ignored(
                reply.team, reply.sender_id, "not_as_requested", clock.now_ms()
            )
            return
        self._close(state, ask)
        if reply.redirect_id:
            self._follow(state, ask, reply)
            return
        now_ms, name = clock.now_ms(), state.team.name
        state.owner_id = reply.sender_id
        wanted_count = ask.request.wanted_count
        if wanted_count and not reply.permit_count and not reply.retry_after_ms:
            # The instance has no list yet, so that it owns no bucket.
            self._try_next(state, ask, "declined")
            return
        if reply.permit_count or reply.retry_after_ms or reply.ask_first_ms:
            self.cache.record_answer(name, reply.ask_first_ms, now_ms)
        self.cache.add(name, reply.permit_count, ask.asked_ms, now_ms)
        if reply.permit_count < wanted_count and reply.retry_after_ms:
            self._deny(state, reply, now_ms)
        self._advance(state)

    def _deny(
        self,
        state: _TeamState,
        reply: ratelimitmessage.PermitReply,
        now_ms: float,
    ) -> None:
        """Refuses the requests for which the owner granted no permit."""
        name = state.team.name
        if not reply.in_doubt:
            self.cache.record_denial(name, reply.retry_after_ms, now_ms)
        refused, state.waiters = state.waiters, collections.deque()
        retry_after_ms = reply.retry_after_ms
        for each in refused:
            if self.cache.try_spend(name, now_ms, waited=True):
                each.on_decision(permitdecision.PERMITTED)
                continue
            if reply.in_doubt:
                # A new owner has few tokens, whatever the team's requests.
                self._decide_undecided(each)
                continue
            each.on_decision(
                permitdecision.OverLimit(
                    retry_after_ms=retry_after_ms, owner_id=reply.sender_id
                )
            )
            # Each refused caller gets a later time.
            retry_after_ms = (
                self.cache.denied_for_ms(name, now_ms) or retry_after_ms
            )

    def _follow(
        self,
        state: _TeamState,
        ask: _Ask,
        reply: ratelimitmessage.PermitReply,
    ) -> None:
        """Asks the instance to which the bucket was handed over."""
        now_ms = clock.now_ms()
        self.cache.add(state.team.name, 0, ask.asked_ms, now_ms)
        if self._skips.is_skipped(reply.redirect_id, now_ms):
            self._ask_next(state, ask.attempt + 1)
        elif ask.redirect_count >= REDIRECT_COUNT:
            self._leave_undecided(state)
        else:
            successor = member.Peer(
                instance_id=reply.redirect_id,
                failure_domain=self._context.own.failure_domain,
                address=reply.redirect_address,
            )
            self._ask(state, successor, (), ask.attempt, ask.redirect_count + 1)

    def _on_late_reply(self, reply: ratelimitmessage.PermitReply) -> None:
        """Uses a decision that arrives after the time-out."""
        ask = self._late.get(reply.ask_id)
        if ask is None or not _answers(reply, ask):
            return
        del self._late[reply.ask_id]
        now_ms = clock.now_ms()
        state = self._states[reply.team]
        if reply.ask_first_ms:
            self.cache.restrict(reply.team, reply.ask_first_ms, now_ms)
        if reply.sender_id == ask.target.instance_id:
            self._skips.end(reply.sender_id)
        if reply.permit_count:
            self.cache.add(reply.team, reply.permit_count, ask.asked_ms, now_ms)
        if reply.retry_after_ms and state.waiters:
            self._deny(state, reply, now_ms)
        self._advance(state)

    def team_names(self) -> list[str]:
        """Returns the teams that have sent requests lately."""
        return list(self._states)

    # Events.

    def on_undelivered(self, ask_id: int) -> None:
        """Handles a request that could not be delivered."""
        self._spent.on_undelivered(ask_id)
        state = self._asks.get(ask_id)
        if state is not None:
            self._fail(state, state.ask, "undelivered")

    def on_link_lost(self, address: str) -> None:
        """Handles the loss of the connection to an instance."""
        self._spent.on_link_lost(address)
        for state in tuple(self._asks.values()):
            ask = state.ask
            if ask is not None and ask.target.address == address:
                self._fail(state, ask, "link_lost")

    def on_list(self) -> None:
        """Handles a list of instances: requests may wait for the first one."""
        for state in tuple(self._states.values()):
            if state.waiters:
                self._advance(state)

    def drop_idle(self, now_ms: float) -> None:
        """Removes the state of teams without requests, and old messages."""
        self.cache.drop_idle(now_ms)
        self._skips.drop_expired(now_ms)
        self._spent.drop_outdated(now_ms)
        for ask_id, ask in tuple(self._late.items()):
            if now_ms - ask.asked_ms > LATE_REPLY_MS:
                del self._late[ask_id]
        for name, state in tuple(self._states.items()):
            idle = now_ms - state.used_ms > permits.IDLE_MS
            if idle and state.ask is None and not state.waiters:
                del self._states[name]


def _answers(reply: ratelimitmessage.PermitReply, ask: _Ask) -> bool:
    """Returns whether a reply can be the answer to a request."""
    request = ask.request
    return (
        reply.team == request.team
        and reply.permit_count <= request.wanted_count + request.prefetch_count
    )
