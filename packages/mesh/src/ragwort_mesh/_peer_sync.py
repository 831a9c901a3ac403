"""Distributes the configuration and node records over the links between nodes.

Two nodes of each failure domain watch the store, and the others get each configuration from them.
The store may reject requests of single nodes for longer than the allowed delay of a configuration,
and a node may start while the store is unavailable; in both cases it gets the data from its peers.
"""

import asyncio
import random
import zlib
from collections.abc import Callable

from ragwort_common import FailureDomain, NodeId, Region, ServiceName
from ragwort_flow import find_probe_interval, is_watcher_among
from ragwort_model import NodeRecord, is_address
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

from ragwort_mesh._configuration import ActiveConfiguration
from ragwort_mesh._directory import Directory
from ragwort_mesh._peers import Peers
from ragwort_mesh._store import pause_before_retry
from ragwort_mesh._telemetry import Telemetry

OWN_WATCH_WAIT_S = 0.5
"""How long a watcher waits for its own watch to deliver a configuration announced by a peer."""

OWN_DOMAIN_WAIT_S = 0.1
"""How long a node waits for the watchers of its own failure domain when a configuration is
announced from another one, since traffic between domains is billed."""

DOCUMENT_TIMEOUT_S = 0.5
"""Timeout of a document request to a peer; leaves time for a second peer and a read from the store
within the users' shortest bound on activation, 2.5 s."""

FRAME_RESERVE_BYTES = 1 << 10
"""Bytes of a frame reserved for the other fields of a document message."""

MIN_COMPRESSED_BYTES = 1 << 10
"""Minimum size of a document that is compressed; smaller ones gain too little."""

MAX_DOCUMENT_BYTES = 16 << 20
"""Maximum size of a decompressed document; the store holds values of up to a megabyte."""


class PeerSync:
    """Announces this node and its configuration to peers, and fetches newer configurations.

    Parameters
    ----------
    on_watching
        Called each time that this node begins to watch the store for its failure domain.

    Attributes
    ----------
    watch_enabled
        Set while this node watches the store for its failure domain.
    """

    def __init__(
        self,
        own_record: NodeRecord,
        configuration: ActiveConfiguration,
        directory: Directory,
        peers: Peers,
        telemetry: Telemetry,
        watch_enabled: asyncio.Event,
        on_watching: Callable[[], None],
    ) -> None:
        self.watch_enabled = watch_enabled
        self._on_watching = on_watching
        self._own_record = own_record
        self._configuration = configuration
        self._directory = directory
        self._peers = peers
        self._telemetry = telemetry
        self._random = random.Random()
        self._store_available = True
        self._domain_peers: set[NodeId] = set()
        self._unserved: set[NodeId] = set()
        self._announced: dict[NodeId, int] = {}
        self._newer_announced = asyncio.Event()
        self._activated = asyncio.Event()
        self._compressed: tuple[int, bytes] = (0, b"")
        self._watching_allowed = False

    def announce(self, link: Link) -> None:
        """Send this node's record, configuration revision and store status to a new peer."""
        own_record = self._own_record
        link.send(
            NodeNotice(
                own_record.node,
                own_record.link_address,
                own_record.service,
                own_record.failure_domain,
                own_record.region,
            )
        )
        if self._configuration.revision:
            link.send(RevisionNotice(self._configuration.revision, 0))
        if not self._store_available:
            link.send(StoreNotice(False))
        self.update_watching()

    def drop_peer(self, node: NodeId) -> None:
        """Forget what a node announced over a link that has closed."""
        self._announced.pop(node, None)
        self._unserved.discard(node)
        self.update_watching()

    def set_records(self, records: dict[NodeId, NodeRecord]) -> None:
        """Replace the known node records."""
        domain = self._own_record.failure_domain
        self._domain_peers = {
            node
            for node, record in records.items()
            if record.failure_domain == domain and node != self._own_record.node
        }
        self.update_watching()

    def allow_watching(self) -> None:
        """Allow the choice of watchers, now that the first links are open."""
        self._watching_allowed = True
        self.update_watching()

    def update_watching(self) -> None:
        """Decide whether this node watches the store."""
        if not self._watching_allowed:
            return
        candidates = [
            node
            for node in self._domain_peers
            if node not in self._unserved and self._peers.find_link(node) is not None
        ]
        chosen = is_watcher_among(self._own_record.node, candidates)
        if chosen == self.watch_enabled.is_set():
            return
        if chosen:
            self.watch_enabled.set()
            self._on_watching()
        else:
            self.watch_enabled.clear()
        self._telemetry.events.write("store-duty", on_duty=chosen, candidates=len(candidates))

    def announce_store_status(self, store_available: bool) -> None:
        """Announce to the nodes of this failure domain whether the store serves this node."""
        self._store_available = store_available
        for node in self._domain_peers:
            link = self._peers.find_link(node)
            if link is not None:
                link.send(StoreNotice(store_available))

    def find_probe_interval(self) -> float:
        """Return how often this node tries a store that does not serve it, in seconds."""
        return find_probe_interval(len(self._unserved & self._domain_peers))

    def announce_revision(self) -> None:
        """Handle a new active configuration; a watcher announces its revision to every peer."""
        self._activated.set()
        if not self.watch_enabled.is_set():
            return
        notice = RevisionNotice(self._configuration.revision, 0)
        for _, link in self._peers.list_links():
            link.send(notice)

    def receive(self, link: Link, message: Message) -> None:
        """Handle a message from a peer."""
        kind = type(message)
        if kind is NodeNotice:
            if not is_address(message.link_address):
                self._telemetry.events.write_call(
                    "record-unreadable", True, mistake=f"link address of {message.node_id[:100]!r}"
                )
                return
            self._directory.apply_announced(
                NodeRecord(
                    NodeId(message.node_id),
                    message.link_address,
                    ServiceName(message.service),
                    FailureDomain(message.failure_domain),
                    Region(message.region),
                )
            )
        elif kind is RevisionNotice:
            self._receive_revision(link, message.revision)
        elif kind is StoreNotice:
            self._receive_store_status(link, message.store_available)
        elif kind is DocumentRequest:
            self._send_document(link, message.revision)
        elif kind is RecordLost:
            self._directory.republish()
        elif kind is Document:
            self._receive_document(link, message)

    async def run(self) -> None:
        """Fetch each newer configuration that peers announce, until cancelled."""
        while True:
            await self._newer_announced.wait()
            self._newer_announced.clear()
            if self._find_newest_revision() > self._configuration.revision:
                await self._wait_for_cheaper_source()
                await self._fetch()

    def _find_newest_revision(self) -> int:
        return max(self._announced.values(), default=0)

    async def _wait_for_cheaper_source(self) -> None:
        """Wait in case the configuration arrives by a cheaper route."""
        if not self._configuration.revision:
            return
        if self.watch_enabled.is_set() and self._store_available:
            await self._await_activation(OWN_WATCH_WAIT_S)
        elif not self._list_sources(self._domain_peers):
            await self._await_activation(OWN_DOMAIN_WAIT_S)

    async def _fetch(self) -> None:
        """Request the document from peers, nearest first, and read the store if none sends it."""
        tried: set[NodeId] = set()
        failures = 0
        while self._find_newest_revision() > self._configuration.revision:
            started = asyncio.get_running_loop().time()
            sources = [node for node in self._list_sources(self._domain_peers) if node not in tried]
            sources = sources or [node for node in self._list_sources() if node not in tried]
            if sources and len(tried) < 2:
                await self._request_from(self._random.choice(sources), tried)
            elif not await self._configuration.read_store():
                failures += 1
                tried.clear()
                await pause_before_retry(failures, self._random.random(), started)
            else:
                return

    async def _request_from(self, node: NodeId, tried: set[NodeId]) -> None:
        tried.add(node)
        link = self._peers.find_link(node)
        if link is None:
            return
        self._telemetry.counters.add("configuration.asked_of_peers")
        link.send(DocumentRequest(self._configuration.revision))
        await self._await_activation(DOCUMENT_TIMEOUT_S)

    def _list_sources(self, among: set[NodeId] | None = None) -> list[NodeId]:
        """Return the peers that have announced a newer configuration."""
        revision = self._configuration.revision
        return [
            node
            for node, announced in self._announced.items()
            if announced > revision and (among is None or node in among)
        ]

    async def _await_activation(self, wait_s: float) -> None:
        """Wait until a configuration becomes active, or until a timeout."""
        self._activated.clear()
        try:
            async with asyncio.timeout(wait_s):
                await self._activated.wait()
        except TimeoutError:
            return

    def _receive_revision(self, link: Link, revision: int) -> None:
        if link.peer is None:
            return
        self._announced[link.peer] = revision
        if revision > self._configuration.revision:
            self._newer_announced.set()

    def _receive_store_status(self, link: Link, store_available: bool) -> None:
        if link.peer is None:
            return
        if store_available:
            self._unserved.discard(link.peer)
        else:
            self._unserved.add(link.peer)
        self.update_watching()

    def _send_document(self, link: Link, revision: int) -> None:
        if self._configuration.revision <= revision:
            return
        content = self._configuration.content
        compressed = len(content) >= MIN_COMPRESSED_BYTES
        if compressed:
            content = self._compress()
        if len(content) > MAX_FRAME_BYTES - FRAME_RESERVE_BYTES:
            self._telemetry.events.write("configuration-too-long-for-peers", bytes=len(content))
            return
        link.send(Document(self._configuration.revision, content, compressed))

    def _compress(self) -> bytes:
        """Return the compressed configuration, cached because all peers request the same one."""
        if self._compressed[0] != self._configuration.revision:
            compressed = zlib.compress(self._configuration.content, 1)
            self._compressed = (self._configuration.revision, compressed)
        return self._compressed[1]

    def _receive_document(self, link: Link, document: Document) -> None:
        content = document.content
        if document.compressed:
            try:
                content = zlib.decompressobj().decompress(content, MAX_DOCUMENT_BYTES)
            except zlib.error as error:
                self._telemetry.events.write(
                    "document-unreadable", peer=str(link.peer), cause=str(error)
                )
                return
        self._configuration.apply_document(document.revision, content, str(link.peer))
