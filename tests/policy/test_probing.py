from random import Random

from hypothesis import given
from hypothesis import strategies as st
from ragwort_policy import (
    ChoiceSettings,
    ProbeSettings,
    ServerLocation,
    choose_server,
    make_choice_state,
    make_probe_budget,
    plan_probe,
    record_report,
    record_sent,
    update_servers,
)
from ragwort_policy._probing import BURST_S
from ragwort_protocol import LoadReport

NEAR = [ServerLocation(f"near-{number}", "domain", "region") for number in range(3)]
FAR = [ServerLocation(f"far-{number}", "else", "other") for number in range(3)]


def _make_state():
    state = make_choice_state(ChoiceSettings(), "domain", "region")
    update_servers(state, NEAR + FAR, 0.0)
    return state


@given(
    st.lists(st.floats(0.0, 0.2), min_size=1, max_size=200),
    st.integers(100, 5000),
    st.integers(0, 800),
    st.booleans(),
)
def test_probes_never_cost_more_than_their_budgets(gaps, rate, far_rate, near_known):
    state, settings = _make_state(), ProbeSettings()
    budget, far_budget = make_probe_budget(rate, 0.0), make_probe_budget(far_rate, 0.0)
    now, spent, far_spent = 0.0, 0, 0
    for gap in gaps:
        now += gap
        for location in NEAR * near_known:
            record_report(state, location.node, LoadReport(1, 8, 0, 20_000), now)
        state.spillover = near_known
        node = plan_probe(state, budget, far_budget, settings, now)
        spent += settings.cost_bytes * (node is not None)
        far_spent += settings.cost_bytes * (node is not None and node.startswith("far"))
        assert spent <= rate * (now + BURST_S) + 1e-6
        assert far_spent <= far_rate * (now + BURST_S) + 1e-6


def test_a_fresh_report_is_reused_and_the_oldest_one_is_renewed():
    state, settings = _make_state(), ProbeSettings()
    budget, far_budget = make_probe_budget(1e6, 0.0), make_probe_budget(1e6, 0.0)
    report = LoadReport(1, 8, 0, 20_000)
    for age, location in enumerate(NEAR + FAR):
        record_report(state, location.node, report, 10.0 + 0.001 * age)
    assert plan_probe(state, budget, far_budget, settings, 10.01) is None
    assert plan_probe(state, budget, far_budget, settings, 10.05) == "near-0"
    assert plan_probe(state, budget, far_budget, settings, 10.05) == "near-1"


def test_without_any_budget_the_choice_still_works():
    state, random = _make_state(), Random(1)
    empty = make_probe_budget(0.0, 0.0)
    counts = dict.fromkeys((location.node for location in NEAR), 0)
    for number in range(30):
        assert plan_probe(state, empty, empty, ProbeSettings(), number * 0.001) is None
        node = choose_server(state, number * 0.001, random)
        record_sent(state, node, number, number * 0.001)
        counts[node] += 1
    assert min(counts.values()) >= 8
