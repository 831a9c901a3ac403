"""Finds the nodes that announced themselves in the platform."""

import asyncio
import logging
from collections.abc import Callable

from ragwort_common import NodeId
from ragwort_platform import NODES_PREFIX, Announcement, ObjectStore, decode_announcement

from ragwort_node._metrics import Counters

log = logging.getLogger(__name__)

REFRESH_INTERVAL_S = 0.5


class Directory:
    """Owns the latest announcement of each node."""

    def __init__(self, own: Announcement) -> None:
        self._own = own
        self.nodes: dict[NodeId, Announcement] = {own.node_id: own}

    def find_link_address(self, node: NodeId) -> str | None:
        """Return the address at which a node takes links."""
        announcement = self.nodes.get(node)
        return announcement.link_address if announcement else None

    def replace(self, announcements: list[Announcement]) -> bool:
        """Set the known nodes and tell whether that changed anything."""
        nodes = {announcement.node_id: announcement for announcement in announcements}
        nodes[self._own.node_id] = self._own
        changed = nodes != self.nodes
        self.nodes = nodes
        return changed


async def refresh_directory(
    directory: Directory, store: ObjectStore, changed: Callable[[], None], counters: Counters
) -> None:
    """List the announcements again and again, until cancelled."""
    while True:
        listing = await store.list_objects(NODES_PREFIX)
        if listing.is_ok():
            decoded = [decode_announcement(item.data) for item in listing.ok.items]
            malformed = sum(1 for result in decoded if result.is_error())
            if malformed:
                counters.add("directory.malformed", malformed)
            if directory.replace([result.ok for result in decoded if result.is_ok()]):
                changed()
        await asyncio.sleep(REFRESH_INTERVAL_S)
