"""Tests of links to peers that start, stop or do not answer."""

import asyncio
import dataclasses
import os

from hyssoptack.peers import codec
from hyssoptack.peers import link
from hyssoptack.standins import ports

LATE_COUNT = 8
STRANGE_ADDRESSES = (
    "",
    "nonsense",
    "127.0.0.1:",
    "127.0.0.1:99999",
    "127.0.0.1:80/x",
    "::1:80",
    "*:80",
    "a\x00b:80",
    "\ud800:80",
    "x" * 100_000 + ":80",
    "a..b:80",
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class TextMessage:
    """A message that names its sender."""

    sender_address: str
    text: str


def links(address, received, undelivered=None, lost=None, idle_ms=60_000.0):
    """Returns links that record what happens in lists.

    Args:
        address: The address that they receive on.
        received: Gets the received texts.
        undelivered: Gets the address of each message that is not delivered.
        lost: Gets the address of each connection that a peer closes.
        idle_ms: Time after which an unused link is closed.
    """

    def on_received(frame):
        received.extend(each.text for each in frame.decoded.messages)

    def on_undelivered(each_address, _body):
        if undelivered is not None:
            undelivered.append(each_address)

    return link.Links(
        address,
        idle_ms,
        asyncio.get_running_loop(),
        codec.Codec({1: TextMessage}),
        on_received,
        on_undelivered,
        None if lost is None else lost.append,
    )


async def until(condition, limit_s):
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.005)


def test_a_peer_dialled_before_its_start_is_redialled_at_once():
    # After a power loss, instances with faster network links start first.
    # Without the redial, their answers to the others wait up to a second for
    # the dialer's next attempt.
    async def test():
        early = f"127.0.0.1:{ports.free_port()}"
        late = [f"127.0.0.1:{ports.free_port()}" for _ in range(LATE_COUNT)]
        received_texts, answered = [], [[] for _ in late]
        running = [links(early, received_texts)]
        running[0].start()
        for address in late:
            running[0].send(
                address, TextMessage(sender_address=early, text="too early")
            )
        await asyncio.sleep(1.5)
        for address, texts in zip(late, answered, strict=True):
            running.append(links(address, texts))
            running[-1].start()
            running[-1].send(
                early, TextMessage(sender_address=address, text="asked")
            )
        await until(lambda: len(received_texts) == LATE_COUNT, 1.0)
        for address in late:
            running[0].send(
                address, TextMessage(sender_address=early, text="answered")
            )
        try:
            await until(lambda: all("answered" in a for a in answered), 0.15)
        finally:
            for each in running:
                each.stop()
        assert answered == [["too early", "answered"]] * LATE_COUNT

    asyncio.run(test())


def test_a_pending_connection_attempt_is_not_replaced_by_each_message():
    async def test():
        own_links = links(f"127.0.0.1:{ports.free_port()}", [])
        # Accepts connections and never sends a byte.
        silent = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        host, port = silent.sockets[0].getsockname()
        address = f"{host}:{port}"
        dials = []
        redial = own_links._redial
        own_links._redial = lambda *args: (dials.append(1), redial(*args))
        own_links.start()
        for _ in range(20):
            own_links._record_received(address)
            own_links.send(
                address, TextMessage(sender_address="", text="again")
            )
            await asyncio.sleep(0.005)
        own_links.stop()
        silent.close()
        assert not dials

    asyncio.run(test())


def test_the_oldest_peer_is_forgotten_when_the_limit_is_exceeded():
    async def test():
        own_links = links(f"127.0.0.1:{ports.free_port()}", [])
        own_links.start()
        for number in range(link.LAST_RECEIVED_LIMIT_COUNT + 5):
            own_links._record_received(f"peer-{number}")
        own_links.stop()
        assert (
            len(own_links._last_received_ms) == link.LAST_RECEIVED_LIMIT_COUNT
        )
        assert (
            f"peer-{link.LAST_RECEIVED_LIMIT_COUNT + 4}"
            in own_links._last_received_ms
        )
        assert "peer-0" not in own_links._last_received_ms

    asyncio.run(test())


def test_only_a_link_that_the_peer_closes_is_reported_as_lost():
    # An instance whose idle link is closed must not be taken for dead.
    async def test():
        addresses = [f"127.0.0.1:{ports.free_port()}" for _ in range(3)]
        received, lost = [], []
        peers = [links(each, received) for each in addresses[1:]]
        sender = links(addresses[0], [], lost=lost, idle_ms=100.0)
        running = [*peers, sender]
        for each in running:
            each.start()
        text = TextMessage(sender_address=addresses[0], text="x")
        try:
            sender.send(addresses[1], text)
            await until(lambda: len(received) == 1, 1.0)
            await asyncio.sleep(0.15)
            # Sending closes the other link, which is idle.
            sender.send(addresses[2], text)
            await until(lambda: len(received) == 2, 1.0)
            await asyncio.sleep(0.05)
            assert not lost
            peers[1].stop()
            running.remove(peers[1])
            await until(lambda: lost == [addresses[2]], 1.0)
        finally:
            for each in running:
                each.stop()

    asyncio.run(test())


def test_a_message_that_cannot_be_sent_does_not_end_the_links():
    # One entry with a malformed address, or a number that no frame can hold,
    # ended the sending thread: the instance sent nothing to anybody any more.
    async def test():
        addresses = [f"127.0.0.1:{ports.free_port()}" for _ in range(2)]
        received, undelivered = [], []
        peer = links(addresses[1], received)
        sender = links(addresses[0], [], undelivered)
        for each in (peer, sender):
            each.start()
        good = TextMessage(sender_address=addresses[0], text="x")
        try:
            for address in STRANGE_ADDRESSES:
                sender.send(address, good)
            for value in (2**70, "\ud800"):
                sender.send(addresses[1], dataclasses.replace(good, text=value))
            sender.send(addresses[1], good)
            await until(lambda: received == ["x"], 2.0)
            await until(lambda: addresses[1] in undelivered, 2.0)
            assert undelivered.count(addresses[1]) == 2
        finally:
            for each in (peer, sender):
                each.stop()

    asyncio.run(test())


def test_malformed_addresses_leave_no_socket_or_link_open():
    # Each message to a malformed address left a socket open.
    async def test():
        undelivered = []
        sender = links(f"127.0.0.1:{ports.free_port()}", [], undelivered)
        sender.start()
        text = TextMessage(sender_address="", text="x")
        try:
            before_count = len(os.listdir("/proc/self/fd"))
            for count in range(1, 6):
                sender.send("nonsense", text)
                await until(lambda n=count: len(undelivered) == n, 2.0)
            assert len(os.listdir("/proc/self/fd")) == before_count
            assert not sender._links
        finally:
            sender.stop()

    asyncio.run(test())
