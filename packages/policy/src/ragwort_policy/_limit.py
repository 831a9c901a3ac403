"""The concurrency limit of a gate: slots as the ceiling, lowered while the server is slow.

A gradient on latency, as in TCP Vegas (Brakmo and Peterson, 1995): after each window of calls
the limit moves towards ``limit * no_load / latency + spare``, where the no-load latency is a slowly
rising minimum of the windows' means. Noise within ``TOLERANCE`` leaves the limit alone.
"""

from dataclasses import dataclass

WINDOW_CALLS = 10
TOLERANCE = 2.0
LOWEST_PART = 0.5
NO_LOAD_RISE = 1.02
RECOVERY_FACTOR = 1.5
WARM_START = 0.25


@dataclass(slots=True)
class Limit:
    """The limit and the latencies that move it."""

    slots: int
    value: float
    no_load_s: float
    warm_s: float
    started_at: float
    window_s: float = 0.0
    window_calls: int = 0


def make_limit(slots: int, expected_s: float, warm_s: float, now: float) -> Limit:
    """Return a limit that starts at its ceiling."""
    return Limit(slots, float(slots), expected_s, warm_s, now)


def get_warmth(limit: Limit, now: float) -> float:
    """Return the share of the full limit that a server may take so soon after its start."""
    if limit.warm_s <= 0.0:
        return 1.0
    age = (now - limit.started_at) / limit.warm_s
    return min(1.0, WARM_START + (1.0 - WARM_START) * max(0.0, age))


def get_limit(limit: Limit, now: float) -> int:
    """Return how many calls may run at once, at least one."""
    return max(1, int(limit.value * get_warmth(limit, now) + 1e-9))


def adjust_limit(limit: Limit, latency_s: float, in_flight: int) -> None:
    """Take in the latency of one call and move the limit at the end of each window."""
    limit.window_s += latency_s
    limit.window_calls += 1
    if limit.window_calls < WINDOW_CALLS:
        return
    mean_s = limit.window_s / limit.window_calls
    limit.window_s = 0.0
    limit.window_calls = 0
    limit.no_load_s = min(mean_s, limit.no_load_s * NO_LOAD_RISE)
    # A server that isn't near its limit says nothing about a higher one.
    busy = in_flight * 2 >= limit.value
    gradient = min(1.0, TOLERANCE * limit.no_load_s / mean_s)
    if gradient < 1.0:
        target = limit.value * max(0.5, gradient) + 1.0
        limit.value = max(limit.slots * LOWEST_PART, 1.0, min(limit.value, target))
    elif busy or limit.value < limit.slots:
        limit.value = min(float(limit.slots), limit.value * RECOVERY_FACTOR)
