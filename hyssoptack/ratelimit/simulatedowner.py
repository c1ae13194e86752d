"""The owner's side of a simulated instance."""

import collections
import dataclasses
import functools
import math

from hyssoptack.core import ratelimitmessage
from hyssoptack.ratelimit import ledger
from hyssoptack.ratelimit import ownership
from hyssoptack.ratelimit import simulation

ASK_TIMEOUT_MS = 15.0
HANDOVER_TIMEOUT_MS = 20.0
TRANSFER_TIMEOUT_MS = 10.0
SKIP_MS = 1_000.0
STOP_MS = 300.0
POLL_MS = 100.0
NOTICE_MS = 1_000.0
CHECK_MS = 100.0
OWNED_MIN_COUNT = 0.001


class Owner:
    """Owns buckets: grants permits and moves tokens between instances."""

    def __init__(self, node, members, transfers):
        """Creates the owner's side of a `simulatednode.Node`.

        Args:
            node: The instance.
            members: Ids of the instances of the other groups, by group.
            transfers: Whether to request tokens of the other groups.
        """
        self._node = node
        self._others = members
        self._transfers = transfers
        self._transferring = collections.defaultdict(list)
        self._noticed_ms: dict[str, float] = {}
        self._stand_ins: dict[str, float] = {}
        self._beginning = collections.defaultdict(list)

    def on_permit_request(self, message):
        """Handles a request for permits."""
        self._when_owner(
            message.team,
            message.skipped_ids,
            functools.partial(self._serve, message),
            functools.partial(self._redirect, message),
        )

    def _redirect(self, message, owner_id):
        self._node.send_reply(
            message.sender_id,
            ratelimitmessage.PermitReply(
                sender_id=self._node.node_id,
                ask_id=message.ask_id,
                team=message.team,
                redirect_id=owner_id,
                redirect_address=simulation.address(owner_id),
            ),
        )

    def on_members_changed(self):
        """Polls the instances that now rank first for an owned bucket.

        A joining instance may have begun without an answer to its handover.
        """
        for team in self._node.ledger.owned_teams():
            first_id = self._node.owners.of(team)[0]
            if first_id != self._node.node_id and team not in self._stand_ins:
                self._stand_ins[team] = self._node.now_ms
                self._poll_replaced(team, self._node.now_ms)

    def _when_owner(self, team, skipped_ids, act, redirect):
        """Calls `act` once this instance owns the bucket, else `redirect`."""
        if self._node.ledger.owns(team):
            act()
            return
        ranked = self._node.owners.of(team)
        if self._beginning[team]:
            self._beginning[team].append(act)
        elif ranked[0] == self._node.node_id:
            self._beginning[team].append(act)
            self._begin_joined(team, ranked[1:2])
        elif above_ids := ownership.replaced_ids(
            ranked, self._node.node_id, skipped_ids
        ):
            self._beginning[team].append(act)
            self._begin_replacing(team, above_ids)
        else:
            redirect(next(each for each in ranked if each not in skipped_ids))

    def _begun(self, team):
        acts, self._beginning[team] = self._beginning[team], []
        for act in acts:
            act()

    def _begin_joined(self, team, next_ids):
        def finish(token_count):
            # An instance that did not own the bucket answers with no tokens.
            lead = self._node.lead() if token_count == 0.0 else {}
            self._begin(team, token_count or None, lead=lead)

        if not next_ids:
            finish(0.0)
            return
        message = ratelimitmessage.HandoverRequest(
            sender_id=self._node.node_id,
            sender_address=simulation.address(self._node.node_id),
            ask_id=self._node.next_id(),
            team=team,
        )
        self._node.request(
            next_ids[0],
            message,
            HANDOVER_TIMEOUT_MS,
            lambda reply: finish(reply.token_count if reply else None),
        )

    def _begin_replacing(self, team, above_ids):
        open_ids = set(above_ids)

        def finish(asked_id, reply):
            if not open_ids:
                return
            open_ids.discard(asked_id)
            if reply is not None and reply.redirect_id != self._node.node_id:
                open_ids.clear()
                self._node.skipped.pop(asked_id, None)
                acts, self._beginning[team] = self._beginning[team], []
                for act in acts:
                    self._pass_on(act, asked_id)
            elif not open_ids:
                self._begin(team, None, provisional=True)

        for asked_id in above_ids:
            self._node.request(
                asked_id,
                self._node.probe(team),
                ASK_TIMEOUT_MS,
                functools.partial(finish, asked_id),
            )

    def _pass_on(self, act, owner_id):
        # `act` serves a request; its first argument holds the message.
        message = act.args[0]
        if isinstance(message, ratelimitmessage.PermitRequest):
            self._redirect(message, owner_id)

    def _begin(self, team, token_count, provisional=False, lead=None):
        provisional = provisional or not self._node.is_listed_first(team)
        self._node.ledger.begin(
            team,
            self._node.limit(team),
            self._node.now_ms,
            token_count,
            provisional=provisional,
            **({} if provisional else lead or {}),
        )
        if provisional:
            self._stand_ins[team] = self._node.now_ms
            self._poll_replaced(team, self._node.now_ms)
        self._begun(team)

    def _poll_replaced(self, team, begun_ms):
        """Asks the owner that this instance replaces whether it answers."""
        if self._stand_ins.get(team) != begun_ms:
            return
        owner_id = self._node.owners.of(team)[0]
        if self._node.is_listed_first(team):
            self._node.ledger.confirm(team, self._node.now_ms)
            del self._stand_ins[team]
            return
        if self._node.now_ms - begun_ms > STOP_MS + POLL_MS:
            self._node.ledger.confirm(team, self._node.now_ms)
        if owner_id != self._node.node_id:
            self._node.request(
                owner_id,
                self._node.probe(team),
                SKIP_MS,
                functools.partial(self._on_replaced_answer, team, owner_id),
            )
        provisional = self._node.ledger.is_provisional(team)
        self._node.after(
            POLL_MS if provisional else SKIP_MS,
            self._poll_replaced,
            team,
            begun_ms,
        )

    def _on_replaced_answer(self, team, owner_id, reply):
        if reply is None or reply.redirect_id == self._node.node_id:
            return
        if self._stand_ins.pop(team, None) is None:
            return
        self._node.world.send(
            self._node,
            owner_id,
            ratelimitmessage.TokenReply(
                sender_id=self._node.node_id,
                ask_id=0,
                team=team,
                token_count=self._node.ledger.hand_over(
                    team, self._node.now_ms
                ),
            ),
        )

    def _serve(self, message, transferred=False):
        team = message.team
        limit = self._node.limit(team)
        if message.spent_count:
            self._debit(message)
            return
        ask = ledger.PermitAsk(
            asker_id=message.sender_id,
            wanted_count=message.wanted_count,
            prefetch_count=message.prefetch_count,
            held_count=message.held_count,
        )
        result = self._node.ledger.ask(team, limit, ask, self._node.now_ms)
        if isinstance(result, ledger.NotOwned):
            self._redirect(message, self._node.owners.of(team)[0])
            return
        if isinstance(result, ledger.Short):
            if self._transfers and not transferred:
                self._transfer(team, result.missing_count, message)
                return
            result = self._node.ledger.deny(team, limit, self._node.now_ms, ask)
        retry_ms = getattr(result, "retry_after_ms", 0.0)
        self._node.send_reply(
            message.sender_id,
            ratelimitmessage.PermitReply(
                sender_id=self._node.node_id,
                ask_id=message.ask_id,
                team=team,
                permit_count=result.permit_count,
                retry_after_ms=retry_ms,
                ask_first_ms=self._restriction_ms(team),
            ),
        )
        self._transfer_ahead(team)

    def _debit(self, message):
        team, now_ms = message.team, self._node.now_ms
        if not self._node.ledger.debit(
            team, self._node.limit(team), message.spent_count, now_ms
        ):
            self._redirect(message, self._node.owners.of(team)[0])
            return
        self._node.send_reply(
            message.sender_id,
            ratelimitmessage.PermitReply(
                sender_id=self._node.node_id,
                ask_id=message.ask_id,
                team=team,
                ask_first_ms=self._restriction_ms(team),
            ),
        )
        self._transfer_ahead(team)

    def _restriction_ms(self, team):
        """Returns the restriction of an owned bucket; sends due notices."""
        now_ms = self._node.now_ms
        restriction_ms = self._node.ledger.restriction_ms(team, now_ms)
        if not restriction_ms:
            if self._noticed_ms.pop(team, None) is not None:
                self._notify(team, 0.0)
        elif now_ms - self._noticed_ms.get(team, -math.inf) >= NOTICE_MS:
            begins = team not in self._noticed_ms
            self._noticed_ms[team] = now_ms
            self._notify(team, restriction_ms)
            if begins:
                self._node.after(CHECK_MS, self._check, team)
        return restriction_ms

    def _check(self, team):
        if team in self._noticed_ms and self._node.ledger.owns(team):
            self._restriction_ms(team)
            if team in self._noticed_ms:
                self._node.after(CHECK_MS, self._check, team)
        else:
            self._noticed_ms.pop(team, None)

    def _notify(self, team, ask_first_ms):
        for each in self._node.neighbour_ids():
            notice = ratelimitmessage.RestrictionNotice(
                sender_id=self._node.node_id,
                team=team,
                ask_first_ms=ask_first_ms,
            )
            self._node.world.send(self._node, each, notice)

    def _transfer_ahead(self, team):
        ahead_count = self._node.ledger.transfer_count(team, self._node.now_ms)
        if self._transfers and ahead_count and not self._transferring[team]:
            self._transfer(team, ahead_count, None)

    def _transfer(self, team, wanted_count, waiting):
        self._transferring[team].append(waiting)
        if len(self._transferring[team]) > 1:
            return
        groups = list(self._others)
        self._node.world.rng.shuffle(groups)
        self._transfer_from(team, wanted_count, 0.0, groups)

    def _transfer_from(self, team, wanted_count, gained_count, groups):
        wanted_count = max(
            wanted_count,
            self._node.ledger.transfer_count(team, self._node.now_ms),
        )
        message = ratelimitmessage.TransferRequest(
            sender_id=self._node.node_id,
            sender_address=simulation.address(self._node.node_id),
            ask_id=self._node.next_id(),
            team=team,
            limit=self._node.versioned(team),
            wanted_count=wanted_count,
        )

        def finish(reply):
            count = reply.token_count if reply is not None else 0.0
            self._node.ledger.receive(
                team, self._node.limit(team), count, self._node.now_ms
            )
            missing_count = wanted_count - count
            if missing_count > 0.001 and groups[1:]:
                self._transfer_from(
                    team, missing_count, gained_count + count, groups[1:]
                )
            else:
                self._transferred(team, gained_count + count)

        self._node.request(
            self._node.world.rng.choice(self._others[groups[0]]),
            message,
            TRANSFER_TIMEOUT_MS,
            finish,
        )

    def _transferred(self, team, gained_count):
        if not gained_count:
            self._node.ledger.record_failed_transfer(team, self._node.now_ms)
        waiting, self._transferring[team] = self._transferring[team], []
        for message in waiting:
            if message is not None:
                self._serve(message, transferred=gained_count < 1.0)

    def on_transfer_request(self, message):
        """Handles a request of another domain for tokens."""

        def act(message):
            token_count = self._node.ledger.give(
                message.team,
                self._node.limit(message.team),
                message.wanted_count,
                self._node.now_ms,
            )
            self._node.world.send(
                self._node,
                message.sender_id,
                ratelimitmessage.TokenReply(
                    sender_id=self._node.node_id,
                    ask_id=message.ask_id,
                    team=message.team,
                    token_count=token_count,
                ),
            )

        def pass_on(owner_id):
            if not message.forwarded:
                self._node.world.send(
                    self._node,
                    owner_id,
                    dataclasses.replace(message, forwarded=True),
                )

        self._when_owner(
            message.team, (), functools.partial(act, message), pass_on
        )

    def on_handover_request(self, message):
        """Handles the request of an instance that becomes the owner."""
        if not ownership.ranks_above(
            message.team, message.sender_id, self._node.node_id
        ):
            return
        self._stand_ins.pop(message.team, None)
        self._node.set_joined(message.sender_id)
        token_count = 0.0
        if self._node.ledger.owns(message.team):
            token_count = max(
                OWNED_MIN_COUNT,
                self._node.ledger.hand_over(message.team, self._node.now_ms),
            )
        self._node.send_reply(
            message.sender_id,
            ratelimitmessage.TokenReply(
                sender_id=self._node.node_id,
                ask_id=message.ask_id,
                team=message.team,
                token_count=token_count,
            ),
        )
