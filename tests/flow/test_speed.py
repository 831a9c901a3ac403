import pytest
from ragwort_flow import (
    SpeedState,
    expect_factor,
    gains_by_asking,
    gains_by_waiting,
    is_slowed,
    note_unanswered,
    state_speed,
)


def make_speed(*stated):
    state = SpeedState()
    for now, slowdown in stated:
        state_speed(state, now, slowdown)
    return state


def test_the_usual_slowdown_is_the_average_over_time():
    state = SpeedState()
    now = 0.0
    for _ in range(2000):
        state_speed(state, now, 5.0)
        now += 0.05
        state_speed(state, now, 1.0)
        now += 0.15
    assert state.usual == pytest.approx(2.0, abs=0.3)


def test_a_slowed_host_is_known_by_its_best_of_late():
    assert is_slowed(make_speed((0.0, 1.0), (0.1, 5.0)), 0.1)
    assert not is_slowed(make_speed((0.0, 1.0), (0.1, 1.2)), 0.1)
    # A host's first report is compared with the initial mean slowdown.
    assert is_slowed(make_speed((0.0, 5.0)), 0.0)


def test_an_old_statement_holds_no_call_back():
    state = make_speed((0.0, 1.0), (0.1, 5.0))
    assert gains_by_waiting(state, 0.2, 0.1)
    assert not gains_by_waiting(state, 0.3, 0.1)


def test_a_host_that_is_slow_itself_is_no_longer_held_against_its_better_days():
    state = make_speed((0.0, 1.0))
    for step in range(1, 100):
        state_speed(state, step * 0.1, 4.0)
    assert not is_slowed(state, 9.9)
    # A slowdown by noisy neighbours is still detected on top of that.
    state_speed(state, 10.0, 20.0)
    assert is_slowed(state, 10.0)


def test_asking_pays_for_long_calls_and_old_statements():
    state = make_speed((0.0, 1.0))
    assert not gains_by_asking(state, 0.01, 0.1)
    assert gains_by_asking(state, 0.1, 0.1)
    assert not gains_by_asking(state, 0.1, 0.01)
    note_unanswered(state, 0.1)
    assert not gains_by_asking(state, 0.11, 0.1)


def test_asking_does_not_pay_at_a_host_without_noisy_neighbours():
    state = SpeedState()
    for step in range(400):
        state_speed(state, step * 0.1, 1.0)
    assert not gains_by_asking(state, 60.0, 0.2)


def test_what_is_expected_moves_from_the_stated_to_the_usual():
    state = make_speed((0.0, 1.0))
    assert expect_factor(state, 0.0) == 1.0
    assert 1.0 < expect_factor(state, 0.075) < expect_factor(state, 0.15)
    assert expect_factor(state, 9.0) == state.usual
