"""Tests which instances may hold shares and which get new work."""

from hyssoptack.core import member
from hyssoptack.membership import membership

LAG_MS = 2_000.0
SUSPECT_MS = 3_000.0


def _member(name, run="a", leaving=False):
    return member.Member(
        instance_id=name,
        incarnation=f"{name}-{run}",
        failure_domain="plateau",
        peer_address="127.0.0.1:1",
        operator_address="127.0.0.1:2",
        leaving=leaving,
    )


def _usable(roster, now_ms, awaited=None):
    found = membership.usable(
        roster,
        awaited or membership.PendingAnswers(),
        SUSPECT_MS,
        2 * LAG_MS,
        now_ms,
    )
    return set(found)


def _listed(*members, now_ms=0.0, roster=None):
    start = roster or membership.Roster()
    return membership.merge_listed(start, members, now_ms)


def test_a_gone_instance_keeps_its_share_for_the_lag():
    roster = _listed(_member("one"), _member("two"))
    roster = _listed(_member("one"), now_ms=1_000.0, roster=roster)
    early = membership.recently_seen(roster, "plateau", LAG_MS, 1_500.0)
    late = membership.recently_seen(roster, "plateau", LAG_MS, 2_500.0)
    assert early == ("one", "two")
    assert late == ("one",)


def test_a_leaving_instance_gets_no_new_work_even_if_the_list_lags():
    roster = _listed(_member("one"))
    leaving = _member("one", leaving=True)
    roster = membership.record_message(roster, leaving, 10.0)
    roster = _listed(_member("one"), now_ms=20.0, roster=roster)
    assert _usable(roster, 20.0) == set()


def test_a_new_incarnation_replaces_one_that_left():
    roster = _listed(_member("one", leaving=True))
    roster = _listed(_member("one", "b"), now_ms=10.0, roster=roster)
    assert _usable(roster, 10.0) == {"one"}


def test_an_overdue_answer_excludes_an_instance_until_its_next_message():
    roster = _listed(_member("one"))
    awaited = membership.PendingAnswers()
    awaited.record_request("one", 0.0)
    assert _usable(roster, 2_000.0, awaited) == {"one"}
    assert _usable(roster, 3_500.0, awaited) == set()
    awaited.record_response("one")
    assert _usable(roster, 3_500.0, awaited) == {"one"}


def test_an_unreachable_instance_is_excluded_at_once():
    awaited = membership.PendingAnswers()
    awaited.record_unreachable("one")
    assert _usable(_listed(_member("one")), 1.0, awaited) == set()


def test_known_members_stay_usable_while_the_list_is_unavailable():
    roster = _listed(_member("one"), _member("two"))
    assert _usable(roster, 60_000.0) == {"one", "two"}


def test_a_silent_instance_that_is_listed_stays_usable():
    roster = _listed(_member("one"))
    roster = _listed(_member("one"), now_ms=50_000.0, roster=roster)
    assert _usable(roster, 50_000.0) == {"one"}


def test_instances_unseen_for_long_are_pruned():
    roster = _listed(_member("one"))
    assert not membership.pruned(roster, 1_000.0, 2_000.0).sightings
