"""Tells the instances of a domain which teams' buckets are low.

They permit no request of such a team without asking the owner first.
"""

from hyssoptack.core import ratelimitmessage
from hyssoptack.gateway import ratelimitcontext
from hyssoptack.ratelimit import permits

NOTICE_PERIOD_MS = 1_000.0
"""Time after which a notice is repeated (specified)."""

SENDER_RANK_COUNT = 2
"""Ranks of instances whose notices are accepted: the owner and the one that
replaces it (specified)."""


class Restrictions:
    """Sends and receives the notices of one instance."""

    def __init__(self, context: ratelimitcontext.RateLimitContext):
        self._context = context
        self._sent_ms: dict[str, float] = {}

    def current_ms(self, team_name: str, now_ms: float) -> float:
        """Returns the restriction of an owned bucket; sends due notices.

        Returns:
            The time for which instances are to ask first; 0 for no restriction.
        """
        restriction_ms = self._context.ledger.restriction_ms(team_name, now_ms)
        if not restriction_ms:
            if self._sent_ms.pop(team_name, None) is not None:
                self._notify(team_name, 0.0)
            return 0.0
        sent_ms = self._sent_ms.get(team_name)
        if sent_ms is None or now_ms - sent_ms >= NOTICE_PERIOD_MS:
            self._sent_ms[team_name] = now_ms
            self._notify(team_name, restriction_ms)
        return restriction_ms

    def _notify(self, team_name: str, restriction_ms: float) -> None:
        notice = ratelimitmessage.RestrictionNotice(
            sender_id=self._context.own.instance_id,
            team=team_name,
            ask_first_ms=restriction_ms,
        )
        self._context.report.count("restrictions_sent")
        for peer in self._context.ranking.other_peers():
            self._context.send(peer.address, notice)

    def check(self, now_ms: float) -> None:
        """Repeats notices of teams that are still restricted, and ends others.

        Without the end, instances would ask first for up to 2 s after a bucket
        that is low for some 100 ms.
        """
        for team_name in tuple(self._sent_ms):
            if self._context.ledger.owns(team_name):
                self.current_ms(team_name, now_ms)
            else:
                # The new owner decides.
                del self._sent_ms[team_name]

    def on_notice(
        self,
        notice: ratelimitmessage.RestrictionNotice,
        cache: permits.PermitCache,
        now_ms: float,
    ) -> None:
        """Applies a notice of an instance that may own the bucket."""
        ranked_ids = self._context.ranking.ids(notice.team)[:SENDER_RANK_COUNT]
        if self._context.limits.own(notice.team) is None:
            reason = "unknown_team"
        elif notice.sender_id not in ranked_ids:
            reason = "lower_rank"
        else:
            cache.restrict(notice.team, notice.ask_first_ms, now_ms)
            return
        self._context.report.log_ignored(
            notice.team, notice.sender_id, reason, now_ms
        )
