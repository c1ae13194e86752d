"""Processor time of an upstream call by HTTP client and event loop.

A process calls 30 to 370 upstreams at once, as a single-stage query does.
"""

import asyncio
import concurrent.futures
import time

import msgspec
import urllib3
import uvloop

from bench.slopes import farms
from bench.slopes import fit
from hyssoptack.core import catalog
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.relay import client

SIZES = (30, 90, 185, 370)
ROUNDS = 25
WARM_ROUNDS = 4


def _sub(number: int) -> message.SubQuery:
    return message.SubQuery(
        origin="bench",
        query_id=f"q{number}",
        service="wide",
        text="baguette",
        limit_count=10,
        urgency=query.Urgency.BROWSING,
        remaining_ms=5_000.0,
        asks=(),
    )


async def _aiohttp_rounds(upstreams: list[catalog.Upstream]) -> list[float]:
    upstream_client = client.UpstreamClient()
    walls = []

    async def one_round(number: int) -> None:
        sub = _sub(number)
        calls = [
            upstream_client.search(
                upstream,
                message.UpstreamAsk(
                    call_id=index,
                    upstream_id=upstream.upstream_id,
                    index_version=0,
                ),
                sub,
                5_000.0,
            )
            for index, upstream in enumerate(upstreams)
        ]
        replies = await asyncio.gather(*calls)
        answered = message.CallStatus.ANSWERED
        assert all(each.status is answered for each in replies)

    for number in range(WARM_ROUNDS):
        await one_round(number)
    cpu_s = time.process_time()
    for number in range(ROUNDS):
        started_s = time.perf_counter()
        await one_round(number)
        walls.append((time.perf_counter() - started_s) * 1000)
    walls.append((time.process_time() - cpu_s) * 1000)
    await upstream_client.close()
    return walls


def _urllib3_rounds(upstreams: list[catalog.Upstream]) -> list[float]:
    pool = urllib3.PoolManager(num_pools=len(upstreams) + 1, retries=False)
    encoder = msgspec.json.Encoder()
    decoder = msgspec.json.Decoder(client.SearchReply)

    def call(upstream: catalog.Upstream) -> client.SearchReply:
        body = client.SearchRequest(
            query_id="q",
            service="wide",
            text="baguette",
            limit=10,
            version=0,
            deadline_ms=5_000.0,
        )
        response = pool.request(
            "POST",
            f"http://{upstream.address}/search",
            body=encoder.encode(body),
        )
        return decoder.decode(response.data)

    walls = []
    with concurrent.futures.ThreadPoolExecutor(len(upstreams)) as threads:
        for _ in range(WARM_ROUNDS):
            list(threads.map(call, upstreams))
        cpu_s = time.process_time()
        for _ in range(ROUNDS):
            started_s = time.perf_counter()
            list(threads.map(call, upstreams))
            walls.append((time.perf_counter() - started_s) * 1000)
        walls.append((time.process_time() - cpu_s) * 1000)
    return walls


def main() -> None:
    """Measures each client and number of upstreams and reports them."""
    clients = {
        "urllib3 in threads": _urllib3_rounds,
        "aiohttp on asyncio": lambda upstreams: asyncio.run(
            _aiohttp_rounds(upstreams)
        ),
        "aiohttp on uvloop": lambda upstreams: uvloop.run(
            _aiohttp_rounds(upstreams)
        ),
    }
    rows = []
    cpus: dict[str, list[float]] = {client_name: [] for client_name in clients}
    for size in SIZES:
        with farms.Farms(size) as farm:
            for client_name, rounds in clients.items():
                *walls, cpu_ms = rounds(farm.upstreams())
                cpus[client_name].append(cpu_ms / ROUNDS)
                rows.append(
                    {
                        "client": client_name,
                        "upstreams": size,
                        "cpu_us_a_call": round(
                            cpu_ms * 1000 / ROUNDS / size, 1
                        ),
                        "p50_ms": round(fit.quantile(walls, 0.5), 1),
                        "p99_ms": round(fit.quantile(walls, 0.99), 1),
                    }
                )
    lines = {
        f"cpu ms a query, {client_name}": fit.fit_line(list(SIZES), values)
        for client_name, values in cpus.items()
    }
    fit.report("upstream_client", rows, lines)


if __name__ == "__main__":
    main()
