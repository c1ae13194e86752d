"""Bounds on the series of team metrics."""

from hyssoptack.gateway import teamlabels


def test_many_teams_make_a_bounded_number_of_series_with_exact_sums():
    labels = teamlabels.TeamLabels()
    counts = teamlabels.TeamCounts(labels)
    for number in range(10_000):
        name = f"team-{number}"
        labels.record(name, number * 10.0)
        counts.add(name, "over_limit")
    by_label = counts.by_label()
    assert len(by_label) <= teamlabels.LABELLED_TEAM_COUNT + 1
    assert sum(by_label.values()) == 10_000
    assert len(labels._activity) <= 2 * teamlabels.TRACKED_TEAM_COUNT


def test_a_team_that_becomes_busy_replaces_an_idle_one():
    labels = teamlabels.TeamLabels(max_count=2)
    counts = teamlabels.TeamCounts(labels)
    for name in ("idle", "busy", "late"):
        labels.record(name, 0.0)
        counts.add(name, "over_limit")
    assert labels.label("late") == teamlabels.OTHER_TEAMS
    for number in range(20):
        for name in ("late", "busy"):
            labels.record(name, number * 1_000.0)
            counts.add(name, "over_limit")
    assert labels.label("late") == "late"
    assert labels.label("idle") == teamlabels.OTHER_TEAMS
    assert sum(counts.by_label().values()) == 43
