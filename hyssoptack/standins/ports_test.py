"""Ports of stand-ins and of processes under test."""

import asyncio

from hyssoptack.standins import fakeupstream
from hyssoptack.standins import ports


def test_a_port_is_given_once(monkeypatch):
    # Two of a gateway's four ports were the same once: it never listened.
    drawn = iter((10_001, 10_001, 10_001, 10_002))
    monkeypatch.setattr(ports.random, "randrange", lambda *_: next(drawn))
    monkeypatch.setattr(ports, "_GIVEN", set())
    assert ports.free_port() != ports.free_port()


def test_no_outgoing_connection_takes_the_port_of_an_upstream_that_is_down():
    async def test():
        started = fakeupstream.FakeUpstream("i-0")
        await started.start()
        started.stop()
        port = int(started.address.rpartition(":")[2])
        assert port in range(*ports.PORT_RANGE)

    asyncio.run(test())
