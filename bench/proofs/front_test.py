"""Invalid input at the callers' port gets a 4xx and affects no other caller."""

import json
import pathlib
import socket
import time

import pytest
import urllib3
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bench import fleet
from bench.proofs import callers

SERVICE = "training-portal"
OPTIONS = fleet.Options(
    deployment="dakar",
    services=(SERVICE,),
    port_shift=7_000,
    instance_overrides={"front": {"client_timeout_ms": 500}},
)
SEARCH = f"/services/{SERVICE}/search"
ACTIONS = f"/services/{SERVICE}/actions"


@pytest.fixture(scope="module")
def run(tmp_path_factory):
    folder = pathlib.Path(tmp_path_factory.mktemp("front"))
    with fleet.Fleet(OPTIONS, folder) as started:
        yield started


@pytest.fixture(scope="module")
def front(run):
    return run.instance("plateau-1")["front_address"]


def _send(front, method, path, body=b"", headers=None):
    pool = urllib3.PoolManager(retries=False)
    return pool.request(
        method, f"http://{front}{path}", body=body, headers=headers or {}
    )


def _check_problem(response) -> dict:
    assert response.headers["Content-Type"] == "application/problem+json"
    document = response.json()
    assert document["ran"] in ("no", "yes", "unknown")
    assert document["reason"] and document["detail"]
    assert "Traceback" not in document["detail"]
    return document


INVALID_REQUESTS = [
    (SEARCH, b"{", "malformed"),
    (SEARCH, b"[]", "malformed"),
    (SEARCH, b'{"text": 5}', "malformed"),
    (SEARCH, b'{"text": ""}', "malformed"),
    (SEARCH, b'{"text": "x", "surprise": 1}', "malformed"),
    (SEARCH, b'{"text": "x", "limit": 0}', "malformed"),
    (SEARCH, b'{"text": "x", "limit": 1e99}', "malformed"),
    (SEARCH, b'{"text": "x", "deadline_ms": 0}', "malformed"),
    (SEARCH, b'{"text": "x", "deadline_ms": 99999999}', "malformed"),
    (SEARCH, b'{"text": "x", "class": "royal"}', "malformed"),
    (SEARCH, b'{"text": "\xff\xfe"}', "malformed"),
    (SEARCH, b"[" * 60_000, "malformed"),
    (SEARCH, b'{"text": "' + b"x" * 70_000 + b'"}', "too_large"),
    ("/services/none/search", b'{"text": "x"}', "unknown_service"),
    ("/elsewhere", b"{}", "unknown_path"),
    (ACTIONS, b'{"subject": "a", "request": {}}', "malformed"),
]


@pytest.mark.parametrize(("path", "body", "reason"), INVALID_REQUESTS)
def test_invalid_request_is_rejected_with_its_reason(front, path, body, reason):
    response = _send(front, "POST", path, body)
    assert 400 <= response.status < 500
    document = _check_problem(response)
    assert (document["reason"], document["ran"]) == (reason, "no")


def test_service_without_actions_rejects_an_action(front):
    response = _send(
        front,
        "POST",
        ACTIONS,
        b'{"subject": "a", "request": {}}',
        {"Idempotency-Key": "k"},
    )
    assert _check_problem(response)["reason"] == "wrong_kind"


@pytest.mark.parametrize("key", ["", " ", "x" * 256, "caf\u00e9"])
def test_invalid_idempotency_key_is_rejected(front, key):
    headers = {"Idempotency-Key": key.encode("latin-1")}
    body = b'{"subject": "a", "request": {}}'
    response = _send(front, "POST", ACTIONS, body, headers)
    assert _check_problem(response)["reason"] == "malformed"


def _raw(front, data: bytes, wait_s: float = 3.0) -> bytes:
    host, _, port = front.rpartition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.settimeout(wait_s)
        connection.sendall(data)
        received = b""
        try:
            while chunk := connection.recv(65_536):
                received += chunk
        except (TimeoutError, ConnectionResetError):
            pass
        return received


def test_invalid_headers_are_rejected(front):
    many = b"".join(b"X-%d: y\r\n" % number for number in range(5_000))
    answer = _raw(front, b"GET / HTTP/1.1\r\nHost: a\r\n" + many + b"\r\n")
    assert answer.split()[1][:1] == b"4"
    assert _raw(front, b"\x00\x01\x02\r\n\r\n").split()[1] == b"400"


def test_slow_senders_get_408_and_delay_no_other_caller(run, front):
    head = f"POST {SEARCH} HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n"
    calls = callers.CallerClient(run)
    host, _, port = front.rpartition(":")
    slow = []
    for _ in range(20):
        connection = socket.create_connection((host, int(port)))
        connection.sendall(head.encode() + b'{"te')
        slow.append(connection)
    replies = [calls.search(front, SERVICE, "lesson") for _ in range(20)]
    assert all(reply.status == 200 for reply in replies)
    for connection in slow:
        connection.close()
    answer = _raw(front, head.encode() + b'{"te')
    assert answer.split()[1] == b"408"
    assert json.loads(answer.partition(b"\r\n\r\n")[2])["ran"] == "no"


@settings(
    max_examples=150,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
    derandomize=True,
)
@given(
    strategies.one_of(
        strategies.binary(max_size=200),
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.text(max_size=20),
            lambda inner: strategies.dictionaries(
                strategies.sampled_from(
                    ["text", "limit", "deadline_ms", "class", "x"]
                ),
                inner,
                max_size=4,
            ),
            max_leaves=6,
        ).map(lambda value: json.dumps(value).encode()),
    )
)
def test_any_body_is_answered_or_refused_clearly(front, body):
    response = _send(front, "POST", SEARCH, body)
    assert response.status in (200, 400, 503)
    if response.status != 200:
        _check_problem(response)


def test_rejections_are_not_delayed(front):
    times = []
    for _ in range(200):
        started_s = time.monotonic()
        _send(front, "POST", "/services/none/search", b'{"text": "x"}')
        times.append((time.monotonic() - started_s) * 1000)
    print("refusals: p50", sorted(times)[100], "most", max(times), "ms")
    # Far below any deadline: rejections are not delayed.
    assert sorted(times)[100] < 100
