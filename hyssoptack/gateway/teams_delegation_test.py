"""Teams of queries that several gateways serve: delegated, relayed, moved."""

import asyncio
import dataclasses
import json

import pytest

from hyssoptack.core import gatewaymessage
from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.gateway import teams_test


async def _start_shards(site, domain="north"):
    for index in range(4):
        body = bytes([index]) * 16 + bytes([200 - index]) * 16
        await site.add_upstream(f"i-{index}", f"s{index}", body, domain)
    site.configure(
        gateway_test.SHARDS, tenants=[teams_test.RED, teams_test.BLUE]
    )


@pytest.mark.parametrize("taken_back", [False, True])
def test_a_delegated_query_carries_its_team_and_no_key(taken_back):
    async def test():
        async with harness.Site() as site:
            await _start_shards(site)
            _, wide = await site.start_delegating_pair()
            received = []
            deliver = wide._peering.on_message

            def observe(each):
                received.append(each)
                if not taken_back:
                    deliver(each)

            wide._peering.on_message = observe
            with teams_test.log_lines() as lines:
                fields = (teams_test.FORGED, teams_test.bearer(teams_test.KEY))
                got = await site.get(
                    "/all/x", "r1", name="narrow", fields=fields
                )
            assert got.status == 200
            teams_test.assert_teams(site, b"r1", b"red", 4)
            asked = [
                each
                for each in received
                if isinstance(each, gatewaymessage.DelegationRequest)
            ]
            assert {each.team for each in asked} == {"red"}
            assert teams_test.KEY not in repr(received).encode()
            assert b"forged" not in repr(received).encode()
            assert teams_test.KEY.decode() not in lines.getvalue()
            assert teams_test.logged(lines, "team") == {"red"}

    teams_test.run(test)


@pytest.mark.parametrize("difference", ["version", "team"])
def test_a_neighbour_with_other_teams_declines_a_query(difference):
    # It would send the query without a team, or with one that its own
    # configuration does not have.
    async def test():
        async with harness.Site() as site:
            await _start_shards(site)
            _, wide = await site.start_delegating_pair()
            table = wide.view.route_table
            others = dataclasses.replace(
                table.configuration,
                version=table.configuration.version + (difference == "version"),
                team_directory=dataclasses.replace(
                    table.configuration.team_directory, by_name={}
                ),
            )
            wide.view.route_table.configuration = others
            opened = wide._pools.context.opened_count
            with teams_test.log_lines() as lines:
                got = await site.get(
                    "/all/x",
                    "r1",
                    name="narrow",
                    fields=(teams_test.bearer(teams_test.KEY),),
                )
            assert got.status == 200
            assert "declined" in teams_test.logged(lines, "reason")
            assert wide._pools.context.opened_count == opened
            teams_test.assert_teams(site, b"r1", b"red", 4)

    teams_test.run(test)


def test_a_key_in_a_delegated_query_reaches_no_upstream():
    # A neighbour that does not yet remove keys may delegate one.
    async def test():
        async with harness.Site() as site:
            await _start_shards(site)
            _, wide = await site.start_delegating_pair()
            wide._request_handler.serve_delegated(
                gatewaymessage.DelegationRequest(
                    sender_address=site.settings["narrow"].peer_address,
                    ask_id=1,
                    version=wide.view.version,
                    route_name="route-0",
                    method=b"GET",
                    target=b"/all/x",
                    headers=(
                        (b"Host", harness.HOST.encode()),
                        (b"X-Request-Id", b"r1"),
                        teams_test.FORGED,
                        teams_test.bearer(teams_test.KEY),
                    ),
                    body=b"",
                    elapsed_ms=1.0,
                    team="blue",
                ),
                ready=True,
            )
            async with asyncio.timeout(2.0):
                while len(teams_test.upstream_fields(site, b"r1")) < 4:
                    await asyncio.sleep(0.02)
            teams_test.assert_teams(site, b"r1", b"blue", 4)

    teams_test.run(test)


def test_relayed_calls_carry_the_team_and_no_key():
    async def test():
        async with harness.Site() as site:
            await _start_shards(site, "south")
            north = await site.start("north")
            south = await site.start("south", failure_domain="south")
            async with asyncio.timeout(8.0):
                while north._call_relay.selector.choose("south", 0.0) is None:
                    await asyncio.sleep(0.05)
            received = []
            deliver = south._peering.on_message
            south._peering.on_message = lambda each: (
                received.append(each),
                deliver(each),
            )
            opened = north._pools.context.opened_count
            fields = (teams_test.FORGED, teams_test.bearer(teams_test.KEY))
            got = await site.get("/all/x", "r1", name="north", fields=fields)
            assert got.status == 200
            assert north._pools.context.opened_count == opened
            teams_test.assert_teams(site, b"r1", b"red", 4)
            assert received
            assert teams_test.KEY not in repr(received).encode()
            assert b"forged" not in repr(received).encode()

    teams_test.run(test)


def test_a_removed_key_is_refused_by_an_instance_that_the_store_turns_away():
    # The neighbour's notice is its only source of the new version.
    async def test():
        async with harness.Site() as site:
            await _start_shards(site)
            await site.start_delegating_pair()
            cut_off = site.gateways["narrow"]
            # Nothing listens on this port.
            cut_off._store.set_address("127.0.0.1:1")
            cut_off._store_pools.keep_only(set())
            version = site.configure(
                gateway_test.SHARDS, tenants=[teams_test.BLUE]
            )
            await teams_test.wait_for_version(site, version, "narrow", "wide")
            for key, status in (
                (teams_test.KEY, 401),
                (teams_test.OTHER_KEY, 200),
            ):
                got = await site.get(
                    "/all/x",
                    key.decode(),
                    name="narrow",
                    fields=(teams_test.bearer(key),),
                )
                assert got.status == status
            assert not teams_test.upstream_fields(site, teams_test.KEY)

    teams_test.run(test)


def test_a_request_keeps_the_version_that_decided_its_team():
    # While a request waits, a newer version may come into force. A neighbour
    # with that version must not accept it as its own.
    async def test():
        async with harness.Site() as site:
            await _start_shards(site)
            narrow, _ = await site.start_delegating_pair()
            handler = narrow._request_handler
            waiting = []
            serve = handler.serve_identified
            handler.serve_identified = lambda *given: waiting.append(given)
            asked = asyncio.create_task(
                site.get(
                    "/all/x",
                    "r1",
                    name="narrow",
                    fields=(teams_test.bearer(teams_test.KEY),),
                )
            )
            async with asyncio.timeout(1.0):
                while not waiting:
                    await asyncio.sleep(0.01)
            renamed = {**teams_test.RED, "name": "scarlet"}
            version = site.configure(gateway_test.SHARDS, tenants=[renamed])
            await teams_test.wait_for_version(site, version, "narrow", "wide")
            with teams_test.log_lines() as lines:
                serve(*waiting.pop())
                assert (await asked).status == 200
            assert "declined" in teams_test.logged(lines, "reason")
            teams_test.assert_teams(site, b"r1", b"red", 4)

    teams_test.run(test)


def test_a_query_lost_with_its_neighbour_is_logged_with_team_and_status():
    # The neighbour's log ends with it; reports would miss the failure.
    async def test():
        async with harness.Site() as site:
            await _start_shards(site)
            await site.start_delegating_pair()
            for each in site.upstreams.values():
                each.behaviour.delay_ms = 700.0
            with teams_test.log_lines() as lines:
                fields = (teams_test.bearer(teams_test.KEY),)
                asked = asyncio.create_task(
                    site.get("/all/x", "r1", name="narrow", fields=fields)
                )
                await asyncio.sleep(0.1)
                site.kill("wide")
                assert (await asked).status == 502
            (back,) = [
                json.loads(line)
                for line in lines.getvalue().splitlines()
                if "query_back" in line
            ]
            assert (back["team"], back["status"]) == ("red", 502)

    teams_test.run(test)
