from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from ragwort_common import Outcome, Reason
from ragwort_policy import (
    ChoiceSettings,
    ServerLocation,
    choose_server,
    make_choice_state,
    record_outcome,
    record_report,
    record_sent,
    update_servers,
)
from ragwort_policy._report_weight import ReportRegression, get_report_weight, record_delay
from ragwort_protocol import LoadReport

SETTINGS = ChoiceSettings(expected_limit=10)
NEAR = [f"near-{number}" for number in range(3)]
FAR = ["far-0", "far-1"]


class ZeroRandom:
    """A random source that always returns 0, so that the choice is the exact best."""

    def random(self):
        return 0.0


def _make_state(near=NEAR, far=(), settings=SETTINGS):
    state = make_choice_state(settings, "domain", "region")
    locations = [ServerLocation(node, "domain", "region") for node in near]
    update_servers(state, locations + [ServerLocation(node, "else", "other") for node in far], 0.0)
    return state


def _report(state, node, load, now, service_ms=20.0, limit=10, accepting=True):
    report = LoadReport(min(load, limit), limit, max(0, load - limit), int(service_ms * 1e3))
    record_report(
        state,
        node,
        LoadReport(*[getattr(report, f) for f in report.__struct_fields__[:4]], accepting),
        now,
    )


def _send(state, node, call_id, now, outcome=None, after=0.001, reason=Reason.NONE):
    record_sent(state, node, call_id, now)
    if outcome is not None:
        record_outcome(state, node, call_id, outcome, reason, now + after)


loads = st.lists(st.integers(0, 40), min_size=2, max_size=9)


@given(loads)
def test_fresh_reports_give_the_choice_of_a_full_scan(reported):
    nodes = [f"server-{number}" for number in range(len(reported))]
    state = _make_state(nodes, settings=ChoiceSettings(sample_size=9))
    for node, load in zip(nodes, reported, strict=True):
        _report(state, node, load, 1.0)
    chosen = choose_server(state, 1.0, ZeroRandom())
    assert reported[nodes.index(chosen)] == min(reported)


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(5, 400)), min_size=2, max_size=9))
def test_fresh_reports_never_give_a_server_much_slower_than_the_best(reported):
    nodes = [f"server-{number}" for number in range(len(reported))]
    state = _make_state(nodes, settings=ChoiceSettings(sample_size=9))
    for node, (load, service_ms) in zip(nodes, reported, strict=True):
        _report(state, node, load, 1.0, service_ms)
    costs = [ms * (1.0 + max(0, load + 1 - 10) / 10) for load, ms in reported]
    chosen = choose_server(state, 1.0, Random(1))
    assert costs[nodes.index(chosen)] <= 3.0 * min(costs) + 10.0


def test_entries_with_the_same_report_do_not_all_choose_one_server():
    nodes = [f"server-{number}" for number in range(9)]
    chosen = Counter()
    for entry in range(300):
        state = _make_state(nodes)
        for node in nodes:
            _report(state, node, 0 if node == "server-0" else 12, 1.0)
        chosen[choose_server(state, 1.0, Random(entry))] += 1
    assert chosen["server-0"] < 150


def test_own_calls_since_the_report_are_added_to_it():
    state = _make_state(NEAR[:2])
    _report(state, NEAR[0], 9, 1.0)
    _report(state, NEAR[1], 15, 1.0)
    chosen = []
    for number in range(10):
        chosen.append(choose_server(state, 1.0, ZeroRandom()))
        _send(state, chosen[-1], number, 1.0)
    assert chosen[:4] == [NEAR[0]] * 4 and NEAR[1] in chosen[4:]


def test_equal_servers_take_turns():
    state = _make_state()
    chosen = []
    for number in range(9):
        chosen.append(choose_server(state, 1.0, ZeroRandom()))
        _send(state, chosen[-1], number, 1.0, Outcome.ANSWERED)
    assert set(chosen[:3]) == set(NEAR) and chosen[:3] == chosen[3:6] == chosen[6:]


def test_an_old_report_loses_its_weight():
    state = _make_state(NEAR[:2])
    for _ in range(100):
        _report(state, NEAR[1], 5, 1.0)
    _report(state, NEAR[0], 30, 1.0)
    assert choose_server(state, 1.0, Random(1)) == NEAR[1]
    _send(state, NEAR[1], 1, 2.5)
    assert choose_server(state, 2.5, Random(1)) == NEAR[0]


def test_a_server_that_fails_fast_does_not_attract_traffic_and_recovers_by_trial():
    state, random, now = _make_state(), Random(3), 0.0
    counts = {True: Counter(), False: Counter()}
    for number in range(4000):
        now += 0.001
        failing = number < 2000
        node = choose_server(state, now, random)
        bad = failing and node == NEAR[0]
        counts[failing][node] += 1
        _report(state, node, 0 if node == NEAR[0] else 6, now)
        outcome = Outcome.FAILED if bad else Outcome.ANSWERED
        _send(state, node, number, now, outcome)
    assert counts[True][NEAR[0]] < 2000 * 0.02
    assert counts[False][NEAR[0]] > 2000 * 0.25


def test_a_paused_server_gets_one_trial_at_a_time():
    state = _make_state(NEAR[:2])
    _send(state, NEAR[0], 1, 1.0, Outcome.NOT_RUN, reason=Reason.CONNECT_FAILED)
    for number in range(10, 20):
        _send(state, NEAR[1], number, 1.0, Outcome.ANSWERED)
    _report(state, NEAR[1], 40, 3.0)
    assert choose_server(state, 1.05, Random(1)) == NEAR[1]
    assert choose_server(state, 3.0, Random(1)) == NEAR[0]
    _send(state, NEAR[0], 2, 3.0)
    assert choose_server(state, 3.0, Random(1)) == NEAR[1]
    record_outcome(state, NEAR[0], 2, Outcome.ANSWERED, Reason.NONE, 3.01)
    assert choose_server(state, 3.02, Random(1)) == NEAR[0]


def test_when_every_server_is_paused_one_is_still_chosen():
    state = _make_state()
    for number, node in enumerate(NEAR):
        _send(state, node, number, 1.0, Outcome.NOT_RUN, reason=Reason.CONNECT_FAILED)
    assert choose_server(state, 1.01, Random(1)) in NEAR
    assert choose_server(state, 1.01, Random(1), NEAR) is None


def test_a_server_that_hangs_loses_its_share_within_tens_of_milliseconds():
    state, random, now = _make_state(NEAR[:2]), Random(1), 1.0
    late = Counter()
    for number in range(120):
        now += 0.002
        node = choose_server(state, now, random)
        # Calls to the first server never end, and it sends no report.
        _send(state, node, number, now, Outcome.ANSWERED if node == NEAR[1] else None)
        if node == NEAR[1]:
            _report(state, node, 8, now)
        if now > 1.08:
            late[node] += 1
    assert late[NEAR[0]] <= late.total() * 0.05


def test_hanging_calls_count_against_a_server_before_any_report_does():
    state = _make_state(NEAR[:2])
    for node in NEAR[:2]:
        _report(state, node, 10, 1.0, limit=100)
    for number in range(3):
        _send(state, NEAR[0], number, 1.0)
    assert choose_server(state, 1.08, ZeroRandom()) == NEAR[1]
    for number in range(5):
        _send(state, NEAR[1], 10 + number, 1.08, Outcome.ANSWERED)
        assert choose_server(state, 1.09, ZeroRandom()) == NEAR[1]


def test_a_server_that_reports_leaving_gets_no_more_calls():
    state = _make_state(NEAR[:2])
    _send(state, NEAR[0], 1, 1.0, Outcome.NOT_RUN, reason=Reason.LEAVING)
    assert {choose_server(state, 1.0, Random(n)) for n in range(20)} == {NEAR[1]}
    _report(state, NEAR[1], 0, 1.0, accepting=False)
    assert choose_server(state, 1.0, Random(1)) is None


def test_the_other_region_is_used_only_when_it_is_faster_and_has_capacity():
    state = _make_state(NEAR[:1], FAR[:1])
    for near, far, expected in ((20, 2, NEAR[0]), (60, 2, FAR[0]), (60, 14, NEAR[0])):
        for _ in range(60):
            _report(state, NEAR[0], near, 1.0)
            _report(state, FAR[0], far, 1.0)
        assert choose_server(state, 1.0, Random(1)) == expected


def test_a_near_tie_between_regions_does_not_flip_with_each_report():
    state, flips, last = _make_state(NEAR[:1], FAR[:1]), 0, None
    for number in range(100):
        for _ in range(3):
            _report(state, NEAR[0], 42 + number % 2 * 6, 1.0 + number)
            _report(state, FAR[0], 1, 1.0 + number)
        node = choose_server(state, 1.0 + number, ZeroRandom())
        flips += node != last
        last = node
    assert flips <= 3 and last == FAR[0]


def test_a_refusal_marks_the_server_as_full_for_the_next_calls():
    state = _make_state(NEAR[:2])
    _report(state, NEAR[1], 9, 1.0)
    _send(state, NEAR[0], 1, 1.0, Outcome.NOT_RUN, reason=Reason.OVERLOADED)
    assert choose_server(state, 1.002, Random(1)) == NEAR[1]


@pytest.mark.parametrize(("sign", "low", "high"), [(1, 0.8, 1.0), (0, 0.0, 0.35), (-1, 0.0, 0.0)])
def test_reports_without_predictive_value_lose_their_weight(sign, low, high):
    regression, random = ReportRegression(), Random(5)
    for _ in range(600):
        predicted = random.uniform(-1.0, 1.0)
        record_delay(regression, predicted, sign * predicted + random.uniform(-0.5, 0.5))
    assert low <= get_report_weight(regression) <= high


def test_the_state_of_a_server_survives_an_update_of_the_list():
    state = _make_state(NEAR[:2])
    _report(state, NEAR[0], 30, 1.0)
    update_servers(state, [ServerLocation(node, "domain", "region") for node in NEAR], 1.0)
    assert state.servers[NEAR[0]].load == 30.0
    update_servers(state, [], 1.0)
    assert choose_server(state, 1.0, Random(1)) is None


def test_a_server_that_stopped_accepting_is_tried_again_without_a_report():
    state = _make_state(NEAR[:2])
    _send(state, NEAR[0], 1, 1.0, Outcome.NOT_RUN, reason=Reason.LEAVING)
    assert {choose_server(state, 2.9, Random(n)) for n in range(20)} == {NEAR[1]}
    assert choose_server(state, 3.1, ZeroRandom(), NEAR[1:2]) == NEAR[0]
