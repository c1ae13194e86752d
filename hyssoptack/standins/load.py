"""Stand-in callers: an open loop of searches at a rate, one line for each.

Arrivals do not wait for answers (an open loop), so a slow system is not spared.
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


async def _one(
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
            task = asyncio.ensure_future(_one(session, url, body, results))
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
    """Sends searches and writes what came back as JSON.

    Args:
        front: Where to send them.
        service: The service to search.
        rate: Searches a second.
        seconds: For how long.
        urgent_ratio: Share of urgent lookups.
        out: The file to write.
    """
    work = _load(front, service, rate, seconds, urgent_ratio)
    out.write_text(json.dumps(uvloop.run(work)), "utf-8")


if __name__ == "__main__":
    application()
