"""Tests of draining upstreams, planned stops and partitioned domains."""

import pathlib
import time

import pytest

from bench import fleet
from bench.proofs import callers

SERVICE = "membership"
TEXTS = ("boulangerie medina", "four de thies franchise", "member")
OPTIONS = fleet.Options(
    deployment="dakar",
    services=(SERVICE,),
    port_shift=5_000,
    service_ms=3.0,
    # Makes a stop fail that waits for the end of a long poll.
    instance_overrides={"platform": {"watch_ms": 60_000}},
)
DRAIN_LIMIT_S = 3.0


@pytest.fixture(scope="module")
def run(tmp_path_factory):
    folder = pathlib.Path(tmp_path_factory.mktemp("leaving"))
    with fleet.Fleet(OPTIONS, folder) as started:
        yield started


def _check_replies(replies) -> int:
    """Checks that every request got an answer or an allowed refusal.

    A cut connection has status 0, and an instance that does not serve refuses
    with the reason `starting`; neither is allowed. One request in a hundred may
    be refused with the reason `coverage_below_floor`, which a stall of the
    machine past the deadline causes, not a stop.

    Returns:
        The number of refused requests.
    """
    refused = 0
    for _, reply in replies:
        assert reply.status in (200, 503), reply.body
        if reply.status == 503:
            assert reply.body["reason"] == "coverage_below_floor", reply.body
            refused += 1
    assert refused <= len(replies) / 100
    return refused


def test_draining_upstream_gets_no_new_work_before_the_list_shows_it(run):
    upstream_id = run.upstream_ids(SERVICE)[0]
    load = callers.LoadGenerator(run, SERVICE, TEXTS, 8)
    time.sleep(1.0)
    run.set_behaviour(upstream_id, draining=True)
    time.sleep(DRAIN_LIMIT_S)
    before = run.upstream_counters(upstream_id)["new_work_while_draining_count"]
    time.sleep(4.0)
    after = run.upstream_counters(upstream_id)["new_work_while_draining_count"]
    replies = load.stop()
    run.set_behaviour(upstream_id, draining=False)
    print("draining upstream: new work", before, "then", after - before)
    assert after == before
    _check_replies(replies)


def test_draining_upstream_gets_few_calls_in_its_first_second(run):
    upstream_id = run.upstream_ids(SERVICE)[5]
    load = callers.LoadGenerator(run, SERVICE, TEXTS, 8)
    time.sleep(0.5)
    before = run.upstream_counters(upstream_id)["new_work_while_draining_count"]
    run.set_behaviour(upstream_id, draining=True)
    time.sleep(1.0)
    replies = load.stop()
    count = (
        run.upstream_counters(upstream_id)["new_work_while_draining_count"]
        - before
    )
    run.set_behaviour(upstream_id, draining=False)
    print("calls that met an upstream in its first second of leaving:", count)
    # Each of its three owners may have a call in flight.
    assert count <= 6
    _check_replies(replies)


@pytest.mark.parametrize("keep_alive", [True, False])
def test_a_planned_stop_of_each_instance_in_turn_cuts_and_refuses_nothing(
    run, keep_alive
):
    # Guards against connections that a stop cuts, and against refusals as
    # overloaded by an instance that has just started.
    load = callers.LoadGenerator(run, SERVICE, TEXTS, 8, keep_alive=keep_alive)
    statuses = []
    for each in run.instances[:5]:
        statuses.append(run.terminate(each["instance_id"]))
        run.start_instance(each["instance_id"])
        run.wait_ready([each["instance_id"]])
    replies = load.stop()
    refused = _check_replies(replies)
    print(
        "planned stops:",
        len(statuses),
        "requests:",
        len(replies),
        "refused:",
        refused,
    )
    assert statuses == [0] * 5


def test_partitioned_domain_serves_and_rejoins_without_a_load_peak(run):
    others = [("pikine", "plateau"), ("pikine", "almadies")]
    calls = callers.CallerClient(run)
    inside = calls.front_address("pikine-1")
    load = callers.LoadGenerator(run, SERVICE, TEXTS, 4)
    time.sleep(1.5)
    steady = _calls_per_search(run, 1.5)
    run.set_partitions(others)
    run.set_store_faults(cut_domains=["pikine"])
    run.set_instance_list_faults(cut_domains=["pikine"])
    time.sleep(2.0)
    partitioned_replies = [
        calls.search(inside, SERVICE, "member", deadline_ms=600)
        for _ in range(20)
    ]
    assert all(reply.status == 200 for reply in partitioned_replies[5:])
    # Each shard has a replica in Pikine, so a partition reduces no coverage.
    assert all(
        each.body["coverage_ratio"] == 1.0 for each in partitioned_replies[5:]
    )
    run.set_partitions([])
    run.set_store_faults(cut_domains=[])
    run.set_instance_list_faults(cut_domains=[])
    peaks = [_calls_per_search(run, 0.5) for _ in range(6)]
    replies = load.stop()
    ratio = max(peaks) / steady
    print("rejoin: upstream calls a search, peak over steady:", round(ratio, 2))
    answered = sum(reply.status == 200 for _, reply in replies)
    print("replies:", len(replies), "answered:", answered)
    assert ratio <= 1.5
    assert answered >= 0.98 * len(replies)


def _calls_per_search(run, seconds: float) -> float:
    """Returns the upstream calls per search during some seconds."""

    def totals() -> tuple[int, int]:
        upstream_calls = searches = 0
        for each in run.instances:
            status = run.status(each["instance_id"])
            upstream_calls += status["upstream_call_count"]
            searches += status["search_count"]
        return upstream_calls, searches

    calls_before, searches_before = totals()
    time.sleep(seconds)
    calls_after, searches_after = totals()
    searches = max(1, searches_after - searches_before)
    return (calls_after - calls_before) / searches


def test_no_upstream_exceeds_its_connection_limit(run):
    assert not run.upstreams_over_limit(SERVICE)
