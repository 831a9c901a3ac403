"""Chooses which node should own a key range, and records which node owns it.

Nodes whose views differ may choose differently; the lease of the range determines the owner.
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
    """Records the last known owner of each key range.

    A higher epoch replaces a lower one; within an epoch, a release replaces the owner.
    """

    def __init__(self) -> None:
        self._owners: dict[int, RangeOwner] = {}

    def record(self, key_range: int, node: NodeId, epoch: Epoch) -> bool:
        """Record the owner of a range; return whether that changed the record."""
        known = self._owners.get(key_range)
        if known is not None and not _is_newer(node, epoch, known):
            return False
        self._owners[key_range] = RangeOwner(node, epoch)
        return True

    def find(self, key_range: int) -> RangeOwner | None:
        """Return the last known owner of a range."""
        return self._owners.get(key_range)

    def count_ranges(self) -> dict[NodeId, int]:
        """Return the number of ranges of each known owner."""
        counts: dict[NodeId, int] = {}
        for owner in self._owners.values():
            counts[owner.node] = counts.get(owner.node, 0) + 1
        return counts


def choose_owner(
    key_range: int, nodes: Iterable[NodeId], held: Mapping[NodeId, int], ranges: int
) -> NodeId | None:
    """Return the node that should take a free key range.

    It is the node that rendezvous hashing ranks first among those that hold less than their even
    share. Ranges that have an owner are not moved, which provides hysteresis.

    Parameters
    ----------
    key_range
        The free range.
    nodes
        Nodes that accept ranges: alive, not leaving, in the region preferred for owners.
    held
        Number of ranges that each node is known to own.
    ranges
        Total number of ranges.
    """
    candidates = list(nodes)
    if not candidates:
        return None
    share = -(-ranges // len(candidates))
    free = [node for node in candidates if held.get(node, 0) < share]
    return max(free or candidates, key=lambda node: _score(key_range, node))


def count_excess(held: int, nodes: int, ranges: int) -> int:
    """Return how many ranges an owner should release because the fleet has grown.

    An owner keeps up to twice the even share, so that a few joining nodes cause no moves.
    """
    share = -(-ranges // max(1, nodes))
    return max(0, held - 2 * share)


def _is_newer(node: NodeId, epoch: Epoch, known: RangeOwner) -> bool:
    if epoch == known.epoch:
        return node == NOBODY and known.node != NOBODY
    return epoch > known.epoch


def _score(key_range: int, node: NodeId) -> int:
    return xxhash.xxh3_64_intdigest(node.encode(), seed=key_range)
