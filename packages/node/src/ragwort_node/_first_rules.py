"""Asks peers for newer rules before a node that has just started brings any into force.

The host of a restarted node had the latest rules in force before, and the platform or a slow peer
may have older ones; taking those first would revert the host.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from ragwort_common import NodeId, Revision
from ragwort_policy import PlacedPeer

ASKED_PEERS = 3
POLL_S = 0.02


async def fetch_newer(
    own: NodeId,
    revision: Revision,
    list_peers: Callable[[], Sequence[PlacedPeer]],
    fetch: Callable[[NodeId, Revision], Awaitable[bytes | None]],
    rng: random.Random,
    settle_s: float,
) -> list[bytes]:
    """Return the documents newer than a revision that a few peers have.

    Parameters
    ----------
    own
        The node that asks.
    revision
        The revision at hand.
    list_peers
        Returns the alive peers.
    fetch
        Asks a peer for its document of a revision or a later one, within a timeout.
    rng
        Chooses whom to ask.
    settle_s
        How long to wait for the first peer to become known.
    """
    peers = await _wait_for_peers(own, list_peers, settle_s)
    asked = rng.sample(peers, min(ASKED_PEERS, len(peers)))
    newer = Revision(revision + 1)
    replies = await asyncio.gather(*(fetch(peer, newer) for peer in asked))
    return [data for data in replies if data is not None]


async def _wait_for_peers(
    own: NodeId, list_peers: Callable[[], Sequence[PlacedPeer]], settle_s: float
) -> list[NodeId]:
    for _ in range(int(settle_s / POLL_S) + 1):
        peers = [peer.node_id for peer in list_peers() if peer.node_id != own]
        if peers:
            return peers
        await asyncio.sleep(POLL_S)
    return []
