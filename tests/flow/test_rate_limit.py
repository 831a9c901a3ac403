from hypothesis import given
from hypothesis import strategies as st
from ragwort_flow._rate_limit import (
    BURST_S,
    HOLD_S,
    RateLimit,
    estimate_token_wait,
    has_token,
    set_rate,
    take_token,
)


@given(
    st.floats(0.5, 200.0),
    st.lists(st.floats(0.0, 0.5), min_size=1, max_size=200),
    st.floats(0.1, 10.0),
)
def test_any_window_holds_the_rate_and_one_burst_at_most(calls_per_s, gaps, window_s):
    limit = RateLimit()
    set_rate(limit, 0.0, calls_per_s)
    now, starts = 0.0, []
    for gap in gaps:
        now += gap
        while has_token(limit, now):
            take_token(limit, now)
            starts.append(now)
    burst = max(1.0, calls_per_s * BURST_S)
    for first in starts:
        in_window = sum(first <= at < first + window_s for at in starts)
        assert in_window <= calls_per_s * window_s + burst + 1e-6


def test_wait_for_tokens_ends_when_they_are_there():
    limit = RateLimit()
    set_rate(limit, 0.0, 10.0)
    wait_s = estimate_token_wait(limit, 0.0, 3)
    assert wait_s == 0.3
    for _ in range(3):
        assert has_token(limit, 0.3 + 1e-9)
        take_token(limit, 0.3 + 1e-9)
    assert not has_token(limit, 0.3 + 1e-9)


def test_limit_that_ends_lets_all_calls_start():
    limit = RateLimit()
    set_rate(limit, 0.0, 1.0)
    assert not has_token(limit, 0.1)
    ended = HOLD_S + 0.1
    set_rate(limit, ended, None)
    assert has_token(limit, ended)
    assert estimate_token_wait(limit, ended, 100) == 0.0


def test_answer_without_the_rate_among_others_that_state_it_ends_no_limit():
    limit = RateLimit()
    for step in range(20):
        set_rate(limit, step * 0.1, 1.0)
        set_rate(limit, step * 0.1 + 0.05, None)
    assert limit.calls_per_s == 1.0


def test_lower_rate_keeps_what_was_already_used():
    limit = RateLimit()
    set_rate(limit, 0.0, 100.0)
    take_token(limit, 1.0)
    set_rate(limit, 1.0, 1.0)
    take_token(limit, 1.0)
    assert not has_token(limit, 1.0)
