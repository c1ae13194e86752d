"""`python -m soak.main`: executes soak runs and prints their violations."""

import pathlib
import sys
import tempfile

import cyclopts

from soak import faults
from soak import play
from soak import restores
from soak import runsettings

application = cyclopts.App(name="soak")


@application.default
def main(
    *,
    first_seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    gateways: int = 4,
    callers: int = 16,
    folder: str = "",
    cuts: bool = False,
    stalls: bool = False,
    with_restores: bool = False,
) -> None:
    """Executes soak runs one after the other, a seed each.

    Args:
        first_seed: Seed of the first run; each further run uses the next one.
        seeds: Number of runs.
        seconds: Duration of the phase in which faults begin.
        gateways: Number of gateway processes.
        callers: Number of concurrent callers.
        folder: Folder for settings and logs; by default a temporary one.
        cuts: Whether gateways are only cut off while upstreams leave.
        stalls: Whether gateways only stand still while upstreams leave.
        with_restores: Whether the store returns from older copies.
    """
    draw = faults.draw_schedule
    if cuts or stalls:
        draw = faults.draw_cuts if cuts else faults.draw_stalls
    elif with_restores:
        draw = restores.draw_restores
    failed = []
    for seed in range(first_seed, first_seed + seeds):
        base = pathlib.Path(folder or tempfile.mkdtemp(prefix="soak-"))
        run_folder = base / f"seed-{seed}"
        run_folder.mkdir(parents=True, exist_ok=True)
        settings = runsettings.Settings(
            seed=seed,
            fault_phase_ms=seconds * 1000.0,
            gateway_count=gateways,
            caller_count=callers,
            folder=run_folder,
            draw=draw,
        )
        report = play.run(settings)
        total = sum(report.outcome_counts.values())
        stalls = report.outcome_counts["stalls of the soak"]
        crashes = report.outcome_counts["crashes of upstreams"]
        print(
            f"seed {seed}: {total - stalls - crashes} requests, "
            f"{crashes} crashes of upstreams, {len(report.violations)} broken, "
            f"{stalls} stalls of the soak itself"
        )
        for line in report.violations[:12]:
            print(f"  {line}")
        if report.violations:
            failed.append(seed)
            print(f"  logs: {run_folder}")
    print(f"{seeds} runs, failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    application()
