"""Benchmarks of the product and of baseline policies over real processes.

Each scenario prints latency, coverage, extra load and refusals. Latencies
depend on the machine and its load; the goals are stated as ratios.
"""

import collections
import contextlib
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile
import time

from bench import fleet
from bench.slopes import fit

SERVICE = "oven-kiosk"
SERVICE_MS = 60.0
DEADLINE_MS = 400.0
SECONDS = 8.0
SLOTS_A_SHARD = 9
CAPACITY_PER_S = SLOTS_A_SHARD * 1000.0 / SERVICE_MS
STEADY_PER_S = 0.4 * CAPACITY_PER_S
PORT_SHIFT = 6_500


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """A scenario: a row of the result.

    Attributes:
        name: Name of the scenario.
        rate: Searches per second.
        inject: Function that is called with the fleet before the load.
        restore: Function that is called with the fleet after the load.
    """

    name: str
    rate: float
    inject: object = None
    restore: object = None


def run_load(run: fleet.Fleet, rate: float) -> list[dict]:
    """Sends searches at a rate and returns their results."""
    words = {
        "--front": run.balancer_address,
        "--service": SERVICE,
        "--rate": rate,
        "--seconds": SECONDS,
    }
    out = run.folder / "load.json"
    words["--out"] = out
    flat = [str(word) for pair in words.items() for word in pair]
    module = "hyssoptack.standins.load"
    subprocess.run([sys.executable, "-m", module, *flat], check=True)
    return json.loads(out.read_text("utf-8"))


def _summary(results: list[dict]) -> dict:
    answered = [each for each in results if each["status"] == 200]
    in_time = [each for each in answered if each["elapsed_ms"] <= DEADLINE_MS]
    elapsed = [each["elapsed_ms"] for each in answered] or [0.0]
    urgent = [each for each in results if each["class"] == "urgent"]
    urgent_in_time = [each for each in in_time if each["class"] == "urgent"]
    calls = sum(each["upstream_call_count"] for each in answered)
    extra = sum(each["extra_call_count"] for each in answered)
    reasons = collections.Counter(
        each.get("reason", "?") for each in results if each["status"] != 200
    )
    refused_ms = [
        each["elapsed_ms"] for each in results if each["status"] == 503
    ] or [0.0]
    coverage = sum(each["coverage_ratio"] for each in answered)
    return {
        "sent": len(results),
        "useful_per_s": round(len(in_time) / SECONDS, 1),
        "p50_ms": round(fit.quantile(elapsed, 0.5)),
        "p99_ms": round(fit.quantile(elapsed, 0.99)),
        "p999_ms": round(fit.quantile(elapsed, 0.999)),
        "coverage": round(coverage / max(1, len(answered)), 4),
        "extra": round(extra / max(1, calls - extra), 4),
        "urgent_in_time": round(len(urgent_in_time) / max(1, len(urgent)), 4),
        "refused_p50_ms": round(fit.quantile(refused_ms, 0.5)),
        "refused": dict(reasons),
    }


def slow_every_tenth(run: fleet.Fleet) -> None:
    """Makes one upstream in ten slower by a factor of 10."""
    for upstream_id in run.upstream_ids(SERVICE)[::10]:
        run.set_behaviour(upstream_id, slow_factor=10.0)


def _end_slowness(run: fleet.Fleet) -> None:
    for upstream_id in run.upstream_ids(SERVICE)[::10]:
        run.set_behaviour(upstream_id, slow_factor=1.0)


def _start_shedding(run: fleet.Fleet) -> None:
    for upstream_id in run.upstream_ids(SERVICE)[1::10]:
        run.set_behaviour(upstream_id, shed=True)


def _end_shedding(run: fleet.Fleet) -> None:
    for upstream_id in run.upstream_ids(SERVICE)[1::10]:
        run.set_behaviour(upstream_id, shed=False)


def _lose_replicas(run: fleet.Fleet) -> None:
    for upstream_id in run.upstream_ids(SERVICE)[2::10]:
        run.kill(upstream_id)


def _restore_replicas(run: fleet.Fleet) -> None:
    for upstream_id in run.upstream_ids(SERVICE)[2::10]:
        run.start_upstream(upstream_id)
    time.sleep(3.0)


def _start_outage(run: fleet.Fleet) -> None:
    run.set_store_faults(outage=True)
    run.set_instance_list_faults(outage=True)


def _end_outage(run: fleet.Fleet) -> None:
    run.set_store_faults(outage=False)
    run.set_instance_list_faults(outage=False)


def _start_outage_and_slowness(run: fleet.Fleet) -> None:
    _start_outage(run)
    slow_every_tenth(run)


def _end_outage_and_slowness(run: fleet.Fleet) -> None:
    _end_outage(run)
    _end_slowness(run)


HEALTHY = Scenario(name="healthy", rate=STEADY_PER_S)
STRAGGLERS = Scenario(
    name="1 upstream in 10 straggles 10 times",
    rate=STEADY_PER_S,
    inject=slow_every_tenth,
    restore=_end_slowness,
)
OVERLOAD = Scenario(name="3 times capacity", rate=3 * CAPACITY_PER_S)
POLICIES = {
    "product": (
        {},
        (
            HEALTHY,
            STRAGGLERS,
            Scenario(
                name="1 upstream in 10 lost (lying list)",
                rate=STEADY_PER_S,
                inject=_lose_replicas,
                restore=_restore_replicas,
            ),
            Scenario(
                name="1 upstream in 10 sheds all",
                rate=STEADY_PER_S,
                inject=_start_shedding,
                restore=_end_shedding,
            ),
            Scenario(
                name="store and list out",
                rate=STEADY_PER_S,
                inject=_start_outage,
                restore=_end_outage,
            ),
            Scenario(
                name="store out and stragglers",
                rate=STEADY_PER_S,
                inject=_start_outage_and_slowness,
                restore=_end_outage_and_slowness,
            ),
            Scenario(name="at capacity", rate=CAPACITY_PER_S),
            OVERLOAD,
        ),
    ),
    "no hedging": ({"hedging": "none"}, (HEALTHY, STRAGGLERS)),
    "hedge after 100 ms, no budget": (
        {"hedging": "fixed:100"},
        (HEALTHY, STRAGGLERS, OVERLOAD),
    ),
    "no admission": ({"admission": False}, (OVERLOAD,)),
}


def _run_policy(name: str, overrides: dict, scenarios) -> list[dict]:
    options = fleet.Options(
        services=(SERVICE,),
        service_ms=SERVICE_MS,
        port_shift=PORT_SHIFT,
        **overrides,
    )
    rows = []
    with contextlib.ExitStack() as stack:
        at = stack.enter_context(tempfile.TemporaryDirectory())
        run = stack.enter_context(fleet.Fleet(options, pathlib.Path(at)))
        run_load(run, STEADY_PER_S)
        for scenario in scenarios:
            if scenario.inject:
                scenario.inject(run)
            summary = _summary(run_load(run, scenario.rate))
            if scenario.restore:
                scenario.restore(run)
            time.sleep(1.0)
            rows.append({"policy": name, "scenario": scenario.name, **summary})
            print(rows[-1], flush=True)
    return rows


def main() -> None:
    """Runs the scenarios of all policies, or of the named ones."""
    policy_names = sys.argv[1:] or list(POLICIES)
    rows = []
    for name in policy_names:
        overrides, scenarios = POLICIES[name]
        rows += _run_policy(name, overrides, scenarios)
    fit.report("measures", rows, {})


if __name__ == "__main__":
    main()
