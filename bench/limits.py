"""Compares ways to limit a customer's calls over all nodes, in virtual time.

Run with ``tests`` on the module path: ``python -m bench.limits``.
"""

from limits_simulation import Simulation, run_scenario
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


def main() -> None:
    """Print a line for each number of nodes, limit, scenario and way."""
    ways = (("credits", None), ("own bucket", OwnBucket), ("broadcast", Broadcast))
    for nodes in NODES:
        for calls_per_s, burst in LIMITS:
            for name in SCENARIOS:
                for label, make_node in ways:
                    if make_node is not None and "coordinator" in name:
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
