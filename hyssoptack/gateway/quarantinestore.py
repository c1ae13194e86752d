"""Keeps quarantined requests in the platform's store, so that they persist.

Instances share quarantined requests with each other, but would lose them if all
instances ended at once. So the instances that read the list of instances for
their failure domain also read the quarantined requests, which are stored under
the same prefix and need no further call, and write those that are missing. An
instance that starts reads them with that list. The store removes the entries
when their lease ends. While the store is unavailable, only this persistence is
lost.
"""

import dataclasses
import time

import expression
import msgspec

from hyssoptack.core import clock
from hyssoptack.core import decoding
from hyssoptack.core import gatewaymessage
from hyssoptack.core import position
from hyssoptack.events import log
from hyssoptack.gateway import ignoredentries
from hyssoptack.http1 import message
from hyssoptack.platform import keyvalue
from hyssoptack.quarantine import quarantine
from hyssoptack.quarantine import suspectrecord

STORED_COUNT = keyvalue.TRANSACTION_LIMIT_COUNT
"""Maximum number of requests that are written at a time, newest first. More
than a few such requests at a time are unlikely to be genuine."""

LEASE_MAX_MS = 600_000.0
"""The longest lease that the store grants; an entry that lasts longer is
written again."""

READ_AGE_MS = 10_000.0
"""Assumed age of a stored entry: the read period (5 s) plus a few seconds for
stale reads. An upstream's answer to the request within this time overrides the
entry."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredEntry:
    """A quarantined request in its stored form.

    Times are wall-clock times, as no other clock continues over a machine's
    restart. The clocks of machines differ, and jump, by some seconds, while the
    periods last minutes.

    Attributes:
        fingerprint: Fingerprint of the request.
        blocked_count: Number of times in a row that it was quarantined.
        until_unix_ms: End of the quarantine, in Unix time.
        over_unix_ms: Time at which the record expires if nobody sends the
            request, in Unix time.
    """

    fingerprint: str
    blocked_count: decoding.PositiveCount
    until_unix_ms: float
    over_unix_ms: float


_ENTRY = msgspec.json.Decoder(StoredEntry)


def _unix_ms() -> float:
    return time.time() * message.MS_PER_S


class QuarantineStore:
    """Reads and writes the stored quarantined requests for one instance."""

    def __init__(
        self,
        registry: quarantine.SuspectRegistry,
        store: keyvalue.Client,
        prefix: str,
    ):
        """Creates the quarantine store of one instance.

        Args:
            registry: The instance's records of suspected requests.
            store: Client of the platform's store.
            prefix: Prefix of the keys, which end with a fingerprint.
        """
        self._registry = registry
        self._store = store
        self._prefix = prefix
        self._seen: dict[str, position.Position] = {}
        self._ignored = ignoredentries.IgnoredEntries(log.Event.PEER_UNREADABLE)

    async def reconcile(self, listing: keyvalue.Listing) -> None:
        """Merges the stored entries, and writes and deletes entries as needed.

        Args:
            listing: All stored items under the prefix; other items are ignored.
        """
        stored = self._merge_entries(listing)
        now_ms = clock.now_ms()
        missing = [
            (fingerprint, entry)
            for fingerprint, entry in self._registry.newest_quarantined(
                STORED_COUNT, now_ms
            )
            if stored.get(fingerprint, 0) < entry.quarantine_count
        ]
        if missing:
            await self._write(missing, now_ms)
        cleared = [each for each in stored if self._registry.was_cleared(each)]
        limit_count = keyvalue.TRANSACTION_LIMIT_COUNT
        for start in range(0, len(cleared), limit_count):
            batch = cleared[start : start + limit_count]
            keys = [self._prefix + each for each in batch]
            self._log_write("cleared", batch, await self._store.delete(keys))

    def _merge_entries(self, listing: keyvalue.Listing) -> dict[str, int]:
        """Merges each new entry; returns the quarantine counts of all."""
        stored: dict[str, int] = {}
        seen: dict[str, position.Position] = {}
        ignored: dict[str, str] = {}
        for item in listing.items:
            if not item.key.startswith(self._prefix):
                continue
            match self._parse(item):
                case expression.Result(tag="ok", ok=entry):
                    pass
                case expression.Result(error=detail):
                    ignored[item.key] = detail
                    continue
            stored[entry.fingerprint] = entry.blocked_count
            # The same revision of another era may have another content.
            seen[item.key] = position.Position(listing.era, item.revision)
            if self._seen.get(item.key) != seen[item.key]:
                self._merge_entry(entry)
        self._seen = seen
        self._ignored.replace(ignored)
        return stored

    def _parse(
        self, item: keyvalue.Item
    ) -> expression.Result[StoredEntry, str]:
        """Decodes an entry; returns an error text if it is invalid."""
        found = decoding.decode(_ENTRY.decode, item.value)
        if found.is_ok() and self._prefix + found.ok.fingerprint != item.key:
            return expression.Error("expected the fingerprint of the key")
        return found

    def _merge_entry(self, entry: StoredEntry) -> None:
        unix_ms = _unix_ms()
        suspect = gatewaymessage.Suspect(
            fingerprint=entry.fingerprint,
            age_ms=READ_AGE_MS,
            blocked_count=entry.blocked_count,
            blocked_for_ms=max(0.0, entry.until_unix_ms - unix_ms),
            kept_for_ms=max(0.0, entry.over_unix_ms - unix_ms),
        )
        self._registry.merge_notice(suspect, "store", clock.now_ms())

    async def _write(
        self,
        missing: list[tuple[str, suspectrecord.SuspectRecord]],
        now_ms: float,
    ) -> None:
        ttl_ms = max(entry.expires_ms - now_ms for _, entry in missing)
        unix_offset_ms = _unix_ms() - now_ms
        items = {
            self._prefix + fingerprint: msgspec.json.encode(
                StoredEntry(
                    fingerprint=fingerprint,
                    blocked_count=entry.quarantine_count,
                    until_unix_ms=unix_offset_ms + entry.quarantined_until_ms,
                    over_unix_ms=unix_offset_ms + entry.expires_ms,
                )
            )
            for fingerprint, entry in missing
        }
        match await self._store.grant_lease(min(LEASE_MAX_MS, ttl_ms)):
            case expression.Result(tag="ok", ok=lease):
                result = await self._store.put_all(items, lease)
            case granted:
                result = granted
        self._log_write(
            "stored", [fingerprint for fingerprint, _ in missing], result
        )

    def _log_write(
        self,
        what: str,
        fingerprints: list[str],
        result: expression.Result[object, keyvalue.Failure],
    ) -> None:
        """Logs a write; a failed one is repeated after the next read."""
        error = result.error.detail if result.is_error() else ""
        log.write(
            log.Event.BLOCKED_STORED,
            what=what,
            fingerprints=fingerprints,
            error=error,
        )
