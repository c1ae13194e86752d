"""Errors in what reads from outside end neither the task nor the process."""

import asyncio

from hyssoptack.core import gatewaymessage
from hyssoptack.events import log
from hyssoptack.gateway import harness
from hyssoptack.peers import codec
from hyssoptack.peers import link

TIMEOUT_S = 6.0


async def _wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)


def test_an_error_while_a_list_is_applied_does_not_end_the_process(monkeypatch):
    # Each error that got past the decoding of an entry ended every instance.
    events = []
    write = log.write
    monkeypatch.setattr(
        log,
        "write",
        lambda event, **fields: (events.append(event), write(event, **fields)),
    )

    async def test():
        async with harness.Site() as site:
            await site.add_upstream("u1", "shop")
            site.configure({"prefix": "/", "service": "shop"})
            running = await site.start()
            apply_list = running.view.apply_list

            def fail(*_args):
                raise ZeroDivisionError

            running.view.apply_list = fail
            await _wait_until(lambda: events.count(log.Event.TASK_FAILED) == 2)
            assert (await site.get("/x", "r1")).status == 200
            running.view.apply_list = apply_list
            await site.add_upstream("u2", "shop")
            await _wait_until(lambda: "u2" in running.view.upstreams)

    asyncio.run(test())


def test_a_message_that_raises_does_not_affect_the_others_of_its_frame():
    # The rest of the frame was lost with the first message that raised.
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("u1", "shop")
            site.configure({"prefix": "/", "service": "shop"})
            running = await site.start()
            handled = []

            def on_message(received):
                if received.sender_id == "bad":
                    raise ZeroDivisionError
                handled.append(received.sender_id)

            running._peering.on_message = on_message
            notices = tuple(
                gatewaymessage.SuspectsNotice(sender_id=name, suspects=())
                for name in ("a", "bad", "b")
            )
            frame = codec.DecodedFrame(messages=notices)
            running._peering._on_received(
                link.ReceivedFrame(decoded=frame, byte_count=9)
            )
            assert handled == ["a", "b"]

    asyncio.run(test())
