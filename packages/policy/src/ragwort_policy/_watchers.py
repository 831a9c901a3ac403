"""Chooses the nodes that watch the platform, and the peers a node notifies of a new revision."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Protocol

from ragwort_common import FailureDomain, NodeId, Region
from ragwort_flow import WATCHERS_PER_DOMAIN, hash_node, is_watcher_among

NOTICE_FANOUT = 4


class PlacedPeer(Protocol):
    """The attributes of a peer that the choice depends on."""

    @property
    def node_id(self) -> NodeId:
        """Identifier of the peer."""

    @property
    def region(self) -> Region:
        """Region of the peer."""

    @property
    def failure_domain(self) -> FailureDomain:
        """Failure domain of the peer."""


class Sampler(Protocol):
    """The part of ``random.Random`` that is used here."""

    def sample(self, population: Sequence[NodeId], k: int) -> list[NodeId]:
        """Return distinct elements of a sequence."""


def choose_watchers(
    peers: Iterable[PlacedPeer], per_domain: int = WATCHERS_PER_DOMAIN
) -> frozenset[NodeId]:
    """Return the watchers among all alive peers: those of the highest ranks per failure domain.

    Nodes with the same view choose the same watchers without communication; while views differ,
    slightly more or fewer nodes watch.
    """
    domains: defaultdict[FailureDomain, list[NodeId]] = defaultdict(list)
    for peer in peers:
        domains[peer.failure_domain].append(peer.node_id)
    return frozenset(
        node
        for nodes in domains.values()
        for node in sorted(nodes, key=hash_node, reverse=True)[:per_domain]
    )


def is_watcher(
    own: PlacedPeer, peers: Iterable[PlacedPeer], per_domain: int = WATCHERS_PER_DOMAIN
) -> bool:
    """Return whether a node is one of the watchers of its failure domain."""
    neighbours = [peer.node_id for peer in peers if peer.failure_domain == own.failure_domain]
    return is_watcher_among(own.node_id, neighbours, per_domain)


def choose_notice_targets(
    own: PlacedPeer,
    peers: Sequence[PlacedPeer],
    rng: Sampler,
    fanout: int = NOTICE_FANOUT,
    crosses_regions: bool = False,
) -> list[NodeId]:
    """Return the peers to notify of a revision that has just come into force.

    These are the node's successor in the order of ids, so that the notices reach every node of the
    region while none fails, and random ones, so that they do so in few hops. With
    ``crosses_regions``, which only watchers set, one peer of each other region is added, in case
    the watchers of that region cannot reach the platform.
    """
    near = [peer.node_id for peer in peers if peer.region == own.region]
    targets = _choose_in_region(own.node_id, near, rng, fanout)
    if crosses_regions:
        targets += _choose_per_region(own.region, peers, rng)
    return targets


def _choose_in_region(
    own: NodeId, near: Iterable[NodeId], rng: Sampler, fanout: int
) -> list[NodeId]:
    others = [node for node in near if node != own]
    if len(others) <= fanout:
        return others
    following = [node for node in others if node > own]
    successor = min(following or others)
    others.remove(successor)
    return [successor, *rng.sample(others, fanout - 1)]


def _choose_per_region(own: Region, peers: Iterable[PlacedPeer], rng: Sampler) -> list[NodeId]:
    regions: defaultdict[Region, list[NodeId]] = defaultdict(list)
    for peer in peers:
        if peer.region != own:
            regions[peer.region].append(peer.node_id)
    return [rng.sample(nodes, 1)[0] for nodes in regions.values()]
