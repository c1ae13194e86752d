"""Buckets that an instance owns in place of an owner that does not answer.

Such a bucket creates no tokens until the owner must have lost its own: it has
been silent for as long as the stop after which a process empties its buckets,
or the link to it is lost. It ends when the owner answers or asks for it, or
when nobody has used it for a while.
"""

import dataclasses

from hyssoptack.core import member
from hyssoptack.core import ratelimitmessage
from hyssoptack.core import teams
from hyssoptack.gateway import ratelimitcheck
from hyssoptack.gateway import ratelimitcontext

PING_PERIOD_MS = 100.0
"""Time between checks whether the replaced owner answers again."""

CONFIRM_MS = 320.0
"""Silence of the replaced owner after which it is taken to have been stopped or
killed: a process empties its buckets after a stop of 300 ms."""

IDLE_MS = 2_000.0
"""Time without requests after which a substitute drops its bucket. Askers skip
an owner for 1 s at a time, so that by then the owner answers again; two buckets
would otherwise fill up side by side."""


@dataclasses.dataclass(kw_only=True)
class _Substitution:
    """A bucket owned in place of another instance.

    Attributes:
        owner: The instance that should own it.
        begun_ms: Time of the begin.
        used_ms: Time of the last request.
        pinged_ms: Time of the last check of the owner.
        confirmed: Whether the owner has lost its tokens.
        has_died: Whether the link to the owner was lost. It then asks for the
            tokens when it has restarted.
    """

    owner: member.Peer
    begun_ms: float
    used_ms: float
    pinged_ms: float
    confirmed: bool = False
    has_died: bool = False


class Substitutions:
    """The substitute buckets of one instance."""

    def __init__(self, context: ratelimitcontext.RateLimitContext):
        self._context = context
        self._by_team: dict[str, _Substitution] = {}
        self._pings: dict[int, str] = {}

    def begin(
        self,
        team_name: str,
        limit: teams.RateLimit,
        owner: member.Peer,
        now_ms: float,
    ) -> None:
        """Begins a bucket in place of an owner that does not answer.

        Args:
            team_name: Name of the team.
            limit: Its limit.
            owner: The instance that ranks first.
            now_ms: The current time.
        """
        if self._context.ledger.owns(team_name):
            return
        self._context.ledger.begin(
            team_name, limit, now_ms, None, provisional=True
        )
        self._context.report.log_begun(team_name, "substitute", None)
        begun = _Substitution(
            owner=owner,
            begun_ms=now_ms,
            used_ms=now_ms,
            pinged_ms=now_ms,
        )
        self._by_team[team_name] = begun
        self._ping(team_name, begun, now_ms)

    def has(self, team_name: str) -> bool:
        """Returns whether a team's bucket is owned in another's place."""
        return team_name in self._by_team

    def forget(self, team_name: str) -> None:
        """Removes a team whose bucket was handed over."""
        self._by_team.pop(team_name, None)

    def record_use(self, team_name: str, now_ms: float) -> None:
        """Records that this instance was asked for permits of a team."""
        found = self._by_team.get(team_name)
        if found is not None:
            found.used_ms = now_ms

    def on_reply(
        self, reply: ratelimitmessage.PermitReply, now_ms: float
    ) -> bool:
        """Handles the reply to a check; returns whether it was one."""
        team_name = self._pings.pop(reply.ask_id, None)
        if team_name is None:
            return False
        found = self._by_team.get(team_name)
        if found is not None:
            self._end(team_name, found, now_ms)
        return True

    def on_link_lost(self, address: str, now_ms: float) -> None:
        """Handles the loss of the connection to an instance."""
        for name, each in self._by_team.items():
            if each.owner.address == address:
                each.has_died = True
                self._confirm(name, each, now_ms)

    def check(self, now_ms: float) -> None:
        """Checks the owners, and ends the buckets that are not used."""
        for name, each in tuple(self._by_team.items()):
            if not self._context.ranking.ids_above_own(name):
                # The list no longer contains the owner.
                self._confirm(name, each, now_ms)
                del self._by_team[name]
            elif now_ms - each.used_ms > IDLE_MS:
                self._end(name, each, now_ms)
            elif not each.has_died:
                self._check_owner(name, each, now_ms)
        if not self._by_team:
            self._pings.clear()

    def _check_owner(
        self, team_name: str, each: _Substitution, now_ms: float
    ) -> None:
        if now_ms - each.begun_ms >= CONFIRM_MS:
            self._confirm(team_name, each, now_ms)
        if now_ms - each.pinged_ms >= PING_PERIOD_MS:
            self._ping(team_name, each, now_ms)

    def _confirm(
        self, team_name: str, each: _Substitution, now_ms: float
    ) -> None:
        if not each.confirmed:
            each.confirmed = True
            self._context.ledger.confirm(team_name, now_ms)

    def _ping(self, team_name: str, each: _Substitution, now_ms: float) -> None:
        each.pinged_ms = now_ms
        stated = self._context.limits.stated(team_name, now_ms)
        if isinstance(stated, ratelimitcheck.UnknownTeam):
            return
        ask_id = next(self._context.ask_ids)
        self._pings[ask_id] = team_name
        ping = ratelimitmessage.PermitRequest(
            sender_id=self._context.own.instance_id,
            sender_address=self._context.own.address,
            ask_id=ask_id,
            team=team_name,
            limit=stated,
            wanted_count=0,
        )
        self._context.send(each.owner.address, ping)

    def _end(self, team_name: str, each: _Substitution, now_ms: float) -> None:
        del self._by_team[team_name]
        token_count = self._context.ledger.hand_over(team_name, now_ms)
        self._context.report.log_ended(
            team_name, each.owner.instance_id, token_count
        )
