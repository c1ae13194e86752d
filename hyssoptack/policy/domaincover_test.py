"""Which domains a query's calls go to, where the own one has no upstream."""

import collections

from hyssoptack.policy import domaincover

DOMAINS = tuple(f"d{number}" for number in range(7))


def rotated(shard_count):
    """Shards with upstreams in three of seven domains each, in turn."""
    return {
        f"s{number}": {DOMAINS[(number + step) % 7] for step in range(3)}
        for number in range(shard_count)
    }


def test_two_domains_share_what_the_own_one_lacks():
    for own in DOMAINS:
        found = domaincover.preferred_domains(own, rotated(42))
        counts = collections.Counter(found.values())
        assert len(found) == 24
        assert sorted(counts.values()) == [12, 12]


def test_a_shard_only_goes_where_it_has_an_upstream():
    places = rotated(42)
    found = domaincover.preferred_domains("d0", places)
    assert all(domain in places[shard] for shard, domain in found.items())
    assert not any("d0" in places[shard] for shard in found)


def test_a_shard_without_any_upstream_prefers_nothing():
    assert domaincover.preferred_domains("d0", {"s0": set(), "s1": {"d1"}}) == {
        "s1": "d1"
    }
