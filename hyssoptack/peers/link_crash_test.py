"""Links to peers that come and go, in processes that must not crash."""

import asyncio
import random
import subprocess
import sys
import time

import pynng

from hyssoptack.peers import link
from hyssoptack.peers import link_test
from hyssoptack.standins import ports

SENDER_COUNT = 6
LISTENER_COUNT = 3
PLAY_S = 10.0


def listen(addresses):
    """Listens on one address after another, for some milliseconds each."""
    end_s = time.monotonic() + PLAY_S + 1.0
    while time.monotonic() < end_s:
        with pynng.Pull0() as socket:
            try:
                socket.listen(f"tcp://{random.choice(addresses)}")
            except pynng.exceptions.AddressInUse:
                continue
            time.sleep(random.uniform(0.0, 0.02))


async def send(addresses):
    """Sends to peers that come and go; ends with the process if it crashes."""
    link.REDIAL_MIN_MS = 0.0
    own_links = link_test.links(f"127.0.0.1:{ports.free_port()}", [])
    own_links.start()
    text = link_test.TextMessage(sender_address="", text="x" * 100)
    end_s = time.monotonic() + PLAY_S
    while time.monotonic() < end_s:
        address = random.choice(addresses)
        # Sending to a peer that was heard of dials it again.
        own_links._record_received(address)
        own_links.send(address, text)
        await asyncio.sleep(0.0)
    own_links.stop()


def _start(call, addresses):
    code = (
        "import asyncio, sys; from hyssoptack.peers import link_crash_test; "
        f"{call.format('link_crash_test', 'sys.argv[1:]')}"
    )
    return subprocess.Popen(
        [sys.executable, "-c", code, *addresses], stderr=subprocess.DEVNULL
    )


def test_links_to_peers_that_come_and_go_crash_no_process():
    # pynng ended the process with a segmentation fault or a panic when a dialer
    # was closed that was still connecting.
    addresses = [f"127.0.0.1:{ports.free_port()}" for _ in range(6)]
    listeners = [
        _start("{0}.listen({1})", addresses) for _ in range(LISTENER_COUNT)
    ]
    senders = [
        _start("asyncio.run({0}.send({1}))", addresses)
        for _ in range(SENDER_COUNT)
    ]
    try:
        codes = [each.wait(timeout=10 * PLAY_S) for each in senders]
    finally:
        for each in (*senders, *listeners):
            each.kill()
            each.wait()
    assert codes == [0] * SENDER_COUNT
