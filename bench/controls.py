"""Access to the stand-ins and instances of a running fleet over HTTP."""

import typing

import urllib3

from hyssoptack.core import catalog


class FleetError(Exception):
    """Raised when a fleet does not reach the state that a run needs."""


class Controls:
    """Base class of the fleet with the requests to its processes.

    The subclass provides the addresses.
    """

    http: urllib3.PoolManager
    catalog: catalog.Catalog
    domains: list[str]
    store_address: typing.Callable[[str], str]
    members_address: typing.Callable[[str], str]
    wan_address: typing.Callable[[], str]
    instance: typing.Callable[[str], dict]
    _shard_of: typing.Callable[[str], tuple[catalog.Service, catalog.Shard]]

    def post(self, address: str, path: str, body: dict) -> dict:
        """Posts JSON to a stand-in and returns the JSON response."""
        response = self.http.request(
            "POST", f"http://{address}{path}", json=body
        )
        if response.status != 200:
            raise FleetError(f"{address}{path}: {response.data!r}")
        return response.json()

    def get(self, address: str, path: str) -> dict:
        """Returns the JSON response of a stand-in or an operator port."""
        return self.http.request("GET", f"http://{address}{path}").json()

    def set_behaviour(self, upstream_id: str, **fields: object) -> None:
        """Changes an upstream's behaviour."""
        self.post(self.upstream(upstream_id).address, "/behaviour", fields)

    def upstream_counters(self, upstream_id: str, brief: bool = True) -> dict:
        """Returns an upstream's counters, without its answer log if brief."""
        path = "/account?brief=1" if brief else "/account"
        return self.get(self.upstream(upstream_id).address, path)

    def upstreams_over_limit(self, service: str) -> list[str]:
        """Returns the upstreams that got more connections than they accept."""
        found = []
        for upstream_id in self.upstream_ids(service):
            account = self.upstream_counters(upstream_id)
            limit_count = self.upstream(upstream_id).connection_limit_count
            if (
                account["over_limit_count"]
                or account["connection_peak_count"] > limit_count
            ):
                found.append(upstream_id)
        return found

    def upstream(self, upstream_id: str) -> catalog.Upstream:
        """Returns the catalog entry of an upstream."""
        return self._shard_of(upstream_id)[0].upstreams[upstream_id]

    def upstream_ids(self, service: str) -> list[str]:
        """Returns the ids of a service's upstreams."""
        return list(self.catalog.services[service].upstreams)

    def set_store_faults(self, **fields: object) -> None:
        """Changes the faults of the store."""
        self.post(self.store_address(self.domains[0]), "/faults", fields)

    def set_instance_list_faults(self, **fields: object) -> None:
        """Changes the faults of the instance list."""
        self.post(self.members_address(self.domains[0]), "/faults", fields)

    def set_partitions(self, pairs: list[tuple[str, str]]) -> None:
        """Cuts the connections between these pairs of domains and no others."""
        self.post(
            self.wan_address(),
            "/faults",
            {"cut": [list(each) for each in pairs]},
        )

    def status(self, instance_id: str) -> dict:
        """Returns the status document of an instance."""
        address = self.instance(instance_id)["operator_address"]
        return self.get(address, "/status")
