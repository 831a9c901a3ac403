import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from ragwort_common import CallId, Reason
from ragwort_flow import (
    FULL_SLOWDOWN,
    MIN_CALLS_ABOVE_KNEE,
    MIN_CALLS_BELOW_KNEE,
    PendingCall,
    SchedulerState,
    Verdict,
    admit_call,
    build_load_report,
    cancel_call,
    complete_call,
    limit_rate,
    needs_probe,
    record_reported_slowdown,
    record_unanswered_probe,
    record_work,
    review_waiting,
    stop_accepting,
    update_server,
)
from ragwort_flow._speed import INITIAL_SLOWED_S, MAX_DEFERRALS


def make_state(slots=2, work_s=0.1):
    state = SchedulerState()
    state.knee.calls_below = MIN_CALLS_BELOW_KNEE
    update_server(state, 0.0, slots, 0.0)
    for kind in ("a", "b"):
        record_work(state.work, kind, work_s)
    return state


def make_pending_call(number, now=0.0, rank=1, objective_s=1.0, deadline_s=2.0, kind="a"):
    return PendingCall(CallId(number), kind, rank, now + objective_s, now + deadline_s, 0.1)


def fill(state, count=None):
    for number in range(count or state.limit):
        assert admit_call(state, 0.0, make_pending_call(1000 + number)).verdict is Verdict.RUN


def test_calls_run_up_to_the_limit_and_then_wait():
    state = make_state()
    fill(state)
    assert admit_call(state, 0.0, make_pending_call(1)).verdict is Verdict.QUEUED
    assert complete_call(state, 0.1, CallId(1000), True).started == [1]


def test_a_call_that_would_be_late_is_refused_at_once_with_a_retry_delay():
    state = make_state()
    fill(state)
    for number in range(1, 40):
        decision = admit_call(state, 0.0, make_pending_call(number, objective_s=0.3))
        if decision.verdict is Verdict.REFUSED:
            break
    assert decision.reason is Reason.OVERLOADED
    assert 50 <= decision.retry_after_ms <= 500
    assert number < 10


def test_calls_beyond_the_rate_of_a_server_wait_or_are_refused_at_once():
    state = make_state(slots=10)
    limit_rate(state, 0.0, 10.0)
    verdicts = [admit_call(state, 1.0, make_pending_call(n, now=1.0)).verdict for n in range(5)]
    assert verdicts == [Verdict.RUN] * 5
    waiting = admit_call(state, 1.0, make_pending_call(5, now=1.0))
    refused = admit_call(state, 1.0, make_pending_call(6, now=1.0, objective_s=0.15))
    assert waiting.verdict is Verdict.QUEUED
    assert refused.verdict is Verdict.REFUSED
    assert 100 <= refused.retry_after_ms <= 300
    assert review_waiting(state, 1.05).started == []
    assert review_waiting(state, 1.11).started == [5]


def test_report_of_a_server_with_a_limited_rate_states_what_it_can_run():
    state = make_state(slots=10, work_s=0.1)
    limit_rate(state, 0.0, 20.0)
    assert build_load_report(state, 1.0).limit == 2
    limit_rate(state, 3.0, None)
    assert build_load_report(state, 3.0).limit == state.limit


def test_calls_start_by_latest_start_time_while_all_can_be_in_time():
    state = make_state()
    fill(state)
    admit_call(state, 0.0, make_pending_call(1, rank=2, objective_s=0.8))
    admit_call(state, 0.0, make_pending_call(2, rank=2, objective_s=0.5))
    admit_call(state, 0.0, make_pending_call(3, rank=1, objective_s=0.9))
    assert complete_call(state, 0.1, CallId(1000), True).started == [2]
    assert complete_call(state, 0.1, CallId(1001), True).started == [1]
    assert complete_call(state, 0.2, CallId(2), True).started == [3]


# Ranks of customers are in the thousands; see ``RANKS_PER_CUSTOMER``.
RANKS = pytest.mark.parametrize(("urgent", "other"), [(1, 2), (2, 1000), (1999, 999_999_000)])


@RANKS
def test_calls_start_by_priority_and_then_by_latest_start_time_when_some_will_be_late(
    urgent, other
):
    state = make_state()
    fill(state)
    admit_call(state, 0.0, make_pending_call(1, rank=other, objective_s=0.30))
    admit_call(state, 0.0, make_pending_call(2, rank=other, objective_s=0.25))
    admit_call(state, 0.0, make_pending_call(3, rank=urgent, objective_s=0.28))
    assert complete_call(state, 0.1, CallId(1000), True).started == [3]
    assert complete_call(state, 0.1, CallId(1001), True).started == [2]
    assert complete_call(state, 0.15, CallId(3), True).started == [1]


def test_a_call_that_will_be_late_yields_to_those_that_can_be_in_time():
    state = make_state(work_s=0.02)
    fill(state)
    assert admit_call(state, 0.0, make_pending_call(1, objective_s=0.0)).verdict is Verdict.QUEUED
    assert admit_call(state, 0.0, make_pending_call(2, objective_s=0.2)).verdict is Verdict.QUEUED
    assert complete_call(state, 0.01, CallId(1000), True).started == [2]
    assert complete_call(state, 0.02, CallId(1001), True).started == [1]


def test_a_leaving_server_starts_no_calls_and_waiting_ones_are_refused():
    state = make_state()
    fill(state)
    admit_call(state, 0.0, make_pending_call(1))
    result = stop_accepting(state)
    assert [call_id for call_id, _ in result.refused] == [1]
    assert result.refused[0][1].reason is Reason.LEAVING
    assert admit_call(state, 0.0, make_pending_call(2)).reason is Reason.LEAVING
    assert complete_call(state, 0.1, CallId(1000), True).started == []


def test_a_waiting_call_is_refused_as_soon_as_its_deadline_cannot_be_met():
    state = make_state()
    fill(state)
    admit_call(state, 0.0, make_pending_call(1, objective_s=0.5, deadline_s=0.5))
    assert review_waiting(state, 0.01).refused == []
    # The running calls hang, so the estimated wait grows.
    refused = review_waiting(state, 0.4).refused
    assert [call_id for call_id, _ in refused] == [1]


def test_a_withdrawn_call_frees_its_slot_for_the_next():
    state = make_state()
    fill(state)
    admit_call(state, 0.0, make_pending_call(1))
    admit_call(state, 0.0, make_pending_call(2))
    assert cancel_call(state, 0.0, CallId(1)).started == []
    assert cancel_call(state, 0.0, CallId(1000)).started == [2]


def make_noisy(now, *slowdowns):
    """Return the state of a server that has reported these slowdowns, the last one now."""
    state = make_state(slots=4)
    for index, slowdown in enumerate(slowdowns):
        record_reported_slowdown(state, now - 0.01 * (len(slowdowns) - 1 - index), slowdown)
    return state


def test_a_call_does_not_start_while_neighbours_slow_its_host_down():
    state = make_noisy(1.0, 1.0, 5.0)
    assert admit_call(state, 1.0, make_pending_call(1, 1.0)).verdict is Verdict.QUEUED
    assert review_waiting(state, 1.01).started == []
    record_reported_slowdown(state, 1.05, 1.0)
    assert review_waiting(state, 1.05).started == [1]


def move(pending):
    return replace(pending, may_move=True)


def test_a_call_that_another_server_can_serve_is_given_back_by_a_slowed_host():
    state = make_noisy(1.0, 1.0, 5.0)
    decision = admit_call(state, 1.0, move(make_pending_call(1, 1.0)))
    assert (decision.verdict, decision.reason) == (Verdict.REFUSED, Reason.OVERLOADED)
    assert admit_call(state, 1.0, make_pending_call(2, 1.0)).verdict is Verdict.QUEUED


def test_a_waiting_call_is_given_back_when_a_probe_shows_that_the_host_is_slowed():
    state = make_noisy(1.0, 1.0)
    assert admit_call(state, 1.2, move(make_pending_call(1, 1.2))).verdict is Verdict.QUEUED
    assert needs_probe(state, 1.2)
    record_reported_slowdown(state, 1.201, 5.0)
    result = review_waiting(state, 1.201)
    assert [(number, decision.reason) for number, decision in result.refused] == [
        (1, Reason.OVERLOADED)
    ]
    assert not state.waiting


def test_a_call_is_given_back_by_a_crowded_server_only_if_it_would_be_late_there():
    state = make_state()
    fill(state)
    in_time = move(make_pending_call(1, objective_s=1.0))
    late = move(make_pending_call(2, rank=0, objective_s=0.12))
    assert admit_call(state, 0.0, in_time).verdict is Verdict.QUEUED
    assert admit_call(state, 0.0, late).verdict is Verdict.REFUSED


def test_a_small_call_starts_on_a_slowed_host_since_waiting_takes_longer():
    state = make_noisy(1.0, 1.0, 5.0)
    record_work(state.work, "small", 0.01)
    assert admit_call(state, 1.0, make_pending_call(1, 1.0)).verdict is Verdict.QUEUED
    assert admit_call(state, 1.0, make_pending_call(2, 1.0, kind="small")).verdict is Verdict.RUN


def test_calls_start_on_a_host_that_stays_slow():
    state = make_noisy(1.0, 1.0, 5.0)
    admit_call(state, 1.0, make_pending_call(1, 1.0))
    limit_s = MAX_DEFERRALS * INITIAL_SLOWED_S
    for step in range(1, 100):
        record_reported_slowdown(state, 1.0 + step / 100, 5.0)
        if review_waiting(state, 1.0 + step / 100).started:
            break
    assert limit_s - 0.05 <= step / 100 <= limit_s + 0.03


def test_a_server_is_probed_when_its_report_is_stale_and_a_call_waits_only_for_that():
    state = make_noisy(1.0, 1.0)
    assert admit_call(state, 1.2, make_pending_call(1, 1.2)).verdict is Verdict.QUEUED
    assert needs_probe(state, 1.2)
    record_reported_slowdown(state, 1.202, 1.0)
    assert not needs_probe(state, 1.202)
    assert review_waiting(state, 1.202).started == [1]


def test_an_unanswered_probe_does_not_delay_the_call():
    state = make_noisy(1.0, 1.0)
    admit_call(state, 1.2, make_pending_call(1, 1.2))
    record_unanswered_probe(state, 1.23)
    assert not needs_probe(state, 1.23)
    assert review_waiting(state, 1.23).started == [1]


def test_a_server_that_never_reports_its_slowdown_is_not_probed():
    state = make_state()
    assert admit_call(state, 9.0, make_pending_call(1, 9.0)).verdict is Verdict.RUN
    assert not needs_probe(state, 9.0)


def test_the_work_estimate_is_independent_of_the_slowdown_at_the_start():
    state = make_noisy(1.0, 1.0, 5.0)
    record_work(state.work, "small", 0.01)
    for number in range(100):
        now = 2.0 + number
        record_reported_slowdown(state, now, 5.0 if number % 2 else 1.0)
        pending = make_pending_call(number, now, objective_s=0.1, kind="small")
        if admit_call(state, now, pending).verdict is Verdict.RUN:
            complete_call(state, now + (0.1 if number % 2 else 0.02), pending.call_id, True)
    assert state.work.mean_s["small"] == pytest.approx(0.02, abs=0.003)


def run_calls(state, now, present, calls, knee_slowdown, source):
    """Keep a number of calls running on a server of ten slots; return when the last one ended."""
    number = int(now * 1e6)
    for _ in range(calls):
        while len(state.running) < min(present, state.limit):
            admit_call(state, now, make_pending_call(number, now, objective_s=9.0, deadline_s=9.0))
            number += 1
        full = max(0.0, len(state.running) / 10 - 0.8) / 0.2
        call_id = next(iter(state.running))
        took_s = 0.1 * (1.0 + (knee_slowdown - 1.0) * full) * source.uniform(0.8, 1.2)
        now = max(now, state.running[call_id].started + took_s)
        complete_call(state, now, call_id, True)
    return now


def run_saturated(knee_slowdown):
    """Run a server at low load and then at full load; return the resulting limit."""
    state = make_state(slots=10)
    state.knee.calls_below = 0
    source = random.Random(1)
    now = run_calls(state, 0.0, 3, 50, knee_slowdown, source)
    run_calls(state, now, 10, 400, knee_slowdown, source)
    return state.limit


def test_a_knee_is_detected_and_a_server_without_one_uses_all_slots():
    assert run_saturated(1.0) == 10
    assert run_saturated(1.7) == 8


def test_of_two_limits_with_the_same_throughput_the_lower_one_is_kept():
    # With seven slots, six concurrent calls take 1.2 times as long as five.
    state = make_state(slots=7)
    state.knee.calls_above, state.knee.slowdown = MIN_CALLS_ABOVE_KNEE, FULL_SLOWDOWN
    update_server(state, 0.0, 7, 0.0)
    assert state.limit == 5


@pytest.mark.parametrize("slots, limit", [(1, 1), (3, 3), (6, 5), (7, 6), (13, 11)])
def test_an_unknown_server_gets_the_minimax_limit(slots, limit):
    state = make_state(slots=slots)
    state.knee.calls_below = 0
    update_server(state, 0.0, slots, 0.0)
    assert state.limit == limit


def test_the_load_report_shows_a_full_server_and_failures():
    state = make_state()
    assert build_load_report(state, 0.0).wait_ms == 0
    fill(state)
    assert build_load_report(state, 0.0).wait_ms > 0
    for call_id in (CallId(1000), CallId(1001)):
        complete_call(state, 0.1, call_id, False)
    assert build_load_report(state, 0.1).failing_percent > 20


@given(st.lists(st.sampled_from(["offer", "urgent", "end", "fail", "withdraw", "review"])))
def test_no_step_runs_more_than_the_limit_or_loses_a_call(steps):
    state = make_state(slots=3)
    now, number = 0.0, 0
    open_calls = set()
    for step in steps:
        now += 0.03
        started, refused = [], []
        if step in ("offer", "urgent"):
            number += 1
            rank = 0 if step == "urgent" else 2
            verdict = admit_call(state, now, make_pending_call(number, now, rank)).verdict
            if verdict is not Verdict.REFUSED:
                open_calls.add(number)
        elif step == "review":
            result = review_waiting(state, now)
            started, refused = result.started, [call_id for call_id, _ in result.refused]
        elif state.running:
            call_id = next(iter(state.running))
            open_calls.discard(call_id)
            if step == "withdraw":
                started = cancel_call(state, now, call_id).started
            else:
                started = complete_call(state, now, call_id, step == "end").started
        open_calls -= set(refused)
        present = set(state.running) | {call.call_id for call in state.waiting}
        assert present == open_calls
        assert len(state.running) <= state.limit
        assert set(started) <= set(state.running)
        assert not state.waiting or len(state.running) == state.limit


def test_the_estimated_wait_is_never_negative():
    state = make_state()
    fill(state)
    assert build_load_report(state, -5.0).wait_ms >= 0
    assert build_load_report(state, 1e6).service_time_us == pytest.approx(100_000)


def test_a_new_server_keeps_the_minimax_limit_until_its_calls_are_known():
    state = make_state(slots=10)
    state.knee.calls_below = 0
    update_server(state, 0.0, 10, 0.0)
    assert state.limit == 9
    now = run_calls(state, 0.0, 8, MIN_CALLS_BELOW_KNEE, 1.7, random.Random(2))
    assert state.limit == 10
    run_calls(state, now, 10, 100, 1.7, random.Random(2))
    assert state.limit == 8


def test_a_server_is_expected_to_be_slow_during_its_cold_start():
    cold, warm = make_state(), make_state()
    update_server(cold, 0.0, 2, cold_s=3.0)
    for state in (cold, warm):
        fill(state)
    assert build_load_report(cold, 0.0).wait_ms > 1.8 * build_load_report(warm, 0.0).wait_ms
    assert build_load_report(cold, 4.0).slowdown_percent < 150


def test_the_cold_start_is_counted_once_when_the_server_states_its_slowdown():
    state = make_state()
    update_server(state, 0.0, 2, cold_s=3.0)
    assert build_load_report(state, 0.0).slowdown_percent == 200
    record_reported_slowdown(state, 0.1, 2.0)
    update_server(state, 0.2, 2, cold_s=2.8)
    assert build_load_report(state, 0.2).slowdown_percent == 200


def test_the_entry_nodes_estimate_is_used_for_an_unknown_kind():
    state = make_state()
    fill(state)
    long = PendingCall(CallId(1), "new", 1, 0.3, 2.0, default_work_s=0.5)
    short = PendingCall(CallId(2), "new", 1, 0.3, 2.0, default_work_s=0.01)
    assert admit_call(state, 0.0, long).verdict is Verdict.REFUSED
    assert admit_call(state, 0.0, short).verdict is Verdict.QUEUED


@RANKS
def test_high_priority_and_small_calls_are_served_late_rather_than_refused(urgent, other):
    state = make_state()
    record_work(state.work, "small", 0.01)
    fill(state)
    for number in range(1, 5):
        admit_call(
            state, 0.0, make_pending_call(number, rank=other, objective_s=9.0, deadline_s=9.0)
        )
    verdicts = [
        admit_call(state, 0.0, make_pending_call(10, rank=other, objective_s=0.05)).verdict,
        admit_call(state, 0.0, make_pending_call(11, rank=urgent, objective_s=0.05)).verdict,
        admit_call(
            state, 0.0, make_pending_call(12, rank=other, objective_s=0.05, kind="small")
        ).verdict,
    ]
    assert verdicts == [Verdict.REFUSED, Verdict.QUEUED, Verdict.QUEUED]


def test_the_failure_ratio_decays_over_time():
    state = make_state()
    fill(state)
    complete_call(state, 0.1, CallId(1000), False)
    assert build_load_report(state, 0.1).failing_percent == 15
    assert build_load_report(state, 9.0).failing_percent == 0


def test_a_kind_with_zero_expected_work_is_handled():
    state = make_state(slots=10)
    for number in range(10):
        pending = PendingCall(CallId(number), "nothing", 1, 1.0, 2.0, default_work_s=0.0)
        assert admit_call(state, 0.0, pending).verdict is Verdict.RUN
    for number in range(10):
        complete_call(state, 0.0, CallId(number), True)
    assert build_load_report(state, 0.0).in_flight == 0


def test_a_call_whose_deadline_passed_while_the_process_was_paused_is_not_started():
    state = make_state()
    fill(state)
    assert admit_call(state, 0.0, make_pending_call(1, deadline_s=2.0)).verdict is Verdict.QUEUED
    paused_until = 15.0
    started = complete_call(state, paused_until, CallId(1000), True).started
    if started:
        pytest.fail(f"calls {started} started 13 s after their deadline")
