"""Cost of a query over 30 to 370 upstreams, directly and through relays."""

import concurrent.futures
import pathlib
import tempfile
import time

from bench import fleet
from bench.proofs import callers
from bench.slopes import farms
from bench.slopes import fit

SIZES = (30, 90, 185, 370)
INSTANCE_COUNTS = (1, 9)
QUERY_COUNT = 120
WARM_COUNT = 30
PORT_SHIFT = 3_500


def _instances(count: int) -> tuple[dict, ...]:
    return tuple(
        {
            "instance_id": f"plateau-{number + 1}",
            "failure_domain": "plateau",
            "front_address": f"127.0.0.1:{21_010 + 3 * number}",
            "operator_address": f"127.0.0.1:{21_011 + 3 * number}",
            "peer_address": f"127.0.0.1:{21_012 + 3 * number}",
        }
        for number in range(count)
    )


def _measure(run: fleet.Fleet, size: int, count: int) -> dict:
    calls = callers.CallerClient(run)
    front = calls.front_address("plateau-1")

    def search(_number: int) -> callers.Reply:
        return calls.search(front, "wide", "record", limit=10)

    for number in range(WARM_COUNT):
        search(number)
    pids = {
        each["instance_id"]: run.processes[each["instance_id"]].pid
        for each in run.instances
    }
    before = {name: fit.process_cpu_s(pid) for name, pid in pids.items()}
    replies = [search(number) for number in range(QUERY_COUNT)]
    used = {
        name: fit.process_cpu_s(pid) - before[name]
        for name, pid in pids.items()
    }
    assert all(each.status == 200 for each in replies), replies[-1]
    elapsed = [each.body["elapsed_ms"] for each in replies]
    started_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(6) as threads:
        list(threads.map(search, range(QUERY_COUNT)))
    rate = QUERY_COUNT / (time.monotonic() - started_s)
    coordinator_ms = used.pop("plateau-1") * 1000 / QUERY_COUNT
    relays_ms = sum(used.values()) * 1000 / QUERY_COUNT
    return {
        "instances": count,
        "upstreams": size,
        "p50_ms": round(fit.quantile(elapsed, 0.5), 1),
        "p99_ms": round(fit.quantile(elapsed, 0.99), 1),
        "coordinator_cpu_ms": round(coordinator_ms, 2),
        "relays_cpu_ms": round(relays_ms, 2),
        "queries_per_s_at_6": round(rate, 1),
    }


def main() -> None:
    """Measures each number of instances and upstreams and reports them."""
    rows = []
    for count in INSTANCE_COUNTS:
        for size in SIZES:
            with farms.Farms(size) as farm, tempfile.TemporaryDirectory() as at:
                options = fleet.Options(
                    catalog_document=farm.document(),
                    instances=_instances(count),
                    port_shift=PORT_SHIFT,
                    instance_overrides={"relay": {"owner_count": 3}},
                )
                with fleet.Fleet(options, pathlib.Path(at)) as run:
                    rows.append(_measure(run, size, count))
    lines = {}
    for count in INSTANCE_COUNTS:
        count_rows = [row for row in rows if row["instances"] == count]
        for name in ("coordinator_cpu_ms", "relays_cpu_ms", "p50_ms"):
            values = [max(row[name], 0.01) for row in count_rows]
            lines[f"{name}, {count} instances"] = fit.fit_line(
                list(SIZES), values
            )
    fit.report("stages", rows, lines)


if __name__ == "__main__":
    main()
