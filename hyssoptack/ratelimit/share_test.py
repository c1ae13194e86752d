"""The shares of all domains stay within what the operator tolerates."""

import math

import pytest

from hyssoptack.core import teams
from hyssoptack.ratelimit import share

BOUNDS = share.LimitBounds(
    window_ms=5_000.0, overage_ratio=0.1, slack_count=20.0
)


def limit(rate_per_s, burst_count):
    return teams.RateLimit(rate_per_s=rate_per_s, burst_count=burst_count)


def test_the_allowed_count_is_that_of_the_operators_check():
    assert share.allowed_count(limit(23.0, 23.0), BOUNDS) == pytest.approx(
        171.8
    )


@pytest.mark.parametrize("domain_count", [1, 2, 3])
@pytest.mark.parametrize(
    "of_limit", [limit(23, 23), limit(1, 0), limit(2000, 9), limit(0.1, 50)]
)
def test_the_parts_of_the_excess_do_not_add_up_to_more(of_limit, domain_count):
    of_share = share.domain_share(of_limit, BOUNDS, domain_count)
    window_s = BOUNDS.window_ms / 1_000.0
    largest = (
        domain_count
        * (
            of_share.rate_per_s * window_s
            + of_share.capacity_count
            + of_share.prefetch_count
            + of_share.start_count
        )
        + of_share.isolated_rate_per_s * window_s
    )
    assert largest <= share.allowed_count(of_limit, BOUNDS) + 1e-6


def test_a_burst_below_the_domains_still_allows_a_request_in_each():
    assert share.domain_share(limit(1, 0), BOUNDS, 3).capacity_count >= 1.0


@pytest.mark.parametrize(
    ("rate_per_s", "burst_count"),
    [(0, 5), (-1, 5), (math.nan, 5), (math.inf, 5), (5, math.nan), (5, -1)],
)
def test_limits_that_would_break_the_arithmetic_are_not_plausible(
    rate_per_s, burst_count
):
    assert not share.is_plausible_limit(limit(rate_per_s, burst_count))
