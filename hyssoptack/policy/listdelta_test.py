"""Lists told as changes end up the same everywhere, whatever was missed."""

import hypothesis
from hypothesis import strategies

from hyssoptack.core import gatewaymessage
from hyssoptack.peers import codec
from hyssoptack.policy import callplan_test
from hyssoptack.policy import listdelta


def named(*names):
    return {name: callplan_test.upstream(name) for name in names}


def test_a_change_holds_only_what_differs():
    history = listdelta.ListHistory()
    history.add(named("a", "b", "c"))
    before = history.digest
    history.add(named("b", "c", "d"))
    change = history.change_since(before)
    assert [each.upstream_id for each in change.changed] == ["d"]
    assert change.removed == ("a",)
    taken = listdelta.apply_change(change, named("a", "b", "c"), before)
    assert listdelta.digest_of(taken) == history.digest


def test_a_change_against_another_list_is_not_taken():
    history = listdelta.ListHistory()
    history.add(named("a"))
    before = history.digest
    history.add(named("a", "b"))
    own = named("x")
    own_digest = listdelta.digest_of(own)
    assert (
        listdelta.apply_change(history.change_since(before), own, own_digest)
        is None
    )
    assert (
        listdelta.apply_change(history.change_since(None), own, own_digest)
        is None
    )
    whole = listdelta.apply_change(history.full_change(), own, own_digest)
    assert set(whole) == {"a", "b"}


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sets(strategies.sampled_from("abcdef")),
            strategies.booleans(),
        ),
        max_size=20,
    )
)
def test_whoever_asks_when_a_change_does_not_fit_has_the_readers_list(steps):
    history = listdelta.ListHistory()
    own = {}
    told = None
    for names, lost in steps:
        history.add(named(*names))
        change = history.change_since(told)
        told = history.digest
        if lost:
            continue
        taken = listdelta.apply_change(change, own, listdelta.digest_of(own))
        own = taken if taken is not None else named(*names)
        assert own == named(*names)


def test_a_second_of_a_readers_notices_fits_a_small_machines_link():
    """280 upstreams, of which 3 change in a second, told to 25 neighbours."""
    names = [f"i-{number:010x}" for number in range(280)]
    history = listdelta.ListHistory()
    history.add(named(*names))
    before = history.digest
    history.add(named(*names[3:], "i-new1", "i-new2"))
    made = gatewaymessage.ViewNotice(
        sender_id="g",
        sender_address="10.0.0.1:1",
        version=1,
        configuration=b"",
        revision=1,
        change=history.change_since(before),
    )
    frame = codec.encode_frame([codec.Codec(gatewaymessage.KINDS).encode(made)])
    seven_mbit_bytes = 7_000_000 / 8
    assert 25 * len(frame) < 0.03 * seven_mbit_bytes
