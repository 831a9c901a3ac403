"""Decides when a call that may run twice is also sent to a second server.

Answers neighbours that slow a host down in the middle of a call: the second send goes out at the
last moment at which another server can still answer within the objective, as in Dean and Barroso,
"The Tail at Scale" (2013), so that only the calls that would be late are sent twice.
"""

RESERVED_SLOWDOWN = 1.6
"""Slowdown for which the second send leaves time: its work may be longer than the mean."""

SECOND_MARGIN_S = 0.015
"""Time for the way of the second send within a region, and a wake-up late by as much."""

LEAST_RUNS = 1.2
"""A call is left alone for this many times its expected run, so that usual ones aren't doubled."""


def get_hedge_delay(left_s: float, work_s: float) -> float | None:
    """Return how long to wait for the first answer, in seconds; None when a second is of no use.

    Parameters
    ----------
    left_s
        Time left until the end of the objective, in seconds.
    work_s
        Expected work of the call, in seconds.
    """
    delay_s = left_s - work_s * RESERVED_SLOWDOWN - SECOND_MARGIN_S
    if delay_s < 0:
        return None
    return max(delay_s, LEAST_RUNS * work_s)
