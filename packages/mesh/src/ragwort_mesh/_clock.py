"""The node's clock."""

import time


def read_clock() -> float:
    """Return seconds since the host's start, with the time for which it was suspended.

    The time of day may jump, and the monotonic clock stands still while a host sleeps, so that a
    call would outlive its deadline.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
