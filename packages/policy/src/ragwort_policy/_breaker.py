"""A circuit breaker at the gate for a server that fails every call.

The gate sees all failures at once, while each entry sees only its own. After several failures
in a row it refuses calls as not run, so that their entries can choose another server, and lets
a single trial through from time to time. One answer closes the breaker, so calls that fail for
a fault of their own don't open it while others are answered.
"""

from dataclasses import dataclass

OPEN_AFTER_FAILURES = 5
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.2


@dataclass(slots=True)
class Breaker:
    """Failures in a row, and when the next trial may run."""

    failures_in_row: int = 0
    pause_s: float = FIRST_PAUSE_S
    trial_at: float = 0.0


def is_open(breaker: Breaker) -> bool:
    """Tell whether the server has failed its last calls, all of them."""
    return breaker.failures_in_row >= OPEN_AFTER_FAILURES


def is_trial_due(breaker: Breaker, now: float) -> bool:
    """Tell whether a call would run now: the breaker is closed, or its pause is over."""
    return not is_open(breaker) or now >= breaker.trial_at


def allow_run(breaker: Breaker, now: float, running: int) -> bool:
    """Tell whether a call may run; while the breaker is open only one at a time does."""
    return not is_open(breaker) or (running == 0 and now >= breaker.trial_at)


def record_end(breaker: Breaker, now: float, failed: bool) -> None:
    """Take in how a call ended."""
    if not failed:
        breaker.failures_in_row = 0
        breaker.pause_s = FIRST_PAUSE_S
        return
    breaker.failures_in_row += 1
    if is_open(breaker) and now >= breaker.trial_at:
        breaker.trial_at = now + breaker.pause_s
        breaker.pause_s = min(LONGEST_PAUSE_S, breaker.pause_s * 2.0)


def get_trial_delay_ms(breaker: Breaker, now: float) -> int:
    """Return the time until the next trial, at least a millisecond."""
    return max(1, int((breaker.trial_at - now) * 1e3))
