"""The tasks that maintain a node's table of peers: gossip, announcements and seed nodes."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ragwort_common import NodeId, Revision
from ragwort_policy import (
    Change,
    Membership,
    OutgoingMessage,
    RandomSource,
    add_announced,
    announce_leaving,
    announce_left,
    announce_resumed,
    drain_changes,
    is_current,
    join_peers,
    list_orphans,
    merge_updates,
    note_link_lost,
    receive_message,
    set_load,
    set_revision,
    tick_membership,
)
from ragwort_protocol import Message, PeerState, PeerUpdate
from ragwort_store import ObjectStore, StoreError

from ragwort_node._announcements import (
    list_announced,
    make_announcement,
    remove_announcement,
    write_announcement,
)
from ragwort_node._gossip_events import (
    EarlierStartFound,
    GossipEvent,
    LinkLost,
    LoadChanged,
    PeerMessage,
    PeersListed,
    RevisionApplied,
    SeedsFound,
    StateRequested,
)

log = logging.getLogger(__name__)

TICK_S = 0.1
MAX_QUEUED_EVENTS = 2000
MAX_START_DELAY_S = 2.0
RETRY_S = 2.0
MAX_RETRY_S = 60.0
ORPHAN_CHECK_INTERVAL_S = 60.0


SendMessage = Callable[[NodeId, Message], int]
"""Queues a message for a peer; returns the number of bytes, 0 if it could not be queued."""

SeedConnector = Callable[[str], Awaitable[NodeId | None]]
"""Opens a link to an address and returns the id of the node there, or None."""


@dataclass(slots=True)
class Gossip:
    """State of the gossip task; other tasks only read the membership and put events.

    ``on_revision`` is called with each higher rules revision and a peer that has it in force; the
    peer is empty as long as no peer has reported the revision as its own. ``unsent`` counts
    messages that could not be queued for a peer, ``dropped`` events that a full queue rejected.
    """

    membership: Membership
    send: SendMessage
    clock: Callable[[], float]
    random: RandomSource
    on_changes: Callable[[list[Change]], None]
    on_revision: Callable[[Revision, NodeId], None] = lambda revision, holder: None
    events: asyncio.Queue[GossipEvent] = field(
        default_factory=lambda: asyncio.Queue(MAX_QUEUED_EVENTS)
    )
    unsent: int = 0
    dropped: int = 0


def put_event(gossip: Gossip, event: GossipEvent) -> bool:
    """Queue an event for the gossip task; return False when its queue is full."""
    try:
        gossip.events.put_nowait(event)
    except asyncio.QueueFull:
        gossip.dropped += 1
        return False
    return True


async def run_gossip(gossip: Gossip) -> None:
    """Process events and periodic work until the node has left or the task is cancelled."""
    was_current = False
    reported = (gossip.membership.highest_revision, gossip.membership.highest_holder)
    next_tick = gossip.clock()
    while gossip.membership.own.state is not PeerState.LEFT:
        event = await _next_event(gossip, next_tick)
        now = gossip.clock()
        if event is not None:
            _handle_event(gossip, event, now)
        if now >= next_tick:
            next_tick = now + TICK_S
            _send_all(gossip, tick_membership(gossip.membership, now, gossip.random))
        changes = drain_changes(gossip.membership)
        if changes:
            gossip.on_changes(changes)
        latest = (gossip.membership.highest_revision, gossip.membership.highest_holder)
        if latest != reported:
            reported = latest
            gossip.on_revision(*latest)
        was_current = _log_view_change(gossip, now, was_current)


async def change_state(gossip: Gossip, state: PeerState) -> None:
    """Change the state of this node and wait until the notices to peers have been queued."""
    event = StateRequested(state)
    await gossip.events.put(event)
    await event.done.wait()


async def run_announcer(gossip: Gossip, store: ObjectStore) -> None:
    """List this node's peers, announce it, then remove announcements of dead peers.

    Failed platform calls are retried with exponential backoff and jitter.
    """
    # The first rules come into force only when the peers to ask for newer ones are known.
    await _retry_until_done(gossip, lambda: _list_peers(gossip, store))
    # Many nodes may start at once after a failure domain has recovered, and the platform takes
    # fewer writes than reads.
    await asyncio.sleep(MAX_START_DELAY_S * gossip.random.random())
    await _retry_until_done(gossip, lambda: _announce(gossip, store))
    await _retry_until_done(gossip, lambda: _list_peers(gossip, store))
    # Nodes that start together may list the platform before all of them are announced, so they
    # list it once more.
    await asyncio.sleep(2 * MAX_START_DELAY_S)
    await _retry_until_done(gossip, lambda: _list_peers(gossip, store))
    removed: set[tuple[NodeId, int]] = set()
    while True:
        await asyncio.sleep(ORPHAN_CHECK_INTERVAL_S * (0.5 + gossip.random.random()))
        await remove_orphans(gossip, store, removed)


async def run_seeds(gossip: Gossip, addresses: list[str], connect: SeedConnector) -> None:
    """Join through the seed addresses until the node's view is current."""
    wait_s = RETRY_S
    while not is_current(gossip.membership, gossip.clock()):
        found = [await connect(address) for address in addresses]
        node_ids = [node_id for node_id in found if node_id is not None]
        if node_ids:
            put_event(gossip, SeedsFound(node_ids))
        await asyncio.sleep(wait_s * (0.5 + gossip.random.random()))
        wait_s = min(MAX_RETRY_S, 2 * wait_s)


async def withdraw(gossip: Gossip, store: ObjectStore) -> bool:
    """Remove this node's announcement at a graceful stop; return whether it is gone."""
    own = gossip.membership.own
    removed = await remove_announcement(store, own.node_id, own.incarnation)
    return removed.is_ok() and removed.ok


async def remove_orphans(
    gossip: Gossip, store: ObjectStore, removed: set[tuple[NodeId, int]]
) -> None:
    """Remove the announcements of dead peers that this node is responsible for, each once."""
    for peer in list_orphans(gossip.membership, gossip.clock()):
        key = (peer.node_id, peer.incarnation)
        if key in removed:
            continue
        result = await remove_announcement(store, peer.node_id, peer.incarnation)
        if result.is_ok():
            removed.add(key)
            log.info("removed the announcement of %s, gone for long", peer.node_id)


async def _next_event(gossip: Gossip, next_tick: float) -> GossipEvent | None:
    if not gossip.events.empty():
        return gossip.events.get_nowait()
    wait_s = max(0.0, next_tick - gossip.clock())
    try:
        async with asyncio.timeout(wait_s):
            return await gossip.events.get()
    except TimeoutError:
        return None


def _handle_event(gossip: Gossip, event: GossipEvent, now: float) -> None:
    membership = gossip.membership
    random = gossip.random
    match event:
        case PeerMessage():
            sends = receive_message(membership, now, random, event.sender, event.message)
            _send_all(gossip, sends)
        case LinkLost():
            _send_all(gossip, note_link_lost(membership, event.node_id, now))
        case PeersListed():
            add_announced(membership, event.announced, now)
            _send_all(gossip, join_peers(membership, now, random, []))
        case EarlierStartFound():
            earlier = PeerUpdate(membership.own.node_id, event.incarnation, PeerState.ALIVE)
            merge_updates(membership, [earlier], now)
            event.done.set()
        case SeedsFound():
            _send_all(gossip, join_peers(membership, now, random, event.node_ids))
        case RevisionApplied():
            _send_all(gossip, set_revision(membership, event.revision, now, random))
        case LoadChanged():
            set_load(membership, event.free_slots)
        case StateRequested():
            _send_all(gossip, _announce_state(membership, event.state, now, random))
            log.info("this node is now %s", event.state.name.lower())
            event.done.set()


def _announce_state(
    membership: Membership, state: PeerState, now: float, random: RandomSource
) -> list[OutgoingMessage]:
    match state:
        case PeerState.LEAVING:
            return announce_leaving(membership, now, random)
        case PeerState.LEFT:
            return announce_left(membership, now, random)
        case _:
            return announce_resumed(membership, now, random)


def _send_all(gossip: Gossip, sends: list[OutgoingMessage]) -> None:
    for send in sends:
        if not gossip.send(send.to, send.message):
            gossip.unsent += 1


def _log_view_change(gossip: Gossip, now: float, was_current: bool) -> bool:
    current = is_current(gossip.membership, now)
    if current != was_current:
        log.info("the view of peers is %s", "current" if current else "no longer current")
    return current


async def _retry_until_done(
    gossip: Gossip, action: Callable[[], Awaitable[StoreError | None]]
) -> None:
    wait_s = RETRY_S
    failure = await action()
    if failure is not None:
        log.warning("platform: %s: %s; retrying", failure.kind.value, failure.message)
    while failure is not None:
        await asyncio.sleep(wait_s * (0.5 + gossip.random.random()))
        wait_s = min(MAX_RETRY_S, 2 * wait_s)
        failure = await action()


async def _announce(gossip: Gossip, store: ObjectStore) -> StoreError | None:
    own = gossip.membership.own
    written = await write_announcement(store, make_announcement(own))
    if written.is_error():
        return written.error
    if written.ok <= own.incarnation:
        log.info("announced in the platform as %s", own.node_id)
        return None
    # The clock was ahead at the previous start, which left a higher incarnation.
    event = EarlierStartFound(written.ok)
    await gossip.events.put(event)
    await event.done.wait()
    return await _announce(gossip, store)


async def _list_peers(gossip: Gossip, store: ObjectStore) -> StoreError | None:
    listed = await list_announced(store)
    if listed.is_error():
        return listed.error
    await gossip.events.put(PeersListed(listed.ok))
    log.info("the platform lists %d announcements", len(listed.ok))
    return None
