"""Asks peers for newer rules before a node that has just started brings any into force.

Before a restart the host may have applied newer rules than the platform or a slow peer has now;
applying the older ones would revert the host.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from ragwort_common import NodeId, Revision
from ragwort_policy import PlacedPeer

MAX_ASKED_PEERS = 3
POLL_INTERVAL_S = 0.02


async def fetch_newer(
    own: NodeId,
    revision: Revision,
    list_peers: Callable[[], Sequence[PlacedPeer]],
    has_peer_list: Callable[[], bool],
    fetch: Callable[[NodeId, Revision], Awaitable[bytes | None]],
    rng: random.Random,
    settle_s: float,
) -> list[bytes]:
    """Return the documents of a few peers that are newer than a revision.

    Parameters
    ----------
    own
        This node, which is not asked.
    revision
        The revision that is known already.
    list_peers
        Returns the alive peers.
    has_peer_list
        Returns whether the platform's list of peers has been read.
    fetch
        Fetches a document of at least a revision from a peer, with a timeout.
    rng
        Selects the peers to ask.
    settle_s
        How long to wait for a peer, or for a list without any.
    """
    peers = await _wait_for_peers(own, list_peers, has_peer_list, settle_s)
    asked = rng.sample(peers, min(MAX_ASKED_PEERS, len(peers)))
    newer = Revision(revision + 1)
    replies = await asyncio.gather(*(fetch(peer, newer) for peer in asked))
    return [data for data in replies if data is not None]


async def _wait_for_peers(
    own: NodeId,
    list_peers: Callable[[], Sequence[PlacedPeer]],
    has_peer_list: Callable[[], bool],
    settle_s: float,
) -> list[NodeId]:
    for _ in range(int(settle_s / POLL_INTERVAL_S) + 1):
        peers = [peer.node_id for peer in list_peers() if peer.node_id != own]
        if peers or has_peer_list():
            return peers
        await asyncio.sleep(POLL_INTERVAL_S)
    return []
