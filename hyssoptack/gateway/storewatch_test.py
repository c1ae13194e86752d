"""Reads of the upstream list, and what is kept of it after store outages."""

import asyncio
import contextlib
import dataclasses
import json
import types

import expression
import pytest

from hyssoptack.balancing import loadbalancer
from hyssoptack.core import clock
from hyssoptack.core import gatewaymessage
from hyssoptack.core import member
from hyssoptack.core import position
from hyssoptack.events import log
from hyssoptack.gateway import peering
from hyssoptack.gateway import pool
from hyssoptack.gateway import replicatedview
from hyssoptack.gateway import storewatch
from hyssoptack.membership import listdelta
from hyssoptack.membership import readerelection
from hyssoptack.membership import upstreamlist
from hyssoptack.planning import callplan_test
from hyssoptack.platform import keyvalue
from hyssoptack.platform import storeformat


def store_watcher(list_age_ms):
    """Returns a watcher that had lost the store, and its view.

    Args:
        list_age_ms: Age of the view's list of upstreams.
    """
    settings = types.SimpleNamespace(
        lease_ms=1_000.0,
        lease_min_ms=1_000.0,
        failure_domain="north",
        peer_address="",
    )
    load_balancer = loadbalancer.LoadBalancer(
        loadbalancer.LoadBalancerSettings(
            failure_domain="north", crossing_ratio=1.5
        )
    )
    view = replicatedview.ReplicatedView(
        load_balancer=load_balancer,
        pools=pool.Pools(b""),
        on_configuration=lambda _: None,
    )
    readers = readerelection.ReaderElection(
        "g", "north", readerelection.read_timings(3_000.0)
    )
    peers = types.SimpleNamespace(
        reader_election=readers,
        is_latest_instances=lambda _: True,
        publish_instances=lambda *_: None,
    )
    watcher = storewatch.StoreWatcher(
        settings, view, None, peers, lambda _: None, None
    )
    now_ms = clock.now_ms()
    listed = {"a": callplan_test.upstream("a")}
    view.apply_list(listed, position.Position(0, 1), now_ms - list_age_ms)
    watcher.reachability.lost_ms = now_ms - 9_000.0
    return watcher, view


def test_a_list_that_neighbours_kept_fresh_gets_no_grace():
    # Neighbours kept the list up to date while this instance could not reach
    # the store. With a grace period it would keep upstreams that have left (16
    # for 3 s, after 9 s without the store) and publish them.
    watcher, view = store_watcher(list_age_ms=900.0)
    watcher.reachability.record_read(clock.now_ms(), 0)
    view.apply_list({}, position.Position(0, 2), clock.now_ms())
    assert not view.upstreams


def new_peering(watcher, view):
    """Returns the peering of a watcher's instance."""
    return peering.Peering(
        watcher._settings,
        view,
        watcher._reader_election,
        lambda: None,
        lambda: None,
    )


def receive_view(
    watcher,
    view,
    upstreams,
    grace_ms=0.0,
    list_age_ms=0.0,
    exact_age_ms=0.0,
    version=0,
):
    """Delivers a neighbour's whole list of upstreams to an instance."""
    peers = new_peering(watcher, view)
    history = listdelta.ListHistory()
    history.add(upstreams)
    notice = gatewaymessage.ViewNotice(
        sender_id="g2",
        sender_address="",
        version=version,
        configuration=b"",
        revision=2,
        change=history.full_change(),
        grace_ms=grace_ms,
        list_age_ms=list_age_ms,
        exact_age_ms=exact_age_ms,
    )
    peers._receive_view(notice)


@pytest.mark.parametrize(
    ("exact_age_ms", "version", "is_open"),
    [
        pytest.param(500.0, 0, True, id="fresh"),
        pytest.param(9_000.0, 0, False, id="held_up"),
        pytest.param(0.0, 0, False, id="sender_knows_no_exact_read"),
        pytest.param(500.0, 1, False, id="sender_has_a_newer_configuration"),
    ],
)
def test_requests_wait_for_a_notice_that_is_as_current_as_a_read(
    exact_age_ms, version, is_open
):
    watcher, view = store_watcher(list_age_ms=9_000.0)
    view.gate.end_read(clock.now_ms() - 9_000.0, exact=True)
    receive_view(
        watcher,
        view,
        view.upstreams,
        exact_age_ms=exact_age_ms,
        version=version,
    )
    assert view.gate.is_open() == is_open


def test_a_neighbours_notice_does_not_make_an_old_list_fresh():
    # A notice about the configuration carries the sender's old list (7 s). If
    # that list counted as fresh, the own read 10 ms later would start no grace
    # period and drop all expired upstreams (105).
    watcher, view = store_watcher(list_age_ms=9_000.0)
    receive_view(watcher, view, view.upstreams, list_age_ms=7_000.0)
    watcher.reachability.record_read(clock.now_ms(), 0)
    view.apply_list({}, position.Position(0, 3), clock.now_ms())
    assert "a" in view.upstreams


def test_a_held_up_notice_does_not_make_an_old_list_fresh(monkeypatch):
    # A cut link delivered notices of before an outage when it was back. The
    # list counted as just read, and what had expired was dropped at once.
    watcher, view = store_watcher(list_age_ms=0.0)
    peers = new_peering(watcher, view)
    history = listdelta.ListHistory()
    history.add(view.upstreams)
    began_ms = clock.now_ms()
    for sent_ms, arrived_ms in ((0.0, 5.0), (1_000.0, 7_500.0)):
        now_ms = began_ms + arrived_ms
        monkeypatch.setattr(clock, "now_ms", lambda now_ms=now_ms: now_ms)
        peers._receive_view(
            gatewaymessage.ViewNotice(
                sender_id="g2",
                sender_address="",
                version=0,
                configuration=b"",
                revision=1,
                change=history.full_change(),
                observed_age_ms=60_000.0,
                run_id=1,
                sent_ms=sent_ms,
            )
        )
    assert view.list_read_ms <= began_ms + 1_100.0
    watcher.reachability.record_read(clock.now_ms(), 0)
    view.apply_list({}, position.Position(0, 2), clock.now_ms())
    assert "a" in view.upstreams


def test_an_older_list_of_instances_does_not_replace_a_later_one():
    # A notice that a cut held up, and a stale read, made an instance forget
    # neighbours that had started meanwhile, until the next one 5 s later.
    watcher, view = store_watcher(list_age_ms=0.0)
    peers = new_peering(watcher, view)
    later, earlier = (
        gatewaymessage.InstancesNotice(
            sender_id="g2",
            neighbours=tuple(
                member.Peer(
                    instance_id=each, failure_domain="north", address=each
                )
                for each in names
            ),
            total_count=len(names) + 1,
            read_at=position.Position(0, revision),
        )
        for names, revision in ((("g2", "g3"), 9), (("g2",), 7))
    )
    peers._on_instances = lambda _: None
    for each in (later, earlier):
        peers._receive_instances(each)
    assert len(watcher._reader_election.neighbours()) == 2
    watcher._peers = peers
    watcher._apply_instances(keyvalue.Listing(items=[], store_revision=8))
    assert len(watcher._reader_election.neighbours()) == 2


def test_a_neighbours_grace_applies_to_the_next_own_read():
    # A reader keeps expired upstreams after an outage and publishes them. If a
    # neighbour took this list for fresh, its own read 10 ms later would drop
    # them (121) and publish their removal.
    watcher, view = store_watcher(list_age_ms=5_000.0)
    receive_view(
        watcher,
        view,
        view.upstreams,
        upstreamlist.REREGISTRATION_GRACE_MS,
    )
    watcher.reachability.record_read(clock.now_ms(), 0)
    view.apply_list({}, position.Position(0, 3), clock.now_ms())
    assert "a" in view.upstreams
    view.apply_list(
        {},
        position.Position(0, 4),
        clock.now_ms() + upstreamlist.REREGISTRATION_GRACE_MS + 1.0,
    )
    assert not view.upstreams


def test_a_new_instances_list_removes_nothing_within_the_grace():
    # A reader that started during the outage never saw the expired upstreams.
    watcher, view = store_watcher(list_age_ms=9_000.0)
    watcher.reachability.record_read(clock.now_ms(), 0)
    receive_view(watcher, view, {"b": callplan_test.upstream("b")})
    assert set(view.upstreams) == {"a", "b"}


def test_entries_that_expired_in_an_outage_are_kept_for_a_while():
    watcher, view = store_watcher(list_age_ms=9_000.0)
    watcher.reachability.record_read(clock.now_ms(), 0)
    view.apply_list({}, position.Position(0, 2), clock.now_ms())
    assert "a" in view.upstreams
    pause_ms = watcher._list_pause_ms(clock.now_ms())
    assert pause_ms <= upstreamlist.REREGISTRATION_GRACE_MS
    later_ms = clock.now_ms() + upstreamlist.REREGISTRATION_GRACE_MS + 1.0
    view.apply_list({}, position.Position(0, 3), later_ms)
    assert not view.upstreams


def test_a_read_is_due_when_the_grace_ends():
    watcher, view = store_watcher(list_age_ms=9_000.0)
    view.record_store_return(9_000.0, 1_000.0)
    ends_ms = 1_000.0 + upstreamlist.REREGISTRATION_GRACE_MS
    assert watcher._list_pause_ms(ends_ms - 300.0) <= 310.0
    assert watcher._list_pause_ms(ends_ms + 1.0) == 1_000.0


def test_a_single_lost_answer_starts_no_grace():
    # With a period of 1.7 s the list is over 2 s old after one lost answer. It
    # counted as an outage, so upstreams that had left were used 2 s longer,
    # beyond the 5 s within which that has to end.
    watcher, view = store_watcher(list_age_ms=2_700.0)
    watcher._reader_election.read_timings = readerelection.read_timings(5_000.0)
    now_ms = clock.now_ms()
    watcher.reachability._last_read_ms = now_ms - 2_700.0
    watcher.reachability.lost_ms = now_ms - 800.0
    watcher.reachability.record_read(now_ms, 1)
    view.apply_list({}, position.Position(0, 2), now_ms)
    assert not view.upstreams


def test_a_single_failed_read_of_an_instance_that_just_began_starts_a_grace():
    # Its neighbours may have lost the store long before it asked.
    watcher, view = store_watcher(list_age_ms=4_000.0)
    now_ms = clock.now_ms()
    watcher.reachability._last_read_ms = now_ms - 60_000.0
    watcher.reachability.lost_ms = now_ms - 800.0
    watcher.reachability.record_read(now_ms, 1)
    view.apply_list({}, position.Position(0, 2), now_ms)
    assert "a" in view.upstreams


def test_a_failure_before_a_neighbours_reads_starts_no_grace(monkeypatch):
    # An instance that lost the store once, and heard of its neighbours' reads
    # since, took the pause until it became the reader for an outage.
    watcher, view = store_watcher(list_age_ms=0.0)
    watcher.reachability.lost_ms = None
    began_ms = clock.now_ms()
    failure = keyvalue.Failure(kind=keyvalue.FailureKind.UNREACHABLE, detail="")
    watcher.reachability.record_lost(failure, began_ms)
    monkeypatch.setattr(clock, "now_ms", lambda: began_ms + 60_000.0)
    receive_view(watcher, view, view.upstreams)
    monkeypatch.setattr(clock, "now_ms", lambda: began_ms + 62_400.0)
    watcher.reachability.record_read(clock.now_ms(), 1)
    view.apply_list({}, position.Position(0, 3), clock.now_ms())
    assert not view.upstreams


def test_another_outage_extends_the_grace_only_by_its_length():
    watcher, view = store_watcher(list_age_ms=9_000.0)
    now_ms = clock.now_ms()
    grace_ms = upstreamlist.REREGISTRATION_GRACE_MS
    view.record_store_return(9_000.0, now_ms)
    view.apply_list({}, position.Position(0, 2), now_ms)
    view.record_store_return(400.0, now_ms + 1_500.0)
    assert view.expiry_wait_ms(now_ms + 1_500.0) == grace_ms - 1_500.0
    view.record_store_return(1_100.0, now_ms + 1_600.0)
    view.apply_list({}, position.Position(0, 3), now_ms + grace_ms + 1_000.0)
    assert "a" in view.upstreams
    view.apply_list({}, position.Position(0, 4), now_ms + grace_ms + 1_101.0)
    assert not view.upstreams


class _Store:
    """Records whether reads may be stale; ends the task after some reads."""

    def __init__(self, count):
        self.stale = []
        self._count = count

    async def read_range(self, _prefix, allow_stale=False, timeout_ms=0.0):
        if len(self.stale) == self._count:
            raise asyncio.CancelledError
        self.stale.append(allow_stale)
        return expression.Ok(keyvalue.Listing(items=[], store_revision=1))


def test_a_new_instances_first_read_may_be_stale_the_next_is_exact():
    watcher, _ = store_watcher(list_age_ms=0.0)
    watcher._store = _Store(4)
    watcher._peers.publish_view = lambda: None
    watcher._reader_election.read_timings = readerelection.read_timings(0.0)
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(watcher.poll_upstreams())
    assert watcher._store.stale == [True, False, True, False]


def test_only_the_first_read_of_the_configuration_may_be_stale():
    watcher, view = store_watcher(list_age_ms=0.0)
    watcher._store = _Store(3)
    view.pools = None
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(watcher.watch_configuration())
    assert watcher._store.stale == [True, False, False]


def test_a_restarted_upstream_replaces_its_predecessor_within_the_grace():
    watcher, view = store_watcher(list_age_ms=9_000.0)
    watcher.reachability.record_read(clock.now_ms(), 0)
    again = dataclasses.replace(
        callplan_test.upstream("a"), upstream_id="a#2", listed_id="a"
    )
    view.apply_list({"a#2": again}, position.Position(0, 2), clock.now_ms())
    assert set(view.upstreams) == {"a#2"}


def test_a_restarted_upstream_inherits_no_state_of_its_predecessor():
    _, view = store_watcher(list_age_ms=0.0)
    now_ms = clock.now_ms()
    load_balancer = view.load_balancer
    load_balancer.begin_call("a", 0.0)
    load_balancer.record_connect_failure("a", now_ms)
    again = dataclasses.replace(
        callplan_test.upstream("a"), upstream_id="a#2", listed_id="a"
    )
    view.apply_list({"a#2": again}, position.Position(0, 2), now_ms)
    load_balancer.end_call("a")
    load_balancer.record_answer("r", "a", 900.0, now_ms)
    standing = load_balancer.upstream_states["a#2"]
    assert standing.in_flight_count == 0
    assert standing.ejected_until_ms <= now_ms
    assert standing.slowness_ratio == 1.0


def test_an_unreadable_entry_is_logged_once_and_the_others_are_used(
    monkeypatch,
):
    lines = []
    monkeypatch.setattr(
        log, "write", lambda event, **fields: lines.append((event, fields))
    )
    watcher, view = store_watcher(list_age_ms=0.0)
    good = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "north",
        "slots": 3,
        "state": "ready",
    }
    items = [
        keyvalue.Item(key="servers/bad", value=b"\xff"),
        keyvalue.Item(key="servers/b", value=json.dumps(good).encode()),
    ]
    for revision in (2, 3):
        watcher._apply_list(
            keyvalue.Listing(items=items, store_revision=revision),
            clock.now_ms(),
        )
    assert set(view.upstreams) == {"b"}
    found = [
        fields for event, fields in lines if event is log.Event.ENTRY_UNREADABLE
    ]
    assert [each["key"] for each in found] == ["servers/bad"]
    assert found[0]["count"] == 1


def test_an_instance_with_a_malformed_address_is_ignored_and_logged_once(
    monkeypatch,
):
    # Its address was passed on to all neighbours, none of which could dial it.
    lines = []
    monkeypatch.setattr(
        log, "write", lambda event, **fields: lines.append((event, fields))
    )
    watcher, _ = store_watcher(list_age_ms=0.0)
    addresses = ("10.0.0.1:80", "", "nonsense", "x" * 100_000)
    items = [
        keyvalue.Item(
            key=f"{storeformat.PEER_PREFIX}g{number}",
            value=json.dumps(
                {
                    "instance_id": f"g{number}",
                    "failure_domain": "north",
                    "address": address,
                }
            ).encode(),
        )
        for number, address in enumerate(addresses)
    ]
    for revision in (2, 3):
        watcher._apply_instances(
            keyvalue.Listing(items=items, store_revision=revision)
        )
    known = watcher._reader_election.neighbours()
    assert [each.address for each in known] == ["10.0.0.1:80", ""]
    ignored = [
        fields for event, fields in lines if event is log.Event.PEER_UNREADABLE
    ]
    assert [each["key"][-2:] for each in ignored] == ["g2", "g3"]
    assert all(len(each["reason"]) <= 200 for each in ignored)
