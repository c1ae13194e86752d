"""Tracks evacuated failure domains, whose upstreams receive no calls.

The read at the latest store position wins, whichever instance made it. After
the store is restored from an older copy, an evacuation that the copy lacks
stays in force until operators have had time to write it again. Its removal in
the restored store ends it at once.
"""

import collections.abc
import dataclasses

from hyssoptack.core import position

REWRITE_GRACE_MS = 2_000.0
"""How long an evacuation stays in force after a restore of the store that lost
it, so that operators can write it again."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class EvacuationChange:
    """The start or end of one evacuation.

    Attributes:
        failure_domain: The failure domain.
        ended: Whether its upstreams may be called again.
        store_position: The position of the change in the store's history.
    """

    failure_domain: str
    ended: bool
    store_position: position.Position


class Evacuations:
    """One instance's view of the evacuated failure domains.

    Attributes:
        store_position: The store position up to which the view is current.
    """

    def __init__(self) -> None:
        self.store_position = position.START
        self._listed: frozenset[str] = frozenset()
        self._kept_until_ms: dict[str, float] = {}

    def evacuated_domains(self, now_ms: float) -> frozenset[str]:
        """Returns the failure domains whose upstreams must receive no calls."""
        kept = (
            domain
            for domain, until_ms in self._kept_until_ms.items()
            if until_ms > now_ms
        )
        return self._listed.union(kept)

    def replace_all(
        self, domains: frozenset[str], at: position.Position, now_ms: float
    ) -> None:
        """Replaces the list of evacuated domains, unless the list is older.

        Args:
            domains: All failure domains that are evacuated.
            at: The store position at which the list was read.
            now_ms: The time now.
        """
        if at < self.store_position:
            return
        if at.era > self.store_position.era:
            until_ms = now_ms + REWRITE_GRACE_MS
            for domain in self.evacuated_domains(now_ms) - domains:
                self._kept_until_ms[domain] = until_ms
        self._listed = domains
        self.store_position = at

    def apply_changes(
        self,
        changes: collections.abc.Iterable[EvacuationChange],
        at: position.Position,
    ) -> None:
        """Applies changes up to a position, ignoring those already known.

        Args:
            changes: The changes in order. Changes made by the same write have
                the same position.
            at: The store position up to which there are no other changes.
        """
        known_position = self.store_position
        for change in changes:
            if change.store_position <= known_position:
                continue
            if change.ended:
                self._listed -= {change.failure_domain}
                self._kept_until_ms.pop(change.failure_domain, None)
            else:
                self._listed |= {change.failure_domain}
        self.store_position = max(self.store_position, at)
