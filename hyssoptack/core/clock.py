"""The one clock that tasks read; decisions take `now_ms` instead."""

import time

NANOSECONDS_PER_MS = 1_000_000


def now_ms() -> float:
    """Returns monotonic milliseconds, counted through stops too."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NANOSECONDS_PER_MS
