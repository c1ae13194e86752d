"""Settings of a soak run."""

import dataclasses
import pathlib

from soak import faults

LINKS_MBPS = (0.5, 1_000.0)
"""Link rates, assigned to the gateways of a zone in turn. Gateways with a slow
link hand queries over to those with a fast one."""

GRACE_MS = 6_000.0


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


def gateway_document(name: str) -> dict[str, object]:
    """Returns the settings of a gateway that follow from its name."""
    number = int(name.removeprefix("g-"))
    return {
        "instance_id": name,
        "failure_domain": f"zone-{number % 2}",
        "failure_domains": {"zone-0": "r", "zone-1": "r"},
        "grace_ms": GRACE_MS,
        "link_mbps": LINKS_MBPS[number // 2 % len(LINKS_MBPS)],
        "budget": {"ratio": 0.2, "slack_count": 60, "window_ms": 10_000},
    }
