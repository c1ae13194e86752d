"""Parts of messages that carry the list of upstreams between gateways."""

import dataclasses

from hyssoptack.core import decoding
from hyssoptack.core import position
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
        listed_era: The store's era of that read; 0 if the sender, of an earlier
            release, does not tell.
        remaining_ms: Time until it is gone unless it registers again, in
            milliseconds; negative if another read is due to show that.
    """

    upstream: traffic.Upstream
    listed_revision: int
    remaining_ms: decoding.Finite
    listed_era: int = 0

    @property
    def listed_at(self) -> position.Position:
        """Position in the store's history of the last read that listed it."""
        return position.Position(self.listed_era, self.listed_revision)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Withdrawal:
    """An upstream that the sender does not use although the store lists it.

    Attributes:
        copied: The upstream as the older copy lists it from which the store has
            returned.
        remaining_ms: Time until the entry counts as written since, in
            milliseconds.
    """

    copied: traffic.Upstream
    remaining_ms: decoding.Finite


@dataclasses.dataclass(frozen=True, kw_only=True)
class Departure:
    """An upstream that the sender, or one of its neighbours, saw leave.

    Attributes:
        upstream_id: Id of the upstream.
        seen_at: Position in the store's history of the read that showed it.
        age_ms: Time since that read, in milliseconds.
    """

    upstream_id: str
    seen_at: position.Position
    age_ms: decoding.Finite


@dataclasses.dataclass(frozen=True, kw_only=True)
class Departures:
    """What has left, as far as the store may have forgotten it.

    Attributes:
        withdrawals: Listed upstreams that the sender does not use.
        departed: Upstreams that have left lately.
    """

    withdrawals: tuple[Withdrawal, ...] = ()
    departed: tuple[Departure, ...] = ()


NO_DEPARTURES = Departures()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListSummary:
    """What an instance says of its list with a query that it delegates.

    Attributes:
        revision: Store revision at which the list was read.
        is_observed: Whether the list is known to hold all running upstreams.
        era: The store's era of that read; 0 if the sender, of an earlier
            release, does not tell.
    """

    revision: int = 0
    is_observed: bool = False
    era: int = 0

    @property
    def read_at(self) -> position.Position:
        """Position in the store's history at which the list was read."""
        return position.Position(self.era, self.revision)


UNKNOWN_LIST = ListSummary()
