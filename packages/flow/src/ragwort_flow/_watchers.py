"""Chooses which nodes of a failure domain follow the store for all of them.

Each watch is a call to the store, and each change ends every watch, so a fleet that watched as one
would cost the store a call a node and change. Nodes with the same view choose the same watchers
without a message (rendezvous hashing, Thaler and Ravishankar, 1998); where views differ, a few
more or fewer watch for a while.
"""

from collections.abc import Iterable
from zlib import crc32

from ragwort_common import NodeId

WATCHERS_PER_DOMAIN = 2
"""Nodes of a failure domain that follow the store: one may be lost without a gap."""


def rank_node(node: NodeId) -> int:
    """Return a node's rank, which spreads duties evenly over names."""
    return crc32(node.encode())


def is_watcher_among(
    own: NodeId, others: Iterable[NodeId], per_domain: int = WATCHERS_PER_DOMAIN
) -> bool:
    """Tell whether a node is one of its failure domain's watchers.

    Parameters
    ----------
    others
        Nodes of the same domain that could watch: within reach, and served by the store.
    """
    rank = rank_node(own)
    return sum(rank_node(other) > rank for other in others) < per_domain
