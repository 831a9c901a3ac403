"""The concurrency limit of a server, by its number of slots."""

import pytest
from ragwort_flow import _concurrency_limit as limits

MAX_EVALUATIONS = 100
"""Far more than a search beside the knee needs, and far fewer than the slots tried."""


@pytest.mark.parametrize("slots", [65_535, 2**31 - 1, 2**63])
def test_stated_number_of_slots_does_not_set_the_time_that_a_limit_takes(monkeypatch, slots):
    # A node answered nothing for minutes after a heartbeat with 2147483647 slots.
    evaluations = 0
    get_slowdown = limits._get_slowdown

    def count(running, slots):
        nonlocal evaluations
        evaluations += 1
        assert evaluations <= MAX_EVALUATIONS
        return get_slowdown(running, slots)

    monkeypatch.setattr(limits, "_get_slowdown", count)
    assert 1 <= limits.find_knee_limit(slots) <= slots
    assert 1 <= limits.find_minimax_limit(slots) <= slots


def test_limits_are_those_of_a_search_among_all_slots():
    def get_throughput(running, slots):
        return running / limits._get_slowdown(running, slots)

    for slots in range(1, 200):
        every = range(1, slots + 1)
        gain = limits.MIN_THROUGHPUT_GAIN
        knee = max(every, key=lambda n, slots=slots: get_throughput(n, slots) - gain * n)
        best = get_throughput(knee, slots)
        minimax = min(
            every,
            key=lambda n, slots=slots, best=best: max(
                1.0 - n / slots, 1.0 - get_throughput(n, slots) / best
            ),
        )
        assert (limits.find_knee_limit(slots), limits.find_minimax_limit(slots)) == (knee, minimax)
