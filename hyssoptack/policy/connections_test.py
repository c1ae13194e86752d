"""Shares of an upstream's connections."""

import pytest

from hyssoptack.policy import connections


@pytest.mark.parametrize(
    ("most", "own", "other"),
    [(31, 4, 5), (110, 3, 6), (26, 2, 6), (530, 26, 52)],
)
def test_all_instances_together_stay_within_the_limit(most, own, other):
    # An upstream of a domain with `own` instances is shared by all the others.
    inside = connections.InstanceCounts(
        same_domain_count=own, other_domain_count=other
    )
    outside = connections.InstanceCounts(
        same_domain_count=other, other_domain_count=own + other // 2
    )
    total = own * connections.connection_limit_count(most, True, inside)
    total += other * connections.connection_limit_count(most, False, outside)
    assert total <= most


def test_every_instance_may_call_whatever_the_crowd():
    crowd = connections.InstanceCounts(
        same_domain_count=600, other_domain_count=2_600
    )
    least = connections.MIN_CONNECTION_COUNT
    assert connections.connection_limit_count(30, True, crowd) == least
    assert connections.connection_limit_count(30, False, crowd) == least
