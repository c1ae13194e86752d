"""Rate limits of whole gateways: callers, delegation, store and metrics."""

import asyncio

from hyssoptack.core import clock
from hyssoptack.core import ratelimitmessage
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.settings import gateway

SETTINGS = gateway.RateLimitSettings(
    window_ms=5_000.0, overage_ratio=0.1, slack_count=20.0
)
LIST_TIMEOUT_S = 8.0


def _team(name, rate_per_s, burst):
    return {
        "name": name,
        "api_keys": [f"key-{name}"],
        "rate_per_s": rate_per_s,
        "burst": burst,
    }


TENANTS = [_team("busy", 10.0, 10.0), _team("calm", 10.0, 10.0)]


async def _start_upstreams(site, *routes, count=2):
    for index in range(count):
        for zone in ("north", "south"):
            await site.add_upstream(f"{zone}-{index}", "desk", zone=zone)


async def _wait_for_lists(site, counts):
    async with asyncio.timeout(LIST_TIMEOUT_S):
        for name, count in counts.items():
            election = site.gateways[name].reader_election
            while len(election.neighbours()) < count:
                await asyncio.sleep(0.02)


async def _wait_settled(site):
    """Waits until owners that have just started create tokens."""
    async with asyncio.timeout(LIST_TIMEOUT_S):
        for each in site.gateways.values():
            ranking = each._rate_limiter._ranking
            while not ranking.is_settled(clock.now_ms()):
                await asyncio.sleep(0.02)


async def _get(site, team, request_id, name="n1", path="/one/x"):
    fields = ((b"Authorization", b"Bearer key-" + team.encode()),)
    return await site.get(path, request_id, name=name, fields=fields)


async def _start_three(site):
    await _start_upstreams(site)
    site.configure(gateway_test.SINGLE, tenants=TENANTS)
    await site.start("n1", rate_limit=SETTINGS)
    await site.start("n2", rate_limit=SETTINGS)
    await site.start("s1", rate_limit=SETTINGS, failure_domain="south")
    await _wait_for_lists(site, {"n1": 1, "n2": 1})
    await _wait_settled(site)


def _record_sent(site):
    """Records the messages about rate limits that all gateways send."""
    sent = []
    for each in site.gateways.values():
        links = each._peering._links
        original_send = links.send

        def send(address, body, original_send=original_send):
            if isinstance(body, ratelimitmessage.Message):
                sent.append(body)
            original_send(address, body)

        links.send = send
    return sent


async def _send_for(site, team, rate_per_s, duration_s):
    """Sends a team's requests to all gateways in turn; returns responses."""
    names = list(site.gateways)
    tasks = []
    for number in range(round(rate_per_s * duration_s)):
        name = names[number % len(names)]
        task = _get(site, team, f"{team}-{number}", name)
        tasks.append(asyncio.create_task(task))
        await asyncio.sleep(1.0 / rate_per_s)
    return await asyncio.gather(*tasks)


def test_a_busy_team_is_limited_and_a_calm_one_never_refused():
    async def test():
        async with harness.Site() as site:
            await _start_three(site)
            busy, calm = await asyncio.gather(
                _send_for(site, "busy", 80, 3.0),
                _send_for(site, "calm", 5, 3.0),
            )
            run_count = sum(
                site.run_count(f"busy-{number}") for number in range(240)
            )
            assert run_count <= (10 * 3 + 10) * 1.1 + 20
            assert run_count >= 20
            refused = [each for each in busy if each.status == 429]
            assert len(refused) + run_count == len(busy)
            delays = {each.headers["retry-after"] for each in refused}
            assert len(delays) > len(refused) / 2
            assert all(0 < float(each) <= 10 for each in delays)
            assert [each.status for each in calm] == [200] * len(calm)
            page = await harness.send_raw(
                site.settings["n1"].metrics_address,
                b"GET / HTTP/1.1\r\nHost: p\r\n\r\n",
            )
            assert b'cause="over_limit",team="busy"' in page.body
            assert b"key-busy" not in page.body

    asyncio.run(test())


def test_delegated_and_sharded_queries_take_one_permit():
    async def test():
        async with harness.Site() as site:
            for index in range(4):
                for copy in range(2):
                    await site.add_upstream(f"i-{index}-{copy}", f"s{index}")
            route = {**gateway_test.SHARDS, "target_latency_ms": 150}
            site.configure(route, tenants=TENANTS)
            pair = await asyncio.gather(
                site.start(
                    "narrow",
                    link_mbps=harness.NARROW_MBPS,
                    rate_limit=SETTINGS,
                ),
                site.start(
                    "wide", link_mbps=harness.WIDE_MBPS, rate_limit=SETTINGS
                ),
            )
            narrow, wide = pair
            await _wait_for_lists(site, {"narrow": 1, "wide": 1})
            narrow._delegator.selector.record_reply_size(
                "route-0", harness.REPLY_BYTES
            )
            acquired = []
            for each in pair:
                limiter = each._rate_limiter
                original_acquire = limiter.acquire

                def acquire(team, on_decision, each=each, go=original_acquire):
                    acquired.append(each)
                    go(team, on_decision)

                limiter.acquire = acquire
            got = await _get(site, "busy", "q1", "narrow", "/all/x")
            assert got.status == 200
            assert site.run_count("q1") >= 4
            assert acquired == [narrow]

    asyncio.run(test())


def test_a_refused_request_returns_its_permit():
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("i-0", "desk")
            site.configure(gateway_test.SINGLE, tenants=TENANTS)
            started = await site.start(rate_limit=SETTINGS)
            site.store.remove("servers/i-0")
            async with asyncio.timeout(3):
                while started.view.upstreams:
                    await asyncio.sleep(0.02)
            got = await _get(site, "busy", "r1", "gateway-1")
            assert got.status == 503
            assert started._rate_limiter.report.event_count("refunds") == 1

    asyncio.run(test())


def test_nothing_is_sent_for_teams_without_a_limit():
    async def test():
        async with harness.Site() as site:
            await _start_three(site)
            free = {"name": "free", "api_keys": ["key-free"], "rate_per_s": 0}
            version = site.configure(gateway_test.SINGLE, tenants=[free])
            async with asyncio.timeout(5):
                for each in site.gateways.values():
                    while each.view.version != version:
                        await asyncio.sleep(0.02)
            sent = _record_sent(site)
            for number in range(6):
                got = await _get(site, "free", f"r{number}", "n1")
                assert got.status == 200
            await asyncio.sleep(0.3)
            assert not sent

    asyncio.run(test())


def test_a_gateway_without_bounds_limits_no_team():
    async def test():
        async with harness.Site() as site:
            await _start_upstreams(site)
            limited = [_team("busy", 1.0, 1.0)]
            site.configure(gateway_test.SINGLE, tenants=limited)
            started = await site.start("n1")
            assert started._rate_limiter is None
            for number in range(12):
                got = await _get(site, "busy", f"r{number}")
                assert got.status == 200

    asyncio.run(test())


def test_rates_stay_in_force_while_the_store_is_away():
    async def test():
        async with harness.Site() as site:
            await _start_upstreams(site)
            site.configure(
                gateway_test.SINGLE, tenants=[_team("busy", 2.0, 2.0)]
            )
            started = await site.start("n1", rate_limit=SETTINGS)
            await _wait_settled(site)
            version = started.view.version
            site.store.faults.down = True
            # Ends the watch that is in progress.
            site.store.put("op/unused", b"")
            await asyncio.sleep(0.1)
            raised = [_team("busy", 1_000.0, 1_000.0)]
            newer = site.configure(gateway_test.SINGLE, tenants=raised)
            got = await _send_for(site, "busy", 40, 1.0)
            assert started.view.version == version
            assert 0 < sum(each.status == 200 for each in got) <= 20
            site.store.faults.down = False
            async with asyncio.timeout(5):
                while started.view.version != newer:
                    await asyncio.sleep(0.02)
            await asyncio.sleep(0.3)
            got = await _send_for(site, "busy", 40, 0.5)
            assert [each.status for each in got] == [200] * len(got)

    asyncio.run(test())


def test_a_killed_owner_is_replaced_without_refusals():
    async def test():
        async with harness.Site() as site:
            await _start_three(site)
            limiter = site.gateways["n1"]._rate_limiter
            owner = limiter._ranking.ids("calm")[0]
            asker = "n2" if owner == "n1" else "n1"
            assert (await _get(site, "calm", "r1", asker)).status == 200
            site.kill(owner)
            await asyncio.sleep(0.2)
            statuses = []
            for number in range(8):
                got = await _get(site, "calm", f"k{number}", asker)
                statuses.append(got.status)
                await asyncio.sleep(0.15)
            assert statuses.count(200) >= 7

    asyncio.run(test())
