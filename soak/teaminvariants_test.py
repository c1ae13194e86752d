"""Tests that the checks of teams report each kind of violation."""

import pytest

from hyssoptack.gateway import harness
from soak import callers
from soak import environment
from soak import teaminvariants
from soak import teams

KEY = "k-green-00"
PATH = environment.FANOUT_PATH
VERSIONS = [
    teams.TeamVersion(at_ms=0.0, teams_by_key={KEY: "green"}),
    teams.TeamVersion(at_ms=1.0, teams_by_key={KEY: "red"}),
    teams.TeamVersion(at_ms=2.0, teams_by_key={}),
]


def record(status=200, key=KEY, path=PATH, sent_ms=0.0, request_id="r1"):
    return callers.RequestRecord(
        request_id=request_id,
        gateway="g-0",
        path=path,
        sent_ms=sent_ms,
        ended_ms=sent_ms + 5.0,
        outcome="answered",
        response=harness.Response(status=status, headers={}, body=b""),
        key=key,
    )


def head(*fields, request_id=b"r1"):
    lines = (b"GET /all/x HTTP/1.1", b"X-Request-Id: " + request_id, *fields)
    return b"\r\n".join(lines) + b"\r\n\r\n"


GREEN, RED = b"X-Tenant-Id: green", b"x-tenant-id: red"


def violations(requests, heads=(), versions=VERSIONS[:1], run_times_ms=()):
    """Returns the kinds of violations in a run with one upstream."""
    observed = environment.Environment(teams.SEED_MODULUS)
    observed.team_plan.all_keys = [KEY]
    upstream = environment.RecordingUpstream(observed, "i-0", "shard-0")
    upstream.request_heads = [*heads]
    observed.upstreams["i-0"] = upstream
    for number, at_ms in enumerate(run_times_ms):
        run = environment.Run(at_ms=at_ms, upstream_id="i-0", service="shard-0")
        observed.record_run(f"r{number}", run)
        own_head = head(GREEN, request_id=b"r%d" % number)
        upstream.request_heads.append(own_head)
    checker = teaminvariants.TeamChecker(observed, lambda _: versions)
    return {each.partition(":")[0] for each in checker.check(requests)}


@pytest.mark.parametrize(
    ("given", "heads", "versions", "kind"),
    [
        (
            record(),
            [head(GREEN, b"authorization: Bearer x")],
            VERSIONS[:1],
            "key reached an upstream",
        ),
        (
            record(),
            [head(GREEN, b"X-Other: " + KEY.encode())],
            VERSIONS[:1],
            "key reached an upstream",
        ),
        (record(), [head(RED)], VERSIONS[:1], "wrong team at an upstream"),
        (
            record(),
            [head(GREEN, GREEN)],
            VERSIONS[:1],
            "wrong team at an upstream",
        ),
        (
            record(),
            [head(GREEN), head(RED)],
            VERSIONS[:1],
            "wrong team at an upstream",
        ),
        (record(key=""), [head()], VERSIONS[:1], "served without a key"),
        (record(key="no"), [], VERSIONS[:1], "served without a valid key"),
        (record(), [], VERSIONS[2:], "served without a valid key"),
        (record(status=401), [], VERSIONS[:2], "valid key refused"),
        (
            record(status=401, path=environment.ANONYMOUS_PATH, key=""),
            [],
            VERSIONS[:1],
            "valid key refused",
        ),
        (record(status=429), [], VERSIONS[1:2], "refused without a rate"),
    ],
)
def test_violations_of_keys_and_teams_are_reported(
    given, heads, versions, kind
):
    assert kind in violations([given], heads, versions)


@pytest.mark.parametrize(
    ("given", "heads", "versions"),
    [
        (record(), [head(GREEN)], VERSIONS[:1]),
        (record(), [head(RED)], VERSIONS[:2]),
        (record(status=401), [], VERSIONS[1:]),
        (record(status=401, key=""), [], VERSIONS[:1]),
        (record(path=environment.ANONYMOUS_PATH, key=""), [head()], VERSIONS),
        (record(path=environment.ANONYMOUS_PATH), [head(GREEN)], VERSIONS[:1]),
    ],
)
def test_correct_outcomes_are_accepted(given, heads, versions):
    assert not violations([given], heads, versions)


@pytest.mark.parametrize("extra_count", [0, 1])
def test_a_team_above_its_rate_in_any_window_is_reported(extra_count):
    allowed = int(teams.LIMITS["green"].allowed_count(teams.WINDOW_MS))
    times = [
        1_000.0 + 4_900.0 * number / allowed
        for number in range(allowed + extra_count)
    ]
    # Requests before and after the window don't count.
    found = violations([], run_times_ms=[-9_000.0, *times, 20_000.0])
    assert ("team above its rate" in found) is bool(extra_count)


def test_refusals_of_a_team_below_its_rate_are_reported():
    slow = [
        record(sent_ms=100.0 * number, request_id=f"a{number}")
        for number in range(60)
    ]
    burst = [
        record(sent_ms=10_000.0 + number, request_id=f"b{number}")
        for number in range(40)
    ]
    for asked, at_ms, is_wrong in (
        (slow, 6_000.0, True),
        (burst, 10_050.0, False),
    ):
        refused = [
            record(429, sent_ms=at_ms + number, request_id=f"c{number}")
            for number in range(4)
        ]
        found = violations([*asked, *refused])
        assert ("refused below the rate" in found) is is_wrong


def test_a_refusal_in_a_run_without_teams_is_reported():
    observed = environment.Environment(teams.SEED_MODULUS + 1)
    checker = teaminvariants.TeamChecker(observed, lambda _: [])
    assert observed.team_plan is None
    assert checker.check([record(status=401)])


def test_a_key_in_a_log_is_reported(tmp_path):
    observed = environment.Environment(teams.SEED_MODULUS)
    checker = teaminvariants.TeamChecker(observed, lambda _: [])
    (tmp_path / "g-0.log").write_text("a line\n")
    assert not checker.check_logs(tmp_path)
    key = observed.team_plan.all_keys[0]
    (tmp_path / "g-1.log").write_text(f"a line\nfault: Bearer {key}\n")
    assert checker.check_logs(tmp_path) == ["key in a log: g-1.log, line 2"]


def test_teams_of_a_seed_are_drawn_alike_and_change():
    first, second = teams.TeamPlan(3), teams.TeamPlan(3)
    for number in range(20):
        at_ms = float(number)
        assert first.next_entries(at_ms) == second.next_entries(at_ms)
    assert len({str(each.teams_by_key) for each in first.versions}) > 5
    assert all(
        each.teams_by_key[teams.FIXED_KEY] == teams.FIXED_TEAM
        for each in first.versions
    )
