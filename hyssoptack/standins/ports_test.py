"""Tests of the allocation of loopback ports."""

import asyncio

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


def test_port_of_a_stopped_upstream_is_not_ephemeral():
    async def test():
        started = fakeupstream.FakeUpstream("i-0")
        await started.start()
        started.stop()
        port = int(started.address.rpartition(":")[2])
        assert port in range(*ports.PORT_RANGE)

    asyncio.run(test())
