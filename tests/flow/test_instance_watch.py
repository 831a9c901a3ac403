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


def make_heartbeat(**changes):
    return dataclasses.replace(FIRST, **changes)


def make_watch(*reports):
    watch = InstanceWatch()
    for report in reports:
        take_heartbeat(watch, 0.0, report)
    return watch


def test_a_late_report_never_makes_a_draining_server_ready_again():
    watch = make_watch(FIRST, make_heartbeat(sequence=5, state=InstanceState.DRAINING))
    assert not take_heartbeat(watch, 0.1, make_heartbeat(sequence=4))
    assert not take_heartbeat(watch, 0.1, make_heartbeat(sequence=6))
    assert not is_ready(watch)


def test_reports_of_a_departed_server_are_ignored():
    watch = make_watch(FIRST)
    assert take_departure(watch, Departure(FIRST.instance, 1000))
    assert not take_heartbeat(watch, 0.1, make_heartbeat(sequence=9))
    assert watch.current is None


def test_a_departure_without_a_start_time_is_accepted():
    watch = make_watch(FIRST)
    assert take_departure(watch, Departure(FIRST.instance))
    assert not take_heartbeat(watch, 0.1, make_heartbeat(sequence=9))


def test_a_server_that_starts_again_under_its_name_is_ready():
    watch = make_watch(FIRST)
    take_departure(watch, Departure(FIRST.instance, 1000))
    assert take_heartbeat(watch, 0.1, make_heartbeat(born_ms=2000))
    assert is_ready(watch)


def test_a_late_departure_of_an_earlier_start_does_not_end_the_current_one():
    watch = make_watch(make_heartbeat(born_ms=2000))
    assert not take_departure(watch, Departure(FIRST.instance, 1000))
    assert is_ready(watch)


def test_a_delayed_report_of_a_replaced_server_is_ignored():
    watch = make_watch(FIRST, make_heartbeat(instance=InstanceId("i-2"), born_ms=2000))
    assert not take_heartbeat(watch, 0.1, make_heartbeat(sequence=7))
    assert watch.current.instance == "i-2"


def test_a_start_with_an_earlier_clock_is_accepted_after_the_heartbeat_timeout():
    watch = make_watch(make_heartbeat(born_ms=9000))
    other = make_heartbeat(instance=InstanceId("i-2"), born_ms=4000)
    assert not take_heartbeat(watch, 1.0, other)
    assert take_heartbeat(watch, 6.0, other)


@pytest.mark.parametrize("late", range(1, 4))
def test_reports_out_of_order_keep_the_newest(late):
    watch = make_watch(FIRST, make_heartbeat(sequence=3, slots=9))
    assert not take_heartbeat(watch, 0.1, make_heartbeat(sequence=late))
    assert watch.current.slots == 9


@given(st.permutations(range(1, 8)))
def test_reports_of_one_start_end_with_the_newest_in_any_order(order):
    watch = InstanceWatch()
    for sequence in order:
        state = InstanceState.DRAINING if sequence >= 5 else InstanceState.READY
        take_heartbeat(watch, 0.0, make_heartbeat(sequence=sequence, state=state))
    assert watch.current.sequence == 7
    assert not is_ready(watch)
