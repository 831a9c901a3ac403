"""Health of a server as seen by one entry, from the outcomes of the entry's own calls.

Errors count against a server however fast they are returned. After several consecutive errors
the server is paused, for longer each time, and then gets one trial call at a time. A pause lasts
for a time and for a number of the entry's calls, so that trials remain a small fraction of the
calls even at an entry with little traffic.
"""

from dataclasses import dataclass
from math import exp

from ragwort_common import Outcome, Reason

ERROR_SMOOTHING = 0.1
PAUSE_AFTER_ERRORS = 3
PAUSE_ERROR_RATIO = 0.4
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
CALLS_PER_PAUSE_S = 50
ERROR_PENALTY = 8.0
ERROR_DECAY_S = 0.5
ERROR_RATIO_AFTER_TRIAL = 0.05


@dataclass(slots=True)
class ServerHealth:
    """Error rate of one server, and the state of its pause and trial."""

    error_ratio: float = 0.0
    last_error_at: float = 0.0
    consecutive_errors: int = 0
    pause_s: float = FIRST_PAUSE_S
    paused_until: float = 0.0
    trial_after_calls: int = 0
    on_trial: bool = False


def is_error(outcome: Outcome, reason: Reason) -> bool:
    """Return whether an outcome is an error of the server; a refusal for load is not."""
    if outcome is Outcome.FAILED:
        return True
    if outcome is Outcome.UNKNOWN:
        return reason in (Reason.CONNECTION_LOST, Reason.BAD_ANSWER)
    return outcome is Outcome.NOT_RUN and reason is Reason.CONNECT_FAILED


def record_success(health: ServerHealth) -> None:
    """Record an answer; a successful trial ends the pause."""
    health.consecutive_errors = 0
    health.error_ratio *= 1.0 - ERROR_SMOOTHING
    if health.on_trial:
        health.on_trial = False
        health.paused_until = 0.0
        health.trial_after_calls = 0
        health.pause_s = max(FIRST_PAUSE_S, health.pause_s * 0.5)
        # The server is used again, but its next error pauses it immediately.
        health.error_ratio = min(health.error_ratio, ERROR_RATIO_AFTER_TRIAL)
        health.consecutive_errors = PAUSE_AFTER_ERRORS - 1


def record_error(
    health: ServerHealth, now: float, calls: int, jitter: float, unreachable: bool
) -> None:
    """Record an error; ``unreachable`` means that the server could not be reached at all.

    ``calls`` is the number of calls that the entry has sent so far; ``jitter``, between 0 and 1,
    keeps the trials of many entries from coinciding.
    """
    health.consecutive_errors += 1
    health.error_ratio = get_error_ratio(health, now)
    health.error_ratio += ERROR_SMOOTHING * (1.0 - health.error_ratio)
    health.last_error_at = now
    failing = (
        health.consecutive_errors >= PAUSE_AFTER_ERRORS or health.error_ratio > PAUSE_ERROR_RATIO
    )
    if not (failing or unreachable or health.on_trial):
        return
    if now < health.paused_until:
        return
    health.paused_until = now + health.pause_s * (0.75 + 0.5 * jitter)
    health.trial_after_calls = calls + int(health.pause_s * CALLS_PER_PAUSE_S)
    health.pause_s = min(MAX_PAUSE_S, health.pause_s * 2.0)
    health.on_trial = False


def is_paused(health: ServerHealth, now: float, calls: int) -> bool:
    """Return whether the server gets no calls now, being paused or on trial."""
    return health.on_trial or now < health.paused_until or calls < health.trial_after_calls


def is_trial_due(health: ServerHealth, now: float, calls: int) -> bool:
    """Return whether the pause is over and the next call is to be the trial."""
    return health.paused_until > 0.0 and not is_paused(health, now, calls)


def start_trial(health: ServerHealth) -> None:
    """Mark the call that is being sent as the trial, if one is due."""
    if health.paused_until > 0.0:
        health.on_trial = True


def end_trial(health: ServerHealth) -> None:
    """Allow another trial after an inconclusive one, such as a refusal for load."""
    health.on_trial = False


def get_error_ratio(health: ServerHealth, now: float) -> float:
    """Return the error ratio, decayed by the time since the last error."""
    if not health.error_ratio:
        return 0.0
    return health.error_ratio * exp((health.last_error_at - now) / ERROR_DECAY_S)


def get_error_penalty(health: ServerHealth, now: float) -> float:
    """Return the factor, at least 1, by which errors raise a server's estimated cost."""
    return 1.0 + ERROR_PENALTY * get_error_ratio(health, now)
