"""A stand-in upstream with slots, connection limits, versions and faults."""

import asyncio
import dataclasses
import random
import weakref

import cyclopts
from aiohttp import web

from hyssoptack.standins import records
from hyssoptack.standins import web as standin_web

MS_PER_S = 1000.0
LOG_LIMIT_COUNT = 200_000
DURATION_LIMIT_COUNT = 500


@dataclasses.dataclass(kw_only=True)
class Behaviour:
    """Current behaviour; a POST to /behaviour changes any field.

    Attributes:
        low: First key of the key range.
        high: First key after the key range.
        versions: Available index versions.
        service_ms: Mean execution time of a search.
        spread_ratio: Share of the mean that is exponentially distributed.
        slow_factor: Factor on the execution time of searches.
        draining: Whether it announces that it is draining and rejects requests.
        shed: Whether it rejects all requests.
        act_ms: Execution time of an action.
        lose_act_count: Number of next actions that are executed without a
            response.
        queue_limit_count: Maximum number of requests that wait for a slot.
        health_lie: Whether /healthz reports healthy although requests are shed.
    """

    low: int = 0
    high: int = 0
    versions: list[int] = dataclasses.field(default_factory=lambda: [1])
    service_ms: float = 2.0
    spread_ratio: float = 0.5
    slow_factor: float = 1.0
    draining: bool = False
    shed: bool = False
    act_ms: float = 2.0
    lose_act_count: int = 0
    queue_limit_count: int = 64
    health_lie: bool = True


@dataclasses.dataclass(kw_only=True)
class Counters:
    """Counters and logs that tests read.

    Attributes:
        search_count: Executed searches.
        shed_count: Rejected requests.
        act_count: Executed actions.
        cancelled_count: Requests cancelled during execution.
        over_limit_count: Requests rejected for the connection limit.
        connection_peak_count: Maximum number of connections.
        slot_peak_count: Maximum number of occupied slots.
        new_work_while_draining_count: Requests received while draining.
        taken_ms: Durations of the first searches.
        runs: Number of executions by idempotency key.
        answered: Query id, index version and key range of each search.
    """

    search_count: int = 0
    shed_count: int = 0
    act_count: int = 0
    cancelled_count: int = 0
    over_limit_count: int = 0
    connection_peak_count: int = 0
    slot_peak_count: int = 0
    new_work_while_draining_count: int = 0
    taken_ms: list[float] = dataclasses.field(default_factory=list)
    runs: dict[str, int] = dataclasses.field(default_factory=dict)
    answered: list[tuple[str, int, int, int]] = dataclasses.field(
        default_factory=list
    )


class Upstream:
    """An upstream: its request handlers and state."""

    def __init__(
        self,
        upstream_id: str,
        service: str,
        slot_count: int,
        connection_limit_count: int,
        connect_cost_ms: float,
        behaviour: Behaviour,
    ):
        self._upstream_id = upstream_id
        self._service = service
        self._connection_limit_count = connection_limit_count
        self._connect_cost_ms = connect_cost_ms
        self._behaviour = behaviour
        self._counters = Counters()
        self._slots = asyncio.Semaphore(slot_count)
        self._running_count = 0
        self._waiting_count = 0
        self._known_transports: weakref.WeakSet = weakref.WeakSet()
        self._random = random.Random(upstream_id)
        application = web.Application()
        application.router.add_post("/search", self._search)
        application.router.add_post("/act", self._act)
        application.router.add_post("/behaviour", self._change_behaviour)
        application.router.add_get("/account", self._get_counters)
        application.router.add_get("/healthz", self._health)
        self.runner = web.AppRunner(
            application, access_log=None, handler_cancellation=True
        )

    def _headers(self) -> dict[str, str]:
        if self._behaviour.draining:
            return {"Upstream-State": "draining"}
        return {}

    async def _admit_connection(self, request: web.Request) -> bool:
        """Delays the first request of a connection by the connection cost.

        Returns:
            Whether the number of connections is within the limit.
        """
        count = len(self.runner.server.connections)
        counters = self._counters
        counters.connection_peak_count = max(
            counters.connection_peak_count, count
        )
        if count > self._connection_limit_count:
            counters.over_limit_count += 1
            return False
        if request.transport not in self._known_transports:
            self._known_transports.add(request.transport)
            await asyncio.sleep(self._connect_cost_ms / MS_PER_S)
        return True

    def _rejection(self) -> web.Response | None:
        behaviour = self._behaviour
        full = self._waiting_count >= behaviour.queue_limit_count
        if behaviour.draining:
            self._counters.new_work_while_draining_count += 1
        if behaviour.draining or behaviour.shed or full:
            self._counters.shed_count += 1
            return standin_web.json_response(
                {"shed": True}, status=503, **self._headers()
            )
        return None

    async def _occupy_slot(self, work_ms: float) -> None:
        """Waits for a slot and occupies it for the execution time."""
        self._waiting_count += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting_count -= 1
        self._running_count += 1
        counters = self._counters
        counters.slot_peak_count = max(
            counters.slot_peak_count, self._running_count
        )
        try:
            await asyncio.sleep(work_ms / MS_PER_S)
        except asyncio.CancelledError:
            counters.cancelled_count += 1
            raise
        finally:
            self._running_count -= 1
            self._slots.release()

    async def _search(self, request: web.Request) -> web.Response:
        began_s = asyncio.get_running_loop().time()
        body = await request.json()
        if not await self._admit_connection(request):
            return standin_web.json_response({}, status=503)
        rejection = self._rejection()
        if rejection is not None:
            return rejection
        behaviour = self._behaviour
        held = sorted(behaviour.versions)
        version = body["version"] or held[-1]
        if version not in held:
            reply = {"query_id": body["query_id"], "held": held}
            return standin_web.json_response(
                reply, status=409, **self._headers()
            )
        low, high = behaviour.low, behaviour.high
        varying = behaviour.spread_ratio * self._random.expovariate(1.0)
        fixed = 1.0 - behaviour.spread_ratio
        work_ms = behaviour.service_ms * (fixed + varying)
        await self._occupy_slot(work_ms * behaviour.slow_factor)
        hits = records.search(
            self._service, body["text"], low, high, version, body["limit"]
        )
        self._counters.search_count += 1
        if len(self._counters.taken_ms) < DURATION_LIMIT_COUNT:
            taken_s = asyncio.get_running_loop().time() - began_s
            self._counters.taken_ms.append(round(taken_s * MS_PER_S, 2))
        if len(self._counters.answered) < LOG_LIMIT_COUNT:
            entry = (body["query_id"], version, low, high)
            self._counters.answered.append(entry)
        reply = {
            "query_id": body["query_id"],
            "version": version,
            "held": held,
            "low": low,
            "high": high,
            "hits": hits,
        }
        return standin_web.json_response(reply, **self._headers())

    async def _act(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not await self._admit_connection(request):
            return standin_web.json_response({}, status=503)
        rejection = self._rejection()
        if rejection is not None:
            return rejection
        key = body["key"]
        # The action takes effect first: a later fault loses the response only.
        runs = self._counters.runs
        runs[key] = runs.get(key, 0) + 1
        self._counters.act_count += 1
        await asyncio.shield(self._occupy_slot(self._behaviour.act_ms))
        if self._behaviour.lose_act_count > 0:
            self._behaviour.lose_act_count -= 1
            return standin_web.abort_connection(request)
        receipt = f"{self._upstream_id}/{key}/{runs[key]}"
        return standin_web.json_response(
            {"receipt": receipt}, **self._headers()
        )

    async def _change_behaviour(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            if not hasattr(self._behaviour, name):
                return standin_web.json_response({"unknown": name}, status=400)
            setattr(self._behaviour, name, value)
        return standin_web.json_response(dataclasses.asdict(self._behaviour))

    async def _get_counters(self, request: web.Request) -> web.Response:
        counters = dataclasses.asdict(self._counters)
        if "brief" in request.query:
            del counters["answered"]
        return standin_web.json_response(counters)

    async def _health(self, _request: web.Request) -> web.Response:
        healthy = self._behaviour.health_lie or not self._behaviour.shed
        return standin_web.json_response(
            {"well": healthy}, 200 if healthy else 503
        )


application = cyclopts.App(name="hyssoptack-standin-upstream")


@application.default
def main(
    *,
    upstream_id: str,
    service: str,
    address: str,
    low: int,
    high: int,
    slot_count: int = 3,
    connection_limit_count: int = 30,
    connect_cost_ms: float = 6.0,
    service_ms: float = 2.0,
    version: int = 1,
) -> None:
    """Serves an upstream until the process ends.

    Args:
        upstream_id: Its id.
        service: Name of its service.
        address: Address to listen on.
        low: First key of the key range.
        high: First key after the key range.
        slot_count: Number of requests executed at a time.
        connection_limit_count: Maximum number of connections.
        connect_cost_ms: Delay of the first request of a connection.
        service_ms: Mean execution time of a search.
        version: Available index version.
    """
    behaviour = Behaviour(
        low=low, high=high, versions=[version], service_ms=service_ms
    )
    upstream = Upstream(
        upstream_id,
        service,
        slot_count,
        connection_limit_count,
        connect_cost_ms,
        behaviour,
    )
    standin_web.serve_forever([(upstream.runner, address)])


if __name__ == "__main__":
    application()
