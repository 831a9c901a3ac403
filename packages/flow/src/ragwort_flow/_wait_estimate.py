"""Expected work, slowdown and waits at a server, from the scheduler's state."""

from collections.abc import Callable
from math import exp

from ragwort_flow._cold_start import estimate_cold_wait, is_cold, is_limited
from ragwort_flow._rate_limit import estimate_token_wait
from ragwort_flow._scheduler_state import PendingCall, Running, SchedulerState
from ragwort_flow._speed import get_baseline, get_expected_deferral, may_defer
from ragwort_flow._work import estimate_work

COLD_SLOWDOWN = 2.0
"""Slowdown of a server that has just started; from the users' data sheets."""

MIN_REMAINING_RATIO = 0.2
"""Minimum expected remaining time of a running call, as a fraction of its expected run time."""

FAILURE_DECAY_S = 2.0
"""Time constant with which the failure ratio decays while a server gets no calls."""


def get_failure_ratio(state: SchedulerState, now: float) -> float:
    """Return the failure ratio, which decays with time so that the server is tried again."""
    return state.failure_ratio * exp(min(0.0, state.failure_ratio_at - now) / FAILURE_DECAY_S)


def estimate_call_work(state: SchedulerState, pending: PendingCall) -> float:
    """Return the expected work of a call in seconds at full speed."""
    return estimate_work(state.work, pending.kind, pending.default_work_s)


def estimate_start_slowdown(state: SchedulerState, now: float) -> float:
    """Return the expected slowdown of a call that is deferred until the host is fast."""
    if state.speed.has_reports:
        # The reported slowdown includes that of a cold start.
        return get_baseline(state.speed)
    return COLD_SLOWDOWN if is_cold(state.cold, now) else 1.0


def estimate_wait(
    state: SchedulerState, now: float, ahead: list[PendingCall], work_s: float
) -> float:
    """Return the time to complete ``work_s`` of work that is queued behind the calls ahead."""
    ahead_s = sum(estimate_call_work(state, pending) for pending in ahead)
    return make_wait_estimator(state, now)(len(ahead), ahead_s, work_s)


def make_wait_estimator(state: SchedulerState, now: float) -> Callable[[int, float, float], float]:
    """Return a function that estimates a wait from the number and work of the calls ahead."""
    slowdown = estimate_start_slowdown(state, now)
    deferral_s = get_expected_deferral(state.speed) if may_defer(state.speed, now) else 0.0
    remaining_s = average(
        [_estimate_remaining(state, call, now) for call in state.running.values()]
    )

    running, limit = len(state.running), state.limit
    has_rate = state.rate.calls_per_s is not None or is_limited(state.cold, now)

    def estimate(count: int, ahead_s: float, work_s: float) -> float:
        wait_s = deferral_s
        if running + count >= limit:
            wait_s = max(wait_s, (remaining_s + ahead_s * slowdown) / limit)
        if has_rate:
            wait_s = max(wait_s, estimate_token_wait(state.rate, now, count + 1))
            wait_s = max(wait_s, estimate_cold_wait(state.cold, now, count + 1))
        return wait_s + work_s * slowdown

    return estimate


def _estimate_remaining(state: SchedulerState, call: Running, now: float) -> float:
    """Return the expected remaining time of a running call.

    A call that has overrun its expected run time is expected to take as long again as the overrun,
    as with a heavy-tailed distribution. The estimated wait at a hung server thus grows with time.
    """
    run_s = estimate_call_work(state, call.pending) * call.slowdown
    return max(run_s * MIN_REMAINING_RATIO, abs(run_s - (now - call.started)))


def average(values: list[float]) -> float:
    """Return the mean of the values, 0 without any."""
    return sum(values) / len(values) if values else 0.0
