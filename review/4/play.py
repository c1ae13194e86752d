"""CONFIG: a route that was added later is not served any more.

All leafs of one service are silent for 4.5 s. A gateway answers their requests
10 ms before the consumer's time limit, and the consumer sends each once more
with the time that it has left.
"""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

import standins

ZONES = ("plateau", "almadies", "pikine")
GATEWAYS_PER_ZONE = 3
FIRST, LATER = "kiosque-four", "adhesion"
HOST = "search.example"
TIME_LIMIT_MS = 1000
SILENT_S = 4.5
BOUTS_COUNT = 5
ENOUGH_MS = 250
PER_S = 22.5
LEAST_RATIO = 0.25


def configured(version):
    routes = [
        standins.route("first", "/first/", service=FIRST, timeout_ms=1000)
    ]
    if version > 1:
        routes.append(
            standins.route("later", "/later/", service=LATER, timeout_ms=1000)
        )
    return standins.configuration(
        version, routes, [FIRST, LATER], max_connections=31
    )


async def attempts(gateways, path, sent, draw):
    """Sends a request, and once more if it fails, as long as time is left."""
    began = time.monotonic()
    for _ in range(2):
        left_ms = TIME_LIMIT_MS - int(1000 * (time.monotonic() - began))
        if left_ms <= 0:
            return
        at = time.monotonic()
        _, status, headers, _ = await standins.call(
            draw.choice(gateways).front, HOST, path, deadline_ms=left_ms
        )
        sent.append((at, path, left_ms, status))
        if status == 200:
            return
        left_s = TIME_LIMIT_MS / 1000 - (time.monotonic() - began)
        wait_s = float(headers.get("retry-after", 0.0))
        await asyncio.sleep(max(0.0, min(wait_s, left_s / 3)))


async def load(gateways, path, stop, sent):
    draw, tasks = random.Random(path), set()
    started, count = time.monotonic(), 0
    while not stop.is_set():
        while count < (time.monotonic() - started) * PER_S:
            task = asyncio.create_task(attempts(gateways, path, sent, draw))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            count += 1
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)


def silenced(leaf, silence):
    """Returns an answer that waits while the leaf is silent."""

    async def answer(request_id, method, target, headers, body):
        while silence:
            await asyncio.sleep(0.05)
        return await leaf._answer(request_id, method, target, headers, body)

    return answer


def served(sent, path, since, until):
    """Returns how many requests of a span were served, and how many sent.

    Those with little time left are not counted: they can hardly be served.
    """
    found = [
        status
        for at, each, left_ms, status in sent
        if each == path and since <= at < until and left_ms >= ENOUGH_MS
    ]
    return sum(status == 200 for status in found), len(found)


async def play(record, scratch, gateways, trouble):
    store = standins.Store()
    await store.start()
    silence = set()
    for service in (FIRST, LATER):
        for zone in ZONES:
            leaf = standins.Leaf(
                store, record, f"i-{service}-{zone}", service, zone
            )
            leaf.work_s = 0.03
            if service == LATER:
                leaf.answer = silenced(leaf, silence)
            await leaf.start()
    store.put("op/config", configured(1))
    for zone in ZONES:
        for number in range(GATEWAYS_PER_ZONE):
            gateway = standins.Gateway(
                scratch, f"front-{zone}-{number}", zone, ZONES, store.address
            )
            gateways.append(gateway)
            gateway.start()
    for each in gateways:
        await each.wait_ready()
    store.put("op/config", configured(2))
    await asyncio.sleep(4.0)
    stop, sent = asyncio.Event(), []
    loads = [
        asyncio.create_task(load(gateways, path, stop, sent))
        for path in ("/first/1", "/later/1")
    ]
    began = time.monotonic()
    await asyncio.sleep(8.0)
    for path in ("/first/1", "/later/1"):
        record(path, "served before:", *served(sent, path, began, began + 8))
    for number in range(BOUTS_COUNT):
        if trouble:
            record("all leafs of", LATER, "are silent")
            silence.add("now")
        await asyncio.sleep(SILENT_S)
        silence.clear()
        record("all leafs of", LATER, "answer")
        await asyncio.sleep(10.0)
        now = time.monotonic()
        for path in ("/first/1", "/later/1"):
            record(path, "served:", *served(sent, path, now - 5.0, now - 1.0))
    await asyncio.sleep(10.0)
    now = time.monotonic()
    stop.set()
    await asyncio.gather(*loads)
    first = served(sent, "/first/1", now - 9.0, now - 1.0)
    later = served(sent, "/later/1", now - 9.0, now - 1.0)
    short = sum(left_ms <= 10 for _, _, left_ms, _ in sent)
    record("attempts with 10 ms or less:", short)
    record("steady state: first route", *first, "later route", *later)
    return later[0] / later[1] >= LEAST_RATIO * first[0] / first[1]

if __name__ == "__main__":
    sys.exit(standins.run(play, FOLDER))
