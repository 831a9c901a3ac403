"""Node discovery: publishes this node's record in the store and reads those of other nodes.

A node reads the records once at startup and again after it has published its own, so that of two
nodes that start at the same time, the one that reads later finds the other and links to it; over
the link each sends its record to the other. After that the records are read only rarely, to find
nodes that have left, which no link announces.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable

from ragwort_common import NodeId
from ragwort_model import ErrorKind, InputError, NodeRecord, StoreError
from ragwort_platform import (
    NODES_KIND,
    Change,
    StoredObject,
    build_delete,
    decode_node,
    encode_node,
)

from ragwort_mesh._own_object import OwnObject
from ragwort_mesh._store import (
    StoreClient,
    StoreReply,
    get_revision,
    order_revision,
    retry_until_done,
)
from ragwort_mesh._telemetry import Telemetry
from ragwort_mesh._watch import KindReader, KindWatch, Listing, WatchSettings

RELIST_INTERVAL_S = 60.0
"""How often the records are read again: until then, the record of a node that has left costs a dial
every 2 s. Stale data is good enough, and costs the store a tenth of a current read."""

RELIST_SPREAD = 0.3
"""Random spread of that interval, so that nodes that start together don't read together."""

WATCH_WAIT_S = 20.0
"""Timeout of one watch request; long because a new node also links to the others by itself."""

WATCH_PAUSE_S = 0.5
"""Pause after a change, to batch those that follow: many nodes start at the same time, and each
would wake the watchers."""


class Directory:
    """Holds the node records, and keeps this node's own record in the store.

    Parameters
    ----------
    own_record
        This node's record.
    on_change
        Called with all valid records after each change.
    notify_lost
        Notifies a node that its record is lost, and returns whether there is a link to it.
    watch_enabled
        Set while this node watches the store.

    Attributes
    ----------
    listed
        Whether the records have been read at least once.
    """

    def __init__(
        self,
        own_record: NodeRecord,
        store: StoreClient,
        telemetry: Telemetry,
        on_change: Callable[[dict[NodeId, NodeRecord]], None],
        notify_lost: Callable[[NodeId], bool],
        watch_enabled: asyncio.Event,
    ) -> None:
        self.listed = False
        self._withdrawn = False
        self._own_record = own_record
        self._store = store
        self._reader = KindReader(NODES_KIND, store, telemetry)
        self._telemetry = telemetry
        self._on_change = on_change
        self._notify_lost = notify_lost
        self._records: dict[NodeId, NodeRecord] = {}
        self._announced: dict[NodeId, NodeRecord] = {}
        self._record_order: dict[NodeId, float] = {}
        self._newest_order = 0
        self._own = OwnObject(NODES_KIND, own_record.node, store, telemetry)
        self._random = random.Random()
        self._own_record_missing = asyncio.Event()
        settings = WatchSettings(NODES_KIND, WATCH_WAIT_S, WATCH_PAUSE_S)
        watch = KindWatch(
            settings, store, telemetry, self._apply_listing, self._apply_change, watch_enabled
        )
        watch.skip_first_listing()
        self.run_watch = watch.run
        self.list_again = watch.list_again

    async def run(self) -> None:
        """Read the records and keep this node's own in the store, until cancelled."""
        while True:
            await retry_until_done(self._read)
            if not self._is_published():
                await self._publish_and_catch_up()
            spread = 1.0 + RELIST_SPREAD * (self._random.random() - 0.5)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RELIST_INTERVAL_S * spread):
                    while True:
                        await self._own_record_missing.wait()
                        self._own_record_missing.clear()
                        await retry_until_done(self._publish)

    def republish(self) -> None:
        """Publish this node's record again, because it is missing from the store."""
        self._own.stored = None
        self._own_record_missing.set()

    async def _publish_and_catch_up(self) -> None:
        """Publish the record, remove those it replaces, and read the changes made meanwhile."""
        since = get_revision(self._newest_order)
        await retry_until_done(self._publish)
        await self._remove_replaced()
        await retry_until_done(lambda: self._catch_up(since))

    async def _read(self, stale: bool = True) -> bool:
        """Read all records, and return whether that succeeded."""
        listing = await self._reader.list_objects(stale)
        if isinstance(listing, StoreError):
            return False
        self._apply_listing(listing)
        order = order_revision(listing.era, listing.revision)
        self._newest_order = max(self._newest_order, order)
        return True

    async def _catch_up(self, since: int) -> bool:
        """Read the changes since a listing, and return whether that succeeded."""
        changes = await self._reader.list_changes(since, wait_s=0.0)
        if isinstance(changes, StoreError):
            return changes.kind is ErrorKind.COMPACTED and await self._read(stale=False)
        for change in changes.changes:
            self._apply_change(change, changes.era)
        return True

    async def _publish(self) -> bool:
        """Try to store this node's record, and return whether that succeeded."""
        if self._is_published():
            return True
        if not await self._own.write(encode_node(self._own_record)):
            return self._is_published()
        self._telemetry.events.write("record-published", address=self._own_record.link_address)
        return True

    def _is_published(self) -> bool:
        """Return whether the store holds the current record of this node, or needs none."""
        if self._withdrawn:
            return True
        stored = self._own.stored
        return stored is not None and decode_node(stored) == self._own_record

    def apply_announced(self, record: NodeRecord) -> None:
        """Apply a record that a peer sent over its own link.

        The peer uses its address now, so this record overrides any earlier one for the address.
        """
        self._record_order[record.node] = self._newest_order + 0.5
        if self._announced.get(record.node) != record or record.node not in self._list_valid():
            self._announced[record.node] = record
            self._notify_changed()

    async def withdraw(self) -> None:
        """Remove this node's record permanently; done when its host is removed."""
        self._withdrawn = True
        await self._own.remove()

    def _notify_changed(self) -> None:
        self._on_change(self._list_valid())

    def _list_valid(self) -> dict[NodeId, NodeRecord]:
        """Return the records, without those whose address is used by a later record."""
        records = {**self._records, **self._announced}
        owners: dict[str, NodeId] = {}
        for node in sorted(records, key=lambda node: self._record_order.get(node, 0.0)):
            owners[records[node].link_address] = node
        return {node: records[node] for node in owners.values()}

    async def _remove_replaced(self) -> None:
        """Remove the records of nodes that used this node's address before."""
        for node, record in list(self._records.items()):
            if (
                node == self._own_record.node
                or record.link_address != self._own_record.link_address
            ):
                continue
            reply = await self._store.call(
                build_delete(NODES_KIND, node, get_revision(int(self._record_order.get(node, 0))))
            )
            removed = isinstance(reply, StoreReply)
            self._telemetry.events.write("record-replaced", peer=node, removed=removed)

    def _apply_listing(self, listing: Listing) -> None:
        names = {stored.name for stored in listing.objects}
        for node in [node for node in self._records if node not in names]:
            self._apply_removal(node)
        self._own.stored = None
        for stored in listing.objects:
            self._apply_object(stored, listing.era)
        self.listed = True
        if not self._is_published():
            self._own_record_missing.set()
        self._notify_changed()

    def _apply_change(self, change: Change, era: int) -> None:
        if change.removed:
            self._apply_removal(NodeId(change.stored.name))
        else:
            self._apply_object(change.stored, era)
        self._notify_changed()

    def _apply_removal(self, node: NodeId) -> None:
        """Drop a record, unless its node is still linked and only the stored record is lost."""
        if node == self._own_record.node:
            self.republish()
            return
        record = self._records.pop(node, None)
        linked = self._notify_lost(node)
        if linked and record is not None:
            self._announced.setdefault(node, record)
        elif not linked:
            self._announced.pop(node, None)
        self._telemetry.events.write("record-removed", peer=node, linked=linked)

    def _apply_object(self, stored: StoredObject, era: int) -> None:
        if stored.name == self._own_record.node:
            self._own.stored = stored
        record = decode_node(stored)
        if isinstance(record, InputError):
            self._telemetry.counters.add("store.unreadable_objects")
            self._telemetry.events.write_call("record-unreadable", True, mistake=str(record))
            return
        if self._records.get(record.node) != record:
            self._telemetry.events.write(
                "record-known", peer=record.node, service=record.service, revision=stored.revision
            )
            # The stored record is newer than the one that the peer sent over its link.
            self._announced.pop(record.node, None)
        self._records[record.node] = record
        self._record_order[record.node] = max(
            self._record_order.get(record.node, 0.0), order_revision(era, stored.revision)
        )
