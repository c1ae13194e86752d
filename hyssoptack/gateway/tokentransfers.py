"""Moves tokens of teams between the owners in the failure domains.

The giving owner removes the tokens from its bucket first, so that a lost
message loses tokens but creates none.
"""

import collections.abc
import dataclasses
import math
import random

from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.core import ratelimitmessage
from hyssoptack.core import teams
from hyssoptack.gateway import ownerchanges
from hyssoptack.gateway import ratelimitcheck
from hyssoptack.gateway import ratelimitcontext
from hyssoptack.gateway import tokencollection

TRANSFER_TIMEOUT_MS = 8.0
"""Time in which other domains must answer: a round trip takes 2 ms, and askers
wait for 15 ms."""

LATE_MS = 500.0
"""Time after that in which tokens are still added to the bucket: opening a
connection between domains takes several milliseconds."""

AHEAD_PAUSE_MS = 250.0
"""Time after a transfer in which tokens are requested only for requests that
wait. Where all domains are short of tokens, their owners would otherwise ask
each other after each permit."""

TOKEN_TOLERANCE = 1e-6
"""Excess of the tokens of a reply over those requested that is a rounding
error."""

OnEnded = collections.abc.Callable[[], None]


class TokenTransfers:
    """Requests tokens of other domains, and gives tokens to them."""

    def __init__(
        self,
        context: ratelimitcontext.RateLimitContext,
        collector: tokencollection.TokenCollector,
        changes: ownerchanges.OwnerChanges,
    ):
        self._context = context
        self._collector = collector
        self._changes = changes
        self._waiting: dict[str, list[OnEnded]] = {}
        self._transferred_ms: dict[str, float] = {}
        self._random = random.Random()

    def request(
        self,
        team_name: str,
        limit: teams.RateLimit,
        missing_count: float,
        on_ended: OnEnded,
    ) -> None:
        """Requests tokens for a request for permits that waits.

        Args:
            team_name: Name of the team.
            limit: Its limit.
            missing_count: Tokens that the request lacks.
            on_ended: Called when tokens have arrived or are not awaited any
                more.
        """
        waiting = self._waiting.get(team_name)
        if waiting is not None:
            waiting.append(on_ended)
            return
        ahead_count = self._context.ledger.transfer_count(
            team_name, clock.now_ms()
        )
        self._transfer(
            team_name, limit, max(missing_count, ahead_count), [on_ended]
        )

    def request_ahead(
        self, team_name: str, limit: teams.RateLimit, now_ms: float
    ) -> None:
        """Requests tokens before the bucket is empty."""
        transferred_ms = self._transferred_ms.get(team_name, -math.inf)
        if (
            team_name in self._waiting
            or now_ms - transferred_ms < AHEAD_PAUSE_MS
        ):
            return
        wanted_count = self._context.ledger.transfer_count(team_name, now_ms)
        if wanted_count > 0:
            self._transfer(team_name, limit, wanted_count, [])

    def _transfer(
        self,
        team_name: str,
        limit: teams.RateLimit,
        wanted_count: float,
        waiting: list[OnEnded],
    ) -> None:
        """Requests tokens from the owner in each other domain.

        Args:
            team_name: Name of the team.
            limit: Its limit.
            wanted_count: Tokens that can be used here.
            waiting: Called when the transfer is over.
        """
        context = self._context
        received_counts: list[float] = []

        def on_tokens(sender_id: str, token_count: float) -> bool:
            now_ms = clock.now_ms()
            if token_count > wanted_count + TOKEN_TOLERANCE:
                context.report.log_ignored(
                    team_name, sender_id, "more_than_requested", now_ms
                )
                return True
            received_counts.append(token_count)
            if token_count > 0:
                context.report.count("transfers_received")
                context.ledger.receive(team_name, limit, token_count, now_ms)
            return sum(received_counts) < wanted_count

        def on_end() -> None:
            self._on_transfer_ended(team_name, sum(received_counts))

        self._waiting[team_name] = waiting
        stated = context.limits.stated(team_name, clock.now_ms())
        if isinstance(stated, ratelimitcheck.UnknownTeam):
            on_end()
            return
        context.report.count("transfers_requested")
        self._collector.collect(
            self._far_peers(),
            lambda ask_id: ratelimitmessage.TransferRequest(
                sender_id=context.own.instance_id,
                sender_address=context.own.address,
                ask_id=ask_id,
                team=team_name,
                limit=stated,
                wanted_count=wanted_count,
            ),
            TRANSFER_TIMEOUT_MS,
            tokencollection.Collection(
                team=team_name,
                on_tokens=on_tokens,
                on_end=on_end,
                late_ms=LATE_MS,
            ),
        )

    def _far_peers(self) -> list[member.Peer]:
        """Returns a random known instance of each other domain."""
        by_domain: dict[str, list[member.Peer]] = {}
        for each in self._context.far_peers():
            by_domain.setdefault(each.failure_domain, []).append(each)
        return [self._random.choice(each) for each in by_domain.values()]

    def _on_transfer_ended(self, team_name: str, token_count: float) -> None:
        waiting = self._waiting.pop(team_name)
        now_ms = self._transferred_ms[team_name] = clock.now_ms()
        if not token_count:
            self._context.ledger.record_failed_transfer(team_name, now_ms)
        for on_ended in waiting:
            on_ended()

    def on_request(self, request: ratelimitmessage.TransferRequest) -> None:
        """Gives tokens to another domain, or forwards its request once."""
        context, now_ms = self._context, clock.now_ms()
        newest = context.limits.learn(request.team, request.limit, now_ms)
        if isinstance(newest, ratelimitcheck.UnknownTeam):
            context.report.log_ignored(
                request.team, request.sender_id, "unknown_team", now_ms
            )
            return
        if newest.limit is None or not context.ranking.has_list:
            self._give(request, None)
            return
        place = self._changes.locate(request.team, newest.limit, (), now_ms)
        match place:
            case ownerchanges.Here():
                self._give(request, newest.limit)
            case ownerchanges.Starting():
                self._changes.await_start(
                    request.team, lambda: self._give(request, newest.limit)
                )
            case ownerchanges.Elsewhere(peer=peer) if not request.forwarded:
                context.send(
                    peer.address, dataclasses.replace(request, forwarded=True)
                )
            case _:
                self._give(request, None)

    def _give(
        self,
        request: ratelimitmessage.TransferRequest,
        limit: teams.RateLimit | None,
    ) -> None:
        """Answers with the tokens that are not needed here."""
        context, team_name = self._context, request.team
        token_count = 0.0
        if limit is not None and context.ledger.owns(team_name):
            token_count = context.ledger.give(
                team_name, limit, request.wanted_count, clock.now_ms()
            )
        if token_count > 0:
            context.report.count("transfers_given")
        reply = ratelimitmessage.TokenReply(
            sender_id=context.own.instance_id,
            ask_id=request.ask_id,
            team=team_name,
            token_count=token_count,
        )
        context.send(request.sender_address, reply)

    def drop_idle(self, now_ms: float) -> None:
        """Removes outdated state."""
        self._transferred_ms = {
            name: transferred_ms
            for name, transferred_ms in self._transferred_ms.items()
            if now_ms - transferred_ms < AHEAD_PAUSE_MS
        }
