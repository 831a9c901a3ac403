"""Simulation in virtual time of customers' limits over all nodes of two regions."""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from ragwort_common import CustomerName, NodeId
from ragwort_flow import REPORT_INTERVAL_S
from ragwort_mesh._customer_limits import CustomerLimits
from ragwort_mesh._events import EventLog
from ragwort_mesh._telemetry import Telemetry
from ragwort_model import Bounds, Customer
from ragwort_protocol import encode_frame

BOUNDS = Bounds(limit_window_s=5.0, limit_excess=0.1, limit_slack=20.0)
CUSTOMER = CustomerName("c")
LATENCY_S = {True: 0.002, False: 0.03}
DETECTION_S = 2.2
"""Time until both ends close a link on which nothing arrives any more."""
DOWN_S = 1.5
FREEZE_S = 1.5
READY_S = 0.3
"""Time from the start of a node until callers learn that it is ready."""


@dataclass
class Result:
    """Calls of the customer by second, and the reference: one bucket that all nodes share."""

    calls_per_s: float
    burst: float
    arrived: int = 0
    wrongful: int = 0
    worst_excess: float = 0.0
    messages: int = 0
    far_bytes: int = 0
    admitted: int = 0
    refused: int = 0
    ideal: float = 0.0
    ideal_count: int = 0
    window: deque = field(default_factory=deque)
    tokens: float = 0.0
    updated: float = 0.0

    def __post_init__(self):
        self.tokens = self.ideal = self.burst
        allowed = self.calls_per_s * BOUNDS.limit_window_s + self.burst
        self.bound = allowed * (1 + BOUNDS.limit_excess) + BOUNDS.limit_slack

    def record(self, now, is_admitted):
        self.arrived += 1
        gained = (now - self.updated) * self.calls_per_s
        self.tokens, self.updated = min(self.burst, self.tokens + gained), now
        self.ideal = min(self.burst, self.ideal + gained)
        if self.ideal >= 1.0:
            self.ideal -= 1.0
            self.ideal_count += 1
        if not is_admitted:
            self.refused += 1
            self.wrongful += self.tokens >= 1.0
            return
        self.tokens = max(0.0, self.tokens - 1.0)
        self.admitted += 1
        self.window.append(now)
        while self.window[0] <= now - BOUNDS.limit_window_s:
            self.window.popleft()
        self.worst_excess = max(self.worst_excess, len(self.window) - self.bound)


class Simulation:
    """Nodes in two regions and one customer's calls."""

    def __init__(self, nodes, calls_per_s, burst, make_node=None, seed=1):
        self.random = random.Random(seed)
        self.customer = Customer(CUSTOMER, calls_per_s=calls_per_s, burst=burst)
        self.names = [NodeId(f"n{index}") for index in range(nodes)]
        self.region = {name: index % 2 for index, name in enumerate(self.names)}
        self.make_node = make_node or self.make_limits
        self.queue, self.order = [], itertools.count()
        self.now = 0.0
        self.is_cut = False
        self.closed = set()
        self.ready_at = {}
        self.frozen_until = {}
        self.result = Result(calls_per_s, burst)
        self.nodes = {}
        for name in self.names:
            self.start_node(name)

    def make_limits(self, simulation, name):
        limits = CustomerLimits(
            name,
            BOUNDS,
            lambda to, message: self.send(name, to, message),
            lambda: len(self.names),
            Telemetry(EventLog(name)),
            lambda: self.now,
        )
        limits.set_customers({CUSTOMER: self.customer})
        return limits

    def at(self, when, action, *arguments):
        heapq.heappush(self.queue, (when, next(self.order), action, arguments))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        self.now = until

    def is_open(self, one, other):
        return frozenset((one, other)) not in self.closed

    def send(self, sender, to, message):
        near = self.region[sender] == self.region[to]
        self.result.messages += 1
        if not near:
            self.result.far_bytes += 4 if isinstance(message, int) else len(encode_frame(message))
        if self.is_cut and not near:
            return
        self.at(self.now + LATENCY_S[near], self.deliver, sender, to, self.nodes.get(to), message)

    def deliver(self, sender, to, node, message):
        if self.postpone(to, self.deliver, sender, to, node, message):
            return
        is_linked = sender in self.nodes and self.is_open(sender, to)
        if node is not None and self.nodes.get(to) is node and is_linked:
            node.receive(sender, message)

    def postpone(self, name, action, *arguments):
        """Put off what a frozen node is to do, and return whether it is frozen."""
        until = self.frozen_until.get(name, 0.0)
        if until > self.now:
            self.at(until, action, *arguments)
        return until > self.now

    def start_node(self, name):
        node = self.nodes[name] = self.make_node(self, name)
        self.ready_at[name] = self.now + READY_S
        for other, other_node in self.nodes.items():
            if other != name and self.is_open(name, other):
                node.open_link(other)
                other_node.open_link(name)
        self.at(self.now + self.random.uniform(0, REPORT_INTERVAL_S), self.review, name, node)

    def review(self, name, node):
        if not self.postpone(name, self.review, name, node) and self.nodes.get(name) is node:
            node.review()
            self.at(self.now + REPORT_INTERVAL_S, self.review, name, node)

    def restart(self, names):
        """End some nodes, and start them again after a while."""
        for name in names:
            del self.nodes[name]
            self.at(self.now + DOWN_S, self.start_node, name)
        for node in self.nodes.values():
            for name in names:
                node.close_link(name)

    def cut(self, seconds):
        """Lose all messages between the regions for a time; links close once that is noticed."""
        self.is_cut = True
        self.at(self.now + DETECTION_S, self.set_far_links, False)
        self.at(self.now + seconds, self.mend)

    def mend(self):
        self.is_cut = False
        self.at(self.now + 0.5, self.set_far_links, True)

    def set_far_links(self, opened):
        pairs = [
            pair
            for pair in itertools.combinations(self.names, 2)
            if self.region[pair[0]] != self.region[pair[1]]
        ]
        (self.closed.difference_update if opened else self.closed.update)(map(frozenset, pairs))
        for one, other in pairs:
            for name, peer in ((one, other), (other, one)):
                if name in self.nodes and peer in self.nodes:
                    node = self.nodes[name]
                    (node.open_link if opened else node.close_link)(peer)

    def add_calls(self, start, end, per_s, names=None):
        """Add calls that arrive at random times at random nodes."""
        when = start
        while (when := when + self.random.expovariate(per_s)) < end:
            self.at(when, self.call, self.random.choice(names or self.names))

    def call(self, name):
        node = self.nodes.get(name)
        starts = max(self.ready_at[name], self.frozen_until.get(name, 0.0))
        if node is not None and self.now >= starts:
            self.result.record(self.now, node.admit(CUSTOMER, self.now) is None)
