"""Tests that the log writer is bounded and never blocks."""

import json
import os
import time

from hyssoptack.events import writer


def test_an_unread_pipe_does_not_block_and_dropped_lines_are_reported():
    reading, writing = os.pipe()
    log_writer = writer.Writer(writing, "g-1")
    started_s = time.monotonic()
    sent_count = 20_000
    for number in range(sent_count):
        log_writer({"message_type": "t", "number": number, "text": "x" * 100})
    assert time.monotonic() - started_s < 5.0
    assert log_writer.dropped_count > 0
    dropped_count = log_writer.dropped_count
    received = b""
    os.set_blocking(reading, False)
    for _ in range(1_000):
        log_writer.flush()
        try:
            received += os.read(reading, 1 << 20)
        except BlockingIOError:
            break
    lines = [json.loads(line) for line in received.splitlines()]
    drop_reports = [each for each in lines if "count" in each]
    assert [each["count"] for each in drop_reports] == [dropped_count]
    assert len(lines) - len(drop_reports) == sent_count - dropped_count
    numbers = [each["number"] for each in lines if "number" in each]
    assert numbers == sorted(numbers)
    os.close(reading)
    os.close(writing)


def test_writing_to_a_closed_pipe_raises_nothing():
    reading, writing = os.pipe()
    log_writer = writer.Writer(writing, "g-1")
    os.close(reading)
    log_writer({"message_type": "t"})
    log_writer({"message_type": "t"})
    os.close(writing)
