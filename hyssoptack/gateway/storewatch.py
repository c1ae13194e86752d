"""Keeps the replicated view up to date from the platform's store.

Only a few instances read the store; they publish what they read to the others
(`membership.readerelection`).
"""

import asyncio
import collections.abc
import dataclasses
import itertools
import random

import expression
import msgspec

from hyssoptack.balancing import evacuation
from hyssoptack.core import clock
from hyssoptack.core import decoding
from hyssoptack.core import member
from hyssoptack.core import position
from hyssoptack.core import traffic
from hyssoptack.delegation import gatherers
from hyssoptack.events import log
from hyssoptack.gateway import ignoredentries
from hyssoptack.gateway import peering
from hyssoptack.gateway import replicatedview
from hyssoptack.gateway import storereachability
from hyssoptack.http1 import message
from hyssoptack.membership import readerelection
from hyssoptack.planning import backoff
from hyssoptack.platform import keyvalue
from hyssoptack.platform import storeformat
from hyssoptack.settings import gateway

GRACE_SLACK_MS = 10.0
"""Delay after the end of the grace period, so that the next read falls after
it."""

NEXT_READ_MARGIN_MS = 50.0
"""Time before the end of the last exact read's use at which the next read is
asked for."""

RETRY = backoff.Backoff(min_ms=100.0, max_ms=800.0)
"""Waits after failed calls to the store. They are short enough for changes to
be in force within 3 s of the store's return, and long enough not to overload a
busy store."""

FIRST_INSTANCE_READ_PAUSES_MS = (20.0, 500.0, 1_500.0)
"""Pauses before the first reads of the list of instances. The first read finds
instances that ran before an outage, whose leases outlast it. By the second,
most of the instances that start at the same time have registered (0.6 s apart
on the slowest machines); by the third, all have."""

INSTANCE_READ_PERIOD_MS = 5_000.0
"""How often a reader reads the list of instances. Readers send a new
instance notices only once they have found it in the list; until then, it reads
the store itself."""


COLD_MAX_MS = 600_000.0
"""Upper limit for the remaining warm-up time in an upstream's entry."""

FIRST_ERA = 1
"""The store's era before it has returned from an older copy."""

IGNORED_LIMIT_COUNT = 1_000
"""Maximum number of ignored operator keys that are remembered and logged."""

_PEER = msgspec.json.Decoder(member.Peer)

OnStored = collections.abc.Callable[
    [keyvalue.Listing], collections.abc.Awaitable[None]
]
"""Called after each read with all items that gateway instances have stored."""


class StoreWatcher:
    """Runs the tasks that follow the store while the instance runs."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        view: replicatedview.ReplicatedView,
        store: keyvalue.Client,
        peers: peering.Peering,
        on_instances: peering.OnInstances,
        on_stored: OnStored,
    ):
        self._settings = settings
        self._view = view
        self._store = store
        self._peers = peers
        self._on_instances = on_instances
        self._on_stored = on_stored
        self._reader_election = peers.reader_election
        self._random = random.Random()
        self.reachability = storereachability.StoreReachability(
            view, peers.reader_election
        )
        # Reads whose number is a multiple of `READS_PER_EXACT_READ_COUNT` are
        # exact. The first read has number 1, so it may be slightly stale: when
        # all instances start at once, exact reads of several pages each would
        # add up to a third of the calls that the store gets in a day.
        self._next_read_number = 1
        self._ignored_upstreams = ignoredentries.IgnoredEntries(
            log.Event.ENTRY_UNREADABLE
        )
        self._ignored_peers = ignoredentries.IgnoredEntries(
            log.Event.PEER_UNREADABLE
        )
        self._ignored: set[str] = set()

    # The list of upstreams.

    async def poll_upstreams(self) -> None:
        """Reads the list of upstreams while this instance is a reader."""
        failure_count = 0
        while True:
            await self._wait_until_list_due()
            gate = self._view.gate
            outdated = not gate.is_open()
            count = readerelection.READS_PER_EXACT_READ_COUNT
            exact = outdated or self._next_read_number % count == 0
            self._next_read_number += 1
            asked_ms = clock.now_ms()
            gate.begin_read(asked_ms)
            match await self._read_upstreams(exact, outdated):
                case expression.Result(tag="ok", ok=listing):
                    self._reader_election.record_read(asked_ms, exact)
                    self.reachability.record_read(asked_ms, failure_count)
                    failure_count = 0
                    self._apply_list(listing, asked_ms)
                    self._view.apply_evacuations("time", clock.now_ms())
                    gate.end_read(asked_ms, exact)
                    self._peers.publish_view()
                    await self._pause_until_read(clock.now_ms())
                case expression.Result(error=failure):
                    self._next_read_number = 0
                    self._reader_election.record_read_failure()
                    if failure.kind is keyvalue.FailureKind.DELAYED:
                        continue
                    failure_count += 1
                    self.reachability.record_lost(failure, asked_ms)
                    gate.fail_read(asked_ms)
                    await self._pause_before_retry(failure, failure_count)

    async def _wait_until_list_due(self) -> None:
        """Waits until this instance reads, or a request waits for a read."""
        gate = self._view.gate
        while not gate.needs_read and (
            wait_ms := self._reader_election.read_delay_ms(clock.now_ms())
        ):
            self._next_read_number = 0
            await gate.sleep(wait_ms)

    async def _read_upstreams(
        self, exact: bool, with_configuration: bool
    ) -> expression.Result[keyvalue.Listing, keyvalue.Failure]:
        """Reads the list of upstreams.

        Args:
            exact: Whether the result must be the current state.
            with_configuration: Whether the configuration is read as well, as
                its watch may not have returned since this process stood still.
        """
        timeout_ms = self._reader_election.read_timings.list_timeout_ms
        reading = self._store.read_range(
            storeformat.UPSTREAM_PREFIX,
            allow_stale=not exact,
            timeout_ms=timeout_ms,
        )
        if not with_configuration:
            return await reading
        listed, configured = await asyncio.gather(
            reading,
            self._store.read_range(
                storeformat.OPERATOR_PREFIX, timeout_ms=timeout_ms
            ),
        )
        match configured:
            case expression.Result(tag="ok", ok=listing):
                self._apply_operator_keys(listing)
            case expression.Result(error=failure):
                self.reachability.record_lost(failure)
        return listed

    async def _pause_before_retry(
        self, failure: keyvalue.Failure, failure_count: int
    ) -> None:
        """Waits before a failed read is tried again.

        After a lost answer the first retry follows at once, as the list has to
        be up to date in time.
        """
        if failure.kind is keyvalue.FailureKind.UNREACHABLE:
            failure_count -= 1
        if failure_count:
            wait_ms = RETRY.wait_ms(failure_count)
            await self._view.gate.sleep(
                readerelection.jittered_ms(wait_ms, self._random)
            )

    async def _pause_until_read(self, now_ms: float) -> None:
        """Waits for the next read, which no jitter delays beyond the grace."""
        pause_ms = readerelection.jittered_ms(
            self._list_pause_ms(now_ms), self._random
        )
        if grace_ms := self._view.expiry_wait_ms(now_ms):
            pause_ms = min(pause_ms, grace_ms + GRACE_SLACK_MS)
        # Where the store is slow, the view would be outdated before.
        current_ms = self._view.gate.remaining_ms() - NEXT_READ_MARGIN_MS
        pause_ms = min(pause_ms, max(RETRY.min_ms, current_ms))
        await self._view.gate.sleep(pause_ms)

    def _list_pause_ms(self, now_ms: float) -> float:
        """Returns the pause before the next read of the list.

        The read is due no later than the end of the grace period.
        """
        period_ms = self._reader_election.read_timings.list_period_ms
        grace_ms = self._view.expiry_wait_ms(now_ms)
        if not grace_ms:
            return period_ms
        # The next read must be exact.
        self._next_read_number = 0
        return min(period_ms, grace_ms + GRACE_SLACK_MS)

    async def _wait_until_reader(self) -> None:
        while wait_ms := self._reader_election.read_delay_ms(clock.now_ms()):
            await asyncio.sleep(wait_ms / message.MS_PER_S)

    def _apply_list(self, listing: keyvalue.Listing, read_ms: float) -> None:
        listed: dict[str, traffic.Upstream] = {}
        unreadable: dict[str, str] = {}
        for item in listing.items:
            match storeformat.parse_upstream(item.key, item.value):
                case expression.Result(tag="ok", ok=upstream):
                    cold_ms = min(max(0.0, upstream.cold_ms), COLD_MAX_MS)
                    if cold_ms != upstream.cold_ms:
                        unreadable[item.key] = (
                            f"warm-up of {upstream.cold_ms} ms is out of range"
                        )
                        upstream = dataclasses.replace(
                            upstream, cold_ms=cold_ms
                        )
                    listed[upstream.upstream_id] = upstream
                case expression.Result(error=detail):
                    unreadable[item.key] = detail
        self._ignored_upstreams.replace(unreadable)
        self._view.apply_list(listed, listing.position, clock.now_ms(), read_ms)

    # The configuration.

    async def watch_configuration(self) -> None:
        """Watches the stored configuration while this instance is a reader."""
        failure_count = 0
        reached: position.Position | None = None
        # The first read may be stale, at a tenth of the cost: the watch from
        # its revision, or a neighbour's notice, brings newer changes.
        stale = True
        while True:
            if self._view.version and self._reader_election.read_delay_ms(
                clock.now_ms()
            ):
                await self._wait_until_reader()
                reached = None
            if reached is None:
                result = await self._read_configuration(stale)
                stale = False
            else:
                result = await self._wait_for_configuration_change(reached)
            match result:
                case expression.Result(tag="ok", ok=found):
                    failure_count = 0
                    reached = found
                    if not self._view.version:
                        # No configuration was written yet: read again soon.
                        reached = None
                        await self._pause(RETRY.min_ms)
                case expression.Result(error=failure):
                    failure_count += 1
                    reached = None
                    self.reachability.record_lost(failure)
                    await self._pause(RETRY.wait_ms(failure_count))

    async def _read_configuration(
        self, stale: bool
    ) -> expression.Result[position.Position, keyvalue.Failure]:
        result = await self._store.read_range(
            storeformat.OPERATOR_PREFIX, stale
        )
        return result.map(self._apply_operator_keys)

    async def _wait_for_configuration_change(
        self, reached: position.Position
    ) -> expression.Result[position.Position, keyvalue.Failure]:
        result = await self._store.watch(
            storeformat.OPERATOR_PREFIX,
            reached,
            self._reader_election.read_timings.watch_ms,
        )
        return result.map(self._apply_operator_changes)

    def _apply_operator_keys(
        self, listing: keyvalue.Listing
    ) -> position.Position:
        """Applies all operator keys; returns the position of the read."""
        domains = frozenset(
            domain
            for item in listing.items
            if (domain := self._evacuated_domain(item)) is not None
        )
        evacuated = self._view.replace_evacuations(
            domains, listing.position, "store", clock.now_ms()
        )
        configured = self._apply_configurations(listing.items, "store")
        if evacuated or configured:
            self._peers.publish_view()
        return listing.position

    def _apply_operator_changes(
        self, listing: keyvalue.Changes
    ) -> position.Position:
        """Applies changes to operator keys; returns the position reached."""
        changes = [
            evacuation.EvacuationChange(
                failure_domain=domain,
                ended=item.removed,
                store_position=position.Position(listing.era, item.revision),
            )
            for item in listing.events
            if (domain := self._evacuated_domain(item)) is not None
        ]
        self._view.evacuations.apply_changes(changes, listing.position)
        evacuated = self._view.apply_evacuations("watch", clock.now_ms())
        configured = self._apply_configurations(listing.events, "watch")
        if evacuated or configured:
            self._peers.publish_view()
        return listing.position

    def _evacuated_domain(self, item: keyvalue.Item) -> str | None:
        """Returns the domain that a key evacuates; logs unknown keys once."""
        domain = storeformat.evacuated_domain(item.key)
        known = domain in self._settings.failure_domains
        if item.key != storeformat.CONFIGURATION_KEY and not known:
            self._log_ignored(item.key)
        return domain

    def _log_ignored(self, key: str) -> None:
        if (
            key not in self._ignored
            and len(self._ignored) < IGNORED_LIMIT_COUNT
        ):
            self._ignored.add(key)
            log.write(log.Event.OPERATOR_KEY_IGNORED, key=key)

    def _apply_configurations(
        self, items: list[keyvalue.Item], source: str
    ) -> bool:
        """Applies the configurations among items.

        Returns:
            Whether any of them was put in force.
        """
        applied = [
            self._apply_configuration(item.value, source)
            for item in items
            if item.key == storeformat.CONFIGURATION_KEY and not item.removed
        ]
        return any(applied)

    def _apply_configuration(self, value: bytes, source: str) -> bool:
        """Applies a stored configuration; returns whether it was accepted."""
        match storeformat.parse_configuration(value):
            case expression.Result(tag="ok", ok=offered):
                now_ms = clock.now_ms()
                applied = self._view.apply_configuration(
                    offered, source, now_ms
                )
                if applied:
                    self._peers.cache_configuration(value)
                return applied
            case expression.Result(error=detail):
                log.write(log.Event.CONFIG_REFUSED, errors=[detail])
                return False

    # The list of instances.

    async def poll_instances(self) -> None:
        """Reads the list of instances while this instance is a reader."""
        pauses_ms = itertools.chain(
            FIRST_INSTANCE_READ_PAUSES_MS,
            itertools.repeat(INSTANCE_READ_PERIOD_MS),
        )
        for pause_ms in pauses_ms:
            await self._pause(pause_ms)
            await self._wait_until_reader()
            result = await self._store.read_range(
                storeformat.OWN_PREFIX, allow_stale=True
            )
            match result:
                case expression.Result(tag="ok", ok=listing):
                    self._apply_instances(listing)
                    self._peers.publish_view()
                    await self._on_stored(listing)
                case expression.Result(error=failure):
                    self.reachability.record_lost(failure)

    def _apply_instances(self, listing: keyvalue.Listing) -> None:
        if not self._peers.is_latest_instances(listing.position):
            return
        peers: list[member.Peer] = []
        ignored: dict[str, str] = {}
        for item in listing.items:
            if not item.key.startswith(storeformat.PEER_PREFIX):
                continue
            match _parse_peer(item.value):
                case expression.Result(tag="ok", ok=peer):
                    peers.append(peer)
                case expression.Result(error=detail):
                    ignored[item.key] = detail
        self._ignored_peers.replace(ignored)
        domain = self._settings.failure_domain
        neighbours = tuple(
            each for each in peers if each.failure_domain == domain
        )
        self._reader_election.set_neighbours(neighbours, len(peers))
        if listing.era > FIRST_ERA:
            self._peers.request_first_views()
        far_gatherers = gatherers.select_gatherers(peers, domain)
        self._on_instances(far_gatherers)
        self._peers.publish_instances(
            neighbours, len(peers), far_gatherers, listing.position
        )

    async def _pause(self, period_ms: float) -> None:
        pause_ms = readerelection.jittered_ms(period_ms, self._random)
        await asyncio.sleep(pause_ms / message.MS_PER_S)


def _parse_peer(data: bytes) -> expression.Result[member.Peer, str]:
    """Decodes an instance's entry; returns an error text if it is invalid."""
    found = decoding.decode(_PEER.decode, data)
    # An instance without a port for peers has no address.
    address = found.ok.address if found.is_ok() else ""
    if address and traffic.split_address(address) is None:
        return expression.Error(f"expected IP:port, got {address!r}")
    return found
