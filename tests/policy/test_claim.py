from ragwort_common import Epoch
from ragwort_policy import ClaimLimits, ClaimTable
from ragwort_protocol import ClaimRequest, ClaimResult, ClaimVerdict, StoredResponse

LIMITS = ClaimLimits(max_keys=50, hold_s=0.0, answers_bytes=1_000, answer_bytes=400)


def run_calls(table, count, size):
    """Grant and answer calls with new keys, one per second."""
    for number in range(count):
        name = number.to_bytes(16, "big")
        claim = ClaimRequest(name, name, b"f", 0, 1, number + 1, 1_000.0)
        assert table.decide(claim, number, number).verdict is ClaimVerdict.GRANTED
        answer = StoredResponse(200, [(b"n", b"v")], b"x" * (size - 2))
        assert table.record_result(ClaimResult(name, name, 0, "answered", answer), number)


def make_table():
    table = ClaimTable(Epoch(1), 0, set(), LIMITS)
    table.horizon_ms = 10**6
    table.lease_until_s = 10**6
    return table


def ask(table, number, fingerprint=b"f"):
    name = number.to_bytes(16, "big")
    claim = ClaimRequest(b"again", name, fingerprint, 0, 1, number + 1, 1_000.0)
    return table.decide(claim, 1_000, 1_000).verdict


def test_the_oldest_answers_are_dropped_beyond_the_limits():
    table = make_table()
    run_calls(table, 20, 100)
    verdicts = [ask(table, number) for number in range(20)]
    assert verdicts == [ClaimVerdict.UNPROVEN] * 10 + [ClaimVerdict.DONE] * 10
    large = make_table()
    run_calls(large, 1, 401)
    assert ask(large, 0) is ClaimVerdict.UNPROVEN


def test_a_table_stays_within_its_size_for_any_number_of_keys():
    table = make_table()
    run_calls(table, 2_000, 10)
    assert table.keys == LIMITS.max_keys
    assert len(table._answered) <= LIMITS.max_keys
    assert table._answers_bytes == LIMITS.max_keys * 10
    assert ask(table, 5) is ClaimVerdict.UNPROVEN


def test_another_call_with_the_same_key_is_a_mismatch():
    table = make_table()
    run_calls(table, 1, 10)
    assert ask(table, 0, b"other") is ClaimVerdict.MISMATCH


def test_a_full_table_of_young_keys_refuses_new_ones():
    table = ClaimTable(Epoch(1), 0, set(), ClaimLimits(max_keys=3, hold_s=60.0))
    table.horizon_ms = table.lease_until_s = 10**6
    run_calls(table, 3, 10)
    name = b"n" * 16
    fresh = ClaimRequest(name, name, b"f", 0, 1, 100, 1_000.0)
    assert table.decide(fresh, 10, 100).verdict is ClaimVerdict.BUSY
    assert table.decide(fresh, 61, 100).verdict is ClaimVerdict.GRANTED


def test_marks_are_limited_and_dropped_after_retention():
    marks = {number.to_bytes(8, "big") for number in range(4)}
    table = ClaimTable(Epoch(1), 0, set(marks), ClaimLimits(max_marks=4))
    table.lease_until_s = 10**6
    name = b"n" * 16
    fresh = ClaimRequest(name, name, b"f", 0, 1, 0, 1_000.0)
    assert table.decide(fresh, 0, 0).need.value == "none"
    table.drop_marks(marks)
    assert table.decide(fresh, 0, 0).need.value == "mark"
