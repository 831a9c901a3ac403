"""Tracks the slowdown of a host and decides whether a call should be deferred.

Noisy neighbours slow a host down for fractions of a second, and a call keeps the speed at which it
starts. Unless it is small, a call therefore finishes sooner if it waits until the slowdown is over.
A server reports its host's slowdown with each response and when it is probed. The information value
of a report falls to nothing as it ages (Mitzenmacher, "How Useful Is Old Information?", 2000).
"""

from collections import deque
from dataclasses import dataclass, field

SPEED_LIFE_S = 0.15
"""Age from which on a reported slowdown has no information value: on the users' hosts the slowdown
was unchanged in 90, 78 and 50 of 100 cases after 25, 50 and 100 ms, and unrelated after 150 ms."""

SLOW_FACTOR = 1.6
"""Ratio to a host's baseline from which on it counts as slowed down by noisy neighbours."""

BEST_LIFE_S = 3.0
"""Window of the baseline; a host that has been slower for longer is slow in itself."""

HOLD_S = SPEED_LIFE_S / 2
"""Mean time until a slowed host changes its speed."""

LONGEST_HOLD_S = 0.45
"""Duration of a slowdown after which calls start regardless: three changes of speed."""

ASK_GAIN_S = 0.015
"""Expected loss from a stale report from which on the server is probed: a probe takes about a
millisecond, and some users' servers count each one."""

UNANSWERED_S = 0.15
"""Time without probes after one that got no response."""

USUAL_MEMORY_S = 5.0
"""Time over which the mean slowdown is averaged: tens of changes of speed."""

FIRST_USUAL = 2.0
"""Assumed mean slowdown of a host without reports: fivefold for a quarter of the time."""


@dataclass(slots=True)
class SpeedState:
    """Slowdown of a host, from the reports of its server.

    Attributes
    ----------
    slowdown, stated_at
        The latest reported slowdown (1 is full speed) and when it was reported.
    usual
        Mean slowdown over time.
    tells
        Whether the server has reported its slowdown at all.
    slow_since
        Start of the current slowdown by noisy neighbours; None if there is none.
    unanswered_until
        Time before which the server is not probed, because a probe got no response.
    stated
        Recent samples of the slowdown, each with its time.
    """

    slowdown: float = 1.0
    stated_at: float = 0.0
    usual: float = FIRST_USUAL
    tells: bool = False
    slow_since: float | None = None
    unanswered_until: float = 0.0
    stated: deque[tuple[float, float]] = field(default_factory=deque)


def state_speed(state: SpeedState, now: float, slowdown: float) -> None:
    """Record a slowdown that was just reported."""
    slowdown = max(0.1, slowdown)
    if state.tells:
        weight = min(1.0, max(0.0, now - state.stated_at) / USUAL_MEMORY_S)
        state.usual += (state.slowdown - state.usual) * weight
    state.tells = True
    state.slowdown = slowdown
    state.stated_at = now
    state.stated.append((now, slowdown))
    while state.stated[0][0] < now - BEST_LIFE_S:
        state.stated.popleft()
    if slowdown < SLOW_FACTOR * get_best(state):
        state.slow_since = None
    elif state.slow_since is None:
        state.slow_since = now


def note_unanswered(state: SpeedState, now: float) -> None:
    """Record that a probe got no response; the server is not probed again for some time."""
    state.unanswered_until = now + UNANSWERED_S


def get_best(state: SpeedState) -> float:
    """Return the lowest recent slowdown of the host, or its mean if that is lower."""
    return min([state.usual, *(slowdown for _, slowdown in state.stated)])


def is_slowed(state: SpeedState, now: float) -> bool:
    """Return whether noisy neighbours slow the host down and calls may still be deferred."""
    if state.slow_since is None or now - state.stated_at > SPEED_LIFE_S:
        return False
    return now - state.slow_since <= LONGEST_HOLD_S


def gains_by_waiting(state: SpeedState, now: float, work_s: float) -> bool:
    """Return whether a call would finish sooner if it started after the slowdown."""
    return is_slowed(state, now) and work_s * (state.slowdown - get_best(state)) > HOLD_S


def gains_by_asking(state: SpeedState, now: float, work_s: float) -> bool:
    """Return whether to probe the server for its slowdown before a call starts."""
    if not state.tells or now < state.unanswered_until:
        return False
    doubt = min(1.0, max(0.0, now - state.stated_at) / SPEED_LIFE_S)
    return doubt * (state.usual - get_best(state)) * work_s > ASK_GAIN_S


def expect_factor(state: SpeedState, now: float) -> float:
    """Return the expected slowdown of a call that starts now."""
    if not state.tells:
        return 1.0
    doubt = min(1.0, max(0.0, now - state.stated_at) / SPEED_LIFE_S)
    return state.slowdown + (state.usual - state.slowdown) * doubt


def is_speed_known(state: SpeedState, now: float) -> bool:
    """Return whether the slowdown is known well enough to derive work from run times."""
    return not state.tells or now - state.stated_at < SPEED_LIFE_S / 5
