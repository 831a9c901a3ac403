"""Tracks the slowdown of a host and decides whether a call should be deferred.

Noisy neighbours slow a host down for a while, and a call keeps the speed at which it starts. Unless
it is small, a call therefore finishes sooner if it waits until the slowdown is over, or if it runs
elsewhere. A server reports its host's slowdown with each response and when it is probed. The
information value of a report falls to nothing as it ages (Mitzenmacher, "How Useful Is Old
Information?", 2000).

How long slowdowns last differs between deployments, from parts of a second to seconds. A host is
modelled as a two-state Markov chain (Gilbert, "Capacity of a Burst-Noise Channel", 1960), whose
mean times in both states are estimated from the reports: the time seen in a state divided by the
number of times that it was seen to end.
"""

from collections import deque
from dataclasses import dataclass, field
from math import exp

SLOWED_RATIO = 1.6
"""Ratio to a host's baseline from which on it counts as slowed down by noisy neighbours."""

BASELINE_WINDOW_S = 3.0
"""Window of the baseline; a host that has been slower for longer is slow in itself."""

INITIAL_SLOWED_S = 0.2
"""Assumed mean duration of a slowdown until some have been seen to end."""

INITIAL_FAST_S = 0.6
"""Assumed mean time between two slowdowns until some have been seen to begin."""

INITIAL_WEIGHT = 3
"""Number of ends of a state as which its assumed duration counts."""

MAX_ENDS = 30
"""Number of ends of a state after which the older ones count half, so that estimates follow the
neighbours."""

MAX_REPORT_GAP_S = 0.1
"""Longest time between two reports in which a host is taken to have kept its state."""

MAX_DEFERRALS = 3
"""Multiple of the mean duration of a slowdown after which calls start regardless."""

MIN_PROBE_GAIN_RATIO = 0.05
"""Expected loss from a stale report, as a fraction of a call's work, from which on the server is
probed: some users' servers count each probe."""

MIN_SLOWED_STALENESS = 0.2
"""Loss of information from which on a slowed host is probed again while calls wait for it."""

MAX_KNOWN_STALENESS = 0.2
"""Loss of information up to which a run time tells the work of a call."""

PROBE_BACKOFF_S = 0.15
"""Time without probes after one that got no response."""

MEAN_WINDOW_S = 5.0
"""Time over which the mean slowdown is averaged: tens of changes of speed."""

PEAK_WINDOW_S = 10.0
"""Time constant with which the peak slowdown falls to what is reported."""

INITIAL_PEAK_SLOWDOWN = 5.0
"""Assumed peak slowdown of a host without reports."""

INITIAL_MEAN_SLOWDOWN = 2.0
"""Assumed mean slowdown of a host without reports: fivefold for a quarter of the time."""


@dataclass(slots=True)
class StateDuration:
    """Estimate of the mean duration of one of the two states of a host.

    Attributes
    ----------
    seen_s, ends
        Time seen in the state, in seconds, and how often it was seen to end.
    """

    seen_s: float
    ends: float = INITIAL_WEIGHT

    @property
    def mean_s(self) -> float:
        """Mean duration, in seconds."""
        return self.seen_s / self.ends


@dataclass(slots=True)
class SpeedState:
    """Slowdown of a host, from the reports of its server.

    Attributes
    ----------
    slowdown, reported_at
        The latest reported slowdown (1 is full speed) and when it was reported.
    mean_slowdown
        Mean slowdown over time.
    peak_slowdown
        Recent peak of the slowdown: how slow a call may be that starts at the wrong moment.
    has_reports
        Whether the server has reported its slowdown at all.
    slowed_since
        Start of the current slowdown by noisy neighbours; None if there is none.
    slowed, fast
        Durations of the slowdowns, and of the times between them.
    defer_until
        Time until which calls are deferred because of the current slowdown.
    next_probe_at
        Time before which the server is not probed, because a probe got no response.
    samples
        Recent samples of the slowdown, each with its time.
    """

    slowdown: float = 1.0
    reported_at: float = 0.0
    mean_slowdown: float = INITIAL_MEAN_SLOWDOWN
    peak_slowdown: float = INITIAL_PEAK_SLOWDOWN
    has_reports: bool = False
    slowed_since: float | None = None
    slowed: StateDuration = field(
        default_factory=lambda: StateDuration(INITIAL_SLOWED_S * INITIAL_WEIGHT)
    )
    fast: StateDuration = field(
        default_factory=lambda: StateDuration(INITIAL_FAST_S * INITIAL_WEIGHT)
    )
    defer_until: float = 0.0
    next_probe_at: float = 0.0
    samples: deque[tuple[float, float]] = field(default_factory=deque)


def record_slowdown(state: SpeedState, now: float, slowdown: float) -> None:
    """Record a slowdown that was just reported."""
    slowdown = max(0.1, slowdown)
    elapsed_s = max(0.0, now - state.reported_at) if state.has_reports else 0.0
    was_slowed = state.slowed_since is not None
    state.mean_slowdown += (state.slowdown - state.mean_slowdown) * min(
        1.0, elapsed_s / MEAN_WINDOW_S
    )
    state.peak_slowdown += (state.slowdown - state.peak_slowdown) * min(
        1.0, elapsed_s / PEAK_WINDOW_S
    )
    state.peak_slowdown = max(state.peak_slowdown, slowdown)
    had_reports, state.has_reports = state.has_reports, True
    state.slowdown = slowdown
    state.reported_at = now
    state.samples.append((now, slowdown))
    while state.samples[0][0] < now - BASELINE_WINDOW_S:
        state.samples.popleft()
    if slowdown < SLOWED_RATIO * get_baseline(state):
        state.slowed_since = None
    elif state.slowed_since is None:
        state.slowed_since = now
        state.defer_until = now + MAX_DEFERRALS * state.slowed.mean_s
    if had_reports and elapsed_s <= MAX_REPORT_GAP_S:
        has_ended = was_slowed != (state.slowed_since is not None)
        _record_duration(state.slowed if was_slowed else state.fast, elapsed_s, has_ended)


def record_failed_probe(state: SpeedState, now: float) -> None:
    """Record that a probe got no response; the server is not probed again for some time."""
    state.next_probe_at = now + PROBE_BACKOFF_S


def get_baseline(state: SpeedState) -> float:
    """Return the lowest recent slowdown of the host, or its mean if that is lower."""
    return min([state.mean_slowdown, *(slowdown for _, slowdown in state.samples)])


def is_slowed(state: SpeedState, now: float) -> bool:
    """Return whether noisy neighbours slow the host down, as far as is known."""
    return state.slowed_since is not None and now - state.reported_at <= state.slowed.mean_s


def may_defer(state: SpeedState, now: float) -> bool:
    """Return whether the host is slowed down and calls may still wait for it."""
    return is_slowed(state, now) and now <= state.defer_until


def get_expected_deferral(state: SpeedState) -> float:
    """Return the expected time until a slowed host is fast again, in seconds."""
    return state.slowed.mean_s / 2


def estimate_excess(state: SpeedState, work_s: float) -> float:
    """Return how much longer work takes at the reported slowdown than at the baseline."""
    return work_s * (state.slowdown - get_baseline(state))


def should_defer(state: SpeedState, now: float, work_s: float) -> bool:
    """Return whether a call would finish sooner if it started after the slowdown."""
    return may_defer(state, now) and estimate_excess(state, work_s) > get_expected_deferral(state)


def should_probe(state: SpeedState, now: float, work_s: float, tolerated_s: float) -> bool:
    """Return whether to probe the server for its slowdown before a call starts.

    A call whose work would take up to ``tolerated_s`` longer starts on a slowed host anyway.
    """
    if not state.has_reports or now < state.next_probe_at:
        return False
    baseline = get_baseline(state)
    if work_s * (state.peak_slowdown - baseline) <= tolerated_s:
        return False
    staleness = _get_staleness(state, now)
    if state.slowed_since is not None:
        return staleness > MIN_SLOWED_STALENESS
    return staleness * (state.mean_slowdown - baseline) > MIN_PROBE_GAIN_RATIO


def estimate_slowdown(state: SpeedState, now: float) -> float:
    """Return the expected slowdown of a call that starts now."""
    if not state.has_reports:
        return 1.0
    staleness = _get_staleness(state, now)
    return state.slowdown + (state.mean_slowdown - state.slowdown) * staleness


def is_slowdown_known(state: SpeedState, now: float) -> bool:
    """Return whether the slowdown is known well enough to derive work from run times."""
    return not state.has_reports or _get_staleness(state, now) < MAX_KNOWN_STALENESS


def _get_staleness(state: SpeedState, now: float) -> float:
    """Return how much of the information of the latest report is lost, from 0 to 1."""
    rate_per_s = 1.0 / state.slowed.mean_s + 1.0 / state.fast.mean_s
    return 1.0 - exp(-max(0.0, now - state.reported_at) * rate_per_s)


def _record_duration(duration: StateDuration, elapsed_s: float, has_ended: bool) -> None:
    duration.seen_s += elapsed_s
    if has_ended:
        duration.ends += 1
    if duration.ends > MAX_ENDS:
        duration.seen_s /= 2
        duration.ends /= 2
