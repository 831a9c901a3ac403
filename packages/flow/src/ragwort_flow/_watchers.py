"""Selects the nodes of a failure domain that watch the store on behalf of the others.

Each watch is a call to the store, and each change ends every watch. If all nodes watched, every
change would cost the store one call per node. Nodes with the same membership view select the same
watchers without communication (rendezvous hashing, Thaler and Ravishankar, 1998). While views
differ, slightly more or fewer nodes watch.
"""

from collections.abc import Iterable
from zlib import crc32

from ragwort_common import NodeId

WATCHERS_PER_DOMAIN = 2
"""Watchers per failure domain: one may fail without interrupting the watch."""


DOMAIN_PROBES_PER_S = 4.0
"""Requests per second that a failure domain sends to a store that serves none of its nodes. The end
of an outage is noticed within a fraction of a second, whatever the number of nodes."""


def hash_node(node: NodeId) -> int:
    """Return a node's hash rank, which distributes roles evenly over node names."""
    return crc32(node.encode())


def is_watcher_among(
    own: NodeId, others: Iterable[NodeId], per_domain: int = WATCHERS_PER_DOMAIN
) -> bool:
    """Return whether a node is one of its failure domain's watchers.

    Parameters
    ----------
    others
        Other candidates in the same domain: reachable nodes that the store serves.
    """
    rank = hash_node(own)
    return sum(hash_node(other) > rank for other in others) < per_domain


def find_probe_interval(unserved_peers: int) -> float:
    """Return how often a node tries a store that does not serve it, in seconds.

    Nodes of a failure domain that the store doesn't serve share ``DOMAIN_PROBES_PER_S``, so that a
    long outage costs the same in a domain of any size.

    Parameters
    ----------
    unserved_peers
        Linked nodes of the same failure domain that the store doesn't serve either.
    """
    return (1 + unserved_peers) / DOMAIN_PROBES_PER_S
