"""Decides when an idempotent call is also sent to a second server (a hedge).

Hedging limits the effect of noisy neighbours that slow a host down during a call. The hedge is sent
at the last moment at which another server can still respond within the objective, so that only
calls that would be late are sent twice (Dean and Barroso, "The Tail at Scale", 2013).
"""

RESERVED_SLOWDOWN = 1.6
"""Slowdown that the hedge allows for, since its work may be longer than the mean."""

HEDGE_MARGIN_S = 0.015
"""Network time of the hedge within a region, and the same for a late wake-up."""

MIN_DELAY_RATIO = 1.2
"""Minimum delay as a multiple of the expected work, so that typical calls aren't hedged."""


def get_hedge_delay(left_s: float, work_s: float) -> float | None:
    """Return how long to wait before hedging, in seconds; None if a hedge would be too late.

    Parameters
    ----------
    left_s
        Time left until the objective, in seconds.
    work_s
        Expected work of the call, in seconds.
    """
    delay_s = left_s - work_s * RESERVED_SLOWDOWN - HEDGE_MARGIN_S
    if delay_s < 0:
        return None
    return max(delay_s, MIN_DELAY_RATIO * work_s)
