"""The concurrency limit of a gate: slots as the ceiling, lowered while the server is slow.

A gradient on the time of calls, as in TCP Vegas (Brakmo and Peterson, 1995): the limit is the
slots times the no-load time over the present one. The present time counts calls that hang, so
the limit falls before they end and rises as soon as calls are quick again. The no-load time is
a minimum that rises slowly, so that a lasting change becomes the new usual.
"""

from dataclasses import dataclass

TOLERANCE = 2.0
LOWEST_PART = 0.5
NO_LOAD_RISE = 1.002
WARM_START = 0.25


@dataclass(slots=True)
class Limit:
    """The limit's ceiling, its present part, and the no-load time it is measured by."""

    slots: int
    part: float
    no_load_s: float
    warm_s: float
    started_at: float


def make_limit(slots: int, expected_s: float, warm_s: float, now: float) -> Limit:
    """Return a limit that starts at its ceiling."""
    return Limit(slots, 1.0, expected_s, warm_s, now)


def get_warmth(limit: Limit, now: float) -> float:
    """Return the share of the full limit that a server may take so soon after its start."""
    if limit.warm_s <= 0.0:
        return 1.0
    age = (now - limit.started_at) / limit.warm_s
    return min(1.0, WARM_START + (1.0 - WARM_START) * max(0.0, age))


def get_limit(limit: Limit, now: float) -> int:
    """Return how many calls may run at once, at least one."""
    return max(1, int(limit.slots * limit.part * get_warmth(limit, now) + 1e-9))


def adjust_limit(limit: Limit, service_s: float) -> None:
    """Set the limit by the present estimate of the time of a call."""
    part = TOLERANCE * limit.no_load_s / service_s
    limit.part = min(1.0, max(LOWEST_PART, part))


def learn_no_load(limit: Limit, service_s: float) -> None:
    """Take in the estimate at the end of a call."""
    limit.no_load_s = min(service_s, limit.no_load_s * NO_LOAD_RISE)
