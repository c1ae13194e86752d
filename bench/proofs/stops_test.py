"""Searches are answered soon after all processes of a fleet stood still."""

import pathlib
import time

import pytest

from bench import fleet
from bench.proofs import callers

SERVICE = "oven-kiosk"
TEXTS = ("baguette", "brioche brick", "croissant rotary oven")
OPTIONS = fleet.Options(
    deployment="dakar", services=(SERVICE,), port_shift=9_500, service_ms=3.0
)
RECOVERY_S = 0.3
WATCH_S = 2.5


@pytest.fixture(scope="module")
def run(tmp_path_factory):
    folder = pathlib.Path(tmp_path_factory.mktemp("stops"))
    with fleet.Fleet(OPTIONS, folder) as started:
        yield started


def _play_stop(run, names: list[str], stop_s: float):
    """Stops processes under load.

    Returns:
        All replies, and the monotonic time at which the processes went on.
    """
    load = callers.LoadGenerator(run, SERVICE, TEXTS, 6, pause_s=0.005)
    time.sleep(1.0)
    for name in names:
        run.pause(name)
    time.sleep(stop_s)
    for name in reversed(names):
        run.resume(name)
    resumed_s = time.monotonic()
    time.sleep(WATCH_S)
    return [reply for _, reply in load.stop()], resumed_s


def _names(run, which: str) -> list[str]:
    if which == "all":
        return list(run.processes)
    return [each["instance_id"] for each in run.instances]


@pytest.mark.parametrize("stop_s", [1.6, 2.3])
@pytest.mark.parametrize("which", ["all", "instances"])
def test_searches_are_whole_soon_after_a_stop_of_all_instances(
    run, which, stop_s
):
    # Guards against two seconds of refusals after a stop, and against searches
    # whose connection is closed without a response.
    replies, resumed_s = _play_stop(run, _names(run, which), stop_s)
    later = [
        each for each in replies if each.started_s > resumed_s + RECOVERY_S
    ]
    whole = [
        each
        for each in later
        if each.status == 200 and each.body["coverage_ratio"] == 1.0
    ]
    print("stop:", which, stop_s, "whole:", len(whole), "of", len(later))
    assert len(later) > 100
    assert len(whole) >= 0.98 * len(later)
    if which == "all":
        # Without processes that run, nothing else could close a connection.
        assert all(each.status != 0 for each in replies)


def test_no_upstream_exceeds_its_limits_around_the_stops(run):
    # Guards against shares that two instances use after a stop.
    for upstream_id in run.upstream_ids(SERVICE):
        account = run.upstream_counters(upstream_id)
        upstream = run.upstream(upstream_id)
        assert account["over_limit_count"] == 0
        assert (
            account["connection_peak_count"] <= upstream.connection_limit_count
        )
