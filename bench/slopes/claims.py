"""Store writes for actions: a claim a key, against claims grouped by slot.

The first way is the product's, measured over a running deployment. The second
is a trial: claims wait for the write before, then go together into one value a
slot; its writes grow slower, its bytes with all claims that are remembered.
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


def _paced(rate: int, call) -> int:
    """Makes calls at a rate for some seconds; returns how many went well."""
    count = int(rate * SECONDS)
    started_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(64) as threads:
        futures = []
        for number in range(count):
            wait_s = started_s + number / rate - time.monotonic()
            time.sleep(max(0.0, wait_s))
            futures.append(threads.submit(call, number))
        return sum(each.result() for each in futures)


def _account(run: fleet.Fleet) -> dict:
    return run.get(run.store_address(run.domains[0]), "/account")


def _each_key(run: fleet.Fleet, rate: int) -> dict:
    calls = callers.CallerClient(run)

    def act(number: int) -> bool:
        front = calls.front_address(run.instances[number % 9]["instance_id"])
        key = f"{rate}-{number}"
        return calls.act(front, SERVICE, key, key).execution_status() == "yes"

    before = _account(run)
    well = _paced(rate, act)
    time.sleep(1.0)
    after = _account(run)
    writes = after["write_count"] - before["write_count"]
    return {"ran": well, "writes_per_action": round(writes / max(1, well), 2)}


def _grouped(run: fleet.Fleet, rate: int) -> dict:
    """One writer a slot; each write carries all claims that wait."""
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
    held = [0] * SLOT_COUNT
    versions = [0] * SLOT_COUNT
    writes = [0, 0]
    ends_s = time.monotonic() + SECONDS + 0.5

    def writer(slot: int) -> None:
        while time.monotonic() < ends_s:
            batch, waiting[slot] = waiting[slot], []
            if not batch:
                time.sleep(0.002)
                continue
            held[slot] += len(batch)
            value = "x" * (held[slot] * CLAIM_BYTES)
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
        count = _paced(rate, claim)
    return {
        "writes_per_claim": round(writes[0] / count, 2),
        "bytes_per_claim": round(writes[1] / count),
    }


def main() -> None:
    """Measures and prints."""
    options = fleet.Options(services=(SERVICE,), port_shift=6_000)
    rows = []
    with (
        tempfile.TemporaryDirectory() as at,
        fleet.Fleet(options, pathlib.Path(at)) as run,
    ):
        for rate in RATES:
            row = {"actions_per_s": rate}
            row |= _each_key(run, rate)
            grouped = _grouped(run, rate)
            row |= {f"grouped_{name}": grouped[name] for name in grouped}
            rows.append(row)
    writes = [row["writes_per_action"] * row["actions_per_s"] for row in rows]
    lines = {"writes a second by actions a second": fit.fit_line(RATES, writes)}
    fit.report("claims", rows, lines)


if __name__ == "__main__":
    main()
