"""Loads state charts with sismic and interprets them as transition tables.

sismic reads and validates the files. Its own interpreter costs too much for a
step on the path of each call (`bench/slopes/charts.py`), and the charts here
are flat, so the step is a table look-up.
"""

import dataclasses
import functools
import importlib.resources

from sismic import io as sismic_io


class BrokenInvariant(Exception):
    """A chart's state is broken: a fault of ours that stops the process."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chart:
    """A flat state chart.

    Attributes:
        name: Its file's name.
        initial: The state that everything begins in.
        states: Every state.
        transitions: Target state by (state, event).
    """

    name: str
    initial: str
    states: frozenset[str]
    transitions: dict[tuple[str, str], str]

    def step(self, state: str, event: str) -> str:
        """Returns the next state; the same one for an event it does not take.

        Raises:
            BrokenInvariant: The chart has no such state.
        """
        target = self.transitions.get((state, event))
        if target is not None:
            return target
        if state not in self.states:
            raise BrokenInvariant(f"chart {self.name} has no state {state!r}")
        return state

    def accepts(self, state: str, event: str) -> bool:
        """Tells whether a state takes an event."""
        return (state, event) in self.transitions


@functools.cache
def load(name: str) -> Chart:
    """Loads a chart of this package by its file's name without the ending."""
    text = (
        importlib.resources.files(__package__)
        .joinpath(f"{name}.yaml")
        .read_text("utf-8")
    )
    source = sismic_io.import_from_yaml(text=text)
    source.validate()
    root = source.state_for(source.root)
    children = source.children_for(source.root)
    table = {
        (transition.source, transition.event): transition.target
        for transition in source.transitions
    }
    return Chart(
        name=name,
        initial=root.initial,
        states=frozenset(children),
        transitions=table,
    )


def mermaid(chart: Chart) -> str:
    """Returns a chart as Mermaid text, for the docs."""
    lines = ["stateDiagram-v2", f"    [*] --> {chart.initial}"]
    for (state, event), target in sorted(chart.transitions.items()):
        lines.append(f"    {state} --> {target}: {event}")
    return "\n".join(lines)
