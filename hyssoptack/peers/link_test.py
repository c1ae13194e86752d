"""Links between instances that start and end."""

import asyncio
import dataclasses

from hyssoptack.peers import codec
from hyssoptack.peers import link
from hyssoptack.standins import ports

LATE_COUNT = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class Word:
    """A message that names its sender."""

    sender_address: str
    text: str


def links(address, received):
    """Returns links that note the texts that they get."""

    def on_received(frame):
        received.extend(each.text for each in frame.decoded.messages)

    return link.Links(
        address,
        60_000.0,
        asyncio.get_running_loop(),
        codec.Codec({1: Word}),
        on_received,
        lambda _address, _body: None,
    )


async def until(condition, limit_s):
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.005)


def test_a_peer_that_was_dialled_before_it_ran_is_answered_at_once():
    # After a loss of power wide instances start first; their answers to
    # others waited up to a second for the next try to connect.
    async def test():
        early = f"127.0.0.1:{ports.free_port()}"
        late = [f"127.0.0.1:{ports.free_port()}" for _ in range(LATE_COUNT)]
        heard, answered = [], [[] for _ in late]
        running = [links(early, heard)]
        running[0].start()
        for address in late:
            running[0].send(
                address, Word(sender_address=early, text="too early")
            )
        await asyncio.sleep(1.5)
        for address, texts in zip(late, answered, strict=True):
            running.append(links(address, texts))
            running[-1].start()
            running[-1].send(early, Word(sender_address=address, text="asked"))
        await until(lambda: len(heard) == LATE_COUNT, 1.0)
        for address in late:
            running[0].send(
                address, Word(sender_address=early, text="answered")
            )
        try:
            await until(lambda: all("answered" in a for a in answered), 0.15)
        finally:
            for each in running:
                each.stop()
        assert answered == [["too early", "answered"]] * LATE_COUNT

    asyncio.run(test())


def test_a_link_that_is_being_opened_is_not_dialled_anew_by_each_message():
    async def test():
        first = links(f"127.0.0.1:{ports.free_port()}", [])
        # Takes connections and never speaks.
        silent = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        host, port = silent.sockets[0].getsockname()
        address = f"{host}:{port}"
        dials = []
        redial = first._redial
        first._redial = lambda *args: (dials.append(1), redial(*args))
        first.start()
        for _ in range(20):
            first._note_heard(address)
            first.send(address, Word(sender_address="", text="again"))
            await asyncio.sleep(0.005)
        first.stop()
        silent.close()
        assert not dials

    asyncio.run(test())


def test_a_new_peer_is_remembered_however_many_were_heard_before():
    async def test():
        first = links(f"127.0.0.1:{ports.free_port()}", [])
        first.start()
        for number in range(link.LAST_RECEIVED_LIMIT_COUNT + 5):
            first._note_heard(f"peer-{number}")
        first.stop()
        assert len(first._heard_ms) == link.LAST_RECEIVED_LIMIT_COUNT
        assert f"peer-{link.LAST_RECEIVED_LIMIT_COUNT + 4}" in first._heard_ms
        assert "peer-0" not in first._heard_ms

    asyncio.run(test())
