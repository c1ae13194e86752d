"""Tests of settings validation: all errors are reported with their keys."""

import pathlib

import pytest
import yaml

from hyssoptack.settings import catalog
from hyssoptack.settings import instance

ROOT = pathlib.Path(__file__).resolve().parents[2]
_VALID = """
instance_id: plateau-1
failure_domain: plateau
front_address: 127.0.0.1:1
operator_address: 127.0.0.1:2
peer_address: 127.0.0.1:3
platform:
  store_address: 127.0.0.1:4
  instance_list_address: 127.0.0.1:5
"""


@pytest.mark.parametrize("deployment", ["dakar", "wales"])
def test_the_shipped_deployments_are_valid(deployment):
    path = ROOT / "deploy" / deployment / "catalog.yaml"
    parts, errors = catalog.split(path.read_text("utf-8"), str(path))
    assert not errors
    current, _ = catalog.assemble(1, parts, str(path))
    assert len(current.services) == 4
    assert sum(len(each.upstreams) for each in current.services.values()) == 83


def test_valid_instance_settings_get_defaults():
    settings, errors = instance.parse(_VALID, "x.yaml")
    assert not errors
    assert settings.platform.watcher_count == 2


def test_all_errors_are_reported_at_once():
    text = _VALID.replace("127.0.0.1:4", "localhost:4") + (
        "surprise: 1\nfront: {thread_count: many, max_query_count: 90}\n"
    )
    _, errors = instance.parse(text, "x.yaml")
    keys = {each.key for each in errors}
    assert keys >= {"platform.store_address", "surprise", "front.thread_count"}
    assert all(each.file == "x.yaml" and each.expected for each in errors)


@pytest.mark.parametrize("text", ["[", "3", "", "a: [1", "services: {}"])
def test_invalid_documents_are_errors_not_exceptions(text):
    assert instance.parse(text, "x.yaml")[1]
    assert catalog.split(text, "x.yaml")[1]


def _errors_after_change(old: str, new: str) -> list[str]:
    text = (ROOT / "deploy/dakar/catalog.yaml").read_text("utf-8")
    assert old in text
    _, errors = catalog.split(text.replace(old, new, 1), "x.yaml")
    return [str(each) for each in errors]


def test_ranges_must_fill_the_key_space_without_overlap():
    assert any(
        "starts at" in each
        for each in _errors_after_change("high: 6553", "high: 7")
    )


@pytest.mark.parametrize("services", ["[1]", "null", "7", "'a'"])
def test_services_that_are_no_mapping_are_an_error(services):
    # Guards against a configuration that drops all services by mistake.
    text = (ROOT / "deploy/dakar/catalog.yaml").read_text("utf-8")
    document = yaml.safe_load(text) | {"services": yaml.safe_load(services)}
    parts, errors = catalog.split(yaml.safe_dump(document), "x.yaml")
    assert not parts
    assert [each.key for each in errors] == ["services"]


def test_a_service_must_name_an_existing_profile():
    errors = _errors_after_change("profile: dawn-batch", "profile: dusk")
    assert any("one of: dawn-batch" in each for each in errors)


def test_units_and_bounds_are_checked():
    assert _errors_after_change("deadline_ms: 400", "deadline_ms: -1")
    assert _errors_after_change(
        "coverage_floor_ratio: 0.9", "coverage_floor_ratio: 90"
    )
    assert _errors_after_change("deadline_ms: 400", "deadline_s: 4")
    wrong = _errors_after_change(
        "deadline_ms: 400", "class: royal, deadline_ms: 400"
    )
    assert any("one of: urgent, browsing" in each for each in wrong)
