"""The log writer: bounded, and never blocking."""

import json
import os
import time

from hyssoptack.events import writer


def test_a_reader_that_does_not_read_blocks_nothing_and_is_told_the_loss():
    reading, writing = os.pipe()
    made = writer.Writer(writing, "g-1")
    started_s = time.monotonic()
    sent_count = 20_000
    for number in range(sent_count):
        made({"message_type": "t", "number": number, "text": "x" * 100})
    assert time.monotonic() - started_s < 5.0
    assert made.dropped_count > 0
    dropped_count = made.dropped_count
    received = b""
    os.set_blocking(reading, False)
    for _ in range(1_000):
        made.flush()
        try:
            received += os.read(reading, 1 << 20)
        except BlockingIOError:
            break
    lines = [json.loads(line) for line in received.splitlines()]
    losses = [each for each in lines if "count" in each]
    assert [each["count"] for each in losses] == [dropped_count]
    assert len(lines) - len(losses) == sent_count - dropped_count
    numbers = [each["number"] for each in lines if "number" in each]
    assert numbers == sorted(numbers)
    os.close(reading)
    os.close(writing)


def test_a_reader_that_is_gone_stops_nothing():
    reading, writing = os.pipe()
    made = writer.Writer(writing, "g-1")
    os.close(reading)
    made({"message_type": "t"})
    made({"message_type": "t"})
    os.close(writing)
