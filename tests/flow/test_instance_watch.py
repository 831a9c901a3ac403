import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st
from ragwort_common import ServiceName
from ragwort_flow import InstanceWatch, is_ready, take_departure, take_heartbeat
from ragwort_model import Departure, Heartbeat, InstanceId, InstanceState

FIRST = Heartbeat(
    InstanceId("i-1"), 1000, 1, ServiceName("s"), "10.0.0.1:80", InstanceState.READY, 4, 0.0
)


def beat(**changes):
    return dataclasses.replace(FIRST, **changes)


def watch_of(*reports):
    watch = InstanceWatch()
    for report in reports:
        take_heartbeat(watch, 0.0, report)
    return watch


def test_a_late_report_never_makes_a_leaving_server_ready_again():
    watch = watch_of(FIRST, beat(sequence=5, state=InstanceState.DRAINING))
    assert not take_heartbeat(watch, 0.1, beat(sequence=4))
    assert not take_heartbeat(watch, 0.1, beat(sequence=6))
    assert not is_ready(watch)


def test_nothing_that_a_departed_server_said_counts():
    watch = watch_of(FIRST)
    assert take_departure(watch, Departure(FIRST.instance, 1000))
    assert not take_heartbeat(watch, 0.1, beat(sequence=9))
    assert watch.current is None


def test_a_departure_without_a_start_binds_too():
    watch = watch_of(FIRST)
    assert take_departure(watch, Departure(FIRST.instance))
    assert not take_heartbeat(watch, 0.1, beat(sequence=9))


def test_a_server_that_starts_again_under_its_name_is_ready():
    watch = watch_of(FIRST)
    take_departure(watch, Departure(FIRST.instance, 1000))
    assert take_heartbeat(watch, 0.1, beat(born_ms=2000))
    assert is_ready(watch)


def test_a_late_departure_of_an_earlier_start_does_not_end_the_present_one():
    watch = watch_of(beat(born_ms=2000))
    assert not take_departure(watch, Departure(FIRST.instance, 1000))
    assert is_ready(watch)


def test_a_delayed_report_of_a_replaced_server_is_ignored():
    watch = watch_of(FIRST, beat(instance=InstanceId("i-2"), born_ms=2000))
    assert not take_heartbeat(watch, 0.1, beat(sequence=7))
    assert watch.current.instance == "i-2"


def test_a_start_whose_clock_was_set_back_counts_once_the_other_is_silent():
    watch = watch_of(beat(born_ms=9000))
    other = beat(instance=InstanceId("i-2"), born_ms=4000)
    assert not take_heartbeat(watch, 1.0, other)
    assert take_heartbeat(watch, 6.0, other)


@pytest.mark.parametrize("late", range(1, 4))
def test_reports_out_of_order_keep_the_newest(late):
    watch = watch_of(FIRST, beat(sequence=3, slots=9))
    assert not take_heartbeat(watch, 0.1, beat(sequence=late))
    assert watch.current.slots == 9


@given(st.permutations(range(1, 8)))
def test_any_order_of_one_starts_reports_ends_with_the_newest(order):
    watch = InstanceWatch()
    for sequence in order:
        state = InstanceState.DRAINING if sequence >= 5 else InstanceState.READY
        take_heartbeat(watch, 0.0, beat(sequence=sequence, state=state))
    assert watch.current.sequence == 7
    assert not is_ready(watch)
