"""Learns how much work the calls of each kind are, apart from the host's speed of the moment.

The work of a call is the time that it ran, over the slowdown at which it started; a kind's estimate
is the exponentially weighted mean of its calls (Roberts, 1959).
"""

from dataclasses import dataclass, field

MEMORY = 0.05
"""Weight of the latest call in a kind's estimate: about the last 20 calls count."""


@dataclass(slots=True)
class WorkEstimates:
    """The learned work of each kind, in seconds, and the number of calls behind it."""

    mean_s: dict[str, float] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)


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
