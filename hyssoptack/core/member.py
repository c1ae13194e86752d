"""Records of instances as other instances see them."""

import dataclasses

from hyssoptack.core import decoding


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """An instance of the query daemon.

    Attributes:
        instance_id: Id from the instance's settings.
        incarnation: Id of one run of the process.
        failure_domain: Failure domain that the instance runs in.
        peer_address: `IP:port` for peer messages, as reachable from the reader.
        operator_address: `IP:port` of the operator port.
        leaving: Whether the instance has announced that it leaves.
    """

    instance_id: str
    incarnation: str
    failure_domain: str
    peer_address: str
    operator_address: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peer:
    """Another gateway instance, as registered in the platform's store.

    Attributes:
        instance_id: Id of the instance.
        failure_domain: Failure domain that the instance runs in.
        address: Address for peer messages.
        link_mbps: Bandwidth of its network link in Mbit/s; 0 if unknown.
    """

    instance_id: str
    failure_domain: str
    address: str
    link_mbps: decoding.Finite = 0.0
