"""Measures how a rules revision reaches every node, by the policy and by watches alone.

With the policy, few nodes watch the platform, and notices and gossip inform the others; in the
baseline every node watches. The real policy code makes the decisions in a discrete-event
simulation of the network. One hop takes 1 ms within a region and 30 ms between regions, where
messages also queue for the bandwidth of the link. Run as ``python -m bench.configuration``; it
prints one JSON object per line.
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
from ragwort_node._rules_watch import WatchSettings
from ragwort_policy import (
    UNKNOWN_DIGEST,
    RevisionId,
    RevisionState,
    RevisionStatus,
    adopt_revision,
    choose_notice_targets,
    choose_source,
    choose_watchers,
    compare_revision,
    digest_document,
    drop_source,
    is_watcher,
    record_source,
)
from ragwort_protocol import RevisionNotice, encode_frame
from ragwort_store import RulesDocument, encode_rules_document

SEED = 4
SIZES = ((24, 4), (720, 8), (7200, 8))
# Number of peers that a node notifies at once, and how often it repeats that.
NOTICE_PLANS = ((4, 0), (2, 1), (4, 1))
REPEAT_MS = 500.0
RULES_BYTES = 20_000
NEAR_MS = 1.0
FAR_MS = 30.0
LINK_BYTES_PER_MS = 30_000_000 / 8 / 1000
GOSSIP_MS = 1000.0

WATCH_WAIT_S = WatchSettings().wait_ms / 1000
PLATFORM_REGION = Region("region-0")


@dataclass(slots=True)
class Node:
    """One simulated node."""

    node_id: NodeId
    region: Region
    failure_domain: FailureDomain
    state: RevisionState = field(default_factory=RevisionState)
    is_silent: bool = False
    is_fetching: bool = False
    got_gossip_notice: bool = False
    received_by_gossip: bool = False
    received_ms: float = -1.0
    sent_bytes: int = 0
    notices: int = 0


class Fleet:
    """The simulated nodes, the event queue and the link between the regions."""

    def __init__(self, size: int, domains: int, plan: tuple[int, int], silent_share: float) -> None:
        self.rng = Random(SEED)
        self.fanout, self.repeats = plan
        self.now_ms = 0.0
        self.cross_region_bytes = 0
        self.nodes: dict[NodeId, Node] = {}
        for index in range(size):
            domain = index % domains
            location = Region(f"region-{domain * 2 // domains}"), FailureDomain(f"domain-{domain}")
            node = Node(NodeId(f"node-{index}"), *location)
            node.is_silent = self.rng.random() < silent_share
            self.nodes[node.node_id] = node
        self.peers = list(self.nodes.values())
        self.by_region: dict[Region, list[Node]] = {}
        for node in self.peers:
            self.by_region.setdefault(node.region, []).append(node)
        self._link_free_ms = 0.0
        self._events: list = []
        self._sequence = count()
        text = b"x" * RULES_BYTES
        data = encode_rules_document(RulesDocument(Revision(1), "operator", "", "id", text))
        self.document_bytes = len(data)
        self.revision_id = RevisionId(Revision(1), digest_document(data))
        self.notice_bytes = len(encode_frame(RevisionNotice(*self.revision_id)))

    def transfer(self, source: Region, target: Region, size: int, action) -> None:
        """Run an action at the target region after the network delay."""
        delay = NEAR_MS
        if source != target:
            self.cross_region_bytes += size
            self._link_free_ms = max(self._link_free_ms, self.now_ms) + size / LINK_BYTES_PER_MS
            delay = FAR_MS + self._link_free_ms - self.now_ms
        self.schedule(delay, action)

    def schedule(self, delay_ms: float, action) -> None:
        """Run an action after a delay."""
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._sequence), action))

    def run(self) -> None:
        """Run events until every responsive node has the revision and all repeats are sent."""
        waiting = sum(not node.is_silent for node in self.peers)
        while waiting:
            waiting -= self._run_next()
        last_ms = self.now_ms + REPEAT_MS * self.repeats
        while self._events and self._events[0][0] <= last_ms:
            self._run_next()

    def _run_next(self) -> int:
        self.now_ms, _, action = heapq.heappop(self._events)
        return action() or 0

    def deliver_from_platform(self, node: Node) -> None:
        """Deliver the document from the platform to a node."""
        action = partial(self.receive_document, node, across_regions=True)
        self.transfer(PLATFORM_REGION, node.region, self.document_bytes, action)

    def receive_document(self, node: Node, across_regions: bool) -> int:
        """Put the revision in force on a node and notify its peers; return 1 if it was new."""
        if (
            node.is_silent
            or compare_revision(node.state, self.revision_id) is not RevisionStatus.NEWER
        ):
            return 0
        adopt_revision(node.state, self.revision_id)
        node.received_ms = self.now_ms
        node.received_by_gossip = node.got_gossip_notice
        if self.fanout:
            self.send_notices(node, across_regions)
        for turn in range(self.repeats):
            repeat = partial(self.send_notices, node, across_regions=False)
            self.schedule(REPEAT_MS * (turn + 1), repeat)
        return 1

    def send_notices(self, node: Node, across_regions: bool) -> None:
        """Notify the peers that the policy chooses."""
        targets = choose_notice_targets(node, self.peers, self.rng, self.fanout, across_regions)
        for target in targets:
            self.send_notice(node, self.nodes[target], self.revision_id)

    def send_notice(self, node: Node, peer: Node, revision_id: RevisionId) -> None:
        """Send one notice to a peer."""
        node.notices += 1
        node.sent_bytes += self.notice_bytes
        action = partial(self.receive_notice, peer, node, revision_id)
        self.transfer(node.region, peer.region, self.notice_bytes, action)

    def receive_notice(self, node: Node, peer: Node, revision_id: RevisionId) -> None:
        """Handle a notice and fetch the document it names."""
        if not node.is_silent:
            record_source(node.state, peer.node_id, revision_id)
            self.fetch_next(node)

    def fetch_next(self, node: Node) -> None:
        """Request the document from the source that the policy chooses."""
        source = choose_source(node.state)
        if source is None or node.is_fetching:
            return
        node.is_fetching = True
        peer = self.nodes[source[0]]
        self.transfer(
            node.region, peer.region, self.notice_bytes, partial(self.send_document, peer, node)
        )

    def send_document(self, peer: Node, node: Node) -> None:
        """Send the document to the node that requested it."""
        peer.sent_bytes += self.document_bytes
        action = partial(self.finish_fetch, node, peer)
        self.transfer(peer.region, node.region, self.document_bytes, action)

    def finish_fetch(self, node: Node, peer: Node) -> int:
        """Handle a fetched document."""
        node.is_fetching = False
        drop_source(node.state, peer.node_id)
        return self.receive_document(node, across_regions=False)

    def exchange_gossip(self, node: Node) -> None:
        """Exchange revision numbers with one peer of the region in each gossip period."""
        self.schedule(GOSSIP_MS, partial(self.exchange_gossip, node))
        peer = self.rng.choice(self.by_region[node.region])
        if node.is_silent or peer.is_silent or peer is node:
            return
        # Not counted as traffic: the numbers are fields of messages that are sent anyway.
        if node.state.in_force.revision > peer.state.in_force.revision:
            self.schedule(NEAR_MS, partial(self.receive_gossip, peer, node))
        elif node.state.in_force.revision < peer.state.in_force.revision:
            self.schedule(NEAR_MS * 2, partial(self.receive_gossip, node, peer))

    def receive_gossip(self, node: Node, peer: Node) -> None:
        """Handle the revision number in a peer's gossip message."""
        node.got_gossip_notice = True
        self.receive_notice(node, peer, RevisionId(self.revision_id.revision, UNKNOWN_DIGEST))

    def start_gossip(self) -> None:
        """Start each node's gossip at a random phase of the period."""
        for node in self.peers:
            self.schedule(self.rng.random() * GOSSIP_MS, partial(self.exchange_gossip, node))


@dataclass(frozen=True, slots=True)
class DistributionCost:
    """The delay and the cost of distributing one revision."""

    pushed_share: float
    all_received_ms: float
    watches: int
    notices: float
    bytes_mean: float
    bytes_max: int
    cross_region_bytes: int


def distribute_revision(
    size: int, domains: int, plan: tuple[int, int], silent_share: float
) -> DistributionCost:
    """Simulate the distribution of one revision; with a fan-out of zero every node watches."""
    fleet = Fleet(size, domains, plan, silent_share)
    fanout, _ = plan
    watchers = choose_watchers(fleet.peers) if fanout else frozenset(fleet.nodes)
    for node_id in sorted(watchers):
        fleet.deliver_from_platform(fleet.nodes[node_id])
    if fanout:
        fleet.start_gossip()
    fleet.run()
    responsive = [node for node in fleet.peers if not node.is_silent]
    pushed = sum(not node.received_by_gossip for node in responsive) / len(responsive)
    return DistributionCost(
        pushed_share=pushed,
        all_received_ms=max(node.received_ms for node in responsive),
        watches=len(watchers),
        notices=sum(node.notices for node in fleet.peers) / size,
        bytes_mean=sum(node.sent_bytes for node in fleet.peers) / size,
        bytes_max=max(node.sent_bytes for node in fleet.peers),
        cross_region_bytes=fleet.cross_region_bytes,
    )


def measure_distribution() -> Iterator[dict]:
    """Yield the results for each fleet size, notice plan and share of silent nodes."""
    for size, domains in SIZES:
        for silent_share in (0.0, 0.05):
            base = distribute_revision(size, domains, (0, 0), silent_share)
            for plan in NOTICE_PLANS:
                result = distribute_revision(size, domains, plan, silent_share)
                case = f"n={size} fanout={plan[0]}x{plan[1] + 1} silent={silent_share:.0%}"
                yield _make_line(
                    f"all heard, {case}", result.all_received_ms, "ms", base.all_received_ms
                )
                yield _make_line(f"heard by push, {case}", result.pushed_share, "share", 1.0)
                yield _make_line(f"watches held, {case}", result.watches, "calls", base.watches)
                polls = result.watches / WATCH_WAIT_S, base.watches / WATCH_WAIT_S
                yield _make_line(
                    f"platform calls when quiet, {case}", polls[0], "calls/s", polls[1]
                )
                yield _make_line(
                    f"notices per node, {case}", result.notices, "messages", base.notices
                )
                yield _make_line(f"bytes per node, {case}", result.bytes_mean, "B", base.bytes_mean)
                yield _make_line(
                    f"most bytes of a node, {case}", result.bytes_max, "B", base.bytes_max
                )
                cross_region = result.cross_region_bytes, base.cross_region_bytes
                yield _make_line(
                    f"bytes between regions, {case}", cross_region[0], "B", cross_region[1]
                )


def measure_decisions() -> Iterator[dict]:
    """Yield the processor time of the decisions whose cost grows with the fleet size."""
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
            yield _make_line(f"{name}, n={size}", value, "us", first.setdefault(name, value))


def _time_call(decide, rounds: int = 20) -> float:
    best = float("inf")
    for _ in range(rounds):
        start = perf_counter()
        decide()
        best = min(best, perf_counter() - start)
    return best * 1e6


def _make_line(name: str, value: float, unit: str, baseline: float) -> dict:
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
    """Print all results."""
    for line in measure_distribution():
        print(json.dumps(line))
    for line in measure_decisions():
        print(json.dumps(line))


if __name__ == "__main__":
    run()
