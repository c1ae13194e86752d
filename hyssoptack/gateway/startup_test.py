"""A gateway's start: what it imports, and signals that come meanwhile."""

import json
import pathlib
import signal
import subprocess
import sys
import time

from hyssoptack.gateway import harness

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
"""Modules after the import: 571 when this was written, most of them Python's
own; a new library shows here before it costs a start."""


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
    """Tells whether a process has come to ignore SIGHUP."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    masks = dict(line.split(":", 1) for line in status.splitlines())
    return bool(int(masks["SigIgn"], 16) >> (signal.SIGHUP - 1) & 1)


def test_a_reload_asked_for_during_the_start_does_not_end_it(tmp_path):
    # Found by the soak: the process was gone before it had said anything.
    address = f"127.0.0.1:{harness.free_port()}"
    document = {
        "instance_id": "g-1",
        "failure_domain": "north",
        "failure_domains": {"north": "wales"},
        "callers_address": f"127.0.0.1:{harness.free_port()}",
        "readiness_address": address,
        "store_address": "127.0.0.1:1",
        "budget": {},
    }
    path = tmp_path / "g.yaml"
    path.write_text(json.dumps(document), "utf-8")
    process = subprocess.Popen(
        [sys.executable, "-m", "hyssoptack.scripts.gateway", str(path)],
        stdout=subprocess.PIPE,
    )
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
