"""What a gateway's parts need of its settings."""

from hyssoptack.core import member
from hyssoptack.policy import loadbalancer
from hyssoptack.settings import gateway


def load_balancer_settings(
    settings: gateway.GatewaySettings,
) -> loadbalancer.LoadBalancerSettings:
    """Returns how upstreams are weighed."""
    return loadbalancer.LoadBalancerSettings(
        failure_domain=settings.failure_domain,
        crossing_ratio=settings.crossing_ratio,
        mechanisms=settings.mechanisms,
    )


def own_peer(settings: gateway.GatewaySettings) -> member.Peer:
    """Returns an instance as others know it."""
    return member.Peer(
        instance_id=settings.instance_id,
        failure_domain=settings.failure_domain,
        address=settings.peer_address,
        link_mbps=settings.link_mbps,
    )


def delegation_link_mbps(settings: gateway.GatewaySettings) -> float:
    """Returns the width by which queries are handed over; 0 for never."""
    return settings.link_mbps if settings.mechanisms.handing_over else 0.0
