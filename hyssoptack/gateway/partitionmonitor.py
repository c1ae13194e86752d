"""Probes other failure domains while a network partition is suspected."""

import asyncio
import collections.abc
import random

from hyssoptack.core import clock
from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import replicatedview
from hyssoptack.gateway import upstreampool
from hyssoptack.http1 import message
from hyssoptack.membership import partitiondetector

CHECK_PERIOD_S = 0.05
"""Interval at which the detector's state is examined, and pause between two
checks of a suspicion. In a partition that drops packets, two checks then take
0.4 s; the platform's balancer takes 1 to 2 s more to send callers elsewhere."""

PARTITIONED_CHECK_PERIOD_S = 0.4
"""Time between two checks while partitioned, and so the delay until other
domains are used again."""

PROBE_COUNT = 6
"""Number of upstreams probed in one check. A partition is assumed after
`membership.partitiondetector.FAILED_CHECK_COUNT` failed checks."""


async def accepts_connection(address: str) -> bool:
    """Returns whether an address accepts a connection."""
    host, _, port = address.rpartition(":")
    limit_s = upstreampool.CONNECT_TIMEOUT_MS / message.MS_PER_S
    try:
        async with asyncio.timeout(limit_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        # A partition may show as a timeout, a refusal or a reset.
        return False
    writer.close()
    return True


class PartitionMonitor:
    """Feeds the partition detector with the results of probes."""

    def __init__(
        self,
        view: replicatedview.ReplicatedView,
        detector: partitiondetector.PartitionDetector,
        failure_domain: str,
        store_address: collections.abc.Callable[[], str],
        on_change: collections.abc.Callable[[], None],
        probe: collections.abc.Callable[
            [str], collections.abc.Awaitable[bool]
        ] = accepts_connection,
    ):
        self._view = view
        self._detector = detector
        self._failure_domain = failure_domain
        self._store_address = store_address
        self._on_change = on_change
        self._probe = probe
        self._random = random.Random()

    async def watch(self) -> None:
        """Checks suspected partitions until cancelled."""
        while True:
            before = self._state()
            if (
                self._detector.state
                is not partitiondetector.PartitionState.CONNECTED
            ):
                self._detector.record_check(await self._check(), clock.now_ms())
            self._report_change(before)
            # An answered query may end the partition during the pause.
            before = self._state()
            pause_s = (
                PARTITIONED_CHECK_PERIOD_S
                if self._detector.is_partitioned
                else CHECK_PERIOD_S
            )
            await asyncio.sleep(pause_s)
            self._report_change(before)

    async def _check(self) -> partitiondetector.CheckResult:
        remote_upstreams = self._remote_upstreams()
        chosen = self._random.sample(
            remote_upstreams, min(PROBE_COUNT, len(remote_upstreams))
        )
        store_alive, *remote_alive = await asyncio.gather(
            self._probe(self._store_address()),
            *(self._probe(each.address) for each in chosen),
        )
        # Without upstreams in other domains there is no partition to detect.
        return partitiondetector.CheckResult(
            others_alive=any(remote_alive) or not remote_upstreams,
            store_alive=store_alive,
            covers_all_services=self._view.load_balancer.local_domain_covers(
                self._services()
            ),
        )

    def _services(self) -> set[str]:
        """Returns the names of the services of all routes."""
        configuration = self._view.route_table.configuration
        routes = configuration.routes if configuration else ()
        return {
            service
            for route in routes
            for service in traffic.services_of(route.target)
        }

    def _remote_upstreams(self) -> list[traffic.Upstream]:
        return [
            each
            for each in self._view.upstreams.values()
            if each.failure_domain != self._failure_domain
        ]

    def _state(self) -> tuple[bool, bool]:
        return self._detector.is_partitioned, self._detector.leaves_rotation

    def _report_change(self, before: tuple[bool, bool]) -> None:
        if self._state() == before:
            return
        partitioned = self._detector.is_partitioned
        log.write(
            log.Event.DOMAINS_LOST if partitioned else log.Event.DOMAINS_BACK,
            failure_domain=self._failure_domain,
            far_upstream_count=len(self._remote_upstreams()),
            leaves_rotation=self._detector.leaves_rotation,
        )
        self._on_change()
