"""Adaptive concurrency limit: detects whether a server slows down when nearly all slots are taken.

The utilization at which calls begin to slow down is called the knee. Some servers have one and
others don't, and none reports it. A new server gets the limit that loses the least throughput in
the worse of the two cases (minimax regret, Savage, 1951). Once the work of its calls below the knee
is known, calls above it are admitted and their work is compared, until there are enough of them to
tell whether the server has a knee.
"""

from dataclasses import dataclass
from functools import lru_cache

KNEE_UTILIZATION = 0.8
"""Utilization up to which a server runs at full speed; from the users' data sheets."""

FULL_SLOWDOWN = 1.7
"""Slowdown of a server with a knee when all slots are taken; from the users' data sheets."""

KNEE_SLOWDOWN = 1.3
"""Mean slowdown of calls above the knee from which on a server is taken to have one: half of the
effect at a server with a knee, and more than waiting for other services adds."""

MIN_CALLS_ABOVE_KNEE = 15
"""Calls above the knee needed to detect it: their work varies by a third of its mean."""

SMOOTHING_FACTOR = 0.05
"""Weight of the latest call in the moving average of the slowdown."""

MIN_THROUGHPUT_GAIN = 0.05
"""Minimum gain in throughput for one more concurrent call, in calls at full speed."""

MIN_CALLS_BELOW_KNEE = 12
"""Calls below the knee after which calls above it are admitted. Their work varies by a third of
its mean, so the mean is then known to a tenth."""

MAX_CACHED_LIMITS = 16
"""Numbers of slots whose limits are kept; a node's server rarely changes its number."""


@dataclass(slots=True)
class KneeState:
    """Statistics of a server's calls below and above the assumed knee.

    Attributes
    ----------
    calls_below, calls_above
        Number of calls that ran below and above the knee.
    slowdown
        Average slowdown of the calls above the knee.
    """

    calls_below: int = 0
    calls_above: int = 0
    slowdown: float = 1.0


@lru_cache(maxsize=MAX_CACHED_LIMITS)
def find_knee_limit(slots: int) -> int:
    """Return the concurrency at which a server with a knee has the highest throughput.

    Of two values with about the same throughput, the lower one gives the lower latency. The
    throughput rises up to the knee and falls beyond it, so only the integers beside it are
    compared.
    """
    below_knee = int(KNEE_UTILIZATION * slots)
    return max(
        _bound_candidates(below_knee, slots),
        key=lambda running: running / _get_slowdown(running, slots) - MIN_THROUGHPUT_GAIN * running,
    )


@lru_cache(maxsize=MAX_CACHED_LIMITS)
def find_minimax_limit(slots: int) -> int:
    """Return the concurrency limit for a server that is not yet known to have a knee or none.

    The regret without a knee falls with the concurrency, and the regret with one rises beyond the
    knee, so only the integers beside the point where they are equal are compared.
    """
    knee_limit = find_knee_limit(slots)
    best = knee_limit / _get_slowdown(knee_limit, slots)

    def get_regret(running: int) -> float:
        with_knee = running / _get_slowdown(running, slots)
        return max(1.0 - running / slots, 1.0 - with_knee / best)

    # Both are equal where best * slowdown = slots, and the slowdown is linear beyond the knee.
    excess = (slots / best - 1.0) / (FULL_SLOWDOWN - 1.0)
    utilization = KNEE_UTILIZATION + (1.0 - KNEE_UTILIZATION) * excess
    return min(_bound_candidates(int(utilization * slots), slots), key=get_regret)


def _bound_candidates(running: int, slots: int) -> range:
    """Return the integers beside a value, of those from 1 to the number of slots."""
    return range(min(slots, max(1, running - 1)), min(slots, running + 2) + 1)


def record_call_below(state: KneeState) -> None:
    """Record a completed call that ran below the knee."""
    state.calls_below += 1


def record_call_above(state: KneeState, slowdown: float) -> None:
    """Record the slowdown of a completed call that ran above the knee."""
    state.calls_above += 1
    state.slowdown += (slowdown - state.slowdown) * max(SMOOTHING_FACTOR, 1.0 / state.calls_above)


def choose_limit(state: KneeState, slots: int) -> int:
    """Return the current concurrency limit of a server."""
    if state.calls_below < MIN_CALLS_BELOW_KNEE:
        return find_minimax_limit(slots)
    has_knee = state.calls_above >= MIN_CALLS_ABOVE_KNEE and state.slowdown >= KNEE_SLOWDOWN
    return find_knee_limit(slots) if has_knee else slots


def _get_slowdown(running: int, slots: int) -> float:
    excess = max(0.0, running / slots - KNEE_UTILIZATION) / (1.0 - KNEE_UTILIZATION)
    return 1.0 + (FULL_SLOWDOWN - 1.0) * excess
