"""The asker's side of a simulated instance."""

import collections
import dataclasses

from hyssoptack.core import ratelimitmessage
from hyssoptack.ratelimit import ownership
from hyssoptack.ratelimit import simulateddebtor
from hyssoptack.ratelimit import simulation

ASK_TIMEOUT_MS = 15.0
SECOND_ASK_TIMEOUT_MS = 35.0
SKIP_MS = 1_000.0
UNDECIDED_RETRY_MS = 200.0


@dataclasses.dataclass
class _Ask:
    team: str
    target_id: str | None
    wanted_count: int
    asked_ms: float
    redirected: bool


class Asker:
    """Obtains permits for the requests that arrive at an instance."""

    def __init__(self, node):
        """Creates the asker of a `simulatednode.Node`."""
        self._node = node
        self._asks: dict[int, _Ask] = {}
        self._waiters = collections.defaultdict(list)
        self._debtor = simulateddebtor.Debtor(node, self._target)

    def acquire(self, team, done):
        """Decides on a request; `done` gets the outcome and retry delay."""
        if self._node.cache.try_spend(team, self._node.now_ms):
            done("permitted", 0.0)
            self._ask_ahead(team)
            return
        retry_ms = self._node.cache.denied_for_ms(team, self._node.now_ms)
        if retry_ms:
            done("over_limit", retry_ms)
            return
        if self._debtor.try_spend(team):
            done("permitted", 0.0)
            return
        self._waiters[team].append(done)
        if len(self._waiters[team]) == 1:
            self._ask(team)

    def _ask_ahead(self, team):
        if self._waiters[team] or self._target(team)[0] == self._node.node_id:
            return
        if self._node.cache.refill_count(team, self._node.now_ms):
            self._ask(team)

    def _target(self, team):
        """Returns the instance to ask, and the skipped ones above it."""
        ranked = self._node.owners.of(team)
        until_ms = self._node.skipped.get(ranked[0], 0.0)
        skips = until_ms > self._node.now_ms and len(ranked) > 1
        target_id = ranked[skips]
        lost_ids = tuple(
            each
            for each in self._node.lost_ids
            if ownership.ranks_above(team, each, target_id)
        )
        return target_id, lost_ids + ranked[:skips]

    def _ask(self, team, redirect_id=None):
        now_ms = self._node.now_ms
        target_id, skipped_ids = self._target(team)
        if redirect_id:
            target_id, skipped_ids = redirect_id, ()
        wanted_count = len(self._waiters[team])
        ahead_count = (
            0
            if target_id == self._node.node_id
            else self._node.cache.refill_count(team, now_ms)
        )
        message = ratelimitmessage.PermitRequest(
            sender_id=self._node.node_id,
            sender_address=simulation.address(self._node.node_id),
            ask_id=self._node.next_id(),
            team=team,
            limit=self._node.versioned(team),
            wanted_count=wanted_count,
            prefetch_count=ahead_count,
            held_count=self._node.cache.held_count(team, now_ms),
            skipped_ids=skipped_ids,
        )
        self._node.cache.record_ask(team, wanted_count + ahead_count, now_ms)
        self._asks[message.ask_id] = _Ask(
            team=team,
            target_id=target_id,
            wanted_count=wanted_count,
            asked_ms=now_ms,
            redirected=redirect_id is not None,
        )
        if target_id == self._node.node_id:
            self._node.on_message(message)
            return
        if not self._node.world.send(self._node, target_id, message):
            del self._asks[message.ask_id]
            if redirect_id:
                self._finish(team, "undecided", UNDECIDED_RETRY_MS)
            else:
                # The target is no longer ranked.
                self._ask(team)
            return
        self._node.after(
            SECOND_ASK_TIMEOUT_MS if skipped_ids else ASK_TIMEOUT_MS,
            self._on_ask_timeout,
            message.ask_id,
        )

    def _on_ask_timeout(self, ask_id):
        ask = self._asks.get(ask_id)
        if ask is None or ask.target_id is None:
            return
        owner_id = self._node.owners.of(ask.team)[0]
        timed_out_id = ask.target_id
        # A late reply still brings permits.
        ask.target_id = None
        if timed_out_id == owner_id:
            self._node.skipped[owner_id] = self._node.now_ms + SKIP_MS
            if self._waiters[ask.team]:
                self._ask(ask.team)
        else:
            # Only one instance is skipped: if all skipped those that are slow,
            # many would own the bucket.
            self._finish(ask.team, "undecided", UNDECIDED_RETRY_MS)

    def _finish(self, team, outcome, retry_ms):
        waiters, self._waiters[team] = self._waiters[team], []
        for done in waiters:
            done(outcome, retry_ms)

    def on_permit_reply(self, message):
        """Handles a reply to an own request."""
        if self._debtor.on_reply(message):
            return
        ask = self._asks.pop(message.ask_id, None)
        if ask is None:
            return
        team = ask.team
        late = ask.target_id is None
        if message.redirect_id:
            self._node.cache.add(team, 0, ask.asked_ms, self._node.now_ms)
            if late or not self._waiters[team]:
                return
            if ask.redirected:
                self._finish(team, "undecided", UNDECIDED_RETRY_MS)
            else:
                self._ask(team, message.redirect_id)
            return
        self._node.cache.record_answer(
            team, message.ask_first_ms, self._node.now_ms
        )
        self._node.cache.add(
            team, message.permit_count, ask.asked_ms, self._node.now_ms
        )
        waiters = self._waiters[team]
        while waiters and self._node.cache.try_spend(
            team, self._node.now_ms, waited=True
        ):
            waiters.pop(0)("permitted", 0.0)
        if late or not waiters:
            return
        if message.retry_after_ms:
            self._node.cache.record_denial(
                team, message.retry_after_ms, self._node.now_ms
            )
            self._finish(team, "over_limit", message.retry_after_ms)
        else:
            self._ask(team)
