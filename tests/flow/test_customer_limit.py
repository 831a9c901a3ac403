import pytest
from hypothesis import given
from hypothesis import strategies as st
from ragwort_flow._customer_limit import (
    MAX_REPLY_S,
    CallLimit,
    EntryCredit,
    apply_grant,
    begin_session,
    choose_coordinator,
    give_back,
    is_low,
    rank_coordinator,
    spend_credit,
)
from ragwort_flow._limit_coordinator import (
    SETTLE_S,
    add_entry,
    drop_entry,
    plan_grants,
    record_usage,
    start_coordinator,
)

LIMIT = CallLimit(10.0, 10.0, 5.0, 0.1, 20.0)


def admit(credit, now, calls=1):
    return sum(spend_credit(credit, LIMIT, now) is None for _ in range(calls))


@given(st.integers(0, 20), st.floats(0, 50), st.lists(st.floats(0, 0.5), max_size=100))
def test_an_entry_never_admits_more_than_its_credits_and_its_share(granted, calls_per_s, gaps):
    credit = EntryCredit()
    apply_grant(credit, 0.0, granted, granted, calls_per_s, False)
    assert admit(credit, 0.0, 30) == granted
    apply_grant(credit, 0.0, 0, 0, calls_per_s, True)
    now = count = 0
    for gap in gaps:
        now += gap
        count += admit(credit, now, 5)
    assert count <= now * calls_per_s + 1


def test_only_covered_credits_are_used_while_no_reply_comes_since_others_may_be_withdrawn():
    credit = EntryCredit()
    apply_grant(credit, 0.0, 5, 2, 1.0, False)
    credit.unanswered_at = 0.0
    assert admit(credit, 0.1) == 1
    assert admit(credit, MAX_REPLY_S + 0.01, 5) == 1
    assert admit(credit, MAX_REPLY_S + 1.1, 5) == 1
    apply_grant(credit, 2.0, 5, 2, 1.0, False)
    assert admit(credit, 2.0, 5) == 3


def test_a_credit_that_is_returned_admits_another_call_and_keeps_the_totals():
    credit = EntryCredit(granted=1, full=1)
    assert admit(credit, 0.0) == 1 and is_low(credit)
    assert 0.1 <= spend_credit(credit, LIMIT, 0.0) <= LIMIT.window_s
    give_back(credit, LIMIT, 0.0)
    assert admit(credit, 0.0) == 1
    assert (credit.admitted, credit.spent) == (1, 1)


def test_a_new_session_keeps_credits_and_tells_of_refused_calls():
    credit = EntryCredit(granted=3)
    admit(credit, 0.0, 2)
    begin_session(credit, 0.0)
    assert (credit.granted, credit.admitted, credit.arrived) == (1, 0, 0)
    assert admit(credit, 0.0, 3) == 1
    begin_session(credit, 0.0)
    assert (credit.granted, credit.arrived) == (0, 2)


def test_a_lost_coordinator_moves_no_customer_between_others():
    nodes = [f"n{index}" for index in range(20)]
    for customer in (f"c{index}" for index in range(50)):
        first = choose_coordinator(customer, nodes)
        assert choose_coordinator(customer, [n for n in nodes if n != "n3"]) == first or (
            first == "n3"
        )
        assert rank_coordinator(customer, first) == max(
            rank_coordinator(customer, node) for node in nodes
        )


def start(nodes=("a", "b")):
    """Return a coordinator in calm, with its grants."""
    coordinator = start_coordinator(LIMIT, 0.0)
    for node in nodes:
        add_entry(coordinator, 0.0, node, 0, 0)
    assert not plan_grants(coordinator, SETTLE_S / 2)
    return coordinator, plan_grants(coordinator, SETTLE_S)


def test_a_lost_grant_is_sent_again_after_the_next_report():
    coordinator, grants = start()
    granted = grants["a"].granted
    assert granted >= 2 and not plan_grants(coordinator, 1.0)
    record_usage(coordinator, 1.0, "a", 1, 0, 0, 0)
    assert plan_grants(coordinator, 1.0, "a")["a"].granted >= granted


def test_withdrawn_credits_count_as_used_until_the_entry_confirms():
    coordinator, grants = start()
    credit = grants["b"].granted
    record_usage(coordinator, 1.0, "a", 500, 20, 20, grants["a"].granted)
    withdrawn = plan_grants(coordinator, 1.0, "a")
    assert coordinator.short and withdrawn["b"].paced and withdrawn["b"].granted == 0
    assert coordinator.exposed == credit
    record_usage(coordinator, 1.1, "b", 0, 0, 0, credit)
    assert coordinator.exposed == credit
    record_usage(coordinator, 1.2, "b", 0, 0, 0, 0)
    assert coordinator.exposed == 0


def test_shares_follow_the_demand_and_a_silent_entry_keeps_its_own():
    coordinator, grants = start()
    for node, arrived in (("a", 90), ("b", 30)):
        record_usage(coordinator, 1.0, node, arrived, 20, 20, grants[node].granted)
    shares = {node: grant.calls_per_s for node, grant in plan_grants(coordinator, 1.1).items()}
    assert shares["a"] == pytest.approx(3 * shares["b"], rel=0.01)
    assert sum(shares.values()) <= 1.3 * LIMIT.calls_per_s
    record_usage(coordinator, 3.0, "a", 150, 30, 20, coordinator.entries["a"].granted)
    plan_grants(coordinator, 3.0)
    assert coordinator.reserved == shares["b"]
    drop_entry(coordinator, "b")
    assert plan_grants(coordinator, 3.1)["a"].calls_per_s >= shares["a"]


def test_a_shortage_withdraws_the_first_credits_of_nodes_without_a_session():
    coordinator, grants = start()
    record_usage(coordinator, 1.0, "a", 500, 20, 20, grants["a"].granted)
    withdrawn = plan_grants(coordinator, 1.0, "a", ["a", "b", "c"])
    assert withdrawn["c"].paced and withdrawn["c"].granted == 0
    assert coordinator.exposed == grants["b"].granted + 2
    add_entry(coordinator, 1.1, "c", 0, 0)
    assert coordinator.exposed == grants["b"].granted
    assert "c" not in plan_grants(coordinator, 1.2)


def share_among_many():
    """Return a coordinator of 200 entries with shares, and the grants of these."""
    nodes = [f"n{index}" for index in range(200)]
    coordinator, grants = start(nodes)
    for node in nodes:
        record_usage(coordinator, 1.0, node, 5, 0, 0, grants[node].granted)
    shares = plan_grants(coordinator, 1.0)
    for node in nodes:
        record_usage(coordinator, 1.1, node, 6, 0, 0, coordinator.entries[node].granted)
    return coordinator, shares


def test_entries_of_a_short_customer_report_the_less_often_the_more_they_are():
    _, shares = share_among_many()
    assert {share.report_intervals for share in shares.values()} == {4}
    assert start()[1]["a"].report_intervals == 1


def test_a_share_changes_after_its_entry_has_reported():
    # Else each review sends most of the shares, at 300 nodes 1,000 a second.
    coordinator, shares = share_among_many()
    assert len(shares) == 200 and all(share.calls_per_s for share in shares.values())
    for node in ("n1", "n2"):
        record_usage(coordinator, 1.4, node, 20, 0, 0, coordinator.entries[node].granted)
    assert set(plan_grants(coordinator, 1.4)) == {"n1", "n2"}


def test_a_shortage_of_many_entries_goes_on_while_the_demand_is_far_over_the_limit():
    # Else it ends as soon as shares leave some of the bucket unused, and all credits go out again.
    coordinator, _ = share_among_many()
    coordinator.tokens = LIMIT.burst
    plan_grants(coordinator, 1.2)
    assert coordinator.short
    plan_grants(coordinator, 3.0)
    assert not coordinator.short
