"""Derives settings of a gateway's components from the gateway settings."""

from hyssoptack.balancing import loadbalancer
from hyssoptack.core import member
from hyssoptack.settings import gateway


def load_balancer_settings(
    settings: gateway.GatewaySettings,
) -> loadbalancer.LoadBalancerSettings:
    """Returns the settings of the load balancer."""
    return loadbalancer.LoadBalancerSettings(
        failure_domain=settings.failure_domain,
        crossing_ratio=settings.crossing_ratio,
        mechanisms=settings.mechanisms,
    )


def own_peer(settings: gateway.GatewaySettings) -> member.Peer:
    """Returns the peer record under which others know this instance."""
    return member.Peer(
        instance_id=settings.instance_id,
        failure_domain=settings.failure_domain,
        address=settings.peer_address,
        link_mbps=settings.link_mbps,
    )


def delegation_link_mbps(settings: gateway.GatewaySettings) -> float:
    """Returns the link bandwidth for delegation, or 0 if it is disabled."""
    return settings.link_mbps if settings.mechanisms.handing_over else 0.0
