"""Estimates how long a call takes, counting calls that have not ended yet.

By Little's law the mean time of a call is the time spent by all calls divided by the number of
calls that ended. Calls that hang add time and no ending, so the estimate rises before any of
them returns. Old evidence is forgotten in proportion to the endings that were expected since.
"""

from dataclasses import dataclass
from math import exp

MEMORY_CALLS = 20.0
MIN_TIME_S = 1e-4


@dataclass(slots=True)
class ServiceTime:
    """Time spent by calls and the number of endings, both with forgetting."""

    spent_s: float
    ended: float
    in_flight: int
    updated_at: float


def make_service_time(expected_s: float, now: float) -> ServiceTime:
    """Return an estimate that starts at an expected time."""
    return ServiceTime(expected_s * MEMORY_CALLS, MEMORY_CALLS, 0, now)


def advance_time(time: ServiceTime, now: float) -> None:
    """Count the time that the calls in flight have spent until now."""
    elapsed_s = now - time.updated_at
    time.updated_at = now
    if elapsed_s <= 0.0 or not time.in_flight:
        return
    spent_s = elapsed_s * time.in_flight
    expected_endings = spent_s * time.ended / time.spent_s
    kept = exp(-expected_endings / MEMORY_CALLS)
    time.spent_s = time.spent_s * kept + spent_s
    time.ended = max(time.ended * kept, 1e-3)


def add_call(time: ServiceTime, now: float) -> None:
    """Count a call that starts."""
    advance_time(time, now)
    time.in_flight += 1


def end_call(time: ServiceTime, now: float, counts: bool = True) -> None:
    """Count a call that ends; one that failed or was cancelled is no evidence of speed."""
    advance_time(time, now)
    time.in_flight -= 1
    if counts:
        kept = 1.0 - 1.0 / MEMORY_CALLS
        time.spent_s *= kept
        time.ended = time.ended * kept + 1.0


def estimate_time(time: ServiceTime, now: float) -> float:
    """Return the estimated time of a call in seconds."""
    advance_time(time, now)
    return max(MIN_TIME_S, time.spent_s / time.ended)
