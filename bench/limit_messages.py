"""Measures bytes, messages and processor time of customers' limits, in virtual time.

All customers of a deployment call through nodes in two regions, which run the real
``CustomerLimits`` over links that count the encoded messages. Run with ``tests`` on the module
path: ``python -m bench.limit_messages 30 100 300``.

Each phase prints the KB per second (sent and received) of the mean node, of the busiest one over
the phase and in its worst second, and between the regions; messages and KB per second of all nodes
by kind; the processor time, with that of the mean node by what it was spent on. *Wrongful* are
refusals below the limit, *over* the calls in the worst window above the bound, and *used* the calls
admitted of a customer that is short, in relation to one bucket that sees all arrivals.
"""

import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from limits_simulation import BOUNDS, LATENCY_S, Result, Simulation
from ragwort_common import CustomerName, NodeId
from ragwort_flow import REPORT_INTERVAL_S
from ragwort_mesh._customer_limits import CustomerLimits
from ragwort_mesh._events import EventLog
from ragwort_mesh._telemetry import Telemetry
from ragwort_model import Customer
from ragwort_protocol import (
    EvacuationNotice,
    FrameReader,
    LoadReport,
    NodeNotice,
    RevisionNotice,
    encode_frame,
)

CUSTOMERS = 76
CALLS_PER_S = 340.0
"""Calls per second of all customers together; the n-th largest sends 1/n of the largest."""

LIMIT_RATIO = 2.0
"""Limit of a customer, in relation to its usual rate; its burst is half a second of that."""

JUMP_FACTOR = 6.0
"""Calls of a customer that becomes short, in relation to its usual rate."""

START_S = 2.0
"""Time within which all nodes start."""

LINK_DELAY_S = 0.2
"""Maximum time for which the opening of a link is delayed, beside its round trip."""

PHASES = (
    ("start", 0.0, 10.0),
    ("calm", 20.0, 40.0),
    ("medium short", 40.0, 50.0),
    ("large short", 60.0, 70.0),
    ("node restarts", 80.0, 85.0),
    ("domain returns", 90.0, 100.0),
)
"""Names, starts and ends in seconds of what is measured."""


class Traffic:
    """Bytes, messages and processor time of a phase."""

    def __init__(self) -> None:
        self.bytes: Counter[NodeId] = Counter()
        self.cpu_s: Counter[NodeId] = Counter()
        self.cpu_by_kind: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self.sizes: Counter[str] = Counter()
        self.by_second: Counter[tuple[NodeId, int]] = Counter()
        self.far_bytes = 0


class Deployment(Simulation):
    """Nodes in two regions and the calls of many customers."""

    def __init__(self, nodes: int, seed: int = 1) -> None:
        self.started: set[NodeId] = set()
        weights = [1.0 / (index + 1) for index in range(CUSTOMERS)]
        self.usual = {
            CustomerName(f"customer-{index:02}"): CALLS_PER_S * weight / sum(weights)
            for index, weight in enumerate(weights)
        }
        self.limits = {
            name: Customer(name, calls_per_s=LIMIT_RATIO * rate, burst=rate)
            for name, rate in self.usual.items()
        }
        self.traffic = Traffic()
        self.results = {
            name: Result(limit.calls_per_s, limit.burst) for name, limit in self.limits.items()
        }
        super().__init__(nodes, 1.0, 1.0, None, seed)

    def make_limits(self, simulation: Simulation, name: NodeId) -> CustomerLimits:
        """Return the limits of a node that starts."""
        limits = CustomerLimits(
            name,
            BOUNDS,
            lambda to, message: self.send(name, to, message),
            lambda: len(self.names),
            Telemetry(EventLog(name)),
            lambda: self.now,
        )
        self.measure(name, "configure", limits.set_customers, self.limits)
        return limits

    def measure(self, node: NodeId, kind: str, action: Callable, *arguments: Any) -> Any:
        """Run an action of a node, and count its processor time."""
        started = time.thread_time()
        result = action(*arguments)
        spent = time.thread_time() - started
        self.traffic.cpu_s[node] += spent
        self.traffic.cpu_by_kind[kind] += spent
        return result

    def start_node(self, name: NodeId) -> None:
        """Start a node; its links open one after another."""
        if name not in self.started:
            self.started.add(name)
            self.at(self.random.uniform(0, START_S), self.start_node, name)
            return
        node = self.nodes[name] = self.make_limits(self, name)
        self.ready_at[name] = self.now + 0.3
        for other, other_node in self.nodes.items():
            if other != name:
                round_trip = 2 * LATENCY_S[self.region[name] == self.region[other]]
                delay = round_trip + self.random.uniform(0, LINK_DELAY_S)
                self.at(self.now + delay, self.open_link, name, node, other, other_node)
        self.at(self.now + self.random.uniform(0, REPORT_INTERVAL_S), self.review, name, node)

    def open_link(self, one: NodeId, node: Any, other: NodeId, other_node: Any) -> None:
        """Open a link, unless an end has stopped meanwhile."""
        if self.nodes.get(one) is node and self.nodes.get(other) is other_node:
            self.measure(one, "links", node.open_link, other)
            self.measure(other, "links", other_node.open_link, one)

    def restart(self, names: list[NodeId], down_s: float = 1.5) -> None:
        """End some nodes, and start them again after a while."""
        for name in names:
            del self.nodes[name]
            self.at(self.now + down_s, self.start_node, name)
        for other, node in self.nodes.items():
            for name in names:
                self.measure(other, "links", node.close_link, name)

    def send(self, sender: NodeId, to: NodeId, message: Any) -> None:
        """Encode and count a message, and deliver it later."""
        frame = encode_frame(message)
        traffic, kind = self.traffic, type(message).__name__
        traffic.messages[kind] += 1
        traffic.sizes[kind] += len(frame)
        for node in (sender, to):
            traffic.bytes[node] += len(frame)
            traffic.by_second[node, int(self.now)] += len(frame)
        near = self.region[sender] == self.region[to]
        traffic.far_bytes += 0 if near else len(frame)
        self.at(self.now + LATENCY_S[near], self.receive, sender, to, self.nodes.get(to), frame)

    def receive(self, sender: NodeId, to: NodeId, node: Any, frame: bytes) -> None:
        """Deliver a message, unless the node has restarted meanwhile."""
        if node is not None and self.nodes.get(to) is node and sender in self.nodes:
            self.measure(to, "receive", self.decode, node, sender, frame)

    def decode(self, node: Any, sender: NodeId, frame: bytes) -> None:
        """Let a node handle a received frame."""
        for message in FrameReader().feed(frame):
            node.receive(sender, message)

    def review(self, name: NodeId, node: Any) -> None:
        """Review a node's limits, and again after the interval."""
        if self.nodes.get(name) is node:
            self.measure(name, "review", node.review)
            self.at(self.now + REPORT_INTERVAL_S, self.review, name, node)

    def schedule_calls(self, customer: CustomerName, start: float, end: float, per_s: float):
        """Schedule the first of the calls that arrive at random times at random nodes."""
        when = start + self.random.expovariate(per_s)
        if when < end:
            self.at(when, self.call_customer, customer, when, end, per_s)

    def call_customer(self, customer: CustomerName, now: float, end: float, per_s: float) -> None:
        """Make a call and schedule the next."""
        name = self.random.choice(self.names)
        node = self.nodes.get(name)
        if node is not None and now >= self.ready_at[name]:
            delay = self.measure(name, "admit", node.admit, customer, now)
            self.results[customer].record(now, delay is None)
        self.schedule_calls(customer, now, end, per_s)


def run(nodes: int, seed: int = 1) -> None:
    """Run all phases with a number of nodes and print what each took."""
    deployment = Deployment(nodes, seed)
    names = list(deployment.usual)
    for customer, rate in deployment.usual.items():
        deployment.schedule_calls(customer, 3.0, PHASES[-1][2], rate)
    for customer, (_, start, end) in ((names[4], PHASES[2]), (names[0], PHASES[3])):
        extra = (JUMP_FACTOR - 1) * deployment.usual[customer]
        deployment.schedule_calls(customer, start, end, extra)
    chosen = random.Random(seed).sample(deployment.names, 1)
    deployment.at(PHASES[4][1] - 1.5, deployment.restart, chosen)
    deployment.at(PHASES[5][1] - 1.5, deployment.restart, deployment.names[::4])
    for label, start, end in PHASES:
        deployment.run(start)
        deployment.traffic = Traffic()
        short = {PHASES[2][0]: names[4], PHASES[3][0]: names[0]}.get(label)
        before = {name: _count(result) for name, result in deployment.results.items()}
        deployment.run(end)
        changes = {
            name: tuple(map(int.__sub__, _count(result), before[name]))
            for name, result in deployment.results.items()
        }
        wrongful = sum(change[2] for name, change in changes.items() if name != short)
        used = f"used {changes[short][0] / changes[short][1]:.2f}" if short else ""
        over = max(result.worst_excess for result in deployment.results.values())
        outcome = f"wrongful {wrongful} over {over:.0f} {used}"
        _print_phase(nodes, label, end - start, deployment.traffic, outcome)


def _count(result: Result) -> tuple[int, int, int]:
    return result.admitted, result.ideal_count, result.wrongful


def _print_phase(nodes: int, label: str, duration_s: float, traffic: Traffic, outcome: str) -> None:
    sizes = [count / duration_s / 1000 for count in traffic.bytes.values()]
    cpu = [100 * spent / duration_s for spent in traffic.cpu_s.values()]
    kinds = " ".join(
        f"{kind} {count / duration_s:.0f}/s {traffic.sizes[kind] / duration_s / 1e3:.1f}"
        for kind, count in sorted(traffic.messages.items())
    )
    shares = " ".join(
        f"{kind} {100 * spent / duration_s / nodes:.2f}"
        for kind, spent in sorted(traffic.cpu_by_kind.items())
    )
    peak = max(traffic.by_second.values(), default=0) / 1e3
    print(
        f"{nodes:4} {label:14} KB/s node {sum(sizes) / nodes:6.2f} busiest"
        f" {max(sizes, default=0):7.1f} peak {peak:6.1f}"
        f" regions {traffic.far_bytes / duration_s / 1e3:7.1f}"
        f" | {kinds} | cpu% node {sum(cpu) / nodes:5.2f} busiest {max(cpu):5.2f} ({shares})"
        f" | {outcome}",
        flush=True,
    )


def _print_other_messages() -> None:
    """Print the sizes of the other messages that a node sends to a newly linked peer."""
    messages = (
        LoadReport(2, 5, 0, 80_000),
        NodeNotice("node-of-fleet-123", "10.0.12.123:7400", "service-12", "domain-1", "region-1"),
        RevisionNotice(1_234_567, 0),
        EvacuationNotice(1_234_567, []),
    )
    sizes = {type(message).__name__: len(encode_frame(message)) for message in messages}
    print(f"at a link's opening, one way, without crashes: {sizes}, sum {sum(sizes.values())} B")


def main() -> None:
    """Measure with the numbers of nodes that the arguments state."""
    _print_other_messages()
    for argument in sys.argv[1:] or ("30", "100", "300"):
        run(int(argument))


if __name__ == "__main__":
    main()
