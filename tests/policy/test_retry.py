from hypothesis import given
from hypothesis import strategies as st
from ragwort_common import Outcome, Reason
from ragwort_policy import Attempt, AttemptBudget, credit_attempts, is_repeatable, try_retry
from ragwort_policy._hedge import get_hedge_delay, make_hedge_state, record_latency, try_hedge
from ragwort_policy._retry import BURST_CALLS, MAX_ATTEMPTS, RETRY_RATIO

attempts = st.builds(
    Attempt,
    outcome=st.sampled_from(Outcome),
    reason=st.sampled_from(Reason),
    idempotent=st.booleans(),
    nested=st.booleans(),
    number=st.integers(1, 4),
)


@given(attempts)
def test_nothing_is_repeated_after_a_possible_run_unless_a_rule_allows_it(attempt):
    if not is_repeatable(attempt):
        return
    assert attempt.outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN)
    if attempt.outcome is Outcome.UNKNOWN:
        assert attempt.idempotent and not attempt.nested
    assert attempt.number < MAX_ATTEMPTS
    assert attempt.reason not in (Reason.DEADLINE, Reason.CANCELLED)


def test_a_refusal_for_load_is_repeatable():
    assert is_repeatable(Attempt(Outcome.NOT_RUN, Reason.OVERLOADED, False, True, 1))


@given(st.lists(st.integers(0, 5), max_size=400))
def test_attempts_stay_within_the_budget_whatever_fails(failures):
    budget, sent, calls = AttemptBudget(), 0, 0
    for failing in failures:
        credit_attempts(budget)
        calls += 1
        sent += 1
        number = 1
        while number <= failing and try_retry(
            budget, Attempt(Outcome.NOT_RUN, Reason.CONNECT_FAILED, False, False, number)
        ):
            sent += 1
            number += 1
    assert sent <= calls * (1.0 + RETRY_RATIO) + BURST_CALLS + 1e-6
    assert calls < 400 or sent <= calls * 1.1


def _call_chain(depth, outcome, reason, budgets, sent):
    """Model a server at each depth that calls the next one and fails when that call fails."""
    credit_attempts(budgets[depth])
    number = 0
    while True:
        number += 1
        sent[depth] += 1
        if depth == len(budgets) - 1:
            ended, why = outcome, reason
        else:
            inner = _call_chain(depth + 1, outcome, reason, budgets, sent)
            ended = inner if inner is Outcome.ANSWERED else Outcome.FAILED
            why = Reason.NONE
        attempt = Attempt(ended, why, True, depth > 0, number)
        if ended is Outcome.ANSWERED or not try_retry(budgets[depth], attempt):
            return ended


def test_attempts_do_not_multiply_over_a_chain_of_seventeen_calls():
    for outcome, reason, extra in (
        (Outcome.NOT_RUN, Reason.OVERLOADED, MAX_ATTEMPTS - 1),
        (Outcome.UNKNOWN, Reason.CONNECTION_LOST, 0),
        (Outcome.FAILED, Reason.NONE, 0),
    ):
        sent = [0] * 17
        _call_chain(0, outcome, reason, [AttemptBudget() for _ in sent], sent)
        assert sum(sent) == 17 + extra


@given(st.lists(st.booleans(), min_size=1, max_size=500))
def test_hedges_stay_within_their_own_budget(slow):
    hedge, sent = make_hedge_state(0.02), 0
    for _ in slow:
        record_latency(hedge, 0.02)
        sent += try_hedge(hedge, idempotent=True, nested=False)
    assert sent <= len(slow) * 0.02 + 2.0


def test_only_outermost_idempotent_calls_are_hedged():
    assert not try_hedge(make_hedge_state(0.02), idempotent=False, nested=False)
    assert not try_hedge(make_hedge_state(0.02), idempotent=True, nested=True)
    assert try_hedge(make_hedge_state(0.02), idempotent=True, nested=False)


def test_the_hedge_waits_for_a_high_quantile_of_latency():
    hedge = make_hedge_state(0.5)
    latencies = [0.001 * (1 + number * 37 % 100) for number in range(3000)]
    for latency in latencies:
        record_latency(hedge, latency)
    assert 0.085 < get_hedge_delay(hedge) <= 0.105
