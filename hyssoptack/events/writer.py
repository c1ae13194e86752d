"""Writes log lines to standard output without ever blocking the event loop.

Lines are queued in a bounded buffer. When standard output is not read, the
buffer fills and further lines are dropped; once there is room again, a line
reports how many.
"""

import collections
import os
import sys
import time

import eliot
import msgspec

from hyssoptack.events import log

BUFFER_LIMIT_BYTES = 256 * 1024
"""Size of the buffer. It holds about 600 lines, which a busy instance writes
within a few seconds, and takes about a thousandth of the instance's memory."""

_encoder = msgspec.json.Encoder(enc_hook=repr)


class Writer:
    """A destination of eliot messages with a bounded buffer."""

    def __init__(self, descriptor: int, instance_id: str):
        self._descriptor = descriptor
        self._instance_id = instance_id
        self._lines: collections.deque[bytes] = collections.deque()
        self._size_bytes = 0
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, object]) -> None:
        """Queues a message and writes as much as fits without blocking."""
        self._enqueue(message)
        self.flush()

    def _enqueue(self, message: dict[str, object]) -> None:
        """Queues a message, or counts it as dropped if the buffer is full."""
        line = _encoder.encode(_line_fields(message, self._instance_id)) + b"\n"
        if self._size_bytes + len(line) > BUFFER_LIMIT_BYTES:
            self.dropped_count += 1
            return
        self._lines.append(line)
        self._size_bytes += len(line)

    def flush(self) -> None:
        """Writes buffered lines until the descriptor would block."""
        while self._lines:
            line = self._lines.popleft()
            self._size_bytes -= len(line)
            written = self._write_some(line)
            if written < len(line):
                self._lines.appendleft(line[written:])
                self._size_bytes += len(line) - written
                return
            if not self._lines:
                self._add_drop_report()

    def _write_some(self, line: bytes) -> int:
        """Writes what fits and returns the number of bytes consumed."""
        try:
            return os.write(self._descriptor, line)
        except BlockingIOError:
            return 0
        except OSError:
            # The line can never be written, as when the pipe is closed.
            return len(line)

    def _add_drop_report(self) -> None:
        """Queues a line with the number of dropped lines, if any."""
        if not self.dropped_count:
            return
        count, self.dropped_count = self.dropped_count, 0
        self._enqueue(
            {
                "message_type": log.message_type(log.Event.LOGS_DROPPED),
                "timestamp": time.time(),
                "count": count,
            }
        )


def _line_fields(
    message: dict[str, object], instance_id: str
) -> dict[str, object]:
    """Adds the instance id and removes eliot's task fields, unused here."""
    fields = {"instance": instance_id, **message}
    fields.pop("task_uuid", None)
    fields.pop("task_level", None)
    return fields


_current: Writer | None = None


def open_stdout(instance_id: str) -> Writer:
    """Sends log events to standard output through a `Writer`."""
    global _current
    _current = Writer(sys.stdout.fileno(), instance_id)
    eliot.add_destinations(_current)
    return _current


def flush() -> None:
    """Writes buffered lines as far as possible without blocking."""
    if _current is not None:
        _current.flush()
