"""Begins, hands over and ends the buckets of the teams that an instance owns.

An instance owns the bucket of each team for which it ranks first. One that has
joined asks the former owner for its tokens. One that ranks lower begins as a
substitute only while those above it do not answer.
"""

import collections.abc
import dataclasses
import math

from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.core import ratelimitmessage
from hyssoptack.core import teams
from hyssoptack.gateway import ownerranking
from hyssoptack.gateway import ratelimitcheck
from hyssoptack.gateway import ratelimitcontext
from hyssoptack.gateway import substitutions
from hyssoptack.gateway import tokencollection
from hyssoptack.ratelimit import ownership
from hyssoptack.ratelimit import share

HANDOVER_TIMEOUT_MS = 20.0
"""Time after which an instance that joined begins without the tokens of the
former owner (specified)."""

HANDOVER_PEER_COUNT = 2
"""Instances that are asked for their tokens: the next one in the ranking may
have joined as well, and the former owner is then the one after it."""

DOUBTFUL_START_COUNT = 1.0
"""Largest start bucket of an instance that may not know of the owner. If 69
instances start at once and a team sends 8 times its rate to all of them, 180
requests run in 5 s (193 with the usual start bucket, 139 with 0.8 tokens, where
171.8 are allowed); if it uses 30 of them, 136. With less than one token, a
single new instance would refuse a team's first request."""

OWNED_MIN_COUNT = 0.001
"""Tokens in the answer of an instance that has owned the bucket, also if it is
empty or in debt. An answer without tokens states that it has not: the sender of
the request then begins with the tokens of its time as first in the ranking."""

LIST_LAG_MS = 12_000.0
"""Time after which a former owner that nobody has asked gives up its bucket.
By then the lists of all instances name the new owner."""

HANDED_OVER_MS = 600_000.0
"""Time for which an instance remembers that it has given up a bucket. A bucket
that it begins later fills within seconds."""

REDIRECT_MS = 15_000.0
"""Time for which a former owner names its successor. Lists of instances differ
for up to 10 s after a change."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Here:
    """This instance owns the bucket."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Elsewhere:
    """Another instance owns the bucket.

    Attributes:
        peer: That instance.
    """

    peer: member.Peer


@dataclasses.dataclass(frozen=True, kw_only=True)
class Starting:
    """This instance awaits the tokens of the former owner."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Contested:
    """All instances that rank above this one are said not to answer.

    Attributes:
        peers: Those instances, best first.
    """

    peers: tuple[member.Peer, ...]


Place = Here | Elsewhere | Starting | Contested

OnStarted = collections.abc.Callable[[], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Redirect:
    """The instance to which a bucket was handed over.

    Attributes:
        peer: That instance.
        since_ms: Time of the handover.
    """

    peer: member.Peer
    since_ms: float


class OwnerChanges:
    """Determines which instance owns a team's bucket and changes the owner.

    Attributes:
        substitutions: Buckets owned in place of other instances.
    """

    def __init__(
        self,
        context: ratelimitcontext.RateLimitContext,
        collector: tokencollection.TokenCollector,
    ):
        self._context = context
        self._collector = collector
        self._starting: dict[str, list[OnStarted]] = {}
        self._redirects: dict[str, _Redirect] = {}
        self._unsettled: set[str] = set()
        self._used_ms: dict[str, float] = {}
        self._handed_over_ms: dict[str, float] = {}
        self.substitutions = substitutions.Substitutions(context)

    def locate(
        self,
        team_name: str,
        limit: teams.RateLimit,
        skipped_ids: collections.abc.Collection[str],
        now_ms: float,
    ) -> Place:
        """Returns where a team's bucket is; begins it here if it belongs here.

        Args:
            team_name: Name of the team.
            limit: Its limit.
            skipped_ids: Instances that are said not to answer.
            now_ms: The current time.
        """
        ranking = self._context.ranking
        if self._context.ledger.owns(team_name):
            if not self._is_former(team_name, now_ms):
                return Here()
            self._end(team_name, ranking.ids_above_own(team_name)[0], now_ms)
        if team_name in self._starting:
            return Starting()
        redirect = self._redirects.get(team_name)
        if redirect is not None and (
            redirect.peer.instance_id in skipped_ids
            or now_ms - redirect.since_ms > REDIRECT_MS
        ):
            del self._redirects[team_name]
            redirect = None
        if redirect is not None:
            return Elsewhere(peer=redirect.peer)
        ids, own_id = ranking.ids(team_name), ranking.own.instance_id
        above_ids = ownership.replaced_ids(ids, own_id, skipped_ids)
        if above_ids:
            return Contested(peers=tuple(map(ranking.peer, above_ids)))
        if ids[0] != own_id:
            # The first one if this instance is no candidate at all.
            other_id = next(
                (each for each in ids if each not in skipped_ids), ids[0]
            )
            return Elsewhere(peer=ranking.peer(other_id))
        if ranking.has_joined_recently(now_ms):
            self._request_handover(team_name, limit, now_ms)
        else:
            self._begin_leading(team_name, limit, now_ms)
        return Here() if self._context.ledger.owns(team_name) else Starting()

    def _is_former(self, team_name: str, now_ms: float) -> bool:
        """Returns whether an owned bucket is out of use.

        Another instance ranks first, and nobody has asked this one lately.
        """
        used_ms = self._used_ms.get(team_name, -math.inf)
        return (
            now_ms - used_ms > LIST_LAG_MS
            and bool(self._context.ranking.ids_above_own(team_name))
            and not self.substitutions.has(team_name)
        )

    def record_use(self, team_name: str, now_ms: float) -> None:
        """Records that this instance was asked for permits of a team."""
        self._used_ms[team_name] = now_ms
        self.substitutions.record_use(team_name, now_ms)

    def check(self, now_ms: float) -> None:
        """Ends what waits for a time: substitutions, and starts in doubt."""
        self.substitutions.check(now_ms)
        ranking = self._context.ranking
        if not self._unsettled or not ranking.is_settled(now_ms):
            return
        unsettled, self._unsettled = self._unsettled, set()
        for name in unsettled:
            above_ids = ranking.ids_above_own(name)
            if above_ids and not self.substitutions.has(name):
                self._end(name, above_ids[0], now_ms)
            else:
                self._context.ledger.confirm(name, now_ms)

    def await_start(self, team_name: str, on_started: OnStarted) -> None:
        """Calls a function when the start of a bucket is over."""
        self._starting[team_name].append(on_started)

    def _begin_leading(
        self,
        team_name: str,
        limit: teams.RateLimit,
        now_ms: float,
        how: str = "leads",
    ) -> None:
        """Begins a bucket with the tokens of the time as first in the ranking.

        No other instance has created tokens of this team in that time, so that
        a team that was idle finds a bucket as full as if it had been kept. That
        does not hold for a bucket that was handed over.
        """
        lead = None
        if self._handed_over_ms.pop(team_name, None) is None:
            lead = self._context.ranking.lead(team_name, now_ms)
        self._begin(team_name, limit, None, how, now_ms, lead)

    def _begin(
        self,
        team_name: str,
        limit: teams.RateLimit,
        token_count: float | None,
        how: str,
        now_ms: float,
        lead: ownerranking.Lead | None = None,
    ) -> None:
        # Each of many instances that start at once may take itself for the
        # owner. None of them creates tokens until their lists agree.
        in_doubt = token_count is None and not self._context.ranking.is_settled(
            now_ms
        )
        if in_doubt:
            domain = share.domain_share(
                limit, self._context.bounds, self._context.domain_count
            )
            token_count = min(DOUBTFUL_START_COUNT, domain.start_count)
        self._context.ledger.begin(
            team_name,
            limit,
            now_ms,
            token_count,
            provisional=in_doubt,
            led_ms=lead.lead_ms if lead else 0.0,
            was_stopped=lead.was_stopped if lead else False,
        )
        if in_doubt:
            self._unsettled.add(team_name)
        self._used_ms[team_name] = now_ms
        self._context.report.log_begun(team_name, how, token_count)

    def _end(self, team_name: str, new_owner_id: str, now_ms: float) -> float:
        """Stops owning a bucket; returns its tokens."""
        self.substitutions.forget(team_name)
        self._unsettled.discard(team_name)
        self._used_ms.pop(team_name, None)
        self._handed_over_ms[team_name] = now_ms
        token_count = self._context.ledger.hand_over(team_name, now_ms)
        self._context.report.log_ended(team_name, new_owner_id, token_count)
        return token_count

    # Handovers.

    def _request_handover(
        self, team_name: str, limit: teams.RateLimit, now_ms: float
    ) -> None:
        """Asks the former owner for its tokens and then begins."""
        context = self._context
        below_ids = context.ranking.ids_below_own(team_name)
        peers = [
            context.ranking.peer(each)
            for each in below_ids[:HANDOVER_PEER_COUNT]
        ]
        if not peers:
            self._begin(team_name, limit, None, "joined", now_ms)
            return
        counts_by_id: dict[str, float] = {}

        def on_tokens(sender_id: str, token_count: float) -> bool:
            counts_by_id[sender_id] = token_count
            return True

        def on_end() -> None:
            # Instances that did not own the bucket answer with 0 tokens.
            # If all answered so, nobody else has created tokens of the team.
            token_count = sum(counts_by_id.values()) or None
            all_answered = len(counts_by_id) == len(peers)
            self._on_handover_ended(team_name, limit, token_count, all_answered)

        self._starting[team_name] = []
        self._collector.collect(
            peers,
            lambda ask_id: ratelimitmessage.HandoverRequest(
                sender_id=context.own.instance_id,
                sender_address=context.own.address,
                ask_id=ask_id,
                team=team_name,
            ),
            HANDOVER_TIMEOUT_MS,
            tokencollection.Collection(
                team=team_name, on_tokens=on_tokens, on_end=on_end
            ),
        )

    def _on_handover_ended(
        self,
        team_name: str,
        limit: teams.RateLimit,
        token_count: float | None,
        all_answered: bool,
    ) -> None:
        waiting = self._starting.pop(team_name)
        # An instance of higher rank may have asked for the bucket meanwhile.
        if team_name not in self._redirects:
            now_ms = clock.now_ms()
            if token_count is None and all_answered:
                self._begin_leading(team_name, limit, now_ms, "joined")
            else:
                self._begin(team_name, limit, token_count, "joined", now_ms)
        for on_started in waiting:
            on_started()

    def on_handover_request(
        self, received: ratelimitmessage.HandoverRequest, now_ms: float
    ) -> None:
        """Hands a bucket over to an instance of higher rank."""
        context = self._context
        team_name = received.team
        if not context.ranking.has_list:
            # The sender begins with a start bucket when it gets no answer.
            return
        newest = context.limits.newest(team_name, now_ms)
        own_id = context.own.instance_id
        if isinstance(newest, ratelimitcheck.UnknownTeam):
            self._ignore(received, "unknown_team", now_ms)
            return
        if not ownership.ranks_above(team_name, received.sender_id, own_id):
            self._ignore(received, "lower_rank", now_ms)
            return
        # Only while the list lacks the sender was this instance the owner.
        leads = not (
            context.ranking.ids_above_own(team_name)
            or context.ranking.has_joined_recently(now_ms)
        )
        if not context.ledger.owns(team_name) and leads and newest.limit:
            has_redirect = team_name in self._redirects
            if not has_redirect and team_name not in self._starting:
                self._begin_leading(team_name, newest.limit, now_ms)
        token_count = 0.0
        if context.ledger.owns(team_name):
            token_count = self._end(team_name, received.sender_id, now_ms)
            token_count = max(OWNED_MIN_COUNT, token_count)
        elif team_name in self._redirects or team_name in self._starting:
            token_count = OWNED_MIN_COUNT
        self._redirects[team_name] = _Redirect(
            peer=member.Peer(
                instance_id=received.sender_id,
                failure_domain=context.own.failure_domain,
                address=received.sender_address,
            ),
            since_ms=now_ms,
        )
        reply = ratelimitmessage.TokenReply(
            sender_id=own_id,
            ask_id=received.ask_id,
            team=team_name,
            token_count=token_count,
        )
        context.send(received.sender_address, reply)

    def _ignore(
        self,
        received: ratelimitmessage.HandoverRequest,
        reason: str,
        now_ms: float,
    ) -> None:
        self._context.report.log_ignored(
            received.team, received.sender_id, reason, now_ms
        )

    def drop_idle(self, now_ms: float) -> None:
        """Removes outdated state, and buckets that are out of use."""
        for name in self._context.ledger.owned_teams():
            if self._is_former(name, now_ms):
                above_ids = self._context.ranking.ids_above_own(name)
                self._end(name, above_ids[0], now_ms)
        self._used_ms = {
            name: used_ms
            for name, used_ms in self._used_ms.items()
            if now_ms - used_ms <= LIST_LAG_MS
        }
        self._handed_over_ms = {
            name: handed_over_ms
            for name, handed_over_ms in self._handed_over_ms.items()
            if now_ms - handed_over_ms <= HANDED_OVER_MS
        }
        self._redirects = {
            name: each
            for name, each in self._redirects.items()
            if now_ms - each.since_ms <= REDIRECT_MS
        }
