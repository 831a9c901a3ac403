"""Retry budget: limits extra attempts of calls to a service without coordination between nodes.

An extra attempt sends a call to one more server, as a retry or a hedge. In any window, all nodes
together may make as many as a ratio of the service's calls plus a fixed number. Each node uses the
ratio of its own calls and an equal share of the fixed number. A token bucket would allow more in
some windows, so the attempts of the last window are kept.
"""

from collections import deque
from dataclasses import dataclass, field

RATIO_PART = 0.5
"""Share of the ratio available for a service's own extra attempts. An extra run repeats its own
calls to other services, where they can't be told from first attempts: the other half of the ratio
is reserved for those."""

EXTRA_PART = 0.35
"""Share of the fixed number that is used: part is reserved as above, and restarted nodes no longer
know what they spent."""

BUCKETS = 10
"""Number of buckets per window in which calls are counted."""


@dataclass(slots=True, frozen=True)
class RepeatLimits:
    """Limits over all nodes; see ``Bounds`` in the node settings."""

    ratio: float
    extra: float
    window_s: float


@dataclass(slots=True)
class RepeatBudget:
    """Calls and extra attempts of this node to one service in the last window."""

    limits: RepeatLimits
    calls: deque[tuple[int, int]] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


def count_call(budget: RepeatBudget, now: float) -> None:
    """Count the first attempt of a call to the service."""
    bucket = int(now * BUCKETS / budget.limits.window_s)
    if budget.calls and budget.calls[-1][0] == bucket:
        budget.calls[-1] = (bucket, budget.calls[-1][1] + 1)
    else:
        budget.calls.append((bucket, 1))
        while budget.calls[0][0] <= bucket - BUCKETS:
            budget.calls.popleft()


def take_repeat(budget: RepeatBudget, now: float, nodes: int, share: float = 1.0) -> bool:
    """Return whether a call may be sent to one more server, and count the attempt if so.

    Parameters
    ----------
    nodes
        Number of nodes that share the fixed number.
    share
        Share of the budget up to which this kind of attempt may use it.
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
