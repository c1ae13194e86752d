"""Counts the permits that instances hold ahead of demand.

Each instance states with a request what it holds or may still receive. Its
permits are that count, and those granted since, until they expire.
"""

import dataclasses

EXPIRY_MS = 3_000.0
"""Age at which the owner no longer counts a permit: the holder has dropped it
2 s after its request (`permits.EXPIRY_MS`)."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Held:
    permit_count: int
    at_ms: float


class Outstanding:
    """Permits held for one team by the instances of a failure domain."""

    def __init__(self) -> None:
        self._by_asker: dict[str, list[_Held]] = {}

    def state(self, asker_id: str, held_count: int, now_ms: float) -> None:
        """Replaces an instance's permits by the number that it states."""
        self._by_asker.pop(asker_id, None)
        self.grant(asker_id, held_count, now_ms)

    def grant(self, asker_id: str, permit_count: int, now_ms: float) -> None:
        """Adds permits granted to an instance ahead of its demand."""
        if permit_count > 0:
            self._by_asker.setdefault(asker_id, []).append(
                _Held(permit_count=permit_count, at_ms=now_ms)
            )

    def count(self, now_ms: float) -> int:
        """Returns the number of permits that have not expired."""
        total_count = 0
        for asker_id in list(self._by_asker):
            kept = [
                each
                for each in self._by_asker[asker_id]
                if now_ms - each.at_ms < EXPIRY_MS
            ]
            if kept:
                self._by_asker[asker_id] = kept
                total_count += sum(each.permit_count for each in kept)
            else:
                del self._by_asker[asker_id]
        return total_count
