"""Retry budget: limits extra attempts of calls to a service without coordination between nodes.

An extra attempt sends a call to one more server, as a retry or a hedge. In any window, all nodes
together may make as many as a ratio of the service's calls plus a fixed number. Each node uses the
ratio of its own calls and an equal share of the fixed number. A token bucket would allow more in
some windows, so the attempts of the last window are kept.
"""

from collections import deque
from dataclasses import dataclass, field

RATIO_SHARE = 0.5
"""Share of the ratio available for a service's own extra attempts. The nested calls of a repeated
run are extra attempts too, at the services that it calls, where they can't be told from first
attempts: the other half of the ratio is reserved for those."""

EXTRA_SHARE = 0.35
"""Share of the fixed number that is used: part is reserved as above, and restarted nodes no longer
know what they spent."""

BUCKETS_PER_WINDOW = 10
"""Number of buckets per window in which calls are counted."""


@dataclass(slots=True, frozen=True)
class RetryLimits:
    """Limits over all nodes; see ``Bounds`` in the node settings."""

    ratio: float
    extra: float
    window_s: float


@dataclass(slots=True)
class RetryBudget:
    """Calls and extra attempts of this node to one service in the last window."""

    limits: RetryLimits
    calls: deque[tuple[int, int]] = field(default_factory=deque)
    extra_attempts: deque[float] = field(default_factory=deque)


def count_call(budget: RetryBudget, now: float) -> None:
    """Count the first attempt of a call to the service."""
    bucket = int(now * BUCKETS_PER_WINDOW / budget.limits.window_s)
    if budget.calls and budget.calls[-1][0] == bucket:
        budget.calls[-1] = (bucket, budget.calls[-1][1] + 1)
    else:
        budget.calls.append((bucket, 1))
        while budget.calls[0][0] <= bucket - BUCKETS_PER_WINDOW:
            budget.calls.popleft()


def acquire_retry(budget: RetryBudget, now: float, nodes: int, share: float = 1.0) -> bool:
    """Return whether a call may be sent to one more server, and count the attempt if so.

    Parameters
    ----------
    nodes
        Number of nodes that share the fixed number.
    share
        Share of the budget up to which this kind of attempt may use it.
    """
    limits = budget.limits
    while budget.extra_attempts and budget.extra_attempts[0] <= now - limits.window_s:
        budget.extra_attempts.popleft()
    first = int(now * BUCKETS_PER_WINDOW / limits.window_s) - BUCKETS_PER_WINDOW
    calls = sum(count for bucket, count in budget.calls if bucket > first)
    allowed = RATIO_SHARE * limits.ratio * calls + EXTRA_SHARE * limits.extra / max(1, nodes)
    if len(budget.extra_attempts) + 1 > share * allowed:
        return False
    budget.extra_attempts.append(now)
    return True
