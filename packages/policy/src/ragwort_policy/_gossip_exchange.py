"""Operations shared by the parts of membership: budgeted sending and merging of updates."""

from math import log10

from ragwort_common import NodeId, Revision
from ragwort_protocol import Message, PeerState, PeerUpdate, Ping, encode_frame

from ragwort_policy._budget import (
    ByteBudget,
    TrafficClass,
    get_available_bytes,
    get_budget_level,
    try_spend,
)
from ragwort_policy._dissemination import enqueue_update, take_updates
from ragwort_policy._gossip_state import Membership, OutgoingMessage
from ragwort_policy._peer import Peer, describe_peer, get_generation, raise_incarnation
from ragwort_policy._table import (
    apply_update,
    estimate_region_size,
    list_region,
    set_state,
    start_suspicion,
)

UPDATES_RESERVE = 0.4

_FRAME_MARGIN_BYTES = 64
_MIN_UPDATES_BYTES = 64
_INTER_REGION_STATES = frozenset(
    {PeerState.ALIVE, PeerState.LEAVING, PeerState.DEAD, PeerState.LEFT}
)


def try_send(
    membership: Membership,
    sends: list[OutgoingMessage],
    now: float,
    to: NodeId,
    message: Message,
    traffic: TrafficClass,
) -> bool:
    """Append a message to ``sends`` if the budgets allow it; return whether they did."""
    size_bytes = len(encode_frame(message))
    if not try_spend(_budgets_to(membership, to), now, traffic, size_bytes):
        return False
    membership.counters.sent_bytes += size_bytes
    sends.append(OutgoingMessage(to, message, size_bytes, traffic))
    return True


def limit_message_bytes(
    membership: Membership, now: float, to: NodeId, traffic: TrafficClass, wanted_bytes: int
) -> int:
    """Return how many bytes of content the budgets allow now in a message to a peer.

    Long messages are cut to this, because one larger than a budget's burst could never be sent.
    """
    room = min(
        get_available_bytes(budget, now) - traffic.value * budget.burst_bytes
        for budget in _budgets_to(membership, to)
    )
    return min(wanted_bytes, int(room) - _FRAME_MARGIN_BYTES)


def select_updates(
    membership: Membership, now: float, to: NodeId, traffic: TrafficClass
) -> list[PeerUpdate]:
    """Return the updates to piggyback on a message to a peer.

    A suspicion or death of the receiver itself is always included, so that it can refute it. The
    space for other updates shrinks with the budget's level.
    """
    updates = _list_receiver_state(membership, to)
    wanted_bytes = int(membership.settings.news_bytes * _get_updates_share(membership, now))
    room = limit_message_bytes(membership, now, to, traffic, wanted_bytes)
    if room < _MIN_UPDATES_BYTES:
        return updates
    updates += take_updates(membership.queue, len(membership.table.peers), room)
    return updates


def _get_updates_share(membership: Membership, now: float) -> float:
    # Updates stop well before probes and answers do. If they used up the budget for answers, live
    # nodes would be suspected, and these suspicions would cause still more updates.
    level = get_budget_level(membership.budget, now)
    return min(1.0, max(0.0, (level - UPDATES_RESERVE) / UPDATES_RESERVE))


def make_ping(membership: Membership, now: float, to: NodeId, sequence: int) -> Ping:
    """Return a probe for a peer, with piggybacked updates."""
    updates = select_updates(membership, now, to, TrafficClass.PROBE)
    return Ping(sequence, membership.own.revision, updates)


def merge_updates(
    membership: Membership, updates: list[PeerUpdate], now: float, passes_on: bool = True
) -> None:
    """Merge updates from a peer and, with ``passes_on``, queue those that changed the table."""
    for item in updates:
        if item.node_id == membership.own.node_id:
            refute_update(membership, item, now)
        else:
            merge_update(membership, item, now, passes_on)


def merge_update(
    membership: Membership, update: PeerUpdate, now: float, passes_on: bool = True
) -> bool:
    """Merge an update of another peer; return whether it changed the table."""
    change = apply_update(membership.table, update, now)
    if change is None:
        return False
    membership.changes.append(change)
    if passes_on:
        gossip_update(membership, change.peer, update)
    if change.peer.state is PeerState.SUSPECT and change.peer.region == membership.own.region:
        start_suspicion(membership.table, change.peer, now + suspicion_timeout_s(membership))
    return True


def gossip_update(membership: Membership, peer: Peer, update: PeerUpdate) -> None:
    """Queue an update for the own region and, on a bridge, for the other regions."""
    enqueue_update(membership.queue, update)
    crosses_regions = update.state in _INTER_REGION_STATES and peer.region == membership.own.region
    if crosses_regions and membership.bridging.is_bridge:
        enqueue_update(membership.bridging.queue, update)


def note_revision(membership: Membership, revision: int, holder: NodeId) -> None:
    """Record a known rules revision; ``holder`` has it in force and is empty if unknown."""
    peer = membership.table.peers.get(holder)
    if peer is not None and revision > peer.revision:
        peer.revision = Revision(revision)
    is_higher = revision > membership.highest_revision
    if is_higher or (revision == membership.highest_revision and not membership.highest_holder):
        membership.highest_revision = Revision(revision)
        membership.highest_holder = holder


def refute_update(membership: Membership, update: PeerUpdate, now: float) -> None:
    """Refute an update that supersedes this node's own statement about itself.

    An update other than ``ALIVE`` that is older than the own incarnation is answered too: its
    sender has missed the refutation.
    """
    own = membership.own
    if own.state is PeerState.LEFT:
        return
    supersedes_own = (update.incarnation, update.state.value) > (own.incarnation, own.state.value)
    if not supersedes_own:
        if update.state is not PeerState.ALIVE and update.incarnation < own.incarnation:
            gossip_update(membership, own, describe_peer(own, with_profile=False))
        return
    is_other_start = update.incarnation > own.incarnation
    incarnation = raise_incarnation(own.incarnation, update.incarnation)
    set_state(membership.table, own, incarnation, own.state, now)
    own.profile_generation = get_generation(incarnation)
    membership.counters.refutations += 1
    gossip_update(membership, own, describe_peer(own, with_profile=is_other_start))


def suspicion_timeout_s(membership: Membership) -> float:
    """Return how long a suspect has to refute; the time grows with the region's size."""
    settings = membership.settings
    size = estimate_region_size(membership.table, membership.own.region)
    return settings.suspicion_factor * max(2.0, log10(size + 1)) * settings.probe_period_s


def list_neighbours(membership: Membership) -> list[Peer]:
    """Return the other peers of the own region that have not died or left."""
    peers = list_region(membership.table, membership.own.region)
    return [peer for peer in peers if peer is not membership.own]


def _budgets_to(membership: Membership, to: NodeId) -> list[ByteBudget]:
    peer = membership.table.peers.get(to)
    if peer is not None and peer.region != membership.own.region:
        return [membership.budget, membership.paid_budget]
    return [membership.budget]


def _list_receiver_state(membership: Membership, to: NodeId) -> list[PeerUpdate]:
    peer = membership.table.peers.get(to)
    if peer is None or peer.state in (PeerState.ALIVE, PeerState.LEAVING):
        return []
    return [describe_peer(peer, with_profile=False)]
