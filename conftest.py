"""Known red tests: listed in KNOWN-RED.txt, passed over by CI and printed."""

import pathlib

import pytest

_LIST = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def _known() -> dict[str, str]:
    if not _LIST.exists():
        return {}
    lines = _LIST.read_text(encoding="utf-8").splitlines()
    rows = (line.partition(" | ") for line in lines if " | " in line)
    return {name.strip(): rest for name, _, rest in rows}


def pytest_collection_modifyitems(items):
    """Marks the known red tests, so that they do not fail the run."""
    known = _known()
    for item in items:
        if item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(reason=known[item.nodeid], strict=False)
            )


def pytest_terminal_summary(terminalreporter):
    """Prints the known red tests after each run."""
    for name, rest in _known().items():
        terminalreporter.write_line(f"known red: {name} | {rest}")
