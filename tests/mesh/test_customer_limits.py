"""Customers' limits over all nodes: in virtual time, and calls through complete nodes."""

import asyncio
import time
from dataclasses import replace

import pytest
from helper import wait_until
from limits_simulation import BOUNDS, CUSTOMER, Simulation
from mesh_cluster import make_configuration, make_route
from mesh_cluster import run_scenario as run_cluster_scenario
from ragwort_common import Outcome, Reason
from ragwort_flow._customer_limit import FIRST_CREDIT
from ragwort_mesh._entry import Entry
from ragwort_model import Bounds
from ragwort_transport import make_refusal

from bench.limits import run_scenario


@pytest.mark.parametrize("nodes", [6, 67])
@pytest.mark.parametrize(
    "name", ["calm", "few", "few limit", "few burst", "calm restart one by one", "calm coordinator"]
)
def test_no_call_below_the_limit_is_refused(nodes, name):
    result = run_scenario(name, nodes)
    assert result.wrongful == 0
    assert result.worst_excess == 0


@pytest.mark.parametrize("nodes", [6, 67])
@pytest.mark.parametrize(
    "name",
    [
        "jump",
        "few jump",
        "jump cut",
        "jump restart one by one",
        "jump restart all",
        "jump coordinator",
    ],
)
def test_the_bound_holds_and_the_limit_is_used_whatever_fails(nodes, name):
    result = run_scenario(name, nodes)
    assert result.worst_excess == 0
    assert result.admitted >= 0.85 * result.ideal_count


def test_a_cut_in_calm_refuses_few_calls():
    result = run_scenario("calm cut", 67, calls_per_s=100.0, burst=50.0)
    assert result.wrongful <= 0.005 * result.arrived


def test_an_entry_that_gets_no_share_confirms_that_its_credits_are_withdrawn():
    # Else they count as used, and the shares stay at zero.
    result = run_scenario("limit", 67, calls_per_s=2.0, burst=2.0)
    assert result.admitted >= 0.95 * result.ideal_count


def test_700_nodes_stay_within_the_bound():
    assert run_scenario("few jump", 700, calls_per_s=20.0, burst=20.0).worst_excess == 0


def set_limit(simulation, **fields):
    for node in simulation.nodes.values():
        node.set_customers({CUSTOMER: replace(simulation.customer, **fields)} if fields else {})


def test_changed_limits_take_effect_while_calls_arrive():
    simulation = Simulation(6, 10.0, 10.0)
    simulation.add_calls(3.0, 60.0, 30.0)
    counts = []
    for until in (10.0, 20.0, 30.0, 40.0, 50.0):
        simulation.run(until)
        counts.append(simulation.result.admitted - sum(counts))
        if until == 20.0:
            set_limit(simulation, calls_per_s=5.0)
        elif until == 30.0:
            set_limit(simulation, calls_per_s=40.0)
        elif until == 40.0:
            set_limit(simulation)
    assert 90 <= counts[1] <= 130
    assert 40 <= counts[2] <= 80
    assert counts[3] >= 270
    assert counts[4] >= 270
    assert not any(
        node._limits or node._coordinated.coordinators for node in simulation.nodes.values()
    )


def test_a_limit_that_a_running_customer_gets_refuses_no_call_below_it():
    simulation = Simulation(67, 10.0, 10.0)
    set_limit(simulation)
    simulation.run(10.0)
    simulation.add_calls(10.0, 20.0, 4.0)
    simulation.at(12.0, lambda: set_limit(simulation, calls_per_s=10.0))
    simulation.run(20.0)
    assert simulation.result.refused == 0


@pytest.fixture
def customer_of_calls(monkeypatch):
    """Make all calls those of one customer, as its key does."""
    make_call = Entry._make_call
    monkeypatch.setattr(
        Entry, "_make_call", lambda *arguments: replace(make_call(*arguments), customer=CUSTOMER)
    )


@pytest.mark.usefixtures("customer_of_calls")
def test_calls_above_the_limit_get_429_at_every_node_and_calls_not_run_count_for_nothing():
    customers = {CUSTOMER: {"apiKeys": ["k"], "ratePerS": 4, "burst": 4}}
    routes = {"a": make_route("s"), "b": make_route("none", "/b/")}
    key = {"Authorization": "Bearer k"}

    async def scenario(cluster):
        for member in cluster.members:
            member.node._customer_limits.set_bounds(Bounds(limit_excess=0.1, limit_slack=4.0))
        await cluster.store.put(
            "config", "main", {**make_configuration(1, routes), "tenants": customers}
        )
        await cluster.wait_until_linked()
        limits = [member.node._customer_limits for member in cluster.members]
        await wait_until(lambda: all(limit._credits[CUSTOMER].held for limit in limits))
        for index in range(40):
            status, headers, _ = await cluster.call(cluster.members[0], "/b/x", headers=key)
            assert status == 503, index
        started = time.monotonic()
        statuses = []
        for index in range(60):
            status, headers, _ = await cluster.call(cluster.members[index % 2], headers=key)
            statuses.append(status)
            assert status in (200, 429)
            assert status == 200 or float(headers["Retry-After"]) > 0
        window_s = max(5.0, time.monotonic() - started)
        assert 2 <= statuses.count(200) <= (4 * window_s + 4) * 1.1 + 4
        assert sum(sum(member.application.runs.values()) for member in cluster.members) == (
            statuses.count(200)
        )

    run_cluster_scenario(scenario, ("s", "s"))


KEY = {"Authorization": "Bearer k"}


def configure_limit(cluster, version, **limit):
    """Write a configuration with one customer and its limit, if any."""
    tenants = {CUSTOMER: {"apiKeys": ["k"], **limit}}
    configuration = {**make_configuration(version, {"a": make_route("s")}), "tenants": tenants}
    return cluster.store.put("config", "main", configuration)


@pytest.mark.parametrize(
    ("before", "after"),
    [({}, {"ratePerS": 40, "burst": 40}), ({"ratePerS": 40, "burst": 40}, {})],
    ids=["first limit", "limit removed"],
)
def test_call_that_is_refused_after_its_customers_limit_has_changed_ends_no_node(before, after):
    # A call admitted without a limit was given back to one that came into force while it waited,
    # and the next report of that customer, which had no session, ended the node.
    async def scenario(cluster):
        node = cluster.members[0].node
        limits, held = node._customer_limits, asyncio.Event()

        async def refuse_later(call, progress):
            await held.wait()
            return make_refusal(Outcome.NOT_RUN, Reason.OVERLOADED, 100)

        await configure_limit(cluster, 1, **before)
        await cluster.wait_until_linked()
        await wait_until(lambda: bool(limits._credits) == bool(before))
        await wait_until(lambda: all(credit.held for credit in limits._credits.values()))
        node._dispatcher.run_call = refuse_later
        call = asyncio.create_task(cluster.call(cluster.members[0], headers=KEY))
        await wait_until(lambda: node._entry_server.work.count == 1)
        await configure_limit(cluster, 2, **after)
        await wait_until(lambda: bool(limits._limits) == bool(after))
        held.set()
        assert (await call)[0] == 503
        limits.review()
        assert not any(task.exception() for task in node._tasks if task.done())
        assert all(credit.held <= FIRST_CREDIT for credit in limits._credits.values())

    run_cluster_scenario(scenario)


def make_entry(calls_per_s=10.0):
    """Return a simulation of three nodes, and one that doesn't coordinate the customer's limit."""
    simulation = Simulation(3, calls_per_s, 10.0)
    simulation.run(5.0)
    entry = next(
        node
        for node in simulation.nodes.values()
        if node._coordinator_nodes[CUSTOMER] != node._node
    )
    return simulation, entry


def test_call_that_is_refused_after_its_session_has_ended_is_not_reported_without_one():
    simulation, entry = make_entry()
    assert entry.admit(CUSTOMER, simulation.now) is None
    credit = entry.find_credit(CUSTOMER)
    # The coordinator is lost after the window in which the call counts.
    simulation.run(simulation.now + 2 * BOUNDS.limit_window_s)
    entry.close_link(entry._coordinator_nodes[CUSTOMER])
    assert CUSTOMER not in entry._sessions
    held = credit.held
    entry.give_back(CUSTOMER, credit)
    entry.review()
    assert credit.held == held


def test_call_of_a_former_limit_adds_no_credit_to_the_one_set_since():
    simulation, entry = make_entry()
    assert entry.admit(CUSTOMER, simulation.now) is None
    credit = entry.find_credit(CUSTOMER)
    entry.set_customers({})
    entry.set_customers({CUSTOMER: simulation.customer})
    held = entry.find_credit(CUSTOMER).held
    entry.give_back(CUSTOMER, credit)
    entry.review()
    assert entry.find_credit(CUSTOMER).held == held


def test_call_below_the_limit_that_is_refused_is_given_back_in_its_session():
    simulation, entry = make_entry()
    assert entry.admit(CUSTOMER, simulation.now) is None
    credit = entry.find_credit(CUSTOMER)
    held = credit.held
    entry.give_back(CUSTOMER, credit)
    assert credit.held == held + 1
    assert CUSTOMER in entry._changed
