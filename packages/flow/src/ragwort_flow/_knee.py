"""Learns whether a server gets slower near its last slots, and how many calls it best runs.

Some servers do and others don't, and none says so. A new server runs so many calls that the work
lost is least in the worse of the two cases (minimax regret, Savage, 1951). Once the work of its
calls is known from below the knee, calls beyond it are let in and their work is compared, until
they have shown whether there is one.
"""

from dataclasses import dataclass
from functools import cache

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

LEAST_GAIN = 0.05
"""Work done at once that one more call has to bring, in calls."""

LEARNED_CALLS = 12
"""Calls below the knee after which calls beyond it are let in; their work spreads by a third, so
that its mean is known to a tenth."""


@dataclass(slots=True)
class KneeState:
    """What a server's calls have shown.

    Attributes
    ----------
    below, beyond
        Calls that ran below the knee and beyond it.
    factor
        How much longer than expected those beyond it took.
    """

    below: int = 0
    beyond: int = 0
    factor: float = 1.0


@cache
def find_knee_limit(slots: int) -> int:
    """Return the number of calls at once with which a server with a knee gets most work done.

    Of two numbers with which it does about as much, the smaller one is better for each call.
    """
    return max(
        range(1, slots + 1),
        key=lambda running: running / _get_factor(running, slots) - LEAST_GAIN * running,
    )


@cache
def find_cautious_limit(slots: int) -> int:
    """Return the number of calls at once for a server of which it is not known if it has a knee."""
    best = find_knee_limit(slots) / _get_factor(find_knee_limit(slots), slots)

    def get_regret(running: int) -> float:
        with_knee = running / _get_factor(running, slots)
        return max(1.0 - running / slots, 1.0 - with_knee / best)

    return min(range(1, slots + 1), key=get_regret)


def learn_below(state: KneeState) -> None:
    """Take in the end of a call that ran below the knee."""
    state.below += 1


def learn_beyond(state: KneeState, factor: float) -> None:
    """Take in how much longer than expected a call beyond the knee took."""
    state.beyond += 1
    state.factor += (factor - state.factor) * max(MEMORY, 1.0 / state.beyond)


def find_limit(state: KneeState, slots: int) -> int:
    """Return the number of calls that a server may run at once."""
    if state.below < LEARNED_CALLS:
        return find_cautious_limit(slots)
    has_knee = state.beyond >= MIN_CALLS and state.factor >= SHOWN_FACTOR
    return find_knee_limit(slots) if has_knee else slots


def _get_factor(running: int, slots: int) -> float:
    over = max(0.0, running / slots - KNEE_SHARE) / (1.0 - KNEE_SHARE)
    return 1.0 + (FULL_SLOWDOWN - 1.0) * over
