"""Estimates the work of calls by kind, independently of the host's current slowdown.

The work of a call is its run time divided by the slowdown at which it started, and so its service
time at full speed. The estimate of a kind is an exponentially weighted moving average (Roberts,
1959).
"""

from dataclasses import dataclass, field

SMOOTHING_FACTOR = 0.05
"""Weight of the latest call in a kind's estimate: about the last 20 calls count."""


@dataclass(slots=True)
class WorkEstimates:
    """Estimated work by kind, in seconds, and the number of calls behind each estimate."""

    mean_s: dict[str, float] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)


def record_work(estimates: WorkEstimates, kind: str, work_s: float) -> None:
    """Update the estimate of a kind with the work of a successful call."""
    calls = estimates.calls.get(kind, 0) + 1
    estimates.calls[kind] = calls
    mean_s = estimates.mean_s.get(kind, work_s)
    # The first calls are weighted equally, so that the first one does not dominate.
    estimates.mean_s[kind] = mean_s + (work_s - mean_s) * max(SMOOTHING_FACTOR, 1.0 / calls)


def estimate_work(estimates: WorkEstimates, kind: str, default_s: float) -> float:
    """Return the expected work of a call, in seconds; ``default_s`` for an unknown kind."""
    return estimates.mean_s.get(kind, default_s)
