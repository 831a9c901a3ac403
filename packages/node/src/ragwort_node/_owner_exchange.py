"""Propagates the owners of key ranges between nodes."""

import asyncio
import logging
import random
from collections.abc import Callable

from expression import Result
from ragwort_common import Counters, Epoch, NodeId
from ragwort_policy import KEY_RANGES, EpochFence, OwnerMap
from ragwort_protocol import Message, OwnerNotice
from ragwort_store import ObjectStore, StoreError, decode_lease_holder

from ragwort_node._journal_store import LEASES_PREFIX

log = logging.getLogger(__name__)

PUSH_FANOUT = 4
"""Peers to which each node forwards a new notice; 4 reach 720 nodes in 5 hops."""

MIN_LIST_INTERVAL_S = 5.0
"""Minimum time between two listings of the leases by one node."""

SendMessage = Callable[[NodeId, Message], int]


class OwnerExchange:
    """Updates this node's map of range owners and the epoch fence of its gate."""

    def __init__(
        self,
        owners: OwnerMap,
        fence: EpochFence,
        list_peers: Callable[[], list[NodeId]],
        send: SendMessage,
        counters: Counters,
        random_source: random.Random,
    ) -> None:
        self._owners = owners
        self._fence = fence
        self._list_peers = list_peers
        self._send = send
        self._counters = counters
        self._random = random_source
        self._listing_requested = asyncio.Event()
        self._listing_requested.set()

    def announce(self, notice: OwnerNotice) -> None:
        """Send a notice of one of this node's own ranges to peers."""
        self._fence.observe(notice.key_range, notice.epoch)
        self._push(notice)

    def receive(self, notice: OwnerNotice) -> None:
        """Apply a notice from a peer and forward it if it was new."""
        if self._apply(notice):
            self._push(notice)

    def request_listing(self) -> None:
        """Request a listing of the leases, because an owner was unknown or unreachable."""
        self._listing_requested.set()

    async def run(self, store: ObjectStore) -> None:
        """List the leases at startup and on request, until cancelled."""
        while True:
            await self._listing_requested.wait()
            self._listing_requested.clear()
            listed = await list_owners(store)
            if listed.is_ok():
                for notice in listed.ok:
                    self._apply(notice)
            else:
                self._counters.add("keys.list_failures")
            await asyncio.sleep(MIN_LIST_INTERVAL_S)

    def _apply(self, notice: OwnerNotice) -> bool:
        self._fence.observe(notice.key_range, notice.epoch)
        return self._owners.record(notice.key_range, NodeId(notice.node), Epoch(notice.epoch))

    def _push(self, notice: OwnerNotice) -> None:
        peers = self._list_peers()
        for peer in self._random.sample(peers, min(PUSH_FANOUT, len(peers))):
            self._counters.add("watching.owner_bytes_out", self._send(peer, notice))


async def list_owners(store: ObjectStore) -> Result[list[OwnerNotice], StoreError]:
    """Return the owner of each range according to the platform's lease objects."""
    listed = await store.list_objects(LEASES_PREFIX)
    return listed.map(
        lambda listing: [
            OwnerNotice(key_range, holder.epoch, holder.holder)
            for item in listing.items
            if (key_range := _read_key_range(item.path)) is not None
            and (holder := decode_lease_holder(item)) is not None
        ]
    )


def _read_key_range(path: str) -> int | None:
    """Return the key range of a lease, None if the path is not that of one."""
    name = path.removeprefix(LEASES_PREFIX)
    if not name.isascii() or not name.isdigit() or len(name) > len(str(KEY_RANGES)):
        return None
    number = int(name)
    return number if number < KEY_RANGES else None
