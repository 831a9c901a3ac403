"""Messages about customers' limits: who needs none, and what a node without a session may admit."""

import pytest
from limits_simulation import CUSTOMER, Simulation

from bench.limit_messages import Deployment


def make_short(nodes=30, until=12.0):
    """Return a simulation in which the customer is short by calls at three nodes."""
    simulation = Simulation(nodes, 10.0, 10.0)
    simulation.add_calls(3.0, 60.0, 90.0, simulation.names[:3])
    simulation.run(until)
    assert simulation.result.refused
    return simulation


def test_links_open_without_reports_for_customers_without_calls():
    # A session per customer and node, begun again as better coordinators were linked, took 80 KB
    # in a second at one of 300 nodes.
    deployment = Deployment(20)
    deployment.run(2.9)
    assert set(deployment.traffic.messages) == {"LimitsReady"}
    assert deployment.traffic.messages["LimitsReady"] <= 2 * 20 * 19
    for node in deployment.nodes.values():
        assert {credit.held for credit in node._credits.values()} == {2}


def test_a_restart_reports_only_customers_with_recent_calls():
    deployment = Deployment(20)
    customer, *_ = deployment.usual
    deployment.schedule_calls(customer, 3.0, 30.0, 20.0)
    deployment.run(20.0)
    coordinator = deployment.nodes["n0"]._coordinator_nodes[customer]
    deployment.restart([coordinator])
    deployment.run(25.0)
    sessions = [set(node._sessions) for node in deployment.nodes.values()]
    assert set.union(*sessions) == {customer}
    assert deployment.results[customer].refused == 0


def test_a_shortage_withdraws_the_credits_of_nodes_without_calls():
    # Else each of them could admit two more calls, which are more than the bound if nodes are many.
    simulation = make_short()
    assert not any(node._credits[CUSTOMER].held for node in simulation.nodes.values())
    admitted = simulation.result.admitted
    for name in simulation.names[3:]:
        simulation.call(name)
    assert simulation.result.admitted == admitted


@pytest.mark.parametrize("index", [0, 10])
def test_a_node_that_restarts_in_a_shortage_gets_no_first_credits(index):
    simulation = make_short()
    name = simulation.names[index]
    simulation.restart([name])
    simulation.run(simulation.now + 3.0)
    assert simulation.nodes[name]._credits[CUSTOMER].paced
    assert simulation.nodes[name]._credits[CUSTOMER].held == 0
    assert simulation.result.worst_excess == 0


def test_nodes_without_calls_hold_first_credits_again_after_a_shortage():
    simulation = Simulation(30, 10.0, 10.0)
    simulation.add_calls(3.0, 10.0, 90.0, simulation.names[:3])
    simulation.run(30.0)
    assert {node._credits[CUSTOMER].held >= 2 for node in simulation.nodes.values()} == {True}
