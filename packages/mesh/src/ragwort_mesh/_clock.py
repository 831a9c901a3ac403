"""The node's clock."""

import time


def read_clock() -> float:
    """Return the seconds since the host booted, including time spent suspended.

    The wall clock may jump, and the monotonic clock stops while the host is suspended, so with
    either one a call could run past its deadline.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
