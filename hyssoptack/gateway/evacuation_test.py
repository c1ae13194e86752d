"""Upstreams of a failure domain that operators evacuate get no requests."""

import asyncio
import dataclasses

from hyssoptack.events import log
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.platform import storeformat

KEY = "op/evacuate/south"
EVACUATION_TIMEOUT_S = 5.0


async def _add_domains(site: harness.Site) -> None:
    """Adds two shards with upstreams in both domains, one only in the south."""
    for name, service, zone in (
        ("n0", "s0", "north"),
        ("s0", "s0", "south"),
        ("n1", "s1", "north"),
        ("s1", "s1", "south"),
        ("s2", "s2", "south"),
        ("n3", "desk", "north"),
        ("s3", "desk", "south"),
    ):
        await site.add_upstream(name, service, zone=zone)
    shards = {"top_k": 3, "fanout_services": ["s0", "s1", "s2"]}
    site.configure(
        {"prefix": "/most/", "min_shard_fraction": 0.6, **shards},
        {"prefix": "/all/", "min_shard_fraction": 1.0, **shards},
        gateway_test.SINGLE,
        gateway_test.ONCE,
    )


def _south_request_count(site: harness.Site) -> int:
    return sum(
        len(each.request_heads)
        for name, each in site.upstreams.items()
        if name.startswith("s")
    )


async def _wait_evacuated(site: harness.Site, domains: set[str]) -> None:
    """Waits until all gateways know the evacuated domains."""
    async with asyncio.timeout(EVACUATION_TIMEOUT_S):
        while any(
            each.view.evacuations.evacuated_domains(0.0) != domains
            for each in site.gateways.values()
        ):
            await asyncio.sleep(0.02)


def test_upstreams_of_an_evacuated_domain_get_no_requests():
    async def test():
        async with harness.Site() as site:
            await _add_domains(site)
            await site.start()
            site.store.put(KEY, b"{}")
            await _wait_evacuated(site, {"south"})
            before = _south_request_count(site)
            for index in range(12):
                got = await site.get("/most/", f"a{index}")
                assert got.status == 200
                assert got.headers["x-missing-parts"] == "1"
                assert (await site.get("/one/x", f"b{index}")).status == 200
            assert _south_request_count(site) == before

    asyncio.run(test())


def test_requests_only_an_evacuated_domain_serves_are_refused_at_once():
    async def test():
        async with harness.Site() as site:
            await _add_domains(site)
            await site.start()
            site.store.put(KEY, b"")
            await _wait_evacuated(site, {"south"})
            started = asyncio.get_running_loop().time()
            got = await site.get("/all/", "r1")
            assert asyncio.get_running_loop().time() - started < 0.1
            assert got.status == 503
            assert float(got.headers["retry-after"]) > 0
            assert site.run_count("r1") == 0

    asyncio.run(test())


def test_a_removed_evacuation_ends():
    async def test():
        async with harness.Site() as site:
            await _add_domains(site)
            site.store.put(KEY, b"{}")
            await site.start()
            await _wait_evacuated(site, {"south"})
            assert (await site.get("/all/", "r1")).status == 503
            site.store.remove(KEY)
            await _wait_evacuated(site, set())
            assert (await site.get("/all/", "r2")).status == 200

    asyncio.run(test())


def test_an_evacuation_is_found_after_the_store_compacted_its_events():
    async def test():
        async with harness.Site() as site:
            await _add_domains(site)
            await site.start()
            site.store.faults.silent = True
            site.store.put(KEY, b"{}")
            await asyncio.sleep(1.0)
            site.store.faults.silent = False
            site.store.faults.compacted = True
            await _wait_evacuated(site, {"south"})

    asyncio.run(test())


def test_neighbours_get_an_evacuation_from_their_reader():
    async def test():
        async with harness.Site() as site:
            await _add_domains(site)
            for name in ("g-1", "g-2", "g-3"):
                await site.start(name)
            await asyncio.sleep(2.0)
            site.store.put(KEY, b"{}")
            await _wait_evacuated(site, {"south"})

    asyncio.run(test())


def test_a_request_waiting_for_a_connection_leaves_an_evacuated_domain():
    async def test():
        async with harness.Site() as site:
            await _add_domains(site)
            await site.start()
            gateway = site.gateways["gateway-1"]
            # Send all requests to the south, over one connection at a time.
            gateway.view.load_balancer.settings = dataclasses.replace(
                gateway.view.load_balancer.settings, failure_domain="south"
            )
            gateway._request_handler.connection_limit_count = lambda _: 1
            gateway.view.load_balancer.upstream_states[
                "n3"
            ].ejected_until_ms = 1e15
            site.upstreams["s3"].behaviour.delay_ms = 700.0
            calls = [
                asyncio.create_task(
                    site.get("/once/x", f"r{index}", method="POST", body=b"b")
                )
                for index in range(3)
            ]
            await asyncio.sleep(0.1)
            site.store.put(KEY, b"{}")
            await _wait_evacuated(site, {"south"})
            assert [each.status for each in await asyncio.gather(*calls)] == [
                200,
                200,
                200,
            ]
            assert len(site.upstreams["s3"].request_heads) == 1

    asyncio.run(test())


def test_an_unknown_operator_key_is_logged_and_changes_nothing(monkeypatch):
    lines = []
    write = log.write

    def note(event, **fields):
        lines.append((event, fields))
        write(event, **fields)

    monkeypatch.setattr(log, "write", note)

    async def test():
        async with harness.Site() as site:
            await _add_domains(site)
            for key in ("op/evacuate/", "op/evacuate/n s", "op/evacuate/moon"):
                site.store.put(key, b"\xff")
            await site.start()
            assert (await site.get("/all/", "r1")).status == 200

    asyncio.run(test())
    ignored = {
        fields["key"]
        for event, fields in lines
        if event is log.Event.OPERATOR_KEY_IGNORED
    }
    assert ignored == {"op/evacuate/", "op/evacuate/n s", "op/evacuate/moon"}


def test_other_operator_keys_evacuate_no_domain():
    for key in ("op/evacuate/", "op/config", "op/evacuate", "servers/a"):
        assert storeformat.evacuated_domain(key) is None
    assert storeformat.evacuated_domain("op/evacuate/north") == "north"
