"""Failure domains that operators have evacuated: their upstreams get nothing.

What was read later holds, whoever read it. After the store's return from an
older copy an evacuation that the copy lacks is kept until operators had time to
write it again; its removal there ends it at once.
"""

import collections.abc
import dataclasses

from hyssoptack.core import position

REWRITE_GRACE_MS = 2_000.0
"""Time that operators need to write an evacuation again after such a return."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class EvacuationChange:
    """One evacuation that was asked for, or ended.

    Attributes:
        failure_domain: The failure domain.
        ended: Whether its upstreams may be called again.
        store_position: Where in the store's history.
    """

    failure_domain: str
    ended: bool
    store_position: position.Position


class Evacuations:
    """One instance's view of the evacuated failure domains."""

    def __init__(self) -> None:
        self.store_position = position.START
        self._listed: frozenset[str] = frozenset()
        self._kept_until_ms: dict[str, float] = {}

    def evacuated_domains(self, now_ms: float) -> frozenset[str]:
        """Returns the failure domains whose upstreams must get nothing."""
        kept = (
            domain
            for domain, until_ms in self._kept_until_ms.items()
            if until_ms > now_ms
        )
        return self._listed.union(kept)

    def replace_all(
        self, domains: frozenset[str], at: position.Position, now_ms: float
    ) -> None:
        """Takes the whole list, unless what is known is newer.

        Args:
            domains: All failure domains that are evacuated.
            at: Where in the store's history it was read.
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
        """Takes all changes up to a position, but those known already.

        Args:
            changes: The changes in their order; several may be of one write,
                and so stand at one position.
            at: Up to where nothing else had changed.
        """
        known_at = self.store_position
        for change in changes:
            if change.store_position <= known_at:
                continue
            if change.ended:
                self._listed -= {change.failure_domain}
                self._kept_until_ms.pop(change.failure_domain, None)
            else:
                self._listed |= {change.failure_domain}
        self.store_position = max(self.store_position, at)
