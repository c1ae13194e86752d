"""Monotonic clock for tasks; decisions take `now_ms` as an argument instead."""

import time

NANOSECONDS_PER_MS = 1_000_000


def now_ms() -> float:
    """Returns monotonic milliseconds that include time in suspend."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NANOSECONDS_PER_MS
