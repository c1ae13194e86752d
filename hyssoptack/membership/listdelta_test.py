"""Tests that lists sent as changes converge when some changes are lost."""

import hypothesis
from hypothesis import strategies

from hyssoptack.core import gatewaymessage
from hyssoptack.membership import listdelta
from hyssoptack.peers import codec
from hyssoptack.planning import callplan_test


def upstreams(*names):
    return {name: callplan_test.upstream(name) for name in names}


def test_a_change_holds_only_what_differs():
    history = listdelta.ListHistory()
    history.add(upstreams("a", "b", "c"))
    before = history.digest
    history.add(upstreams("b", "c", "d"))
    change = history.change_since(before)
    assert [each.upstream_id for each in change.changed] == ["d"]
    assert change.removed == ("a",)
    applied = listdelta.apply_change(change, upstreams("a", "b", "c"), before)
    assert listdelta.digest_of(applied) == history.digest


def test_a_change_to_another_list_is_rejected():
    history = listdelta.ListHistory()
    history.add(upstreams("a"))
    before = history.digest
    history.add(upstreams("a", "b"))
    own = upstreams("x")
    own_digest = listdelta.digest_of(own)
    assert (
        listdelta.apply_change(history.change_since(before), own, own_digest)
        is None
    )
    assert (
        listdelta.apply_change(history.change_since(None), own, own_digest)
        is None
    )
    full = listdelta.apply_change(history.full_change(), own, own_digest)
    assert set(full) == {"a", "b"}


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sets(strategies.sampled_from("abcdef")),
            strategies.booleans(),
        ),
        max_size=20,
    )
)
def test_asking_for_the_full_list_on_a_mismatch_gives_the_readers_list(steps):
    history = listdelta.ListHistory()
    own = {}
    sent_digest = None
    for names, lost in steps:
        history.add(upstreams(*names))
        change = history.change_since(sent_digest)
        sent_digest = history.digest
        if lost:
            continue
        applied = listdelta.apply_change(change, own, listdelta.digest_of(own))
        own = applied if applied is not None else upstreams(*names)
        assert own == upstreams(*names)


def test_one_second_of_notices_fits_the_link_of_a_small_machine():
    """25 neighbours get a list of 280 upstreams, 3 of which were replaced."""
    names = [f"i-{number:010x}" for number in range(280)]
    history = listdelta.ListHistory()
    history.add(upstreams(*names))
    before = history.digest
    history.add(upstreams(*names[3:], "i-new1", "i-new2"))
    notice = gatewaymessage.ViewNotice(
        sender_id="g",
        sender_address="10.0.0.1:1",
        version=1,
        configuration=b"",
        revision=1,
        change=history.change_since(before),
    )
    frame = codec.encode_frame(
        [codec.Codec(gatewaymessage.KINDS).encode(notice)]
    )
    seven_mbit_bytes = 7_000_000 / 8
    assert 25 * len(frame) < 0.03 * seven_mbit_bytes
