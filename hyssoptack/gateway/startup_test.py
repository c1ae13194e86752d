"""A gateway's start: its imports, early callers and early signals."""

import contextlib
import json
import pathlib
import select
import signal
import socket
import subprocess
import sys
import time

from hyssoptack.gateway import harness
from hyssoptack.standins import ports

FORBIDDEN = (
    "aiohttp",
    "cheroot",
    "cyclopts",
    "hyssoptack.core.catalog",
    "hyssoptack.core.message",
    "matplotlib",
    "numpy",
    "pytest",
    "sismic",
    "urllib3",
    "yaml",
)
MODULE_LIMIT_COUNT = 620
"""Maximum number of modules after the import. There are about 571, most of them
from Python's standard library; the limit shows a new library before it slows
down the start."""


def test_the_gateway_imports_only_what_it_needs():
    code = (
        "import sys; import hyssoptack.scripts.gateway; "
        "print(len(sys.modules)); "
        f"print(*[n for n in {FORBIDDEN!r} if n in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    count, found = done.stdout.split("\n")[:2]
    assert not found
    assert int(count) <= MODULE_LIMIT_COUNT, count


START_LIMIT_S = 10.0


def _ignores_hup(process: subprocess.Popen) -> bool:
    """Returns whether a process ignores SIGHUP by now."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    masks = dict(line.split(":", 1) for line in status.splitlines())
    return bool(int(masks["SigIgn"], 16) >> (signal.SIGHUP - 1) & 1)


def _start_gateway(tmp_path, callers_address):
    """Starts a gateway whose store can't be reached."""
    document = {
        "instance_id": "g-1",
        "failure_domain": "north",
        "failure_domains": {"north": "wales"},
        "callers_address": callers_address,
        "readiness_address": f"127.0.0.1:{ports.free_port()}",
        "store_address": "127.0.0.1:1",
        "budget": {},
    }
    path = tmp_path / "g.yaml"
    path.write_text(json.dumps(document), "utf-8")
    return subprocess.Popen(
        [sys.executable, "-m", "hyssoptack.scripts.gateway", str(path)],
        stdout=subprocess.PIPE,
    )


def _connect(port):
    """Connects as soon as the port is open."""
    limit_s = time.monotonic() + START_LIMIT_S
    while time.monotonic() < limit_s:
        with contextlib.suppress(ConnectionRefusedError):
            return socket.create_connection(("127.0.0.1", port))
        time.sleep(0.002)
    raise AssertionError("the callers' port did not open in time")


def test_early_callers_wait_while_the_process_loads(tmp_path):
    # While the port is closed, both attempts of a caller are refused within
    # milliseconds: 40 of 70 failures after a power failure of all instances.
    port = ports.free_port()
    process = _start_gateway(tmp_path, f"127.0.0.1:{port}")
    try:
        with _connect(port) as caller:
            no_output_yet = not select.select([process.stdout], [], [], 0.0)[0]
            caller.sendall(harness.request_bytes("/x", "r1"))
            caller.settimeout(START_LIMIT_S)
            answer = caller.recv(4_096)
        assert no_output_yet
        assert answer.startswith(b"HTTP/1.1 503 ")
    finally:
        process.kill()
        process.wait()


def test_an_invalid_callers_address_fails_the_start(tmp_path):
    process = _start_gateway(tmp_path, "nowhere")
    assert process.wait(START_LIMIT_S) != 0


def test_a_sighup_during_the_start_does_not_end_the_process(tmp_path):
    # The default action of SIGHUP would end the process before its first log
    # line.
    process = _start_gateway(tmp_path, f"127.0.0.1:{ports.free_port()}")
    try:
        limit_s = time.monotonic() + START_LIMIT_S
        while not _ignores_hup(process):
            assert process.poll() is None
            assert time.monotonic() < limit_s
        process.send_signal(signal.SIGHUP)
        assert b"started" in process.stdout.readline()
    finally:
        process.kill()
        process.wait()
