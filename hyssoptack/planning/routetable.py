"""Finds the route of a request and the services that it is sent to."""

import dataclasses
import enum

from hyssoptack.core import traffic


class RouteMiss(enum.Enum):
    """Reason why no route was found."""

    NOT_CONFIGURED = "no_configuration_yet"
    NO_ROUTE = "no_route"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteMatch:
    """A route, and the services that this request is sent to.

    Attributes:
        route: The route.
        services: Names of the services, one for each part of the request.
    """

    route: traffic.Route
    services: tuple[str, ...]


class RouteTable:
    """The routes of one configuration, by host, longest prefix first.

    A traffic split uses smooth weighted round robin, so that every short
    sequence of requests keeps the weights too.

    Attributes:
        configuration: The configuration; None if there is none yet.
    """

    def __init__(self, configuration: traffic.Configuration | None):
        self.configuration = configuration
        self._by_host: dict[str, list[traffic.Route]] = {}
        self._credit: dict[str, dict[str, float]] = {}
        routes = configuration.routes if configuration else ()
        for route in sorted(routes, key=lambda each: -len(each.prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def find(self, host: str, path: str) -> RouteMatch | RouteMiss:
        """Returns the route of a request and its services.

        Args:
            host: The host that the caller named.
            path: The path without its query.

        Returns:
            The route with the longest prefix that matches the path, or the
            reason why there is none.
        """
        if self.configuration is None:
            return RouteMiss.NOT_CONFIGURED
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return RouteMatch(route=route, services=self._services(route))
        return RouteMiss.NO_ROUTE

    def _services(self, route: traffic.Route) -> tuple[str, ...]:
        match route.target:
            case traffic.OneService(service=service):
                return (service,)
            case traffic.AllShards(shards=shards):
                return shards
            case traffic.Split(shares=shares):
                return (self._next_share(route.name, shares),)

    def _next_share(
        self, route_name: str, shares: tuple[traffic.Share, ...]
    ) -> str:
        credit = self._credit.setdefault(route_name, {})
        total = sum(each.weight for each in shares)
        for each in shares:
            credit[each.service] = credit.get(each.service, 0.0) + each.weight
        chosen = max(shares, key=lambda each: credit[each.service])
        credit[chosen.service] -= total
        return chosen.service
