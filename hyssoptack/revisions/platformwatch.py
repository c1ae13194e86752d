"""Polls the platform's instance list and watches the configuration's head.

In each failure domain only a few instances, selected by rendezvous hashing over
the live instances, watch the store. The others learn of a new revision by
gossip and fetch missing parts from the peer that announced it.
"""

import asyncio
import collections.abc
import concurrent.futures
import random

import expression

from hyssoptack.core import clock
from hyssoptack.entry import state
from hyssoptack.events import log
from hyssoptack.membership import membership
from hyssoptack.membership import ownership
from hyssoptack.planning import backoff
from hyssoptack.revisions import configuration
from hyssoptack.revisions import members
from hyssoptack.revisions import store

MS_PER_S = 1000.0
RETRY = backoff.Backoff(min_ms=100.0, max_ms=3_000.0)
WATCH_ROLE = "config-watch"

OnConfig = collections.abc.Callable[[configuration.NewConfiguration], None]
OnListed = collections.abc.Callable[[], None]
"""Called after each read of the instance list."""


class PlatformWatcher:
    """Keeps the roster and the configuration current; runs on the event loop.

    Attributes:
        watch_count: Number of long polls of the store in progress.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        config: configuration.ActiveConfiguration,
        store_client: store.StoreClient,
        members_client: members.MembersClient,
        threads: concurrent.futures.Executor,
        on_config: OnConfig,
        on_listed: OnListed,
    ):
        self._state = instance_state
        self._config = config
        self._store = store_client
        self._members = members_client
        self._threads = threads
        self._on_config = on_config
        self._on_listed = on_listed
        self._store_lost = False
        self._list_lost = False
        self._random = random.Random()
        self._read_requested = asyncio.Event()
        self.watch_count = 0

    async def poll_instances(self) -> None:
        """Reads the instance list periodically, without end."""
        period_ms = self._state.settings.platform.list_period_ms
        while True:
            self._read_requested.clear()
            started_ms = clock.now_ms()
            result = await self._run_in_thread(self._members.read)
            match result:
                case expression.Result(tag="ok", ok=listing):
                    self._apply_listing(listing, started_ms)
                case expression.Result(error=detail):
                    self._set_list_lost(True, detail)
            jitter = self._random.uniform(0.8, 1.2)
            try:
                await asyncio.wait_for(
                    self._read_requested.wait(), period_ms * jitter / MS_PER_S
                )
            except TimeoutError:
                continue

    def request_instances(self) -> None:
        """Has the instance list read at once, after a read in progress."""
        self._read_requested.set()

    def _apply_listing(
        self, listing: members.Listing, started_ms: float
    ) -> None:
        now_ms = clock.now_ms()
        self._set_list_lost(False, "")
        self._state.merge_listed(listing.members, started_ms, now_ms)
        for upstream_id in listing.leaving_upstream_ids:
            # The list may mark an upstream as leaving, but never clears a mark.
            view = self._state.upstream_health.upstreams[upstream_id]
            view.apply_event("listed_leaving", now_ms)
        self._on_listed()

    async def watch_configuration(self) -> None:
        """Watches the configuration's head, without end.

        An instance that has a configuration and is not a watcher only checks
        each second whether it has become one.
        """
        failures = 0
        while True:
            if self._config.revision() and not self.is_watcher():
                await asyncio.sleep(1.0)
                continue
            healthy = await self._watch_head()
            failures = 0 if healthy else failures + 1
            if failures:
                await asyncio.sleep(self._backoff_ms(failures) / MS_PER_S)

    def _backoff_ms(self, failures: int) -> float:
        """Returns the wait before the next try, which grows with the failures.

        The random part keeps the instances from retrying all at once.
        """
        return self._random.uniform(RETRY.min_ms, RETRY.wait_ms(failures))

    def is_watcher(self) -> bool:
        """Returns whether this instance watches the store for its domain."""
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
        watchers = ownership.owners(
            role, candidates, settings.platform.watcher_count
        )
        return settings.instance_id in watchers

    async def _watch_head(self) -> bool:
        """Waits for a new head and applies it.

        Returns:
            False if the store or a part can't be read, or if there is still no
            configuration.
        """
        known = self._config.head_version
        self.watch_count += 1
        result = await self._run_in_thread(
            self._store.watch, configuration.HEAD_KEY, known
        )
        self.watch_count -= 1
        match result:
            case expression.Result(tag="ok", ok=store.Stored() as head):
                self._set_store_lost(False, "")
                return await self._apply_head(head)
            case expression.Result(tag="ok"):
                self._set_store_lost(False, "")
                return bool(self._config.revision())
            case expression.Result(error=unavailable):
                self._set_store_lost(True, unavailable.detail)
                return False

    async def _apply_head(self, head: store.Stored) -> bool:
        result = self._config.merge_offer(head.value, {})
        if isinstance(result, configuration.MissingParts):
            parts = await self._fetch_parts(result.digests)
            if len(parts) < len(result.digests):
                self._config.on_fetch_failed()
                return False
            result = self._config.merge_offer(head.value, parts)
        self._config.head_version = head.version
        if isinstance(result, configuration.NewConfiguration):
            self._on_config(result)
        return True

    async def _fetch_parts(self, digests: tuple[str, ...]) -> dict[str, str]:
        parts = {}
        for digest in digests:
            key = configuration.PART_PREFIX + digest
            result = await self._run_in_thread(self._store.get, key)
            match result:
                case expression.Result(tag="ok", ok=store.Stored(value=value)):
                    parts[digest] = value
                case _:
                    break
        return parts

    async def _run_in_thread(self, function: collections.abc.Callable, *args):
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, function, *args)

    def _set_store_lost(self, lost: bool, detail: str) -> None:
        if lost != self._store_lost:
            event = log.Event.STORE_LOST if lost else log.Event.STORE_BACK
            log.write(event, detail=detail)
        self._store_lost = lost

    def _set_list_lost(self, lost: bool, detail: str) -> None:
        if lost != self._list_lost:
            event = log.Event.LIST_LOST if lost else log.Event.LIST_BACK
            log.write(event, detail=detail)
        self._list_lost = lost
