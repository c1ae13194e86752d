"""Queries that neighbours run: answered, taken back, cancelled, declined."""

import asyncio
import dataclasses
import random
import types

from hyssoptack.core import gatewaymessage
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.gateway import inbound
from hyssoptack.gateway import querydelegation
from hyssoptack.policy import delegation


async def _start_pair(site):
    """A narrow instance and a wide one, over four shards of one upstream."""
    for index in range(4):
        body = bytes([index]) * 16 + bytes([200 - index]) * 16
        await site.add_upstream(f"i-{index}", f"s{index}", body)
    site.configure(gateway_test.SHARDS)
    narrow, _ = await site.start_delegating_pair()
    return narrow


def test_a_wider_neighbour_answers_and_the_caller_sees_no_difference():
    async def test():
        async with harness.Site() as site:
            narrow = await _start_pair(site)
            first = await site.get("/all/x", "r1", name="narrow")
            wide = site.gateways["wide"]
            assert first.status == 200
            assert first.headers["x-missing-parts"] == "0"
            assert first.body[:16] == bytes([200]) * 16
            assert sum(s.run_counts[b"r1"] for s in site.services.values()) == 4
            # Nothing was gathered over the narrow link.
            assert narrow._pools.opened_count < wide._pools.opened_count
            assert not narrow._delegating.pending

    asyncio.run(test())


def test_a_neighbour_that_is_gone_costs_no_answer():
    async def test():
        async with harness.Site() as site:
            await _start_pair(site)
            site.kill("wide")
            for number in range(5):
                response = await site.get("/all/x", f"r{number}", name="narrow")
                assert response.status == 200
                assert response.headers["x-missing-parts"] == "0"

    asyncio.run(test())


def test_a_neighbour_with_another_configuration_declines():
    async def test():
        async with harness.Site() as site:
            narrow = await _start_pair(site)
            table = site.gateways["wide"].view
            original_table = table.route_table
            table.route_table = types.SimpleNamespace(
                configuration=types.SimpleNamespace(version=999)
            )
            response = await site.get("/all/x", "r1", name="narrow")
            table.route_table = original_table
            assert response.status == 200
            assert sum(s.run_counts[b"r1"] for s in site.services.values()) == 4
            assert not narrow._delegating.pending

    asyncio.run(test())


def test_a_stopping_neighbour_declines_and_finishes_what_it_began():
    async def test():
        async with harness.Site() as site:
            await _start_pair(site)
            for each in site.services.values():
                each.behaviour.delay_ms = 150.0
            begun = asyncio.create_task(site.get("/all/x", "r1", name="narrow"))
            await asyncio.sleep(0.05)
            site.gateways["wide"].stop()
            later = await site.get("/all/x", "r2", name="narrow")
            response = await begun
            assert (response.status, later.status) == (200, 200)
            for name in ("r1", "r2"):
                key = name.encode()
                runs = [s.run_counts[key] for s in site.services.values()]
                assert runs == [1, 1, 1, 1]

    asyncio.run(test())


def test_a_caller_that_leaves_ends_the_work_at_the_neighbour():
    async def test():
        async with harness.Site() as site:
            await _start_pair(site)
            for each in site.services.values():
                each.behaviour.never = True
            address = site.settings["narrow"].callers_address
            host, _, port = address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(harness.request_bytes("/all/x", "r1"))
            await asyncio.sleep(0.1)
            writer.close()
            async with asyncio.timeout(0.5):
                while any(
                    not s.cancelled_count for s in site.services.values()
                ):
                    await asyncio.sleep(0.02)
            assert not site.gateways["wide"]._serving.active_runs

    asyncio.run(test())


def test_a_neighbour_that_stands_still_is_not_waited_for():
    async def test():
        async with harness.Site() as site:
            narrow = await _start_pair(site)
            # It takes messages and says nothing: a frozen process.
            site.gateways["wide"]._peering.on_message = lambda _: None
            for each in site.services.values():
                each.behaviour.delay_ms = 20.0
            started_s = asyncio.get_running_loop().time()
            response = await site.get("/all/x", "r1", name="narrow")
            took_s = asyncio.get_running_loop().time() - started_s
            assert response.status == 200
            assert took_s * 1_000 < delegation.ACCEPT_TIMEOUT_MS + 150.0
            # It is left alone from then on.
            assert (
                narrow._delegating.selector.choose(
                    delegation.Query(
                        route_name="route-0", part_count=4, to_goal_ms=300.0
                    ),
                    0.0,
                )
                is None
            )

    asyncio.run(test())


def test_a_query_that_can_not_be_paid_for_here_stays_with_a_slow_neighbour():
    # After all instances had lost power, queries taken back from neighbours
    # that were starting too failed, as nothing was left for extra calls.
    async def test():
        async with harness.Site() as site:
            narrow = await _start_pair(site)
            empty_share = dataclasses.replace(
                narrow._extra_calls.share, slack_count=0.0
            )
            narrow._extra_calls.share = empty_share
            narrow._extra_calls.gather_share = empty_share
            for each in narrow._extra_calls._services.values():
                each.slack_count = 0.0
            wide = site.gateways["wide"]._peering
            deliver = wide.on_message
            loop = asyncio.get_running_loop()
            received_types = []

            def deliver_late(each):
                received_types.append(type(each))
                loop.call_later(0.1, deliver, each)

            wide.on_message = deliver_late
            response = await site.get("/all/x", "r1", name="narrow")
            assert response.status == 200
            # Asked again after its answer, it would run the query once more.
            assert received_types.count(gatewaymessage.DelegationRequest) == 1
            runs = [s.run_counts[b"r1"] for s in site.services.values()]
            assert runs == [1, 1, 1, 1]

    asyncio.run(test())


def _delegation_request():
    return gatewaymessage.DelegationRequest(
        sender_address="n:1",
        ask_id=3,
        version=1,
        route_name="r",
        method=b"GET",
        target=b"/all/x",
        headers=(),
        body=b"",
        elapsed_ms=1.0,
    )


def test_who_stood_still_takes_no_query_that_may_have_waited_as_long():
    sent = []
    delegator = querydelegation.Delegator(
        delegation.DelegateSelector(0.0, random.Random(1)),
        "w:1",
        lambda _, each: sent.append(each),
        None,
        None,
    )
    delegator._last_tick_ms -= 2 * querydelegation.STALL_MS
    assert delegator.accept(_delegation_request(), can_serve=True) is None
    assert [each.begun for each in sent] == [False]
    delegator._last_tick_ms += 2 * querydelegation.STALL_MS
    exchange = delegator.accept(_delegation_request(), can_serve=True)
    assert exchange is not None
    assert sent[-1].begun
    # Asked again, it says that it runs, and begins nothing.
    assert delegator.accept(_delegation_request(), can_serve=False) is None
    assert sent[-1].begun


def test_messages_that_waited_are_declined_though_the_watch_has_run():
    # After a stop the loop runs its timers first, and reads messages then.
    sent = []
    delegator = querydelegation.Delegator(
        delegation.DelegateSelector(0.0, random.Random(1)),
        "w:1",
        lambda _, each: sent.append(each),
        None,
        None,
    )
    delegator._last_tick_ms -= 2 * querydelegation.STALL_MS

    async def run_watch():
        watch = asyncio.create_task(delegator.watch_stalls())
        await asyncio.sleep(0.01)
        watch.cancel()

    asyncio.run(run_watch())
    assert delegator.accept(_delegation_request(), can_serve=True) is None
    assert [each.begun for each in sent] == [False]


def test_an_answer_that_can_not_be_in_time_is_given_time_to_be_whole():
    route = types.SimpleNamespace(latency_goal_ms=150.0)
    query = inbound.Request(
        exchange=types.SimpleNamespace(
            request=types.SimpleNamespace(received_ms=1_000.0)
        ),
        metadata=None,
        route_match=types.SimpleNamespace(route=route),
        caller_spent_ms=7.0,
        transit_margin_ms=9.0,
    )
    assert query.goal_at_ms(1_000.0) == 1_134.0
    assert query.goal_at_ms(1_140.0) == 1_150.0


def test_a_neighbour_that_is_late_is_let_finish():
    # Taken back at the goal, 4 requests of a day ran on three upstreams of a
    # shard where their routes allow two.
    async def test():
        async with harness.Site() as site:
            await _start_pair(site)
            for each in site.services.values():
                each.behaviour.delay_ms = 700.0
            response = await site.get("/all/x", "r1", name="narrow")
            assert response.status == 200
            runs = [s.run_counts[b"r1"] for s in site.services.values()]
            assert runs == [1, 1, 1, 1]

    asyncio.run(test())


def test_a_neighbour_lost_on_the_way_ends_the_query_at_once():
    async def test():
        async with harness.Site() as site:
            await _start_pair(site)
            for each in site.services.values():
                each.behaviour.delay_ms = 700.0
            begun = asyncio.create_task(site.get("/all/x", "r1", name="narrow"))
            await asyncio.sleep(0.1)
            site.kill("wide")
            async with asyncio.timeout(0.7):
                response = await begun
            assert response.status == 502
            runs = [s.run_counts[b"r1"] for s in site.services.values()]
            assert runs == [1, 1, 1, 1]

    asyncio.run(test())
