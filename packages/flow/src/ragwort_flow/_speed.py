"""Tracks the slowdown of a host and decides whether a call should be deferred.

Noisy neighbours slow a host down for fractions of a second, and a call keeps the speed at which it
starts. Unless it is small, a call therefore finishes sooner if it waits until the slowdown is over.
A server reports its host's slowdown with each response and when it is probed. The information value
of a report falls to nothing as it ages (Mitzenmacher, "How Useful Is Old Information?", 2000).
"""

from collections import deque
from dataclasses import dataclass, field

MAX_SLOWDOWN_AGE_S = 0.15
"""Age from which on a reported slowdown has no information value: on the users' hosts the slowdown
was unchanged in 90, 78 and 50 of 100 cases after 25, 50 and 100 ms, and unrelated after 150 ms."""

SLOWED_RATIO = 1.6
"""Ratio to a host's baseline from which on it counts as slowed down by noisy neighbours."""

BASELINE_WINDOW_S = 3.0
"""Window of the baseline; a host that has been slower for longer is slow in itself."""

EXPECTED_DEFERRAL_S = MAX_SLOWDOWN_AGE_S / 2
"""Mean time until a slowed host changes its speed."""

MAX_DEFERRAL_S = 0.45
"""Duration of a slowdown after which calls start regardless: three changes of speed."""

MIN_PROBE_GAIN_S = 0.015
"""Expected loss from a stale report from which on the server is probed: a probe takes about a
millisecond, and some users' servers count each one."""

PROBE_BACKOFF_S = 0.15
"""Time without probes after one that got no response."""

MEAN_WINDOW_S = 5.0
"""Time over which the mean slowdown is averaged: tens of changes of speed."""

INITIAL_MEAN_SLOWDOWN = 2.0
"""Assumed mean slowdown of a host without reports: fivefold for a quarter of the time."""


@dataclass(slots=True)
class SpeedState:
    """Slowdown of a host, from the reports of its server.

    Attributes
    ----------
    slowdown, reported_at
        The latest reported slowdown (1 is full speed) and when it was reported.
    mean_slowdown
        Mean slowdown over time.
    has_reports
        Whether the server has reported its slowdown at all.
    slowed_since
        Start of the current slowdown by noisy neighbours; None if there is none.
    next_probe_at
        Time before which the server is not probed, because a probe got no response.
    samples
        Recent samples of the slowdown, each with its time.
    """

    slowdown: float = 1.0
    reported_at: float = 0.0
    mean_slowdown: float = INITIAL_MEAN_SLOWDOWN
    has_reports: bool = False
    slowed_since: float | None = None
    next_probe_at: float = 0.0
    samples: deque[tuple[float, float]] = field(default_factory=deque)


def record_slowdown(state: SpeedState, now: float, slowdown: float) -> None:
    """Record a slowdown that was just reported."""
    slowdown = max(0.1, slowdown)
    if state.has_reports:
        weight = min(1.0, max(0.0, now - state.reported_at) / MEAN_WINDOW_S)
        state.mean_slowdown += (state.slowdown - state.mean_slowdown) * weight
    state.has_reports = True
    state.slowdown = slowdown
    state.reported_at = now
    state.samples.append((now, slowdown))
    while state.samples[0][0] < now - BASELINE_WINDOW_S:
        state.samples.popleft()
    if slowdown < SLOWED_RATIO * get_baseline(state):
        state.slowed_since = None
    elif state.slowed_since is None:
        state.slowed_since = now


def record_failed_probe(state: SpeedState, now: float) -> None:
    """Record that a probe got no response; the server is not probed again for some time."""
    state.next_probe_at = now + PROBE_BACKOFF_S


def get_baseline(state: SpeedState) -> float:
    """Return the lowest recent slowdown of the host, or its mean if that is lower."""
    return min([state.mean_slowdown, *(slowdown for _, slowdown in state.samples)])


def is_slowed(state: SpeedState, now: float) -> bool:
    """Return whether noisy neighbours slow the host down and calls may still be deferred."""
    if state.slowed_since is None or now - state.reported_at > MAX_SLOWDOWN_AGE_S:
        return False
    return now - state.slowed_since <= MAX_DEFERRAL_S


def should_defer(state: SpeedState, now: float, work_s: float) -> bool:
    """Return whether a call would finish sooner if it started after the slowdown."""
    return (
        is_slowed(state, now)
        and work_s * (state.slowdown - get_baseline(state)) > EXPECTED_DEFERRAL_S
    )


def should_probe(state: SpeedState, now: float, work_s: float) -> bool:
    """Return whether to probe the server for its slowdown before a call starts."""
    if not state.has_reports or now < state.next_probe_at:
        return False
    staleness = min(1.0, max(0.0, now - state.reported_at) / MAX_SLOWDOWN_AGE_S)
    return staleness * (state.mean_slowdown - get_baseline(state)) * work_s > MIN_PROBE_GAIN_S


def estimate_slowdown(state: SpeedState, now: float) -> float:
    """Return the expected slowdown of a call that starts now."""
    if not state.has_reports:
        return 1.0
    staleness = min(1.0, max(0.0, now - state.reported_at) / MAX_SLOWDOWN_AGE_S)
    return state.slowdown + (state.mean_slowdown - state.slowdown) * staleness


def is_slowdown_known(state: SpeedState, now: float) -> bool:
    """Return whether the slowdown is known well enough to derive work from run times."""
    return not state.has_reports or now - state.reported_at < MAX_SLOWDOWN_AGE_S / 5
