"""Debits permits that were spent without asking to the owners of the buckets.

Debits of one team within a short time share a message. One that is not answered
is sent once more, to the next in the ranking, and the team asks first until an
owner answers.
"""

import collections.abc
import dataclasses

from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.core import ratelimitmessage
from hyssoptack.gateway import ownerskips
from hyssoptack.gateway import ratelimitcheck
from hyssoptack.gateway import ratelimitcontext
from hyssoptack.gateway import tokencollection
from hyssoptack.ratelimit import permits

COLLECT_MS = 20.0
"""Time in which debits of a team share a message (specified)."""

ANSWER_TIMEOUT_MS = 15.0
"""Time in which a debit must be answered (specified)."""

LATE_REPLY_MS = 1_000.0
"""Time for which a reply after the time-out is still taken as an answer."""

SUBSTITUTE_TIMEOUT_MS = 35.0
"""Time in which the next in the ranking must answer: it first waits up to 15 ms
for the owner."""

LOCAL_TIMEOUT_MS = 60.0
"""Time in which this instance must decide as the owner: a handover takes up to
20 ms."""

SENDING_COUNT = 2
"""Times that a debit is sent to an owner in all."""

REDIRECT_COUNT = 2
"""Times that one debit follows a former owner's reference to its successor."""


AskLocally = collections.abc.Callable[
    [
        ratelimitmessage.PermitRequest,
        collections.abc.Callable[[ratelimitmessage.PermitReply], None],
    ],
    None,
]
"""Asks this instance as the owner; it replies at once or later."""


@dataclasses.dataclass(kw_only=True)
class _Debit:
    """A debit that was sent.

    Attributes:
        request: The message.
        target: The instance to which it was sent.
        sent_ms: Time of the message.
        attempt: Number of the attempt, from 1.
        redirect_count: References to successors that were followed.
        timeout: Ends the attempt.
        is_late: Whether the attempt has ended without an answer.
    """

    request: ratelimitmessage.PermitRequest
    target: member.Peer
    sent_ms: float
    attempt: int
    redirect_count: int
    timeout: tokencollection.Timeout | None = None
    is_late: bool = False


class SpentPermits:
    """Reports the permits that an instance has spent without asking."""

    def __init__(
        self,
        context: ratelimitcontext.RateLimitContext,
        cache: permits.PermitCache,
        skips: ownerskips.OwnerSkips,
        ask_locally: AskLocally,
    ):
        self._context = context
        self._cache = cache
        self._skips = skips
        self._ask_locally = ask_locally
        self._collecting: set[str] = set()
        self._debits: dict[int, _Debit] = {}

    def try_spend(self, team_name: str, now_ms: float) -> bool:
        """Permits a request without asking, and debits it soon.

        The owner itself decides without messages, so it needs no debits.

        Returns:
            Whether the request is permitted.
        """
        context = self._context
        if not context.ranking.has_list or context.ledger.owns(team_name):
            return False
        if not self._cache.spend_ahead(team_name, now_ms):
            return False
        context.report.count("spent_ahead")
        if team_name not in self._collecting:
            self._collecting.add(team_name)
            tokencollection.Timeout(COLLECT_MS, lambda: self._flush(team_name))
        return True

    def _flush(self, team_name: str) -> None:
        self._collecting.discard(team_name)
        spent_count = self._cache.take_debit(team_name)
        if spent_count:
            self._send_next(team_name, spent_count, 1)

    def _send_next(
        self, team_name: str, spent_count: int, attempt: int
    ) -> None:
        chosen_id, skipped_ids = self._skips.choose(team_name, clock.now_ms())
        target = self._context.ranking.peer(chosen_id)
        self._send(team_name, spent_count, target, skipped_ids, attempt, 0)

    def _send(
        self,
        team_name: str,
        spent_count: int,
        target: member.Peer,
        skipped_ids: tuple[str, ...],
        attempt: int,
        redirect_count: int,
    ) -> None:
        context, now_ms = self._context, clock.now_ms()
        stated = context.limits.stated(team_name, now_ms)
        if isinstance(stated, ratelimitcheck.UnknownTeam):
            # The team was removed meanwhile.
            return
        request = ratelimitmessage.PermitRequest(
            sender_id=context.own.instance_id,
            sender_address=context.own.address,
            ask_id=next(context.ask_ids),
            team=team_name,
            limit=stated,
            wanted_count=0,
            skipped_ids=skipped_ids,
            spent_count=spent_count,
        )
        debit = self._debits[request.ask_id] = _Debit(
            request=request,
            target=target,
            sent_ms=now_ms,
            attempt=attempt,
            redirect_count=redirect_count,
        )
        is_local = target.instance_id == context.own.instance_id
        timeout_ms = SUBSTITUTE_TIMEOUT_MS if skipped_ids else ANSWER_TIMEOUT_MS
        debit.timeout = tokencollection.Timeout(
            LOCAL_TIMEOUT_MS if is_local else timeout_ms,
            lambda: self._fail(debit, "no_answer"),
        )
        if is_local:
            self._ask_locally(request, self.on_reply)
        else:
            context.report.count("debits_sent")
            context.send(target.address, request)

    def _fail(self, debit: _Debit, cause: str) -> None:
        """Lets the team ask first, and sends the debit to the next instance."""
        if debit.is_late:
            return
        debit.is_late = True
        debit.timeout.cancel()
        team_name = debit.request.team
        self._cache.record_unanswered(team_name)
        self._context.report.count("debits_unanswered")
        self._skips.skip(
            team_name, debit.target.instance_id, cause, clock.now_ms()
        )
        if debit.attempt < SENDING_COUNT:
            self._send_next(
                team_name, debit.request.spent_count, debit.attempt + 1
            )

    def on_reply(self, reply: ratelimitmessage.PermitReply) -> bool:
        """Handles a reply; returns whether it was one to a debit."""
        debit = self._debits.get(reply.ask_id)
        if debit is None or debit.request.team != reply.team:
            return False
        del self._debits[reply.ask_id]
        debit.timeout.cancel()
        now_ms = clock.now_ms()
        if debit.is_late and reply.sender_id == debit.target.instance_id:
            self._skips.end(reply.sender_id)
        if not reply.redirect_id:
            self._cache.record_answer(reply.team, reply.ask_first_ms, now_ms)
        elif not debit.is_late:
            self._follow(debit, reply)
        return True

    def _follow(
        self, debit: _Debit, reply: ratelimitmessage.PermitReply
    ) -> None:
        """Sends a debit to the instance that owns the bucket now."""
        if debit.redirect_count >= REDIRECT_COUNT:
            self._cache.record_unanswered(reply.team)
            return
        successor = member.Peer(
            instance_id=reply.redirect_id,
            failure_domain=self._context.own.failure_domain,
            address=reply.redirect_address,
        )
        self._send(
            reply.team,
            debit.request.spent_count,
            successor,
            (),
            debit.attempt,
            debit.redirect_count + 1,
        )

    def on_undelivered(self, ask_id: int) -> None:
        """Handles a debit that could not be delivered."""
        debit = self._debits.get(ask_id)
        if debit is not None:
            self._fail(debit, "undelivered")

    def on_link_lost(self, address: str) -> None:
        """Handles the loss of the connection to an instance."""
        for debit in tuple(self._debits.values()):
            if debit.target.address == address:
                self._fail(debit, "link_lost")

    def drop_outdated(self, now_ms: float) -> None:
        """Removes debits whose replies are not expected any more."""
        for ask_id, debit in tuple(self._debits.items()):
            if debit.is_late and now_ms - debit.sent_ms > LATE_REPLY_MS:
                del self._debits[ask_id]
