"""The owner's side of the rate limits: the buckets that one instance owns.

Tokens are conserved. They are created in `bucket.Bucket.refill` and by starts,
and every other operation moves or destroys them, so a lost message loses tokens
but creates none. Counts and limits from messages that are not plausible change
nothing.
"""

import math
import random

from hyssoptack.core import teams
from hyssoptack.ratelimit import bucket
from hyssoptack.ratelimit import permitdecisions
from hyssoptack.ratelimit import retired
from hyssoptack.ratelimit import retryslots
from hyssoptack.ratelimit import share

TRANSFER_PAUSE_MS = 100.0
"""Time without further transfers after one that yielded no tokens."""

RESTRICTION_MS = 2_000.0
"""Time for which a restriction is valid without a further notice (specified).
"""

IDLE_MS = 60_000.0
"""Time without requests after which a team's state is reduced to its tokens."""


PermitAsk = permitdecisions.PermitAsk
Granted = permitdecisions.Granted
Short = permitdecisions.Short
Denied = permitdecisions.Denied
NotOwned = permitdecisions.NotOwned


class Ledger:
    """The buckets of the teams that an instance owns in its failure domain."""

    def __init__(
        self,
        bounds: share.LimitBounds,
        domain_count: int,
        rng: random.Random,
    ):
        """Creates a ledger without buckets.

        Args:
            bounds: How the operator checks limits.
            domain_count: Number of failure domains.
            rng: Gives the jitter of retry delays.
        """
        self._bounds = bounds
        self._domain_count = domain_count
        self._rng = rng
        self._buckets: dict[str, bucket.Bucket] = {}
        self._retired = retired.RetiredBuckets(bounds.window_ms)
        self._isolated = False

    @property
    def active_count(self) -> int:
        """Number of teams with requests within the last minute."""
        return len(self._buckets)

    def begin(
        self,
        team_name: str,
        limit: teams.RateLimit,
        now_ms: float,
        token_count: float | None,
        provisional: bool = False,
        led_ms: float = 0.0,
        was_stopped: bool = False,
    ) -> None:
        """Begins to own a team's bucket.

        Args:
            team_name: The team.
            limit: Its limit.
            now_ms: The current time.
            token_count: Tokens handed over by the former owner; None if there
                was no answer, for a start bucket. If the bucket is owned
                already, handed over tokens are added to it.
            provisional: Whether the bucket replaces that of an owner that does
                not answer but may be alive. It then creates no tokens before
                `confirm`, and `abandon` ends it.
            led_ms: Time for which this instance has certainly been the owner.
                Nobody else has created the tokens of that time, which a start
                bucket holds in addition.
            was_stopped: Whether that time began with a stop of the process,
                which leaves no start bucket.
        """
        if self.owns(team_name):
            if token_count is not None:
                self.receive(team_name, limit, token_count, now_ms)
            return
        if not share.is_plausible_limit(limit):
            return
        new_share = self._share(limit)
        if token_count is None:
            token_count = new_share.rate_per_s * led_ms / 1_000.0
            if not was_stopped:
                token_count += self._retired.start_count(
                    team_name, new_share.start_count, now_ms
                )
        elif not share.is_plausible(token_count):
            token_count = 0.0
        begun = bucket.Bucket(limit, new_share, token_count, now_ms)
        begun.provisional = provisional
        self._buckets[team_name] = begun
        self._retired.forget(team_name)

    def confirm(self, team_name: str, now_ms: float) -> None:
        """Lets a provisional bucket create tokens, since it began.

        To be called once the owner that it replaces has lost its own tokens:
        its link is lost, or it has been silent for the time after which a
        stopped process empties its buckets.
        """
        found = self._buckets.get(team_name)
        if found is not None:
            found.provisional = False
            found.refill(now_ms, self._isolated)

    def abandon(self, team_name: str, now_ms: float) -> None:
        """Stops owning, as a replaced owner answers; the tokens are lost."""
        self.hand_over(team_name, now_ms)

    def owns(self, team_name: str) -> bool:
        """Returns whether this instance owns a team's bucket."""
        return team_name in self._buckets or self._retired.is_idle(team_name)

    def owned_teams(self) -> list[str]:
        """Returns the teams whose buckets this instance owns.

        An owner that no longer ranks first is to ask the instance that does
        whether it answers, and then to give it the tokens: the handover that
        a joining instance requests may be lost.
        """
        return [*self._buckets, *self._retired.idle_teams()]

    def is_provisional(self, team_name: str) -> bool:
        """Returns whether the bucket replaces one that may still be used."""
        found = self._buckets.get(team_name)
        return found is not None and found.provisional

    def ask(
        self,
        team_name: str,
        limit: teams.RateLimit,
        ask: PermitAsk,
        now_ms: float,
    ) -> Granted | Short | Denied | NotOwned:
        """Decides on a request for permits.

        Args:
            team_name: The team.
            limit: The limit of the highest version known.
            ask: The request.
            now_ms: The current time.

        Returns:
            `Short` if a transfer may help: then the tokens received are added
            with `receive` and the request is repeated, or `deny` is called.
        """
        found = self._current(team_name, limit, now_ms)
        if found is None:
            return NotOwned()
        if not ask.is_plausible:
            return Denied(retry_after_ms=retryslots.DELAY_MAX_MS)
        found.used_ms = now_ms
        found.outstanding.state(ask.asker_id, ask.held_count, now_ms)
        if ask.wanted_count and found.token_count < ask.wanted_count:
            if self.may_transfer(team_name, now_ms):
                return Short(missing_count=ask.wanted_count - found.token_count)
            return self._deny(found, ask, now_ms)
        found.wanted.record(ask.wanted_count, now_ms)
        found.token_count -= ask.wanted_count
        ahead_count = found.ahead_count(ask.prefetch_count, now_ms)
        found.token_count -= ahead_count
        found.outstanding.grant(ask.asker_id, ahead_count, now_ms)
        return Granted(permit_count=ask.wanted_count + ahead_count)

    def debit(
        self,
        team_name: str,
        limit: teams.RateLimit,
        spent_count: int,
        now_ms: float,
    ) -> bool:
        """Subtracts permits that an instance has spent without asking.

        Args:
            team_name: The team.
            limit: The limit of the highest version known.
            spent_count: The permits.
            now_ms: The current time.

        Returns:
            Whether this instance owns the bucket.
        """
        found = self._current(team_name, limit, now_ms)
        if found is None:
            return False
        if 0 <= spent_count <= permitdecisions.ASK_LIMIT_COUNT:
            found.used_ms = now_ms
            found.debit(spent_count, now_ms)
        return True

    def restriction_ms(self, team_name: str, now_ms: float) -> float:
        """Returns the time for which instances are to ask first.

        Returns:
            The time; 0 if the team is not restricted.
        """
        found = self._buckets.get(team_name)
        if found is None:
            return 0.0
        found.refill(now_ms, self._isolated)
        return RESTRICTION_MS if found.update_restriction() else 0.0

    def deny(
        self,
        team_name: str,
        limit: teams.RateLimit,
        now_ms: float,
        ask: PermitAsk | None = None,
    ) -> Denied | NotOwned:
        """Refuses a request after a transfer yielded too few tokens.

        Args:
            team_name: The team.
            limit: The limit of the highest version known.
            now_ms: The current time.
            ask: The request, for the permits that it can have nevertheless;
                None for a single permit.
        """
        found = self._current(team_name, limit, now_ms)
        if found is None:
            return NotOwned()
        found.transfer_failed_ms = now_ms
        if ask is None or not ask.is_plausible:
            ask = PermitAsk(asker_id="", wanted_count=1)
            return self._deny(found, ask, now_ms, grants=False)
        return self._deny(found, ask, now_ms)

    def receive(
        self,
        team_name: str,
        limit: teams.RateLimit,
        token_count: float,
        now_ms: float,
    ) -> None:
        """Adds tokens given by another domain or a former owner.

        Tokens above the capacity are lost, as are those of a team that this
        instance does not own.
        """
        if not share.is_plausible(token_count) or not self.owns(team_name):
            return
        found = self._current(team_name, limit, now_ms)
        if found is not None:
            found.add(token_count)
            found.received.record(token_count, now_ms)

    def take_back(
        self,
        team_name: str,
        limit: teams.RateLimit,
        permit_count: int,
        now_ms: float,
    ) -> None:
        """Adds permits that an instance of the own domain has not used.

        They do not count as income, from which retry delays are computed.
        """
        if not share.is_plausible(permit_count):
            return
        found = self._current(team_name, limit, now_ms)
        if found is not None:
            found.add(permit_count)

    def give(
        self,
        team_name: str,
        limit: teams.RateLimit,
        wanted_count: float,
        now_ms: float,
    ) -> float:
        """Removes and returns tokens for another domain.

        What the own recent demand needs is kept back. Nothing is given of a
        bucket that this instance does not own.
        """
        found = self._current(team_name, limit, now_ms)
        if found is None or not share.is_plausible(wanted_count):
            return 0.0
        found.used_ms = now_ms
        given_count = min(wanted_count, found.spare_count(now_ms))
        found.token_count -= given_count
        return given_count

    def hand_over(self, team_name: str, now_ms: float) -> float:
        """Removes and returns all tokens of a team; stops owning it.

        A debt is not handed over: none is returned for it.
        """
        found = self._restored(team_name, now_ms)
        if found is None:
            return 0.0
        found.refill(now_ms, self._isolated)
        del self._buckets[team_name]
        self._retired.retire(team_name, now_ms)
        return max(0.0, found.token_count)

    def may_transfer(self, team_name: str, now_ms: float) -> bool:
        """Returns whether a transfer may yield tokens.

        It may not soon after one that yielded none, nor where there is only one
        domain.
        """
        found = self._buckets.get(team_name)
        if found is None:
            return self._domain_count > 1
        age_ms = now_ms - found.transfer_failed_ms
        return self._domain_count > 1 and not age_ms < TRANSFER_PAUSE_MS

    def record_failed_transfer(self, team_name: str, now_ms: float) -> None:
        """Records that a transfer ahead of demand yielded no tokens."""
        found = self._buckets.get(team_name)
        if found is not None:
            found.transfer_failed_ms = now_ms

    def transfer_count(self, team_name: str, now_ms: float) -> float:
        """Returns the tokens to request from other domains; 0 if none.

        Above 0 if the bucket is low for the demand that its own rate does not
        cover, also before a request has to wait.
        """
        found = self._buckets.get(team_name)
        if found is None or not self.may_transfer(team_name, now_ms):
            return 0.0
        found.refill(now_ms, self._isolated)
        return found.transfer_count(now_ms)

    def empty(self, now_ms: float) -> None:
        """Removes all tokens, after the process was stopped."""
        for each in self._buckets.values():
            each.token_count = min(0.0, each.token_count)
            each.refilled_ms = max(each.refilled_ms, now_ms)
        self._retired.empty(now_ms)

    def set_isolated(self, isolated: bool, now_ms: float) -> None:
        """Sets whether this instance reaches no other of its domain.

        Its buckets then create tokens slower, as another instance owns them
        for the rest of the domain.
        """
        for each in self._buckets.values():
            each.refill(now_ms, self._isolated)
        self._isolated = isolated

    def drop_idle(self, now_ms: float) -> None:
        """Reduces teams without requests for a minute to their tokens."""
        idle = [
            team_name
            for team_name, each in self._buckets.items()
            if now_ms - each.used_ms >= IDLE_MS
        ]
        for team_name in idle:
            found = self._buckets.pop(team_name)
            found.refill(now_ms, self._isolated)
            self._retired.set_idle(
                team_name, found.limit, found.token_count, now_ms
            )
        self._retired.drop_expired(now_ms)

    def token_counts(self, now_ms: float) -> dict[str, float]:
        """Returns the tokens of teams with recent requests, for metrics."""
        for each in self._buckets.values():
            each.refill(now_ms, self._isolated)
        return {
            team_name: each.token_count
            for team_name, each in self._buckets.items()
        }

    def _share(self, limit: teams.RateLimit) -> share.DomainShare:
        return share.domain_share(limit, self._bounds, self._domain_count)

    def _restored(self, team_name: str, now_ms: float) -> bucket.Bucket | None:
        found = self._buckets.get(team_name)
        if found is not None:
            return found
        idle = self._retired.take_idle(team_name)
        if idle is None:
            return None
        restored = bucket.Bucket(
            idle.limit, self._share(idle.limit), idle.token_count, idle.at_ms
        )
        restored.refill(now_ms, self._isolated)
        restored.used_ms = now_ms
        self._buckets[team_name] = restored
        return restored

    def _current(
        self, team_name: str, limit: teams.RateLimit, now_ms: float
    ) -> bucket.Bucket | None:
        """Returns the bucket, refilled and under the limit in force.

        A limit that cannot be applied changes nothing.
        """
        found = self._restored(team_name, now_ms)
        if found is None:
            return None
        found.refill(now_ms, self._isolated)
        if found.limit != limit and share.is_plausible_limit(limit):
            found.set_limit(limit, self._share(limit))
        return found

    def _deny(
        self,
        found: bucket.Bucket,
        ask: PermitAsk,
        now_ms: float,
        grants: bool = True,
    ) -> Denied:
        permit_count = (
            min(ask.wanted_count, max(0, math.floor(found.token_count)))
            if grants
            else 0
        )
        found.token_count -= permit_count
        found.wanted.record(ask.wanted_count, now_ms)
        delay_ms = found.retry_slots.next_delay_ms(
            found.missing_ms(1.0, now_ms),
            found.token_interval_ms(now_ms),
            now_ms,
            self._rng,
            max(1, ask.wanted_count - permit_count),
        )
        return Denied(retry_after_ms=delay_ms, permit_count=permit_count)
