"""Limits further arrivals of calls at a service's servers, without asking other nodes.

All nodes together may cause, in any window, a share of the service's calls and a fixed number.
Each node spends the share of its own calls, and its part of the fixed number. A bucket that
refills over time would allow more in some windows, so the arrivals of the last window are kept.
"""

from collections import deque
from dataclasses import dataclass, field

RATIO_PART = 0.5
"""Part of the ratio that a service's own repeats use. The calls that a repeated run makes are
repeats too, at the services that it calls, and nobody can tell them from others: the other half
of the ratio is theirs."""

EXTRA_PART = 0.35
"""Part of the fixed number that is used; as above, and nodes that restart have forgotten what
they spent."""

BUCKETS = 10
"""Parts of a window in which calls are counted."""


@dataclass(slots=True, frozen=True)
class RepeatLimits:
    """Bounds for all nodes together; see ``Bounds`` of the settings."""

    ratio: float
    extra: float
    window_s: float


@dataclass(slots=True)
class RepeatBudget:
    """One service's calls and further arrivals at this node in the last window."""

    limits: RepeatLimits
    calls: deque[tuple[int, int]] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


def count_call(budget: RepeatBudget, now: float) -> None:
    """Take in a call to the service."""
    bucket = int(now * BUCKETS / budget.limits.window_s)
    if budget.calls and budget.calls[-1][0] == bucket:
        budget.calls[-1] = (bucket, budget.calls[-1][1] + 1)
    else:
        budget.calls.append((bucket, 1))
        while budget.calls[0][0] <= bucket - BUCKETS:
            budget.calls.popleft()


def take_repeat(budget: RepeatBudget, now: float, nodes: int, share: float = 1.0) -> bool:
    """Tell whether a call may arrive at one more server, and count it if so.

    Parameters
    ----------
    nodes
        Nodes that share the fixed number.
    share
        Part of the budget up to which this kind of repeat may use it.
    """
    limits = budget.limits
    while budget.repeats and budget.repeats[0] <= now - limits.window_s:
        budget.repeats.popleft()
    first = int(now * BUCKETS / limits.window_s) - BUCKETS
    calls = sum(count for bucket, count in budget.calls if bucket > first)
    allowed = RATIO_PART * limits.ratio * calls + EXTRA_PART * limits.extra / max(1, nodes)
    if len(budget.repeats) + 1 > share * allowed:
        return False
    budget.repeats.append(now)
    return True
