"""An entry that cannot be read ends every gateway, again and again."""

import asyncio
import json
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

ZONES = ("north", "south")
SERVICES = ("shard-1", "shard-2", "shard-3", "desk")
UNREADABLE_ENTRY = b'{"service":"desk","state":"ready","extra":' + b"[" * 1200
"""Bytes that are no JSON document: 1.2 kB, far below the store's limit."""

SLOTS_ENTRY = json.dumps(
    {
        "service": "other",
        "address": "127.0.0.1:9",
        "zone": "north",
        "version": "v1",
        "slots": 10**20,
        "state": "ready",
        "warmup_remaining_ms": 0,
        "sequence": 1,
    }
).encode()
"""A second way to the same end, played with `ENTRY=slots`."""

CALM_S, TROUBLE_S = 6.0, 25.0
PERIOD_S = 0.05
MACHINE_COUNT_MIN, END_COUNT_MIN = 2, 3
"""Rule: on a tenth of the machines (two at least), three ends of their own."""


async def play(record: standins.Record, folder: pathlib.Path) -> int:
    """Plays the case; returns the exit code."""
    store, runs = standins.Store(), []
    await store.start()
    leafs = [
        standins.Leaf(f"i-{service}-{zone}", service, zone, (0.005, 0.02), runs)
        for service in SERVICES
        for zone in ZONES
    ]
    for leaf in leafs:
        await leaf.start()
        leaf.register(store)
    routes = [
        standins.route("one", service="desk"),
        standins.route(
            "all",
            fanout_services=list(SERVICES[:3]),
            top_k=5,
            min_shard_fraction=0.75,
        ),
    ]
    store.put("op/config", standins.configuration(3, routes, list(SERVICES)))
    gateways = [
        standins.Gateway(f"g-{number}", ZONES[number % 2], record)
        for number in range(4)
    ]
    try:
        for gateway in gateways:
            gateway.configure(folder, store, ZONES)
            await gateway.start()
        if not await standins.wait_ready(gateways):
            record.write("the gateways did not become ready")
            return standins.NOT_RUN
        return await observe(record, store, gateways)
    finally:
        record.write_runs(runs)
        await asyncio.gather(*(each.close() for each in gateways))
        for each in (*leafs, store):
            each.stop()


async def observe(
    record: standins.Record,
    store: standins.Store,
    gateways: list[standins.Gateway],
) -> int:
    """Sends requests around the disruption and judges what was seen."""
    consumers = standins.Consumers(record, 1)
    balancer = standins.Balancer(gateways, record, 1)
    probing = asyncio.create_task(balancer.probe_periodically())
    await asyncio.sleep(1.5)
    calm = await send_for(consumers, balancer, gateways, CALM_S)
    if any(each.ends for each in gateways):
        record.write("a gateway ended before the disruption")
        return standins.NOT_RUN
    if standins.has_trouble():
        is_slots = os.environ.get("ENTRY") == "slots"
        entry = SLOTS_ENTRY if is_slots else UNREADABLE_ENTRY
        store.put("servers/i-foreign", entry)
        record.write(f"another writer puts servers/i-foreign: {entry[:60]}")
    later = await send_for(consumers, balancer, gateways, TROUBLE_S)
    probing.cancel()
    ends = {each.name: len(each.ends) for each in gateways}
    served = [sum(a.status == 200 for a in some) for some in (calm, later)]
    text = (
        f"ends of their own: {ends}; served {served[0]} of {len(calm)} "
        f"before the entry, {served[1]} of {len(later)} after it"
    )
    record.write(text)
    print(text)
    if served[0] < 0.9 * len(calm):
        return standins.NOT_RUN
    ended = sum(count >= END_COUNT_MIN for count in ends.values())
    return standins.BROKEN if ended >= MACHINE_COUNT_MIN else standins.OK


async def send_for(
    consumers: standins.Consumers,
    balancer: standins.Balancer,
    gateways: list[standins.Gateway],
    for_s: float,
) -> list[standins.Attempt]:
    """Sends a request each `PERIOD_S`; returns the attempts."""
    tasks = []
    end, number = standins.now() + for_s, 0
    while standins.now() < end:
        gateway = balancer.choose(ZONES[number % 2])
        path = "/all/x" if number % 3 else "/one/x"
        if gateway is None:
            # No machine is in rotation, so a connection reaches any or none.
            gateway = gateways[number % len(gateways)]
        tasks.append(
            asyncio.create_task(
                consumers.send(gateway.name, gateway.front, path, 2500)
            )
        )
        number += 1
        await asyncio.sleep(PERIOD_S)
    return list(await asyncio.gather(*tasks))


if __name__ == "__main__":
    standins.main(play, FOLDER)
