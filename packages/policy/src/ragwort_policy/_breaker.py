"""Circuit breaker at the gate for a server that fails every call.

The gate sees the failures of all calls, whereas each entry sees only its own. After several
consecutive failures the breaker opens: calls are refused as not run, so that their entries can
choose another server, and a single trial call is let through at intervals. One answer closes the
breaker, so calls that fail through their own fault don't open it while others are answered.
"""

from dataclasses import dataclass

OPEN_AFTER_FAILURES = 5
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 0.2


@dataclass(slots=True)
class Breaker:
    """Consecutive failures, and when the next trial call may run."""

    consecutive_failures: int = 0
    pause_s: float = FIRST_PAUSE_S
    next_trial_at: float = 0.0


def is_open(breaker: Breaker) -> bool:
    """Return whether the number of consecutive failures has reached the threshold."""
    return breaker.consecutive_failures >= OPEN_AFTER_FAILURES


def is_trial_due(breaker: Breaker, now: float) -> bool:
    """Return whether the breaker is closed or the pause before the next trial is over."""
    return not is_open(breaker) or now >= breaker.next_trial_at


def allow_run(breaker: Breaker, now: float, running: int) -> bool:
    """Return whether a call may run; while the breaker is open, one trial runs at a time."""
    return not is_open(breaker) or (running == 0 and now >= breaker.next_trial_at)


def record_result(breaker: Breaker, now: float, failed: bool) -> None:
    """Record the result of a call."""
    if not failed:
        breaker.consecutive_failures = 0
        breaker.pause_s = FIRST_PAUSE_S
        return
    breaker.consecutive_failures += 1
    if is_open(breaker) and now >= breaker.next_trial_at:
        breaker.next_trial_at = now + breaker.pause_s
        breaker.pause_s = min(MAX_PAUSE_S, breaker.pause_s * 2.0)


def get_trial_delay_ms(breaker: Breaker, now: float) -> int:
    """Return the time until the next trial, at least one millisecond."""
    return max(1, int((breaker.next_trial_at - now) * 1e3))
