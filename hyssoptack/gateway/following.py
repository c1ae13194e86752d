"""Keeps the beliefs up to date from the platform's store."""

import asyncio
import random

import expression

from hyssoptack.core import clock
from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import beliefs
from hyssoptack.http1 import message
from hyssoptack.platform import keyvalue
from hyssoptack.platform import wire

LIST_PERIOD_MS = 1_000.0
"""How often the list of upstreams is read. A leaving upstream must get nothing
more 3 s after it said so; one missed reading still keeps that."""

WATCH_MS = 2_500.0
"""Length of one watch of the configuration. A silent connection is noticed when
it is over, and a new version has to be in force within 3 s."""

RETRY_MIN_MS = 100.0
RETRY_MAX_MS = 800.0
"""Bounds of the wait after a failed call: short enough to be in force again well
within 3 s of the store's return, long enough not to press a busy store."""

JITTER_RATIO = 0.15


class Follower:
    """Tasks that read the store for as long as the instance runs."""

    def __init__(self, believed: beliefs.Beliefs, store: keyvalue.Client):
        self._beliefs = believed
        self._store = store
        self._random = random.Random()
        self._lost_since_ms: float | None = None

    async def follow_list(self) -> None:
        """Reads the list of upstreams time and again."""
        failure_count = 0
        while True:
            result = await self._store.list(wire.UPSTREAM_PREFIX)
            match result:
                case expression.Result(tag="ok", ok=listing):
                    failure_count = 0
                    self._note_back()
                    self._take_list(listing)
                    await self._pause(LIST_PERIOD_MS)
                case expression.Result(error=failure):
                    failure_count += 1
                    self._note_lost(failure)
                    await self._pause(_backoff_ms(failure_count))

    async def follow_configuration(self) -> None:
        """Reads the configuration, then watches it."""
        failure_count = 0
        revision: int | None = None
        while True:
            if revision is None:
                result = await self._read_configuration()
            else:
                result = await self._watch_configuration(revision)
            match result:
                case expression.Result(tag="ok", ok=reached):
                    failure_count = 0
                    revision = reached
                    if not self._beliefs.version:
                        # Nothing was written yet: look again soon.
                        revision = None
                        await self._pause(RETRY_MIN_MS)
                case expression.Result(error=failure):
                    failure_count += 1
                    revision = None
                    self._note_lost(failure)
                    await self._pause(_backoff_ms(failure_count))

    async def _read_configuration(
        self,
    ) -> expression.Result[int, keyvalue.Failure]:
        result = await self._store.list(wire.CONFIGURATION_KEY)
        return result.map(
            lambda found: self._take_items(
                found.items, found.store_revision, "store"
            )
        )

    async def _watch_configuration(
        self, revision: int
    ) -> expression.Result[int, keyvalue.Failure]:
        result = await self._store.watch(
            wire.CONFIGURATION_KEY, revision, WATCH_MS
        )
        return result.map(
            lambda found: self._take_items(
                found.events, found.current_rev, "watch"
            )
        )

    def _take_items(
        self, items: list[keyvalue.Item], revision: int, source: str
    ) -> int:
        for item in items:
            if item.key == wire.CONFIGURATION_KEY and not item.removed:
                self._take_configuration(item.value, source)
        return revision

    def _take_configuration(self, value: bytes, source: str) -> None:
        match wire.configuration(value):
            case expression.Result(tag="ok", ok=configuration):
                now_ms = clock.now_ms()
                self._beliefs.take_configuration(configuration, source, now_ms)
            case expression.Result(error=detail):
                log.write(log.Event.CONFIG_REFUSED, errors=[detail])

    def _take_list(self, listing: keyvalue.Listing) -> None:
        listed: dict[str, traffic.Upstream] = {}
        for item in listing.items:
            match wire.upstream(item.key, item.value):
                case expression.Result(tag="ok", ok=upstream):
                    listed[upstream.upstream_id] = upstream
                case expression.Result(error=detail):
                    log.write(log.Event.CONFIG_REFUSED, errors=[detail])
        self._beliefs.take_list(listed, clock.now_ms())

    def _note_lost(self, failure: keyvalue.Failure) -> None:
        if self._lost_since_ms is not None:
            return
        if failure.trouble is keyvalue.Trouble.COMPACTED:
            return
        self._lost_since_ms = clock.now_ms()
        log.write(
            log.Event.STORE_LOST,
            detail=failure.detail,
            trouble=failure.trouble.value,
            version=self._beliefs.version,
        )

    def _note_back(self) -> None:
        if self._lost_since_ms is None:
            return
        now_ms = clock.now_ms()
        lost_ms = now_ms - self._lost_since_ms
        self._lost_since_ms = None
        self._beliefs.store_back_ms = now_ms
        log.write(log.Event.STORE_BACK, lost_ms=round(lost_ms))

    async def _pause(self, period_ms: float) -> None:
        jitter = self._random.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
        await asyncio.sleep(period_ms * jitter / message.MS_PER_S)


def _backoff_ms(failure_count: int) -> float:
    return min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** min(failure_count, 6))
