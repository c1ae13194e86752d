"""Parts of messages that carry the list of upstreams between gateways."""

import dataclasses

from hyssoptack.core import decoding
from hyssoptack.core import traffic


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListChange:
    """Difference between two lists of upstreams.

    Attributes:
        base_digest: Digest of the list that the change applies to.
        digest: Digest of the resulting list.
        changed: Entries that are new or different.
        removed: Ids of removed entries.
    """

    base_digest: int
    digest: int
    changed: tuple[traffic.Upstream, ...] = ()
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeptUpstream:
    """An upstream that the sender uses although the store does not list it.

    Attributes:
        upstream: The upstream as it was last listed.
        listed_revision: Store revision of the last read that listed it.
        remaining_ms: Time until it is gone unless it registers again, in
            milliseconds; negative if another read is due to show that.
    """

    upstream: traffic.Upstream
    listed_revision: int
    remaining_ms: decoding.Finite


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListSummary:
    """What an instance says of its list with a query that it delegates.

    Attributes:
        revision: Store revision at which the list was read.
        is_observed: Whether the list is known to hold all running upstreams.
    """

    revision: int = 0
    is_observed: bool = False


UNKNOWN_LIST = ListSummary()
