"""Tests of a link to one peer: foreign listeners, slow peers, and its end."""

import asyncio

from hyssoptack.peers import link_test
from hyssoptack.peers import outgoing

GREETING = b"\x00SP\x00\x00\x51\x00\x00"
LARGE_FRAME = b"x" * 500_000
WAIT_S = 5.0


async def _listen(handler):
    """Listens on a loopback port; returns the server and its address."""
    server = await asyncio.start_server(handler, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


def _link(address, lost):
    loop = asyncio.get_running_loop()
    return outgoing.OutgoingLink(address, loop, lambda: lost.append(address))


def test_a_listener_of_another_protocol_gets_no_frame():
    async def test():
        got = []

        async def answer(reader, writer):
            writer.write(b"HTTP/1.1 400 Bad Request\r\n\r\n")
            got.append(await reader.read())
            writer.close()

        server, address = await _listen(answer)
        lost = []
        link = _link(address, lost)
        assert link.send(b"frame")
        await link_test.until(lambda: len(got) >= 2, WAIT_S)
        assert not link.is_connected
        link.close()
        server.close()
        assert all(each == outgoing._OWN_GREETING for each in got)
        assert not lost

    asyncio.run(test())


def test_a_peer_that_reads_nothing_gets_a_bounded_number_of_frames():
    async def test():
        writers = []

        async def stall(_reader, writer):
            writer.transport.pause_reading()
            writer.write(GREETING)
            writers.append(writer)

        server, address = await _listen(stall)
        link = _link(address, [])
        await link_test.until(lambda: link.is_connected, WAIT_S)
        accepted = [link.send(LARGE_FRAME) for _ in range(60)]
        assert accepted[0]
        assert not accepted[-1]
        link.close()
        server.close()
        writers[0].transport.abort()

    asyncio.run(test())


def test_a_link_that_its_peer_ends_is_lost_once_and_opened_again():
    async def test():
        connections = []

        async def accept(reader, writer):
            writer.write(GREETING)
            connections.append(writer)
            await reader.read()

        server, address = await _listen(accept)
        lost = []
        link = _link(address, lost)
        for count in range(1, 4):
            await link_test.until(lambda: link.is_connected, WAIT_S)
            connections[-1].transport.abort()
            await link_test.until(lambda n=count: len(lost) == n, WAIT_S)
        await link_test.until(lambda: link.is_connected, WAIT_S)
        link.close()
        await asyncio.sleep(0.1)
        assert len(lost) == 3
        assert len(connections) == 4
        server.close()

    asyncio.run(test())
