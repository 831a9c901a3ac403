"""How long work takes on a host whose neighbours slow it down for parts of a second.

A server states how long work takes at the moment. That figure says little about the time after
it: speed is expected to move back to the usual, as load does in Mitzenmacher, "How Useful Is Old
Information?" (2000).
"""

from math import exp

SLOWDOWN_LIFE_S = 0.1
"""Mean time for which a stated speed still holds; half of the bench's 150 ms period and up."""


def fade_slowdown(slowdown: float, age_s: float, usual: float) -> float:
    """Return the expected slowdown now, from one stated some time ago."""
    return usual + (slowdown - usual) * exp(-max(0.0, age_s) / SLOWDOWN_LIFE_S)


def expect_run(work_s: float, slowdown: float, usual: float) -> float:
    """Return the time that work takes from now.

    The present slowdown holds for its life, the usual one after that.

    Parameters
    ----------
    work_s
        Time that the work takes on a host at full speed, in seconds.
    slowdown, usual
        Factors by which the host is slower now, and on average.
    """
    if work_s * slowdown <= SLOWDOWN_LIFE_S:
        return work_s * slowdown
    return SLOWDOWN_LIFE_S + (work_s - SLOWDOWN_LIFE_S / slowdown) * usual
