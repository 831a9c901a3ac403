"""Learns how much work the calls of each kind are, apart from the host's speed of the moment.

A work clock runs slower while the host is slowed down, as virtual time does in fair queueing
(Zhang, "VirtualClock", 1990). The work of a call is what the clock advances between its start and
its end; a kind's estimate is the exponentially weighted mean of its calls (Roberts, 1959).
"""

from dataclasses import dataclass, field

MEMORY = 0.05
"""Weight of the latest call in a kind's estimate: about the last 20 calls count."""

FIRST_USUAL = 1.5
"""Usual slowdown of a host that has not been watched yet, between the users' quiet and noisy."""

USUAL_MEMORY_S = 5.0
"""Time over which the usual slowdown is averaged: tens of changes of speed."""


@dataclass(slots=True)
class WorkClock:
    """The work that a host at full speed would have done, and the host's speed.

    Attributes
    ----------
    done_s
        Reading of the clock, in seconds of work.
    slowdown, stated_at
        The latest stated slowdown, 1 for full speed, and when it was stated.
    usual
        The slowdown on average.
    """

    done_s: float = 0.0
    slowdown: float = 1.0
    stated_at: float = 0.0
    usual: float = FIRST_USUAL


@dataclass(slots=True)
class WorkEstimates:
    """The learned work of each kind, in seconds, and the number of calls behind it."""

    mean_s: dict[str, float] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)


def read_work_clock(clock: WorkClock, now: float) -> float:
    """Return the work done until now."""
    return clock.done_s + max(0.0, now - clock.stated_at) / clock.slowdown


def state_slowdown(clock: WorkClock, now: float, slowdown: float) -> None:
    """Take in the host's slowdown as just stated."""
    elapsed_s = max(0.0, now - clock.stated_at)
    clock.done_s = read_work_clock(clock, now)
    weight = min(1.0, elapsed_s / USUAL_MEMORY_S)
    clock.usual += (clock.slowdown - clock.usual) * weight
    clock.slowdown = max(0.1, slowdown)
    clock.stated_at = now


def learn_work(estimates: WorkEstimates, kind: str, work_s: float) -> None:
    """Take in the work of a call that has ended well."""
    calls = estimates.calls.get(kind, 0) + 1
    estimates.calls[kind] = calls
    mean_s = estimates.mean_s.get(kind, work_s)
    # The first calls count alike, so that the estimate does not hang on the very first one.
    estimates.mean_s[kind] = mean_s + (work_s - mean_s) * max(MEMORY, 1.0 / calls)


def estimate_work(estimates: WorkEstimates, kind: str, default_s: float) -> float:
    """Return the expected work of a call, in seconds; ``default_s`` for a kind not yet seen."""
    return estimates.mean_s.get(kind, default_s)
