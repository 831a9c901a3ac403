"""Decides whether a call may be tried again, within a budget that grows with the calls.

One layer retries: the entry that sent the attempt. What a server answered, failures too, is
passed through, and after a possible run only the outermost entry of a chain of calls tries
again, so attempts don't multiply with the depth of the chain. The budget is a token bucket fed
by calls, as in Finagle's retry budgets.
"""

from dataclasses import dataclass

from ragwort_common import Outcome, Reason

RETRY_PART = 0.07
BURST_CALLS = 8.0
MAX_ATTEMPTS = 3

FINAL_REASONS = frozenset(
    {Reason.DEADLINE, Reason.CANCELLED, Reason.UNKNOWN_SERVICE, Reason.NO_OWNER}
)


@dataclass(slots=True)
class AttemptBudget:
    """Further attempts that calls have earned."""

    part: float = RETRY_PART
    burst_calls: float = BURST_CALLS
    tokens: float = BURST_CALLS


@dataclass(slots=True, frozen=True)
class Attempt:
    """An attempt that ended, and what decides about another one.

    Attributes
    ----------
    outcome, reason
        How the attempt ended.
    idempotent
        True when a rule says that the call may run more than once.
    nested
        True when the call was made on behalf of another call.
    number
        1 for the first attempt.
    """

    outcome: Outcome
    reason: Reason
    idempotent: bool
    nested: bool
    number: int


def earn_attempts(budget: AttemptBudget, part: float | None = None) -> None:
    """Credit the budget for one new call, with the budget's own part or a given one."""
    earned = budget.part if part is None else part
    budget.tokens = min(budget.burst_calls, budget.tokens + earned)


def spend_attempt(budget: AttemptBudget) -> bool:
    """Take one attempt from the budget; False when it is used up."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def is_repeatable(attempt: Attempt) -> bool:
    """Tell whether another attempt is safe: provably not run, or idempotent and outermost."""
    if attempt.number >= MAX_ATTEMPTS or attempt.reason in FINAL_REASONS:
        return False
    if attempt.outcome is Outcome.NOT_RUN:
        return True
    return attempt.outcome is Outcome.UNKNOWN and attempt.idempotent and not attempt.nested


def take_retry(budget: AttemptBudget, attempt: Attempt) -> bool:
    """Tell whether the call is tried again, and charge the budget if so."""
    return is_repeatable(attempt) and spend_attempt(budget)
