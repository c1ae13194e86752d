"""Short seeded runs of the soak; a test of the referee itself."""

import pathlib

import pytest

from hyssoptack.gateway import harness
from soak import callers
from soak import environment
from soak import faults
from soak import invariants
from soak import play

FAILED_SEEDS: tuple[int, ...] = ()
"""Seeds that ever failed by a fault of the product, each with its cause."""


@pytest.mark.parametrize("seed", (11, *FAILED_SEEDS))
def test_a_short_run_breaks_no_promise(seed, tmp_path):
    settings = play.Settings(
        seed=seed,
        fault_phase_ms=5_000.0,
        gateway_count=3,
        caller_count=10,
        folder=pathlib.Path(tmp_path),
    )
    report = play.run(settings)
    assert not report.violations
    assert sum(report.outcome_counts.values()) > 300


def test_slow_gateways_send_no_query_to_more_upstreams_than_allowed(tmp_path):
    settings = play.Settings(
        seed=1,
        fault_phase_ms=20_000.0,
        gateway_count=4,
        caller_count=16,
        folder=pathlib.Path(tmp_path),
    )
    assert not play.run(settings).violations


def test_a_seed_always_gives_the_same_faults():
    names = ("g-0", "g-1")
    planned = faults.draw_schedule(
        7, 20_000.0, names, play.FAULT_TARGET_SERVICES
    )
    assert planned == faults.draw_schedule(
        7, 20_000.0, names, play.FAULT_TARGET_SERVICES
    )
    assert planned != faults.draw_schedule(
        8, 20_000.0, names, play.FAULT_TARGET_SERVICES
    )
    assert len({type(each.fault) for each in planned}) >= 5


def _asked(path, status=200, headers=None, body=b"", sent_ms=10_000.0):
    return callers.RequestRecord(
        request_id="r1",
        gateway="g-0",
        path=path,
        sent_ms=sent_ms,
        ended_ms=sent_ms + 20.0,
        outcome="answered",
        response=harness.Response(
            status=status, headers=headers or {}, body=body
        ),
    )


def _run(service, at_ms=10_010.0, copy=0):
    name = f"i-{service}-{copy}"
    return environment.Run(at_ms=at_ms, upstream_id=name, service=service)


def _broken(asked, runs=(), harms=(), left_ms=None, versions=()):
    seen = environment.Environment(1)
    for name in environment.SERVICES:
        upstream_id = f"i-{name}-0"
        seen.upstreams[upstream_id] = environment.RecordingUpstream(
            seen, upstream_id, name
        )
    seen.runs_by_request["r1"] = list(runs)
    seen.departure_ms = left_ms or {}
    seen.config_versions = list(versions)
    judge = invariants.InvariantChecker(seen, list(harms), [], 0.0)
    lines = judge.check([asked]).violations
    return [each for each in lines if not each.startswith("not recovered")]


_DESK = environment.UNSHARDED_SERVICES[1]


@pytest.mark.parametrize(
    ("asked", "found"),
    [
        (
            _asked(environment.NON_IDEMPOTENT_PATH, status=502),
            {"runs": [_run(_DESK)] * 2},
        ),
        (
            _asked(environment.NON_IDEMPOTENT_PATH, status=503),
            {"runs": [_run(_DESK)]},
        ),
        (_asked(environment.NON_IDEMPOTENT_PATH, status=404), {}),
        (
            _asked(environment.NON_IDEMPOTENT_PATH, status=502),
            {"runs": [_run(environment.UNSHARDED_SERVICES[0])]},
        ),
        (
            _asked(
                environment.NON_IDEMPOTENT_PATH,
                headers={"x-server-stamp": "i-desk-b-0.r2"},
            ),
            {},
        ),
        (
            _asked(
                environment.NON_IDEMPOTENT_PATH,
                headers={"x-server-stamp": "i-desk-b-0.r1"},
            ),
            {},
        ),
        (
            _asked(
                environment.FANOUT_PATH,
                headers={"x-part-stamps": "i-shard-0-0.r1"},
            ),
            {},
        ),
        (
            _asked(environment.NON_IDEMPOTENT_PATH, status=502),
            {"runs": [_run(_DESK)], "left_ms": {"i-desk-b-0": 1_000.0}},
        ),
        (
            _asked(environment.FANOUT_PATH, status=502),
            {"runs": [_run("shard-0", copy=copy) for copy in range(3)]},
        ),
    ],
)
def test_the_referee_sees_what_is_broken(asked, found):
    assert _broken(asked, **found)


def test_the_referee_lets_pass_what_is_right():
    assert not _broken(
        _asked(environment.NON_IDEMPOTENT_PATH, status=502), runs=[_run(_DESK)]
    )
    assert not _broken(_asked(environment.NON_IDEMPOTENT_PATH, status=503))
    twice = [_run("shard-0", copy=copy) for copy in range(2)]
    assert not _broken(_asked(environment.FANOUT_PATH, status=502), runs=twice)
    # A gateway that was harmed a second before may not know who leaves.
    harm = invariants.FaultWindow(
        gateway="g-0", start_ms=8_000.0, end_ms=9_000.0
    )
    assert not _broken(
        _asked(environment.NON_IDEMPOTENT_PATH, status=502),
        runs=[_run(_DESK)],
        harms=[harm],
        left_ms={"i-desk-b-0": 1_000.0},
    )


def test_the_referee_sees_an_older_configuration():
    versions = (
        environment.ConfigVersion(
            at_ms=0.0,
            number=1,
            moved_route_service=environment.UNSHARDED_SERVICES[0],
        ),
        environment.ConfigVersion(
            at_ms=2_000.0,
            number=4,
            moved_route_service=environment.UNSHARDED_SERVICES[1],
        ),
    )
    asked = _asked(environment.MOVED_PATH, status=502)
    assert _broken(
        asked, runs=[_run(environment.UNSHARDED_SERVICES[0])], versions=versions
    )
    assert not _broken(
        asked, runs=[_run(environment.UNSHARDED_SERVICES[1])], versions=versions
    )


def test_recovery_is_not_judged_across_a_stop_of_the_soak_itself():
    stop = invariants.FaultWindow(gateway="", start_ms=9_000.0, end_ms=10_010.0)
    served = [
        _asked(
            environment.SINGLE_PATH,
            headers={"x-server-stamp": "i-desk-a-0.r1"},
            sent_ms=20_000.0 + number,
        )
        for number in range(30)
    ]
    late = [_asked(environment.SINGLE_PATH, status=504) for _ in range(3)]
    for harms, broken in (([stop], False), ([], True)):
        judge = invariants.InvariantChecker(
            environment.Environment(1), harms, [], 0.0
        )
        lines = judge.check([*served, *late]).violations
        found = any(each.startswith("not recovered") for each in lines)
        assert found is broken
