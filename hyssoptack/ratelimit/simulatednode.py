"""A simulated instance: asks for permits, owns buckets, transfers tokens."""

import collections
import dataclasses
import functools
import itertools

from hyssoptack.core import ratelimitmessage
from hyssoptack.ratelimit import ledger
from hyssoptack.ratelimit import ownership
from hyssoptack.ratelimit import permits
from hyssoptack.ratelimit import simulation

ASK_TIMEOUT_MS = 15.0
SECOND_ASK_TIMEOUT_MS = 35.0
HANDOVER_TIMEOUT_MS = 20.0
TRANSFER_TIMEOUT_MS = 10.0
SKIP_MS = 1_000.0
STOP_MS = 300.0
POLL_MS = 100.0


@dataclasses.dataclass
class _Ask:
    team: str
    target_id: str
    wanted_count: int
    asked_ms: float
    skipped_ids: tuple = ()


class Node:
    """One instance.

    Attributes:
        node_id: Its id.
        site: Its failure domain.
        ledger: The buckets that it owns.
        cache: The permits that it holds.
    """

    def __init__(
        self, world, node_id, site, members, domain_count=3, transfers=True
    ):
        """Creates an instance.

        Args:
            world: The simulated world.
            node_id: The instance's id.
            site: Its failure domain.
            members: Ids of the instances of each group, by group. A group
                shares the owners of buckets: normally a failure domain.
            domain_count: Number of groups.
            transfers: Whether owners request tokens of other groups.
        """
        self._world = world
        self.node_id = node_id
        self.site = site
        self.ledger = ledger.Ledger(simulation.BOUNDS, domain_count, world.rng)
        self.cache = permits.PermitCache(world.rng)
        self._group = site if domain_count > 1 else 0
        self._others = members
        self._transfers = transfers and domain_count > 1
        self._owners = ownership.OwnerCandidates()
        self._ask_ids = itertools.count(1)
        self._asks: dict[int, _Ask] = {}
        self._waiters = collections.defaultdict(list)
        self._skipped: dict[str, float] = {}
        self._replies: dict[int, object] = {}
        self._transferring = collections.defaultdict(list)
        self._stand_ins: dict[str, tuple[str, float]] = {}
        self._polled_ms: dict[str, float] = {}
        self._beginning = collections.defaultdict(list)
        self._redirects: dict[str, str] = {}
        self._frozen_until_ms = 0.0
        self.set_members(members[self._group])

    def set_members(self, instance_ids):
        """Replaces the instances of the own group."""
        self._owners.set_instances({*instance_ids, self.node_id})

    def freeze(self, length_ms):
        """Stops the process for a time."""
        self._frozen_until_ms = self._now_ms + length_ms
        self._world.at(self._frozen_until_ms, self._wake, length_ms)

    def _wake(self, length_ms):
        if length_ms > STOP_MS:
            self.ledger.empty(self._now_ms)
            self.cache.clear()

    def run(self, function, *arguments):
        """Calls a function of this instance once the process runs."""
        if self._now_ms < self._frozen_until_ms:
            self._world.at(
                self._frozen_until_ms, self.run, function, *arguments
            )
        elif self._world.nodes.get(self.node_id) is self:
            function(*arguments)

    def _after(self, delay_ms, function, *arguments):
        self._world.at(self._now_ms + delay_ms, self.run, function, *arguments)

    @property
    def _now_ms(self):
        return self._world.now_ms

    def _limit(self, team):
        return self._world.limits[team]

    def _versioned(self, team):
        return ratelimitmessage.VersionedLimit(
            version=1, limit=self._limit(team)
        )

    # The asker's side.

    def acquire(self, team, done):
        """Decides on a request; `done` gets the outcome and retry delay."""
        if self.cache.try_spend(team, self._now_ms):
            done("permitted", 0.0)
            self._ask_ahead(team)
            return
        retry_ms = self.cache.denied_for_ms(team, self._now_ms)
        if retry_ms:
            done("over_limit", retry_ms)
            return
        self._waiters[team].append(done)
        if len(self._waiters[team]) == 1:
            self._ask(team)

    def _ask_ahead(self, team):
        if self._waiters[team] or self._target(team, ()) == self.node_id:
            return
        if self.cache.refill_count(team, self._now_ms):
            self._ask(team)

    def _target(self, team, skipped_ids):
        for each in self._owners.of(team):
            skipped = self._skipped.get(each, 0.0) > self._now_ms
            if each not in skipped_ids and not skipped:
                return each
        return self.node_id

    def _ask(self, team, skipped_ids=(), target_id=None):
        now_ms = self._now_ms
        target_id = target_id or self._target(team, skipped_ids)
        wanted_count = len(self._waiters[team])
        ahead_count = (
            0
            if target_id == self.node_id
            else self.cache.refill_count(team, now_ms)
        )
        ranked = self._owners.of(team)
        before = (
            ranked[: ranked.index(target_id)] if target_id in ranked else ()
        )
        message = ratelimitmessage.PermitRequest(
            sender_id=self.node_id,
            sender_address=_address(self.node_id),
            ask_id=next(self._ask_ids),
            team=team,
            limit=self._versioned(team),
            wanted_count=wanted_count,
            prefetch_count=ahead_count,
            held_count=self.cache.held_count(team, now_ms),
            skipped_ids=tuple(before),
        )
        self.cache.record_ask(team, wanted_count + ahead_count, now_ms)
        self._asks[message.ask_id] = _Ask(
            team=team,
            target_id=target_id,
            wanted_count=wanted_count,
            asked_ms=now_ms,
            skipped_ids=skipped_ids,
        )
        if target_id == self.node_id:
            self._on_permit_request(message)
            return
        if not self._world.send(self, target_id, message):
            self._on_ask_timeout(message.ask_id)
            return
        self._after(
            SECOND_ASK_TIMEOUT_MS if before else ASK_TIMEOUT_MS,
            self._on_ask_timeout,
            message.ask_id,
        )

    def _on_ask_timeout(self, ask_id):
        ask = self._asks.get(ask_id)
        if ask is None or ask.target_id is None:
            return
        self._skipped[ask.target_id] = self._now_ms + SKIP_MS
        skipped_ids = (*ask.skipped_ids, ask.target_id)
        # A late reply still brings permits.
        ask.target_id = None
        if not self._waiters[ask.team]:
            return
        if len(skipped_ids) < 2:
            self._ask(ask.team, skipped_ids)
        else:
            self._finish(ask.team, "undecided", 200.0)

    def _finish(self, team, outcome, retry_ms):
        waiters, self._waiters[team] = self._waiters[team], []
        for done in waiters:
            done(outcome, retry_ms)

    def _on_permit_reply(self, message):
        if message.ask_id in self._replies:
            self._replies.pop(message.ask_id)(message)
            return
        ask = self._asks.pop(message.ask_id, None)
        if ask is None:
            return
        team = ask.team
        late = ask.target_id is None
        if message.redirect_id:
            self.cache.add(team, 0, ask.asked_ms, self._now_ms)
            if not late and self._waiters[team]:
                self._ask(team, ask.skipped_ids, message.redirect_id)
            return
        self.cache.add(team, message.permit_count, ask.asked_ms, self._now_ms)
        waiters = self._waiters[team]
        while waiters and self.cache.try_spend(team, self._now_ms, waited=True):
            waiters.pop(0)("permitted", 0.0)
        if late or not waiters:
            return
        if message.retry_after_ms:
            self.cache.record_denial(team, message.retry_after_ms, self._now_ms)
            self._finish(team, "over_limit", message.retry_after_ms)
        else:
            self._ask(team)

    # The owner's side.

    def on_message(self, message):
        """Handles a message."""
        match message:
            case ratelimitmessage.PermitRequest():
                self._on_permit_request(message)
            case ratelimitmessage.PermitReply():
                self._on_permit_reply(message)
            case ratelimitmessage.TransferRequest():
                self._on_transfer_request(message)
            case ratelimitmessage.HandoverRequest():
                self._on_handover_request(message)
            case ratelimitmessage.TokenReply():
                found = self._replies.pop(message.ask_id, None)
                if found is not None:
                    found(message)
                elif message.ask_id == 0:
                    self.ledger.receive(
                        message.team,
                        self._limit(message.team),
                        message.token_count,
                        self._now_ms,
                    )

    def _send_reply(self, target_id, message):
        if target_id == self.node_id:
            self.on_message(message)
        else:
            self._world.send(self, target_id, message)

    def _on_permit_request(self, message):
        self._when_owner(
            message.team,
            message.skipped_ids,
            functools.partial(self._serve, message),
            functools.partial(self._redirect, message),
        )

    def _redirect(self, message, owner_id):
        self._send_reply(
            message.sender_id,
            ratelimitmessage.PermitReply(
                sender_id=self.node_id,
                ask_id=message.ask_id,
                team=message.team,
                redirect_id=owner_id,
                redirect_address=_address(owner_id),
            ),
        )

    def _when_owner(self, team, skipped_ids, act, redirect):
        """Calls `act` once this instance owns the bucket, else `redirect`."""
        if self.ledger.owns(team):
            self._poll_replaced(team)
            if self.ledger.owns(team):
                act()
                return
        ranked = self._owners.of(team)
        if self._beginning[team]:
            self._beginning[team].append(act)
        elif ranked[0] == self.node_id:
            self._beginning[team].append(act)
            self._begin_joined(team, ranked[1:2])
        elif (
            ranked[0] in skipped_ids
            or not skipped_ids
            and self._skipped.get(ranked[0], 0.0) > self._now_ms
        ):
            self._beginning[team].append(act)
            self._begin_replacing(team, ranked[0])
        else:
            redirect(ranked[0])

    def _begun(self, team):
        acts, self._beginning[team] = self._beginning[team], []
        for act in acts:
            act()

    def _begin_joined(self, team, next_ids):
        def finish(token_count):
            self.ledger.begin(
                team, self._limit(team), self._now_ms, token_count
            )
            self._begun(team)

        if not next_ids:
            finish(None)
            return
        message = ratelimitmessage.HandoverRequest(
            sender_id=self.node_id,
            sender_address=_address(self.node_id),
            ask_id=next(self._ask_ids),
            team=team,
        )
        self._request(
            next_ids[0],
            message,
            HANDOVER_TIMEOUT_MS,
            lambda reply: finish(reply and reply.token_count),
        )

    def _begin_replacing(self, team, owner_id):
        def finish(reply):
            if reply is not None:
                self._skipped.pop(owner_id, None)
                acts, self._beginning[team] = self._beginning[team], []
                self._redirects[team] = owner_id
                for act in acts:
                    self._pass_on(act, owner_id)
                return
            self.ledger.begin(
                team, self._limit(team), self._now_ms, None, provisional=True
            )
            self._stand_ins[team] = (owner_id, self._now_ms)
            self._begun(team)

        self._request(owner_id, self._probe(team), ASK_TIMEOUT_MS, finish)

    def _pass_on(self, act, owner_id):
        # `act` serves a request; its first argument holds the message.
        message = act.args[0]
        if isinstance(message, ratelimitmessage.PermitRequest):
            self._redirect(message, owner_id)

    def _probe(self, team):
        return ratelimitmessage.PermitRequest(
            sender_id=self.node_id,
            sender_address=_address(self.node_id),
            ask_id=next(self._ask_ids),
            team=team,
            limit=self._versioned(team),
            wanted_count=0,
        )

    def _poll_replaced(self, team):
        """Asks the owner that this instance replaces whether it answers."""
        if team not in self._stand_ins:
            return
        owner_id, begun_ms = self._stand_ins[team]
        if self._owners.of(team)[0] == self.node_id:
            self.ledger.confirm(team, self._now_ms)
            del self._stand_ins[team]
            return
        provisional = self.ledger.is_provisional(team)
        if provisional and self._now_ms - begun_ms > STOP_MS + POLL_MS:
            self.ledger.confirm(team, self._now_ms)
        pause_ms = POLL_MS if provisional else SKIP_MS
        if self._now_ms - self._polled_ms.get(team, -SKIP_MS) < pause_ms:
            return
        self._polled_ms[team] = self._now_ms

        def finish(reply):
            if reply is None or team not in self._stand_ins:
                return
            del self._stand_ins[team]
            token_count = self.ledger.hand_over(team, self._now_ms)
            self._world.send(
                self,
                owner_id,
                ratelimitmessage.TokenReply(
                    sender_id=self.node_id,
                    ask_id=0,
                    team=team,
                    token_count=token_count,
                ),
            )

        self._request(owner_id, self._probe(team), SKIP_MS, finish)

    def _request(self, target_id, message, timeout_ms, finish):
        """Sends a message; `finish` gets the reply, or None without one."""
        self._replies[message.ask_id] = finish
        if not self._world.send(self, target_id, message):
            timeout_ms = 0.0

        def expire():
            if self._replies.pop(message.ask_id, None) is not None:
                finish(None)

        self._after(timeout_ms, expire)

    def _serve(self, message, transferred=False):
        team = message.team
        limit = self._limit(team)
        ask = ledger.PermitAsk(
            asker_id=message.sender_id,
            wanted_count=message.wanted_count,
            prefetch_count=message.prefetch_count,
            held_count=message.held_count,
        )
        result = self.ledger.ask(team, limit, ask, self._now_ms)
        if isinstance(result, ledger.NotOwned):
            self._redirect(message, self._owners.of(team)[0])
            return
        if isinstance(result, ledger.Short):
            if self._transfers and not transferred:
                self._transfer(team, result.missing_count, message)
                return
            result = self.ledger.deny(team, limit, self._now_ms, ask)
        retry_ms = getattr(result, "retry_after_ms", 0.0)
        self._send_reply(
            message.sender_id,
            ratelimitmessage.PermitReply(
                sender_id=self.node_id,
                ask_id=message.ask_id,
                team=team,
                permit_count=result.permit_count,
                retry_after_ms=retry_ms,
            ),
        )
        ahead_count = self.ledger.transfer_count(team, self._now_ms)
        if self._transfers and ahead_count and not self._transferring[team]:
            self._transfer(team, ahead_count, None)

    def _transfer(self, team, wanted_count, waiting):
        self._transferring[team].append(waiting)
        if len(self._transferring[team]) > 1:
            return
        groups = [each for each in self._others if each != self._group]
        self._world.rng.shuffle(groups)
        self._transfer_from(team, wanted_count, 0.0, groups)

    def _transfer_from(self, team, wanted_count, gained_count, groups):
        wanted_count = max(
            wanted_count, self.ledger.transfer_count(team, self._now_ms)
        )
        message = ratelimitmessage.TransferRequest(
            sender_id=self.node_id,
            sender_address=_address(self.node_id),
            ask_id=next(self._ask_ids),
            team=team,
            limit=self._versioned(team),
            wanted_count=wanted_count,
        )

        def finish(reply):
            count = reply.token_count if reply is not None else 0.0
            self.ledger.receive(team, self._limit(team), count, self._now_ms)
            missing_count = wanted_count - count
            if missing_count > 0.001 and groups[1:]:
                self._transfer_from(
                    team, missing_count, gained_count + count, groups[1:]
                )
            else:
                self._transferred(team, gained_count + count)

        self._request(
            self._world.rng.choice(self._others[groups[0]]),
            message,
            TRANSFER_TIMEOUT_MS,
            finish,
        )

    def _transferred(self, team, gained_count):
        if not gained_count:
            self.ledger.record_failed_transfer(team, self._now_ms)
        waiting, self._transferring[team] = self._transferring[team], []
        for message in waiting:
            if message is not None:
                self._serve(message, transferred=True)

    def _on_transfer_request(self, message):
        def act(message):
            token_count = self.ledger.give(
                message.team,
                self._limit(message.team),
                message.wanted_count,
                self._now_ms,
            )
            self._world.send(
                self,
                message.sender_id,
                ratelimitmessage.TokenReply(
                    sender_id=self.node_id,
                    ask_id=message.ask_id,
                    team=message.team,
                    token_count=token_count,
                ),
            )

        def pass_on(owner_id):
            if not message.forwarded:
                self._world.send(
                    self,
                    owner_id,
                    dataclasses.replace(message, forwarded=True),
                )

        self._when_owner(
            message.team, (), functools.partial(act, message), pass_on
        )

    def _on_handover_request(self, message):
        if not ownership.ranks_above(
            message.team, message.sender_id, self.node_id
        ):
            return
        self._stand_ins.pop(message.team, None)
        self._send_reply(
            message.sender_id,
            ratelimitmessage.TokenReply(
                sender_id=self.node_id,
                ask_id=message.ask_id,
                team=message.team,
                token_count=self.ledger.hand_over(message.team, self._now_ms),
            ),
        )


def _address(node_id):
    return f"10.20.{len(node_id)}.17:{30_000 + len(node_id)}"
