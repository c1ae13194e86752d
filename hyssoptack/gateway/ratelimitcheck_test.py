"""Limits of other versions, and messages with invalid content."""

import asyncio
import dataclasses

from hyssoptack.core import clock
from hyssoptack.core import ratelimitmessage
from hyssoptack.core import teams
from hyssoptack.gateway import permitdecision
from hyssoptack.gateway import ratelimitharness
from hyssoptack.ratelimit import share

STATED = ratelimitmessage.VersionedLimit(
    version=1, limit=ratelimitharness.LIMIT
)

LOW = teams.RateLimit(rate_per_s=2.0, burst_count=2.0)
LOW_SHARE = share.domain_share(LOW, ratelimitharness.BOUNDS, 1)


def test_a_lowered_limit_of_a_newer_version_binds_an_owner_without_it():
    async def test():
        network = ratelimitharness.start()
        owner, _, asker = await ratelimitharness.warm_up(network)
        lowered = dataclasses.replace(
            ratelimitharness.TEAM,
            rate_limit=LOW,
        )
        asker.teams, asker.version = {"team": lowered}, 2
        permitted = ratelimitharness.count_of(
            await asker.send_steadily(40, 10), permitdecision.Permitted
        )
        assert permitted <= LOW_SHARE.rate_per_s * 10 + 10

    ratelimitharness.run(test)


def test_a_version_that_no_instance_has_does_not_bind_for_ever():
    async def test():
        network = ratelimitharness.start()
        owner, _, asker = await ratelimitharness.warm_up(network)
        owner.limiter.on_message(
            ratelimitmessage.PermitRequest(
                sender_id="north-9",
                sender_address="north-9:1",
                ask_id=1,
                team="team",
                limit=ratelimitmessage.VersionedLimit(version=9, limit=LOW),
                wanted_count=1,
            )
        )
        permitted = ratelimitharness.count_of(
            await asker.send_steadily(20, 10), permitdecision.Permitted
        )
        assert permitted <= LOW_SHARE.rate_per_s * 10 + 10
        await asker.send_steadily(20, 15)
        permitted = ratelimitharness.count_of(
            await asker.send_steadily(20, 5), permitdecision.Permitted
        )
        assert permitted > 80

    ratelimitharness.run(test)


def test_an_owner_ignores_the_limit_of_an_older_version():
    async def test():
        network = ratelimitharness.start()
        owner, _, asker = await ratelimitharness.warm_up(network)
        lowered = dataclasses.replace(
            ratelimitharness.TEAM,
            rate_limit=LOW,
        )
        owner.teams, owner.version = {"team": lowered}, 2
        permitted = ratelimitharness.count_of(
            await asker.send_steadily(40, 10), permitdecision.Permitted
        )
        assert permitted <= LOW_SHARE.rate_per_s * 10 + 10

    ratelimitharness.run(test)


def _forged():
    nan, inf = float("nan"), float("inf")
    request = ratelimitmessage.PermitRequest(
        sender_id="north-2",
        sender_address="north-2:1",
        ask_id=1,
        team="team",
        limit=STATED,
        wanted_count=1,
    )
    transfer = ratelimitmessage.TransferRequest(
        sender_id="south-1",
        sender_address="south-1:1",
        ask_id=2,
        team="team",
        limit=STATED,
        wanted_count=1.0,
    )
    replace = dataclasses.replace
    for count in (-1, 10**9):
        yield replace(request, wanted_count=count)
        yield replace(request, prefetch_count=count)
        yield replace(request, held_count=count)
        yield replace(request, wanted_count=0, spent_count=count)
    for count in (-1.0, nan, inf, 1e12):
        yield replace(transfer, wanted_count=count)
        limit = teams.RateLimit(rate_per_s=count, burst_count=1.0)
        stated = ratelimitmessage.VersionedLimit(version=9, limit=limit)
        yield replace(request, limit=stated)
        yield ratelimitmessage.TokenReply(
            sender_id="x", ask_id=3, team="team", token_count=count
        )
        yield ratelimitmessage.PermitReply(
            sender_id="x", ask_id=3, team="team", retry_after_ms=count
        )
        yield ratelimitmessage.PermitReply(
            sender_id="x", ask_id=3, team="team", ask_first_ms=count
        )
    # A request for permits carries no debit: it may be decided twice.
    yield replace(request, spent_count=1)
    yield replace(request, team="unknown")
    yield replace(transfer, team="unknown")
    yield ratelimitmessage.HandoverRequest(
        sender_id="y", sender_address="y:1", ask_id=4, team="unknown"
    )
    yield ratelimitmessage.TokenReply(
        sender_id="x", ask_id=3, team="team", token_count=9.0
    )
    yield ratelimitmessage.PermitReply(
        sender_id="x", ask_id=3, team="team", permit_count=9
    )


def test_absurd_messages_and_unknown_teams_change_nothing():
    async def test():
        network = ratelimitharness.start()
        owner, _, _ = await ratelimitharness.warm_up(network)
        await asyncio.sleep(3)
        before = owner.tokens()
        held = owner.limiter._cache.held_count("team", clock.now_ms())
        owner.sent.clear()
        for each in _forged():
            owner.limiter.on_message(each)
        await asyncio.sleep(0)
        assert owner.tokens() == before
        assert owner.limiter._cache.held_count("team", clock.now_ms()) == held
        assert not owner.limiter._ledger.owns("unknown")
        assert not owner.sent
        newest = owner.limiter._limits.newest("team", clock.now_ms())
        assert newest == STATED

    ratelimitharness.run(test)


def test_a_permit_reply_with_more_than_was_requested_grants_nothing():
    async def test():
        network = ratelimitharness.start()
        _, _, asker = await ratelimitharness.warm_up(network)
        network.is_lost = lambda sender, receiver, body: True
        ratelimitharness.ask_first(asker)
        await asyncio.sleep(3)
        asker.sent.clear()
        waiting = asyncio.create_task(asker.acquire())
        await asyncio.sleep(0.001)
        asker.limiter.on_message(
            ratelimitmessage.PermitReply(
                sender_id="x",
                ask_id=asker.sent[0].ask_id,
                team="team",
                permit_count=1_000,
            )
        )
        assert isinstance(await waiting, permitdecision.Undecided)

    ratelimitharness.run(test)


def test_a_raised_limit_allows_requests_at_once():
    async def test():
        network = ratelimitharness.start(1)
        (node,) = await ratelimitharness.warm_up(network)
        low = teams.RateLimit(rate_per_s=1.0, burst_count=1.0)
        lowered = dataclasses.replace(ratelimitharness.TEAM, rate_limit=low)
        node.teams, node.version = {"team": lowered}, 2
        await node.acquire_many(30)
        node.teams, node.version = {"team": ratelimitharness.TEAM}, 3
        node.limiter.on_configuration()
        await asyncio.sleep(0.3)
        assert await node.acquire_many(4) == 4

    ratelimitharness.run(test)
