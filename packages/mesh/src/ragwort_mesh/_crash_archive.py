"""Keeps what is known of requests that crash servers in the store, beyond the restart of all nodes.

Each node stores the crashes of its own server in one object, once a request was running in two. The
nodes that watch the store for their failure domain read all of them and hand them on.
"""

import asyncio
from collections.abc import Callable, Iterable

from ragwort_common import NodeId
from ragwort_model import CrashRecord, InputError, StoreError
from ragwort_platform import (
    CRASHES_KIND,
    StoredObject,
    build_delete,
    decode_crashes,
    encode_crashes,
)
from ragwort_transport import Link

from ragwort_mesh._crash_ledger import CrashLedger
from ragwort_mesh._own_object import OwnObject
from ragwort_mesh._store import StoreClient, retry_until_done
from ragwort_mesh._telemetry import Telemetry
from ragwort_mesh._watch import KindReader

MIN_WRITE_INTERVAL_S = 1.0
"""Minimum time between two writes: a server that crashes again and again is back after seconds."""

MAX_STORED = 16
"""Most crashes of a server that are stored, the latest: 10 KB with their requests."""

FORGET_INTERVAL_S = 60.0
"""How often crashes that no longer count are dropped."""


class CrashArchive:
    """Writes this node's object, and reads those of all nodes while it watches the store.

    Parameters
    ----------
    list_domain_links
        Returns the links to the peers of this failure domain.
    watch_enabled
        Set while this node watches the store.
    """

    def __init__(
        self,
        node: NodeId,
        ledger: CrashLedger,
        store: StoreClient,
        telemetry: Telemetry,
        list_domain_links: Callable[[], Iterable[Link]],
        watch_enabled: asyncio.Event,
    ) -> None:
        self._node = node
        self._ledger = ledger
        self._store = store
        self._telemetry = telemetry
        self._list_domain_links = list_domain_links
        self._watch_enabled = watch_enabled
        self._own = OwnObject(CRASHES_KIND, node, store, telemetry)
        self._reader = KindReader(CRASHES_KIND, store, telemetry)
        self._must_read = asyncio.Event()

    def publish_again(self) -> None:
        """Store this node's crashes again, since the store has come back from an older copy."""
        self._own.stored = None
        self._ledger.changed.set()

    def read_again(self) -> None:
        """Read the stored crashes, since this node has begun to watch the store."""
        self._must_read.set()

    async def run(self) -> None:
        """Store the crashes of this node's server each time they change, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(FORGET_INTERVAL_S):
                    await self._ledger.changed.wait()
            except TimeoutError:
                self._ledger.forget_old()
            self._ledger.changed.clear()
            await retry_until_done(self._publish)
            await asyncio.sleep(MIN_WRITE_INTERVAL_S)

    async def run_reading(self) -> None:
        """Read the stored crashes each time that this is asked for, until cancelled."""
        while True:
            await self._must_read.wait()
            self._must_read.clear()
            await retry_until_done(self._read_on_duty)

    async def _publish(self) -> bool:
        """Store the crashes unless they are stored, and return whether they are."""
        records = self._ledger.list_lasting()[-MAX_STORED:]
        stored = decode_crashes(self._own.stored) if self._own.stored is not None else []
        if stored == records:
            return True
        if not records:
            return await self._own.remove()
        if not await self._own.write(encode_crashes(records)):
            return False
        self._telemetry.events.write("crashes-stored", crashes=len(records))
        return True

    async def _read_on_duty(self) -> bool:
        """Read the crashes of all nodes unless this node no longer watches the store."""
        return not self._watch_enabled.is_set() or await self._read()

    async def _read(self) -> bool:
        """Read the crashes of all nodes, and return whether that succeeded."""
        listing = await self._reader.list_objects(stale=False)
        if isinstance(listing, StoreError):
            return False
        for stored in listing.objects:
            await self._apply(stored)
        for link in self._list_domain_links():
            self._ledger.send_all(link)
        return True

    async def _apply(self, stored: StoredObject) -> None:
        records = decode_crashes(stored)
        if isinstance(records, InputError):
            self._telemetry.counters.add("store.unreadable_objects")
            self._telemetry.events.write_call("crashes-unreadable", True, mistake=str(records))
            return
        if stored.name == self._node:
            self._own.stored = stored
        elif all(map(self._ledger.is_outdated, records)):
            await self._remove_outdated(stored, records)
            return
        self._ledger.add_stored(records)

    async def _remove_outdated(self, stored: StoredObject, records: list[CrashRecord]) -> None:
        """Remove the object of a node that has not done so itself, as when its host is gone."""
        self._telemetry.events.write("crashes-removed", peer=stored.name, crashes=len(records))
        await self._store.call(build_delete(CRASHES_KIND, stored.name, stored.revision))
