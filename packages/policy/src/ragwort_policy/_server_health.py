"""Health of a server as seen by one entry, from the outcomes of the entry's own calls.

Errors count against a server however fast they are returned. After several consecutive errors
the server is paused, for longer each time, and then gets one trial call at a time. A pause lasts
for a time and for a number of the entry's calls, so that trials remain a small fraction of the
calls even at an entry with little traffic.
"""

from dataclasses import dataclass
from math import exp

from ragwort_common import Outcome, Reason

ERROR_MEMORY = 0.1
PAUSE_AFTER_ERRORS = 3
PAUSE_ERROR_RATIO = 0.4
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0
CALLS_PER_PAUSE_S = 50
ERROR_COST = 8.0
ERROR_LIFE_S = 0.5
RATIO_AFTER_TRIAL = 0.05


@dataclass(slots=True)
class Trust:
    """Error rate of one server, and the state of its pause and trial."""

    error_ratio: float = 0.0
    error_at: float = 0.0
    errors_in_row: int = 0
    pause_s: float = FIRST_PAUSE_S
    paused_until: float = 0.0
    trial_after: int = 0
    on_trial: bool = False


def is_error(outcome: Outcome, reason: Reason) -> bool:
    """Return whether an outcome is an error of the server; a refusal for load is not."""
    if outcome is Outcome.FAILED:
        return True
    if outcome is Outcome.UNKNOWN:
        return reason in (Reason.CONNECTION_LOST, Reason.BAD_ANSWER)
    return outcome is Outcome.NOT_RUN and reason is Reason.CONNECT_FAILED


def record_success(trust: Trust) -> None:
    """Record an answer; a successful trial ends the pause."""
    trust.errors_in_row = 0
    trust.error_ratio *= 1.0 - ERROR_MEMORY
    if trust.on_trial:
        trust.on_trial = False
        trust.paused_until = 0.0
        trust.trial_after = 0
        trust.pause_s = max(FIRST_PAUSE_S, trust.pause_s * 0.5)
        # The server is used again, but its next error pauses it immediately.
        trust.error_ratio = min(trust.error_ratio, RATIO_AFTER_TRIAL)
        trust.errors_in_row = PAUSE_AFTER_ERRORS - 1


def record_error(trust: Trust, now: float, calls: int, jitter: float, certain: bool) -> None:
    """Record an error; ``certain`` means that the server could not be reached at all.

    ``calls`` is the number of calls that the entry has sent so far; ``jitter``, between 0 and 1,
    keeps the trials of many entries from coinciding.
    """
    trust.errors_in_row += 1
    trust.error_ratio = get_error_ratio(trust, now)
    trust.error_ratio += ERROR_MEMORY * (1.0 - trust.error_ratio)
    trust.error_at = now
    failing = trust.errors_in_row >= PAUSE_AFTER_ERRORS or trust.error_ratio > PAUSE_ERROR_RATIO
    if not (failing or certain or trust.on_trial):
        return
    if now < trust.paused_until:
        return
    trust.paused_until = now + trust.pause_s * (0.75 + 0.5 * jitter)
    trust.trial_after = calls + int(trust.pause_s * CALLS_PER_PAUSE_S)
    trust.pause_s = min(LONGEST_PAUSE_S, trust.pause_s * 2.0)
    trust.on_trial = False


def is_paused(trust: Trust, now: float, calls: int) -> bool:
    """Return whether the server gets no calls now, being paused or on trial."""
    return trust.on_trial or now < trust.paused_until or calls < trust.trial_after


def is_trial_due(trust: Trust, now: float, calls: int) -> bool:
    """Return whether the pause is over and the next call is to be the trial."""
    return trust.paused_until > 0.0 and not is_paused(trust, now, calls)


def start_trial(trust: Trust) -> None:
    """Mark the call that is being sent as the trial, if one is due."""
    if trust.paused_until > 0.0:
        trust.on_trial = True


def end_trial(trust: Trust) -> None:
    """Allow another trial after an inconclusive one, such as a refusal for load."""
    trust.on_trial = False


def get_error_ratio(trust: Trust, now: float) -> float:
    """Return the error ratio, decayed by the time since the last error."""
    if not trust.error_ratio:
        return 0.0
    return trust.error_ratio * exp((trust.error_at - now) / ERROR_LIFE_S)


def get_error_cost(trust: Trust, now: float) -> float:
    """Return the factor, at least 1, by which errors raise a server's estimated cost."""
    return 1.0 + ERROR_COST * get_error_ratio(trust, now)
