"""When the list is read, and what is kept of it when the store is back."""

import asyncio
import contextlib
import dataclasses
import json
import types

import expression

from hyssoptack.core import clock
from hyssoptack.core import gatewaymessage
from hyssoptack.events import log
from hyssoptack.gateway import peering
from hyssoptack.gateway import pool
from hyssoptack.gateway import replicatedview
from hyssoptack.gateway import storewatch
from hyssoptack.platform import keyvalue
from hyssoptack.policy import callplan_test
from hyssoptack.policy import listdelta
from hyssoptack.policy import loadbalancer
from hyssoptack.policy import readerelection


def follower(list_age_ms):
    """A follower that had lost the store, with a list of some age."""
    settings = types.SimpleNamespace(lease_ms=1_000.0, lease_min_ms=1_000.0)
    placed = loadbalancer.LoadBalancer(
        loadbalancer.LoadBalancerSettings(
            failure_domain="north", crossing_ratio=1.5
        )
    )
    believed = replicatedview.ReplicatedView(
        load_balancer=placed,
        pools=pool.Pools(b""),
        on_configuration=lambda _: None,
    )
    readers = readerelection.ReaderElection(
        "g", "north", readerelection.read_timings(3_000.0)
    )
    peers = types.SimpleNamespace(reader_election=readers)
    made = storewatch.StoreWatcher(
        settings, believed, None, peers, lambda _: None, None
    )
    now_ms = clock.now_ms()
    listed = {"a": callplan_test.upstream("a")}
    believed.apply_list(listed, 1, now_ms - list_age_ms)
    made._lost_since_ms = now_ms - 9_000.0
    return made, believed


def test_a_list_that_neighbours_kept_fresh_gets_no_grace():
    # Found by a hunted day: the store turned one instance away for 9 s, and at
    # its return it kept 16 upstreams that had left meanwhile for 3 s more, and
    # told its neighbours so.
    made, believed = follower(list_age_ms=900.0)
    made._note_back()
    believed.apply_list({}, 2, clock.now_ms())
    assert not believed.upstreams


def hear(made, believed, upstreams, grace_ms=0.0, list_age_ms=0.0):
    """Lets an instance take a neighbour's whole list."""
    peers = peering.Peering(
        made._settings, believed, made._readers, lambda: None, lambda: None
    )
    history = listdelta.ListHistory()
    history.add(upstreams)
    made = gatewaymessage.ViewNotice(
        sender_id="g2",
        sender_address="",
        version=0,
        configuration=b"",
        revision=2,
        change=history.full_change(),
        grace_ms=grace_ms,
        list_age_ms=list_age_ms,
    )
    peers._take(made)


def test_a_neighbours_word_makes_an_old_list_no_younger():
    # Found in a large day: a neighbour that could read the configuration again
    # told it, with its list of 7 s before. 10 ms later the own reading took
    # that list for one kept fresh, and dropped 105 upstreams that had lapsed.
    made, believed = follower(list_age_ms=9_000.0)
    hear(made, believed, believed.upstreams, list_age_ms=7_000.0)
    made._note_back()
    believed.apply_list({}, 3, clock.now_ms())
    assert "a" in believed.upstreams


def test_a_neighbours_grace_holds_for_the_own_reading_that_follows():
    # Found in a day's logs: the first to read again after an outage kept what
    # had lapsed and told its neighbours; one whose own answer came 10 ms later
    # took its list for one kept fresh, dropped 121 upstreams and said so.
    made, believed = follower(list_age_ms=5_000.0)
    hear(
        made,
        believed,
        believed.upstreams,
        replicatedview.REREGISTRATION_GRACE_MS,
    )
    made._note_back()
    believed.apply_list({}, 3, clock.now_ms())
    assert "a" in believed.upstreams
    believed.apply_list(
        {}, 4, clock.now_ms() + replicatedview.REREGISTRATION_GRACE_MS + 1.0
    )
    assert not believed.upstreams


def test_a_newcomers_list_takes_nothing_away_within_the_grace():
    # A reader that started during the outage has never seen what lapsed.
    made, believed = follower(list_age_ms=9_000.0)
    made._note_back()
    hear(made, believed, {"b": callplan_test.upstream("b")})
    assert set(believed.upstreams) == {"a", "b"}


def test_entries_that_lapsed_in_an_outage_are_kept_for_a_while():
    made, believed = follower(list_age_ms=9_000.0)
    made._note_back()
    believed.apply_list({}, 2, clock.now_ms())
    assert "a" in believed.upstreams
    pause_ms = made._list_pause_ms(clock.now_ms())
    assert pause_ms <= replicatedview.REREGISTRATION_GRACE_MS
    later_ms = clock.now_ms() + replicatedview.REREGISTRATION_GRACE_MS + 1.0
    believed.apply_list({}, 3, later_ms)
    assert not believed.upstreams


def test_a_reading_is_due_when_the_grace_ends():
    made, believed = follower(list_age_ms=9_000.0)
    believed.store_recovered_ms = 1_000.0
    ends_ms = 1_000.0 + replicatedview.REREGISTRATION_GRACE_MS
    assert made._list_pause_ms(ends_ms - 300.0) <= 310.0
    assert made._list_pause_ms(ends_ms + 1.0) == 1_000.0


class _Store:
    """Notes whether readings may be old, and ends after some."""

    def __init__(self, count):
        self.stale = []
        self._count = count

    async def read_range(self, _prefix, allow_stale=False, timeout_ms=0.0):
        if len(self.stale) == self._count:
            raise asyncio.CancelledError
        self.stale.append(allow_stale)
        return expression.Ok(keyvalue.Listing(items=[], store_revision=1))


def test_a_new_instances_first_reading_may_be_old_the_next_is_exact():
    made, _ = follower(list_age_ms=0.0)
    made._store = _Store(4)
    made._peers.publish_view = lambda: None
    made._readers.read_timings = readerelection.read_timings(0.0)
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(made.poll_upstreams())
    assert made._store.stale == [True, False, True, False]


def test_only_the_first_reading_of_the_configuration_may_be_old():
    made, believed = follower(list_age_ms=0.0)
    made._store = _Store(3)
    believed.pools = None
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(made.watch_configuration())
    assert made._store.stale == [True, False, False]


def test_a_rebirth_within_the_grace_replaces_the_one_before():
    made, believed = follower(list_age_ms=9_000.0)
    made._note_back()
    again = dataclasses.replace(
        callplan_test.upstream("a"), upstream_id="a#2", listed_id="a"
    )
    believed.apply_list({"a#2": again}, 2, clock.now_ms())
    assert set(believed.upstreams) == {"a#2"}


def test_nothing_believed_of_the_one_before_holds_for_a_reborn_upstream():
    _, believed = follower(list_age_ms=0.0)
    now_ms = clock.now_ms()
    placed = believed.load_balancer
    placed.begin_call("a", 0.0)
    placed.record_connect_failure("a", now_ms)
    again = dataclasses.replace(
        callplan_test.upstream("a"), upstream_id="a#2", listed_id="a"
    )
    believed.apply_list({"a#2": again}, 2, now_ms)
    placed.end_call("a")
    placed.record_answer("r", "a", 900.0, now_ms)
    standing = placed.upstream_states["a#2"]
    assert standing.in_flight_count == 0
    assert standing.ejected_until_ms <= now_ms
    assert standing.slowness_ratio == 1.0


def test_an_unreadable_entry_is_logged_once_and_the_others_hold(monkeypatch):
    lines = []
    monkeypatch.setattr(
        log, "write", lambda event, **fields: lines.append((event, fields))
    )
    made, believed = follower(list_age_ms=0.0)
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
        made._take_list(keyvalue.Listing(items=items, store_revision=revision))
    assert set(believed.upstreams) == {"b"}
    found = [
        fields for event, fields in lines if event is log.Event.ENTRY_UNREADABLE
    ]
    assert [each["key"] for each in found] == ["servers/bad"]
    assert found[0]["count"] == 1
