"""Tests of gateway settings: JSON, YAML, defaults and errors."""

import json

import pytest

from hyssoptack.settings import gateway

MINIMAL = {
    "instance_id": "g-1",
    "failure_domain": "north",
    "failure_domains": {"north": "wales"},
    "callers_address": "127.0.0.1:1",
    "readiness_address": "127.0.0.1:2",
    "store_address": "127.0.0.1:3",
    "budget": {},
}


def parse(**changes):
    return gateway.parse(json.dumps(MINIMAL | changes).encode())


def test_minimal_settings_get_defaults():
    settings = parse().ok
    assert settings.grace_ms == 6_000.0
    assert settings.budget.ratio == 0.1


def test_numbers_in_exponent_notation_are_accepted():
    # The platform specifies seconds; the template turns 6.5 into 6.5e3.
    data = json.dumps(MINIMAL).encode()[:-1] + b', "grace_ms": 6.5e3}'
    assert gateway.parse(data).ok.grace_ms == 6_500.0


def test_yaml_is_accepted():
    data = b"""
instance_id: g-1
failure_domain: north
failure_domains: {north: wales}
callers_address: 127.0.0.1:1
readiness_address: 127.0.0.1:2
store_address: 127.0.0.1:3
budget: {ratio: 0.2}
"""
    assert gateway.parse(data).ok.budget.ratio == 0.2


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"callers_address": "nowhere"}, "callers_address"),
        ({"failure_domain": "south"}, "failure_domain"),
        ({"grace_ms": 0}, "grace_ms"),
        ({"grace_ms": "long"}, "grace_ms"),
        ({"budget": {"ratio": -1}}, "budget.ratio"),
    ],
)
def test_an_invalid_value_is_named_in_the_error(changes, named):
    assert named in parse(**changes).error


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        (b"peer_address: nowhere", "peer_address"),
        (b"metrics_address: '127.0.0.1'", "metrics_address"),
        (b"grace_ms: .nan", "grace_ms"),
        (b"lease_ms: .inf", "lease_ms"),
        (b"crossing_ratio: .nan", "crossing_ratio"),
        (b"warmup: {slack_count: .nan}", "warmup.slack_count"),
    ],
)
def test_settings_that_can_not_work_are_refused(changes, named):
    # Guards against a gateway that starts and fails or misbehaves later.
    data = "\n".join(f"{name}: {json.dumps(v)}" for name, v in MINIMAL.items())
    assert gateway.parse(data.encode()).ok
    result = gateway.parse(data.encode() + b"\n" + changes)
    assert result.is_error()
    assert result.error.startswith(named)


def test_a_missing_file_is_an_error_value(tmp_path):
    path = str(tmp_path / "none.yaml")
    assert path in gateway.load(path).error
