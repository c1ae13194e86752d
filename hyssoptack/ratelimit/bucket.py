"""Token bucket of one team in one failure domain."""

import math

from hyssoptack.core import teams
from hyssoptack.ratelimit import demand
from hyssoptack.ratelimit import outstanding
from hyssoptack.ratelimit import retryslots
from hyssoptack.ratelimit import share

DEMAND_AVERAGE_MS = 2_000.0
"""Time over which the demand for tokens is averaged."""

RESERVE_S = 0.5
"""Recent demand that is kept back from other domains, in seconds. A domain that
runs short receives tokens again within a round trip of some milliseconds."""

RESERVE_CAPACITY_RATIO = 0.5
"""Largest reserve as a part of the capacity. With a larger one, a domain with
much demand kept its bucket full, so that further tokens were lost, while others
refused requests."""

TRANSFER_AHEAD_S = 1.0
"""Recent demand for which tokens of other domains are requested, in seconds."""

TRANSFER_TO_RATIO = 0.65
"""Level, as a part of the capacity, up to which tokens of other domains are
requested ahead of demand. Buckets that are filled up lose the tokens that they
create next."""

TRANSFER_BELOW_RATIO = 0.8
"""Part of that level below which they are requested, so that few requests have
to wait for them."""

RESTRICT_BELOW_RATIO = 0.5
"""Level, as a part of the capacity, below which instances ask before they
permit a request of the team (specified)."""

RELEASE_ABOVE_RATIO = 0.75
"""Level, as a part of the capacity, above which they no longer do (specified).
"""

PREFETCH_ABOVE_RATIO = 0.25
"""Level, as a part of the capacity, down to which permits are granted ahead of
demand. Below it the tokens are kept for requests that wait: a permit held by an
instance without another request would be lost."""


class Bucket:
    """Tokens of a team and what the owner knows about the demand for them.

    Tokens are created in `refill` only.

    Attributes:
        limit: The limit in force.
        domain_share: The share of the limit.
        token_count: Tokens in the bucket; below 0 for a debt.
        restricted: Whether instances ask before they permit a request.
        refilled_ms: Time up to which tokens have been created.
        provisional: Whether the bucket replaces that of an owner that may be
            alive. It creates no tokens until it is confirmed.
        used_ms: Time of the last request or transfer.
        transfer_failed_ms: Time of the last transfer that yielded no tokens.
        wanted: Average of the permits that were asked for.
        received: Average of the tokens received from other domains.
        outstanding: Permits that instances hold ahead of demand.
        retry_slots: When refused callers are told to return.
    """

    def __init__(
        self,
        limit: teams.RateLimit,
        domain_share: share.DomainShare,
        token_count: float,
        now_ms: float,
    ):
        self.limit = limit
        self.domain_share = domain_share
        self.token_count = min(token_count, domain_share.capacity_count)
        self.refilled_ms = now_ms
        self.provisional = False
        self.restricted = False
        self.used_ms = now_ms
        self.transfer_failed_ms = -math.inf
        self.wanted = demand.Demand(DEMAND_AVERAGE_MS)
        self.received = demand.Demand(DEMAND_AVERAGE_MS)
        self.outstanding = outstanding.Outstanding()
        self.retry_slots = retryslots.RetrySlots()

    def refill(self, now_ms: float, isolated: bool) -> None:
        """Creates the tokens due since the last call.

        A time before that of the last call adds nothing, and the same time is
        never counted twice, whatever the clock does.
        """
        if self.provisional or not now_ms > self.refilled_ms:
            return
        rate_per_s = (
            self.domain_share.isolated_rate_per_s
            if isolated
            else self.domain_share.rate_per_s
        )
        self.add(rate_per_s * (now_ms - self.refilled_ms) / 1_000.0)
        self.refilled_ms = now_ms

    def add(self, token_count: float) -> None:
        """Adds tokens, up to the capacity."""
        self.token_count = min(
            self.domain_share.capacity_count, self.token_count + token_count
        )

    def debit(self, spent_count: int, now_ms: float) -> None:
        """Subtracts permits that were spent without asking.

        A debt of more than one capacity would refuse the team's requests for
        longer than a full bucket serves them, and is not counted.
        """
        self.wanted.record(spent_count, now_ms)
        lowest_count = min(self.token_count, -self.domain_share.capacity_count)
        self.token_count = max(lowest_count, self.token_count - spent_count)

    def update_restriction(self) -> bool:
        """Returns whether instances are to ask first, at the present level."""
        level_ratio = self.token_count / self.domain_share.capacity_count
        if level_ratio < RESTRICT_BELOW_RATIO:
            self.restricted = True
        elif level_ratio > RELEASE_ABOVE_RATIO:
            self.restricted = False
        return self.restricted

    def set_limit(
        self, limit: teams.RateLimit, domain_share: share.DomainShare
    ) -> None:
        """Applies another limit: a lower one caps the bucket at once."""
        self.limit = limit
        self.domain_share = domain_share
        self.add(0.0)

    def missing_ms(self, wanted_count: float, now_ms: float) -> float:
        """Returns the time until the bucket has the wanted tokens."""
        missing_count = max(0.0, wanted_count - self.token_count)
        return missing_count * self.token_interval_ms(now_ms)

    def token_interval_ms(self, now_ms: float) -> float:
        """Returns the time between two tokens, created or received."""
        return 1_000.0 / (
            self.domain_share.rate_per_s + self.received.per_s(now_ms)
        )

    def ahead_count(self, wanted_count: int, now_ms: float) -> int:
        """Returns the permits to grant ahead of demand, of those wanted."""
        spare_count = (
            self.token_count
            - PREFETCH_ABOVE_RATIO * self.domain_share.capacity_count
        )
        room_count = self.domain_share.prefetch_count - self.outstanding.count(
            now_ms
        )
        return max(
            0, min(wanted_count, math.floor(min(spare_count, room_count)))
        )

    def spare_count(self, now_ms: float) -> float:
        """Returns the tokens that another domain may have.

        One token is spared although it is part of the reserve: the other domain
        may have a request that waits for it.
        """
        reserve_count = min(
            RESERVE_S * self.wanted.per_s(now_ms),
            RESERVE_CAPACITY_RATIO * self.domain_share.capacity_count,
        )
        spare_count = max(
            self.token_count - reserve_count, min(1.0, self.token_count)
        )
        return max(0.0, spare_count)

    def transfer_count(self, now_ms: float) -> float:
        """Returns the tokens to request from other domains; 0 if none."""
        target_count = min(
            TRANSFER_AHEAD_S * self.wanted.per_s(now_ms),
            TRANSFER_TO_RATIO * self.domain_share.capacity_count,
        )
        if self.token_count >= TRANSFER_BELOW_RATIO * target_count:
            return 0.0
        return target_count - self.token_count
