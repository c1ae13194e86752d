"""Which failure domains cover the shards that the own one has no upstream for.

Of 42 shards with upstreams in 3 of 7 domains each, 24 have none in the own one.
Two others hold all of these: calls that go to those two, rather than to all
six, take two messages there and back. Where both hold a shard, the one with
fewer gets it, so that neither is waited for.
"""

import collections
import collections.abc

from hyssoptack.policy import rendezvous


def preferred_domains(
    own_domain: str, domains: collections.abc.Mapping[str, set[str]]
) -> dict[str, str]:
    """Returns the domain that each shard's calls prefer, but for own ones.

    Args:
        own_domain: The own failure domain.
        domains: For each shard, where it has upstreams.
    """
    far = {
        shard: found
        for shard, found in domains.items()
        if found and own_domain not in found
    }
    cover = _cover(own_domain, list(far.values()))
    counts = dict.fromkeys(cover, 0)
    found: dict[str, str] = {}
    # Those that can go to one domain only go first.
    for shard in sorted(far, key=lambda each: len(far[each] & counts.keys())):
        best = min(
            (each for each in cover if each in far[shard]), key=counts.get
        )
        counts[best] += 1
        found[shard] = best
    return found


def _cover(own_domain: str, places: list[set[str]]) -> list[str]:
    """Returns few domains that have one of each shard's places."""
    totals = collections.Counter(each for at in places for each in at)
    name = f"cover/{own_domain}"
    missing = places
    cover: list[str] = []
    while missing:
        counts = collections.Counter(each for at in missing for each in at)
        best = max(
            counts,
            key=lambda each: (
                counts[each],
                totals[each],
                rendezvous.rank(name, each),
            ),
        )
        cover.append(best)
        missing = [at for at in missing if best not in at]
    return cover
