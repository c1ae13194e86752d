"""Which missing upstreams stay in use, in every order of reads and notices."""

import dataclasses
import itertools

import pytest

from hyssoptack.core import position
from hyssoptack.membership import upstreamlist
from hyssoptack.planning import callplan_test

GRACE_MS = upstreamlist.REREGISTRATION_GRACE_MS
LOST_MS, RETURN_MS = 6_000.0, 12_500.0
STAYS = {"stays": callplan_test.upstream("stays")}
MISSING = {"missing": callplan_test.upstream("missing")}
BOTH = STAYS | MISSING
BEFORE = upstreamlist.UpstreamList(
    listed=BOTH, read_at=position.Position(1, 10), read_ms=LOST_MS
)
"""The list of an instance that has been running for long."""


def read(at_ms, listed=STAYS, revision=12):
    """Returns an event: this instance reads the store."""

    def apply(known):
        age_ms = at_ms - known.read_ms
        if known.read_ms and age_ms > upstreamlist.EXPIRY_MIN_MS:
            known = upstreamlist.after_outage(known, age_ms, at_ms)
        return upstreamlist.after_read(
            known, listed, position.Position(1, revision), at_ms
        )

    return apply


def notice(offered):
    """Returns an event: a neighbour's list arrives."""
    return lambda known: upstreamlist.merge(known, offered)


IN_TOUCH = upstreamlist.after_read(
    upstreamlist.after_read(
        BEFORE, BOTH, position.Position(1, 10), RETURN_MS - 2_000.0
    ),
    STAYS,
    position.Position(1, 11),
    RETURN_MS - 400.0,
)
"""The list of an instance that saw the removal before the others return."""

RETURNED = read(RETURN_MS)(BEFORE)
RETURNED_LATER = read(RETURN_MS + 500.0)(BEFORE)
STARTED = read(RETURN_MS + 100.0)(upstreamlist.UpstreamList())
NEVER_READ = upstreamlist.UpstreamList()


def every_order(events):
    return [list(each) for each in itertools.permutations(events)]


@pytest.mark.parametrize(
    "events",
    every_order(
        [
            notice(RETURNED),
            notice(RETURNED_LATER),
            notice(STARTED),
            read(RETURN_MS + 600.0),
        ]
    ),
)
def test_a_return_from_a_cut_brings_no_removed_upstream_to_its_neighbours(
    events,
):
    # Returning instances took their cut for an outage of the store, and their
    # neighbours used upstreams that had left for another 2 s.
    known = IN_TOUCH
    for event in events:
        known = event(known)
        assert known.in_use == STAYS


@pytest.mark.parametrize("order", range(24))
def test_a_returning_instance_believes_a_neighbour_that_was_in_touch(order):
    # Whether its own read or the neighbour's notice came first decided whether
    # it used upstreams that had left for another 2 s.
    events = [
        read(RETURN_MS),
        notice(IN_TOUCH),
        notice(RETURNED_LATER),
        notice(STARTED),
    ]
    known = BEFORE
    informed = False
    for index in list(itertools.permutations(range(4)))[order]:
        known = events[index](known)
        informed = informed or index == 1
        assert ("missing" in known.in_use) is not informed


@pytest.mark.parametrize(
    "events",
    every_order(
        [
            read(RETURN_MS + 300.0),
            notice(RETURNED),
            notice(RETURNED_LATER),
            notice(STARTED),
        ]
    ),
)
def test_an_outage_for_all_keeps_expired_upstreams_until_its_grace_ends(events):
    # One instance also started in the outage, and one was cut off for longer.
    known = BEFORE
    for event in events:
        known = event(known)
        assert known.in_use == BOTH
    assert max(each.until_ms for each in known.kept.values()) <= (
        RETURN_MS + 300.0 + GRACE_MS
    )
    known = read(RETURN_MS + 400.0 + GRACE_MS)(known)
    assert known.in_use == STAYS


@pytest.mark.parametrize(
    "events",
    every_order(
        [notice(RETURNED), notice(STARTED), read(RETURN_MS + 200.0, STAYS, 13)]
    ),
)
def test_an_instance_that_starts_after_an_outage_learns_what_expired(events):
    # It has never read the expired entries, and only neighbours know them.
    known = NEVER_READ
    told = False
    for event in events:
        known = event(known)
        told = told or event is events[0]
    assert known.in_use == BOTH


def test_an_instance_that_starts_after_a_cut_ignores_what_has_left():
    for events in every_order([notice(RETURNED), notice(IN_TOUCH)]):
        known = NEVER_READ
        for event in events:
            known = event(known)
        assert known.in_use == STAYS


def test_an_entry_that_vanishes_in_the_grace_is_kept_until_its_end():
    # Its upstream's heartbeats were lost in the outage.
    known = read(RETURN_MS, BOTH, 11)(BEFORE)
    known = read(RETURN_MS + 900.0, STAYS, 12)(known)
    assert known.in_use == BOTH
    assert known.kept["missing"].until_ms == RETURN_MS + GRACE_MS
    assert upstreamlist.merge(known, RETURNED).in_use == BOTH


@pytest.mark.parametrize("merges_before", [False, True])
def test_a_second_outage_extends_a_neighbours_grace_by_its_length(
    merges_before,
):
    # The neighbour never reads; it learns of both outages from the reader.
    reader = read(RETURN_MS)(BEFORE)
    known = upstreamlist.merge(BEFORE, reader)
    again_ms = RETURN_MS + 3_000.0
    reader = read(again_ms)(reader)
    if merges_before:
        known = upstreamlist.merge(known, STARTED)
    known = upstreamlist.merge(known, reader)
    assert known.in_use == BOTH
    assert known.kept["missing"].until_ms == again_ms + GRACE_MS
    later = read(again_ms + GRACE_MS)(reader)
    assert upstreamlist.merge(known, later).in_use == STAYS


def test_a_restarted_upstream_replaces_the_kept_one():
    again = dataclasses.replace(
        MISSING["missing"], upstream_id="missing#2", listed_id="missing"
    )
    offered = read(RETURN_MS + 500.0, STAYS | {"missing#2": again}, 13)(
        RETURNED
    )
    assert set(upstreamlist.merge(RETURNED, offered).in_use) == {
        "stays",
        "missing#2",
    }


def test_an_older_list_does_not_show_the_removal_of_a_later_entry():
    # The entry was written after the neighbour's read.
    late = upstreamlist.after_read(
        BEFORE, BOTH, position.Position(1, 14), LOST_MS
    )
    returned = read(RETURN_MS, STAYS, 16)(late)
    assert upstreamlist.merge(returned, IN_TOUCH).in_use == BOTH


def test_a_list_is_behind_one_that_was_observed_or_is_much_later():
    observed = IN_TOUCH.summary
    assert RETURNED.is_behind(observed, RETURN_MS)
    assert BEFORE.is_behind(observed, RETURN_MS)
    assert not IN_TOUCH.is_behind(RETURNED.summary, RETURN_MS)
    # In an outage for all, nobody's list is better.
    assert not RETURNED.is_behind(RETURNED_LATER.summary, RETURN_MS)
    assert not BEFORE.is_behind(BEFORE.summary, RETURN_MS)
