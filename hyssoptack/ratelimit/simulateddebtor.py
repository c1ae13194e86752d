"""Debits of a simulated instance for permits spent without asking."""

from hyssoptack.core import ratelimitmessage
from hyssoptack.ratelimit import simulation

COLLECT_MS = 20.0
ANSWER_TIMEOUT_MS = 15.0
SUBSTITUTE_TIMEOUT_MS = 35.0
SENDING_COUNT = 2
SKIP_MS = 1_000.0


class Debtor:
    """Spends permits without asking and reports them to the owners."""

    def __init__(self, node, choose):
        """Creates the debits of a `simulatednode.Node`.

        Args:
            node: The instance.
            choose: Returns whom to ask about a team, and the skipped instances.
        """
        self._node = node
        self._choose = choose
        self._collecting = set()
        self._debits = {}

    def try_spend(self, team):
        """Permits a request without asking, unless the team asks first."""
        if self._node.ledger.owns(team) or not self._node.cache.spend_ahead(
            team, self._node.now_ms
        ):
            return False
        if team not in self._collecting:
            self._collecting.add(team)
            self._node.after(COLLECT_MS, self._flush, team)
        return True

    def _flush(self, team):
        self._collecting.discard(team)
        spent_count = self._node.cache.take_debit(team)
        if spent_count:
            self._send(team, spent_count, 1)

    def _send(self, team, spent_count, attempt, target_id=None):
        skipped_ids = ()
        if target_id is None:
            target_id, skipped_ids = self._choose(team)
        message = ratelimitmessage.PermitRequest(
            sender_id=self._node.node_id,
            sender_address=simulation.address(self._node.node_id),
            ask_id=self._node.next_id(),
            team=team,
            limit=self._node.versioned(team),
            wanted_count=0,
            skipped_ids=skipped_ids,
            spent_count=spent_count,
        )
        self._debits[message.ask_id] = (message, target_id, attempt)
        if target_id == self._node.node_id:
            self._node.on_message(message)
        elif self._node.world.send(self._node, target_id, message):
            self._node.after(
                SUBSTITUTE_TIMEOUT_MS if skipped_ids else ANSWER_TIMEOUT_MS,
                self._on_timeout,
                message.ask_id,
            )
        else:
            self._on_timeout(message.ask_id)

    def _on_timeout(self, ask_id):
        found = self._debits.pop(ask_id, None)
        if found is None:
            return
        message, target_id, attempt = found
        self._node.cache.record_unanswered(message.team)
        if target_id == self._node.owners.of(message.team)[0]:
            self._node.skipped[target_id] = self._node.now_ms + SKIP_MS
        if attempt < SENDING_COUNT:
            self._send(message.team, message.spent_count, attempt + 1)

    def on_reply(self, reply):
        """Handles a reply; returns whether it was one to a debit."""
        found = self._debits.pop(reply.ask_id, None)
        if found is None:
            return False
        message, _, attempt = found
        if not reply.redirect_id:
            self._node.cache.record_answer(
                reply.team, reply.ask_first_ms, self._node.now_ms
            )
        elif attempt < SENDING_COUNT:
            self._send(
                reply.team, message.spent_count, attempt + 1, reply.redirect_id
            )
        return True
