"""Rate limits across instances while messages and lists are missing."""

import asyncio

from hyssoptack.core import clock
from hyssoptack.core import ratelimitmessage
from hyssoptack.gateway import permitdecision
from hyssoptack.gateway import ratelimitharness


def test_later_requests_are_served_without_waiting_for_a_message():
    async def test():
        network = ratelimitharness.start()
        ranked = await ratelimitharness.warm_up(network)
        ratelimitharness.ask_first(ranked[-1])
        waits = []
        for _ in range(100):
            decision, waited_ms = await ratelimitharness.elapsed_ms(
                ranked[-1].acquire()
            )
            assert isinstance(decision, permitdecision.Permitted)
            waits.append(waited_ms)
            await asyncio.sleep(0.1)
        assert sum(each > 0 for each in waits) <= 10
        assert max(waits) < 1.0
        # One message for each permit would be too many.
        assert len(ranked[-1].sent) <= 70

    ratelimitharness.run(test)


def test_an_asker_that_was_stopped_has_no_permits():
    async def test():
        network = ratelimitharness.start()
        _, _, asker = await ratelimitharness.warm_up(network)
        ratelimitharness.ask_first(asker)
        await asker.send_steadily(10, 1.0)
        assert asker.limiter._cache.held_count("team", clock.now_ms())
        network.freeze(asker)
        await asyncio.sleep(0.5)
        network.thaw(asker)
        asker.limiter._observe(clock.now_ms())
        assert not asker.limiter._cache.held_count("team", clock.now_ms())

    ratelimitharness.run(test)


def test_lost_messages_end_in_a_decision_in_time():
    async def test():
        network = ratelimitharness.start(domain_count=2)
        ratelimitharness.start(2, domain="south", network=network)
        ranked = await ratelimitharness.warm_up(network)
        ratelimitharness.ask_first(*ranked)
        for lost_kind in (
            ratelimitmessage.PermitRequest,
            ratelimitmessage.PermitReply,
            ratelimitmessage.TokenReply,
            object,
        ):
            network.is_lost = lambda _, __, body, kind=lost_kind: isinstance(
                body, kind
            )
            for node in ranked:
                decision, waited_ms = await ratelimitharness.elapsed_ms(
                    node.acquire_many(30)
                )
                assert waited_ms < 100
            await asyncio.sleep(3)

    ratelimitharness.run(test)


def test_requests_wait_for_the_first_list_of_instances():
    async def test():
        network = ratelimitharness.Network()
        node = network.add("north-0")
        decision, waited_ms = await ratelimitharness.elapsed_ms(node.acquire())
        assert isinstance(decision, permitdecision.Undecided)
        assert decision.retry_after_ms > 0
        assert 95 <= waited_ms <= 110
        waiting = asyncio.create_task(node.acquire())
        await asyncio.sleep(0.05)
        network.publish_lists()
        assert isinstance(await waiting, permitdecision.Permitted)

    ratelimitharness.run(test)


def test_the_sum_of_all_domains_stays_within_the_bound():
    async def test():
        network = ratelimitharness.start(3, domain_count=3)
        ratelimitharness.start(3, domain="south", network=network)
        ratelimitharness.start(3, domain="west", network=network)
        per_node = 8 * 23 / 9
        await asyncio.gather(
            *(
                each.send_steadily(per_node, 12)
                for each in network.nodes.values()
            )
        )
        assert network.max_window_count() <= ratelimitharness.ALLOWED_COUNT
        total = sum(len(each.permitted) for each in network.nodes.values())
        assert total >= 0.85 * 23 * 12

    ratelimitharness.run(test)


def test_a_team_in_one_domain_gets_its_rate_by_transfers():
    async def test():
        network = ratelimitharness.start(3, domain_count=3)
        ratelimitharness.start(3, domain="south", network=network)
        ratelimitharness.start(3, domain="west", network=network)
        await asyncio.sleep(30)
        decisions = await network.ranked()[-1].send_steadily(20, 20)
        refused = len(decisions) - ratelimitharness.count_of(
            decisions, permitdecision.Permitted
        )
        assert refused <= 0.01 * len(decisions)

    ratelimitharness.run(test)


def test_a_partitioned_domain_keeps_its_share():
    async def test():
        network = ratelimitharness.start(2, domain_count=3)
        ratelimitharness.start(2, domain="south", network=network)
        ratelimitharness.start(2, domain="west", network=network)
        await asyncio.sleep(30)
        network.is_lost = lambda sender, receiver, _: (
            sender.peer.failure_domain != receiver.peer.failure_domain
        )
        decisions = await asyncio.gather(
            *(
                each.send_steadily(23 / 3 * 0.8 / 2, 10)
                for each in network.nodes.values()
            )
        )
        for each in decisions:
            refused = len(each) - ratelimitharness.count_of(
                each, permitdecision.Permitted
            )
            assert refused <= 0.02 * len(each) + 1

    ratelimitharness.run(test)


def test_a_refund_serves_a_later_request():
    async def test():
        network = ratelimitharness.start()
        _, _, asker = await ratelimitharness.warm_up(network)
        network.is_lost = lambda sender, receiver, body: True
        cache = asker.limiter._cache
        cache.clear()
        asker.limiter.refund(ratelimitharness.TEAM)
        decision, waited_ms = await ratelimitharness.elapsed_ms(asker.acquire())
        assert isinstance(decision, permitdecision.Permitted)
        assert waited_ms == 0

    ratelimitharness.run(test)


def test_tokens_that_arrive_late_are_not_lost(monkeypatch):
    async def test():
        network = ratelimitharness.start(domain_count=2)
        ratelimitharness.start(2, domain="south", network=network)
        ranked = await ratelimitharness.warm_up(network)
        await ranked[0].acquire_many(30)
        monkeypatch.setattr(ratelimitharness, "FAR_MS", 15.0)
        await asyncio.sleep(0.3)
        before = ranked[0].tokens()
        await ranked[0].acquire_many(int(before) + 1)
        await asyncio.sleep(0.05)
        report = ranked[0].limiter.report
        received = report.event_count("transfers_received")
        monkeypatch.setattr(ratelimitharness, "FAR_MS", 0.9)
        assert received >= 1

    ratelimitharness.run(test)


def test_permits_of_refused_attempts_return_to_the_bucket():
    async def test():
        network = ratelimitharness.start(20)
        await ratelimitharness.warm_up(network)
        nodes, refused_count = list(network.nodes.values()), 0
        for number in range(500):
            # Each instance has the next request when the permit has expired.
            node = nodes[number % len(nodes)]
            decision = await node.acquire()
            if not isinstance(decision, permitdecision.Permitted):
                refused_count += 1
            elif number % 2:
                node.limiter.refund(ratelimitharness.TEAM)
            await asyncio.sleep(1 / 38)
        assert refused_count <= 5

    ratelimitharness.run(test)


def test_only_a_listed_instance_can_give_permits_back():
    async def test():
        network = ratelimitharness.start()
        owner, _, asker = await ratelimitharness.warm_up(network)
        await asker.acquire_many(20)
        before = owner.tokens()
        for sender_id, count in (("x", 5), (asker.peer.instance_id, 9_000)):
            owner.limiter.on_message(
                ratelimitmessage.TokenReply(
                    sender_id=sender_id,
                    ask_id=0,
                    team="team",
                    token_count=count,
                )
            )
        assert owner.tokens() == before

    ratelimitharness.run(test)
