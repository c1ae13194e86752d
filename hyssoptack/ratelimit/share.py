"""Divides a team's rate limit into equal shares of the failure domains.

In any window the operator allows (rate x window + burst) x (1 + overage) +
slack requests. The shares of all domains together create rate x window tokens
and hold little more than the burst. The rest, the excess, covers that little,
permits that are held ahead of demand, start buckets, and owners that cannot
reach their domain.
"""

import dataclasses
import math

from hyssoptack.core import teams

PREFETCH_EXCESS_RATIO = 0.2
"""Part of the excess that permits held ahead of demand may use."""

CAPACITY_SLACK_RATIO = 0.1
"""Part of the slack by which all buckets together hold more than the burst. One
that is full loses tokens while another is empty, the more the smaller they are:
of a team with a rate and burst of 5 at 0.8 of its rate, 96 requests in 1,000
were refused wrongly without it and 7 with it (`simulation`, 68 instances)."""

START_SLACK_RATIO = 0.25
"""Part of the slack that one start of the owners in all domains may use."""

ISOLATED_EXCESS_RATIO = 0.1
"""Part of the excess that an isolated owner may create in a window, in addition
to the tokens of the instance that replaces it in its domain."""

UNCOUNTED_EXCESS_RATIO = 0.15
"""Part of the excess kept for permits that a dead owner had granted, and for
the time between a permit and the upstream call."""

COUNT_LIMIT = 1e9
"""Largest plausible rate, burst or number of tokens."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitBounds:
    """How the operator checks rate limits.

    Attributes:
        window_ms: Length of the checked windows.
        overage_ratio: Tolerated excess as a part of the limit.
        slack_count: Tolerated excess as a number of requests in a window.
    """

    window_ms: float
    overage_ratio: float
    slack_count: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class DomainShare:
    """One failure domain's share of a team's limit.

    Attributes:
        rate_per_s: Tokens created per second.
        capacity_count: Largest number of tokens in the bucket.
        prefetch_count: Largest number of permits held ahead of demand.
        start_count: Tokens in the bucket of an owner without a predecessor.
        isolated_rate_per_s: Tokens created per second by an owner that cannot
            reach any other instance of its domain.
    """

    rate_per_s: float
    capacity_count: float
    prefetch_count: float
    start_count: float
    isolated_rate_per_s: float


def is_plausible(count: float) -> bool:
    """Returns whether a count is finite, not negative and not absurd."""
    return math.isfinite(count) and 0.0 <= count <= COUNT_LIMIT


def is_plausible_limit(limit: teams.RateLimit) -> bool:
    """Returns whether a limit, which a message may hold, can be applied."""
    return (
        is_plausible(limit.rate_per_s)
        and limit.rate_per_s > 0.0
        and is_plausible(limit.burst_count)
    )


def excess_count(limit: teams.RateLimit, bounds: LimitBounds) -> float:
    """Returns the requests in a window that are tolerated above the limit."""
    window_count = limit.rate_per_s * bounds.window_ms / 1_000.0
    return (
        bounds.overage_ratio * (window_count + limit.burst_count)
        + bounds.slack_count
    )


def allowed_count(limit: teams.RateLimit, bounds: LimitBounds) -> float:
    """Returns the largest number of requests in a window."""
    window_count = limit.rate_per_s * bounds.window_ms / 1_000.0
    return window_count + limit.burst_count + excess_count(limit, bounds)


def domain_share(
    limit: teams.RateLimit, bounds: LimitBounds, domain_count: int
) -> DomainShare:
    """Returns the share of each of `domain_count` failure domains.

    A bucket holds at least one token, so that a burst below the number of
    domains uses more of the slack. What the operator tolerates beyond the burst
    and the excess that is needed otherwise is created as tokens: the team's
    callers get all of the requests that the check allows, not only the rate.
    """
    slack_count = bounds.slack_count / domain_count
    capacity_count = max(
        1.0,
        limit.burst_count / domain_count + CAPACITY_SLACK_RATIO * slack_count,
    )
    excess = excess_count(limit, bounds)
    window_s = bounds.window_ms / 1_000.0
    prefetch_count = PREFETCH_EXCESS_RATIO * excess / domain_count
    start_count = min(capacity_count, START_SLACK_RATIO * slack_count)
    isolated_rate_per_s = min(
        limit.rate_per_s / domain_count,
        ISOLATED_EXCESS_RATIO * excess / window_s,
    )
    kept_count = (
        domain_count * (capacity_count + prefetch_count + start_count)
        + isolated_rate_per_s * window_s
        + UNCOUNTED_EXCESS_RATIO * excess
    )
    created_per_s = (allowed_count(limit, bounds) - kept_count) / window_s
    return DomainShare(
        rate_per_s=max(limit.rate_per_s, created_per_s) / domain_count,
        capacity_count=capacity_count,
        prefetch_count=prefetch_count,
        start_count=start_count,
        isolated_rate_per_s=isolated_rate_per_s,
    )
