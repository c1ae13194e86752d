"""Detects that an instance reaches no other, so that its buckets fill slower.

Another instance then owns the same buckets for the rest of the failure domain.
Only an instance that owns a bucket in heavy use and receives no messages about
rate limits sends anything.
"""

import math
import random

from hyssoptack.core import member
from hyssoptack.core import ratelimitmessage
from hyssoptack.events import log
from hyssoptack.gateway import ratelimitcontext
from hyssoptack.ratelimit import share

SILENCE_MS = 90.0
"""Time without messages after which others are asked to answer."""

FULL_RATIO = 0.5
"""Level of a bucket, as a part of its capacity, above which it is not watched:
it creates few tokens before it is full."""

PING_PERIOD_MS = 90.0
"""Time between two rounds of requests to answer: slightly less than the period
of the checks."""

ISOLATED_PERIOD_MS = 500.0
"""Time between two rounds while the instance is isolated."""

UNANSWERED_COUNT = 2
"""Rounds without any answer after which the instance counts as isolated. Those
asked in a single round may all have been killed."""

NEAR_COUNT, FAR_COUNT = 2, 1
"""Instances of the own and of other failure domains that a round asks. One in
another domain is asked as a domain may have only two instances, of which one
was killed."""


class IsolationWatch:
    """Observes whether other instances can be reached."""

    def __init__(self, context: ratelimitcontext.RateLimitContext):
        self._context = context
        self._random = random.Random()
        self._received_ms = -math.inf
        self._pinged_ms = -math.inf
        self._unanswered_count = 0
        self._is_isolated = False

    def record_received(self, now_ms: float) -> None:
        """Records a message of another instance, or a stop of this process."""
        self._received_ms = now_ms
        self._unanswered_count = 0
        self._set_isolated(False, now_ms)

    def check(self, now_ms: float) -> None:
        """Asks others to answer if nothing has been received lately."""
        period_ms = ISOLATED_PERIOD_MS if self._is_isolated else PING_PERIOD_MS
        if (
            now_ms - self._received_ms < SILENCE_MS
            or now_ms - self._pinged_ms < period_ms
        ):
            return
        peers, team_name = self._sample(), self._watched_team(now_ms)
        if not peers or team_name is None:
            return
        if self._unanswered_count >= UNANSWERED_COUNT:
            self._set_isolated(True, now_ms)
        self._pinged_ms = now_ms
        self._unanswered_count += 1
        stated = self._context.limits.own(team_name)
        for peer in peers:
            self._context.send(peer.address, self._ping(team_name, stated))

    def _watched_team(self, now_ms: float) -> str | None:
        """Returns a team whose bucket is to be watched; None if there is none.

        Once others have been asked, the level of the buckets does not matter
        until one answers.
        """
        context = self._context
        for name, token_count in context.ledger.token_counts(now_ms).items():
            own = context.limits.own(name)
            if own is None or own.limit is None:
                continue
            domain = share.domain_share(
                own.limit, context.bounds, context.domain_count
            )
            if domain.isolated_rate_per_s >= domain.rate_per_s:
                # The limit is so low that its bucket may fill at full speed.
                continue
            is_filling = token_count < FULL_RATIO * domain.capacity_count
            if is_filling or self._unanswered_count:
                return name
        return None

    def _sample(self) -> list[member.Peer]:
        near = self._context.ranking.other_peers()
        far = list(self._context.far_peers())
        return [
            *self._random.sample(near, min(NEAR_COUNT, len(near))),
            *self._random.sample(far, min(FAR_COUNT, len(far))),
        ]

    def _ping(
        self, team_name: str, limit: ratelimitmessage.VersionedLimit
    ) -> ratelimitmessage.PermitRequest:
        own = self._context.own
        return ratelimitmessage.PermitRequest(
            sender_id=own.instance_id,
            sender_address=own.address,
            ask_id=next(self._context.ask_ids),
            team=team_name,
            limit=limit,
            wanted_count=0,
        )

    def _set_isolated(self, is_isolated: bool, now_ms: float) -> None:
        if is_isolated == self._is_isolated:
            return
        self._is_isolated = is_isolated
        self._context.ledger.set_isolated(is_isolated, now_ms)
        log.write(log.Event.RATE_LIMITS_ISOLATED, isolated=is_isolated)
