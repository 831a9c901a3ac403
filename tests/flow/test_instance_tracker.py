import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st
from ragwort_common import ServiceName
from ragwort_flow import (
    InstanceTracker,
    is_ready,
    process_departure,
    process_heartbeat,
    record_leaving,
)
from ragwort_flow._instance_tracker import MAX_INSTANCES
from ragwort_model import Departure, Heartbeat, InstanceId, InstanceState, Leaving

FIRST = Heartbeat(
    InstanceId("i-1"), 1000, 1, ServiceName("s"), "10.0.0.1:80", InstanceState.READY, 4, 0.0
)


def make_heartbeat(**changes):
    return dataclasses.replace(FIRST, **changes)


def make_tracker(*reports):
    tracker = InstanceTracker()
    for report in reports:
        process_heartbeat(tracker, 0.0, report)
    return tracker


def test_a_late_report_never_makes_a_draining_server_ready_again():
    tracker = make_tracker(FIRST, make_heartbeat(sequence=5, state=InstanceState.DRAINING))
    assert not process_heartbeat(tracker, 0.1, make_heartbeat(sequence=4))
    assert not process_heartbeat(tracker, 0.1, make_heartbeat(sequence=6))
    assert not is_ready(tracker)


def test_reports_of_a_departed_server_are_ignored():
    tracker = make_tracker(FIRST)
    assert process_departure(tracker, Departure(FIRST.instance, 1000))
    assert not process_heartbeat(tracker, 0.1, make_heartbeat(sequence=9))
    assert tracker.current is None


def test_a_departure_without_a_start_time_is_accepted():
    tracker = make_tracker(FIRST)
    assert process_departure(tracker, Departure(FIRST.instance))
    assert not process_heartbeat(tracker, 0.1, make_heartbeat(sequence=9))


def test_a_server_that_starts_again_under_its_name_is_ready():
    tracker = make_tracker(FIRST)
    process_departure(tracker, Departure(FIRST.instance, 1000))
    assert process_heartbeat(tracker, 0.1, make_heartbeat(born_ms=2000))
    assert is_ready(tracker)


def test_a_late_departure_of_an_earlier_start_does_not_end_the_current_one():
    tracker = make_tracker(make_heartbeat(born_ms=2000))
    assert not process_departure(tracker, Departure(FIRST.instance, 1000))
    assert is_ready(tracker)


def test_a_delayed_report_of_a_replaced_server_is_ignored():
    tracker = make_tracker(FIRST, make_heartbeat(instance=InstanceId("i-2"), born_ms=2000))
    assert not process_heartbeat(tracker, 0.1, make_heartbeat(sequence=7))
    assert tracker.current.instance == "i-2"


def test_a_start_with_an_earlier_clock_is_accepted_after_the_heartbeat_timeout():
    tracker = make_tracker(make_heartbeat(born_ms=9000))
    other = make_heartbeat(instance=InstanceId("i-2"), born_ms=4000)
    assert not process_heartbeat(tracker, 1.0, other)
    assert process_heartbeat(tracker, 6.0, other)


@pytest.mark.parametrize("late", range(1, 4))
def test_reports_out_of_order_keep_the_newest(late):
    tracker = make_tracker(FIRST, make_heartbeat(sequence=3, slots=9))
    assert not process_heartbeat(tracker, 0.1, make_heartbeat(sequence=late))
    assert tracker.current.slots == 9


@given(st.permutations(range(1, 8)))
def test_reports_of_one_start_end_with_the_newest_in_any_order(order):
    tracker = InstanceTracker()
    for sequence in order:
        state = InstanceState.DRAINING if sequence >= 5 else InstanceState.READY
        process_heartbeat(tracker, 0.0, make_heartbeat(sequence=sequence, state=state))
    assert tracker.current.sequence == 7
    assert not is_ready(tracker)


def test_notice_of_leaving_holds_for_the_instance_that_gave_it():
    tracker = make_tracker(FIRST)
    record_leaving(tracker, Leaving(InstanceId("i-0"), FIRST.born_ms, 0, False))
    assert is_ready(tracker)
    record_leaving(tracker, Leaving(FIRST.instance, FIRST.born_ms, 0, False))
    assert not is_ready(tracker)
    assert not process_heartbeat(tracker, 0.1, make_heartbeat(sequence=2))
    assert process_heartbeat(tracker, 0.2, make_heartbeat(instance="i-2", born_ms=2000))
    assert is_ready(tracker)


@pytest.mark.parametrize("has_left", [True, False])
def test_report_from_before_a_departure_that_an_earlier_process_acknowledged_is_ignored(has_left):
    tracker = InstanceTracker()
    record_leaving(tracker, Leaving(FIRST.instance, FIRST.born_ms, 0, has_left))
    assert not process_heartbeat(tracker, 0.0, FIRST)
    assert process_heartbeat(tracker, 0.0, make_heartbeat(born_ms=FIRST.born_ms + 1))
    assert is_ready(tracker)


def test_departure_that_becomes_known_later_ends_the_use_of_that_start_only():
    for born_ms in (FIRST.born_ms, FIRST.born_ms - 1):
        tracker = make_tracker(FIRST)
        record_leaving(tracker, Leaving(FIRST.instance, born_ms, 0, True))
        assert is_ready(tracker) == (born_ms < FIRST.born_ms)


def test_reports_of_a_draining_server_count_after_the_restart_of_its_node():
    tracker = InstanceTracker()
    record_leaving(tracker, Leaving(FIRST.instance, FIRST.born_ms, 0, False))
    assert process_heartbeat(tracker, 0.0, make_heartbeat(state=InstanceState.DRAINING))
    assert tracker.current is not None
    assert not is_ready(tracker)


def test_number_of_departed_instances_is_bounded():
    tracker = InstanceTracker()
    for number in range(3 * MAX_INSTANCES):
        process_departure(tracker, Departure(InstanceId(f"i-{number}"), 1))
    assert len(tracker.departed) == MAX_INSTANCES
