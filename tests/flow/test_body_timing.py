"""When the bodies of waiting calls are asked for."""

import pytest
from ragwort_common import CallId
from ragwort_flow import (
    PendingCall,
    SchedulerState,
    TransferTimes,
    admit_call,
    complete_call,
    list_due,
    record_transfer,
    restart_call,
    update_server,
)


def make_busy_state(slots=4, waiting=40, service_s=0.2):
    """Return a scheduler whose slots are taken, with calls that wait, at 10 s."""
    state = SchedulerState()
    update_server(state, 0.0, slots, None, False)
    state.work.mean_s["u"] = service_s
    for number in range(slots + waiting):
        call = PendingCall(CallId(number), "u", 0, 1e6, 1e6, service_s)
        admit_call(state, 10.0, call)
    return state


@pytest.mark.parametrize(("transfer_s", "slots"), [(0.01, 4), (0.1, 4), (0.1, 8), (1.0, 8)])
def test_bodies_are_asked_for_of_the_calls_that_start_within_a_transfer(transfer_s, slots):
    state = make_busy_state(slots)
    due = list_due(state, 10.0, TransferTimes(transfer_s))
    starts = len(state.running) * transfer_s / 0.2
    assert starts <= len(due) <= min(len(state.waiting), 2 * starts + 1)
    assert due == [call.call_id for call in state.waiting[: len(due)]]


def test_no_body_is_asked_for_while_no_call_waits_and_the_first_one_always_is():
    assert list_due(SchedulerState(), 0.0, TransferTimes()) == []
    assert len(list_due(make_busy_state(), 10.0, TransferTimes(0.0))) == 1


def test_transfer_times_are_averaged():
    times = TransferTimes(0.1)
    for _ in range(20):
        record_transfer(times, 0.5)
    assert times.mean_s == pytest.approx(0.5, abs=0.01)


def test_time_of_a_transfer_is_not_taken_for_work_of_the_server():
    state = make_busy_state()
    call_id = next(iter(state.running))
    restart_call(state, 13.0, call_id)
    complete_call(state, 13.2, call_id, succeeded=True)
    assert state.work.mean_s["u"] == pytest.approx(0.2, rel=0.05)
    restart_call(state, 14.0, CallId(10_000))
