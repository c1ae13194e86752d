"""Connection limits of instances that share an upstream."""

import pytest

from hyssoptack.balancing import connections


@pytest.mark.parametrize(
    ("most", "own", "other"),
    [(31, 4, 5), (110, 3, 6), (26, 2, 6), (530, 26, 52)],
)
def test_all_instances_together_stay_within_the_limit(most, own, other):
    # An upstream in a domain with `own` instances is also called by the `other`
    # instances outside it.
    inside = connections.InstanceCounts(
        same_domain_count=own, other_domain_count=other
    )
    outside = connections.InstanceCounts(
        same_domain_count=other, other_domain_count=own + other // 2
    )
    total = own * connections.connection_limit_count(most, True, inside)
    total += other * connections.connection_limit_count(most, False, outside)
    assert total <= most


def test_the_limit_is_never_below_the_minimum():
    counts = connections.InstanceCounts(
        same_domain_count=600, other_domain_count=2_600
    )
    least = connections.MIN_CONNECTION_COUNT
    assert connections.connection_limit_count(30, True, counts) == least
    assert connections.connection_limit_count(30, False, counts) == least
