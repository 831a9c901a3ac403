"""Shares the configuration and the nodes' records over the links.

The store may turn single nodes away for longer than a configuration may take to come into force,
and a node may start while the store is away; its peers can help it in both cases.
"""

import asyncio

from ragwort_common import FailureDomain, NodeId, Region, ServiceName
from ragwort_model import NodeRecord
from ragwort_protocol import (
    MAX_FRAME_BYTES,
    Document,
    DocumentRequest,
    Message,
    NodeNotice,
    RevisionNotice,
)
from ragwort_transport import Link

from ragwort_mesh._configuration import ConfigurationKeeper
from ragwort_mesh._directory import Directory
from ragwort_mesh._peers import Peers
from ragwort_mesh._telemetry import Telemetry

STORE_FIRST_S = 0.5
"""How long a node that hears of a newer configuration waits for its own watch to bring it."""

FRAME_RESERVE_BYTES = 1 << 10
"""Part of a frame that a document leaves for the rest of its message."""


class Sharing:
    """Owns what this node tells its peers of the configuration and of itself."""

    def __init__(
        self,
        own: NodeRecord,
        configuration: ConfigurationKeeper,
        directory: Directory,
        peers: Peers,
        telemetry: Telemetry,
    ) -> None:
        self._own = own
        self._configuration = configuration
        self._directory = directory
        self._peers = peers
        self._telemetry = telemetry
        self._asked = 0

    def greet(self, link: Link) -> None:
        """Tell a new peer where this node is and which configuration it has."""
        own = self._own
        link.send(
            NodeNotice(own.node, own.link_address, own.service, own.failure_domain, own.region)
        )
        if self._configuration.revision:
            link.send(RevisionNotice(self._configuration.revision, 0))

    def tell_revision(self) -> None:
        """Tell every peer of the configuration that has come into force."""
        notice = RevisionNotice(self._configuration.revision, 0)
        for _, link in self._peers.list_links():
            link.send(notice)

    def receive(self, link: Link, message: Message) -> None:
        """Act on a peer's message."""
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
        elif kind is DocumentRequest:
            self._hand_on(link, message.revision)
        elif kind is Document:
            self._configuration.take_document(message.revision, message.content, str(link.peer))

    def _hear_revision(self, link: Link, revision: int) -> None:
        if revision <= max(self._configuration.revision, self._asked):
            return
        self._asked = revision
        wait_s = STORE_FIRST_S if self._configuration.revision else 0.0
        asyncio.get_running_loop().call_later(wait_s, self._ask, link, revision)

    def _ask(self, link: Link, revision: int) -> None:
        self._asked = 0
        if revision > self._configuration.revision:
            self._telemetry.counters.add("configuration.asked_of_peers")
            link.send(DocumentRequest(self._configuration.revision))

    def _hand_on(self, link: Link, revision: int) -> None:
        content = self._configuration.content
        if self._configuration.revision <= revision:
            return
        if len(content) > MAX_FRAME_BYTES - FRAME_RESERVE_BYTES:
            self._telemetry.events.write("configuration-too-long-for-peers", bytes=len(content))
            return
        link.send(Document(self._configuration.revision, content))
