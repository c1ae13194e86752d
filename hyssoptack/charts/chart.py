"""Loads state charts with sismic and interprets them as transition tables.

sismic reads and validates the files. Its interpreter is too slow to run for
each upstream call (`bench/slopes/charts.py`). The charts here are flat, so a
step is a table look-up.
"""

import dataclasses
import functools
import importlib.resources

from sismic import io as sismic_io


class BrokenInvariant(Exception):
    """An internal invariant is violated; the process must stop."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chart:
    """A flat state chart as a transition table.

    Attributes:
        name: Name of the chart's file, without the extension.
        initial: Initial state.
        states: All states.
        transitions: Target states by (state, event).
    """

    name: str
    initial: str
    states: frozenset[str]
    transitions: dict[tuple[str, str], str]

    def step(self, state: str, event: str) -> str:
        """Returns the next state; the same state for an event not accepted.

        Raises:
            BrokenInvariant: The chart does not have the given state.
        """
        target = self.transitions.get((state, event))
        if target is not None:
            return target
        if state not in self.states:
            raise BrokenInvariant(f"chart {self.name} has no state {state!r}")
        return state

    def accepts(self, state: str, event: str) -> bool:
        """Returns whether a state has a transition for an event."""
        return (state, event) in self.transitions


@functools.cache
def load(name: str) -> Chart:
    """Loads a chart of this package by file name without the extension."""
    text = (
        importlib.resources.files(__package__)
        .joinpath(f"{name}.yaml")
        .read_text("utf-8")
    )
    source = sismic_io.import_from_yaml(text=text)
    source.validate()
    root = source.state_for(source.root)
    children = source.children_for(source.root)
    transitions = {
        (transition.source, transition.event): transition.target
        for transition in source.transitions
    }
    return Chart(
        name=name,
        initial=root.initial,
        states=frozenset(children),
        transitions=transitions,
    )


def mermaid(chart: Chart) -> str:
    """Returns a chart as Mermaid source for the documentation."""
    lines = ["stateDiagram-v2", f"    [*] --> {chart.initial}"]
    for (state, event), target in sorted(chart.transitions.items()):
        lines.append(f"    {state} --> {target}: {event}")
    return "\n".join(lines)
