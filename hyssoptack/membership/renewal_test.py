"""Tests when an instance that stood still may own its upstreams again."""

import dataclasses

import pytest

from hyssoptack.core import member
from hyssoptack.membership import renewal

RESUMED_MS = 10_000.0
BEGUN = renewal.Renewal(number=2, resumed_ms=RESUMED_MS)


def _member(name):
    return member.Member(
        instance_id=name,
        incarnation=f"{name}-1",
        failure_domain="plateau",
        peer_address="127.0.0.1:1",
        operator_address="127.0.0.1:2",
    )


def _listed(*names, peers=("two", "three"), read_started_ms=RESUMED_MS):
    return renewal.with_listing(
        BEGUN,
        "one-1",
        tuple(_member(name) for name in names),
        {f"{name}-1": _member(name) for name in peers},
        read_started_ms,
    )


def test_ownership_is_confirmed_by_the_last_peer():
    current = _listed("one", "two", "three")
    assert not current.is_confirmed
    current = renewal.with_confirmation(current, 2, "two-1")
    assert not current.is_confirmed
    assert renewal.with_confirmation(current, 2, "three-1").is_confirmed


def test_an_instance_alone_in_its_failure_domain_needs_no_confirmation():
    assert _listed("one", peers=()).is_confirmed


@pytest.mark.parametrize(
    ("number", "incarnation"), [(1, "two-1"), (2, "two-0"), (2, "four-1")]
)
def test_confirmations_of_others_do_not_count(number, incarnation):
    current = _listed("one", "two", peers=("two",))
    current = renewal.with_confirmation(current, number, incarnation)
    assert not current.is_confirmed


def test_a_list_read_before_the_end_of_the_stop_does_not_count():
    # It may lack a peer that uses shares by now.
    current = _listed("one", "two", read_started_ms=RESUMED_MS - 1.0)
    assert current == BEGUN


def test_a_list_without_the_instance_itself_does_not_count():
    # A peer that started meanwhile may not count the instance.
    assert _listed("two", "three") == BEGUN


def test_confirmations_before_the_list_was_read_do_not_count():
    current = renewal.with_confirmation(BEGUN, 2, "two-1")
    assert current == BEGUN


def test_the_peers_of_a_large_failure_domain_are_not_asked():
    names = tuple(
        f"i{number}" for number in range(renewal.PEER_LIMIT_COUNT + 1)
    )
    assert _listed("one", *names, peers=names) == BEGUN


def test_peers_that_are_listed_later_change_nothing():
    current = _listed("one", "two", peers=("two",))
    later = renewal.with_listing(
        dataclasses.replace(current),
        "one-1",
        (_member("one"),),
        {},
        RESUMED_MS + 500.0,
    )
    assert later == current
