"""The list of upstreams after the store has returned from an older copy."""

import dataclasses
import itertools

import pytest

from hyssoptack.core import position
from hyssoptack.membership import departures
from hyssoptack.membership import upstreamlist
from hyssoptack.planning import callplan_test

GRACE_MS = upstreamlist.REREGISTRATION_GRACE_MS
BEFORE_MS, RETURN_MS = 20_000.0, 21_000.0


def _upstreams(*names, draining=()):
    listed = [callplan_test.upstream(name) for name in names]
    listed += [
        dataclasses.replace(callplan_test.upstream(name), draining=True)
        for name in draining
    ]
    return {each.upstream_id: each for each in listed}


def _ready(known):
    return {name for name, each in known.in_use.items() if not each.draining}


def _read(known, listed, era, revision, at_ms):
    return upstreamlist.after_read(
        known, listed, position.Position(era, revision), at_ms
    )


def _history(*reads):
    """Returns the list of an instance after reads of the first era."""
    known = upstreamlist.UpstreamList()
    start_ms = BEFORE_MS - 1_000.0 * (len(reads) - 1)
    for number, listed in enumerate(reads):
        at_ms = start_ms + 1_000.0 * number
        known = _read(known, listed, 1, 10 + number, at_ms)
    return known


COPY = _upstreams("stays", "drains", "leaves")
LOST = _history(
    COPY,
    _upstreams("stays", "leaves", "new", draining=["drains"]),
    _upstreams("stays", "new", draining=["drains"]),
)
"""The list of an instance that saw all that the copy lacks."""

RESTORED = _read(LOST, COPY, 2, 9, RETURN_MS)


def test_a_lower_revision_of_a_later_era_replaces_the_list():
    # Reads were ignored until the store had made as many changes as were lost.
    assert RESTORED.read_at == position.Position(2, 9)
    drained = _upstreams("drains", "leaves", draining=["stays"])
    assert "stays" not in _ready(
        _read(RESTORED, drained, 2, 10, RETURN_MS + 500.0)
    )


def test_a_copy_takes_back_neither_a_drain_nor_a_departure():
    assert _ready(RESTORED) == {"stays", "new"}
    assert set(RESTORED.withdrawals) == {"drains", "leaves"}


def test_an_upstream_is_used_again_once_its_entry_is_written_again():
    warm = {"leaves": dataclasses.replace(COPY["leaves"], cold_ms=900.0)}
    known = _read(RESTORED, COPY | warm, 2, 10, RETURN_MS + 500.0)
    assert _ready(known) == {"stays", "new", "leaves"}


def test_an_entry_that_outlasts_its_expiry_belongs_to_a_running_upstream():
    at_ms = RETURN_MS + departures.COPY_EXPIRY_MS
    assert _ready(_read(RESTORED, COPY, 2, 9, at_ms - 1.0)) == {"stays"}
    assert _ready(_read(RESTORED, COPY, 2, 9, at_ms)) == set(COPY)


def test_an_upstream_that_the_copy_lacks_has_time_to_register():
    known = _read(RESTORED, COPY, 2, 9, RETURN_MS + GRACE_MS - 1.0)
    assert "new" in _ready(known)
    known = _read(RESTORED, COPY, 2, 9, RETURN_MS + GRACE_MS)
    assert "new" not in _ready(known)


def test_a_restarted_upstream_is_used_beside_the_copy_of_its_earlier_start():
    # The copy's entry of the earlier start has the same listed id.
    first, second = (
        {
            f"a#{born}": dataclasses.replace(
                callplan_test.upstream(f"a#{born}"), listed_id="a"
            )
        }
        for born in (1, 2)
    )
    known = _history(first, second)
    known = _read(known, first, 2, 9, RETURN_MS)
    assert _ready(known) == {"a#2"}
    third = {
        "a#3": dataclasses.replace(callplan_test.upstream("a#3"), listed_id="a")
    }
    assert _ready(_read(known, third, 2, 10, RETURN_MS + 300.0)) == {"a#3"}


def test_a_return_from_a_still_older_copy_takes_nothing_back_either():
    oldest = _upstreams("stays", "drains", "leaves", "left_before")
    known = _history(oldest, COPY, _upstreams("stays", draining=["drains"]))
    known = _read(known, COPY, 2, 9, RETURN_MS)
    known = _read(known, oldest, 3, 5, RETURN_MS + 2_000.0)
    assert _ready(known) == {"stays"}


@pytest.mark.parametrize(
    "order",
    list(itertools.permutations(("own", "informed", "started", "stalled"))),
)
def test_neighbours_agree_in_every_order_of_reads_and_notices(order):
    # One knows all that was lost, one started after the return, one stood still
    # since before the loss; the instance itself saw nothing but the copy.
    stalled = _history(COPY)
    at_ms = RETURN_MS + 400.0
    started = _read(upstreamlist.UpstreamList(), COPY, 2, 9, at_ms)
    known = _history(COPY)
    for event in order:
        if event == "own":
            known = _read(known, COPY, 2, 9, at_ms)
            continue
        offered = {
            "informed": RESTORED,
            "started": started,
            "stalled": stalled,
        }[event]
        known = upstreamlist.merge(known, offered)
        if order.index("informed") <= order.index(event):
            assert _ready(known) == {"stays", "new"}
    assert known.read_at.era == 2


def test_a_neighbour_that_still_has_the_list_of_before_teaches_its_departures():
    started = _read(upstreamlist.UpstreamList(), COPY, 2, 9, RETURN_MS)
    assert _ready(upstreamlist.merge(started, LOST)) == {"stays", "new"}


def test_a_neighbour_of_the_last_release_changes_no_settled_list():
    # Its notices carry no era, and it goes on with the list of before.
    offered = dataclasses.replace(
        LOST, read_at=position.Position(0, LOST.read_at.revision)
    )
    known = RESTORED
    for second in range(1, 9):
        at_ms = RETURN_MS + 1_000.0 * second
        known = _read(known, COPY, 2, 9 + second, at_ms)
    assert upstreamlist.merge(known, offered).in_use == COPY


def test_an_instance_that_missed_the_return_believes_a_settled_neighbour():
    settled = _read(RESTORED, COPY, 2, 9, RETURN_MS + departures.COPY_EXPIRY_MS)
    late = _read(LOST, COPY, 2, 9, settled.read_ms + 5_000.0)
    assert _ready(late) == {"stays", "new"}
    assert _ready(upstreamlist.merge(late, settled)) == set(COPY)


def test_what_left_long_ago_is_forgotten():
    known = LOST
    for second in range(1, 62):
        at_ms = BEFORE_MS + 1_000.0 * second
        known = _read(known, _upstreams("stays"), 1, 20, at_ms)
    assert set(known.departed) <= {"drains", "new"}
    known = _read(known, _upstreams("stays"), 1, 20, BEFORE_MS + 64_000.0)
    assert not known.departed
