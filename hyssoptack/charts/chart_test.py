"""Tests of the charts and of their diagrams in the documentation."""

import pathlib

import pytest

from hyssoptack.charts import chart

ROOT = pathlib.Path(__file__).resolve().parents[2]
NAMES = ("instance", "upstream", "configuration", "action")


@pytest.mark.parametrize("name", NAMES)
def test_the_documentation_shows_the_current_chart(name):
    text = (ROOT / "docs" / "CHARTS.md").read_text("utf-8")
    assert chart.mermaid(chart.load(name)) in text


def test_an_unknown_event_keeps_the_state():
    assert chart.load("upstream").step("warm", "no such event") == "warm"


def test_an_unknown_state_raises_broken_invariant():
    with pytest.raises(chart.BrokenInvariant):
        chart.load("upstream").step("no such state", "answered")


def test_an_action_can_be_sent_at_most_once():
    action = chart.load("action")
    reachable, frontier = set(), {"sending"}
    while frontier:
        state = frontier.pop()
        for (source, _event), target in action.transitions.items():
            if source == state and target not in reachable:
                reachable.add(target)
                frontier.add(target)
    assert "sending" not in reachable
    assert "claimed" not in reachable


def test_an_instance_always_keeps_a_configuration_in_force():
    configuration = chart.load("configuration")
    for (source, event), target in configuration.transitions.items():
        if source in ("in_force", "updating"):
            assert target in ("in_force", "updating"), event
