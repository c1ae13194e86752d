"""Looks for signs of life in other failure domains while they are in doubt."""

import asyncio
import collections.abc
import random

from hyssoptack.core import clock
from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import pool
from hyssoptack.gateway import replicatedview
from hyssoptack.http1 import message
from hyssoptack.policy import partitiondetector

CHECK_PERIOD_S = 0.05
"""How soon a doubt is looked into. Two looks of a cut that drops packets then
take 0.4 s; the balancer takes 1 to 2 s more to turn callers away."""

PARTITIONED_CHECK_PERIOD_S = 0.4
"""Between two looks while cut off: other domains are used again that soon."""

PROBE_COUNT = 6
"""Upstreams tried at a time (`policy.partitiondetector.FAILED_CHECK_COUNT` says
how many show a cut)."""


async def accepts_connection(address: str) -> bool:
    """Tells whether an address takes a connection."""
    host, _, port = address.rpartition(":")
    limit_s = pool.CONNECT_TIMEOUT_MS / message.MS_PER_S
    try:
        async with asyncio.timeout(limit_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        # A timeout, a refusal or a reset: a cut shows as any of them.
        return False
    writer.close()
    return True


class PartitionMonitor:
    """Keeps the belief about other failure domains up to date."""

    def __init__(
        self,
        believed: replicatedview.ReplicatedView,
        known: partitiondetector.PartitionDetector,
        failure_domain: str,
        store_address: collections.abc.Callable[[], str],
        on_change: collections.abc.Callable[[], None],
        probe: collections.abc.Callable[
            [str], collections.abc.Awaitable[bool]
        ] = accepts_connection,
    ):
        self._beliefs = believed
        self._known = known
        self._failure_domain = failure_domain
        self._store_address = store_address
        self._on_change = on_change
        self._probe = probe
        self._random = random.Random()

    async def watch(self) -> None:
        """Looks into doubts for as long as it runs."""
        while True:
            before = self._state()
            if (
                self._known.state
                is not partitiondetector.PartitionState.CONNECTED
            ):
                self._known.record_check(await self._look(), clock.now_ms())
            self._note_change(before)
            # A query may have ended the cut meanwhile.
            before = self._state()
            pause_s = (
                PARTITIONED_CHECK_PERIOD_S
                if self._known.is_partitioned
                else CHECK_PERIOD_S
            )
            await asyncio.sleep(pause_s)
            self._note_change(before)

    async def _look(self) -> partitiondetector.CheckResult:
        far = self._far()
        chosen = self._random.sample(far, min(PROBE_COUNT, len(far)))
        store_alive, *far_alive = await asyncio.gather(
            self._probe(self._store_address()),
            *(self._probe(each.address) for each in chosen),
        )
        # Where nothing is listed elsewhere, nothing can be cut off.
        return partitiondetector.CheckResult(
            others_alive=any(far_alive) or not far,
            store_alive=store_alive,
            covers_all_services=self._beliefs.load_balancer.own_domain_covers(
                self._services()
            ),
        )

    def _services(self) -> set[str]:
        """Returns the services of all routes."""
        configuration = self._beliefs.route_table.configuration
        routes = configuration.routes if configuration else ()
        return {
            service
            for route in routes
            for service in traffic.services_of(route.target)
        }

    def _far(self) -> list[traffic.Upstream]:
        return [
            each
            for each in self._beliefs.upstreams.values()
            if each.failure_domain != self._failure_domain
        ]

    def _state(self) -> tuple[bool, bool]:
        return self._known.is_partitioned, self._known.leaves_rotation

    def _note_change(self, before: tuple[bool, bool]) -> None:
        if self._state() == before:
            return
        cut = self._known.is_partitioned
        log.write(
            log.Event.DOMAINS_LOST if cut else log.Event.DOMAINS_BACK,
            failure_domain=self._failure_domain,
            far_upstream_count=len(self._far()),
            leaves_rotation=self._known.leaves_rotation,
        )
        self._on_change()
