"""One instance's part of the extra calls that all may make together."""

from hyssoptack.policy import extrawindow
from hyssoptack.settings import gateway

INSTANCES_LEAST_COUNT = 12
"""An instance takes no more of the budget's slack than if there were so many:
one whose view is small may be cut off from the others."""

SLACK_SHARE_RATIO = 0.9
"""Part of the slack that is used at all: calls arrive later than they are paid
for, so that a window may hold some of the one before."""

EXTRA_RATIO_SHARE = 0.9
"""Part of the budget's ratio that is used: the instances' fullest windows
differ (`policy.extrawindow`)."""


def share(
    shared: gateway.BudgetSettings, known_count: int
) -> extrawindow.Share:
    """Returns an instance's part.

    Args:
        shared: What all have together.
        known_count: Instances that are known; 0 before any list of them, when
            there may be any number.
    """
    instances_count = max(INSTANCES_LEAST_COUNT, known_count)
    slack_count = SLACK_SHARE_RATIO * shared.slack_count / instances_count
    if not known_count:
        slack_count = 0.0
    return extrawindow.Share(
        ratio=EXTRA_RATIO_SHARE * shared.ratio,
        slack_count=slack_count,
        window_ms=shared.window_ms,
    )
