"""Follows the platform: the instance list, and the configuration's head.

Of each failure domain only a few instances, chosen by rendezvous hashing over
the live list, watch the store. The others hear of a new revision by gossip and
fetch what they lack from the peer that told them.
"""

import asyncio
import collections.abc
import concurrent.futures
import random

import expression

from hyssoptack.core import clock
from hyssoptack.entry import state
from hyssoptack.events import log
from hyssoptack.policy import backoff
from hyssoptack.policy import membership
from hyssoptack.policy import ownership
from hyssoptack.revisions import configuration
from hyssoptack.revisions import members
from hyssoptack.revisions import store

MS_PER_S = 1000.0
RETRY = backoff.Backoff(min_ms=100.0, max_ms=3_000.0)
WATCH_ROLE = "config-watch"

OnConfig = collections.abc.Callable[[configuration.InForce], None]


class PlatformWatcher:
    """Tasks that follow the platform; they run on the event loop."""

    def __init__(
        self,
        knowledge: state.InstanceState,
        config: configuration.ActiveConfiguration,
        store_client: store.StoreClient,
        members_client: members.MembersClient,
        threads: concurrent.futures.Executor,
        on_config: OnConfig,
    ):
        self._state = knowledge
        self._config = config
        self._store = store_client
        self._members = members_client
        self._threads = threads
        self._on_config = on_config
        self._store_is_lost = False
        self._list_is_lost = False
        self._random = random.Random()
        self.watch_count = 0

    async def poll_instances(self) -> None:
        """Reads the instance list for as long as the instance runs."""
        period_ms = self._state.settings.platform.list_period_ms
        while True:
            result = await self._on_thread(self._members.read)
            match result:
                case expression.Result(tag="ok", ok=listing):
                    self._take_listing(listing)
                case expression.Result(error=detail):
                    self._note_list(True, detail)
            jitter = self._random.uniform(0.8, 1.2)
            await asyncio.sleep(period_ms * jitter / MS_PER_S)

    def _take_listing(self, listing: members.Listing) -> None:
        now_ms = clock.now_ms()
        self._note_list(False, "")
        self._state.merge_listed(listing.members, now_ms)
        for upstream_id in listing.leaving_upstream_ids:
            # The list may only make us more careful, never less.
            view = self._state.upstream_health.upstreams[upstream_id]
            view.apply_event("listed_leaving", now_ms)

    async def watch_configuration(self) -> None:
        """Keeps the configuration up to date while the instance runs."""
        failures = 0
        while True:
            if self._config.revision() and not self.is_watcher():
                await asyncio.sleep(1.0)
                continue
            healthy = await self._read_head()
            failures = 0 if healthy else failures + 1
            if failures:
                await asyncio.sleep(self._backoff_ms(failures) / MS_PER_S)

    def _backoff_ms(self, failures: int) -> float:
        """Returns a growing wait with full jitter, against stampedes."""
        return self._random.uniform(RETRY.min_ms, RETRY.wait_ms(failures))

    def is_watcher(self) -> bool:
        """Tells whether this instance watches the store for its domain."""
        settings = self._state.settings
        now_ms = clock.now_ms()
        names = membership.recently_seen(
            self._state.roster,
            settings.failure_domain,
            settings.platform.instance_list_lag_ms,
            now_ms,
        )
        candidates = tuple(sorted({*names, settings.instance_id}))
        role = f"{WATCH_ROLE}/{settings.failure_domain}"
        chosen = ownership.owners(
            role, candidates, settings.platform.watcher_count
        )
        return settings.instance_id in chosen

    async def _read_head(self) -> bool:
        """Waits for a head past the known one; returns whether that worked."""
        known = self._config.head_version
        self.watch_count += 1
        result = await self._on_thread(
            self._store.watch, configuration.HEAD_KEY, known
        )
        self.watch_count -= 1
        match result:
            case expression.Result(tag="ok", ok=store.Stored() as head):
                self._note_store(False, "")
                return await self._take_head(head)
            case expression.Result(tag="ok"):
                self._note_store(False, "")
                return bool(self._config.revision())
            case expression.Result(error=unreachable):
                self._note_store(True, unreachable.detail)
                return False

    async def _take_head(self, head: store.Stored) -> bool:
        taken = self._config.merge_offer(head.value, {})
        if isinstance(taken, configuration.Lacking):
            parts = await self._fetch(taken.digests)
            if len(parts) < len(taken.digests):
                self._config.on_fetch_failed()
                return False
            taken = self._config.merge_offer(head.value, parts)
        self._config.head_version = head.version
        if isinstance(taken, configuration.InForce):
            self._on_config(taken)
        return True

    async def _fetch(self, digests: tuple[str, ...]) -> dict[str, str]:
        parts = {}
        for digest in digests:
            key = configuration.PART_PREFIX + digest
            result = await self._on_thread(self._store.get, key)
            match result:
                case expression.Result(tag="ok", ok=store.Stored(value=value)):
                    parts[digest] = value
                case _:
                    break
        return parts

    async def _on_thread(self, function: collections.abc.Callable, *args):
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, function, *args)

    def _note_store(self, lost: bool, detail: str) -> None:
        if lost != self._store_is_lost:
            event = log.Event.STORE_LOST if lost else log.Event.STORE_BACK
            log.write(event, detail=detail)
        self._store_is_lost = lost

    def _note_list(self, lost: bool, detail: str) -> None:
        if lost != self._list_is_lost:
            event = log.Event.LIST_LOST if lost else log.Event.LIST_BACK
            log.write(event, detail=detail)
        self._list_is_lost = lost
