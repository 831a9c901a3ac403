"""Learns whether a server gets slower near its last slots, and how many calls it best runs.

Some servers do and others don't, and none says so. The work of calls that start beyond the knee
is compared with the estimate of their kind, which is learned below it. A new start of the server
is taken for one without a knee until its calls show otherwise.
"""

from dataclasses import dataclass

KNEE_SHARE = 0.8
"""Share of its slots up to which a server runs at full speed; from the users' sheets."""

FULL_SLOWDOWN = 1.7
"""Slowdown of a server with a knee whose slots are all taken; from the users' sheets."""

SHOWN_FACTOR = 1.3
"""Factor by which calls beyond the knee take longer that shows that there is one: half of what
a server with a knee shows, and more than waiting for other services adds."""

MIN_CALLS = 15
"""Calls beyond the knee before it is judged: their work spreads by a third of its mean."""

MEMORY = 0.05
"""Weight of the latest call in the factor."""


@dataclass(slots=True)
class KneeState:
    """What the calls beyond the knee have shown: their number, and how much longer they took."""

    calls: int = 0
    factor: float = 1.0


def is_beyond_knee(running: int, slots: int) -> bool:
    """Tell whether a server that runs so many calls may be slower for it."""
    return running > KNEE_SHARE * slots


def learn_knee(state: KneeState, factor: float) -> None:
    """Take in how much longer than expected a call beyond the knee took."""
    state.calls += 1
    state.factor += (factor - state.factor) * max(MEMORY, 1.0 / state.calls)


def find_limit(state: KneeState, slots: int) -> int:
    """Return the number of calls at once with which a server gets most work done."""
    if state.calls < MIN_CALLS or state.factor < SHOWN_FACTOR:
        return slots
    return max(range(1, slots + 1), key=lambda running: running / _get_factor(running, slots))


def _get_factor(running: int, slots: int) -> float:
    over = max(0.0, running / slots - KNEE_SHARE) / (1.0 - KNEE_SHARE)
    return 1.0 + (FULL_SLOWDOWN - 1.0) * over
