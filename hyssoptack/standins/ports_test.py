"""Tests of the allocation of loopback ports."""

import asyncio
import json
import subprocess
import sys

from hyssoptack.standins import fakeupstream
from hyssoptack.standins import ports


class _FreePort:
    """A socket that can be bound to any port, as if all were free."""

    def __enter__(self):
        return self

    def __exit__(self, *_):
        return None

    def bind(self, address):
        """Accepts the address."""


def test_port_is_allocated_once(monkeypatch):
    # A gateway that gets the same port twice fails to listen.
    drawn = iter((10_001, 10_001, 10_001, 10_002))
    monkeypatch.setattr(ports.random, "randrange", lambda *_: next(drawn))
    monkeypatch.setattr(ports, "_ALLOCATED", set())
    # Of the real ports, a connection of an earlier test may hold one.
    monkeypatch.setattr(ports.socket, "socket", _FreePort)
    assert ports.free_port() != ports.free_port()
    assert not list(drawn)


def test_processes_draw_their_ports_from_different_blocks():
    # A port drawn by two test runs at once, and not yet listened on, was free
    # for both: a gateway of one of them never became ready.
    port = ports.free_port()
    script = (
        "from hyssoptack.standins import ports\n"
        "print([ports.free_port() for _ in range(3 * ports.BLOCK_COUNT)])"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, check=True
    )
    drawn = json.loads(done.stdout)
    assert len(set(drawn)) == 3 * ports.BLOCK_COUNT
    assert port // ports.BLOCK_COUNT not in {
        each // ports.BLOCK_COUNT for each in drawn
    }


def test_port_of_a_stopped_upstream_is_not_ephemeral():
    async def test():
        started = fakeupstream.FakeUpstream("i-0")
        await started.start()
        started.stop()
        port = int(started.address.rpartition(":")[2])
        assert port in range(*ports.PORT_RANGE)

    asyncio.run(test())
