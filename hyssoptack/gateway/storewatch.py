"""Keeps the beliefs up to date from the platform's store.

Few instances read; the others hear from them (`policy.readerelection`).
"""

import asyncio
import collections.abc
import dataclasses
import itertools
import random

import expression
import msgspec

from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.core import position
from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import peering
from hyssoptack.gateway import replicatedview
from hyssoptack.http1 import message
from hyssoptack.platform import keyvalue
from hyssoptack.platform import storeformat
from hyssoptack.policy import backoff
from hyssoptack.policy import evacuation
from hyssoptack.policy import gatherers
from hyssoptack.policy import readerelection
from hyssoptack.settings import gateway

LAPSE_MIN_MS = 2_000.0
"""A list younger than this was kept up to date by neighbours, or the outage was
too short for entries to lapse (three heartbeats of 1.2 s): what is missing from
the next one has left."""

GRACE_SLACK_MS = 10.0
"""Put behind the grace's end, so that the reading falls after it."""

RETRY = backoff.Backoff(min_ms=100.0, max_ms=800.0)
"""Waits after failed calls: short enough to be in force again within 3 s of the
return of the store, long enough not to press a busy one."""

KEEPS_PER_LEASE_COUNT = 3
"""Renewals in one lease, so that two may fail."""

PEERS_FIRST_MS = (20.0, 500.0, 1_500.0)
"""Pauses before the first readings of the list of instances. The first finds
those that lived before an outage, whose leases outlast it; by the second most
of those that start at the same time have entered themselves (0.6 s apart on the
slowest machines), by the third all."""

PEERS_PERIOD_MS = 5_000.0
"""How often a reader reads the list of instances: newcomers read for themselves
until then."""


COLD_MAX_MS = 600_000.0
"""No upstream is taken to stay cold for longer, whatever its entry says."""

IGNORED_LIMIT_COUNT = 1_000
"""Most keys whose being ignored is remembered, and so logged."""

OnStored = collections.abc.Callable[
    [list[keyvalue.Item]], collections.abc.Awaitable[None]
]
"""Told of all that instances of ours have stored, each time it was read."""


class StoreWatcher:
    """Tasks that follow the store for as long as the instance runs."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        believed: replicatedview.ReplicatedView,
        store: keyvalue.Client,
        peers: peering.Peering,
        on_instances: peering.OnInstances,
        on_stored: OnStored,
    ):
        self._settings = settings
        self._beliefs = believed
        self._store = store
        self._peers = peers
        self._on_instances = on_instances
        self._on_stored = on_stored
        self._readers = peers.reader_election
        self._random = random.Random()
        self._lost_since_ms: float | None = None
        # The first reading may be a little old: when all instances start at
        # once, exact ones of some pages each are a third of a day's calls.
        self._read_count = 1
        self._lease_ms = max(settings.lease_ms, settings.lease_min_ms)
        self._unreadable: dict[str, str] = {}
        self._ignored: set[str] = set()

    # The list of upstreams.

    async def poll_upstreams(self) -> None:
        """Reads the list of upstreams while nobody else does."""
        failure_count = 0
        while True:
            await self._wait_for_turn()
            exact = (
                self._read_count % readerelection.READS_PER_EXACT_READ_COUNT
                == 0
            )
            self._read_count += 1
            asked_ms = clock.now_ms()
            result = await self._store.read_range(
                storeformat.UPSTREAM_PREFIX,
                allow_stale=not exact,
                timeout_ms=self._readers.read_timings.list_timeout_ms,
            )
            match result:
                case expression.Result(tag="ok", ok=listing):
                    failure_count = 0
                    self._readers.record_read(asked_ms, exact)
                    self._note_back()
                    self._take_list(listing)
                    self._beliefs.apply_evacuations("time", clock.now_ms())
                    self._peers.publish_view()
                    await self._pause(self._list_pause_ms(clock.now_ms()))
                case expression.Result(error=failure):
                    failure_count += 1
                    self._read_count = 0
                    self._readers.record_read_failure()
                    self._note_lost(failure)
                    await self._pause(RETRY.wait_ms(failure_count))

    def _list_pause_ms(self, now_ms: float) -> float:
        """Returns when to read again: no later than the grace's end."""
        grace_ms = self._beliefs.remaining_grace_ms(now_ms)
        if not grace_ms:
            return self._readers.read_timings.list_period_ms
        # The next reading has to be an exact one.
        self._read_count = 0
        period_ms = self._readers.read_timings.list_period_ms
        return min(period_ms, grace_ms + GRACE_SLACK_MS)

    async def _wait_for_turn(self) -> None:
        while wait_ms := self._readers.read_delay_ms(clock.now_ms()):
            self._read_count = 0
            await asyncio.sleep(wait_ms / message.MS_PER_S)

    def _take_list(self, listing: keyvalue.Listing) -> None:
        listed: dict[str, traffic.Upstream] = {}
        unreadable: dict[str, str] = {}
        for item in listing.items:
            match storeformat.parse_upstream(item.key, item.value):
                case expression.Result(tag="ok", ok=upstream):
                    cold_ms = min(max(0.0, upstream.cold_ms), COLD_MAX_MS)
                    if cold_ms != upstream.cold_ms:
                        unreadable[item.key] = f"cold for {upstream.cold_ms} ms"
                        upstream = dataclasses.replace(
                            upstream, cold_ms=cold_ms
                        )
                    listed[upstream.upstream_id] = upstream
                case expression.Result(error=detail):
                    unreadable[item.key] = detail
        self._note_unreadable(unreadable)
        self._beliefs.apply_list(listed, listing.store_revision, clock.now_ms())

    def _note_unreadable(self, unreadable: dict[str, str]) -> None:
        """Logs entries that can't be used, each once for each reason."""
        for key, reason in unreadable.items():
            if self._unreadable.get(key) != reason:
                log.write(
                    log.Event.ENTRY_UNREADABLE,
                    key=key,
                    reason=reason,
                    count=len(unreadable),
                )
        self._unreadable = unreadable

    # The configuration.

    async def watch_configuration(self) -> None:
        """Reads the configuration, then watches it, while nobody else does."""
        failure_count = 0
        revision: int | None = None
        # The first reading may be a little old, at a tenth of the price: the
        # watch from its revision, or a neighbour's word, brings what is newer.
        stale = True
        while True:
            if self._beliefs.version and self._readers.read_delay_ms(
                clock.now_ms()
            ):
                await self._wait_for_turn()
                revision = None
            if revision is None:
                result = await self._read_configuration(stale)
                stale = False
            else:
                result = await self._watch_configuration(revision)
            match result:
                case expression.Result(tag="ok", ok=reached):
                    failure_count = 0
                    revision = reached
                    if not self._beliefs.version:
                        # Nothing was written yet: look again soon.
                        revision = None
                        await self._pause(RETRY.min_ms)
                case expression.Result(error=failure):
                    failure_count += 1
                    revision = None
                    self._note_lost(failure)
                    await self._pause(RETRY.wait_ms(failure_count))

    async def _read_configuration(
        self, stale: bool
    ) -> expression.Result[int, keyvalue.Failure]:
        result = await self._store.read_range(
            storeformat.OPERATOR_PREFIX, stale
        )
        return result.map(self._take_operators_keys)

    async def _watch_configuration(
        self, revision: int
    ) -> expression.Result[int, keyvalue.Failure]:
        result = await self._store.watch(
            storeformat.OPERATOR_PREFIX,
            revision,
            self._readers.read_timings.watch_ms,
        )
        return result.map(self._take_operators_changes)

    def _take_operators_keys(self, found: keyvalue.Listing) -> int:
        """Takes all that operators have written; returns its revision."""
        domains = frozenset(
            domain
            for item in found.items
            if (domain := self._evacuated_domain(item)) is not None
        )
        evacuated = self._beliefs.replace_evacuations(
            domains, found.position, "store", clock.now_ms()
        )
        configured = self._take_configurations(found.items, "store")
        if evacuated or configured:
            self._peers.publish_view()
        return found.store_revision

    def _take_operators_changes(self, found: keyvalue.Changes) -> int:
        """Takes what operators have changed; returns the revision reached."""
        changes = [
            evacuation.EvacuationChange(
                failure_domain=domain,
                ended=item.removed,
                store_position=position.Position(found.era, item.revision),
            )
            for item in found.events
            if (domain := self._evacuated_domain(item)) is not None
        ]
        self._beliefs.evacuations.apply_changes(changes, found.position)
        evacuated = self._beliefs.apply_evacuations("watch", clock.now_ms())
        configured = self._take_configurations(found.events, "watch")
        if evacuated or configured:
            self._peers.publish_view()
        return found.current_rev

    def _evacuated_domain(self, item: keyvalue.Item) -> str | None:
        """Returns the domain that a key evacuates; logs an unknown key once."""
        domain = storeformat.evacuated_domain(item.key)
        known = domain in self._settings.failure_domains
        if item.key != storeformat.CONFIGURATION_KEY and not known:
            self._note_ignored(item.key)
        return domain

    def _note_ignored(self, key: str) -> None:
        if (
            key not in self._ignored
            and len(self._ignored) < IGNORED_LIMIT_COUNT
        ):
            self._ignored.add(key)
            log.write(log.Event.OPERATOR_KEY_IGNORED, key=key)

    def _take_configurations(
        self, items: list[keyvalue.Item], source: str
    ) -> bool:
        """Takes configurations among items; tells whether one is in force."""
        taken = [
            self._take_configuration(item.value, source)
            for item in items
            if item.key == storeformat.CONFIGURATION_KEY and not item.removed
        ]
        return any(taken)

    def _take_configuration(self, value: bytes, source: str) -> bool:
        """Takes a configuration as stored; tells whether it is now in force."""
        match storeformat.parse_configuration(value):
            case expression.Result(tag="ok", ok=offered):
                now_ms = clock.now_ms()
                taken = self._beliefs.apply_configuration(
                    offered, source, now_ms
                )
                if taken:
                    self._peers.cache_configuration(value)
                return taken
            case expression.Result(error=detail):
                log.write(log.Event.CONFIG_REFUSED, errors=[detail])
                return False

    # The list of instances.

    async def maintain_registration(self) -> None:
        """Keeps the own entry in the list of instances."""
        lease: int | None = None
        failure_count = 0
        while True:
            if lease is None:
                lease = await self._enter()
            elif not await self._renew(lease):
                lease = None
                continue
            failure_count = 0 if lease is not None else failure_count + 1
            if lease is None:
                await self._pause(RETRY.wait_ms(failure_count))
            else:
                await self._pause(self._lease_ms / KEEPS_PER_LEASE_COUNT)

    async def _enter(self) -> int | None:
        granted = await self._store.grant_lease(self._lease_ms)
        match granted:
            case expression.Result(tag="ok", ok=lease):
                key = storeformat.PEER_PREFIX + self._settings.instance_id
                written = await self._store.put(key, self._entry(), lease)
                return lease if written.is_ok() else None
            case _:
                return None

    def _entry(self) -> bytes:
        return msgspec.json.encode(
            member.Peer(
                instance_id=self._settings.instance_id,
                failure_domain=self._settings.failure_domain,
                address=self._settings.peer_address,
                link_mbps=self._settings.link_mbps,
            )
        )

    async def _renew(self, lease: int) -> bool:
        """Renews a lease; tells whether it may still hold."""
        match await self._store.renew_lease(lease):
            case expression.Result(
                tag="error",
                error=keyvalue.Failure(kind=keyvalue.FailureKind.NO_LEASE),
            ):
                return False
            case _:
                # A failed call may have renewed it; the next one will tell.
                return True

    async def poll_instances(self) -> None:
        """Reads the list of instances while this one reads for others."""
        pauses_ms = itertools.chain(
            PEERS_FIRST_MS, itertools.repeat(PEERS_PERIOD_MS)
        )
        for pause_ms in pauses_ms:
            await self._pause(pause_ms)
            await self._wait_for_turn()
            result = await self._store.read_range(
                storeformat.OWN_PREFIX, allow_stale=True
            )
            match result:
                case expression.Result(tag="ok", ok=listing):
                    self._take_instances(listing.items)
                    self._peers.publish_view()
                    await self._on_stored(listing.items)
                case expression.Result(error=failure):
                    self._note_lost(failure)

    def _take_instances(self, items: list[keyvalue.Item]) -> None:
        peers: list[member.Peer] = []
        for item in items:
            if not item.key.startswith(storeformat.PEER_PREFIX):
                continue
            try:
                peer = msgspec.json.decode(item.value, type=member.Peer)
            except msgspec.DecodeError as error:
                log.write(log.Event.PEER_UNREADABLE, reason=str(error))
                continue
            peers.append(peer)
        domain = self._settings.failure_domain
        neighbours = tuple(
            each for each in peers if each.failure_domain == domain
        )
        self._readers.install(neighbours, len(peers))
        far = gatherers.select_gatherers(peers, domain)
        self._on_instances(far)
        self._peers.publish_instances(neighbours, len(peers), far)

    # The store's reachability.

    def _note_lost(self, failure: keyvalue.Failure) -> None:
        if self._lost_since_ms is not None:
            return
        if failure.kind is keyvalue.FailureKind.COMPACTED:
            return
        self._lost_since_ms = clock.now_ms()
        log.write(
            log.Event.STORE_LOST,
            detail=failure.detail,
            trouble=failure.kind.value,
            version=self._beliefs.version,
        )

    def _note_back(self) -> None:
        if self._lost_since_ms is None:
            return
        now_ms = clock.now_ms()
        lost_ms = now_ms - self._lost_since_ms
        self._lost_since_ms = None
        list_age_ms = now_ms - self._beliefs.list_read_ms
        if list_age_ms > LAPSE_MIN_MS:
            self._beliefs.store_recovered_ms = now_ms
        log.write(
            log.Event.STORE_BACK,
            lost_ms=round(lost_ms),
            list_age_ms=round(list_age_ms),
        )

    async def _pause(self, period_ms: float) -> None:
        spread = readerelection.JITTER_RATIO
        jitter = self._random.uniform(1 - spread, 1 + spread)
        await asyncio.sleep(period_ms * jitter / message.MS_PER_S)
