"""What a gateway imports: small machines pay for it at each start."""

import subprocess
import sys

FORBIDDEN = (
    "aiohttp",
    "cheroot",
    "cyclopts",
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
