"""Checks that no work is left at a gateway that has been quiet for a while."""

import asyncio
import re

from hyssoptack.gateway import harness
from hyssoptack.gateway import instancegauges

QUIET_LIMIT_S = 8.0
"""Time within which all work has to end after the last request. The time limit
of a request is 1.5 s; connections are idle for 3 s before they are closed."""

POLL_S = 0.2
REQUEST = b"GET /metrics HTTP/1.1\r\nHost: p\r\n\r\n"

_GAUGE = re.compile(r'^hyssoptack_gateway\{name="([^"]+)"\} (\S+)$', re.M)


def work_of(page: str) -> dict[str, float]:
    """Returns the gauges of a metrics page that count unfinished work."""
    return {
        name: float(value)
        for name, value in _GAUGE.findall(page)
        if name in instancegauges.WORK_GAUGES and float(value)
    }


async def unfinished_work(metrics_address: str) -> dict[str, float]:
    """Waits until a gateway is at rest; returns the work that remains.

    Args:
        metrics_address: Address of the gateway's metrics page.
    """
    work: dict[str, float] = {}
    for _ in range(int(QUIET_LIMIT_S / POLL_S)):
        got = await harness.send_raw(metrics_address, REQUEST)
        work = work_of(got.body.decode())
        if not work:
            break
        await asyncio.sleep(POLL_S)
    return work
