"""The links of a node: dials peers, accepts them, and finds the link to a peer."""

import asyncio
import logging
from collections.abc import Callable

from ragwort_common import NodeId
from ragwort_protocol import Hello, Message

from ragwort_node._link import Handler, Link
from ragwort_node._metrics import Counters

log = logging.getLogger(__name__)

Resolve = Callable[[NodeId], str | None]
"""Returns a peer's link address, ``host:port``, or None when it is not known."""


class LinkPool:
    """Owns the links; at most one dial to a peer is under way at a time.

    Parameters
    ----------
    hello
        Greeting of this node.
    resolve
        Finds a peer's address when it has to be dialled.
    handle
        Gets every message that is not the reply to a call.
    connect_timeout_ms
        How long a dial may take, in milliseconds.
    """

    def __init__(
        self,
        hello: Hello,
        resolve: Resolve,
        handle: Handler,
        counters: Counters,
        connect_timeout_ms: int,
    ) -> None:
        self._hello = hello
        self._resolve = resolve
        self._handle = handle
        self._counters = counters
        self._timeout_s = connect_timeout_ms / 1000
        self._links: dict[NodeId, Link] = {}
        self._all: set[Link] = set()
        self._dials: dict[NodeId, asyncio.Task[Link | None]] = {}
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Accept links and return the port that is bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_link, host, port)
        return self._server.sockets[0].getsockname()[1]

    def find_link(self, peer: NodeId) -> Link | None:
        """Return the open link to a peer, if there is one that takes in what is sent."""
        link = self._links.get(peer)
        if link is not None and link.is_open and not link.clogged:
            return link
        return None

    async def open_link(self, peer: NodeId) -> Link | None:
        """Return a link to a peer, dialling it if need be; None when it can't be reached."""
        link = self.find_link(peer)
        if link is not None:
            return link
        dial = self._dials.get(peer)
        if dial is None:
            dial = asyncio.create_task(self._dial(peer))
            self._dials[peer] = dial
            dial.add_done_callback(lambda _: self._dials.pop(peer, None))
        return await asyncio.shield(dial)

    def send(self, peer: NodeId, message: Message) -> int:
        """Send a message if a link is open and return its bytes; else dial and return 0."""
        link = self.find_link(peer)
        if link is not None:
            return link.send(message)
        if peer not in self._dials:
            dial = asyncio.create_task(self._dial(peer))
            self._dials[peer] = dial
            dial.add_done_callback(lambda _: self._dials.pop(peer, None))
        return 0

    def count_links(self) -> int:
        """Return the number of open links."""
        return len(self._all)

    async def close(self) -> None:
        """Stop accepting and close every link."""
        if self._server is not None:
            self._server.close()
        for dial in list(self._dials.values()):
            dial.cancel()
        for link in list(self._all):
            link.close()

    def _make_link(self) -> Link:
        return Link(self._hello, self._handle, self._add, self._remove, self._counters)

    async def _dial(self, peer: NodeId) -> Link | None:
        address = self._resolve(peer)
        if address is None:
            return None
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._timeout_s):
                _, link = await loop.create_connection(self._make_link, host, int(port))
        except (OSError, TimeoutError):
            self._counters.add("link.connect_failures")
            return None
        link.peer = peer
        self._add(link)
        return link

    def _add(self, link: Link) -> None:
        self._all.add(link)
        if link.peer is not None:
            self._links[link.peer] = link

    def _remove(self, link: Link) -> None:
        self._all.discard(link)
        if link.peer is not None and self._links.get(link.peer) is link:
            del self._links[link.peer]
