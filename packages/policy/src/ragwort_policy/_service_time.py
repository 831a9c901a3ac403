"""Estimates the mean service time of calls, including calls that haven't ended yet.

By Little's law, the mean time of a call is the total time spent in calls divided by the number
of calls that ended. Calls that hang add to the time but not to the number, so the estimate rises
before any of them returns. Old measurements decay in proportion to the number of calls expected to
have ended since.
"""

from dataclasses import dataclass
from math import exp

WINDOW_CALLS = 20.0
MIN_TIME_S = 1e-4


@dataclass(slots=True)
class ServiceTime:
    """Total time spent in calls and number of ended calls, both exponentially decayed."""

    spent_s: float
    ended: float
    in_flight: int
    updated_at: float


def make_service_time(expected_s: float, now: float) -> ServiceTime:
    """Return an estimate that starts at an expected service time."""
    return ServiceTime(expected_s * WINDOW_CALLS, WINDOW_CALLS, 0, now)


def advance_time(time: ServiceTime, now: float) -> None:
    """Add the time that the calls in flight have spent until now."""
    elapsed_s = now - time.updated_at
    time.updated_at = now
    if elapsed_s <= 0.0 or not time.in_flight:
        return
    spent_s = elapsed_s * time.in_flight
    expected_endings = spent_s * time.ended / time.spent_s
    decay = exp(-expected_endings / WINDOW_CALLS)
    time.spent_s = time.spent_s * decay + spent_s
    time.ended = max(time.ended * decay, 1e-3)


def add_call(time: ServiceTime, now: float) -> None:
    """Record the start of a call."""
    advance_time(time, now)
    time.in_flight += 1


def end_call(time: ServiceTime, now: float, counts: bool = True) -> None:
    """Record the end of a call; a failed or cancelled one is no measure of speed."""
    advance_time(time, now)
    time.in_flight -= 1
    if counts:
        decay = 1.0 - 1.0 / WINDOW_CALLS
        time.spent_s *= decay
        time.ended = time.ended * decay + 1.0


def estimate_time(time: ServiceTime, now: float) -> float:
    """Return the estimated service time in seconds."""
    advance_time(time, now)
    return max(MIN_TIME_S, time.spent_s / time.ended)
