"""Keeps which servers have announced that they leave beyond the process that acknowledged it.

A report that was made before a server left may arrive after its node was restarted. Each node
therefore stores the departures from its host in one object, and tells them to peers of its failure
domain, from which it learns them again while the store is away.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterable

from ragwort_common import NodeId
from ragwort_model import InputError, InstanceId, Leaving, StoreError
from ragwort_platform import (
    DEPARTURES_KIND,
    StoredObject,
    build_delete,
    decode_departures,
    encode_departures,
)
from ragwort_protocol import DepartureNotice, LeavingServer
from ragwort_transport import Link

from ragwort_mesh._clock import read_time_ms
from ragwort_mesh._own_object import OwnObject
from ragwort_mesh._store import StoreClient, retry_until_done
from ragwort_mesh._telemetry import Telemetry
from ragwort_mesh._watch import KindReader

MAX_KEPT = 16
"""Number of departures from one host that are kept, the latest: about 1 KB."""

MAX_NODES = 1024
"""Number of peers whose departures are kept, those heard of last: over the design's 720 nodes."""

KEEP_S = 3600.0
"""How long a departure is kept; a report arrives seconds late."""

ACKNOWLEDGEMENT_WAIT_S = 0.5
"""How long an acknowledgement waits until the departure is stored: half the time that a server
waits for it. Without the store, the peers of the failure domain have been told by then."""

MIN_WRITE_INTERVAL_S = 0.2
"""Minimum time between two writes, since a writer may name any number of servers."""

UNKNOWN_S = 2.0
"""How long a starting node waits for earlier departures if neither the store nor a peer tells
them; the peers dial it at least this often."""


class Departures:
    """Holds the departures from this host, and those that peers have told of theirs.

    Parameters
    ----------
    list_domain_links
        Returns the links to the peers of this failure domain, or to all if it has no others.
    on_known
        Called with departures from this host each time that this node learns of some, first once
        the store or a peer has told those of earlier processes, if there are any.
    watch_enabled
        Set while this node watches the store.
    read_time_ms
        Returns the time of day, in milliseconds.
    """

    def __init__(
        self,
        node: NodeId,
        store: StoreClient,
        telemetry: Telemetry,
        list_domain_links: Callable[[], Iterable[Link]],
        on_known: Callable[[list[Leaving]], None],
        watch_enabled: asyncio.Event,
        read_time_ms: Callable[[], int] = read_time_ms,
    ) -> None:
        self._node = node
        self._store = store
        self._telemetry = telemetry
        self._list_domain_links = list_domain_links
        self._on_known = on_known
        self._watch_enabled = watch_enabled
        self._read_time_ms = read_time_ms
        self._own = OwnObject(DEPARTURES_KIND, node, store, telemetry)
        self._reader = KindReader(DEPARTURES_KIND, store, telemetry)
        self._departures: dict[InstanceId, Leaving] = {}
        self._peers: dict[NodeId, list[LeavingServer]] = {}
        self._is_known = False
        self._changed = asyncio.Event()
        self._is_stored = asyncio.Event()
        self._is_stored.set()

    def record(self, leaving: Leaving) -> None:
        """Keep the departure of a server beside this node, and tell the peers of its domain."""
        if self._add([leaving]):
            notice = self._make_notice()
            for link in self._list_domain_links():
                link.send(notice)

    async def wait_until_stored(self) -> None:
        """Wait until all departures are stored, or until an acknowledgement is due."""
        if self._is_stored.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ACKNOWLEDGEMENT_WAIT_S):
                await self._is_stored.wait()
                return
        self._telemetry.counters.add("departures.unstored_acknowledgements")

    def announce(self, link: Link) -> None:
        """Tell a newly linked peer the departures from its host, and those from this one."""
        if link.peer is None:
            return
        link.send(DepartureNotice(link.peer, self._peers.get(link.peer, [])))
        if self._departures:
            link.send(self._make_notice())

    def receive(self, link: Link, notice: DepartureNotice) -> None:
        """Learn departures from this host, or keep those that a peer tells of its own."""
        if notice.node_id == self._node:
            self._learn(
                Leaving(InstanceId(server.instance), server.born_ms, server.at_ms, server.has_left)
                for server in notice.servers[:MAX_KEPT]
            )
        elif notice.node_id == link.peer:
            self._peers.pop(link.peer, None)
            self._peers[link.peer] = notice.servers[:MAX_KEPT]
            if len(self._peers) > MAX_NODES:
                del self._peers[next(iter(self._peers))]

    def publish_again(self) -> None:
        """Store the departures again, since the store has come back from an older copy."""
        self._own.stored = None
        if self._departures:
            self._is_stored.clear()
            self._changed.set()

    async def run(self) -> None:
        """Read the departures of earlier processes, and store later ones, until cancelled."""
        give_up = asyncio.get_running_loop().call_later(UNKNOWN_S, self._give_up_waiting)
        try:
            await retry_until_done(self._read)
            while True:
                await self._changed.wait()
                self._changed.clear()
                await retry_until_done(self._publish)
                await asyncio.sleep(MIN_WRITE_INTERVAL_S)
        finally:
            give_up.cancel()

    async def run_cleaning(self) -> None:
        """Remove the objects of nodes that are gone, while this node watches the store."""
        while True:
            await asyncio.sleep(KEEP_S)
            if self._watch_enabled.is_set():
                await self._remove_outdated()

    async def _read(self) -> bool:
        """Read this node's object, and return whether that succeeded."""
        if not await self._own.read():
            return False
        self._learn(self._decode_own())
        return True

    async def _publish(self) -> bool:
        """Store the departures unless they are stored, and return whether they are."""
        departures = self._list_departures()
        if self._own.stored is None or self._decode_own() != departures:
            if not await self._own.write(encode_departures(departures)):
                # What another process of this node has stored must not be overwritten.
                self._learn(self._decode_own())
                return False
            self._telemetry.events.write("departures-stored", departures=len(departures))
        if self._list_departures() == departures:
            self._is_stored.set()
        return True

    def _decode_own(self) -> list[Leaving]:
        """Return the stored departures from this host, none if they can't be read."""
        if self._own.stored is None:
            return []
        departures = decode_departures(self._own.stored)
        if isinstance(departures, InputError):
            self._telemetry.counters.add("store.unreadable_objects")
            self._telemetry.events.write_call(
                "departures-unreadable", True, mistake=str(departures)
            )
            return []
        return departures

    def _learn(self, departures: Iterable[Leaving]) -> None:
        """Apply departures of earlier processes, as told by the store or a peer."""
        learned = [leaving for leaving in departures if not self._is_outdated(leaving)]
        is_new = self._add(learned)
        if is_new or not self._is_known:
            self._is_known = True
            self._on_known(learned)

    def _add(self, departures: Iterable[Leaving]) -> bool:
        """Add departures, and return whether they say more than what was known."""
        is_new = False
        for leaving in departures:
            known = self._departures.get(leaving.instance)
            if known is not None and (known.born_ms, known.has_left) >= (
                leaving.born_ms,
                leaving.has_left,
            ):
                continue
            is_new = True
            self._departures.pop(leaving.instance, None)
            self._departures[leaving.instance] = leaving
            if len(self._departures) > MAX_KEPT:
                del self._departures[next(iter(self._departures))]
        if is_new:
            self._is_stored.clear()
            self._changed.set()
        return is_new

    def _list_departures(self) -> list[Leaving]:
        return list(self._departures.values())

    def _is_outdated(self, leaving: Leaving) -> bool:
        return self._read_time_ms() - leaving.at_ms > KEEP_S * 1000

    def _make_notice(self) -> DepartureNotice:
        servers = [
            LeavingServer(leaving.instance, leaving.born_ms, leaving.at_ms, leaving.has_left)
            for leaving in self._departures.values()
        ]
        return DepartureNotice(self._node, servers)

    def _give_up_waiting(self) -> None:
        """Assume that no server has left, as neither the store nor a peer has told."""
        if not self._is_known:
            self._telemetry.events.write("departures-unknown", waited_ms=round(UNKNOWN_S * 1000))
            self._is_known = True
            self._on_known([])

    async def _remove_outdated(self) -> None:
        listing = await self._reader.list_objects(stale=True)
        if isinstance(listing, StoreError):
            return
        for stored in listing.objects:
            if stored.name != self._node and self._is_object_outdated(stored):
                self._telemetry.events.write("departures-removed", peer=stored.name)
                await self._store.call(build_delete(DEPARTURES_KIND, stored.name, stored.revision))

    def _is_object_outdated(self, stored: StoredObject) -> bool:
        departures = decode_departures(stored)
        return not isinstance(departures, InputError) and all(map(self._is_outdated, departures))
