"""Replies without an end, against a gateway in a process of its own."""

import asyncio
import pathlib
import re

import hypothesis
import pytest
from hypothesis import strategies

from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.http1 import replymemory
from hyssoptack.standins import fakeupstream

BAD = {"prefix": "/bad/", "service": "broken", "max_attempts": 1}
CALL_COUNT = 8
DEADLINE_MS = 1_000

GROWTH_LIMIT_BYTES = 2 * replymemory.MEMORY_LIMIT_BYTES
"""Bodies and, while a body is passed on, a copy of it."""

STARTS = (
    b"",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
)
PIECES = (
    b"x",
    b"\r\n",
    b"\0",
    b"X-Field: value\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\n\r\n",
    b"1\r\nx\r\n",
    b"10\r\n" + b"x" * 16 + b"\r\n",
    b"10000\r\n" + b"x" * 65_536 + b"\r\n",
    b"1;extension\r\nx\r\n",
)

REPLIES = strategies.builds(
    lambda start, pieces: fakeupstream.EndlessReply(
        start=start, repeated=b"".join(pieces)
    ),
    strategies.sampled_from(STARTS),
    strategies.lists(
        strategies.sampled_from(PIECES) | strategies.binary(min_size=1),
        min_size=1,
        max_size=3,
    ),
)


def _peak_bytes(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return 1024 * int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1))


async def _play(site, reply):
    """Sends requests to an upstream with this reply, and others beside them."""
    site.upstreams["i-bad"].behaviour.endless = reply
    calls = [
        asyncio.create_task(
            site.get("/bad/x", f"b{number}", DEADLINE_MS, name="g")
        )
        for number in range(CALL_COUNT)
    ]
    for number in range(CALL_COUNT):
        good = await site.get("/one/x", f"g{number}", name="g")
        assert good.status == 200
    for each in await asyncio.gather(*calls):
        assert each.status >= 500


@pytest.fixture
def runner():
    """Yields an event loop on which examples run one after the other."""
    with asyncio.Runner() as created:
        yield created


def test_replies_without_an_end_neither_fill_memory_nor_stop_others(
    tmp_path, runner
):
    site = harness.Site()

    async def start():
        await site.__aenter__()
        await site.add_upstream("i-bad", "broken")
        await site.add_upstream("i-good", "desk")
        site.configure(gateway_test.SINGLE, BAD)
        return await site.start_process(tmp_path, "g")

    process = runner.run(start())
    before_bytes = _peak_bytes(process)

    @hypothesis.settings(max_examples=30, deadline=None, derandomize=True)
    @hypothesis.given(REPLIES)
    def play(reply):
        runner.run(_play(site, reply))

    try:
        play()
        assert _peak_bytes(process) - before_bytes < GROWTH_LIMIT_BYTES
    finally:
        process.kill()
        runner.run(process.wait())
        runner.run(site.__aexit__())
