"""Decides when a slow idempotent call is also sent to a second server.

Implements hedged requests (Dean and Barroso, "The Tail at Scale", 2013), sent after a high
quantile of recent latency and limited by a small budget of their own. The quantile estimate
takes a step up for each slower call and a smaller step down for each faster one (Ma,
Muthukrishnan and Sandler, "Frugal Streaming for Estimating Quantiles", 2013).
"""

from dataclasses import dataclass, field

from ragwort_policy._retry import AttemptBudget, credit_attempts, spend_attempt

QUANTILE = 0.95
HEDGE_RATIO = 0.02
HEDGE_BURST_CALLS = 2.0
STEP_RATIO = 0.05


@dataclass(slots=True)
class HedgeState:
    """The estimated quantile of latency, and the budget of hedges."""

    quantile_s: float
    budget: AttemptBudget = field(
        default_factory=lambda: AttemptBudget(HEDGE_RATIO, HEDGE_BURST_CALLS, HEDGE_BURST_CALLS)
    )


def make_hedge_state(expected_s: float) -> HedgeState:
    """Return a state whose quantile is initialized from an expected latency."""
    return HedgeState(expected_s * 3.0)


def record_latency(state: HedgeState, latency_s: float, ratio: float | None = None) -> None:
    """Update the quantile with the latency of an answered call, and credit the budget.

    ``ratio`` is the fraction of such calls that their rule allows to be hedged; the default is
    the budget's own.
    """
    credit_attempts(state.budget, ratio)
    step_s = state.quantile_s * STEP_RATIO
    if latency_s > state.quantile_s:
        state.quantile_s += step_s * QUANTILE
    else:
        state.quantile_s = max(1e-4, state.quantile_s - step_s * (1.0 - QUANTILE))


def get_hedge_delay(state: HedgeState) -> float:
    """Return the time to wait for an answer before a hedge is sent, in seconds."""
    return state.quantile_s


def try_hedge(state: HedgeState, idempotent: bool, nested: bool) -> bool:
    """Return whether to send a hedge for this call now, and charge the budget if so.

    The caller of this function cancels the slower attempt.
    """
    return idempotent and not nested and spend_attempt(state.budget)
