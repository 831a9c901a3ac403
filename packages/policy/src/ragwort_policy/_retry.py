"""Decides whether a failed call is retried, within a budget proportional to the calls.

Only the entry that sent an attempt retries it. Answers of a server, including failures, are
passed through, and after an attempt that may have run, only the outermost entry of a call chain
retries, so that attempts don't multiply with the depth of the chain. The budget is a token bucket
credited by calls, as in Finagle's retry budgets.
"""

from dataclasses import dataclass

from ragwort_common import Outcome, Reason

RETRY_RATIO = 0.07
BURST_CALLS = 8.0
MAX_ATTEMPTS = 3

FINAL_REASONS = frozenset(
    {Reason.DEADLINE, Reason.CANCELLED, Reason.UNKNOWN_SERVICE, Reason.NO_OWNER}
)


@dataclass(slots=True)
class AttemptBudget:
    """A token bucket of further attempts; each call adds ``ratio`` of a token."""

    ratio: float = RETRY_RATIO
    burst_calls: float = BURST_CALLS
    tokens: float = BURST_CALLS


@dataclass(slots=True, frozen=True)
class Attempt:
    """An attempt that has ended, with what determines whether it may be repeated.

    Attributes
    ----------
    outcome, reason
        How the attempt ended.
    idempotent
        Whether a rule allows the call to run more than once.
    nested
        Whether the call was made on behalf of another call.
    number
        1 for the first attempt.
    """

    outcome: Outcome
    reason: Reason
    idempotent: bool
    nested: bool
    number: int


def credit_attempts(budget: AttemptBudget, ratio: float | None = None) -> None:
    """Credit the budget for one new call; ``ratio`` overrides the budget's own."""
    earned = budget.ratio if ratio is None else ratio
    budget.tokens = min(budget.burst_calls, budget.tokens + earned)


def spend_attempt(budget: AttemptBudget) -> bool:
    """Take one attempt from the budget; return False if it is exhausted."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def is_repeatable(attempt: Attempt) -> bool:
    """Return whether a retry is safe: the call didn't run, or is idempotent and outermost."""
    if attempt.number >= MAX_ATTEMPTS or attempt.reason in FINAL_REASONS:
        return False
    if attempt.outcome is Outcome.NOT_RUN:
        return True
    return attempt.outcome is Outcome.UNKNOWN and attempt.idempotent and not attempt.nested


def try_retry(budget: AttemptBudget, attempt: Attempt) -> bool:
    """Return whether to retry the call, and charge the budget if so."""
    return is_repeatable(attempt) and spend_attempt(budget)
