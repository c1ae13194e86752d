"""Writes log lines to standard output without ever blocking the event loop.

Lines wait in a bounded buffer. When nobody reads standard output the buffer
fills, further lines are dropped, and how many is said once there is room again.
"""

import collections
import os
import sys
import time

import eliot
import msgspec

from hyssoptack.events import log

BUFFER_LIMIT_BYTES = 256 * 1024
"""About 600 lines: some seconds of a busy instance, and a thousandth of its
memory."""

_encoder = msgspec.json.Encoder(enc_hook=repr)


class Writer:
    """A destination of eliot messages: a bounded buffer before a file."""

    def __init__(self, descriptor: int, instance_id: str):
        self._descriptor = descriptor
        self._instance_id = instance_id
        self._lines: collections.deque[bytes] = collections.deque()
        self._size_bytes = 0
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, object]) -> None:
        """Takes a message, and writes what the reader takes now."""
        self._add(message)
        self.flush()

    def _add(self, message: dict[str, object]) -> None:
        line = _encoder.encode(_slim(message, self._instance_id)) + b"\n"
        if self._size_bytes + len(line) > BUFFER_LIMIT_BYTES:
            self.dropped_count += 1
            return
        self._lines.append(line)
        self._size_bytes += len(line)

    def flush(self) -> None:
        """Writes buffered lines until the reader takes no more."""
        while self._lines:
            line = self._lines.popleft()
            self._size_bytes -= len(line)
            written = self._write_some(line)
            if written < len(line):
                self._lines.appendleft(line[written:])
                self._size_bytes += len(line) - written
                return
            if not self._lines:
                self._add_loss()

    def _write_some(self, line: bytes) -> int:
        """Writes what fits; returns how many bytes are done with."""
        try:
            return os.write(self._descriptor, line)
        except BlockingIOError:
            return 0
        except OSError:
            # Nobody will ever read this: there is nobody to report it to.
            return len(line)

    def _add_loss(self) -> None:
        if not self.dropped_count:
            return
        count, self.dropped_count = self.dropped_count, 0
        self._add(
            {
                "message_type": log.message_type(log.Event.LOGS_DROPPED),
                "timestamp": time.time(),
                "count": count,
            }
        )


def _slim(message: dict[str, object], instance_id: str) -> dict[str, object]:
    """Returns a message without eliot's task fields, which say nothing here."""
    slim = {"instance": instance_id, **message}
    slim.pop("task_uuid", None)
    slim.pop("task_level", None)
    return slim


_current: Writer | None = None


def open_stdout(instance_id: str) -> Writer:
    """Sends log events to standard output."""
    global _current
    _current = Writer(sys.stdout.fileno(), instance_id)
    eliot.add_destinations(_current)
    return _current


def flush() -> None:
    """Writes what is buffered, as far as the reader takes it."""
    if _current is not None:
        _current.flush()
