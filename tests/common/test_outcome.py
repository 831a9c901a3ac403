from ragwort_common import Outcome


def test_outcomes_are_the_four_documented_ones():
    names = {outcome.value for outcome in Outcome}
    assert names == {"answered", "not-run", "unknown", "failed"}
