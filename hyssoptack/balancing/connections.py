"""Limits the connections of one instance to an upstream.

An upstream resets connections above its limit, and the instances share this
limit without coordination: each takes a part that depends on the number of
instances it knows of.
"""

import dataclasses

OWN_RATIO = 0.5
"""Part of an upstream's connections for all instances of its own failure
domain, which send it most of its calls."""

OTHER_RATIO = 0.3
"""Part for all other instances, which call it for hedges and when the upstreams
of their own domain are slow. The rest covers instances that are not known
yet."""

MIN_CONNECTION_COUNT = 2
"""Lowest limit of an instance, so that a stalled call does not block all
others. Where very many instances share an upstream, these limits add up to more
connections than it accepts; that works only because connections are closed soon
after use."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceCounts:
    """Numbers of instances that share the upstreams.

    Attributes:
        same_domain_count: Instances in the failure domain of this instance,
            including itself.
        other_domain_count: Instances in all other failure domains.
    """

    same_domain_count: int = 4
    other_domain_count: int = 8


def connection_limit_count(
    max_connections_count: int, same_domain: bool, counts: InstanceCounts
) -> int:
    """Returns the number of connections an instance may hold to an upstream.

    Args:
        max_connections_count: Connections that the upstream accepts from all
            callers.
        same_domain: Whether it runs in the failure domain of the instance.
        counts: Numbers of the instances that share it.
    """
    if same_domain:
        share = (
            OWN_RATIO * max_connections_count / max(1, counts.same_domain_count)
        )
        return max(MIN_CONNECTION_COUNT, int(share))
    share = (
        OTHER_RATIO * max_connections_count / max(1, counts.other_domain_count)
    )
    return max(MIN_CONNECTION_COUNT, int(share))
