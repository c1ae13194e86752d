"""Connection pools: idle and new connections, and calls that wait for one."""

import asyncio
import collections.abc

from hyssoptack.core import clock
from hyssoptack.events import log
from hyssoptack.gateway import callrequest
from hyssoptack.gateway import poolcontext
from hyssoptack.gateway import upstreampool

SWEEP_PERIOD_S = 0.5
"""Time between two sweeps for connections that have been idle too long."""

LOGGED_WAIT_MS = 400.0
"""Wait for a connection from which an upstream's waiting calls are logged: far
longer than a connection takes to open, and shorter than most time limits."""

LOG_PERIOD_MS = 10_000.0
"""Time between two log lines for one upstream."""


class Pools:
    """The connection pools of all upstreams."""

    def __init__(self, id_header: bytes) -> None:
        self._id_header = id_header
        self._upstream_pools: dict[str, upstreampool.UpstreamPool] = {}
        self._logged_ms: dict[str, float] = {}
        self.context = poolcontext.PoolContext()

    def call(
        self, job: callrequest.CallRequest, connection_limit_count: int
    ) -> upstreampool.Call:
        """Starts a call."""
        upstream_pool = self._upstream_pools.get(job.upstream.upstream_id)
        if upstream_pool is None:
            upstream_pool = upstreampool.UpstreamPool(
                self.context, job.upstream, self._id_header
            )
            self._upstream_pools[job.upstream.upstream_id] = upstream_pool
        upstream_pool.slots.limit_count = connection_limit_count
        return upstream_pool.start(job)

    def keep_only(self, upstream_ids: collections.abc.Container[str]) -> None:
        """Closes the pools of all other upstreams, which get no new calls."""
        for upstream_id, upstream_pool in tuple(self._upstream_pools.items()):
            upstream_pool.is_withdrawn = upstream_id not in upstream_ids
            if upstream_pool.is_withdrawn:
                upstream_pool.close_idle(0.0)
                upstream_pool.withdraw()
                if upstream_pool.empty:
                    del self._upstream_pools[upstream_id]

    async def sweep(self) -> None:
        """Closes connections that were idle for too long, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            now_ms = clock.now_ms()
            for upstream_pool in self._upstream_pools.values():
                upstream_pool.close_stale(now_ms)
            self._log_waiting(now_ms)

    def gauge_values(self, now_ms: float) -> dict[str, float]:
        """Returns gauges of the connections to all upstreams."""
        loads = [each.load(now_ms) for each in self._upstream_pools.values()]
        used_count = sum(each.used_count for each in loads)
        idle_count = sum(each.idle_count for each in loads)
        return {
            "opened_connection_count": self.context.opened_count,
            "connection_slot_count": used_count,
            "idle_connection_count": idle_count,
            "busy_connection_slot_count": used_count - idle_count,
            "waiting_call_count": sum(each.waiting_count for each in loads),
            "longest_call_wait_ms": max(
                (each.longest_wait_ms for each in loads), default=0.0
            ),
            "reply_memory_bytes": self.context.reply_memory.total_bytes,
        }

    def _log_waiting(self, now_ms: float) -> None:
        """Logs upstreams whose calls have waited long for a connection."""
        for upstream_id, upstream_pool in self._upstream_pools.items():
            if not upstream_pool.has_waiting:
                continue
            load = upstream_pool.load(now_ms)
            logged_ms = self._logged_ms.get(upstream_id, float("-inf"))
            if (
                load.longest_wait_ms < LOGGED_WAIT_MS
                or now_ms - logged_ms < LOG_PERIOD_MS
            ):
                continue
            self._logged_ms[upstream_id] = now_ms
            log.write(
                log.Event.CALLS_WAITING,
                upstream=upstream_id,
                waiting_count=load.waiting_count,
                waited_ms=round(load.longest_wait_ms),
                connection_count=load.used_count,
                idle_count=load.idle_count,
                limit_count=load.limit_count,
            )
        self._logged_ms = {
            upstream_id: logged_ms
            for upstream_id, logged_ms in self._logged_ms.items()
            if now_ms - logged_ms < LOG_PERIOD_MS
        }
