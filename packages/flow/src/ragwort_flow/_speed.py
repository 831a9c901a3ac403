"""How fast a host works at the moment, and whether a call had better start a little later.

Neighbours slow a host down for parts of a second, and a run keeps the speed at which it starts. So
a call that starts on a slowed host loses more than one that waits for the host to be quick again,
unless it is small. A server states its host's speed with each answer and to who asks; what it has
stated says less with each millisecond, and nothing in the end (Mitzenmacher, "How Useful Is Old
Information?", 2000).
"""

from collections import deque
from dataclasses import dataclass, field

SPEED_LIFE_S = 0.15
"""Time after which a stated speed says nothing more: on the users' hosts it was the same in 90, 78
and 50 of 100 cases after 25, 50 and 100 ms, and unrelated after 150 ms."""

SLOW_FACTOR = 1.6
"""Factor over a host's best recent speed from which on it counts as slowed by neighbours."""

BEST_LIFE_S = 3.0
"""How long the best stated speed counts; a host that has been slower for so long is slow itself."""

HOLD_S = SPEED_LIFE_S / 2
"""Mean time until a slowed host changes its speed."""

LONGEST_HOLD_S = 0.45
"""How long in a row a host may be slowed before calls start all the same: three changes."""

ASK_GAIN_S = 0.015
"""Expected loss from an old statement from which on the server is asked: an answer takes about a
millisecond, and some users' servers count each question."""

UNANSWERED_S = 0.15
"""How long a server that has not answered the question is not asked again."""

USUAL_MEMORY_S = 5.0
"""Time over which the usual slowdown is averaged: tens of changes of speed."""

FIRST_USUAL = 2.0
"""Usual slowdown of a host that has not been watched yet: a quarter of the time fivefold."""


@dataclass(slots=True)
class SpeedState:
    """What a server has stated of its host's speed.

    Attributes
    ----------
    slowdown, stated_at
        The latest stated slowdown, 1 for full speed, and when it was stated.
    usual
        The slowdown on average.
    tells
        Whether the server states it at all.
    slow_since
        Since when the host is slowed down by its neighbours; None while it is not.
    unanswered_until
        Until when the server is not asked, since it did not answer.
    stated
        The statements of late, with their times.
    """

    slowdown: float = 1.0
    stated_at: float = 0.0
    usual: float = FIRST_USUAL
    tells: bool = False
    slow_since: float | None = None
    unanswered_until: float = 0.0
    stated: deque[tuple[float, float]] = field(default_factory=deque)


def state_speed(state: SpeedState, now: float, slowdown: float) -> None:
    """Take in a host's slowdown as just stated."""
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
    """Take in that the server did not answer the question for its speed."""
    state.unanswered_until = now + UNANSWERED_S


def get_best(state: SpeedState) -> float:
    """Return the slowdown of the host at its best of late; the usual one if that was less."""
    return min([state.usual, *(slowdown for _, slowdown in state.stated)])


def is_slowed(state: SpeedState, now: float) -> bool:
    """Tell whether neighbours slow the host down now, and not for longer than they usually do."""
    if state.slow_since is None or now - state.stated_at > SPEED_LIFE_S:
        return False
    return now - state.slow_since <= LONGEST_HOLD_S


def gains_by_waiting(state: SpeedState, now: float, work_s: float) -> bool:
    """Tell whether a call would be done sooner if it started when the host is quick again."""
    return is_slowed(state, now) and work_s * (state.slowdown - get_best(state)) > HOLD_S


def gains_by_asking(state: SpeedState, now: float, work_s: float) -> bool:
    """Tell whether the server had better be asked for its speed before a call starts."""
    if not state.tells or now < state.unanswered_until:
        return False
    doubt = min(1.0, max(0.0, now - state.stated_at) / SPEED_LIFE_S)
    return doubt * (state.usual - get_best(state)) * work_s > ASK_GAIN_S


def expect_factor(state: SpeedState, now: float) -> float:
    """Return by how much longer than its work a call is expected to run that starts now."""
    if not state.tells:
        return 1.0
    doubt = min(1.0, max(0.0, now - state.stated_at) / SPEED_LIFE_S)
    return state.slowdown + (state.usual - state.slowdown) * doubt


def is_speed_known(state: SpeedState, now: float) -> bool:
    """Tell whether the speed at which a call starts now is known well enough to learn from it."""
    return not state.tells or now - state.stated_at < SPEED_LIFE_S / 5
