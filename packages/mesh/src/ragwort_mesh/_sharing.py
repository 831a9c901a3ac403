"""Distributes the configuration and node records over the links between nodes.

Two nodes of each failure domain watch the store, and the others get each configuration from them.
The store may reject requests of single nodes for longer than the allowed delay of a configuration,
and a node may start while the store is unavailable; in both cases it gets the data from its peers.
"""

import asyncio
import random
import zlib

from ragwort_common import FailureDomain, NodeId, Region, ServiceName
from ragwort_flow import is_watcher_among
from ragwort_model import NodeRecord
from ragwort_protocol import (
    MAX_FRAME_BYTES,
    Document,
    DocumentRequest,
    Message,
    NodeNotice,
    RecordLost,
    RevisionNotice,
    StoreNotice,
)
from ragwort_transport import Link

from ragwort_mesh._configuration import ConfigurationKeeper
from ragwort_mesh._directory import Directory
from ragwort_mesh._peers import Peers
from ragwort_mesh._store import pause_before_retry
from ragwort_mesh._telemetry import Telemetry

OWN_WATCH_FIRST_S = 0.5
"""How long a watcher waits for its own watch to deliver a configuration announced by a peer."""

NEAR_FIRST_S = 0.1
"""How long a node waits for the watchers of its own failure domain when a configuration is
announced from another one, since traffic between domains is billed."""

ASK_S = 0.5
"""Timeout of a document request to a peer; leaves time for a second peer and a read from the store
within the users' shortest bound on activation, 2.5 s."""

FRAME_RESERVE_BYTES = 1 << 10
"""Bytes of a frame reserved for the other fields of a document message."""

PACK_LEAST_BYTES = 1 << 10
"""Minimum size of a document that is compressed; smaller ones gain too little."""

MAX_DOCUMENT_BYTES = 16 << 20
"""Maximum size of a decompressed document; the store holds values of up to a megabyte."""


class Sharing:
    """Announces this node and its configuration to peers, and fetches newer configurations.

    Attributes
    ----------
    on_duty
        Set while this node watches the store for its failure domain.
    """

    def __init__(
        self,
        own: NodeRecord,
        configuration: ConfigurationKeeper,
        directory: Directory,
        peers: Peers,
        telemetry: Telemetry,
        on_duty: asyncio.Event,
    ) -> None:
        self.on_duty = on_duty
        self._own = own
        self._configuration = configuration
        self._directory = directory
        self._peers = peers
        self._telemetry = telemetry
        self._random = random.Random()
        self._served = True
        self._neighbours: set[NodeId] = set()
        self._turned_away: set[NodeId] = set()
        self._told_by: dict[NodeId, int] = {}
        self._news = asyncio.Event()
        self._arrived = asyncio.Event()
        self._packed: tuple[int, bytes] = (0, b"")
        self._settled = False

    def greet(self, link: Link) -> None:
        """Send this node's record, configuration revision and store status to a new peer."""
        own = self._own
        link.send(
            NodeNotice(own.node, own.link_address, own.service, own.failure_domain, own.region)
        )
        if self._configuration.revision:
            link.send(RevisionNotice(self._configuration.revision, 0))
        if not self._served:
            link.send(StoreNotice(False))
        self.review_duty()

    def drop_peer(self, node: NodeId) -> None:
        """Forget what a node announced over a link that has closed."""
        self._told_by.pop(node, None)
        self._turned_away.discard(node)
        self.review_duty()

    def set_records(self, records: dict[NodeId, NodeRecord]) -> None:
        """Replace the known node records."""
        domain = self._own.failure_domain
        self._neighbours = {
            node
            for node, record in records.items()
            if record.failure_domain == domain and node != self._own.node
        }
        self.review_duty()

    def settle(self) -> None:
        """Allow the choice of watchers, now that the first links are open."""
        self._settled = True
        self.review_duty()

    def review_duty(self) -> None:
        """Decide whether this node watches the store."""
        if not self._settled:
            return
        candidates = [
            node
            for node in self._neighbours
            if node not in self._turned_away and self._peers.find_link(node) is not None
        ]
        chosen = is_watcher_among(self._own.node, candidates)
        if chosen == self.on_duty.is_set():
            return
        if chosen:
            self.on_duty.set()
        else:
            self.on_duty.clear()
        self._telemetry.events.write("store-duty", on_duty=chosen, candidates=len(candidates))

    def note_served(self, served: bool) -> None:
        """Announce to the nodes of this failure domain whether the store serves this node."""
        self._served = served
        for node in self._neighbours:
            link = self._peers.find_link(node)
            if link is not None:
                link.send(StoreNotice(served))

    def tell_revision(self) -> None:
        """Handle a new active configuration; a watcher announces its revision to every peer."""
        self._arrived.set()
        if not self.on_duty.is_set():
            return
        notice = RevisionNotice(self._configuration.revision, 0)
        for _, link in self._peers.list_links():
            link.send(notice)

    def receive(self, link: Link, message: Message) -> None:
        """Handle a message from a peer."""
        kind = type(message)
        if kind is NodeNotice:
            self._directory.learn(
                NodeRecord(
                    NodeId(message.node_id),
                    message.link_address,
                    ServiceName(message.service),
                    FailureDomain(message.failure_domain),
                    Region(message.region),
                )
            )
        elif kind is RevisionNotice:
            self._hear_revision(link, message.revision)
        elif kind is StoreNotice:
            self._hear_served(link, message.served)
        elif kind is DocumentRequest:
            self._hand_on(link, message.revision)
        elif kind is RecordLost:
            self._directory.note_lost()
        elif kind is Document:
            self._take_document(link, message)

    async def run(self) -> None:
        """Fetch each newer configuration that peers announce, until cancelled."""
        while True:
            await self._news.wait()
            self._news.clear()
            if self._find_newest() > self._configuration.revision:
                await self._wait_for_own_way()
                await self._fetch()

    def _find_newest(self) -> int:
        return max(self._told_by.values(), default=0)

    async def _wait_for_own_way(self) -> None:
        """Wait in case the configuration arrives by a cheaper route."""
        if not self._configuration.revision:
            return
        if self.on_duty.is_set() and self._served:
            await self._await_arrival(OWN_WATCH_FIRST_S)
        elif not self._list_sources(self._neighbours):
            await self._await_arrival(NEAR_FIRST_S)

    async def _fetch(self) -> None:
        """Request the document from peers, nearest first, and read the store if none sends it."""
        tried: set[NodeId] = set()
        failures = 0
        while self._find_newest() > self._configuration.revision:
            sources = [node for node in self._list_sources(self._neighbours) if node not in tried]
            sources = sources or [node for node in self._list_sources() if node not in tried]
            if sources and len(tried) < 2:
                await self._ask(self._random.choice(sources), tried)
            elif not await self._configuration.read_store():
                failures += 1
                tried.clear()
                await pause_before_retry(failures, self._random.random())
            else:
                return

    async def _ask(self, node: NodeId, tried: set[NodeId]) -> None:
        tried.add(node)
        link = self._peers.find_link(node)
        if link is None:
            return
        self._telemetry.counters.add("configuration.asked_of_peers")
        link.send(DocumentRequest(self._configuration.revision))
        await self._await_arrival(ASK_S)

    def _list_sources(self, among: set[NodeId] | None = None) -> list[NodeId]:
        """Return the peers that have announced a newer configuration."""
        revision = self._configuration.revision
        return [
            node
            for node, told in self._told_by.items()
            if told > revision and (among is None or node in among)
        ]

    async def _await_arrival(self, wait_s: float) -> None:
        """Wait until a configuration becomes active, or until a timeout."""
        self._arrived.clear()
        try:
            async with asyncio.timeout(wait_s):
                await self._arrived.wait()
        except TimeoutError:
            return

    def _hear_revision(self, link: Link, revision: int) -> None:
        if link.peer is None:
            return
        self._told_by[link.peer] = revision
        if revision > self._configuration.revision:
            self._news.set()

    def _hear_served(self, link: Link, served: bool) -> None:
        if link.peer is None:
            return
        if served:
            self._turned_away.discard(link.peer)
        else:
            self._turned_away.add(link.peer)
        self.review_duty()

    def _hand_on(self, link: Link, revision: int) -> None:
        if self._configuration.revision <= revision:
            return
        content = self._configuration.content
        packed = len(content) >= PACK_LEAST_BYTES
        if packed:
            content = self._pack()
        if len(content) > MAX_FRAME_BYTES - FRAME_RESERVE_BYTES:
            self._telemetry.events.write("configuration-too-long-for-peers", bytes=len(content))
            return
        link.send(Document(self._configuration.revision, content, packed))

    def _pack(self) -> bytes:
        """Return the compressed configuration, cached because all peers request the same one."""
        if self._packed[0] != self._configuration.revision:
            packed = zlib.compress(self._configuration.content, 1)
            self._packed = (self._configuration.revision, packed)
        return self._packed[1]

    def _take_document(self, link: Link, document: Document) -> None:
        content = document.content
        if document.packed:
            try:
                content = zlib.decompressobj().decompress(content, MAX_DOCUMENT_BYTES)
            except zlib.error as error:
                self._telemetry.events.write(
                    "document-unreadable", peer=str(link.peer), cause=str(error)
                )
                return
        self._configuration.take_document(document.revision, content, str(link.peer))
