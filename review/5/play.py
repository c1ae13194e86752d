"""DRAIN after the store came back from an older copy."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

import standins

ZONES = ("plateau", "almadies", "pikine")
SERVICE = "registre"
DRAIN_S = 3.0
CHANGES_COUNT = 4


def configured(version):
    routes = [standins.route("certif", "/certif/", service=SERVICE)]
    # Each version has a further route.
    routes += [
        standins.route(f"added-{each}", f"/added-{each}/", service=SERVICE)
        for each in range(version - 1)
    ]
    return standins.configuration(version, routes, [SERVICE])


async def load(gateway, stop, counts):
    """Sends a request each 40 ms."""
    while not stop.is_set():
        _, status, _, _ = await standins.call(
            gateway.front, "search.example", "/certif/1"
        )
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(0.04)


async def play(record, scratch, gateways, trouble):
    store = standins.Store()
    await store.start()
    leafs = [
        standins.Leaf(store, record, f"i-{zone}-{number}", SERVICE, zone)
        for zone in ZONES
        for number in range(2)
    ]
    for each in leafs:
        await each.start()
    store.put("op/config", configured(1))
    for zone in ZONES:
        gateway = standins.Gateway(
            scratch, f"front-{zone}", zone, ZONES, store.address
        )
        gateways.append(gateway)
        gateway.start()
    for each in gateways:
        await each.wait_ready()
    stop, counts = asyncio.Event(), {}
    loads = [asyncio.create_task(load(e, stop, counts)) for e in gateways]
    await asyncio.sleep(8.0)

    copy = store.copy()
    record("copy of the store at revision", store.revision)
    for version in range(2, 2 + CHANGES_COUNT):
        store.put("op/config", configured(version))
        record("version", version, "confirmed at revision", store.revision)
        await asyncio.sleep(1.0)
    if trouble:
        store.go_away()
        record("store away at revision", store.revision)
        await asyncio.sleep(0.5)
        store.restore(copy)
        record("store back, era", store.era, "revision", store.revision)
    await asyncio.sleep(0.5)
    store.put("op/config", configured(1 + CHANGES_COUNT))
    record("newest version stored, revision", store.revision)
    # Twice `stable_window_ms`: the store is stable and all are in touch.
    await asyncio.sleep(8.0)

    leaf = leafs[0]
    leaf.state = "draining"
    revision = leaf.register()
    confirmed = time.monotonic()
    record(leaf.leaf_id, "draining, confirmed at revision", revision)
    await asyncio.sleep(10.0)
    stop.set()
    await asyncio.gather(*loads)
    late = [
        (at - confirmed, request_id)
        for at, request_id in leaf.arrivals
        if at - confirmed > DRAIN_S
    ]
    for after_s, request_id in late[:20]:
        record(f"{request_id} reached {leaf.leaf_id} {after_s:.2f} s after")
    last_s = max((at - confirmed for at, _ in leaf.arrivals), default=0.0)
    record("answers by status", counts)
    record(f"last request {last_s:.2f} s after the confirmation")
    record("requests that were late at the leaf:", len(late))
    return not late


if __name__ == "__main__":
    sys.exit(standins.run(play, FOLDER))
