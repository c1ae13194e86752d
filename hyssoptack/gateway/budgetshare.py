"""Computes an instance's share of the site-wide budget of extra calls."""

from hyssoptack.budget import windowbudget
from hyssoptack.gateway import derivedsettings
from hyssoptack.membership import readerelection
from hyssoptack.settings import gateway

MIN_INSTANCE_COUNT = 12
"""Minimum number of instances by which the budget's slack is divided. An
instance that knows of fewer may be cut off from the others."""

USED_SLACK_RATIO = 0.9
"""Part of the slack that is used. Calls arrive later than they are charged to
the budget, so that a window may hold some calls of the one before."""

LINK_WEIGHTED_RATIO = 0.5
"""Part of the slack for gather calls that is shared out by link bandwidth."""

USED_EXTRA_RATIO = 0.9
"""Part of the budget's ratio that is used, as the instances' fullest windows
are at different times (`budget.windowbudget`)."""


def even_share(
    site_budget: gateway.BudgetSettings, known_count: int
) -> windowbudget.BudgetShare:
    """Returns an instance's share if all instances have equal shares.

    Args:
        site_budget: The budget of all instances together.
        known_count: Number of known instances; 0 before the first list of
            instances, when there may be any number.
    """
    instance_count = max(MIN_INSTANCE_COUNT, known_count)
    return _make_share(
        site_budget, 1.0 / instance_count if known_count else 0.0
    )


def gather_share(
    site_budget: gateway.BudgetSettings,
    known_count: int,
    domain_count: int,
    link_ratio: float,
) -> windowbudget.BudgetShare:
    """Returns an instance's share for the calls of gathered queries.

    Queries are delegated to instances with high link bandwidth. So half of the
    slack is shared out by bandwidth, with equal parts for all failure domains.
    The other instances need their share when they have to run a delegated
    query themselves.

    Args:
        site_budget: The budget of all instances together.
        known_count: Number of known instances.
        domain_count: Number of failure domains.
        link_ratio: The instance's bandwidth as a part of the total of its
            failure domain.
    """
    even_ratio = 1.0 / max(MIN_INSTANCE_COUNT, known_count)
    weighted_ratio = min(link_ratio / domain_count, 1.0 / MIN_INSTANCE_COUNT)
    return _make_share(
        site_budget,
        (1.0 - LINK_WEIGHTED_RATIO) * even_ratio
        + LINK_WEIGHTED_RATIO * weighted_ratio,
    )


def update_shares(
    budget: windowbudget.WindowBudget,
    settings: gateway.GatewaySettings,
    reader_election: readerelection.ReaderElection,
) -> None:
    """Updates an instance's shares from the instances that it knows of.

    Args:
        budget: The instance's budget, which gets the shares.
        settings: The instance's settings.
        reader_election: The election, which counts the known instances.
    """
    equal_share = even_share(
        settings.budget, reader_election.peak_instance_count
    )
    budget.share = budget.shard_share = equal_share
    own_mbps = derivedsettings.delegation_link_mbps(settings)
    if own_mbps and reader_election.peak_neighbour_mbps:
        budget.shard_share = gather_share(
            settings.budget,
            reader_election.peak_instance_count,
            len(settings.failure_domains),
            own_mbps / (own_mbps + reader_election.peak_neighbour_mbps),
        )


def _make_share(
    site_budget: gateway.BudgetSettings, slack_ratio: float
) -> windowbudget.BudgetShare:
    slack_count = USED_SLACK_RATIO * site_budget.slack_count * slack_ratio
    return windowbudget.BudgetShare(
        ratio=USED_EXTRA_RATIO * site_budget.ratio,
        slack_count=slack_count,
        window_ms=site_budget.window_ms,
    )
