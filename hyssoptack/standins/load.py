"""A load generator that sends searches at a constant mean rate.

It is an open loop: a request does not wait for earlier responses, so that a
slow system gets the same load. It writes one result for each search.
"""

import asyncio
import json
import pathlib
import random
import time

import aiohttp
import cyclopts
import uvloop

TEXTS = ("baguette deck oven", "croissant", "fault check", "brioche curve")
CALL_LIMIT_S = 10.0


async def _search(
    session: aiohttp.ClientSession, url: str, body: dict, results: list
) -> None:
    started_s = time.monotonic()
    result = {"class": body["class"], "started_s": started_s}
    try:
        async with session.post(url, json=body) as response:
            document = await response.json(content_type=None)
            result["status"] = response.status
            for name in (
                "coverage_ratio",
                "extra_call_count",
                "upstream_call_count",
                "reason",
                "retry_after_ms",
            ):
                if name in document:
                    result[name] = document[name]
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
        result["status"] = 0
        result["reason"] = type(error).__name__
    result["elapsed_ms"] = (time.monotonic() - started_s) * 1000
    results.append(result)


async def _load(
    front: str, service: str, rate: float, seconds: float, urgent_ratio: float
) -> list[dict]:
    rng = random.Random(11)
    results: list[dict] = []
    tasks: set[asyncio.Task] = set()
    url = f"http://{front}/services/{service}/search"
    timeout = aiohttp.ClientTimeout(total=CALL_LIMIT_S)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(
        timeout=timeout, connector=connector
    ) as session:
        started_s = time.monotonic()
        at_s = 0.0
        while at_s < seconds:
            at_s += rng.expovariate(rate)
            await asyncio.sleep(started_s + at_s - time.monotonic())
            urgent = rng.random() < urgent_ratio
            body = {
                "text": rng.choice(TEXTS),
                "limit": 5,
                "class": "urgent" if urgent else "browsing",
            }
            task = asyncio.ensure_future(_search(session, url, body, results))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
    return results


application = cyclopts.App(name="hyssoptack-standin-load")


@application.default
def main(
    *,
    front: str,
    service: str,
    rate: float,
    seconds: float = 8.0,
    urgent_ratio: float = 0.2,
    out: pathlib.Path,
) -> None:
    """Sends searches and writes their results as JSON.

    Args:
        front: Address to send them to.
        service: Service to search.
        rate: Mean number of searches per second.
        seconds: Duration of the load.
        urgent_ratio: Share of searches of the class `urgent`.
        out: File to write the results to.
    """
    work = _load(front, service, rate, seconds, urgent_ratio)
    out.write_text(json.dumps(uvloop.run(work)), "utf-8")


if __name__ == "__main__":
    application()
