"""Creates the rate limiter of a gateway whose settings limit teams."""

import typing

from hyssoptack.gateway import metrics
from hyssoptack.gateway import replicatedview
from hyssoptack.gateway import requesthandler
from hyssoptack.settings import gateway

if typing.TYPE_CHECKING:
    from hyssoptack.gateway import ratelimitcontext
    from hyssoptack.gateway import ratelimiter
    from hyssoptack.gateway import tokencollection


def limit_rates(
    settings: gateway.GatewaySettings,
    view: replicatedview.ReplicatedView,
    handler: requesthandler.RequestHandler,
    collectors: metrics.Metrics,
    send: "tokencollection.Send",
    far_peers: "ratelimitcontext.FarPeers",
) -> "ratelimiter.RateLimiter | None":
    """Lets requests of teams with a rate limit wait for permits.

    Args:
        settings: The gateway's settings.
        view: The configuration in force.
        handler: The handler of the gateway's requests.
        collectors: The gateway's metrics.
        send: Sends a message to an address.
        far_peers: Returns some instances of the other failure domains.

    Returns:
        The rate limiter; None if the platform checks no limits.
    """
    if settings.rate_limit is None:
        return None
    # Imported where it is used: it takes a tenth of the time of all imports.
    from hyssoptack.gateway import ratelimiter
    from hyssoptack.gateway import requestpermits

    limiter = ratelimiter.for_instance(settings, view, send, far_peers)
    handler.request_permits = requestpermits.RequestPermits(
        limiter, handler.serve_identified, handler.refusals.refuse_limited
    )
    collectors.on_render.append(limiter.render)
    return limiter
