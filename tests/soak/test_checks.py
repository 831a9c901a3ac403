"""Each soak check reports the violation that it covers, and accepts a correct record."""

from soak.callers import Result, Sighting
from soak.checks import (
    Fact,
    check_answers,
    check_budget,
    check_cuts,
    check_leaving,
    check_once,
    check_recovery,
    check_refusals,
    check_versions,
    read_facts,
)


def make_result(call_id="c-1", status=200, **fields):
    result = Result(call_id, 0, 1, "lookup", 10.0, 10.1, status)
    result.signature = f"i-0-1.{call_id}"
    result.body, result.expected = b"i-0-1:x", b"x"
    for name, value in fields.items():
        setattr(result, name, value)
    return result


def make_run(call_id="c-1", at=10.0):
    return Fact("i-0-1", at, "run", call_id)


def is_always_sound(member, since, until):
    return True


def test_an_answer_that_is_cut_or_belongs_to_another_call_is_seen():
    assert check_answers([make_result()]) == []
    assert check_answers([make_result(body=b"i-0-1:")])
    assert check_answers([make_result(signature="i-0-1.c-2")])
    assert check_answers([make_result(status=503, body=b"", signature="")]) == []


def test_a_refused_call_that_ran_and_one_without_a_time_to_return_are_seen():
    refused = make_result(status=503, signature="", retry_after="0.1")
    assert check_refusals([refused], []) == []
    assert check_refusals([refused], [make_run()])
    assert check_refusals([make_result(status=503, signature="")], [])


def test_a_second_run_is_seen_where_it_matters():
    runs = [make_run(), make_run()]
    assert check_once([make_result(service="confirm")], runs)
    assert check_once([make_result()], runs) == []


def test_work_that_reaches_a_leaving_server_late_is_seen():
    facts = [Fact("i-0-1", 10.0, "leaving", ""), Fact("i-0-1", 11.0, "arrive", "c-1")]
    assert check_leaving(facts, 1.5) == []
    assert check_leaving([*facts, Fact("i-0-1", 11.6, "arrive", "c-2")], 1.5)


def test_a_call_that_a_sound_node_does_not_answer_is_seen():
    for status in (0, -1):
        assert check_cuts([make_result(status=status)], is_always_sound)
        assert check_cuts([make_result(status=status)], lambda *span: False) == []


def test_a_version_that_comes_late_or_goes_again_is_seen():
    configured = [(1, 0.0), (2, 10.0)]
    known = Sighting(0, 1, 2, 10.5, known=True)
    assert check_versions([known], configured, is_always_sound) == []
    assert check_versions([Sighting(0, 1, 2, 12.0, False)], configured, is_always_sound) == []
    assert check_versions([Sighting(0, 1, 2, 13.0, False)], configured, is_always_sound)
    gone = Sighting(0, 1, 2, 11.0, known=False)
    assert check_versions([known, gone], configured, is_always_sound)
    # A restarted node may not have the version yet.
    fresh = Sighting(0, 2, 2, 11.0, known=False)
    assert check_versions([known, fresh], configured, is_always_sound) == []


def test_more_arrivals_than_the_budget_are_seen():
    results = [make_result(f"c-{number}") for number in range(100)]
    facts = [Fact("i-0-1", 10.0 + number / 1000, "arrive", f"c-{number}") for number in range(100)]
    assert check_budget(results, [*facts, *facts[:79]]) == []
    assert check_budget(results, [*facts, *facts[:81]])


def test_a_run_that_does_not_recover_is_seen():
    results = [make_result(sent_at=20.0), make_result(sent_at=20.0, status=503)]
    assert check_recovery(results, 30.0) == []
    assert check_recovery(results, 15.0)


def test_the_lines_of_a_server_are_read_and_others_left_out():
    lines = ["1.5 run c-1", "2.5 leaving ", "Traceback (most recent call last):", ""]
    assert read_facts("i", lines) == [
        Fact("i", 1.5, "run", "c-1"),
        Fact("i", 2.5, "leaving", ""),
    ]
