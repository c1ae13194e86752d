"""Blocked requests in the platform's store, so that they outlive all instances.

Instances tell each other of blocked requests, and forget them when all of them
end at once. Those that read the list of instances for their failure domain find
what is blocked under the same prefix, at no call more, and write what is
missing there; an instance that starts reads it with that list. The store takes
the entries away by itself once they are over. While it is away nothing is lost
but this.
"""

import dataclasses
import time

import expression
import msgspec

from hyssoptack.core import clock
from hyssoptack.core import gatewaymessage
from hyssoptack.events import log
from hyssoptack.http1 import message
from hyssoptack.platform import keyvalue
from hyssoptack.policy import quarantine
from hyssoptack.policy import suspectrecord

STORED_COUNT = 32
"""Most requests that are written at a time, the newest: the store takes 32
writes in one call, and more than a few such requests at a time are made up."""

LEASE_MAX_MS = 600_000.0
"""The longest lease that the store grants; an entry that lasts longer is
written again."""

READ_AGE_MS = 10_000.0
"""A stored entry may be so old, by the period of the readings (5 s) and by
answers that are some seconds old: an answer since outweighs it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredEntry:
    """A blocked request as it is stored.

    Times are of day, as no other clock goes on when a machine starts anew; they
    differ, and jump, by some seconds of the minutes that they are about.

    Attributes:
        fingerprint: The request.
        blocked_count: How often in a row it was blocked.
        until_unix_ms: Until when it is.
        over_unix_ms: When it is forgotten that nobody asks for.
    """

    fingerprint: str
    blocked_count: int
    until_unix_ms: float
    over_unix_ms: float


def _unix_ms() -> float:
    return time.time() * message.MS_PER_S


class QuarantineStore:
    """One instance's part in what is stored."""

    def __init__(
        self,
        known: quarantine.SuspectRegistry,
        store: keyvalue.Client,
        prefix: str,
    ):
        """Makes the part of one instance.

        Args:
            known: What is held against requests.
            store: The platform's store.
            prefix: Start of the keys; a fingerprint follows.
        """
        self._known = known
        self._store = store
        self._prefix = prefix
        self._seen: dict[str, int] = {}

    async def reconcile(self, items: list[keyvalue.Item]) -> None:
        """Takes what is stored, and stores what is missing there.

        Args:
            items: All items under the prefix, or more.
        """
        mine = [each for each in items if each.key.startswith(self._prefix)]
        stored = self._take(mine)
        now_ms = clock.now_ms()
        missing = [
            (name, entry)
            for name, entry in self._known.newest_quarantined(
                STORED_COUNT, now_ms
            )
            if stored.get(name, 0) < entry.quarantine_count
        ]
        if missing:
            await self._write(missing, now_ms)
        cleared = [each for each in stored if self._known.was_cleared(each)]
        if cleared:
            keys = [self._prefix + each for each in cleared]
            self._note("cleared", cleared, await self._store.delete(keys))

    def _take(self, items: list[keyvalue.Item]) -> dict[str, int]:
        """Takes each entry once; returns how often each was blocked."""
        stored: dict[str, int] = {}
        seen: dict[str, int] = {}
        for item in items:
            try:
                entry = msgspec.json.decode(item.value, type=StoredEntry)
            except msgspec.DecodeError as error:
                log.write(log.Event.PEER_UNREADABLE, reason=str(error))
                continue
            stored[entry.fingerprint] = entry.blocked_count
            seen[item.key] = item.revision
            if self._seen.get(item.key) != item.revision:
                self._tell(entry)
        self._seen = seen
        return stored

    def _tell(self, entry: StoredEntry) -> None:
        unix_ms = _unix_ms()
        told = gatewaymessage.Suspect(
            fingerprint=entry.fingerprint,
            age_ms=READ_AGE_MS,
            blocked_count=entry.blocked_count,
            blocked_for_ms=max(0.0, entry.until_unix_ms - unix_ms),
            kept_for_ms=max(0.0, entry.over_unix_ms - unix_ms),
        )
        self._known.merge_notice(told, "store", clock.now_ms())

    async def _write(
        self,
        missing: list[tuple[str, suspectrecord.SuspectRecord]],
        now_ms: float,
    ) -> None:
        ttl_ms = max(entry.expires_ms - now_ms for _, entry in missing)
        unix_ms = _unix_ms() - now_ms
        items = {
            self._prefix + name: msgspec.json.encode(
                StoredEntry(
                    fingerprint=name,
                    blocked_count=entry.quarantine_count,
                    until_unix_ms=unix_ms + entry.quarantined_until_ms,
                    over_unix_ms=unix_ms + entry.expires_ms,
                )
            )
            for name, entry in missing
        }
        match await self._store.grant_lease(min(LEASE_MAX_MS, ttl_ms)):
            case expression.Result(tag="ok", ok=lease):
                result = await self._store.put_all(items, lease)
            case granted:
                result = granted
        self._note("stored", [name for name, _ in missing], result)

    def _note(
        self,
        what: str,
        names: list[str],
        result: expression.Result[object, keyvalue.Failure],
    ) -> None:
        """Logs what was written; what failed is tried at the next reading."""
        error = result.error.detail if result.is_error() else ""
        log.write(
            log.Event.BLOCKED_STORED, what=what, fingerprints=names, error=error
        )
