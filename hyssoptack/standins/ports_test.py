"""Tests of the allocation of loopback ports."""

import asyncio

from hyssoptack.standins import fakeupstream
from hyssoptack.standins import ports


def test_port_is_allocated_once(monkeypatch):
    # A gateway that gets the same port twice fails to listen.
    drawn = iter((10_001, 10_001, 10_001, 10_002))
    monkeypatch.setattr(ports.random, "randrange", lambda *_: next(drawn))
    monkeypatch.setattr(ports, "_ALLOCATED", set())
    assert ports.free_port() != ports.free_port()


def test_port_of_a_stopped_upstream_is_not_ephemeral():
    async def test():
        started = fakeupstream.FakeUpstream("i-0")
        await started.start()
        started.stop()
        port = int(started.address.rpartition(":")[2])
        assert port in range(*ports.PORT_RANGE)

    asyncio.run(test())
