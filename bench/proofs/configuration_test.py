"""Configuration changes reach all instances and revisions never decrease."""

import concurrent.futures
import json
import pathlib
import threading
import time

import pytest
import yaml

from bench import fleet

SERVICE = "training-portal"
OPTIONS = fleet.Options(
    deployment="dakar", services=(SERVICE,), port_shift=5_500
)
IN_FORCE_LIMIT_S = 7.0


class Watcher:
    """Polls every instance's revision and records decreases."""

    def __init__(self, run):
        self._run = run
        self._stopping = threading.Event()
        self.decreases: list[tuple] = []
        self.read_count = 0
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()

    def _watch(self) -> None:
        last: dict[str, int] = {}
        while not self._stopping.is_set():
            for each in self._run.instances:
                name = each["instance_id"]
                try:
                    status = self._run.status(name)
                except Exception:  # The instance is down.
                    continue
                incarnation, revision = (
                    status["incarnation"],
                    status["revision"],
                )
                if revision < last.get(incarnation, 0):
                    self.decreases.append((name, revision))
                last[incarnation] = revision
                self.read_count += 1
            time.sleep(0.05)

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join()


@pytest.fixture(scope="module")
def run(tmp_path_factory):
    folder = pathlib.Path(tmp_path_factory.mktemp("configuration"))
    with fleet.Fleet(OPTIONS, folder) as started:
        watcher = Watcher(started)
        yield started
        watcher.stop()
        print("revisions read:", watcher.read_count)
        assert not watcher.decreases


def _variant(run, deadline_ms: int) -> pathlib.Path:
    document = yaml.safe_load(run.catalog_path.read_text("utf-8"))
    document["profiles"]["member-desk"]["deadline_ms"] = deadline_ms
    path = run.folder / f"variant-{deadline_ms}.yaml"
    path.write_text(yaml.safe_dump(document, allow_unicode=True), "utf-8")
    return path


def _apply(run, deadline_ms: int, *words: str) -> dict:
    path = _variant(run, deadline_ms)
    done = run.run_cli(
        "config", "apply", str(path), "--json", *words, check=False
    )
    return {"code": done.returncode, **json.loads(done.stdout or "{}")}


def _revisions(run, names) -> set[int]:
    return {run.status(name)["revision"] for name in names}


def _wait_in_force(run, revision: int, names) -> float:
    return run.wait_for(
        lambda: _revisions(run, names) == {revision},
        f"revision {revision}",
        IN_FORCE_LIMIT_S,
    )


def _instance_ids(run) -> list[str]:
    return [each["instance_id"] for each in run.instances]


def test_change_is_in_force_on_all_instances_within_the_limit(run):
    seconds = []
    for number in range(5):
        applied = _apply(run, 500 + number)
        seconds.append(
            _wait_in_force(run, applied["revision"], _instance_ids(run))
        )
    print("in force everywhere after, s:", [round(each, 2) for each in seconds])


def test_concurrent_changes_are_applied_or_reported_overtaken(run):
    before = run.status("plateau-1")["revision"]
    with concurrent.futures.ThreadPoolExecutor(5) as threads:
        outcomes = list(
            threads.map(lambda each: _apply(run, 510 + each), range(5))
        )
    applied = [each for each in outcomes if each["outcome"] == "applied"]
    overtaken = [each for each in outcomes if each["outcome"] == "overtaken"]
    print("racing:", len(applied), "applied,", len(overtaken), "overtaken")
    assert len(applied) + len(overtaken) == 5
    assert all(each["code"] == 3 for each in overtaken)
    revisions = sorted(each["revision"] for each in applied)
    assert revisions == list(range(before + 1, before + 1 + len(applied)))
    _wait_in_force(run, revisions[-1], _instance_ids(run))


def test_change_of_an_older_revision_is_overtaken(run):
    outcome = _apply(run, 530, "--on-revision", "1")
    assert (outcome["outcome"], outcome["code"]) == ("overtaken", 3)


def test_change_with_a_lost_store_response_is_resolved_by_a_read(run):
    before = run.status("plateau-1")["revision"]
    run.set_store_faults(lose_write_count=2)
    outcome = _apply(run, 540)
    run.set_store_faults(lose_write_count=0)
    assert outcome["outcome"] in ("applied", "notapplied")
    if outcome["outcome"] == "notapplied":
        outcome = _apply(run, 540)
    assert outcome["revision"] == before + 1
    _wait_in_force(run, before + 1, _instance_ids(run))


def test_instance_joining_in_a_store_outage_gets_configuration_from_peers(run):
    revision = run.status("plateau-1")["revision"]
    run.set_store_faults(outage=True)
    run.kill("pikine-3")
    run.start_instance("pikine-3")
    time.sleep(0.5)
    assert not run.is_ready("pikine-3")
    seconds = run.wait_for(lambda: run.is_ready("pikine-3"), "pikine-3", 15.0)
    joined = run.status("pikine-3")["revision"]
    run.set_store_faults(outage=False)
    print("joined in an outage after, s:", round(seconds, 2))
    assert joined == revision


def test_partitioned_domain_catches_up(run):
    run.set_partitions([("pikine", "plateau"), ("pikine", "almadies")])
    run.set_store_faults(cut_domains=["pikine"])
    run.set_instance_list_faults(cut_domains=["pikine"])
    applied = _apply(run, 550)
    reachable = [
        name for name in _instance_ids(run) if not name.startswith("pikine")
    ]
    inside = [name for name in _instance_ids(run) if name.startswith("pikine")]
    _wait_in_force(run, applied["revision"], reachable)
    assert _revisions(run, inside) == {applied["revision"] - 1}
    run.set_partitions([])
    run.set_store_faults(cut_domains=[])
    run.set_instance_list_faults(cut_domains=[])
    seconds = _wait_in_force(run, applied["revision"], _instance_ids(run))
    print("caught up after the cut in, s:", round(seconds, 2))


def test_slow_store_reverts_no_change(run):
    run.set_store_faults(slow_ms=300)
    applied = _apply(run, 560)
    run.set_store_faults(slow_ms=0)
    _wait_in_force(run, applied["revision"], _instance_ids(run))


def test_at_most_two_store_watches_per_domain(run):
    time.sleep(1.0)
    address = run.store_address(run.domains[0])
    waiting = run.get(address, "/account")["waiting_by_domain"]
    print("watches by domain:", waiting)
    assert all(count <= 2 for count in waiting.values())
