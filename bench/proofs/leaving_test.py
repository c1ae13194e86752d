"""Leaving upstreams, planned stops, domains cut off and back again."""

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
    # A stop must not wait for the end of a long poll.
    instance_overrides={"platform": {"watch_ms": 60_000}},
)
DRAIN_LIMIT_S = 3.0


@pytest.fixture(scope="module")
def run(tmp_path_factory):
    folder = pathlib.Path(tmp_path_factory.mktemp("leaving"))
    with fleet.Fleet(OPTIONS, folder) as started:
        yield started


def _check_uncut(replies) -> int:
    """Checks that every request got a whole answer or a truthful refusal.

    A cut shows as no answer at all, and a request that met an instance that
    does not serve as `starting`: neither may be. A stall of the machine past
    the deadline is refused as below the floor, which no stop has caused; that
    may be one in a hundred.
    """
    refused = 0
    for _, reply in replies:
        assert reply.status in (200, 503), reply.body
        if reply.status == 503:
            assert reply.body["reason"] == "coverage_below_floor", reply.body
            refused += 1
    assert refused <= len(replies) / 100
    return refused


def test_a_draining_upstream_gets_no_new_work_though_the_list_lags(run):
    victim = run.upstream_ids(SERVICE)[0]
    load = callers.LoadGenerator(run, SERVICE, TEXTS, 8)
    time.sleep(1.0)
    run.set_behaviour(victim, draining=True)
    time.sleep(DRAIN_LIMIT_S)
    before = run.upstream_counters(victim)["new_work_while_draining_count"]
    time.sleep(4.0)
    after = run.upstream_counters(victim)["new_work_while_draining_count"]
    replies = load.stop()
    run.set_behaviour(victim, draining=False)
    print("draining upstream: new work", before, "then", after - before)
    assert after == before
    _check_uncut(replies)


def test_only_a_few_calls_reach_an_upstream_that_says_it_leaves(run):
    victim = run.upstream_ids(SERVICE)[5]
    load = callers.LoadGenerator(run, SERVICE, TEXTS, 8)
    time.sleep(0.5)
    before = run.upstream_counters(victim)["new_work_while_draining_count"]
    run.set_behaviour(victim, draining=True)
    time.sleep(1.0)
    replies = load.stop()
    count = (
        run.upstream_counters(victim)["new_work_while_draining_count"] - before
    )
    run.set_behaviour(victim, draining=False)
    print("calls that met an upstream in its first second of leaving:", count)
    # Its three owners each may have one call on its way.
    assert count <= 6
    _check_uncut(replies)


@pytest.mark.parametrize("keep_alive", [True, False])
def test_a_planned_stop_of_each_instance_in_turn_cuts_nothing(run, keep_alive):
    load = callers.LoadGenerator(run, SERVICE, TEXTS, 8, keep_alive=keep_alive)
    statuses = []
    for each in run.instances[:5]:
        statuses.append(run.terminate(each["instance_id"]))
        run.start_instance(each["instance_id"])
        run.wait_ready([each["instance_id"]])
    replies = load.stop()
    refused = _check_uncut(replies)
    print(
        "planned stops:",
        len(statuses),
        "requests:",
        len(replies),
        "refused:",
        refused,
    )
    assert statuses == [0] * 5


def test_a_domain_cut_off_serves_on_and_rejoins_without_a_stampede(run):
    others = [("pikine", "plateau"), ("pikine", "almadies")]
    calls = callers.CallerClient(run)
    inside = calls.front_address("pikine-1")
    load = callers.LoadGenerator(run, SERVICE, TEXTS, 4)
    time.sleep(1.5)
    steady = _calls_in(run, 1.5)
    run.set_partitions(others)
    run.set_store_faults(cut_domains=["pikine"])
    run.set_instance_list_faults(cut_domains=["pikine"])
    time.sleep(2.0)
    alone = [
        calls.search(inside, SERVICE, "member", deadline_ms=600)
        for _ in range(20)
    ]
    assert all(reply.status == 200 for reply in alone[5:])
    # Each shard has a replica in Pikine: being cut off costs no coverage.
    assert all(each.body["coverage_ratio"] == 1.0 for each in alone[5:])
    run.set_partitions([])
    run.set_store_faults(cut_domains=[])
    run.set_instance_list_faults(cut_domains=[])
    peaks = [_calls_in(run, 0.5) for _ in range(6)]
    replies = load.stop()
    ratio = max(peaks) / steady
    print("rejoin: upstream calls a search, peak over steady:", round(ratio, 2))
    good = sum(reply.status == 200 for _, reply in replies)
    print("replies:", len(replies), "answered:", good)
    assert ratio <= 1.5
    assert good >= 0.98 * len(replies)


def _calls_in(run, seconds: float) -> float:
    """Returns upstream calls for each search over some time."""

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


def test_an_upstream_never_sees_more_connections_or_slots_than_it_has(run):
    for upstream_id in run.upstream_ids(SERVICE):
        account = run.upstream_counters(upstream_id)
        upstream = run.upstream(upstream_id)
        assert account["over_limit_count"] == 0
        assert (
            account["connection_peak_count"] <= upstream.connection_limit_count
        )
