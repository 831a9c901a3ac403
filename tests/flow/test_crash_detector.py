"""The calls that a server was running when it crashed."""

from ragwort_flow import (
    CrashDetector,
    RunningCall,
    record_accepted_connection,
    record_broken_connection,
    record_end,
    record_refused_connection,
    record_server_report,
    record_start,
    record_withdrawal,
)


def get_names(calls):
    return [call.call_id for call in calls]


def make_detector(*calls):
    detector = CrashDetector(lambda name: RunningCall(name, []))
    for number, call in enumerate(calls):
        record_start(detector, number, call)
    return detector


def test_every_call_that_ran_at_the_first_broken_connection_is_named():
    detector = make_detector("a", "b", "c")
    checks = []
    for number in range(3):
        checks.append(record_broken_connection(detector, 1.0))
        record_end(detector, number)
    assert checks == [True, False, False]
    assert get_names(record_refused_connection(detector)) == ["c", "b", "a"]


def test_a_crash_is_reported_once_although_more_connections_break_later():
    detector = make_detector("a", "b")
    record_broken_connection(detector, 1.0)
    record_end(detector, 0)
    assert get_names(record_refused_connection(detector)) == ["b", "a"]
    assert not record_broken_connection(detector, 1.1)
    assert record_refused_connection(detector) == []
    assert record_server_report(detector, is_new_start=True) == []


def test_the_next_crash_is_found_after_the_server_is_back():
    detector = make_detector("a")
    record_broken_connection(detector, 1.0)
    record_end(detector, 0)
    record_refused_connection(detector)
    record_server_report(detector, is_new_start=True)
    record_start(detector, 1, "b")
    assert record_broken_connection(detector, 5.0)
    assert get_names(record_refused_connection(detector)) == ["b"]


def test_a_server_that_is_back_before_the_check_has_crashed():
    detector = make_detector("a")
    record_broken_connection(detector, 1.0)
    record_end(detector, 0)
    record_accepted_connection(detector)
    assert get_names(record_server_report(detector, is_new_start=True)) == ["a"]


def test_a_call_whose_caller_left_a_moment_before_is_named():
    detector = make_detector("left long ago", "left", "a")
    record_withdrawal(detector, 1.0, 0)
    record_withdrawal(detector, 8.5, 1)
    record_broken_connection(detector, 9.0)
    assert get_names(record_refused_connection(detector)) == ["a", "left"]


def test_connections_that_break_while_the_server_runs_accuse_no_call():
    detector = make_detector("a", "b")
    record_broken_connection(detector, 1.0)
    record_end(detector, 0)
    record_accepted_connection(detector)
    assert record_server_report(detector, is_new_start=False) == []
    assert record_server_report(detector, is_new_start=True) == []


def test_calls_that_ended_before_the_crash_are_not_named():
    detector = make_detector("a", "b")
    record_broken_connection(detector, 1.0)
    record_end(detector, 0)
    record_accepted_connection(detector)
    record_server_report(detector, is_new_start=False)
    assert record_broken_connection(detector, 2.0)
    assert get_names(record_refused_connection(detector)) == ["b"]


def test_a_report_that_overtakes_the_check_does_not_dismiss_the_crash():
    detector = make_detector("a")
    record_broken_connection(detector, 1.0)
    record_server_report(detector, is_new_start=False)
    assert get_names(record_refused_connection(detector)) == ["a"]


def test_the_cause_is_named_although_the_port_accepts_calls_for_the_ended_server():
    detector = make_detector("cause")
    record_broken_connection(detector, 1.0)
    record_end(detector, 0)
    record_accepted_connection(detector)
    record_start(detector, 1, "later")
    record_broken_connection(detector, 2.0)
    record_end(detector, 1)
    record_accepted_connection(detector)
    assert get_names(record_server_report(detector, is_new_start=True)) == ["cause", "later"]
