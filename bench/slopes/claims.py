"""Store writes for actions: a claim per key, compared with claims per slot.

The product writes a claim per key, which is measured on a running deployment.
The alternative is simulated: claims wait for the previous write and are then
written together into one value per slot. Its number of writes grows more
slowly, but its bytes grow with all claims that are kept.
"""

import concurrent.futures
import pathlib
import tempfile
import time

from bench import fleet
from bench.proofs import callers
from bench.slopes import fit
from hyssoptack.revisions import store
from hyssoptack.settings import instance

RATES = (10, 20, 40, 80)
SECONDS = 4.0
SLOT_COUNT = 8
CLAIM_BYTES = 160
SERVICE = "certification-register"


def _call_at_rate(rate: int, call) -> int:
    """Makes calls at a rate for `SECONDS`; returns how many succeeded."""
    count = int(rate * SECONDS)
    started_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(64) as threads:
        futures = []
        for number in range(count):
            wait_s = started_s + number / rate - time.monotonic()
            time.sleep(max(0.0, wait_s))
            futures.append(threads.submit(call, number))
        return sum(each.result() for each in futures)


def _store_counters(run: fleet.Fleet) -> dict:
    return run.get(run.store_address(run.domains[0]), "/account")


def _measure_per_key(run: fleet.Fleet, rate: int) -> dict:
    calls = callers.CallerClient(run)

    def act(number: int) -> bool:
        front = calls.front_address(run.instances[number % 9]["instance_id"])
        key = f"{rate}-{number}"
        return calls.act(front, SERVICE, key, key).execution_status() == "yes"

    before = _store_counters(run)
    succeeded = _call_at_rate(rate, act)
    time.sleep(1.0)
    after = _store_counters(run)
    writes = after["write_count"] - before["write_count"]
    return {
        "ran": succeeded,
        "writes_per_action": round(writes / max(1, succeeded), 2),
    }


def _measure_grouped(run: fleet.Fleet, rate: int) -> dict:
    """Measures a writer per slot, whose writes contain all waiting claims."""
    settings = instance.PlatformSettings(
        store_address=run.store_address(run.domains[0]),
        instance_list_address="127.0.0.1:1",
        timeout_ms=1_000.0,
        watch_ms=1_000.0,
        instance_list_lag_ms=0.0,
        list_period_ms=1_000.0,
        watcher_count=1,
    )
    client = store.StoreClient(settings)
    waiting: list[list[int]] = [[] for _ in range(SLOT_COUNT)]
    claim_counts = [0] * SLOT_COUNT
    versions = [0] * SLOT_COUNT
    writes = [0, 0]
    ends_s = time.monotonic() + SECONDS + 0.5

    def writer(slot: int) -> None:
        while time.monotonic() < ends_s:
            batch, waiting[slot] = waiting[slot], []
            if not batch:
                time.sleep(0.002)
                continue
            claim_counts[slot] += len(batch)
            value = "x" * (claim_counts[slot] * CLAIM_BYTES)
            key = f"trial/{rate}/{slot}"
            result = client.put(key, value, versions[slot])
            versions[slot] = result.ok
            writes[0] += 1
            writes[1] += len(value)

    def claim(number: int) -> bool:
        waiting[number % SLOT_COUNT].append(number)
        return True

    with concurrent.futures.ThreadPoolExecutor(SLOT_COUNT) as threads:
        for slot in range(SLOT_COUNT):
            threads.submit(writer, slot)
        count = _call_at_rate(rate, claim)
    return {
        "writes_per_claim": round(writes[0] / count, 2),
        "bytes_per_claim": round(writes[1] / count),
    }


def main() -> None:
    """Measures both schemes at each rate and reports the writes."""
    options = fleet.Options(services=(SERVICE,), port_shift=6_000)
    rows = []
    with (
        tempfile.TemporaryDirectory() as at,
        fleet.Fleet(options, pathlib.Path(at)) as run,
    ):
        for rate in RATES:
            row = {"actions_per_s": rate}
            row |= _measure_per_key(run, rate)
            grouped = _measure_grouped(run, rate)
            row |= {f"grouped_{name}": grouped[name] for name in grouped}
            rows.append(row)
    writes = [row["writes_per_action"] * row["actions_per_s"] for row in rows]
    lines = {"writes a second by actions a second": fit.fit_line(RATES, writes)}
    fit.report("claims", rows, lines)


if __name__ == "__main__":
    main()
