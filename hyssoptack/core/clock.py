"""The one clock that tasks read; decisions take `now_ms` as an argument
instead.
"""

import time

NANOSECONDS_PER_MS = 1_000_000


def now_ms() -> float:
    """Returns monotonic time in milliseconds, counting time while the process
    is stopped.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NANOSECONDS_PER_MS
