"""How many connections to an upstream one instance may hold.

An upstream resets what goes over its limit, and all instances share it without
talking about it: each takes a part by the number of instances it knows of.
"""

import dataclasses

OWN_RATIO = 0.5
"""Part of an upstream's connections for the instances of its own failure
domain, which send it most calls."""

OTHER_RATIO = 0.3
"""Part for all other instances, which come for hedges and when their own
upstreams are slow. The rest covers instances that are not known yet."""

MIN_CONNECTION_COUNT = 2
"""The least that an instance needs: a call that stalls must not stop all
others. Where very many instances share an upstream these add up to more than it
accepts; they then count on connections being closed soon after their use."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceCounts:
    """Instances that share the upstreams.

    Attributes:
        same_domain_count: Instances in this instance's failure domain, itself
            included.
        other_domain_count: All others.
    """

    same_domain_count: int = 4
    other_domain_count: int = 8


def connection_limit_count(
    max_connections_count: int, same_domain: bool, crowd: InstanceCounts
) -> int:
    """Returns how many connections an instance may hold to one upstream.

    Args:
        max_connections_count: What the upstream accepts from all callers.
        same_domain: Whether it runs in the instance's failure domain.
        crowd: The instances that share it.

    Returns:
        The limit.
    """
    if same_domain:
        share = (
            OWN_RATIO * max_connections_count / max(1, crowd.same_domain_count)
        )
        return max(MIN_CONNECTION_COUNT, int(share))
    share = (
        OTHER_RATIO * max_connections_count / max(1, crowd.other_domain_count)
    )
    return max(MIN_CONNECTION_COUNT, int(share))
