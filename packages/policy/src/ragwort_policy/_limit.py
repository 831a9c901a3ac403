"""Adaptive concurrency limit of a gate: the number of slots, reduced while the server is slow.

The limit follows the latency gradient, as in TCP Vegas (Brakmo and Peterson, 1995): it is the
number of slots times the ratio of the no-load service time to the current one. The current time
includes calls that hang, so the limit falls before they end and rises as soon as calls are fast
again. The no-load time is a minimum that drifts upwards slowly, so that a lasting change becomes
the new baseline.
"""

from dataclasses import dataclass

SLOWDOWN_TOLERANCE = 2.0
MIN_LIMIT_RATIO = 0.5
NO_LOAD_GROWTH = 1.002
WARM_UP_START_RATIO = 0.25


@dataclass(slots=True)
class ConcurrencyLimit:
    """The number of slots, the fraction currently allowed, and the no-load service time."""

    slots: int
    ratio: float
    no_load_s: float
    warm_s: float
    started_at: float


def make_limit(slots: int, expected_s: float, warm_s: float, now: float) -> ConcurrencyLimit:
    """Return a limit that starts at its maximum."""
    return ConcurrencyLimit(slots, 1.0, expected_s, warm_s, now)


def get_warm_up_ratio(limit: ConcurrencyLimit, now: float) -> float:
    """Return the fraction of the limit that a server may use at this time after its start."""
    if limit.warm_s <= 0.0:
        return 1.0
    age = (now - limit.started_at) / limit.warm_s
    return min(1.0, WARM_UP_START_RATIO + (1.0 - WARM_UP_START_RATIO) * max(0.0, age))


def get_limit(limit: ConcurrencyLimit, now: float) -> int:
    """Return the number of calls that may run at once, at least one."""
    return max(1, int(limit.slots * limit.ratio * get_warm_up_ratio(limit, now) + 1e-9))


def adjust_limit(limit: ConcurrencyLimit, service_s: float) -> None:
    """Set the limit from the current estimate of the service time."""
    ratio = SLOWDOWN_TOLERANCE * limit.no_load_s / service_s
    limit.ratio = min(1.0, max(MIN_LIMIT_RATIO, ratio))


def update_no_load(limit: ConcurrencyLimit, service_s: float) -> None:
    """Update the no-load time with the service time estimated at the end of a call."""
    limit.no_load_s = min(service_s, limit.no_load_s * NO_LOAD_GROWTH)
