"""Stops of two of a zone's three gateways cut requests that they passed on."""

import asyncio
import collections
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

ZONES = ("north", "south")
WORK_S = (0.1, 0.9)
"""Work of a leaf, as a single lookup of the sheets: 160 ms, 960 ms at most."""

PERIOD_S = 0.02
TIME_LIMIT_MS = 10_000
BEFORE_S, ALL_S = 6.0, 24.0
STOP_COUNT = 2
"""Machines that are stopped at a time: the site file has 1, others 3 to 10."""

GRACE_S, EARLY_S = 6.0, 3.0
"""Rule: requests sent up to `EARLY_S` after a SIGTERM are excused where their
leaf is still at work in the last sixth of `GRACE_S`."""


async def play(record: standins.Record, folder: pathlib.Path) -> int:
    """Plays the case; returns the exit code."""
    store, runs = standins.Store(), []
    await store.start()
    leafs = [
        standins.Leaf(f"i-desk-{zone}-{number}", "desk", zone, WORK_S, runs)
        for zone in ZONES
        for number in range(3)
    ]
    for leaf in leafs:
        await leaf.start()
        leaf.register(store)
    one = standins.route(
        "one", service="desk", timeout_ms=TIME_LIMIT_MS, target_latency_ms=600
    )
    store.put("op/config", standins.configuration(3, [one], ["desk"]))
    gateways = [
        standins.Gateway(f"g-{number}", ZONES[number == 3], record)
        for number in range(4)
    ]
    try:
        for gateway in gateways:
            gateway.configure(folder, store, ZONES)
            await gateway.start()
        if not await standins.wait_ready(gateways):
            record.write("the gateways did not become ready")
            return standins.NOT_RUN
        return await observe(record, gateways, runs)
    finally:
        record.write_runs(runs)
        await asyncio.gather(*(each.close() for each in gateways))
        for each in (*leafs, store):
            each.stop()


async def observe(
    record: standins.Record,
    gateways: list[standins.Gateway],
    runs: list[standins.Run],
) -> int:
    """Sends requests around the stops and judges what was seen."""
    consumers = standins.Consumers(record, 1)
    balancer = standins.Balancer(gateways, record, 1)
    probing = asyncio.create_task(balancer.probe_periodically())
    await asyncio.sleep(1.5)
    sending = asyncio.create_task(send_for(consumers, balancer, ALL_S))
    await asyncio.sleep(BEFORE_S)
    stopped = await stop_some(gateways) if standins.has_trouble() else {}
    await sending
    probing.cancel()
    return judge(record, consumers.attempts, runs, stopped)


async def stop_some(gateways: list[standins.Gateway]) -> dict[str, float]:
    """Stops two gateways of one zone; returns the times of the SIGTERMs."""
    stopped = {}
    for each in gateways[:STOP_COUNT]:
        stopped[each.name] = standins.now()
        each.signal(signal.SIGTERM)
    for each in gateways[:STOP_COUNT]:
        left_s = stopped[each.name] + GRACE_S - standins.now()
        try:
            await asyncio.wait_for(each.process.wait(), max(0.1, left_s))
        except TimeoutError:
            each.signal(signal.SIGKILL)
            await each.process.wait()
        await each.start()
    return stopped


async def send_for(
    consumers: standins.Consumers, balancer: standins.Balancer, for_s: float
) -> None:
    """Sends a request of a consumer in the first zone each `PERIOD_S`."""
    tasks = []
    end = standins.now() + for_s
    while standins.now() < end:
        gateway = balancer.choose(ZONES[0])
        if gateway is not None:
            sent = consumers.send(
                gateway.name, gateway.front, "/one/x", TIME_LIMIT_MS
            )
            tasks.append(asyncio.create_task(sent))
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*tasks)


def judge(
    record: standins.Record,
    attempts: list[standins.Attempt],
    runs: list[standins.Run],
    stopped: dict[str, float],
) -> int:
    """Counts requests that were passed on and got no whole answer."""
    run_ids = {each.request_id for each in runs}
    lost_count = 0
    for each in attempts:
        if each.status or each.request_id not in run_ids:
            continue
        stop = stopped.get(each.gateway)
        after_s = each.sent - stop if stop is not None else None
        is_lost = stop is not None and EARLY_S < after_s <= GRACE_S + 1.0
        lost_count += is_lost
        record.write(
            f"run and not answered: {each.request_id} at {each.gateway}, "
            f"sent {after_s} s after its SIGTERM, cut "
            f"{each.ended - each.sent:.3f} s later, counts: {is_lost}"
        )
    statuses = dict(collections.Counter(each.status for each in attempts))
    text = f"statuses: {statuses}; run, cut and not excused: {lost_count}"
    record.write(text)
    print(text)
    return standins.BROKEN if lost_count else standins.OK


if __name__ == "__main__":
    standins.main(play, FOLDER)
