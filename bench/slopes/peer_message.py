"""Processor time and latency of a peer message by size and batch size.

Compares the product's links with the asyncio functions of pynng, by echoing
between two processes.
"""

import asyncio
import subprocess
import sys
import time

import pynng
import uvloop

from bench.slopes import fit
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.peers import codec
from hyssoptack.peers import link

NEAR = "127.0.0.1:27001"
FAR = "127.0.0.1:27002"
HIT_COUNTS = (1, 10, 50, 200, 400)
BATCHES = (1, 4, 16, 64)
ROUNDS = 400
LINK_IDLE_MS = 60_000.0
_CODEC = codec.Codec(message.KINDS)


def _answer(hit_count: int) -> message.SubAnswer:
    hits = tuple(
        query.Hit(index, 0.5, f"Baguette, deck oven, curve {index}")
        for index in range(hit_count)
    )
    reply = message.UpstreamReply(
        call_id=1,
        upstream_id="upstream-0001",
        status=message.CallStatus.ANSWERED,
        hits=hits,
    )
    return message.SubAnswer(origin="bench", query_id="q1", replies=(reply,))


async def _echo() -> None:
    loop = asyncio.get_running_loop()

    def on_received(received: link.ReceivedFrame) -> None:
        for each in received.decoded.messages:
            links.send(NEAR, each)

    links = link.Links(
        FAR, LINK_IDLE_MS, loop, _CODEC, on_received, lambda *_: None
    )
    links.start()
    print("ready", flush=True)
    await asyncio.Event().wait()


async def _echo_asyncio() -> None:
    with pynng.Pull0(listen=f"tcp://{FAR}") as pull, pynng.Push0() as push:
        push.dial(f"tcp://{NEAR}", block=False)
        print("ready", flush=True)
        while True:
            data = await pull.arecv()
            decoded = _CODEC.decode(data)
            packed = [_CODEC.encode(each) for each in decoded.messages]
            await push.asend(codec.encode_frame(packed))


async def _round_trips(body: message.Message, batch: int) -> list[float]:
    """Returns the round trips in ms, then the processor time of all in ms."""
    loop = asyncio.get_running_loop()
    waiting: list[asyncio.Future] = []
    state = {"left": 0}

    def on_received(received: link.ReceivedFrame) -> None:
        state["left"] -= len(received.decoded.messages)
        if state["left"] <= 0 and waiting:
            waiting.pop().set_result(None)

    links = link.Links(
        NEAR, LINK_IDLE_MS, loop, _CODEC, on_received, lambda *_: None
    )
    links.start()
    walls = []
    cpu_s = 0.0
    for number in range(ROUNDS + 50):
        if number == 50:
            walls.clear()
            cpu_s = time.process_time()
        started_s = time.perf_counter()
        done = loop.create_future()
        waiting.append(done)
        state["left"] = batch
        for _ in range(batch):
            links.send(FAR, body)
        await done
        walls.append((time.perf_counter() - started_s) * 1000)
    walls.append((time.process_time() - cpu_s) * 1000)
    await asyncio.to_thread(links.stop)
    return walls


async def _round_trips_asyncio(body: message.Message, _batch: int):
    walls = []
    cpu_s = 0.0
    with pynng.Pull0(listen=f"tcp://{NEAR}") as pull, pynng.Push0() as push:
        push.dial(f"tcp://{FAR}", block=False)
        for number in range(ROUNDS + 50):
            if number == 50:
                walls.clear()
                cpu_s = time.process_time()
            started_s = time.perf_counter()
            await push.asend(codec.encode_frame([_CODEC.encode(body)]))
            _CODEC.decode(await pull.arecv())
            walls.append((time.perf_counter() - started_s) * 1000)
    walls.append((time.process_time() - cpu_s) * 1000)
    return walls


def _run_with_echo(mode: str, work) -> list[float]:
    far = subprocess.Popen(
        [sys.executable, "-m", "bench.slopes.peer_message", mode],
        stdout=subprocess.PIPE,
    )
    far.stdout.readline()
    try:
        return uvloop.run(work)
    finally:
        far.kill()
        far.wait()


def _row(way: str, size: int, batch: int, walls: list[float]) -> dict:
    *trips, cpu_ms = walls
    return {
        "way": way,
        "bytes": size,
        "batch": batch,
        "cpu_us_a_message": round(cpu_ms * 1000 / ROUNDS / batch, 1),
        "p50_ms": round(fit.quantile(trips, 0.5), 3),
        "p99_ms": round(fit.quantile(trips, 0.99), 3),
    }


def main() -> None:
    """Reports the measurements; with an argument, runs the echo process."""
    if len(sys.argv) > 1:
        asyncio_mode = sys.argv[1] == "asyncio"
        uvloop.run(_echo_asyncio() if asyncio_mode else _echo())
        return
    rows = []
    sizes, cpus = [], []
    for hit_count in HIT_COUNTS:
        body = _answer(hit_count)
        size = len(codec.encode_frame([_CODEC.encode(body)]))
        walls = _run_with_echo("links", _round_trips(body, 1))
        rows.append(_row("links", size, 1, walls))
        sizes.append(size)
        cpus.append(walls[-1] * 1000 / ROUNDS)
        walls = _run_with_echo("asyncio", _round_trips_asyncio(body, 1))
        rows.append(_row("asyncio", size, 1, walls))
    batch_cpus = []
    for batch in BATCHES:
        walls = _run_with_echo("links", _round_trips(_answer(10), batch))
        rows.append(_row("links", 0, batch, walls))
        batch_cpus.append(walls[-1] * 1000 / ROUNDS)
    lines = {
        "cpu us a round trip by bytes": fit.fit_line(sizes, cpus),
        "cpu us a batch by messages": fit.fit_line(list(BATCHES), batch_cpus),
    }
    fit.report("peer_message", rows, lines)


if __name__ == "__main__":
    main()
