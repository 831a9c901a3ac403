"""Chooses which node should own a key range, and remembers which node does.

Nodes whose views differ may choose differently; the lease of the range settles who owns it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash
from ragwort_common import Epoch, NodeId

NOBODY = NodeId("")


@dataclass(frozen=True, slots=True)
class RangeOwner:
    """The node that owns a key range, and the epoch of its lease.

    The node is ``NOBODY`` when the owner of that epoch has released the range.
    """

    node: NodeId
    epoch: Epoch


class OwnerMap:
    """Remembers the owner of each key range.

    News of a higher epoch replaces that of a lower one; within an epoch, a release comes last.
    """

    def __init__(self) -> None:
        self._owners: dict[int, RangeOwner] = {}

    def learn(self, key_range: int, node: NodeId, epoch: Epoch) -> bool:
        """Take in news of an owner and tell whether it was new."""
        known = self._owners.get(key_range)
        if known is not None and not _is_newer(node, epoch, known):
            return False
        self._owners[key_range] = RangeOwner(node, epoch)
        return True

    def find(self, key_range: int) -> RangeOwner | None:
        """Return the last known owner of a range."""
        return self._owners.get(key_range)

    def count_ranges(self) -> dict[NodeId, int]:
        """Return how many ranges each known owner has."""
        counts: dict[NodeId, int] = {}
        for owner in self._owners.values():
            counts[owner.node] = counts.get(owner.node, 0) + 1
        return counts


def choose_owner(
    key_range: int, nodes: Iterable[NodeId], held: Mapping[NodeId, int], ranges: int
) -> NodeId | None:
    """Return the node that should take a free key range.

    It is the node that rendezvous hashing puts first among those that hold less than their
    even share. A range that has an owner is left where it is, which gives the hysteresis.

    Parameters
    ----------
    key_range
        The free range.
    nodes
        Nodes that accept ranges: alive, not leaving, in the region preferred for owners.
    held
        Ranges that each node is known to own.
    ranges
        Number of all ranges.
    """
    candidates = list(nodes)
    if not candidates:
        return None
    share = -(-ranges // len(candidates))
    free = [node for node in candidates if held.get(node, 0) < share]
    return max(free or candidates, key=lambda node: _score(key_range, node))


def count_excess(held: int, nodes: int, ranges: int) -> int:
    """Return how many ranges an owner should release because the fleet has grown.

    Up to twice the even share is kept, so that a few joining nodes move nothing.
    """
    share = -(-ranges // max(1, nodes))
    return max(0, held - 2 * share)


def _is_newer(node: NodeId, epoch: Epoch, known: RangeOwner) -> bool:
    if epoch == known.epoch:
        return node == NOBODY and known.node != NOBODY
    return epoch > known.epoch


def _score(key_range: int, node: NodeId) -> int:
    return xxhash.xxh3_64_intdigest(node.encode(), seed=key_range)
