"""Looks for signs of life in other failure domains while they are in doubt."""

import asyncio
import collections.abc
import random

from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import beliefs
from hyssoptack.gateway import pool
from hyssoptack.http1 import message
from hyssoptack.policy import reach

CHECK_PERIOD_S = 0.1
"""How soon a doubt is looked into: a third of an urgent query's deadline."""

CUT_PERIOD_S = 0.4
"""Between two looks while cut off: other domains are used again that soon."""

PROBE_COUNT = 3
"""Upstreams tried at a time: that all of them are down without a word, while
others live, is rare (17 in 100 at the users' worst: 1 look in 200)."""


async def shows_life(address: str) -> bool:
    """Tells whether anything answers at an address, be it a refusal."""
    host, _, port = address.rpartition(":")
    limit_s = pool.CONNECT_TIMEOUT_MS / message.MS_PER_S
    try:
        async with asyncio.timeout(limit_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except TimeoutError:
        return False
    except OSError:
        # Refused or reset: the machine is there.
        return True
    writer.close()
    return True


class Reaching:
    """Keeps the belief about other failure domains up to date."""

    def __init__(
        self,
        believed: beliefs.Beliefs,
        known: reach.Reach,
        failure_domain: str,
        on_change: collections.abc.Callable[[], None],
        probe: collections.abc.Callable[
            [str], collections.abc.Awaitable[bool]
        ] = shows_life,
    ):
        self._beliefs = believed
        self._known = known
        self._failure_domain = failure_domain
        self._on_change = on_change
        self._probe = probe
        self._random = random.Random()

    async def watch(self) -> None:
        """Looks into doubts for as long as it runs."""
        while True:
            before = self._known.cut
            if self._known.view is not reach.View.WELL:
                self._known.note_probe(await self._look())
            self._note_change(before)
            # A query may have ended the cut meanwhile.
            before = self._known.cut
            await asyncio.sleep(CUT_PERIOD_S if before else CHECK_PERIOD_S)
            self._note_change(before)

    async def _look(self) -> bool:
        far = self._far()
        if not far:
            return True
        chosen = self._random.sample(far, min(PROBE_COUNT, len(far)))
        seen = await asyncio.gather(
            *(self._probe(each.address) for each in chosen)
        )
        return any(seen)

    def _far(self) -> list[traffic.Upstream]:
        return [
            each
            for each in self._beliefs.upstreams.values()
            if each.failure_domain != self._failure_domain
        ]

    def _note_change(self, before: bool) -> None:
        if self._known.cut == before:
            return
        log.write(
            log.Event.DOMAINS_LOST if not before else log.Event.DOMAINS_BACK,
            failure_domain=self._failure_domain,
            far_upstream_count=len(self._far()),
        )
        self._on_change()
