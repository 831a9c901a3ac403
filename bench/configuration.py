"""Measures how a revision of the rules reaches every node, by the policy and by watching.

The policy's own code decides; a queue of timed events carries its messages. Delays are one hop of
1 ms within a region and 30 ms between regions; documents also queue for the link between the
regions. Run with ``python -m bench.configuration``; each line is one JSON object.
"""

import heapq
import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from time import perf_counter

from ragwort_common import FailureDomain, NodeId, Region, Revision
from ragwort_policy import (
    UNKNOWN_DIGEST,
    RevisionState,
    Stamp,
    Standing,
    adopt_revision,
    choose_notice_targets,
    choose_source,
    choose_watchers,
    digest_document,
    drop_source,
    is_watcher,
    judge_revision,
    note_source,
)
from ragwort_protocol import RevisionNotice, encode_frame
from ragwort_store import RulesDocument, encode_document

SEED = 4
SIZES = ((24, 4), (720, 8), (7200, 8))
# Notices that a node sends at once, and how often it sends as many again.
PLANS = ((4, 0), (2, 1), (4, 1))
REPEAT_MS = 500.0
RULES_BYTES = 20_000
NEAR_MS = 1.0
FAR_MS = 30.0
LINK_BYTES_PER_MS = 30_000_000 / 8 / 1000
GOSSIP_MS = 1000.0

WATCH_WAIT_S = 30.0
PLATFORM_REGION = Region("region-0")


@dataclass(slots=True)
class Node:
    """One node of the fake fleet."""

    node_id: NodeId
    region: Region
    failure_domain: FailureDomain
    state: RevisionState = field(default_factory=RevisionState)
    is_silent: bool = False
    is_fetching: bool = False
    was_gossiped: bool = False
    heard_by_gossip: bool = False
    heard_ms: float = -1.0
    sent_bytes: int = 0
    notices: int = 0


class Fleet:
    """Nodes, a queue of timed events and the link between the regions."""

    def __init__(self, size: int, domains: int, plan: tuple[int, int], silent_share: float) -> None:
        self.rng = Random(SEED)
        self.fanout, self.repeats = plan
        self.now_ms = 0.0
        self.crossed_bytes = 0
        self.nodes: dict[NodeId, Node] = {}
        for index in range(size):
            domain = index % domains
            place = Region(f"region-{domain * 2 // domains}"), FailureDomain(f"domain-{domain}")
            node = Node(NodeId(f"node-{index}"), *place)
            node.is_silent = self.rng.random() < silent_share
            self.nodes[node.node_id] = node
        self.peers = list(self.nodes.values())
        self.by_region: dict[Region, list[Node]] = {}
        for node in self.peers:
            self.by_region.setdefault(node.region, []).append(node)
        self._link_free_ms = 0.0
        self._events: list = []
        self._numbers = count()
        text = b"x" * RULES_BYTES
        data = encode_document(RulesDocument(Revision(1), "operator", "", "id", text))
        self.document_bytes = len(data)
        self.stamp = Stamp(Revision(1), digest_document(data))
        self.notice_bytes = len(encode_frame(RevisionNotice(*self.stamp)))

    def carry(self, source: Region, target: Region, size: int, action) -> None:
        """Run an action at the target after the way there."""
        delay = NEAR_MS
        if source != target:
            self.crossed_bytes += size
            self._link_free_ms = max(self._link_free_ms, self.now_ms) + size / LINK_BYTES_PER_MS
            delay = FAR_MS + self._link_free_ms - self.now_ms
        self.schedule(delay, action)

    def schedule(self, delay_ms: float, action) -> None:
        """Run an action later."""
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._numbers), action))

    def run(self) -> None:
        """Run events until all nodes that aren't silent have heard, and for the repeats."""
        waiting = sum(not node.is_silent for node in self.peers)
        while waiting:
            waiting -= self._run_next()
        last_ms = self.now_ms + REPEAT_MS * self.repeats
        while self._events and self._events[0][0] <= last_ms:
            self._run_next()

    def _run_next(self) -> int:
        self.now_ms, _, action = heapq.heappop(self._events)
        return action() or 0

    def read_platform(self, node: Node) -> None:
        """Let a node hear from the platform."""
        take = partial(self.take, node, crosses=True)
        self.carry(PLATFORM_REGION, node.region, self.document_bytes, take)

    def take(self, node: Node, crosses: bool) -> int:
        """Bring the revision into force on a node and pass it on; 1 when it was new."""
        if node.is_silent or judge_revision(node.state, self.stamp) is not Standing.NEWER:
            return 0
        adopt_revision(node.state, self.stamp)
        node.heard_ms = self.now_ms
        node.heard_by_gossip = node.was_gossiped
        if self.fanout:
            self.send_notices(node, crosses)
        for turn in range(self.repeats):
            repeat = partial(self.send_notices, node, crosses=False)
            self.schedule(REPEAT_MS * (turn + 1), repeat)
        return 1

    def send_notices(self, node: Node, crosses: bool) -> None:
        """Tell the peers that the policy chooses."""
        targets = choose_notice_targets(node, self.peers, self.rng, self.fanout, crosses)
        for target in targets:
            self.send_notice(node, self.nodes[target], self.stamp)

    def send_notice(self, node: Node, peer: Node, stamp: Stamp) -> None:
        """Send one notice, or the same as a part of gossip."""
        node.notices += 1
        node.sent_bytes += self.notice_bytes
        hear = partial(self.hear, peer, node, stamp)
        self.carry(node.region, peer.region, self.notice_bytes, hear)

    def hear(self, node: Node, peer: Node, stamp: Stamp) -> None:
        """Take in a notice and fetch what it names."""
        if not node.is_silent:
            note_source(node.state, peer.node_id, stamp)
            self.fetch_next(node)

    def fetch_next(self, node: Node) -> None:
        """Fetch from the source that the policy chooses."""
        source = choose_source(node.state)
        if source is None or node.is_fetching:
            return
        node.is_fetching = True
        peer = self.nodes[source[0]]
        self.carry(node.region, peer.region, self.notice_bytes, partial(self.reply, peer, node))

    def reply(self, peer: Node, node: Node) -> None:
        """Send the document to a node that asked."""
        peer.sent_bytes += self.document_bytes
        finish = partial(self.finish_fetch, node, peer)
        self.carry(peer.region, node.region, self.document_bytes, finish)

    def finish_fetch(self, node: Node, peer: Node) -> int:
        """Take in a fetched document."""
        node.is_fetching = False
        drop_source(node.state, peer.node_id)
        return self.take(node, crosses=False)

    def gossip(self, node: Node) -> None:
        """Exchange revision numbers with one peer of the region, each gossip period."""
        self.schedule(GOSSIP_MS, partial(self.gossip, node))
        peer = self.rng.choice(self.by_region[node.region])
        if node.is_silent or peer.is_silent or peer is node:
            return
        # The numbers ride on messages that are sent anyway, so they are not counted here.
        if node.state.in_force.revision > peer.state.in_force.revision:
            self.schedule(NEAR_MS, partial(self.hear_gossip, peer, node))
        elif node.state.in_force.revision < peer.state.in_force.revision:
            self.schedule(NEAR_MS * 2, partial(self.hear_gossip, node, peer))

    def hear_gossip(self, node: Node, peer: Node) -> None:
        """Take in the number on a peer's gossip."""
        node.was_gossiped = True
        self.hear(node, peer, Stamp(self.stamp.revision, UNKNOWN_DIGEST))

    def start_gossip(self) -> None:
        """Start each node's gossip at a phase of its own."""
        for node in self.peers:
            self.schedule(self.rng.random() * GOSSIP_MS, partial(self.gossip, node))


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one revision cost."""

    pushed_share: float
    all_heard_ms: float
    watches: int
    notices: float
    bytes_mean: float
    bytes_max: int
    crossed_bytes: int


def spread(size: int, domains: int, plan: tuple[int, int], silent_share: float) -> Outcome:
    """Spread one revision; every node watches when the fan-out is zero."""
    fleet = Fleet(size, domains, plan, silent_share)
    fanout, _ = plan
    watchers = choose_watchers(fleet.peers) if fanout else frozenset(fleet.nodes)
    for node_id in sorted(watchers):
        fleet.read_platform(fleet.nodes[node_id])
    if fanout:
        fleet.start_gossip()
    fleet.run()
    loud = [node for node in fleet.peers if not node.is_silent]
    pushed = sum(not node.heard_by_gossip for node in loud) / len(loud)
    return Outcome(
        pushed_share=pushed,
        all_heard_ms=max(node.heard_ms for node in loud),
        watches=len(watchers),
        notices=sum(node.notices for node in fleet.peers) / size,
        bytes_mean=sum(node.sent_bytes for node in fleet.peers) / size,
        bytes_max=max(node.sent_bytes for node in fleet.peers),
        crossed_bytes=fleet.crossed_bytes,
    )


def measure_spread() -> Iterator[dict]:
    """Yield the figures of each size, plan and share of silent nodes."""
    for size, domains in SIZES:
        for silent_share in (0.0, 0.05):
            base = spread(size, domains, (0, 0), silent_share)
            for plan in PLANS:
                result = spread(size, domains, plan, silent_share)
                case = f"n={size} fanout={plan[0]}x{plan[1] + 1} silent={silent_share:.0%}"
                yield _line(f"all heard, {case}", result.all_heard_ms, "ms", base.all_heard_ms)
                yield _line(f"heard by push, {case}", result.pushed_share, "share", 1.0)
                yield _line(f"watches held, {case}", result.watches, "calls", base.watches)
                polls = result.watches / WATCH_WAIT_S, base.watches / WATCH_WAIT_S
                yield _line(f"platform calls when quiet, {case}", polls[0], "calls/s", polls[1])
                yield _line(f"notices per node, {case}", result.notices, "messages", base.notices)
                yield _line(f"bytes per node, {case}", result.bytes_mean, "B", base.bytes_mean)
                yield _line(f"most bytes of a node, {case}", result.bytes_max, "B", base.bytes_max)
                crossed = result.crossed_bytes, base.crossed_bytes
                yield _line(f"bytes between regions, {case}", crossed[0], "B", crossed[1])


def measure_decisions() -> Iterator[dict]:
    """Yield the processor time of the decisions whose cost grows with the fleet."""
    first: dict[str, float] = {}
    for size, domains in SIZES:
        peers = Fleet(size, domains, (0, 0), 0.0).peers
        rng = Random(SEED)
        decisions = {
            "is_watcher": partial(is_watcher, peers[0], peers),
            "choose_notice_targets": partial(choose_notice_targets, peers[0], peers, rng),
        }
        for name, decide in decisions.items():
            value = _time_call(decide)
            yield _line(f"{name}, n={size}", value, "us", first.setdefault(name, value))


def _time_call(decide, rounds: int = 20) -> float:
    best = float("inf")
    for _ in range(rounds):
        start = perf_counter()
        decide()
        best = min(best, perf_counter() - start)
    return best * 1e6


def _line(name: str, value: float, unit: str, baseline: float) -> dict:
    ratio = round(value / baseline, 4) if baseline else None
    return {
        "name": f"configuration: {name}",
        "value": round(value, 4),
        "unit": unit,
        "baseline": round(baseline, 4),
        "ratio": ratio,
        "seed": SEED,
    }


def run() -> None:
    """Print all figures."""
    for line in measure_spread():
        print(json.dumps(line))
    for line in measure_decisions():
        print(json.dumps(line))


if __name__ == "__main__":
    run()
