"""Instances as other instances know them."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """One entry instance.

    Attributes:
        instance_id: Its name, from its settings.
        incarnation: Unique to one run of the process.
        failure_domain: Where it runs.
        peer_address: `IP:port` on which it takes peer messages, as seen from
            the reader.
        operator_address: `IP:port` of its operator port.
        leaving: True once it has said that it leaves.
    """

    instance_id: str
    incarnation: str
    failure_domain: str
    peer_address: str
    operator_address: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peer:
    """Another instance, as it entered itself.

    Attributes:
        instance_id: Its name.
        failure_domain: Where it runs.
        address: Where it takes peers' messages.
        link_mbps: What its network link carries; 0 where that is not known.
    """

    instance_id: str
    failure_domain: str
    address: str
    link_mbps: float = 0.0
