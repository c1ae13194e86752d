"""Settings of a soak run."""

import dataclasses
import pathlib

from soak import faults


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of one run.

    Attributes:
        seed: Seed of all random generators.
        fault_phase_ms: Duration of the phase in which faults begin.
        gateway_count: Number of gateway processes.
        caller_count: Number of concurrent callers.
        folder: Folder for the gateways' settings and logs.
        draw: Draws the faults of the run.
    """

    seed: int
    fault_phase_ms: float
    gateway_count: int
    caller_count: int
    folder: pathlib.Path
    draw: faults.Draw = faults.draw_schedule

    @property
    def draws_cuts(self) -> bool:
        """Whether gateways are cut off from each other."""
        return self.draw is faults.draw_cuts
