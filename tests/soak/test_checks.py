"""Each soak check reports the violation that it covers, and accepts a correct record."""

from soak.callers import CallResult, VersionObservation
from soak.checks import (
    ServerEvent,
    check_answers,
    check_crashing_requests,
    check_drains,
    check_recovery,
    check_refusals,
    check_retry_budget,
    check_single_runs,
    check_unanswered,
    check_versions,
    read_events,
)


def make_result(call_id="c-1", status=200, **fields):
    result = CallResult(call_id, 0, 1, "lookup", 10.0, 10.1, status)
    result.signature = f"i-0-1.{call_id}"
    result.body, result.expected = b"i-0-1:x", b"x"
    for name, value in fields.items():
        setattr(result, name, value)
    return result


def make_run_event(call_id="c-1", at=10.0):
    return ServerEvent("i-0-1", at, "run", call_id)


def is_always_undisturbed(member, since, until):
    return True


def test_check_answers_reports_truncated_answer_and_answer_of_another_call():
    assert check_answers([make_result()]) == []
    assert check_answers([make_result(body=b"i-0-1:")])
    assert check_answers([make_result(signature="i-0-1.c-2")])
    assert check_answers([make_result(status=503, body=b"", signature="")]) == []


def test_check_refusals_reports_refused_call_that_ran_and_missing_retry_after():
    refused = make_result(status=503, signature="", retry_after="0.1")
    assert check_refusals([refused], []) == []
    assert check_refusals([refused], [make_run_event()])
    assert check_refusals([make_result(status=503, signature="")], [])


def test_check_single_runs_reports_second_run_of_non_idempotent_call_only():
    runs = [make_run_event(), make_run_event()]
    assert check_single_runs([make_result(service="confirm")], runs)
    assert check_single_runs([make_result()], runs) == []


def test_check_drains_reports_call_after_drain_time():
    events = [
        ServerEvent("i-0-1", 10.0, "leaving", ""),
        ServerEvent("i-0-1", 11.0, "arrive", "c-1"),
    ]
    assert check_drains(events, 1.5) == []
    assert check_drains([*events, ServerEvent("i-0-1", 11.6, "arrive", "c-2")], 1.5)


def test_check_unanswered_reports_only_undisturbed_nodes():
    for status in (0, -1):
        assert check_unanswered([make_result(status=status)], is_always_undisturbed)
        assert check_unanswered([make_result(status=status)], lambda *span: False) == []


def test_check_versions_reports_late_and_replaced_versions():
    accepted_versions = [(1, 0.0), (2, 10.0)]
    applied = VersionObservation(0, 1, 2, 10.5, has_route=True)
    assert check_versions([applied], accepted_versions, is_always_undisturbed) == []
    assert (
        check_versions(
            [VersionObservation(0, 1, 2, 12.0, False)], accepted_versions, is_always_undisturbed
        )
        == []
    )
    assert check_versions(
        [VersionObservation(0, 1, 2, 13.0, False)], accepted_versions, is_always_undisturbed
    )
    gone = VersionObservation(0, 1, 2, 11.0, has_route=False)
    assert check_versions([applied, gone], accepted_versions, is_always_undisturbed)
    # A restarted node may not have the version yet.
    restarted = VersionObservation(0, 2, 2, 11.0, has_route=False)
    assert check_versions([applied, restarted], accepted_versions, is_always_undisturbed) == []


def test_check_retry_budget_reports_excess_arrivals():
    results = [make_result(f"c-{number}") for number in range(100)]
    events = [
        ServerEvent("i-0-1", 10.0 + number / 1000, "arrive", f"c-{number}") for number in range(100)
    ]
    assert check_retry_budget(results, [*events, *events[:79]]) == []
    assert check_retry_budget(results, [*events, *events[:81]])


def test_check_recovery_reports_too_few_served_calls():
    results = [make_result(sent_at=20.0), make_result(sent_at=20.0, status=503)]
    assert check_recovery(results, 30.0) == []
    assert check_recovery(results, 15.0)


def test_read_events_skips_other_lines():
    lines = ["1.5 run c-1", "2.5 leaving ", "Traceback (most recent call last):", ""]
    assert read_events("i", lines) == [
        ServerEvent("i", 1.5, "run", "c-1"),
        ServerEvent("i", 2.5, "leaving", ""),
    ]


def test_check_crashing_requests_reports_a_request_that_goes_on_crashing_servers():
    def make_crashes(*times):
        return [ServerEvent("i-0-1", at, "crash", "crash-1") for at in times]

    assert check_crashing_requests(make_crashes(1.0, 1.1)) == []
    assert check_crashing_requests(make_crashes(1.0, 1.1, 1.2, 2.0, 3.0, 4.0, 5.0)) == []
    assert check_crashing_requests(make_crashes(1.0, 1.1, 1.2, 6.0, 7.0, 8.0)) == []
    assert check_crashing_requests(make_crashes(1.0, 1.1, 1.2, 6.0, 7.0, 8.0, 9.0))
