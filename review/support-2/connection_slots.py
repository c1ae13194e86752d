"""Shows that calls which are cancelled too early use up connection slots (case 4).

The short form of case 4, without a disruption that the pages name.
A gateway with one leaf gets 30 requests whose callers wait for 8 ms, and then
ten ordinary ones. It prints the statuses of the ordinary ones before and after,
and ends with 1 if the gateway does not reach the leaf any more.
"""

import asyncio
import pathlib
import sys
import tempfile

import standins

HOST = "search.example"
SERVICE = "registre"


async def ordinary(gateway):
    """Returns the statuses of ten ordinary requests."""
    calls = (
        standins.call(gateway.front, HOST, "/certif/1", deadline_ms=1000)
        for _ in range(10)
    )
    return [status for _, status, _, _ in await asyncio.gather(*calls)]


async def main():
    store = standins.Store()
    await store.start()
    leaf = standins.Leaf(store, None, "i-1", SERVICE, "plateau")
    await leaf.start()
    routes = [standins.route("certif", "/certif/", service=SERVICE)]
    store.put(
        "op/config",
        standins.configuration(1, routes, [SERVICE], max_connections=31),
    )
    with tempfile.TemporaryDirectory() as folder:
        gateway = standins.Gateway(
            pathlib.Path(folder),
            "front-1",
            "plateau",
            ("plateau",),
            store.address,
        )
        gateway.start()
        try:
            await gateway.wait_ready()
            print("before:", await ordinary(gateway))
            # Until the idle connections are closed.
            await asyncio.sleep(5.0)
            for _ in range(30):
                await standins.call(
                    gateway.front, HOST, "/certif/1", deadline_ms=8
                )
                await asyncio.sleep(0.02)
            await asyncio.sleep(5.0)
            after = await ordinary(gateway)
            print("after:", after)
            await asyncio.sleep(20.0)
            later = await ordinary(gateway)
            print("20 s later:", later)
        finally:
            gateway.stop()
    return 0 if 200 in later else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
