"""What the parts of an instance's rate limiting share."""

import collections.abc
import dataclasses

from hyssoptack.core import member
from hyssoptack.gateway import ownerranking
from hyssoptack.gateway import ratelimitcheck
from hyssoptack.gateway import ratelimitreport
from hyssoptack.gateway import tokencollection
from hyssoptack.ratelimit import ledger
from hyssoptack.ratelimit import share

FarPeers = collections.abc.Callable[[], collections.abc.Sequence[member.Peer]]
"""Returns some instances of the other failure domains."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RateLimitContext:
    """The shared state of an instance's rate limiting.

    Attributes:
        own: This instance.
        bounds: How operators check the limits.
        domain_count: Number of failure domains.
        send: Sends a message to an address.
        far_peers: Returns some instances of the other failure domains.
        ask_ids: Ids of the permit requests of this instance.
        ranking: Candidates for owner of each bucket.
        limits: The limit that applies to each team.
        ledger: The buckets that this instance owns.
        report: Log lines and metrics.
    """

    own: member.Peer
    bounds: share.LimitBounds
    domain_count: int
    send: tokencollection.Send
    far_peers: FarPeers
    ask_ids: collections.abc.Iterator[int]
    ranking: ownerranking.OwnerRanking
    limits: ratelimitcheck.LimitVersions
    ledger: ledger.Ledger
    report: ratelimitreport.RateLimitReport
