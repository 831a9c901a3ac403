"""Links to other nodes: dials them, keeps them open, and aborts those that stop responding."""

import asyncio
from collections.abc import Callable
from typing import cast

from ragwort_common import NodeId
from ragwort_model import NodeRecord
from ragwort_protocol import Hello, Probe
from ragwort_transport import Link, MessageHandler, bind_socket, set_unacknowledged_timeout

from ragwort_mesh._silent_links import SilentLinks, SilentState
from ragwort_mesh._telemetry import Telemetry

CONNECT_TIMEOUT_S = 1.0
"""Timeout for opening a link: several round trips between regions."""

MIN_RETRY_PAUSE_S = 0.1
"""Pause before the first retry of a failed dial; it doubles with each failure."""

DIAL_DELAY_S = 0.15
"""How long a node waits before it dials a peer whose name sorts before its own, so that two nodes
that discover each other at the same time don't open two links."""

MAX_RETRY_PAUSE_S = 2.0
"""Maximum pause between dials, so that a node that comes back is linked in time for its calls."""

SWEEP_INTERVAL_S = 0.2
"""How often the links are checked."""

BUSY_PROBE_S = 0.5
"""A link with pending calls is probed after this long without incoming data."""

IDLE_PROBE_S = 10.0
"""A link without pending calls is probed after this long without incoming data; TCP keepalive
detects most dead links earlier."""

MAX_IDLE_PROBES_PER_S = 10.0
"""Maximum rate of probes on idle links: at 60 bytes for a probe and its reply, 0.6 of the 14 KB/s
allowed for control traffic."""

PROBE_TIMEOUT_S = 1.5
"""A link gets no new calls after this long without data following a probe: more than twenty round
trips between regions, and one retransmission. It is aborted if it has no calls that must not run
again, or if the peer's kernel has acknowledged nothing for this long."""

MAX_UNACKNOWLEDGED_MS = 2_500
"""How long the kernel waits for a peer's TCP acknowledgement."""


class Peers:
    """Holds the links of a node.

    Parameters
    ----------
    hello
        Hello message of this node.
    handle
        Called with every message that is not a reply to a call.
    on_opened, on_closed
        Called with each link once its hello has been received or its peer answers again after a
        silence, and once it has closed.
    on_silent
        Called with a link that gets no new calls because its peer answers no probe.
    is_serving
        Tells whether calls of the peer that came over a link run on this node.
    """

    def __init__(
        self,
        hello: Hello,
        handle: MessageHandler,
        on_opened: Callable[[Link], None],
        on_closed: Callable[[Link], None],
        on_silent: Callable[[Link], None],
        is_serving: Callable[[Link], bool],
        telemetry: Telemetry,
    ) -> None:
        self._hello = hello
        self._handle = handle
        self._on_opened = on_opened
        self._on_closed = on_closed
        self._on_silent = on_silent
        self._telemetry = telemetry
        self._records: dict[NodeId, NodeRecord] = {}
        self._links: dict[NodeId, Link] = {}
        self._all_links: set[Link] = set()
        self._dials: dict[NodeId, asyncio.Task[None]] = {}
        self._retries: dict[NodeId, tuple[float, float]] = {}
        self._dial_not_before: dict[NodeId, float] = {}
        self._probed: dict[Link, float] = {}
        self._silent = SilentLinks(is_serving, PROBE_TIMEOUT_S, BUSY_PROBE_S)
        self._server: asyncio.Server | None = None
        self._probe_ids = 0

    async def listen(self, address: str) -> int:
        """Accept links on the address ``host:port``, and return the port."""
        sock = bind_socket(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_link, sock=sock)
        return sock.getsockname()[1]

    def set_records(self, records: dict[NodeId, NodeRecord]) -> None:
        """Replace the records of the nodes to which links are kept."""
        dial_not_before = asyncio.get_running_loop().time() + DIAL_DELAY_S
        for node, record in records.items():
            if self._records.get(node) != record:
                self._retries.pop(node, None)
                self._dial_not_before[node] = dial_not_before if node < self._hello.node_id else 0.0
        self._records = {
            node: record for node, record in records.items() if node != self._hello.node_id
        }

    def find_link(self, node: NodeId) -> Link | None:
        """Return the open link to a node, or None if there is none or its send buffer is full."""
        link = self._links.get(node)
        if link is None or not link.is_open or link.write_paused:
            return None
        return link

    def has_link(self, node: NodeId) -> bool:
        """Return whether there is a link to a node that new calls may use."""
        return node in self._links

    def list_links(self) -> list[tuple[NodeId, Link]]:
        """Return the links with their nodes."""
        return list(self._links.items())

    def count_missing(self) -> int:
        """Return how many known nodes have no link and no failed dial."""
        return sum(node not in self._links and node not in self._retries for node in self._records)

    async def run(self) -> None:
        """Dial missing links and abort unresponsive ones, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            self._dial_missing(now)
            for link in list(self._all_links):
                self._check_link(link, now)
            await asyncio.sleep(SWEEP_INTERVAL_S)

    def close(self) -> None:
        """Stop accepting and close every link."""
        if self._server is not None:
            self._server.close()
        for dial in list(self._dials.values()):
            dial.cancel()
        for link in list(self._all_links):
            link.close()

    def dial_missing(self) -> None:
        """Dial the nodes that have no link."""
        self._dial_missing(asyncio.get_running_loop().time())

    def _dial_missing(self, now: float) -> None:
        for node, record in self._records.items():
            if node in self._links or node in self._dials:
                continue
            not_before = max(self._dial_not_before[node], self._retries.get(node, (0.0, 0.0))[0])
            if now < not_before:
                continue
            dial = asyncio.create_task(self._dial(node, record.link_address))
            self._dials[node] = dial
            dial.add_done_callback(lambda _, node=node: self._dials.pop(node, None))

    async def _dial(self, node: NodeId, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        link: Link | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, link = await loop.create_connection(self._make_link, host, int(port))
                set_unacknowledged_timeout(transport, MAX_UNACKNOWLEDGED_MS)
                await link.hello_received
        except (OSError, TimeoutError) as error:
            self._record_dial_failure(node, repr(error))
            if link is not None:
                link.abort()
            return
        except asyncio.CancelledError:
            if link is not None:
                link.abort()
            raise
        if link.peer != node:
            # Another node has taken over the address; it must not get calls meant for this node.
            self._record_dial_failure(node, f"the address belongs to {link.peer}")
            if self._links.get(cast(NodeId, link.peer)) is not link:
                link.close()

    def _record_dial_failure(self, node: NodeId, cause: str) -> None:
        now = asyncio.get_running_loop().time()
        pause_s = min(
            MAX_RETRY_PAUSE_S, self._retries.get(node, (0.0, MIN_RETRY_PAUSE_S / 2))[1] * 2
        )
        self._retries[node] = (now + pause_s, pause_s)
        self._telemetry.counters.add("link.connect_failures")
        self._telemetry.events.write("peer-unreachable", peer=node, cause=cause)

    def _make_link(self) -> Link:
        counters = self._telemetry.counters
        return Link(self._hello, self._handle, self._add, self._remove, counters)

    def _add(self, link: Link) -> None:
        self._all_links.add(link)
        node = cast(NodeId, link.peer)
        current = self._links.get(node)
        # Replace a link in use only if the node has restarted. Incarnations are compared for
        # equality, not order, since the host's clock may be set back between two starts.
        if current is None or not current.is_open or link.incarnation != current.incarnation:
            self._links[node] = link
        self._retries.pop(node, None)
        self._telemetry.events.write("peer-linked", peer=node)
        self._on_opened(link)

    def _remove(self, link: Link) -> None:
        self._all_links.discard(link)
        self._probed.pop(link, None)
        self._silent.drop(link)
        self._stop_using(link)
        self._on_closed(link)

    def _stop_using(self, link: Link) -> None:
        """Send nothing more over a link, except what its calls need."""
        if link.peer is not None and self._links.get(link.peer) is link:
            other = self._find_other(link)
            if other is None:
                del self._links[link.peer]
                self._telemetry.events.write("peer-lost", peer=link.peer)
            else:
                self._links[link.peer] = other

    def _find_other(self, link: Link) -> Link | None:
        """Return another open link, not a silent one, to the same incarnation of a node."""
        for other in self._all_links:
            if other is link or other in self._silent or not other.is_open:
                continue
            if (other.peer, other.incarnation) == (link.peer, link.incarnation):
                return other
        return None

    def _check_link(self, link: Link, now: float) -> None:
        if link in self._silent:
            state = self._silent.check(link, now, self._probe)
            if state is not SilentState.WAITING:
                self._apply_silent_state(link, state, now)
            return
        silent_s = now - link.received_at
        probed_at = self._probed.get(link)
        if probed_at is not None:
            if link.received_at >= probed_at:
                del self._probed[link]
            elif now - probed_at > PROBE_TIMEOUT_S:
                del self._probed[link]
                self._telemetry.counters.add("link.silent")
                self._apply_silent_state(link, self._silent.hold(link, now), now)
                self._stop_using(link)
                self._on_silent(link)
            return
        idle_s = max(IDLE_PROBE_S, len(self._all_links) / MAX_IDLE_PROBES_PER_S)
        if silent_s > (BUSY_PROBE_S if link.count_pending() else idle_s):
            self._probe(link)
            self._probed[link] = now

    def _probe(self, link: Link) -> None:
        self._probe_ids += 1
        link.send(Probe(self._probe_ids))

    def _resume(self, link: Link, now: float) -> None:
        """Use a link again whose peer answers, in place of one that was opened beside it.

        The peer never stopped using this link, so no call of its own is on the other one.
        """
        node = cast(NodeId, link.peer)
        dial = self._dials.get(node)
        if dial is not None:
            dial.cancel()
        other = self._links.get(node)
        if other is not None and other.is_open:
            if other.incarnation != link.incarnation:
                return
            self._silent.retire(other, now)
        self._links[node] = link
        self._on_opened(link)

    def _apply_silent_state(self, link: Link, state: SilentState, now: float) -> None:
        """Resume or close a link whose peer has answered no probe."""
        self._telemetry.events.write(
            "silent-link",
            peer=link.peer,
            state=state.name.lower(),
            pending=link.count_pending(),
            silent_s=round(now - link.received_at, 2),
        )
        if state is SilentState.ANSWERING:
            self._resume(link, now)
        elif state is SilentState.FINISHED:
            # Replies to the peer's calls may still be in the write buffer.
            link.close()
        elif state is SilentState.GONE:
            link.abort()
