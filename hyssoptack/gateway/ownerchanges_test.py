"""Owners of buckets that die, stop, are unreachable or change."""

import asyncio

from hyssoptack.core import ratelimitmessage
from hyssoptack.gateway import permitdecision
from hyssoptack.gateway import ratelimitharness
from hyssoptack.ratelimit import share

STATED = ratelimitmessage.VersionedLimit(
    version=1, limit=ratelimitharness.LIMIT
)


def test_requests_are_served_while_the_owner_is_dead():
    async def test():
        network = ratelimitharness.start()
        owner, second, asker = await ratelimitharness.warm_up(network)
        network.kill(owner)
        served = []
        for _ in range(40):
            decision, waited_ms = await ratelimitharness.elapsed_ms(
                asker.acquire()
            )
            served.append(decision)
            assert waited_ms < 60
            await asyncio.sleep(0.25)
        assert ratelimitharness.count_of(served, permitdecision.Permitted) >= 36
        assert second.limiter._ledger.owns("team")
        assert network.max_window_count() <= ratelimitharness.ALLOWED_COUNT

    ratelimitharness.run(test)


def test_requests_do_not_wait_for_an_owner_whose_link_is_lost():
    async def test():
        network = ratelimitharness.start()
        owner, _, asker = await ratelimitharness.warm_up(network)
        ratelimitharness.ask_first(asker)
        await asyncio.sleep(3)
        owner.is_silent = True
        waiting = asyncio.create_task(
            ratelimitharness.elapsed_ms(asker.acquire())
        )
        await asyncio.sleep(0.002)
        network.kill(owner)
        decision, waited_ms = await waiting
        assert isinstance(decision, permitdecision.Permitted)
        assert waited_ms < 25

    ratelimitharness.run(test)


def test_an_owner_that_returns_with_an_old_count_keeps_to_the_limit():
    async def test():
        network = ratelimitharness.start()
        owner, second, asker = await ratelimitharness.warm_up(network)
        for _ in range(2):
            owner.is_silent = True
            await asker.send_steadily(8 * 23, 0.7)
            assert second.limiter._ledger.owns("team")
            owner.is_silent = False
            await asker.send_steadily(8 * 23, 2)
        assert network.max_window_count() <= ratelimitharness.ALLOWED_COUNT
        # Two buckets of the domain must not fill up side by side.
        await asyncio.sleep(3)
        await asker.acquire()
        assert owner.limiter._ledger.owns("team")
        assert not second.limiter._ledger.owns("team")

    ratelimitharness.run(test)


def test_an_isolated_owner_fills_its_bucket_slower():
    async def test():
        network = ratelimitharness.start()
        owner, second, asker = await ratelimitharness.warm_up(network)
        await asker.send_steadily(100, 3)
        owner.is_silent = True
        await asyncio.sleep(1)
        assert owner.tokens() < 0.5 * 23
        owner.is_silent = False
        # Its own callers are served at the rate of the domain again.
        assert (
            ratelimitharness.count_of(
                await owner.send_steadily(20, 5), permitdecision.Permitted
            )
            > 80
        )

    ratelimitharness.run(test)


def test_a_substitute_whose_owner_is_used_again_drops_its_bucket():
    async def test():
        network = ratelimitharness.start()
        owner, second, asker = await ratelimitharness.warm_up(network)
        owner.is_silent = True
        await asyncio.sleep(3)
        await asker.acquire()
        # The debit, its time-out and that of the question to the owner.
        await asyncio.sleep(0.06)
        assert second.limiter._ledger.owns("team")
        owner.is_silent = False
        network.is_lost = lambda sender, receiver, _: (
            {sender, receiver} == {owner, second}
        )
        await asker.send_steadily(5, 5)
        assert not second.limiter._ledger.owns("team")

    ratelimitharness.run(test)


def test_an_owner_that_was_stopped_has_no_tokens():
    async def test():
        network = ratelimitharness.start()
        owner, _, asker = await ratelimitharness.warm_up(network)
        network.freeze(owner)
        await asker.send_steadily(23, 1.0)
        # A request that arrives first after the stop must not see old tokens.
        request = ratelimitmessage.PermitRequest(
            sender_id="north-9",
            sender_address="north-9:1",
            ask_id=1,
            team="team",
            limit=STATED,
            wanted_count=5,
        )
        owner.received_while_frozen.insert(0, request)
        owner.sent.clear()
        network.thaw(owner)
        await asyncio.sleep(0.05)
        reply = next(
            each
            for each in owner.sent
            if isinstance(each, ratelimitmessage.PermitReply)
            and each.ask_id == 1
        )
        assert reply.permit_count == 0 and reply.retry_after_ms > 0
        assert owner.limiter.report.event_count("emptied") == 1

    ratelimitharness.run(test)


def _add_new_owner(network):
    """Adds an instance that ranks first; returns it."""
    for index in range(100):
        added = network.add(f"north-new-{index}")
        network.publish_lists(added.peer.instance_id)
        if added.limiter._ranking.ids("team")[0] == added.peer.instance_id:
            return added
        added.task.cancel()
        del network.nodes[added.peer.instance_id]
    raise AssertionError


def test_a_new_instance_takes_over_the_tokens_of_the_former_owner():
    async def test():
        network = ratelimitharness.start()
        former, _, asker = await ratelimitharness.warm_up(network)
        await asyncio.sleep(3)
        await former.acquire_many(10)
        left = former.tokens()
        new_owner = _add_new_owner(network)
        # Only the new owner has the new list yet.
        await new_owner.acquire()
        assert not former.limiter._ledger.owns("team")
        assert abs(new_owner.tokens() - (left - 1)) < 1
        # The former owner refers askers with the old list to the new one.
        await asyncio.sleep(3)
        assert await asker.acquire_many(1) == 1
        assert not former.limiter._ledger.owns("team")

    ratelimitharness.run(test)


def test_a_new_owner_begins_without_an_answer_of_the_former_one():
    async def test():
        network = ratelimitharness.start()
        former, _, _ = await ratelimitharness.warm_up(network)
        new_owner = _add_new_owner(network)
        former.is_silent = True
        decision, waited_ms = await ratelimitharness.elapsed_ms(
            new_owner.acquire()
        )
        assert isinstance(decision, permitdecision.Permitted)
        assert 20 <= waited_ms < 40
        start_count = share.domain_share(
            ratelimitharness.LIMIT, ratelimitharness.BOUNDS, 1
        ).start_count
        assert new_owner.tokens() <= start_count

    ratelimitharness.run(test)


def test_a_handover_to_a_lower_ranked_sender_is_ignored():
    async def test():
        network = ratelimitharness.start()
        owner, second, _ = await ratelimitharness.warm_up(network)
        owner.sent.clear()
        before = owner.tokens()
        owner.limiter.on_message(
            ratelimitmessage.HandoverRequest(
                sender_id=second.peer.instance_id,
                sender_address=second.peer.address,
                ask_id=1,
                team="team",
            )
        )
        assert owner.tokens() == before
        assert not owner.sent

    ratelimitharness.run(test)


def test_an_instance_without_a_list_owns_no_bucket():
    async def test():
        network = ratelimitharness.start()
        owner, second, asker = network.ranked()
        restarted = network.add(owner.peer.instance_id)
        decision = await asker.acquire()
        assert isinstance(decision, permitdecision.Permitted)
        assert not restarted.limiter._ledger.owns("team")
        assert second.limiter._ledger.owns("team")

    ratelimitharness.run(test)


def test_instances_that_start_at_once_do_not_all_own_the_bucket():
    async def test():
        network = ratelimitharness.Network(3)
        for domain in ("north", "south", "west"):
            for index in range(5):
                network.add(f"{domain}-{index}", domain)
        for node in network.nodes.values():
            # The first list contains no other instance.
            node.limiter.set_neighbours(())
        tasks = [
            asyncio.create_task(node.send_steadily(8 * 23 / 15, 8))
            for node in network.nodes.values()
        ]
        await asyncio.sleep(1.5)
        network.publish_lists()
        await asyncio.gather(*tasks)
        assert network.max_window_count() <= ratelimitharness.ALLOWED_COUNT
        owners = [
            node
            for node in network.nodes.values()
            if node.limiter._ledger.owns("team")
        ]
        assert len(owners) == 3

    ratelimitharness.run(test)


def test_an_owner_in_doubt_does_not_say_that_a_team_is_over_its_limit():
    async def test():
        network = ratelimitharness.Network(3)
        node = network.add("north-0", "north")
        # The first list contains no other instance.
        node.limiter.set_neighbours(())
        decisions = [await node.acquire() for _ in range(5)]
        assert permitdecision.PERMITTED in decisions
        refused = [each for each in decisions if each != decisions[0]]
        assert refused
        assert all(
            isinstance(each, permitdecision.Undecided) for each in refused
        )

    ratelimitharness.run(test)


def test_a_former_owner_gives_up_a_bucket_that_nobody_uses():
    async def test():
        network = ratelimitharness.start()
        former, _, _ = await ratelimitharness.warm_up(network)
        new_owner = _add_new_owner(network)
        network.publish_lists()
        # No request reaches the new owner while it would ask for the tokens.
        await asyncio.sleep(30)
        await new_owner.acquire()
        assert not former.limiter._ledger.owns("team")

    ratelimitharness.run(test)
