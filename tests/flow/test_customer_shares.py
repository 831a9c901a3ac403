import random

import pytest
from flow_simulation import Hosts, Kind, simulate_ragwort
from ragwort_common import CallId
from ragwort_flow import (
    PendingCall,
    SchedulerState,
    Verdict,
    _overload,
    admit_call,
    record_work,
    review_waiting,
    update_server,
)
from ragwort_flow._call_start import is_last_slot_kept
from ragwort_flow._customer_shares import (
    LEARNING_S,
    MAX_CUSTOMERS,
    USUAL_DECAY_S,
    CustomerShares,
    list_beyond,
    list_first_customers,
    move_marks,
    needs_sharing,
    record_arrival,
    record_customer_refused,
)
from ragwort_flow._scheduler_state import Waiting
from ragwort_flow._service_ratio import record_offered
from ragwort_flow._triage import Outlook, Share, find_excess, order_calls

SLOTS = 5
LOADS = pytest.mark.parametrize("load", [1.2, 2.0, 4.0])


def learn(shares, per_s, until=0.0):
    """Let each customer call at a steady rate for 200 s."""
    calls = [
        (until - 200.0 + (step + 0.5) / rate, customer)
        for customer, rate in per_s.items()
        for step in range(int(200.0 * rate))
    ]
    for at, customer in sorted(calls):
        record_arrival(shares, at, customer)


def send(shares, now, per_s, duration_s, seed=1):
    """Let customers call at random times, and return the part of their calls put behind others."""
    rng = random.Random(seed)
    counts = {customer: [0, 0] for customer in per_s}
    end = now + duration_s
    while (now := now + rng.expovariate(sum(per_s.values()))) < end:
        [customer] = rng.choices(list(per_s), list(per_s.values()))
        counts[customer][0] += 1
        counts[customer][1] += record_arrival(shares, now, customer)
    return {customer: behind / max(1, calls) for customer, (calls, behind) in counts.items()}


def name_customers(count, first=1.0):
    return {f"c{number}": 1.0 if number else first for number in range(count)}


def simulate(rates, load, usual=None, seconds=12, work_s=0.15):
    """Simulate a server with customers of relative rates; ``usual`` are those that it knows."""
    scale = load * SLOTS / work_s / sum(rates.values())
    kinds = [
        Kind("a", work_s, 0.6, 3.0, 1, rate * scale, customer=customer)
        for customer, rate in rates.items()
    ]

    def prepare(state):
        if usual:
            learn(state.shares, {customer: rate * scale for customer, rate in usual.items()})

    hosts = Hosts(slots=SLOTS, share=0.0, full_slowdown=1.0)
    return simulate_ragwort(kinds, 1, 1, seconds, hosts=hosts, prepare=prepare)


def simulate_both(rates, load, usual, monkeypatch):
    """Return the results with shares, and with all calls within their customer's share."""
    result = simulate(rates, load, usual)
    monkeypatch.setattr(_overload, "_make_share_finder", lambda *words: lambda call: Share.WITHIN)
    return result, simulate(rates, load, usual)


def get_calm_ratio(result):
    """Return the part in time of the calls of all customers but the first."""
    others = [name for name in result.offered if name != "c0"]
    in_time = sum(result.in_time.get(name, 0) for name in others)
    return in_time / sum(result.offered[name] for name in others)


def get_worst_tenth(result):
    ratios = sorted(result.get_served_ratio(name) for name in result.offered if name != "c0")
    worst = ratios[: max(1, len(ratios) // 10)]
    return sum(worst) / len(worst)


def check_floor(result):
    """Check that no customer is served less than a quarter as often as all."""
    served = sum(result.served.values()) / sum(result.offered.values())
    for name in result.offered:
        assert result.get_served_ratio(name) >= 0.25 * served, name


@LOADS
@pytest.mark.parametrize("count", [3, 21])
def test_a_surging_customer_waits_behind_those_at_their_usual_rates(load, count, monkeypatch):
    rates, usual = name_customers(count, 6.0), name_customers(count)
    result, equal = simulate_both(rates, load, usual, monkeypatch)
    check_floor(result)
    assert get_calm_ratio(result) > get_calm_ratio(equal) + 0.02
    assert get_worst_tenth(result) >= get_worst_tenth(equal) - 0.01
    assert result.get_served_ratio("c0") < get_worst_tenth(result)


@pytest.mark.parametrize("count, first", [(21, 10.0), (3, 4.0)])
def test_a_large_customer_at_its_usual_rate_is_not_put_behind_others(count, first):
    rates = name_customers(count, first)
    result = simulate(rates, 2.0, rates)
    served = sum(result.served.values()) / sum(result.offered.values())
    assert result.get_served_ratio("c0") > 0.85 * served


def test_customers_that_all_send_twice_as_much_as_usual_are_treated_alike():
    shares = CustomerShares()
    usual = name_customers(20, 8.0)
    learn(shares, usual)
    # The growth of all is known after a few seconds.
    send(shares, 0.0, {name: 2 * rate for name, rate in usual.items()}, 5.0)
    behind = send(shares, 5.0, {name: 2 * rate for name, rate in usual.items()}, 60.0)
    assert max(behind.values()) < 0.05


@pytest.mark.parametrize("count, per_s", [(76, 0.07), (20, 1.0), (3, 1.0)])
def test_customers_that_call_at_random_times_at_their_usual_rates_are_rarely_put_behind(
    count, per_s
):
    shares = CustomerShares()
    usual = dict.fromkeys(name_customers(count), per_s)
    learn(shares, usual)
    behind = send(shares, 0.0, usual, 300.0)
    assert sum(behind.values()) / count < 0.01


def test_a_restarted_node_puts_no_customer_behind_until_it_knows_usual_rates():
    shares = CustomerShares()
    surge = name_customers(20, 6.0)
    assert set(send(shares, 0.0, surge, LEARNING_S - 1.0).values()) == {0.0}
    # What was sent while it learned is usual from then on, so the surge is not found either.
    behind = send(shares, LEARNING_S, surge, 30.0)
    assert behind["c0"] < 0.02 and sum(behind.values()) < 0.02 * len(behind)
    surge["c1"] = 6.0
    assert send(shares, LEARNING_S + 30.0, surge, 30.0)["c1"] > 0.3
    # After a long time without calls it learns again.
    later = 2 * LEARNING_S + 2 * USUAL_DECAY_S
    assert set(send(shares, later, name_customers(20, 9.0), LEARNING_S - 1.0).values()) == {0.0}
    result = simulate(name_customers(21, 6.0), 2.0, usual=None)
    served = sum(result.served.values()) / sum(result.offered.values())
    assert result.get_served_ratio("c0") > 0.9 * served


def test_a_customer_that_keeps_its_higher_rate_is_no_longer_put_behind():
    shares = CustomerShares()
    learn(shares, name_customers(20))
    surge = name_customers(20, 4.0)
    assert send(shares, 0.0, surge, 60.0)["c0"] > 0.2
    send(shares, 60.0, surge, 2 * USUAL_DECAY_S)
    assert send(shares, 60.0 + 2 * USUAL_DECAY_S, surge, 60.0)["c0"] < 0.02


def test_a_customer_that_is_served_too_rarely_goes_first():
    shares = CustomerShares()
    learn(shares, name_customers(3))
    for _ in range(60):
        for customer in name_customers(3):
            record_arrival(shares, 0.0, customer)
        record_customer_refused(shares, 0.0, "c1")
    assert list_first_customers(shares, 0.2) == {"c1"}
    assert not record_arrival(shares, 0.2, "c1")
    assert "c1" not in list_beyond(shares, 0.2)


def test_no_slot_is_kept_from_a_customer_that_is_served_too_rarely():
    # At a server with two ranks, its calls waited for a slot until they were late and given up.
    state = SchedulerState()
    update_server(state, 0.0, 2, 0.0)
    record_work(state.work, "b", 0.333)
    for step in range(40):
        for rank, kind, per_call_s in ((0, "a", 0.05), (2, "b", 0.333)):
            record_offered(state.ratios, step * 0.05, rank, kind, per_call_s, 0.1)
    running, waiting = (
        PendingCall(CallId(n), "b", 2, 3.6, 8.0, 0.333, False, "c1") for n in range(2)
    )
    assert admit_call(state, 2.0, running).verdict is Verdict.RUN
    assert is_last_slot_kept(state, 2.0, waiting)
    state.shares.first, state.shares.first_at = frozenset(["c1"]), 2.0
    assert not is_last_slot_kept(state, 2.0, waiting)
    assert admit_call(state, 2.0, waiting).verdict is Verdict.RUN


def test_refusals_do_not_take_from_what_a_customer_may_send():
    # The time of a refusal counted as that of the last call, so the tokens of that time were lost.
    shares = CustomerShares()
    learn(shares, name_customers(20))
    for step in range(400):
        for customer in name_customers(20):
            assert not record_arrival(shares, step + 0.0, customer)
            record_customer_refused(shares, step + 0.99, customer)


@LOADS
def test_a_customer_at_twelve_times_its_usual_rate_is_still_served(load):
    check_floor(simulate(name_customers(21, 12.0), load, name_customers(21)))


def test_customers_are_forgotten_and_their_number_is_bounded():
    shares = CustomerShares()
    for number in range(3 * MAX_CUSTOMERS):
        record_arrival(shares, number * 0.01, f"c{number}")
    assert len(shares.customers) == MAX_CUSTOMERS
    for number in range(20):
        record_arrival(shares, 31.0 + number * 60.0, "a")
    assert list(shares.customers) == ["a"]


@pytest.mark.parametrize("customers", [[None], ["c0"], [None, "c0"]])
def test_nothing_changes_without_several_customers(customers):
    rates = dict.fromkeys(customers, 1.0)
    result = simulate(rates, 2.0, seconds=5)
    kinds = [Kind("a", 0.15, 0.6, 3.0, 1, 2.0 * SLOTS / 0.15 / len(rates)) for _ in customers]
    hosts = Hosts(slots=SLOTS, share=0.0, full_slowdown=1.0)
    without = simulate_ragwort(kinds, 1, 1, 5, hosts=hosts)
    assert result.windows == without.windows
    assert sum(result.served.values()) == without.served["a"]
    shares = CustomerShares()
    for step in range(1000):
        assert not any(record_arrival(shares, 0.1 * step, customer) for customer in customers)
    assert not needs_sharing(shares, 100.0)


def test_the_order_is_that_of_the_latest_start_while_all_can_be_in_time():
    state = SchedulerState()
    update_server(state, 0.0, 2, 0.0)
    learn(state.shares, name_customers(5))
    verdicts = [
        admit_call(
            state,
            0.0,
            PendingCall(CallId(n), "a", 1, 9.0 - 0.1 * n, 20.0, 0.05, False, f"c{n % 7 // 5}"),
        ).verdict
        for n in range(30)
    ]
    assert verdicts == [Verdict.RUN] * 2 + [Verdict.QUEUED] * 28
    assert any(call.is_beyond_share for call in state.waiting)
    review_waiting(state, 0.01)
    assert [call.call_id for call in state.waiting] == list(range(29, 1, -1))


def make_waiting(number, due, beyond=False, customer="c0", work_s=0.1):
    pending = PendingCall(CallId(number), "a", 1, due + work_s, due + 5.0, work_s, False, customer)
    return Waiting(1, due, CallId(number), pending, work_s, due, customer, beyond)


def test_calls_beyond_a_share_go_behind_those_in_time_but_before_late_ones():
    def find_share(call):
        return Share.BEYOND if call.is_beyond_share else Share.WITHIN

    outlook = Outlook(0.0, 0.5, 1, 1.0)
    late, beyond, within = (
        make_waiting(1, -0.1, customer="c1"),
        make_waiting(2, 0.5, beyond=True),
        make_waiting(3, 0.6, customer="c2", work_s=0.3),
    )
    ordered = order_calls([late, beyond, within], outlook, set(), find_share)
    assert [call.call_id for call in ordered] == [3, 2, 1]
    starved = order_calls(
        ordered, outlook, set(), lambda call: Share.WITHIN if call is within else Share.FIRST
    )
    assert [call.call_id for call in starved] == [2, 3, 1]
    # The shorter call of the surging customer would be kept if its share made no difference.
    assert find_excess(ordered[:2], outlook, 1.0, set(), find_share) == [beyond]
    assert find_excess(ordered[:2], outlook, 1.0, {(1, "a")}, find_share) == [beyond]


def test_a_call_that_comes_back_is_not_behind_a_later_one_of_its_customer():
    returned, later = make_waiting(2, 0.1, beyond=True), make_waiting(1, 0.3)
    move_marks([later, returned])
    assert later.is_beyond_share and not returned.is_beyond_share
