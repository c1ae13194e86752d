"""Selects failure domains for shards that have no upstream in the local one.

If each of 42 shards has upstreams in 3 of 7 domains, 24 shards have none in the
local domain. Two other domains together have upstreams for all 24, so sending
the calls to those two instead of to all six needs only two messages and two
replies. A shard that is in both goes to the domain with fewer calls, so that
neither delays the answer.
"""

import collections
import collections.abc

from hyssoptack.membership import rendezvous


def preferred_domains(
    local_domain: str, domains: collections.abc.Mapping[str, set[str]]
) -> dict[str, str]:
    """Returns the preferred domain of each shard that the local domain lacks.

    Args:
        local_domain: The local failure domain.
        domains: For each shard, the failure domains of its upstreams.
    """
    remote = {
        shard: found
        for shard, found in domains.items()
        if found and local_domain not in found
    }
    cover = _cover(local_domain, list(remote.values()))
    counts = dict.fromkeys(cover, 0)
    found: dict[str, str] = {}
    # Shards with the fewest candidate domains are assigned first.
    for shard in sorted(
        remote, key=lambda each: len(remote[each] & counts.keys())
    ):
        best = min(
            (each for each in cover if each in remote[shard]), key=counts.get
        )
        counts[best] += 1
        found[shard] = best
    return found


def _cover(local_domain: str, shard_domains: list[set[str]]) -> list[str]:
    """Returns a small set of domains that covers all shards, found greedily."""
    total_counts = collections.Counter(
        each for at in shard_domains for each in at
    )
    name = f"cover/{local_domain}"
    uncovered = shard_domains
    cover: list[str] = []
    while uncovered:
        counts = collections.Counter(each for at in uncovered for each in at)
        best = max(
            counts,
            key=lambda each: (
                counts[each],
                total_counts[each],
                rendezvous.rank(name, each),
            ),
        )
        cover.append(best)
        uncovered = [at for at in uncovered if best not in at]
    return cover
