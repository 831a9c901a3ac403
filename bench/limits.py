"""Compares ways to limit a customer's calls over all nodes, in virtual time.

Run with ``tests`` on the module path: ``python -m bench.limits``.
"""

from collections.abc import Callable
from typing import Any

from limits_simulation import CUSTOMER, FREEZE_S, Result, Simulation
from ragwort_common import CustomerName, NodeId

SCENARIOS = (
    "calm",
    "limit",
    "few",
    "few limit",
    "few burst",
    "at once",
    "jump",
    "few jump",
    "jump cut",
    "calm cut",
    "cut before jump",
    "jump restart one by one",
    "calm restart one by one",
    "jump restart all",
    "jump coordinator",
    "calm coordinator",
    "calm freeze",
    "few freeze",
)

LIMITS = ((2.0, 2.0), (10.0, 10.0), (100.0, 50.0))
"""Rates and bursts."""

NODES = (6, 67, 700)

DURATION_S = 50.0


class OwnBucket:
    """Alternative: each node has a bucket with an equal part of rate and burst."""

    def __init__(self, simulation: Simulation, node: NodeId) -> None:
        self.simulation, self.node = simulation, node
        self.tokens, self.updated = 1.0, 0.0

    def admit(self, customer: CustomerName, now: float) -> float | None:
        """Admit a call and return None, or return a delay."""
        parts = len(self.simulation.names)
        most = max(1.0, self.simulation.customer.burst / parts)
        gained = (now - self.updated) * self.simulation.customer.calls_per_s / parts
        self.tokens, self.updated = min(most, self.tokens + gained), now
        if self.tokens < 1.0:
            return 1.0
        self.tokens -= 1.0
        return None

    def review(self) -> None:
        """Send what is due."""

    def open_link(self, node: NodeId) -> None:
        """Handle a link that opens or closes."""

    close_link = open_link


class Broadcast(OwnBucket):
    """Alternative: each node has the whole bucket, and tells all others what it has admitted."""

    def __init__(self, simulation: Simulation, node: NodeId) -> None:
        super().__init__(simulation, node)
        self.unsent = 0

    def admit(self, customer: CustomerName, now: float) -> float | None:
        """Admit a call and return None, or return a delay."""
        self._refill(now)
        if self.tokens < 1.0:
            return 1.0
        self.tokens -= 1.0
        self.unsent += 1
        return None

    def _refill(self, now: float) -> None:
        gained = (now - self.updated) * self.simulation.customer.calls_per_s
        self.tokens = min(self.simulation.customer.burst, self.tokens + gained)
        self.updated = now

    def review(self) -> None:
        """Send what is due."""
        if self.unsent:
            for other in self.simulation.names:
                if other != self.node:
                    self.simulation.send(self.node, other, self.unsent)
        self.unsent = 0

    def receive(self, node: NodeId, count: int) -> None:
        """Take another node's calls from the bucket."""
        self._refill(self.simulation.now)
        self.tokens -= count


def run_scenario(
    name: str,
    nodes: int,
    make_node: Callable[[Simulation, NodeId], Any] | None = None,
    calls_per_s: float = 10.0,
    burst: float = 10.0,
    seed: int = 1,
) -> Result:
    """Run the scenario that a name describes, and return its result from the tenth second on."""
    simulation = Simulation(nodes, calls_per_s, burst, make_node, seed)
    usual = 0.45 * calls_per_s
    few = simulation.names[:3] if name.startswith("few") else None
    settled, end = 10.0, 60.0
    simulation.add_calls(3.0, end, usual, few)
    if "cut before jump" in name:
        simulation.at(19.8, simulation.cut, 8.0)
    elif "cut" in name:
        simulation.at(25.0, simulation.cut, 8.0)
    if "jump" in name:
        simulation.add_calls(20.0, 40.0, 20 * usual, few)
    if "at once" in name:
        for index in range(nodes):
            simulation.at(20.0 + index * 0.003 / nodes, simulation.call, simulation.names[index])
    if "limit" in name:
        simulation.add_calls(10.0, end, 0.45 * calls_per_s, few)
    if "burst" in name:
        for second in range(15, 55, 10):
            for _ in range(int(burst * 0.8)):
                simulation.at(second, simulation.call, simulation.random.choice(few))
    if "restart one by one" in name:
        for index, node in enumerate(simulation.names[:: max(1, nodes // 12)]):
            simulation.at(21.0 + index, simulation.restart, [node])
    if "restart all" in name:
        simulation.at(28.0, simulation.restart, simulation.names)
    if "coordinator" in name:
        for second in (24.0, 28.0, 32.0):
            simulation.at(second, _restart_coordinator, simulation)
    if "freeze" in name:
        for second in range(15, 60, 10):
            simulation.at(second, _freeze_coordinator, simulation)
    simulation.run(settled)
    messages, far_bytes = simulation.result.messages, simulation.result.far_bytes
    simulation.result.wrongful = simulation.result.arrived = 0
    simulation.run(end)
    simulation.result.messages -= messages
    simulation.result.far_bytes -= far_bytes
    return simulation.result


def _find_coordinator(simulation: Simulation) -> NodeId:
    return next(iter(simulation.nodes.values()))._coordinator_nodes[CUSTOMER]


def _restart_coordinator(simulation: Simulation) -> None:
    simulation.restart([_find_coordinator(simulation)])


def _freeze_coordinator(simulation: Simulation) -> None:
    simulation.frozen_until[_find_coordinator(simulation)] = simulation.now + FREEZE_S


def main() -> None:
    """Print a line for each number of nodes, limit, scenario and way."""
    ways = (("credits", None), ("own bucket", OwnBucket), ("broadcast", Broadcast))
    for nodes in NODES:
        for calls_per_s, burst in LIMITS:
            for name in SCENARIOS:
                for label, make_node in ways:
                    if make_node is not None and name.endswith(("coordinator", "freeze")):
                        continue
                    result = run_scenario(name, nodes, make_node, calls_per_s, burst)
                    print(
                        f"{nodes:4} {calls_per_s:5} {name:24} {label:10}"
                        f" over {result.worst_excess:6.0f} of {result.bound:4.0f}"
                        f" wrongful {result.wrongful:5} of {result.arrived:6}"
                        f" admitted/ideal {result.admitted / result.ideal_count:5.2f}"
                        f" messages/s {result.messages / DURATION_S:7.1f}"
                        f" far B/s {result.far_bytes / DURATION_S:7.1f}",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
