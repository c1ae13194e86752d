"""Tests of the directory of teams and their keys."""

from hyssoptack.core import teams

RED, BLUE = teams.Team(name="red"), teams.Team(name="blue", priority=2)


def test_a_key_of_two_teams_belongs_to_the_first():
    directory = teams.new_directory([(RED, [b"k"]), (BLUE, [b"l", b"k"])])
    assert directory.find(b"k") is RED
    assert directory.find(b"l") is BLUE
    assert directory.ambiguous_names == ("blue",)


def test_a_second_team_of_one_name_does_not_replace_the_first():
    # Else its keys would get another priority and rate than the name's team.
    again = teams.Team(name="red", priority=9)
    directory = teams.new_directory([(RED, [b"k"]), (again, [b"l"])])
    assert directory.by_name == {"red": RED}
    assert directory.find(b"l") is RED
    assert directory.ambiguous_names == ("red",)


def test_a_key_repeated_within_its_team_is_not_ambiguous():
    directory = teams.new_directory([(RED, [b"k", b"k"])])
    assert not directory.ambiguous_names
    assert directory.find(b"") is None


def test_records_hold_no_keys():
    directory = teams.new_directory([(RED, [b"k-secret"])])
    assert "k-secret" not in repr(directory)
