"""The links of a node: connects to peers, accepts connections and finds the link to a peer."""

import asyncio
import logging
import socket
from collections.abc import Callable

from ragwort_common import Counters, NodeId
from ragwort_model import is_address
from ragwort_protocol import Hello, Message, encode_frame
from ragwort_transport import Link, MessageHandler, bind_socket

log = logging.getLogger(__name__)

MAX_WAITING_MESSAGES = 32
"""Maximum number of messages to one peer that wait for its link to open."""

Resolve = Callable[[NodeId], str | None]
"""Returns a peer's link address, ``host:port``, or None when it is not known."""


class LinkPool:
    """Owns the links; makes at most one connection attempt to a peer at a time.

    Parameters
    ----------
    hello
        The hello message of this node.
    resolve
        Returns the address of a peer to connect to.
    handle
        Receives every message that is not the reply to a call.
    connect_timeout_ms
        Timeout of a connection attempt, in milliseconds.
    on_lost
        Called with each peer whose link broke or could not be opened.
    on_closed
        Called with each link that was closed.
    """

    def __init__(
        self,
        hello: Hello,
        resolve: Resolve,
        handle: MessageHandler,
        counters: Counters,
        connect_timeout_ms: int,
        on_lost: Callable[[NodeId], None] = lambda peer: None,
        on_closed: Callable[[Link], None] = lambda link: None,
    ) -> None:
        self._hello = hello
        self._resolve = resolve
        self._handle = handle
        self._counters = counters
        self._timeout_s = connect_timeout_ms / 1000
        self._on_lost = on_lost
        self._on_closed = on_closed
        self._waiting: dict[NodeId, list[Message]] = {}
        self._links: dict[NodeId, Link] = {}
        self._open_links: set[Link] = set()
        self._dials: dict[NodeId, asyncio.Task[Link | None]] = {}
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None

    def bind(self, host: str, port: int) -> int:
        """Bind the address on which links will be accepted, and return the port."""
        self._socket = bind_socket(f"{host}:{port}")
        return self._socket.getsockname()[1]

    async def listen(self) -> None:
        """Start to accept links."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_link, sock=self._socket)

    def find_link(self, peer: NodeId) -> Link | None:
        """Return the open link to a peer, or None if there is none or its send buffer is full."""
        link = self._links.get(peer)
        if link is not None and link.is_open and not link.write_paused:
            return link
        return None

    async def open_link(self, peer: NodeId) -> Link | None:
        """Return a link to a peer, connecting if necessary; None when the peer is unreachable."""
        link = self.find_link(peer)
        if link is not None:
            return link
        dial = self._dials.get(peer) or self._start_dial(peer)
        return await asyncio.shield(dial)

    def send(self, peer: NodeId, message: Message) -> int:
        """Send a message and return its size in bytes.

        Without a link the message waits for one to be opened. The result is 0, and the message is
        dropped, when too many messages wait already or the send buffer of the link is full.
        """
        link = self._links.get(peer)
        if link is not None and link.is_open:
            return 0 if link.write_paused else link.send(message)
        waiting = self._waiting.setdefault(peer, [])
        if len(waiting) >= MAX_WAITING_MESSAGES:
            return 0
        waiting.append(message)
        if peer not in self._dials:
            self._start_dial(peer)
        return len(encode_frame(message))

    async def connect_address(self, address: str) -> NodeId | None:
        """Open a link to an address whose node is not known; return the node's id, or None."""
        link = await self._connect(address)
        return link.peer if link else None

    def count_links(self) -> int:
        """Return the number of open links."""
        return len(self._open_links)

    async def close(self) -> None:
        """Stop accepting links and close all of them."""
        if self._server is not None:
            self._server.close()
        for dial in list(self._dials.values()):
            dial.cancel()
        for link in list(self._open_links):
            link.close()

    def _make_link(self) -> Link:
        return Link(self._hello, self._handle, self._add, self._remove, self._counters)

    def _start_dial(self, peer: NodeId) -> "asyncio.Task[Link | None]":
        dial = asyncio.create_task(self._dial(peer))
        self._dials[peer] = dial
        dial.add_done_callback(lambda _: self._dials.pop(peer, None))
        return dial

    async def _dial(self, peer: NodeId) -> Link | None:
        address = self._resolve(peer)
        link = await self._connect(address) if address else None
        waiting = self._waiting.pop(peer, [])
        if link is not None and link.peer != peer:
            # Another node now uses the address; it must not receive this peer's calls.
            self._counters.add("link.wrong_peers")
            link = None
        if link is None:
            self._on_lost(peer)
            return None
        for message in waiting:
            link.send(message)
        return link

    async def _connect(self, address: str) -> Link | None:
        """Open a link and wait for the peer's hello message."""
        if not is_address(address):
            self._counters.add("link.connect_failures")
            return None
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        link: Link | None = None
        try:
            async with asyncio.timeout(self._timeout_s):
                _, link = await loop.create_connection(self._make_link, host, int(port))
                await link.hello_received
        except (OSError, TimeoutError):
            self._counters.add("link.connect_failures")
            if link is not None:
                link.close()
            return None
        return link

    def _add(self, link: Link) -> None:
        self._open_links.add(link)
        if link.peer is not None:
            self._links[link.peer] = link

    def _remove(self, link: Link) -> None:
        self._open_links.discard(link)
        self._on_closed(link)
        if link.peer is not None and self._links.get(link.peer) is link:
            del self._links[link.peer]
            self._on_lost(link.peer)
