"""Renewal of the ownership of upstreams by an instance that stood still.

While an instance stands still, its peers may drop it and use the shares that
were its own. It may use them again once the lag of the membership has passed,
as all peers have seen it by then, or as soon as each peer that could use them
has confirmed that it counts this instance and has ended its calls to upstreams
that it does not own.

Which peers these are is known from a read of the instance list that began after
the stop: a peer uses shares only after it has been listed for the lag, so this
list has it. The list must have this instance as well: a peer that started while
this instance was not listed may not count it.
"""

import dataclasses

from hyssoptack.core import member

PEER_LIMIT_COUNT = 64
"""Most peers that are asked. In larger failure domains the owners of an
upstream rarely stand still together, and asking all peers costs too much."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Renewal:
    """One renewal, after one stop.

    Attributes:
        number: Number of the renewal, unique within the process.
        resumed_ms: Time at which the stop ended.
        awaited: Peers that have not confirmed yet, by incarnation; None while
            they are not known.
    """

    number: int
    resumed_ms: float
    awaited: dict[str, member.Member] | None = None

    @property
    def is_confirmed(self) -> bool:
        """Whether the peers are known and all have confirmed."""
        return self.awaited is not None and not self.awaited


def with_listing(
    renewal: Renewal,
    own_incarnation: str,
    listed: tuple[member.Member, ...],
    peers: dict[str, member.Member],
    read_started_ms: float,
) -> Renewal:
    """Returns the renewal after a read of the instance list.

    Args:
        renewal: The renewal.
        own_incarnation: Incarnation of this process.
        listed: Instances on the list.
        peers: Other instances of the failure domain that were listed or seen
            within the lag, by incarnation.
        read_started_ms: Time at which the read of the list began.
    """
    if renewal.awaited is not None or read_started_ms < renewal.resumed_ms:
        return renewal
    if all(each.incarnation != own_incarnation for each in listed):
        return renewal
    if len(peers) > PEER_LIMIT_COUNT:
        return renewal
    return dataclasses.replace(renewal, awaited=peers)


def with_confirmation(
    renewal: Renewal, number: int, incarnation: str
) -> Renewal:
    """Returns the renewal after a peer's confirmation of renewal `number`."""
    if renewal.awaited is None or number != renewal.number:
        return renewal
    awaited = {
        name: each
        for name, each in renewal.awaited.items()
        if name != incarnation
    }
    return dataclasses.replace(renewal, awaited=awaited)
