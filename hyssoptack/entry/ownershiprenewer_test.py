"""Instances own upstreams again after a stop, without using a share twice."""

import asyncio
import dataclasses

from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import keyspace
from hyssoptack.core import message
from hyssoptack.entry import ownershiprenewer
from hyssoptack.entry import state
from hyssoptack.hedging import hedging
from hyssoptack.settings import instance

LAG_MS = 2_000.0
NAMES = ("one", "two")


class _Relay:
    """Records what an instance owns, and has calls as a test sets them."""

    def __init__(self):
        self.owned = frozenset()
        self.called = frozenset()

    def set_owned_upstreams(self, _current, owned, _until_ms):
        self.owned = owned

    def called_upstream_ids(self):
        return self.called


def _settings(name):
    text = (
        f"{{instance_id: {name}, failure_domain: plateau, "
        f"front_address: '127.0.0.1:1', operator_address: '127.0.0.1:2', "
        f"peer_address: '127.0.0.1:{3 + NAMES.index(name)}', "
        "relay: {owner_count: 1}, "
        "platform: {store_address: '127.0.0.1:9', "
        "instance_list_address: '127.0.0.1:10'}}"
    )
    settings, errors = instance.parse(text, "test")
    assert not errors
    return settings


def _catalog():
    upstreams = {
        f"u{number}": catalog.Upstream(
            upstream_id=f"u{number}",
            failure_domain="plateau",
            address="127.0.0.1:11",
            slot_count=4,
            connection_limit_count=4,
            connect_cost_ms=6.0,
        )
        for number in range(400)
    }
    service = catalog.Service(
        name="s",
        team="a",
        profile="p",
        accepts_actions=False,
        action_retention_ms=1_000,
        shards=tuple(
            catalog.Shard(
                shard_id=name,
                key_range=keyspace.KeyRange(0, 1),
                upstream_ids=(name,),
            )
            for name in upstreams
        ),
        upstreams=upstreams,
    )
    return dataclasses.replace(
        catalog.EMPTY, revision=1, services={"s": service}
    )


class _Instance:
    """An instance whose messages go straight to the other one."""

    def __init__(self, name, by_address):
        self.state = state.InstanceState(_settings(name), hedging.NoHedge())
        self.state.apply_catalog(_catalog(), clock.now_ms())
        self.relay = _Relay()
        self.renewer = ownershiprenewer.OwnershipRenewer(
            self.state, self.relay, self._send, lambda: None
        )
        self._by_address = by_address
        by_address[self.state.settings.peer_address] = self

    def _send(self, address, body):
        receiver = self._by_address.get(address)
        match body:
            case message.OwnershipClaim() if receiver:
                receiver.renewer.on_claim(body)
            case message.OwnershipConfirmation() if receiver:
                receiver.renewer.on_confirmation(body)

    def list_all(self, members, now_ms):
        self.state.merge_listed(members, now_ms, now_ms)
        self.renewer.advance()


def _two_instances():
    by_address = {}
    instances = [_Instance(name, by_address) for name in NAMES]
    return instances, tuple(each.state.own_member() for each in instances)


def _run_for(instances, members, start_ms, end_ms):
    """Refreshes the instances periodically; reads the list each 500 ms."""
    now_ms = start_ms
    while now_ms <= end_ms:
        for each in instances:
            if (now_ms - start_ms) % 500.0 == 0:
                each.list_all(members, now_ms)
            each.state.refresh(each.relay, now_ms)
        now_ms += 100.0


def test_instances_that_all_stood_still_own_their_upstreams_at_once(
    monkeypatch,
):
    # Guards against searches refused for the lag of the instance list after a
    # stop of all instances, though nobody has taken their shares.
    async def test():
        instances, members = _two_instances()
        start_ms = clock.now_ms()
        _run_for(instances, members, start_ms, start_ms + 3_000.0)
        before = [each.relay.owned for each in instances]
        assert all(before)
        assert not before[0] & before[1]
        resumed_ms = start_ms + 3_000.0 + 1_700.0
        monkeypatch.setattr(clock, "now_ms", lambda: resumed_ms + 10.0)
        for each in instances:
            each.state.refresh(each.relay, resumed_ms)
            assert not each.relay.owned
        for each in instances:
            each.list_all(members, resumed_ms)
        await asyncio.sleep(0.02)
        assert [each.relay.owned for each in instances] == before

    asyncio.run(test())


def test_a_peer_ends_its_calls_before_it_confirms_the_ownership(monkeypatch):
    # Guards against a share that two instances use at the same time.
    async def test():
        (one, two), members = _two_instances()
        start_ms = clock.now_ms()
        _run_for((one, two), members, start_ms, start_ms + 3_000.0)
        before = one.relay.owned
        # Instance `one` stands still until `two` has taken its upstreams.
        _run_for((two,), members[1:], start_ms + 3_100.0, start_ms + 6_000.0)
        assert before < two.relay.owned
        two.relay.called = frozenset(list(before)[:1])
        resumed_ms = start_ms + 6_000.0
        monkeypatch.setattr(clock, "now_ms", lambda: resumed_ms)
        one.state.refresh(one.relay, resumed_ms)
        one.list_all(members, resumed_ms)
        await asyncio.sleep(0.05)
        assert not one.relay.owned
        assert not before & two.relay.owned
        two.relay.called = frozenset()
        await asyncio.sleep(0.1)
        assert one.relay.owned == before

    asyncio.run(test())


def test_an_instance_that_was_never_listed_owns_nothing_after_a_stop():
    # Guards against shares used by an instance that no peer counts.
    async def test():
        (one, _), _ = _two_instances()
        start_ms = clock.now_ms()
        one.state.refresh(one.relay, start_ms)
        resumed_ms = start_ms + 1_700.0
        one.state.refresh(one.relay, resumed_ms)
        for number in range(1, 31):
            one.state.refresh(one.relay, resumed_ms + 100.0 * number)
        assert not one.relay.owned

    asyncio.run(test())


def test_claims_end_when_the_lag_has_passed_without_a_confirmation():
    # Guards against claims that are sent for ever to a peer that has gone.
    async def test():
        (one, two), members = _two_instances()
        start_ms = clock.now_ms()
        _run_for((one, two), members, start_ms, start_ms + 3_000.0)
        received = []
        two.renewer.on_claim = received.append
        resumed_ms = start_ms + 4_700.0
        _run_for((one,), members, resumed_ms, resumed_ms + LAG_MS + 300.0)
        assert received
        received.clear()
        _run_for((one,), members, resumed_ms + 2_400.0, resumed_ms + 4_000.0)
        assert not received

    asyncio.run(test())


def test_without_confirmations_the_lag_must_pass():
    async def test():
        (one, two), members = _two_instances()
        start_ms = clock.now_ms()
        _run_for((one, two), members, start_ms, start_ms + 3_000.0)
        one.renewer.advance = lambda: None
        resumed_ms = start_ms + 4_700.0
        _run_for((one,), members, resumed_ms, resumed_ms + LAG_MS - 100.0)
        assert not one.relay.owned
        _run_for((one,), members, resumed_ms + LAG_MS, resumed_ms + 2_200.0)
        assert one.relay.owned

    asyncio.run(test())
