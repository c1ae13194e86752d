"""Evacuations with reordered changes and restores of the store."""

from hyssoptack.balancing import evacuation
from hyssoptack.core import position

NORTH = frozenset(("north",))
NONE = frozenset()


def watch_change(evacuations, domain, ended, revision, era=0):
    """Applies one change as a watch of the store reports it."""
    at = position.Position(era, revision)
    change = evacuation.EvacuationChange(
        failure_domain=domain, ended=ended, store_position=at
    )
    evacuations.apply_changes([change], at)


def test_older_lists_and_changes_are_ignored():
    evacuations = evacuation.Evacuations()
    watch_change(evacuations, "north", False, 7)
    evacuations.replace_all(NONE, position.Position(0, 6), 0.0)
    watch_change(evacuations, "north", True, 5)
    assert evacuations.evacuated_domains(0.0) == NORTH
    watch_change(evacuations, "north", True, 8)
    watch_change(evacuations, "north", False, 7)
    assert evacuations.evacuated_domains(0.0) == NONE


def test_a_newer_list_replaces_all_known_evacuations():
    evacuations = evacuation.Evacuations()
    watch_change(evacuations, "north", False, 7)
    evacuations.replace_all(frozenset(("south",)), position.Position(0, 9), 0.0)
    assert evacuations.evacuated_domains(0.0) == {"south"}


def test_a_restored_older_copy_ends_no_evacuation_before_the_grace_time():
    evacuations = evacuation.Evacuations()
    evacuations.replace_all(NORTH, position.Position(0, 90), 0.0)
    evacuations.replace_all(NONE, position.Position(1, 40), 1_000.0)
    assert evacuations.evacuated_domains(1_000.0) == NORTH
    evacuations.replace_all(NONE, position.Position(1, 41), 1_500.0)
    assert evacuations.evacuated_domains(2_000.0) == NORTH
    assert (
        evacuations.evacuated_domains(1_000.0 + evacuation.REWRITE_GRACE_MS)
        == NONE
    )


def test_an_evacuation_written_again_after_a_restore_stays_in_force():
    evacuations = evacuation.Evacuations()
    evacuations.replace_all(NORTH, position.Position(0, 90), 0.0)
    evacuations.replace_all(NONE, position.Position(1, 40), 1_000.0)
    watch_change(evacuations, "north", False, 41, era=1)
    assert evacuations.evacuated_domains(60_000.0) == NORTH


def test_a_removal_after_a_restore_ends_the_evacuation_at_once():
    evacuations = evacuation.Evacuations()
    evacuations.replace_all(NORTH, position.Position(0, 90), 0.0)
    evacuations.replace_all(NONE, position.Position(1, 40), 1_000.0)
    watch_change(evacuations, "north", True, 41, era=1)
    assert evacuations.evacuated_domains(1_001.0) == NONE


def test_a_list_from_before_a_restore_is_ignored():
    evacuations = evacuation.Evacuations()
    evacuations.replace_all(NORTH, position.Position(1, 40), 0.0)
    evacuations.replace_all(NONE, position.Position(0, 95), 1.0)
    assert evacuations.evacuated_domains(1.0) == NORTH


def test_both_domains_evacuated_by_one_write_are_evacuated():
    evacuations = evacuation.Evacuations()
    at = position.Position(0, 7)
    changes = [
        evacuation.EvacuationChange(
            failure_domain=domain, ended=False, store_position=at
        )
        for domain in ("north", "south")
    ]
    evacuations.apply_changes(changes, at)
    assert evacuations.evacuated_domains(0.0) == {"north", "south"}
