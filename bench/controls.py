"""Asks and changes the stand-ins and instances of a running fleet."""

import typing

import urllib3

from hyssoptack.core import catalog


class FleetError(Exception):
    """The fleet could not be brought to where a run needs it."""


class Controls:
    """What a test asks of a fleet; the fleet knows the addresses."""

    http: urllib3.PoolManager
    catalog: catalog.Catalog
    domains: list[str]
    store_address: typing.Callable[[str], str]
    members_address: typing.Callable[[str], str]
    wan_address: typing.Callable[[], str]
    instance: typing.Callable[[str], dict]
    _shard_of: typing.Callable[[str], tuple[catalog.Service, catalog.Shard]]

    def post(self, address: str, path: str, body: dict) -> dict:
        """Posts JSON to a stand-in."""
        response = self.http.request(
            "POST", f"http://{address}{path}", json=body
        )
        if response.status != 200:
            raise FleetError(f"{address}{path}: {response.data!r}")
        return response.json()

    def get(self, address: str, path: str) -> dict:
        """Gets JSON from a stand-in or an operator port."""
        return self.http.request("GET", f"http://{address}{path}").json()

    def set_behaviour(self, upstream_id: str, **fields: object) -> None:
        """Changes an upstream's behaviour."""
        self.post(self.upstream(upstream_id).address, "/behaviour", fields)

    def upstream_counters(self, upstream_id: str, brief: bool = True) -> dict:
        """Returns what an upstream counted."""
        path = "/account?brief=1" if brief else "/account"
        return self.get(self.upstream(upstream_id).address, path)

    def upstream(self, upstream_id: str) -> catalog.Upstream:
        """Returns an upstream's record."""
        return self._shard_of(upstream_id)[0].upstreams[upstream_id]

    def upstream_ids(self, service: str) -> list[str]:
        """Returns a service's upstreams."""
        return list(self.catalog.services[service].upstreams)

    def set_store_faults(self, **fields: object) -> None:
        """Changes what goes wrong with the store."""
        self.post(self.store_address(self.domains[0]), "/faults", fields)

    def set_instance_list_faults(self, **fields: object) -> None:
        """Changes what goes wrong with the instance list."""
        self.post(self.members_address(self.domains[0]), "/faults", fields)

    def set_partitions(self, pairs: list[tuple[str, str]]) -> None:
        """Cuts pairs of domains off from each other; no others."""
        self.post(
            self.wan_address(),
            "/faults",
            {"cut": [list(each) for each in pairs]},
        )

    def status(self, instance_id: str) -> dict:
        """Returns an instance's status page."""
        address = self.instance(instance_id)["operator_address"]
        return self.get(address, "/status")
