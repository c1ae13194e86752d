"""Tests of decoding the platform's store values."""

import json

import pytest

from hyssoptack.core import teams
from hyssoptack.core import traffic
from hyssoptack.platform import storeformat

ROUTE = {
    "name": "r",
    "host": "Shop.Example",
    "prefix": "/a/",
    "route_type": "non_idempotent",
    "timeout_ms": 900,
    "target_latency_ms": 90,
    "priority": 2,
    "max_attempts": 2,
}
LIMITS = {
    "max_header_bytes": 1,
    "max_body_bytes": 2,
    "header_timeout_ms": 3,
    "idle_timeout_ms": 4,
}


def stored(*routes, **changes):
    body = {"version": 7, "routes": routes, "services": [], "limits": LIMITS}
    return json.dumps(body | changes).encode()


@pytest.mark.parametrize(
    ("fields", "target"),
    [
        ({"service": "one"}, traffic.OneService(service="one")),
        (
            {"traffic_split": [{"service": "one", "weight": 3}]},
            traffic.Split(shares=(traffic.Share(service="one", weight=3),)),
        ),
        (
            {
                "fanout_services": ["s0", "s1"],
                "top_k": 5,
                "min_shard_fraction": 0.5,
            },
            traffic.AllShards(
                shards=("s0", "s1"), top_count=5, floor_ratio=0.5
            ),
        ),
    ],
)
def test_each_kind_of_target_is_decoded(fields, target):
    found = storeformat.parse_configuration(stored({**ROUTE, **fields})).ok
    (route,) = found.routes
    assert route.target == target
    assert not route.idempotent
    assert route.host == "shop.example"
    assert (found.version, found.limits.max_body_bytes) == (7, 2)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{}",
        stored(ROUTE),
        stored({**ROUTE, "service": 3}),
        stored(version="x"),
    ],
)
def test_an_invalid_configuration_is_an_error_value(data):
    assert "unreadable" in storeformat.parse_configuration(data).error


def test_unknown_fields_are_ignored():
    data = stored({**ROUTE, "service": "one", "new": 1}, newer=True)
    assert storeformat.parse_configuration(data).is_ok()


ENTRY = {
    "service": "one",
    "address": "10.0.0.1:80",
    "zone": "north",
    "slots": 3,
    "state": "draining",
    "warmup_remaining_ms": 40,
    "sequence": 9,
}


def entry(**changes):
    return json.dumps(ENTRY | changes).encode()


def test_an_upstream_entry_is_decoded():
    found = storeformat.parse_upstream("servers/i-1", entry()).ok
    assert found.upstream_id == found.expected_id == "i-1"
    assert found.draining
    assert (found.failure_domain, found.cold_ms) == ("north", 40)
    assert storeformat.parse_upstream("servers/i-1", b"[]").is_error()


def test_two_starts_under_one_id_are_two_upstreams():
    first = storeformat.parse_upstream(
        "servers/i-1", entry(born=1_800_000_000_000)
    ).ok
    second = storeformat.parse_upstream(
        "servers/i-1", entry(born=1_800_000_000_007)
    ).ok
    assert first.upstream_id != second.upstream_id
    assert first.expected_id == second.expected_id == "i-1"


@pytest.mark.parametrize(
    ("key", "data"),
    [
        ("servers/i-1", b"\xff\xfe"),
        ("servers/i-1", b'{"service": "\xff"}'),
        ("servers/i-1", json.dumps({**ENTRY, "state": "asleep"}).encode()),
        ("servers/i-1", entry(state=None)),
        ("servers/i-1", entry(slots="3")),
        ("servers/i-1", entry(slots=True)),
        ("servers/i-1", entry(service=7)),
        ("servers/i-1", entry(born="soon")),
        ("servers/i-1", entry(born=1.5)),
        ("servers/i-1", entry(address="nowhere")),
        ("servers/i-1", entry(address="10.0.0.1:0")),
        ("servers/i-1", entry(address="a..b:80")),
        ("servers/i-1", entry(address="a\x00b:80")),
        ("servers/i-1", entry(address="x" * 300 + ":80")),
        ("servers/i-1", b'{"service": "one"}'),
        ("servers/", entry()),
        ("servers/i-1\r\nX-Forged: 1", entry()),
    ],
)
def test_an_invalid_upstream_entry_is_an_error_value(key, data):
    assert "unreadable" in storeformat.parse_upstream(key, data).error


RED = {"name": "red", "api_keys": ["k-1", "k-2"]}


@pytest.mark.parametrize(
    ("fields", "team"),
    [
        ({}, teams.Team(name="red")),
        ({"rate_per_s": 0, "burst": 5}, teams.Team(name="red")),
        ({"rate_per_s": None, "burst": None}, teams.Team(name="red")),
        ({"priority": 0}, teams.Team(name="red", priority=0)),
        (
            {"rate_per_s": 23, "burst": 7},
            teams.Team(
                name="red",
                rate_limit=teams.RateLimit(rate_per_s=23, burst_count=7),
            ),
        ),
        (
            {"rate_per_s": 0.5},
            teams.Team(
                name="red",
                rate_limit=teams.RateLimit(rate_per_s=0.5, burst_count=0),
            ),
        ),
    ],
)
def test_a_team_without_a_rate_is_not_limited(fields, team):
    data = stored(tenants=[{**RED, **fields}])
    directory = storeformat.parse_configuration(data).ok.team_directory
    assert directory.find(b"k-2") == team
    assert directory.find(b"k-3") is None


def test_absent_teams_differ_from_an_empty_list():
    # Without teams all callers are served; with an empty list, none are.
    assert storeformat.parse_configuration(stored()).ok.team_directory is None
    found = storeformat.parse_configuration(stored(tenants=[])).ok
    assert found.team_directory.find(b"") is None


def test_routes_need_a_key_unless_they_say_otherwise():
    routes = [
        {**ROUTE, "service": "one"},
        {**ROUTE, "service": "one", "allow_anonymous": None},
        {**ROUTE, "service": "one", "allow_anonymous": True},
    ]
    found = storeformat.parse_configuration(stored(*routes)).ok
    assert [each.allows_anonymous for each in found.routes] == [
        False,
        False,
        True,
    ]


@pytest.mark.parametrize(
    "changes",
    [
        {"name": "red\r\nX-Forged: 1"},
        {"name": ""},
        {"name": "équipe"},
        {"api_keys": "k-secret"},
        {"api_keys": {"k-secret": 1}},
        {"api_keys": ["k-secret", 5]},
        {"api_keys": ["k-secret"], "rate_per_s": "x"},
    ],
)
def test_the_error_of_an_invalid_team_shows_no_key(changes):
    data = stored(tenants=[{**RED, "api_keys": ["k-secret"], **changes}])
    error = storeformat.parse_configuration(data).error
    assert "unreadable" in error
    assert "k-secret" not in error
    cut = storeformat.parse_configuration(data[:-20]).error
    assert "k-secret" not in cut


def test_a_decoded_configuration_prints_no_key():
    data = stored(tenants=[{**RED, "api_keys": ["k-secret"]}])
    assert "k-secret" not in repr(storeformat.parse_configuration(data).ok)
