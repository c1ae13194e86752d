"""Tests the choice of remote domains for shards without a local upstream."""

import collections

from hyssoptack.balancing import domaincover

DOMAINS = tuple(f"d{number}" for number in range(7))


def rotated_shards(shard_count):
    """Returns shards with upstreams in three of seven domains, in rotation."""
    return {
        f"s{number}": {DOMAINS[(number + step) % 7] for step in range(3)}
        for number in range(shard_count)
    }


def test_two_domains_evenly_share_the_shards_without_local_upstreams():
    for own in DOMAINS:
        found = domaincover.preferred_domains(own, rotated_shards(42))
        counts = collections.Counter(found.values())
        assert len(found) == 24
        assert sorted(counts.values()) == [12, 12]


def test_a_shard_is_assigned_to_a_domain_that_has_an_upstream_of_it():
    shard_domains = rotated_shards(42)
    found = domaincover.preferred_domains("d0", shard_domains)
    assert all(
        domain in shard_domains[shard] for shard, domain in found.items()
    )
    assert not any("d0" in shard_domains[shard] for shard in found)


def test_a_shard_without_any_upstream_has_no_preferred_domain():
    assert domaincover.preferred_domains("d0", {"s0": set(), "s1": {"d1"}}) == {
        "s1": "d1"
    }
