"""Actions are executed at most once and their reported status is true.

The upstreams count executions by idempotency key. Each test compares these
counts with the execution status that callers received.
"""

import concurrent.futures
import pathlib
import time
import urllib.parse

import pytest

from bench import fleet
from bench.proofs import callers

SERVICE = "certification-register"
OPTIONS = fleet.Options(
    deployment="dakar",
    services=(SERVICE,),
    port_shift=4_000,
    instance_overrides={"relay": {"owner_count": 1}},
)


@pytest.fixture(scope="module")
def run(tmp_path_factory):
    folder = pathlib.Path(tmp_path_factory.mktemp("actions"))
    with fleet.Fleet(OPTIONS, folder) as started:
        yield started


@pytest.fixture
def calls(run):
    yield callers.CallerClient(run)
    run.set_store_faults(
        outage=False,
        slow_ms=0,
        lose_write_ratio=0.0,
        lose_write_count=0,
        swallow_write_count=0,
        hold_write_ms=0,
    )


def _run_counts(run) -> dict[str, int]:
    counts: dict[str, int] = {}
    for upstream_id in run.upstream_ids(SERVICE):
        for key, count in run.upstream_counters(upstream_id)["runs"].items():
            counts[key] = counts.get(key, 0) + count
    return counts


def _check(run, reported: dict[str, list[str]]) -> None:
    """Checks the reported status of each key against the upstreams' counts."""
    counts = _run_counts(run)
    for key, answers in reported.items():
        assert counts.get(key, 0) <= 1, f"{key} executed {counts[key]} times"
        if all(each == "no" for each in answers):
            assert counts.get(key, 0) == 0, (
                f"{key}: executed, but reported as not run"
            )
        if "yes" in answers:
            assert counts.get(key, 0) == 1, (
                f"{key}: not executed, but reported as run"
            )


def _front_in_other_domain(run, calls, upstream_id) -> str:
    """Returns the address of an instance outside the upstream's domain."""
    domain = run.upstream(upstream_id).failure_domain
    for each in run.instances:
        if each["failure_domain"] != domain:
            return calls.front_address(each["instance_id"])
    raise AssertionError


def test_concurrent_actions_with_one_key_execute_once(run, calls):
    reported: dict[str, list[str]] = {}
    fronts = [
        calls.front_address(each["instance_id"]) for each in run.instances
    ]
    with concurrent.futures.ThreadPoolExecutor(len(fronts)) as threads:
        for number in range(20):
            key, subject = f"same-{number}", f"Awa {number}"
            reported[key] = [
                reply.execution_status()
                for reply in threads.map(
                    lambda front, key=key, subject=subject: calls.act(
                        front, SERVICE, key, subject
                    ),
                    fronts,
                )
            ]
    _check(run, reported)
    assert all("yes" in answers for answers in reported.values())
    assert all("no" not in answers for answers in reported.values())


@pytest.mark.parametrize("key", ["x%41", "a/b", "a%2Fb", "50%", "?q#f", "+"])
def test_the_outcome_of_any_key_can_be_looked_up(run, calls, key):
    # Guards against a key that is decoded twice and taken for another one.
    front = calls.front_address(run.instances[0]["instance_id"])
    sent = calls.act(front, SERVICE, key, "Awa")
    assert sent.execution_status() == "yes"
    path = f"/services/{SERVICE}/actions/{urllib.parse.quote(key, safe='')}"
    found = run.get(front, path)
    assert (found.get("ran"), found.get("receipt")) == (
        "yes",
        sent.body["receipt"],
    )


def test_repeated_action_gets_the_recorded_outcome(run, calls):
    fronts = [
        calls.front_address(each["instance_id"]) for each in run.instances
    ]
    first = calls.act(fronts[0], SERVICE, "repeat", "Binta")
    assert first.execution_status() == "yes"
    time.sleep(0.3)
    for front in fronts:
        again = calls.act(front, SERVICE, "repeat", "Binta")
        assert again.body["receipt"] == first.body["receipt"]
        assert again.body["replayed"] is True
    _check(run, {"repeat": ["yes"]})


def test_key_reused_for_another_request_is_rejected(run, calls):
    front = calls.front_address("plateau-1")
    assert (
        calls.act(front, SERVICE, "reused", "Coumba").execution_status()
        == "yes"
    )
    time.sleep(0.3)
    other = calls.act(front, SERVICE, "reused", "Coumba", request={"x": 1})
    assert (other.status, other.body["reason"]) == (422, "key_reused")


def test_lost_store_responses_keep_actions_correct(run, calls):
    run.set_store_faults(lose_write_ratio=0.5)
    reported = {}
    for number in range(30):
        key = f"lost-{number}"
        front = calls.front_address(run.instances[number % 9]["instance_id"])
        reported[key] = [
            calls.act(front, SERVICE, key, f"Demba {number}").execution_status()
        ]
    run.set_store_faults(lose_write_ratio=0.0)
    _check(run, reported)
    assert sum(answers == ["yes"] for answers in reported.values()) == 30


def test_lost_store_writes_keep_actions_correct(run, calls):
    reported = {}
    for number in range(10):
        run.set_store_faults(swallow_write_count=number % 4)
        key = f"swallowed-{number}"
        front = calls.front_address("almadies-1")
        reported[key] = [
            calls.act(front, SERVICE, key, f"Fama {number}").execution_status()
        ]
    run.set_store_faults(swallow_write_count=0)
    _check(run, reported)
    assert sum(answers == ["yes"] for answers in reported.values()) == 10


def test_lost_upstream_response_is_unknown_and_not_resent(run, calls):
    reported: dict[str, list[str]] = {}
    for number in range(10):
        key, subject = f"upstream-lost-{number}", f"Gora {number}"
        upstream_id = callers.upstream_for(run, SERVICE, subject)
        run.set_behaviour(upstream_id, lose_act_count=1)
        front = calls.front_address(run.instances[number % 9]["instance_id"])
        reported[key] = [
            calls.act(front, SERVICE, key, subject).execution_status()
        ]
        time.sleep(0.1)
        for each in run.instances[:3]:
            again = calls.act(
                calls.front_address(each["instance_id"]), SERVICE, key, subject
            )
            reported[key].append(again.execution_status())
        assert reported[key] == ["unknown"] * 4
    _check(run, reported)
    counts = _run_counts(run)
    assert all(counts[key] == 1 for key in reported)


def test_store_outage_rejects_actions_as_not_run(run, calls):
    run.set_store_faults(outage=True)
    reported = {}
    replies = []
    for number in range(9):
        key = f"outage-{number}"
        front = calls.front_address(run.instances[number]["instance_id"])
        reply = calls.act(front, SERVICE, key, f"Hawa {number}")
        reported[key] = [reply.execution_status()]
        replies.append(reply)
    run.set_store_faults(outage=False)
    reasons = {each.body["reason"] for each in replies}
    assert reasons == {"store_unavailable"}, [each.body for each in replies]
    assert all(int(each.retry_after) >= 1 for each in replies)
    assert all(answers == ["no"] for answers in reported.values())
    _check(run, reported)


def _act_with_paused_owner(
    run, calls, number: int, delay_s: float
) -> tuple[str, str]:
    """Pauses the executing instance after a time; returns key and status."""
    upstream_id = run.upstream_ids(SERVICE)[number % 5]
    subject = callers.subject_for_upstream(run, SERVICE, upstream_id, number)
    owner = callers.owners_for(run, upstream_id, 1)[0]
    front = _front_in_other_domain(run, calls, upstream_id)
    key = f"frozen-{number}"
    run.set_store_faults(slow_ms=60)
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        future = threads.submit(calls.act, front, SERVICE, key, subject)
        time.sleep(delay_s)
        run.pause(owner)
        first = future.result().execution_status()
    # The instance is removed from the instance list while it is paused.
    time.sleep(1.5)
    run.resume(owner)
    run.set_store_faults(slow_ms=0)
    time.sleep(1.0)
    return key, first


def test_resumed_executor_executes_no_action_twice(run, calls):
    reported: dict[str, list[str]] = {}
    for number in range(8):
        key, first = _act_with_paused_owner(
            run, calls, number, 0.01 + 0.02 * number
        )
        reported[key] = [first]
        _check(run, reported)
    run.wait_ready([each["instance_id"] for each in run.instances])
    time.sleep(3.0)
    for number, key in enumerate(list(reported)):
        upstream_id = run.upstream_ids(SERVICE)[number % 5]
        subject = callers.subject_for_upstream(
            run, SERVICE, upstream_id, number
        )
        front = calls.front_address("pikine-2")
        reported[key].append(
            calls.act(front, SERVICE, key, subject).execution_status()
        )
    _check(run, reported)


@pytest.mark.parametrize("delay_s", [0.02, 0.08, 0.14, 0.2])
def test_killed_executor_keeps_actions_correct(run, calls, delay_s):
    number = int(delay_s * 100)
    upstream_id = run.upstream_ids(SERVICE)[number % 5]
    subject = callers.subject_for_upstream(run, SERVICE, upstream_id, number)
    owner = callers.owners_for(run, upstream_id, 1)[0]
    front = _front_in_other_domain(run, calls, upstream_id)
    key = f"killed-{number}"
    run.set_store_faults(slow_ms=60)
    run.set_behaviour(upstream_id, act_ms=60)
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        future = threads.submit(calls.act, front, SERVICE, key, subject)
        time.sleep(delay_s)
        run.kill(owner)
        reported = {key: [future.result().execution_status()]}
    run.set_store_faults(slow_ms=0)
    _check(run, reported)
    run.start_instance(owner)
    run.wait_ready([owner])
    reported[key].append(
        calls.act(front, SERVICE, key, subject).execution_status()
    )
    _check(run, reported)
