"""Knows the nodes: publishes this one in the store and reads what the others have published.

A node reads the records once at its start and again after it has published its own, so that of two
nodes that start together the later reader finds the other and links to it; the link then tells
each who the other is. After that the records are read again seldom, for what no link tells: nodes
that have left.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from typing import Any

from ragwort_common import NodeId
from ragwort_model import ErrorKind, Mistake, NodeRecord, StoreError
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
from ragwort_mesh._watch import KindReader, KindWatch, WatchSettings

RELIST_S = 60.0
"""How often the records are read again: a record of a node that has left costs a dial each 2 s
until then. Old data will do, which costs the store a tenth."""

RELIST_SPREAD = 0.3
"""Part by which that is spread, so that nodes that start together don't read together."""

WATCH_WAIT_S = 20.0
"""How long one watch waits; a new node also links to the others by itself."""

WATCH_PAUSE_S = 0.5
"""How long to gather changes: many nodes start at once, and each would wake the watchers."""

CATCH_UP_S = 0.001
"""How long the question for the changes since the first listing waits; it asks for what is there
already."""


class Directory:
    """Owns the records of the nodes, and this node's own object.

    Parameters
    ----------
    own
        This node's record.
    changed
        Called with all records after each change.
    tell_lost
        Tells a node that its record is lost, and returns whether there is a link to it.
    on_duty
        Set while this node follows the store.

    Attributes
    ----------
    listed
        Whether the records have been read.
    """

    def __init__(
        self,
        own: NodeRecord,
        store: StoreClient,
        telemetry: Telemetry,
        changed: Callable[[dict[NodeId, NodeRecord]], None],
        tell_lost: Callable[[NodeId], bool],
        on_duty: asyncio.Event,
    ) -> None:
        self.listed = False
        self._withdrawn = False
        self._own = own
        self._store = store
        self._reader = KindReader(NODES_KIND, store, telemetry)
        self._telemetry = telemetry
        self._changed = changed
        self._tell_lost = tell_lost
        self._records: dict[NodeId, NodeRecord] = {}
        self._heard: dict[NodeId, NodeRecord] = {}
        self._order: dict[NodeId, float] = {}
        self._newest = 0
        self._stored_own: StoredObject | None = None
        self._random = random.Random()
        self._own_is_missing = asyncio.Event()
        settings = WatchSettings(NODES_KIND, WATCH_WAIT_S, WATCH_PAUSE_S)
        watch = KindWatch(settings, store, telemetry, self._take_listed, self._take_change, on_duty)
        watch.skip_first()
        self.run_watch = watch.run

    async def run(self) -> None:
        """Read the records and keep this node's own stored, until cancelled."""
        while True:
            await self._insist(self._read)
            if not self._is_published():
                await self._publish_anew()
            spread = 1.0 + RELIST_SPREAD * (self._random.random() - 0.5)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RELIST_S * spread):
                    while True:
                        await self._own_is_missing.wait()
                        self._own_is_missing.clear()
                        await self._insist(self._publish)

    def note_lost(self) -> None:
        """Take in that a peer has found this node's record to be lost."""
        self._stored_own = None
        self._own_is_missing.set()

    async def _publish_anew(self) -> None:
        """Store the record, clear up what it replaces, and read what came meanwhile."""
        since = self._newest
        await self._insist(self._publish)
        await self._remove_replaced()
        await self._insist(lambda: self._catch_up(since))

    async def _insist(self, step: Callable[[], Coroutine[Any, Any, bool]]) -> None:
        """Take a step again, with growing pauses, until it is done."""
        failures = 0
        while not await step():
            failures += 1
            await pause_before_retry(failures, self._random.random())

    async def _read(self, stale: bool = True) -> bool:
        """Read all records, and return whether that is done."""
        listing = await self._reader.list_objects(stale)
        if isinstance(listing, StoreError):
            return False
        self._take_listed(listing.objects)
        self._newest = max(self._newest, listing.revision)
        return True

    async def _catch_up(self, since: int) -> bool:
        """Read what has changed since a listing, and return whether that is done."""
        changes = await self._reader.list_changes(since, CATCH_UP_S)
        if isinstance(changes, StoreError):
            return changes.kind is ErrorKind.COMPACTED and await self._read(stale=False)
        for change in changes.changes:
            self._take_change(change)
        return True

    async def _publish(self) -> bool:
        """Try to store the record, and return whether that is done."""
        if self._is_published():
            return True
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
            return self._is_published()
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
        """Take in what a peer says of itself over its link.

        It stands at its address now, whatever had been read of that before.
        """
        self._order[record.node] = self._newest + 0.5
        if self._heard.get(record.node) != record or record.node not in self._list_valid():
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
        records = {**self._records, **self._heard}
        owners: dict[str, NodeId] = {}
        for node in sorted(records, key=lambda node: self._order.get(node, 0.0)):
            owners[records[node].link_address] = node
        return {node: records[node] for node in owners.values()}

    async def _remove_replaced(self) -> None:
        """Remove the records of nodes that stood at this node's address before it."""
        for node, record in list(self._records.items()):
            if node == self._own.node or record.link_address != self._own.link_address:
                continue
            reply = await self._store.call(
                build_delete(NODES_KIND, node, int(self._order.get(node, 0)))
            )
            removed = isinstance(reply, StoreReply)
            self._telemetry.events.write("record-replaced", peer=node, removed=removed)

    def _take_listed(self, objects: list[StoredObject]) -> None:
        names = {stored.name for stored in objects}
        for node in [node for node in self._records if node not in names]:
            self._take_removal(node)
        self._stored_own = None
        for stored in objects:
            self._take_object(stored)
        self.listed = True
        if not self._is_published():
            self._own_is_missing.set()
        self._tell_changed()

    def _take_change(self, change: Change) -> None:
        if change.removed:
            self._take_removal(NodeId(change.stored.name))
        else:
            self._take_object(change.stored)
        self._tell_changed()

    def _take_removal(self, node: NodeId) -> None:
        """Forget a record, unless its node is there and only its record is lost."""
        if node == self._own.node:
            self.note_lost()
            return
        record = self._records.pop(node, None)
        linked = self._tell_lost(node)
        if linked and record is not None:
            self._heard.setdefault(node, record)
        elif not linked:
            self._heard.pop(node, None)
        self._telemetry.events.write("record-removed", peer=node, linked=linked)

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
            # What a peer has said of itself is older than this.
            self._heard.pop(record.node, None)
        self._records[record.node] = record
        self._order[record.node] = max(self._order.get(record.node, 0.0), stored.revision)
