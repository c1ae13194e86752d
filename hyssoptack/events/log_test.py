"""Tests that the catalogue of events in docs/LOGS.md matches the code."""

import pathlib
import re

from hyssoptack.events import log

ROOT = pathlib.Path(__file__).resolve().parents[2]
_ROW = re.compile(r"\| (\d+) \| `(\w+)` \| (.+) \|")


def test_the_catalogue_lists_exactly_the_events():
    text = (ROOT / "docs" / "LOGS.md").read_text("utf-8")
    listed = {
        (int(number), name, meaning)
        for number, name, meaning in _ROW.findall(text)
    }
    defined = {
        (event.number, event.name.lower(), event.description)
        for event in log.Event
    }
    assert listed == defined


def test_event_numbers_are_unique():
    numbers = [event.number for event in log.Event]
    assert len(numbers) == len(set(numbers))


def test_every_event_is_used_in_the_code():
    sources = "".join(
        path.read_text("utf-8")
        for path in (ROOT / "hyssoptack").rglob("*.py")
        if not path.name.endswith("_test.py")
    )
    for event in log.Event:
        assert f"Event.{event.name}" in sources, event.name
