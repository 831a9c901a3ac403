import pytest
from hypothesis import given
from hypothesis import strategies as st
from ragwort_flow import (
    ColdState,
    expect_cold,
    is_limited,
    make_cold_limit,
    make_unconfigured_limit,
    record_statement,
    set_cold_limit,
)
from ragwort_flow._cold_start import (
    estimate_cold_wait,
    has_cold_token,
    record_cold_start,
    take_cold_token,
)


def make_cold_state(calls_per_s=10.0, slack=8.0, cold_s=60.0):
    state = ColdState()
    set_cold_limit(state, 0.0, make_cold_limit(4.0, calls_per_s, 1.5, slack))
    record_statement(state, 0.0, cold_s)
    return state


@given(
    st.floats(0.5, 200.0),
    st.floats(0.0, 20.0),
    st.lists(st.tuples(st.floats(0.0, 0.5), st.sampled_from([0.0, 5.0])), max_size=120),
)
def test_no_second_holds_more_calls_than_a_cold_server_may_get(calls_per_s, slack, steps):
    state = make_cold_state(calls_per_s, slack, cold_s=5.0)
    now, starts = 0.0, []
    for gap, extension_s in steps:
        now += gap
        if extension_s:
            record_statement(state, now, extension_s)
        while is_limited(state, now) and has_cold_token(state, now):
            take_cold_token(state, now)
            starts.append(now)
    for first in starts:
        in_window = sum(first <= at < first + 1.0 for at in starts)
        assert in_window <= calls_per_s * 1.5 + max(1.0, slack) + 1e-6


def test_a_server_that_turns_cold_gets_nothing_at_first_and_no_limit_after_the_end():
    state = make_cold_state(cold_s=2.0)
    assert not has_cold_token(state, 0.05) and has_cold_token(state, 0.11)
    assert estimate_cold_wait(state, 0.0, 3) == pytest.approx(0.3)
    assert estimate_cold_wait(state, 1.9, 100) == pytest.approx(0.1)
    assert has_cold_token(state, 2.0) and estimate_cold_wait(state, 2.0, 100) == 0.0
    # A bucket that were not emptied would add the calls before it to those that it holds.
    record_statement(state, 3.0, 1.0)
    assert not has_cold_token(state, 3.0)


def test_a_new_server_is_cold_for_the_configured_time_unless_it_states_another():
    state = ColdState()
    record_cold_start(state, 0.0)
    assert not is_limited(state, 0.1)
    set_cold_limit(state, 0.2, make_cold_limit(4.0, 10.0, 1.5, 8.0))
    assert is_limited(state, 3.9) and not is_limited(state, 4.0)
    record_statement(state, 1.0, 0.5)
    assert is_limited(state, 1.4) and not is_limited(state, 1.6)


def test_a_server_that_is_expected_to_be_cold_is_limited_until_it_states_otherwise():
    state = make_cold_state(cold_s=0.0)
    expect_cold(state, 1.0)
    assert is_limited(state, 1e6)
    record_statement(state, 2.0, 0.0)
    assert not is_limited(state, 2.0)


def test_a_cold_server_gets_next_to_nothing_before_its_rate_is_known():
    state = ColdState()
    set_cold_limit(state, 0.0, make_unconfigured_limit())
    record_cold_start(state, 0.0)
    assert not has_cold_token(state, 1.0)
    set_cold_limit(state, 1.0, make_cold_limit(4.0, 10.0, 1.5, 8.0))
    assert has_cold_token(state, 1.1) and is_limited(state, 3.9) and not is_limited(state, 4.0)
