"""The node's clock, and the time of day."""

import time


def read_clock() -> float:
    """Return the seconds since the host booted, including time spent suspended.

    The wall clock may jump, and the monotonic clock stops while the host is suspended, so with
    either one a call could run past its deadline.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_time_ms() -> int:
    """Return the time of day in Unix milliseconds, for what outlasts the process; it may jump."""
    return time.time_ns() // 1_000_000
