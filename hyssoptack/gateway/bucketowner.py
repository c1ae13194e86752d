"""The owner's side: answers requests for permits.

A request that finds too few tokens waits for a transfer from the other failure
domains. A request that names an owner as unreachable waits until this instance
has asked that owner itself.
"""

import collections.abc
import dataclasses
import math

from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.core import ratelimitmessage
from hyssoptack.core import teams
from hyssoptack.gateway import ownerchanges
from hyssoptack.gateway import ratelimitcheck
from hyssoptack.gateway import ratelimitcontext
from hyssoptack.gateway import restrictions
from hyssoptack.gateway import tokencollection
from hyssoptack.gateway import tokentransfers
from hyssoptack.ratelimit import ledger

PROBE_TIMEOUT_MS = 15.0
"""Time in which an owner that an asker could not reach must answer this
instance (specified)."""

TRANSFER_COUNT = 3
"""Most transfers for which one request waits."""

UNUSED_PERMITS_ID = 0
"""Ask id of a `TokenReply` that nobody asked for: it gives back the permits
that an instance has not used. Ids of requests begin at a random number."""

MAX_UNUSED_COUNT = 100
"""Largest plausible number of permits given back at once: an instance holds up
to 8 of a team ahead of demand, and those of refused attempts."""

OnReply = collections.abc.Callable[[ratelimitmessage.PermitReply], None]


@dataclasses.dataclass(kw_only=True)
class _Ask:
    """A request for permits that is being decided.

    Attributes:
        request: The request.
        limit: The limit that applies.
        on_reply: Receives the reply.
        transfer_count: Transfers that it has waited for.
    """

    request: ratelimitmessage.PermitRequest
    limit: teams.RateLimit
    on_reply: OnReply
    transfer_count: int = 0

    @property
    def permit_ask(self) -> ledger.PermitAsk:
        """The request as the ledger takes it."""
        return ledger.PermitAsk(
            asker_id=self.request.sender_id,
            wanted_count=self.request.wanted_count,
            prefetch_count=self.request.prefetch_count,
            held_count=self.request.held_count,
        )


@dataclasses.dataclass(kw_only=True)
class _Probe:
    """Requests to instances that the asker of a request could not reach.

    Attributes:
        ask: The request.
        owner: The one of them that ranks first.
        timeout: Ends the probe.
        addresses: Address of each that has not answered, by ask id.
    """

    ask: _Ask
    owner: member.Peer
    timeout: tokencollection.Timeout | None = None
    addresses: dict[int, str] = dataclasses.field(default_factory=dict)


class BucketOwner:
    """Answers the requests that reach one instance."""

    def __init__(self, context: ratelimitcontext.RateLimitContext):
        self._context = context
        self._collector = tokencollection.TokenCollector(context.send)
        self.changes = ownerchanges.OwnerChanges(context, self._collector)
        self.transfers = tokentransfers.TokenTransfers(
            context, self._collector, self.changes
        )
        self.restrictions = restrictions.Restrictions(context)
        self._probes: dict[int, _Probe] = {}
        self._late_probes: dict[int, _Probe] = {}

    # Requests for permits.

    def on_permit_request(
        self, request: ratelimitmessage.PermitRequest, on_reply: OnReply
    ) -> None:
        """Decides on a request for permits.

        Args:
            request: The request.
            on_reply: Receives the reply, at once or later.
        """
        context, now_ms = self._context, clock.now_ms()
        newest = context.limits.learn(request.team, request.limit, now_ms)
        if isinstance(newest, ratelimitcheck.UnknownTeam):
            context.report.log_ignored(
                request.team, request.sender_id, "unknown_team", now_ms
            )
            return
        if not (
            request.wanted_count
            or request.prefetch_count
            or request.spent_count
        ):
            # A check whether this instance runs and may own buckets.
            if context.ranking.has_list:
                on_reply(self._reply(request))
            return
        if newest.limit is None:
            on_reply(self._reply(request, request.wanted_count))
            return
        if not context.ranking.has_list:
            if not request.spent_count:
                on_reply(self._reply(request))
            # A debit is left unanswered, so that it is sent to another one.
            return
        ask = _Ask(request=request, limit=newest.limit, on_reply=on_reply)
        self._place(ask, now_ms)

    def _reply(
        self,
        request: ratelimitmessage.PermitRequest,
        permit_count: int = 0,
        retry_after_ms: float = 0.0,
        ask_first_ms: float = 0.0,
    ) -> ratelimitmessage.PermitReply:
        return ratelimitmessage.PermitReply(
            sender_id=self._context.own.instance_id,
            ask_id=request.ask_id,
            team=request.team,
            permit_count=permit_count,
            retry_after_ms=retry_after_ms,
            ask_first_ms=ask_first_ms,
        )

    def _place(self, ask: _Ask, now_ms: float) -> None:
        """Decides on a request here, or refers it to the owner."""
        request = ask.request
        place = self.changes.locate(
            request.team, ask.limit, request.skipped_ids, now_ms
        )
        match place:
            case ownerchanges.Here():
                self.changes.record_use(request.team, now_ms)
                self._decide(ask, now_ms)
            case ownerchanges.Elsewhere(peer=peer):
                redirect = dataclasses.replace(
                    self._reply(request),
                    redirect_id=peer.instance_id,
                    redirect_address=peer.address,
                )
                ask.on_reply(redirect)
            case ownerchanges.Starting():
                self.changes.await_start(
                    request.team, lambda: self._place(ask, clock.now_ms())
                )
            case ownerchanges.Contested(peers=peers):
                self._probe(ask, peers)

    def _decide(self, ask: _Ask, now_ms: float) -> None:
        context, request = self._context, ask.request
        if request.spent_count:
            self._debit(ask, now_ms)
            return
        decision = context.ledger.ask(
            request.team, ask.limit, ask.permit_ask, now_ms
        )
        match decision:
            case ledger.Granted(permit_count=permit_count):
                ask_first_ms = self.restrictions.current_ms(
                    request.team, now_ms
                )
                ask.on_reply(
                    self._reply(
                        request, permit_count, ask_first_ms=ask_first_ms
                    )
                )
                self.transfers.request_ahead(request.team, ask.limit, now_ms)
            case ledger.Denied() | ledger.NotOwned():
                self._deny(ask, decision)
            case ledger.Short(missing_count=missing_count):
                self._await_transfer(ask, missing_count, now_ms)

    def _debit(self, ask: _Ask, now_ms: float) -> None:
        """Subtracts permits that the sender has spent without asking.

        Such a request wants no permits.
        """
        request = ask.request
        self._context.ledger.debit(
            request.team, ask.limit, request.spent_count, now_ms
        )
        ask_first_ms = self.restrictions.current_ms(request.team, now_ms)
        ask.on_reply(self._reply(request, ask_first_ms=ask_first_ms))
        self.transfers.request_ahead(request.team, ask.limit, now_ms)

    def _deny(self, ask: _Ask, denied: ledger.Denied | ledger.NotOwned) -> None:
        match denied:
            case ledger.Denied():
                team_name = ask.request.team
                reply = dataclasses.replace(
                    self._reply(
                        ask.request,
                        denied.permit_count,
                        denied.retry_after_ms,
                        self.restrictions.current_ms(team_name, clock.now_ms()),
                    ),
                    in_doubt=self._context.ledger.is_provisional(team_name),
                )
            case ledger.NotOwned():
                reply = self._reply(ask.request)
        ask.on_reply(reply)

    # Requests to owners that others could not reach.

    def _probe(self, ask: _Ask, peers: tuple[member.Peer, ...]) -> None:
        """Asks the instances that rank above in the asker's place."""
        request = ask.request
        if not request.wanted_count and not request.spent_count:
            ask.on_reply(self._reply(request))
            return
        probe = _Probe(ask=ask, owner=peers[0])
        probe.timeout = tokencollection.Timeout(
            PROBE_TIMEOUT_MS, lambda: self._on_unanswered(probe)
        )
        for peer in peers:
            ask_id = next(self._context.ask_ids)
            probe.addresses[ask_id] = peer.address
            self._probes[ask_id] = probe
            forwarded = dataclasses.replace(
                request,
                sender_id=self._context.own.instance_id,
                sender_address=self._context.own.address,
                ask_id=ask_id,
                prefetch_count=0,
                held_count=0,
                skipped_ids=(),
            )
            self._context.send(peer.address, forwarded)

    def on_reply(self, reply: ratelimitmessage.PermitReply) -> bool:
        """Handles the reply to a probe; returns whether it was one."""
        if self.changes.substitutions.on_reply(reply, clock.now_ms()):
            return True
        probe = self._probes.get(reply.ask_id)
        if probe is None:
            return self._on_late_reply(reply)
        request = probe.ask.request
        if reply.team != request.team:
            return True
        own_id = self._context.own.instance_id
        decided = (
            reply.permit_count
            or reply.retry_after_ms
            or reply.redirect_id
            or not request.wanted_count
        )
        if not decided or reply.redirect_id == own_id:
            # It has restarted, or considers this instance the owner.
            self._on_no_answer(reply.ask_id)
            return True
        self._end_probe(probe)
        probe.ask.on_reply(dataclasses.replace(reply, ask_id=request.ask_id))
        return True

    def _on_late_reply(self, reply: ratelimitmessage.PermitReply) -> bool:
        """Keeps the permits of a reply after the time-out as tokens.

        The owner has removed them from its bucket. Returns whether the reply
        was one to a probe.
        """
        probe = self._late_probes.pop(reply.ask_id, None)
        if probe is None:
            return False
        ask, now_ms = probe.ask, clock.now_ms()
        if reply.team == ask.request.team and (
            reply.permit_count <= ask.request.wanted_count
        ):
            self._context.ledger.receive(
                reply.team, ask.limit, float(reply.permit_count), now_ms
            )
        return True

    def _end_probe(self, probe: _Probe) -> None:
        probe.timeout.cancel()
        for ask_id in probe.addresses:
            del self._probes[ask_id]
            self._late_probes[ask_id] = probe

    def _on_no_answer(self, ask_id: int) -> None:
        """Records that one of several instances gives no answer."""
        probe = self._probes[ask_id]
        if len(probe.addresses) == 1:
            self._on_unanswered(probe)
        else:
            del self._probes[ask_id]
            del probe.addresses[ask_id]

    def _on_unanswered(self, probe: _Probe) -> None:
        """Takes the place of an owner that does not answer."""
        self._end_probe(probe)
        now_ms = clock.now_ms()
        self.changes.substitutions.begin(
            probe.ask.request.team, probe.ask.limit, probe.owner, now_ms
        )
        self._place(probe.ask, now_ms)

    # Tokens of other domains.

    def _await_transfer(
        self, ask: _Ask, missing_count: float, now_ms: float
    ) -> None:
        """Decides on a request once other domains have sent tokens."""
        team_name = ask.request.team
        if ask.transfer_count >= TRANSFER_COUNT:
            self._deny_short(ask, now_ms)
            return
        ask.transfer_count += 1
        # The bucket may be handed over meanwhile.
        self.transfers.request(
            team_name,
            ask.limit,
            missing_count,
            lambda: self._place(ask, clock.now_ms()),
        )

    def _deny_short(self, ask: _Ask, now_ms: float) -> None:
        denied = self._context.ledger.deny(
            ask.request.team, ask.limit, now_ms, ask.permit_ask
        )
        self._deny(ask, denied)

    # Further messages and events.

    def on_token_reply(self, reply: ratelimitmessage.TokenReply) -> None:
        """Handles tokens from another instance, or permits given back."""
        if reply.ask_id != UNUSED_PERMITS_ID:
            self._collector.on_reply(reply)
        elif self._context.ranking.peer(reply.sender_id) is not None:
            self.take_back(reply.team, math.floor(reply.token_count))

    def take_back(self, team_name: str, permit_count: int) -> None:
        """Returns unused permits of this domain to the bucket."""
        now_ms = clock.now_ms()
        newest = self._context.limits.newest(team_name, now_ms)
        if (
            not isinstance(newest, ratelimitcheck.UnknownTeam)
            and newest.limit is not None
            and permit_count <= MAX_UNUSED_COUNT
        ):
            self._context.ledger.take_back(
                team_name, newest.limit, permit_count, now_ms
            )

    def drop_idle(self, now_ms: float) -> None:
        """Removes outdated state."""
        self.changes.drop_idle(now_ms)
        self._late_probes.clear()
        self.transfers.drop_idle(now_ms)

    def on_undelivered(self, undelivered: ratelimitmessage.Message) -> None:
        """Handles a request of this instance that could not be delivered."""
        own_id = self._context.own.instance_id
        match undelivered:
            case ratelimitmessage.PermitRequest(ask_id=ask_id):
                if ask_id in self._probes:
                    self._on_no_answer(ask_id)
            case (
                ratelimitmessage.TransferRequest(
                    sender_id=sender_id, ask_id=ask_id
                )
                | ratelimitmessage.HandoverRequest(
                    sender_id=sender_id, ask_id=ask_id
                )
            ) if sender_id == own_id:
                self._collector.on_undelivered(ask_id)

    def on_link_lost(self, address: str) -> None:
        """Handles the loss of the connection to an instance."""
        self._collector.on_link_lost(address)
        for ask_id, probe in tuple(self._probes.items()):
            if ask_id in self._probes and (
                probe.addresses.get(ask_id) == address
            ):
                self._on_no_answer(ask_id)
        self.changes.substitutions.on_link_lost(address, clock.now_ms())
