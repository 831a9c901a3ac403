import pytest
from ragwort_flow import WorkEstimates, estimate_work, record_work


def test_an_estimate_moves_to_the_work_of_its_kind_alone():
    estimates = WorkEstimates()
    for _ in range(200):
        record_work(estimates, "a", 0.2)
        record_work(estimates, "b", 0.02)
    assert estimate_work(estimates, "a", 9.0) == pytest.approx(0.2)
    assert estimate_work(estimates, "b", 9.0) == pytest.approx(0.02)


def test_an_unknown_kind_has_the_default_work():
    assert estimate_work(WorkEstimates(), "a", 0.07) == 0.07
