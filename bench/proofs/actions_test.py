"""Actions run at most once, and "not run" is true, whatever fails.

The upstreams count runs by idempotency key; each test compares what callers
were told with those counts.
"""

import concurrent.futures
import pathlib
import time

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


def _check(run, told: dict[str, list[str]]) -> None:
    """Compares what was told of each key with the upstreams' counts."""
    counts = _run_counts(run)
    for key, answers in told.items():
        assert counts.get(key, 0) <= 1, f"{key} ran {counts[key]} times"
        if all(each == "no" for each in answers):
            assert counts.get(key, 0) == 0, f"{key}: a false 'not run'"
        if "yes" in answers:
            assert counts.get(key, 0) == 1, f"{key}: a false 'ran'"


def _far_front(run, calls, upstream_id) -> str:
    """Returns a front in another domain than the upstream's."""
    domain = run.upstream(upstream_id).failure_domain
    for each in run.instances:
        if each["failure_domain"] != domain:
            return calls.front_address(each["instance_id"])
    raise AssertionError


def test_one_key_sent_everywhere_at_once_runs_once(run, calls):
    told: dict[str, list[str]] = {}
    fronts = [
        calls.front_address(each["instance_id"]) for each in run.instances
    ]
    with concurrent.futures.ThreadPoolExecutor(len(fronts)) as threads:
        for number in range(20):
            key, subject = f"same-{number}", f"Awa {number}"
            told[key] = [
                reply.execution_status()
                for reply in threads.map(
                    lambda front, key=key, subject=subject: calls.act(
                        front, SERVICE, key, subject
                    ),
                    fronts,
                )
            ]
    _check(run, told)
    assert all("yes" in answers for answers in told.values())
    assert all("no" not in answers for answers in told.values())


def test_a_repeat_gets_the_recorded_outcome(run, calls):
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


def test_a_key_reused_for_another_request_is_refused(run, calls):
    front = calls.front_address("plateau-1")
    assert (
        calls.act(front, SERVICE, "reused", "Coumba").execution_status()
        == "yes"
    )
    time.sleep(0.3)
    other = calls.act(front, SERVICE, "reused", "Coumba", request={"x": 1})
    assert (other.status, other.body["reason"]) == (422, "key_reused")


def test_lost_store_answers_neither_double_nor_lie(run, calls):
    run.set_store_faults(lose_write_ratio=0.5)
    told = {}
    for number in range(30):
        key = f"lost-{number}"
        front = calls.front_address(run.instances[number % 9]["instance_id"])
        told[key] = [
            calls.act(front, SERVICE, key, f"Demba {number}").execution_status()
        ]
    run.set_store_faults(lose_write_ratio=0.0)
    _check(run, told)
    assert sum(answers == ["yes"] for answers in told.values()) == 30


def test_swallowed_store_writes_neither_double_nor_lie(run, calls):
    told = {}
    for number in range(10):
        run.set_store_faults(swallow_write_count=number % 4)
        key = f"swallowed-{number}"
        front = calls.front_address("almadies-1")
        told[key] = [
            calls.act(front, SERVICE, key, f"Fama {number}").execution_status()
        ]
    run.set_store_faults(swallow_write_count=0)
    _check(run, told)
    assert sum(answers == ["yes"] for answers in told.values()) == 10


def test_a_lost_upstream_answer_is_unknown_and_never_sent_again(run, calls):
    told: dict[str, list[str]] = {}
    for number in range(10):
        key, subject = f"upstream-lost-{number}", f"Gora {number}"
        upstream_id = callers.upstream_for(run, SERVICE, subject)
        run.set_behaviour(upstream_id, lose_act_count=1)
        front = calls.front_address(run.instances[number % 9]["instance_id"])
        told[key] = [calls.act(front, SERVICE, key, subject).execution_status()]
        time.sleep(0.1)
        for each in run.instances[:3]:
            again = calls.act(
                calls.front_address(each["instance_id"]), SERVICE, key, subject
            )
            told[key].append(again.execution_status())
        assert told[key] == ["unknown"] * 4
    _check(run, told)
    counts = _run_counts(run)
    assert all(counts[key] == 1 for key in told)


def test_a_store_outage_refuses_truthfully_and_at_once(run, calls):
    run.set_store_faults(outage=True)
    told = {}
    replies = []
    for number in range(9):
        key = f"outage-{number}"
        front = calls.front_address(run.instances[number]["instance_id"])
        reply = calls.act(front, SERVICE, key, f"Hawa {number}")
        told[key] = [reply.execution_status()]
        replies.append(reply)
    run.set_store_faults(outage=False)
    reasons = {each.body["reason"] for each in replies}
    assert reasons == {"store_unavailable"}, [each.body for each in replies]
    assert all(int(each.retry_after) >= 1 for each in replies)
    assert all(answers == ["no"] for answers in told.values())
    _check(run, told)


def _freeze_case(run, calls, number: int, moment_s: float) -> tuple[str, str]:
    """Freezes the executor some time after the ask; returns what was told."""
    upstream_id = run.upstream_ids(SERVICE)[number % 5]
    subject = callers.subject_for_upstream(run, SERVICE, upstream_id, number)
    owner = callers.owners_for(run, upstream_id, 1)[0]
    front = _far_front(run, calls, upstream_id)
    key = f"frozen-{number}"
    run.set_store_faults(slow_ms=60)
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        asked = threads.submit(calls.act, front, SERVICE, key, subject)
        time.sleep(moment_s)
        run.pause(owner)
        first = asked.result().execution_status()
    # The instance's entry in the list lapses while it is stopped.
    time.sleep(1.5)
    run.resume(owner)
    run.set_store_faults(slow_ms=0)
    time.sleep(1.0)
    return key, first


def test_a_frozen_executor_that_goes_on_runs_nothing_twice(run, calls):
    told: dict[str, list[str]] = {}
    for number in range(8):
        key, first = _freeze_case(run, calls, number, 0.01 + 0.02 * number)
        told[key] = [first]
        _check(run, told)
    run.wait_ready([each["instance_id"] for each in run.instances])
    time.sleep(3.0)
    for number, key in enumerate(list(told)):
        upstream_id = run.upstream_ids(SERVICE)[number % 5]
        subject = callers.subject_for_upstream(
            run, SERVICE, upstream_id, number
        )
        front = calls.front_address("pikine-2")
        told[key].append(
            calls.act(front, SERVICE, key, subject).execution_status()
        )
    _check(run, told)


@pytest.mark.parametrize("moment_s", [0.02, 0.08, 0.14, 0.2])
def test_a_killed_executor_leaves_no_double_and_no_lie(run, calls, moment_s):
    number = int(moment_s * 100)
    upstream_id = run.upstream_ids(SERVICE)[number % 5]
    subject = callers.subject_for_upstream(run, SERVICE, upstream_id, number)
    owner = callers.owners_for(run, upstream_id, 1)[0]
    front = _far_front(run, calls, upstream_id)
    key = f"killed-{number}"
    run.set_store_faults(slow_ms=60)
    run.set_behaviour(upstream_id, act_ms=60)
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        asked = threads.submit(calls.act, front, SERVICE, key, subject)
        time.sleep(moment_s)
        run.kill(owner)
        told = {key: [asked.result().execution_status()]}
    run.set_store_faults(slow_ms=0)
    _check(run, told)
    run.start_instance(owner)
    run.wait_ready([owner])
    told[key].append(calls.act(front, SERVICE, key, subject).execution_status())
    _check(run, told)
