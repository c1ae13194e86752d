"""One instance's part of the extra calls that all may make together."""

from hyssoptack.gateway import derivedsettings
from hyssoptack.policy import readerelection
from hyssoptack.policy import windowbudget
from hyssoptack.settings import gateway

MIN_INSTANCE_COUNT = 12
"""An instance takes no more of the budget's slack than if there were so many:
one whose view is small may be cut off from the others."""

USED_SLACK_RATIO = 0.9
"""Part of the slack that is used at all: calls arrive later than they are paid
for, so that a window may hold some of the one before."""

LINK_WEIGHTED_RATIO = 0.5
"""Part of the slack for calls of queries that goes by width of links."""

USED_EXTRA_RATIO = 0.9
"""Part of the budget's ratio that is used: the instances' fullest windows
differ (`policy.windowbudget`)."""


def even_share(
    shared: gateway.BudgetSettings, known_count: int
) -> windowbudget.BudgetShare:
    """Returns an instance's part where each has as much.

    Args:
        shared: What all have together.
        known_count: Instances that are known; 0 before any list of them, when
            there may be any number.
    """
    instances_count = max(MIN_INSTANCE_COUNT, known_count)
    return _share(shared, 1.0 / instances_count if known_count else 0.0)


def gather_share(
    shared: gateway.BudgetSettings,
    known_count: int,
    domain_count: int,
    link_ratio: float,
) -> windowbudget.BudgetShare:
    """Returns an instance's part for calls of queries.

    Queries are handed to those with wide links, and so is half of the slack,
    as much in each failure domain. All others need theirs where they have to
    run what they have handed over.

    Args:
        shared: What all have together.
        known_count: Instances that are known.
        domain_count: Failure domains.
        link_ratio: The instance's link over all of its failure domain.
    """
    even_ratio = 1.0 / max(MIN_INSTANCE_COUNT, known_count)
    wide_ratio = min(link_ratio / domain_count, 1.0 / MIN_INSTANCE_COUNT)
    return _share(
        shared,
        (1.0 - LINK_WEIGHTED_RATIO) * even_ratio
        + LINK_WEIGHTED_RATIO * wide_ratio,
    )


def update_shares(
    book: windowbudget.WindowBudget,
    settings: gateway.GatewaySettings,
    readers: readerelection.ReaderElection,
) -> None:
    """Gives an instance its parts, from the instances that it knows of."""
    even = even_share(settings.budget, readers.peak_instance_count)
    book.share = book.gather_share = even
    own_mbps = derivedsettings.delegation_link_mbps(settings)
    if own_mbps and readers.peak_neighbour_mbps:
        book.gather_share = gather_share(
            settings.budget,
            readers.peak_instance_count,
            len(settings.failure_domains),
            own_mbps / (own_mbps + readers.peak_neighbour_mbps),
        )


def _share(
    shared: gateway.BudgetSettings, slack_ratio: float
) -> windowbudget.BudgetShare:
    slack_count = USED_SLACK_RATIO * shared.slack_count * slack_ratio
    return windowbudget.BudgetShare(
        ratio=USED_EXTRA_RATIO * shared.ratio,
        slack_count=slack_count,
        window_ms=shared.window_ms,
    )
