"""The membership protocol of one node: its view of its peers and the messages it sends them.

The functions take the time in seconds of a monotonic clock. They return the messages to send,
whose bytes have already been charged to the budgets.
"""

from ragwort_common import Incarnation, NodeId, Revision
from ragwort_protocol import (
    Digest,
    LoadNotice,
    Message,
    Notice,
    PeerState,
    PeerUpdate,
    Ping,
    PingAck,
    PingRequest,
    Profile,
    Records,
    RegionReport,
    Summary,
    encode_frame,
)

from ragwort_policy._bridge import handle_load, handle_report, tick_bridge
from ragwort_policy._budget import ByteBudget, TrafficClass, charge_received, get_available_bytes
from ragwort_policy._detector import (
    answer_ping,
    handle_ack,
    relay_ping,
    send_ping,
    tick_detector,
)
from ragwort_policy._dissemination import has_unsent_urgent, take_unsent_urgent
from ragwort_policy._gossip_exchange import (
    UPDATES_RESERVE,
    gossip_update,
    list_neighbours,
    merge_updates,
    note_revision,
    try_send,
)
from ragwort_policy._gossip_settings import MembershipSettings, RandomSource
from ragwort_policy._gossip_state import Membership, OutgoingMessage
from ragwort_policy._pause import note_activity
from ragwort_policy._peer import (
    Peer,
    compute_rank,
    describe_peer,
    get_generation,
    raise_incarnation,
)
from ragwort_policy._repair import (
    answer_digest,
    handle_records,
    handle_summary,
    request_profile,
    send_digest,
    tick_repair,
)
from ragwort_policy._table import (
    BRIDGES_PER_REGION,
    apply_update,
    list_bridges,
    remove_peer,
    set_state,
)

_HOUSEKEEPING_PERIOD_S = 60.0
_PUSH_BYTES = 800
_FRAME_BYTES = 32


def create_membership(
    settings: MembershipSettings,
    node_id: NodeId,
    profile: Profile,
    incarnation: Incarnation,
    budget: ByteBudget,
    paid_budget: ByteBudget,
    now: float,
) -> Membership:
    """Return the membership of a node that starts now and knows only itself."""
    rank = compute_rank(node_id)
    generation = get_generation(incarnation)
    own = Peer(node_id, profile, incarnation, PeerState.ALIVE, rank, now, generation)
    membership = Membership(settings, own, budget, paid_budget, now, now, now, now)
    apply_update(membership.table, describe_peer(own, with_profile=True), now)
    # From here on, the table's record of this node and ``own`` are the same object.
    membership.own = membership.table.peers[node_id]
    return membership


def add_announced(membership: Membership, announced: list[PeerUpdate], now: float) -> None:
    """Merge the announcements that the platform has listed.

    An announcement of this node itself is from an earlier start and makes it raise its incarnation.
    """
    merge_updates(membership, announced, now, passes_on=False)
    membership.has_peer_list = True


def join_peers(
    membership: Membership, now: float, random: RandomSource, seeds: list[NodeId]
) -> list[OutgoingMessage]:
    """Announce this node to some peers and start an exchange of tables with them.

    Parameters
    ----------
    seeds
        Nodes to contact besides the known peers; they need not be in the table.
    """
    sends: list[OutgoingMessage] = []
    known = [peer.node_id for peer in list_neighbours(membership)]
    fanout = membership.settings.push_fanout
    targets = random.sample(known, min(len(known), fanout))
    targets += [seed for seed in seeds if seed != membership.own.node_id and seed not in targets]
    notice = Notice(membership.own.revision, [describe_peer(membership.own, with_profile=True)])
    for target in targets:
        try_send(membership, sends, now, target, notice, TrafficClass.URGENT)
    for target in targets[:fanout]:
        send_digest(membership, now, target, sends)
    gossip_update(membership, membership.own, notice.updates[0])
    return sends


def tick_membership(
    membership: Membership, now: float, random: RandomSource
) -> list[OutgoingMessage]:
    """Run all periodic work that is due; to be called about every 100 ms."""
    sends: list[OutgoingMessage] = []
    note_activity(membership, now)
    _push_urgent(membership, now, random, sends)
    if membership.own.state is not PeerState.LEFT:
        tick_detector(membership, now, random, sends)
        tick_repair(membership, now, random, sends)
        tick_bridge(membership, now, random, sends)
    if now >= membership.next_housekeeping_at:
        membership.next_housekeeping_at = now + _HOUSEKEEPING_PERIOD_S
        _remove_tombstones(membership, now)
    return sends


def receive_message(
    membership: Membership, now: float, random: RandomSource, sender: NodeId, message: Message
) -> list[OutgoingMessage]:
    """Handle a message from a peer and return the messages to send in response."""
    sends: list[OutgoingMessage] = []
    note_activity(membership, now)
    size_bytes = len(encode_frame(message))
    charge_received(membership.budget, now, size_bytes)
    membership.counters.received_bytes += size_bytes
    if membership.own.state is PeerState.LEFT:
        return sends
    _extend_suspicion(membership, now, sender)
    match message:
        case Ping():
            _merge_gossip(membership, now, sender, message.revision, message.updates)
            answer_ping(membership, now, sender, message, sends)
        case PingAck():
            _merge_gossip(membership, now, sender, message.revision, message.updates)
            handle_ack(membership, now, sender, message, sends)
        case PingRequest():
            _merge_gossip(membership, now, sender, message.revision, [])
            relay_ping(membership, now, sender, message, sends)
        case Notice():
            _merge_gossip(membership, now, sender, message.revision, message.updates)
        case Digest():
            answer_digest(membership, now, random, sender, message, sends)
        case Summary():
            handle_summary(membership, now, sender, message, sends)
        case Records():
            handle_records(membership, now, sender, message, sends)
        case LoadNotice():
            handle_load(membership, sender, message)
        case RegionReport():
            handle_report(membership, now, random, sender, message, sends)
    if sender not in membership.table.peers:
        request_profile(membership, now, sender, sends)
    return sends


def announce_leaving(
    membership: Membership, now: float, random: RandomSource
) -> list[OutgoingMessage]:
    """Announce at once that this node's server accepts no new work."""
    return _announce_state(membership, PeerState.LEAVING, now, random)


def announce_resumed(
    membership: Membership, now: float, random: RandomSource
) -> list[OutgoingMessage]:
    """Announce at once that this node's server accepts work again."""
    return _announce_state(membership, PeerState.ALIVE, now, random)


def announce_left(
    membership: Membership, now: float, random: RandomSource
) -> list[OutgoingMessage]:
    """Announce at once that this node has left; it sends nothing more."""
    return _announce_state(membership, PeerState.LEFT, now, random)


def set_load(membership: Membership, free_slots: int) -> None:
    """Record the number of free slots of the server beside this node."""
    membership.free_slots = free_slots


def set_revision(
    membership: Membership, revision: Revision, now: float, random: RandomSource
) -> list[OutgoingMessage]:
    """Record the rules revision in force on this node and push it to some peers."""
    if revision <= membership.own.revision:
        return []
    membership.own.revision = revision
    sends: list[OutgoingMessage] = []
    for to in _pick_push_targets(membership, random):
        try_send(membership, sends, now, to, Notice(revision, []), TrafficClass.URGENT)
    return sends


def note_link_lost(membership: Membership, node_id: NodeId, now: float) -> list[OutgoingMessage]:
    """Ping at once a peer whose link has broken, if it is in the own region."""
    sends: list[OutgoingMessage] = []
    peer = membership.table.peers.get(node_id)
    if peer is not None and not peer.is_gone and peer.region == membership.own.region:
        send_ping(membership, now, node_id, sends)
    return sends


def _announce_state(
    membership: Membership, state: PeerState, now: float, random: RandomSource
) -> list[OutgoingMessage]:
    own = membership.own
    if own.state is state:
        return []
    incarnation = raise_incarnation(own.incarnation, own.incarnation)
    set_state(membership.table, own, incarnation, state, now)
    gossip_update(membership, own, describe_peer(own, with_profile=False))
    sends: list[OutgoingMessage] = []
    _push_urgent(membership, now, random, sends)
    return sends


def _push_urgent(
    membership: Membership, now: float, random: RandomSource, sends: list[OutgoingMessage]
) -> None:
    if not has_unsent_urgent(membership.queue):
        return
    targets = _pick_push_targets(membership, random)
    # Updates that the budget does not allow to send to all targets now wait for a later tick.
    own = membership.own
    is_own_update = own.node_id in membership.queue.items
    reserve = 0.0 if is_own_update else UPDATES_RESERVE * membership.budget.burst_bytes
    room = get_available_bytes(membership.budget, now) - reserve
    limit_bytes = room / (len(targets) + BRIDGES_PER_REGION) - _FRAME_BYTES
    updates = take_unsent_urgent(membership.queue, min(_PUSH_BYTES, limit_bytes))
    if not updates:
        return
    if any(item.node_id == own.node_id for item in updates):
        # The bridges forward it to the other regions without waiting for gossip to reach them.
        bridges = list_bridges(membership.table, own.region)
        targets += [node_id for node_id in bridges if node_id not in (*targets, own.node_id)]
    notice = Notice(own.revision, updates)
    for to in targets:
        try_send(membership, sends, now, to, notice, TrafficClass.URGENT)


def _pick_push_targets(membership: Membership, random: RandomSource) -> list[NodeId]:
    neighbours = list_neighbours(membership)
    fanout = min(len(neighbours), membership.settings.push_fanout)
    return [peer.node_id for peer in random.sample(neighbours, fanout)]


def _merge_gossip(
    membership: Membership, now: float, sender: NodeId, revision: int, updates: list[PeerUpdate]
) -> None:
    merge_updates(membership, updates, now)
    note_revision(membership, revision, sender)


def _extend_suspicion(membership: Membership, now: float, sender: NodeId) -> None:
    # A message from a suspect shows that it is up and only its refutation is late.
    if sender in membership.table.suspects:
        peer = membership.table.peers[sender]
        grace = membership.settings.probe_period_s
        peer.suspect_until = max(peer.suspect_until, now + grace)


def _remove_tombstones(membership: Membership, now: float) -> None:
    before = now - membership.settings.tombstone_s
    gone = [peer for peer in membership.table.peers.values() if peer.is_gone]
    for peer in gone:
        if peer.changed_at <= before and peer is not membership.own:
            remove_peer(membership.table, peer)
