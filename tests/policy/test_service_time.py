import pytest
from ragwort_policy._service_time import (
    add_call,
    advance_time,
    end_call,
    estimate_time,
    make_service_time,
)


def _run_steadily(time, now, calls, service_s, in_flight=4):
    for _ in range(calls):
        while time.in_flight < in_flight:
            add_call(time, now)
        now += service_s / in_flight
        end_call(time, now)
    return now


def test_the_estimate_converges_to_the_time_of_the_calls():
    time = make_service_time(0.1, 0.0)
    now = _run_steadily(time, 0.0, 200, 0.02)
    assert estimate_time(time, now) == pytest.approx(0.02, rel=0.15)


def test_a_stall_shows_before_any_call_ends_and_idle_time_changes_nothing():
    time = make_service_time(0.02, 0.0)
    now = _run_steadily(time, 0.0, 100, 0.02)
    while time.in_flight < 4:
        add_call(time, now)
    assert estimate_time(time, now + 0.08) > 0.03
    for _ in range(4):
        end_call(time, now + 0.08, counts=False)
    settled = estimate_time(time, now + 0.08)
    advance_time(time, now + 100.0)
    assert estimate_time(time, now + 100.0) == settled


def test_a_recovery_shows_within_a_few_tens_of_calls():
    time = make_service_time(0.02, 0.0)
    now = _run_steadily(time, 0.0, 100, 0.2)
    now = _run_steadily(time, now, 40, 0.02)
    assert estimate_time(time, now) < 0.06
