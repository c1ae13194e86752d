"""Evacuations over reordered news, and over the store's older copies."""

from hyssoptack.core import position
from hyssoptack.policy import evacuation

NORTH = frozenset(("north",))
NONE = frozenset()


def note(known, domain, ended, revision, era=0):
    """Takes one change, as a watch tells it."""
    at = position.Position(era, revision)
    change = evacuation.EvacuationChange(
        failure_domain=domain, ended=ended, store_position=at
    )
    known.apply_changes([change], at)


def test_news_that_is_older_changes_nothing():
    known = evacuation.Evacuations()
    note(known, "north", False, 7)
    known.replace_all(NONE, position.Position(0, 6), 0.0)
    note(known, "north", True, 5)
    assert known.evacuated_domains(0.0) == NORTH
    note(known, "north", True, 8)
    note(known, "north", False, 7)
    assert known.evacuated_domains(0.0) == NONE


def test_a_whole_list_replaces_what_was_known():
    known = evacuation.Evacuations()
    note(known, "north", False, 7)
    known.replace_all(frozenset(("south",)), position.Position(0, 9), 0.0)
    assert known.evacuated_domains(0.0) == {"south"}


def test_an_older_copy_of_the_store_ends_no_evacuation_at_once():
    known = evacuation.Evacuations()
    known.replace_all(NORTH, position.Position(0, 90), 0.0)
    known.replace_all(NONE, position.Position(1, 40), 1_000.0)
    assert known.evacuated_domains(1_000.0) == NORTH
    known.replace_all(NONE, position.Position(1, 41), 1_500.0)
    assert known.evacuated_domains(2_000.0) == NORTH
    assert (
        known.evacuated_domains(1_000.0 + evacuation.REWRITE_GRACE_MS) == NONE
    )


def test_an_evacuation_written_again_after_the_return_holds_on():
    known = evacuation.Evacuations()
    known.replace_all(NORTH, position.Position(0, 90), 0.0)
    known.replace_all(NONE, position.Position(1, 40), 1_000.0)
    note(known, "north", False, 41, era=1)
    assert known.evacuated_domains(60_000.0) == NORTH


def test_a_removal_after_the_return_ends_it_at_once():
    known = evacuation.Evacuations()
    known.replace_all(NORTH, position.Position(0, 90), 0.0)
    known.replace_all(NONE, position.Position(1, 40), 1_000.0)
    note(known, "north", True, 41, era=1)
    assert known.evacuated_domains(1_001.0) == NONE


def test_a_neighbour_that_missed_the_return_takes_nothing_back():
    known = evacuation.Evacuations()
    known.replace_all(NORTH, position.Position(1, 40), 0.0)
    known.replace_all(NONE, position.Position(0, 95), 1.0)
    assert known.evacuated_domains(1.0) == NORTH


def test_two_domains_evacuated_by_one_write_are_both():
    known = evacuation.Evacuations()
    at = position.Position(0, 7)
    changes = [
        evacuation.EvacuationChange(
            failure_domain=domain, ended=False, store_position=at
        )
        for domain in ("north", "south")
    ]
    known.apply_changes(changes, at)
    assert known.evacuated_domains(0.0) == {"north", "south"}
