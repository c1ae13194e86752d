"""Search responses have one index version, true coverage and correct hits.

The tests compute the expected hits of each response from its ranges and
version, and check its ranges against the answers that upstreams logged.
"""

import collections
import pathlib
import time

import pytest
import yaml

from bench import fleet
from bench.proofs import callers
from hyssoptack.core import keyspace

SERVICE = "oven-kiosk"
TEXTS = (
    "baguette",
    "croissant rotary oven",
    "fault check the damper",
    "brioche brick",
    "tapalapa deck oven curve",
)
OPTIONS = fleet.Options(
    deployment="dakar", services=(SERVICE,), port_shift=4_500, service_ms=3.0
)


@pytest.fixture(scope="module")
def run(tmp_path_factory):
    folder = pathlib.Path(tmp_path_factory.mktemp("answers"))
    with fleet.Fleet(OPTIONS, folder) as started:
        yield started


def _answered_ranges(run) -> dict[tuple[str, int], list[keyspace.KeyRange]]:
    """Returns the ranges that upstreams answered, by query and version."""
    logs = collections.defaultdict(list)
    for upstream_id in run.upstream_ids(SERVICE):
        if run.processes[upstream_id].poll() is not None:
            continue
        for query_id, version, low, high in run.upstream_counters(
            upstream_id, False
        )["answered"]:
            logs[(query_id, version)].append(keyspace.KeyRange(low, high))
    return logs


def _check_replies(
    run, replies, killed_ids: tuple[str, ...] = ()
) -> dict[str, int]:
    """Checks every reply; returns counts by status, reason and completeness."""
    logs = _answered_ranges(run)
    counts = collections.Counter()
    for text, reply in replies:
        counts[f"status {reply.status}"] += 1
        assert reply.status in (200, 503), reply.body
        if reply.status == 503:
            assert reply.body["ran"] == "no"
            counts[reply.body["reason"]] += 1
            detail = reply.body["detail"].partition("missing: ")[2]
            for word in set(detail.split()[1::2]):
                counts[word.strip(",")] += 1
            assert int(reply.retry_after) >= 1
            continue
        body = reply.body
        ranges = tuple(
            keyspace.KeyRange(low, high) for low, high in body["covered_ranges"]
        )
        covered = keyspace.coverage_ratio(ranges)
        assert abs(covered - body["coverage_ratio"]) < 1e-5
        counts["whole"] += covered == 1.0
        titles = [title for _, title in callers.response_hits(body)]
        version_suffix = f"[v{body['index_version']}]"
        assert all(each.endswith(version_suffix) for each in titles), (
            "mixed versions"
        )
        expected = callers.expected_hits(SERVICE, text, body)
        assert callers.response_hits(body) == expected
        if not killed_ids:
            logged = logs[(body["query_id"], body["index_version"])]
            for each in ranges:
                assert not keyspace.subtract(each, _disjoint(logged)), body
    return dict(counts)


def _disjoint(ranges) -> tuple[keyspace.KeyRange, ...]:
    taken: list[keyspace.KeyRange] = []
    for each in ranges:
        taken.extend(keyspace.subtract(each, tuple(taken)))
    return tuple(taken)


def _start_load(run, **body) -> callers.LoadGenerator:
    return callers.LoadGenerator(run, SERVICE, TEXTS, 6, **body)


def test_an_index_roll_under_load_leaves_searches_whole(run):
    # Guards against searches refused, or partly answered, because a change of
    # version uses up the budget of extra calls.
    load = _start_load(run)
    for version in (2, 3):
        for upstream_id in run.upstream_ids(SERVICE):
            run.set_behaviour(upstream_id, versions=[version - 1, version])
            time.sleep(0.03)
        for upstream_id in run.upstream_ids(SERVICE):
            run.set_behaviour(upstream_id, versions=[version])
            time.sleep(0.03)
    replies = load.stop()
    counts = _check_replies(run, replies)
    versions = {
        reply.body["index_version"]
        for _, reply in replies
        if reply.status == 200
    }
    print("versions roll:", counts, versions)
    assert versions >= {1, 2, 3}
    assert counts["whole"] >= 0.9 * len(replies)


def test_differing_shard_versions_are_not_mixed(run):
    ids = run.upstream_ids(SERVICE)
    load = _start_load(run)
    for number in range(6):
        for index, upstream_id in enumerate(ids):
            run.set_behaviour(upstream_id, versions=[3 + (index + number) % 2])
    for upstream_id in ids:
        run.set_behaviour(upstream_id, versions=[3, 4])
    time.sleep(1.0)
    replies = load.stop()
    counts = _check_replies(run, replies)
    print("split versions:", counts)
    assert replies[-1][1].status == 200


def _apply_boundary(run, boundary: int) -> None:
    document = yaml.safe_load(run.catalog_path.read_text("utf-8"))
    shards = document["services"][SERVICE]["shards"]
    shards[0]["high"] = boundary
    shards[1]["low"] = boundary
    run.catalog_path.write_text(
        yaml.safe_dump(document, allow_unicode=True), "utf-8"
    )
    run.run_cli("config", "apply", str(run.catalog_path))


@pytest.mark.parametrize("first", ["overlap", "gap"])
def test_repartition_under_load_counts_no_key_twice(run, first):
    shards = run.catalog.services[SERVICE].shards
    old = shards[0].key_range.high
    new = old - 2_000 if first == "gap" else old + 2_000
    load = _start_load(run)
    time.sleep(0.5)
    # Shard 1 changes before shard 2: keys belong to both or none meanwhile.
    for upstream_id in shards[0].upstream_ids:
        run.set_behaviour(upstream_id, high=new)
        time.sleep(0.2)
    for upstream_id in shards[1].upstream_ids:
        run.set_behaviour(upstream_id, low=new)
        time.sleep(0.2)
    _apply_boundary(run, new)
    time.sleep(1.0)
    for upstream_id in shards[0].upstream_ids:
        run.set_behaviour(upstream_id, high=old)
    for upstream_id in shards[1].upstream_ids:
        run.set_behaviour(upstream_id, low=old)
    _apply_boundary(run, old)
    replies = load.stop()
    counts = _check_replies(run, replies)
    print("repartition:", first, counts)
    assert counts["whole"] >= 0.5 * len(replies)


def test_slow_paused_and_partitioned_processes_mix_up_no_responses(run):
    ids = run.upstream_ids(SERVICE)
    load = _start_load(run)
    for upstream_id in ids[::10]:
        run.set_behaviour(upstream_id, slow_factor=30.0)
    time.sleep(1.0)
    run.pause(ids[4])
    run.set_partitions([("plateau", "pikine")])
    time.sleep(1.0)
    run.set_partitions([])
    run.resume(ids[4])
    time.sleep(1.0)
    for upstream_id in ids[::10]:
        run.set_behaviour(upstream_id, slow_factor=1.0)
    replies = load.stop()
    counts = _check_replies(run, replies)
    print("stragglers, freeze, cut:", counts)
    assert counts["status 200"] >= 0.9 * len(replies)


def test_killed_replicas_reduce_no_coverage(run):
    killed_ids = [
        shard.upstream_ids[0] for shard in run.catalog.services[SERVICE].shards
    ]
    load = _start_load(run)
    time.sleep(0.5)
    for upstream_id in killed_ids[:5]:
        run.kill(upstream_id)
        time.sleep(0.2)
    time.sleep(1.0)
    replies = load.stop()
    counts = _check_replies(run, replies, killed_ids=tuple(killed_ids[:5]))
    print("lost replicas:", counts)
    for upstream_id in killed_ids[:5]:
        run.start_upstream(upstream_id)
    assert counts["whole"] >= 0.98 * len(replies)
