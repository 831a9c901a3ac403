from collections import namedtuple
from itertools import combinations

import pytest
from flow_simulation import Hosts, Kind, simulate_ragwort
from hypothesis import given
from hypothesis import strategies as st
from ragwort_flow import _call_start, _overload, _wait_estimate
from ragwort_flow._service_ratio import (
    MAX_CLASSES,
    ServiceRatios,
    has_several_ranks,
    list_starved,
    record_offered,
    record_refused,
)
from ragwort_flow._triage import Outlook, find_excess, is_slot_kept, order_calls

Call = namedtuple("Call", "rank kind due work_s")
BUSY = Outlook(now=0.0, wait_s=0.05, limit=2, slowdown=1.0)


def make_kinds(slots, load, burst_s):
    """Return the kinds of calls of a server with 5 slots, or of one with 7."""
    if slots == 5:
        shapes = [(0.053, 0.175, 2.0, 0, 54), (0.333, 1.6, 6.0, 2, 65)]
    else:
        shapes = [(0.28, 1.4, 3.5, 1, 50), (0.183, 0.6, 2.3, 2, 50)]
    scale = load * slots / sum(work_s * per_s for work_s, *_, per_s in shapes)
    return [
        Kind(f"k{rank}", work_s, objective_s, deadline_s, rank, per_s * scale, burst_s)
        for work_s, objective_s, deadline_s, rank, per_s in shapes
    ]


def simulate(kinds, slots, seed=1):
    hosts = Hosts(slots=slots, share=0.0, full_slowdown=1.0)
    return simulate_ragwort(kinds, 1, seed, 20, hosts=hosts)


def ignore_ranks(monkeypatch):
    for module in (_call_start, _overload):
        monkeypatch.setattr(module, "has_several_ranks", lambda *words: False)


def weigh_in_time(kinds, result):
    """Return the share of the calls in time, each rank weighing twice as much as the next."""
    offered = sum(result.offered[kind.name] * 2.0**-kind.rank for kind in kinds)
    return sum(result.in_time.get(k.name, 0) * 2.0**-k.rank for k in kinds) / offered


def check_served(kinds, result):
    """Check that no kind is served too rarely, nor an urgent one less often than another."""
    urgent, other = (result.get_served_ratio(kind.name) for kind in kinds)
    assert urgent >= other - 0.05
    assert other >= 0.25 * sum(result.served.values()) / sum(result.offered.values())


@pytest.mark.parametrize("slots", [5, 7])
@pytest.mark.parametrize("load, gain", [(0.7, -0.005), (1.4, 0.05), (2.0, 0.1)])
@pytest.mark.parametrize("burst_s", [0.0, 0.3])
def test_more_calls_are_in_time_than_by_rank_alone(slots, load, gain, burst_s, monkeypatch):
    kinds = make_kinds(slots, load, burst_s)
    result = simulate(kinds, slots)
    check_served(kinds, result)
    ignore_ranks(monkeypatch)
    assert weigh_in_time(kinds, result) >= weigh_in_time(kinds, simulate(kinds, slots)) + gain


@pytest.mark.parametrize("factor", [0.5, 1.5])
@pytest.mark.parametrize("slots", [5, 7])
def test_estimates_wrong_by_half_preserve_the_order_of_kinds(factor, slots, monkeypatch):
    def estimate(estimates, kind, default_s):
        return factor * estimates.mean_s.get(kind, default_s)

    monkeypatch.setattr(_wait_estimate, "estimate_work", estimate)
    kinds = make_kinds(slots, 1.4, 0.0)
    check_served(kinds, simulate(kinds, slots))


def test_nothing_changes_where_all_calls_have_the_same_rank(monkeypatch):
    kinds = [Kind("a", 0.05, 0.2, 2.0, 1, 60.0), Kind("b", 0.3, 1.5, 4.0, 1, 20.0)]
    result = simulate(kinds, 5)
    ignore_ranks(monkeypatch)
    assert simulate(kinds, 5) == result


calls = st.builds(
    Call, st.integers(0, 2), st.sampled_from("ab"), st.floats(-0.5, 1.0), st.floats(0.01, 0.5)
)


@given(st.lists(calls, max_size=20))
def test_a_late_call_displaces_none_in_time_and_a_returned_call_stays_ahead(waiting):
    ordered = order_calls(waiting, BUSY, set())
    assert sorted(ordered) == sorted(waiting)
    is_late = [call.due < BUSY.now for call in ordered]
    by_due = ordered == sorted(waiting, key=lambda call: call.due)
    assert by_due or is_late == sorted(is_late)
    # A call that has returned has an earlier objective than later calls of its kind.
    for rank, kind in {(call.rank, call.kind) for call in waiting}:
        dues = [call.due for call in ordered if (call.rank, call.kind) == (rank, kind)]
        assert dues == sorted(dues, key=lambda due: (not by_due and due < BUSY.now, due))


@given(st.lists(calls.map(lambda call: call._replace(rank=0)), max_size=7))
def test_as_few_calls_of_a_rank_as_possible_are_given_up(waiting):
    outlook = Outlook(0.0, 0.0, 1, 1.0)
    ordered = sorted(waiting, key=lambda call: call.due + call.work_s)

    def are_in_time(chosen):
        ends = [sum(call.work_s for call in chosen[: i + 1]) for i in range(len(chosen))]
        return all(e <= c.due + c.work_s + 1e-9 for e, c in zip(ends, chosen, strict=True))

    best = max(
        size
        for size in range(len(ordered) + 1)
        if any(are_in_time(chosen) for chosen in combinations(ordered, size))
    )
    assert len(find_excess(ordered, outlook, 1.0, set())) == len(ordered) - best
    assert find_excess(ordered, outlook, 1.0, {(0, "a"), (0, "b")}) == []


@pytest.mark.parametrize(
    "calls_per_s, slack_s, free, kept",
    [(10, 0.1, 1, 1), (10, 0.1, 2, 0), (1, 0.1, 1, 0), (10, 0.3, 1, 0)],
)
def test_a_slot_is_kept_only_for_frequent_calls_that_cannot_wait(calls_per_s, slack_s, free, kept):
    ratios = ServiceRatios()
    for step in range(30 * calls_per_s):
        record_offered(ratios, step / calls_per_s, 0, "a", 0.05, slack_s)
    assert is_slot_kept(ratios, 30.0, 2, 0.3, free) == kept
    assert not is_slot_kept(ratios, 30.0, 0, 0.3, free)


def test_a_class_that_is_refused_too_often_goes_first():
    ratios = ServiceRatios()
    for step in range(40):
        for rank, part in ((0, 4), (1, 4), (2, 40)):
            record_offered(ratios, 1.0, rank, "a", 0.1, 1.0)
            if step < part:
                record_refused(ratios, 1.0, rank, "a")
    assert list_starved(ratios, 1.0) == {(2, "a")}
    record_refused(ratios, 1.0, 0, "a")
    assert list_starved(ratios, 1.0) == {(0, "a"), (2, "a")}
    assert has_several_ranks(ratios, 1.0) and not has_several_ranks(ratios, 60.0)
    for number in range(200):
        record_offered(ratios, 100.0 + number, 3, f"k{number}", 0.1, 1.0)
    assert len(ratios.classes) <= MAX_CLASSES
