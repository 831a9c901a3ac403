"""Knows the nodes: publishes this one in the store and follows what the others publish."""

import asyncio
import random
from collections.abc import Callable

from ragwort_common import NodeId
from ragwort_model import ErrorKind, Mistake, NodeRecord
from ragwort_platform import (
    NODES_KIND,
    Change,
    StoredObject,
    build_create,
    build_delete,
    build_get,
    build_replace,
    decode_node,
    encode_node,
    read_object,
)

from ragwort_mesh._store import StoreClient, StoreReply, pause_before_retry
from ragwort_mesh._telemetry import Telemetry
from ragwort_mesh._watch import KindWatch, WatchSettings

WATCH_WAIT_S = 20.0
"""How long one watch waits; a new node also links to the others by itself."""


WATCH_PAUSE_S = 0.5
"""How long to gather changes: many nodes start at once, and each would wake all the others."""


class Directory:
    """Owns the records of the nodes, and this node's own object.

    Parameters
    ----------
    own
        This node's record.
    changed
        Called with all records after each change.
    """

    def __init__(
        self,
        own: NodeRecord,
        store: StoreClient,
        telemetry: Telemetry,
        changed: Callable[[dict[NodeId, NodeRecord]], None],
    ) -> None:
        self.listed = False
        self._withdrawn = False
        self._own = own
        self._store = store
        self._telemetry = telemetry
        self._changed = changed
        self._records: dict[NodeId, NodeRecord] = {}
        self._heard: dict[NodeId, NodeRecord] = {}
        self._revisions: dict[NodeId, int] = {}
        self._stored_own: StoredObject | None = None
        self._random = random.Random()
        self._missing = asyncio.Event()
        settings = WatchSettings(NODES_KIND, WATCH_WAIT_S, stale_start=True, pause_s=WATCH_PAUSE_S)
        watch = KindWatch(settings, store, telemetry, self._take_listed, self._take_change)
        self.run = watch.run

    async def run_publisher(self) -> None:
        """Store this node's record whenever it is not stored, until cancelled."""
        while True:
            await self._missing.wait()
            self._missing.clear()
            failures = 0
            while not self._is_published():
                if await self._publish():
                    break
                failures += 1
                await pause_before_retry(failures, self._random.random())
            await self._remove_replaced()

    async def _publish(self) -> bool:
        """Try to store the record, and return whether that is done."""
        content = encode_node(self._own)
        stored = self._stored_own
        if stored is None:
            request = build_create(NODES_KIND, self._own.node, content)
        else:
            request = build_replace(NODES_KIND, stored.name, content, stored.revision)
        reply = await self._store.call(request)
        if not isinstance(reply, StoreReply):
            # After a lost reply the write may have been done: what is stored decides.
            if reply.kind in (ErrorKind.CONFLICT, ErrorKind.UNCERTAIN):
                await self._read_own()
            return False
        written = read_object(reply.body)
        if isinstance(written, Mistake):
            self._telemetry.events.write("store-reply-unreadable", mistake=str(written))
            return False
        self._stored_own = written
        self._telemetry.events.write("record-published", address=self._own.link_address)
        return True

    def _is_published(self) -> bool:
        """Tell whether the store holds what it should of this node."""
        if self._withdrawn:
            return True
        return self._stored_own is not None and decode_node(self._stored_own) == self._own

    def learn(self, record: NodeRecord) -> None:
        """Take in what a peer says of itself; what it has stored goes before."""
        if self._heard.get(record.node) != record:
            self._heard[record.node] = record
            self._tell_changed()

    async def withdraw(self) -> None:
        """Remove this node's record for good; done when its host leaves."""
        self._withdrawn = True
        stored, self._stored_own = self._stored_own, None
        if stored is not None:
            await self._store.call(build_delete(NODES_KIND, stored.name, stored.revision))

    async def _read_own(self) -> None:
        """Read what is stored in place of what was expected."""
        reply = await self._store.call(build_get(NODES_KIND, self._own.node))
        if isinstance(reply, StoreReply):
            stored = read_object(reply.body)
            if not isinstance(stored, Mistake):
                self._stored_own = stored

    def _tell_changed(self) -> None:
        self._changed(self._list_valid())

    def _list_valid(self) -> dict[NodeId, NodeRecord]:
        """Return the records but for those whose address a later one has taken over."""
        records = {**self._heard, **self._records}
        owners: dict[str, NodeId] = {}
        for node in sorted(records, key=lambda node: self._revisions.get(node, 0)):
            owners[records[node].link_address] = node
        return {node: records[node] for node in owners.values()}

    async def _remove_replaced(self) -> None:
        """Remove the records of nodes that stood at this node's address before it."""
        for node, record in list(self._records.items()):
            if node == self._own.node or record.link_address != self._own.link_address:
                continue
            reply = await self._store.call(
                build_delete(NODES_KIND, node, self._revisions.get(node, 0))
            )
            removed = isinstance(reply, StoreReply)
            self._telemetry.events.write("record-replaced", peer=node, removed=removed)

    def _take_listed(self, objects: list[StoredObject]) -> None:
        names = {stored.name for stored in objects}
        self._records = {node: record for node, record in self._records.items() if node in names}
        self._stored_own = None
        for stored in objects:
            self._take_object(stored)
        self.listed = True
        if not self._is_published():
            self._missing.set()
        self._tell_changed()

    def _take_change(self, change: Change) -> None:
        if change.removed:
            self._records.pop(NodeId(change.stored.name), None)
            self._heard.pop(NodeId(change.stored.name), None)
            self._telemetry.events.write("record-removed", peer=change.stored.name)
            if change.stored.name == self._own.node:
                self._stored_own = None
                self._missing.set()
        else:
            self._take_object(change.stored)
        self._tell_changed()

    def _take_object(self, stored: StoredObject) -> None:
        if stored.name == self._own.node:
            self._stored_own = stored
        record = decode_node(stored)
        if isinstance(record, Mistake):
            self._telemetry.events.write("record-unreadable", mistake=str(record))
            return
        if self._records.get(record.node) != record:
            self._telemetry.events.write(
                "record-known", peer=record.node, service=record.service, revision=stored.revision
            )
        self._records[record.node] = record
        self._revisions[record.node] = stored.revision
