"""The SWIM-style failure detector: direct and indirect probes, suspicions and deaths."""

from ragwort_common import NodeId
from ragwort_protocol import PeerState, PeerUpdate, Ping, PingAck, PingRequest

from ragwort_policy._budget import TrafficClass, get_budget_level
from ragwort_policy._gossip_exchange import (
    list_neighbours,
    make_ping,
    merge_update,
    select_updates,
    suspicion_timeout_s,
    try_send,
)
from ragwort_policy._gossip_settings import RandomSource
from ragwort_policy._gossip_state import Membership, OutgoingMessage, PendingPing
from ragwort_policy._peer import Peer
from ragwort_policy._table import end_suspicion, start_suspicion

_STRETCH_LEVEL = 0.5
_MAX_STRETCH = 4.0


def tick_detector(
    membership: Membership, now: float, random: RandomSource, sends: list[OutgoingMessage]
) -> None:
    """Handle expired probes and suspicions, and send the next probe when it is due."""
    _expire_probes(membership, now, random, sends)
    _expire_suspicions(membership, now)
    probing = membership.probing
    if now < probing.next_probe_at:
        return
    stretch = _stretch_period(get_budget_level(membership.budget, now))
    probing.next_probe_at = now + membership.settings.probe_period_s * stretch
    target = _pick_target(membership, random)
    if target is not None:
        send_ping(membership, now, target, sends)


def send_ping(
    membership: Membership,
    now: float,
    target: NodeId,
    sends: list[OutgoingMessage],
    origin: NodeId | None = None,
    origin_sequence: int = 0,
    is_repeat: bool = False,
) -> None:
    """Probe a peer; a probe that the budget does not allow is not recorded as pending.

    A repeat goes to a suspect and is not followed by indirect probes.
    """
    probing = membership.probing
    settings = membership.settings
    probing.sequence += 1
    ping = make_ping(membership, now, target, probing.sequence)
    if not try_send(membership, sends, now, target, ping, TrafficClass.PROBE):
        return
    deadline = now + (settings.probe_period_s if is_repeat else settings.probe_timeout_s)
    probing.pending[probing.sequence] = PendingPing(
        target, deadline, is_repeat, origin, origin_sequence
    )


def answer_ping(
    membership: Membership, now: float, sender: NodeId, probe: Ping, sends: list[OutgoingMessage]
) -> None:
    """Answer a probe at once."""
    _send_ack(membership, now, sender, probe.sequence, sends)


def relay_ping(
    membership: Membership,
    now: float,
    sender: NodeId,
    request: PingRequest,
    sends: list[OutgoingMessage],
) -> None:
    """Send an indirect probe: ping the target of another peer's request."""
    target = NodeId(request.target)
    if target in membership.table.peers:
        send_ping(membership, now, target, sends, sender, request.sequence)


def handle_ack(
    membership: Membership, now: float, sender: NodeId, ack: PingAck, sends: list[OutgoingMessage]
) -> None:
    """Match an answer with its probe; a late or duplicate answer is dropped."""
    pending = membership.probing.pending.pop(ack.sequence, None)
    if pending is None:
        return
    membership.probing.failed_targets.clear()
    membership.probing.isolated_at = float("inf")
    if pending.origin is not None:
        _send_ack(membership, now, pending.origin, pending.origin_sequence, sends)
        return
    peer = membership.table.peers.get(pending.target)
    # A suspicion that has been gossiped ends only by the peer's own refutation.
    if peer is not None and peer.state is PeerState.LEAVING:
        end_suspicion(membership.table, peer)


def is_isolated(membership: Membership) -> bool:
    """Return whether enough different peers failed in a row to suspect this node's own network."""
    return len(membership.probing.failed_targets) >= membership.settings.isolation_targets


def _send_ack(
    membership: Membership, now: float, to: NodeId, sequence: int, sends: list[OutgoingMessage]
) -> None:
    updates = select_updates(membership, now, to, TrafficClass.ANSWER)
    ack = PingAck(sequence, membership.own.revision, updates)
    try_send(membership, sends, now, to, ack, TrafficClass.ANSWER)


def _stretch_period(level: float) -> float:
    if level >= _STRETCH_LEVEL:
        return 1.0
    return min(_MAX_STRETCH, _STRETCH_LEVEL / max(level, 0.01))


def _pick_target(membership: Membership, random: RandomSource) -> NodeId | None:
    # Walking a shuffled list bounds the time until each peer has been probed.
    probing = membership.probing
    for _ in range(2):
        while probing.probe_order:
            peer = membership.table.peers.get(probing.probe_order.pop())
            if peer is not None and not peer.is_gone:
                return peer.node_id
        probing.probe_order = [peer.node_id for peer in list_neighbours(membership)]
        random.shuffle(probing.probe_order)
    return None


def _expire_probes(
    membership: Membership, now: float, random: RandomSource, sends: list[OutgoingMessage]
) -> None:
    pending = membership.probing.pending
    expired = [sequence for sequence, probe in pending.items() if now >= probe.deadline]
    for sequence in expired:
        probe = pending[sequence]
        if probe.origin is None and not probe.is_relayed:
            _send_ping_requests(membership, now, random, sequence, probe, sends)
            continue
        del pending[sequence]
        if probe.origin is None:
            _fail_probe(membership, now, probe.target, sends)


def _send_ping_requests(
    membership: Membership,
    now: float,
    random: RandomSource,
    sequence: int,
    probe: PendingPing,
    sends: list[OutgoingMessage],
) -> None:
    probe.is_relayed = True
    probe.deadline = now + membership.settings.relay_timeout_s
    others = [peer for peer in list_neighbours(membership) if peer.node_id != probe.target]
    for peer in random.sample(others, min(len(others), membership.settings.relays)):
        request = PingRequest(sequence, probe.target, membership.own.revision)
        try_send(membership, sends, now, peer.node_id, request, TrafficClass.PROBE)


def _fail_probe(
    membership: Membership, now: float, target: NodeId, sends: list[OutgoingMessage]
) -> None:
    membership.counters.probes_failed += 1
    probing = membership.probing
    probing.failed_targets.add(target)
    if is_isolated(membership):
        probing.isolated_at = min(probing.isolated_at, now)
    peer = membership.table.peers.get(target)
    if peer is None or peer.is_gone:
        return
    if target not in membership.table.suspects:
        _raise_suspicion(membership, peer, now)
    # The node that raised a suspicion keeps probing; the probe also tells the suspect to refute.
    send_ping(membership, now, target, sends, is_repeat=True)


def _raise_suspicion(membership: Membership, peer: Peer, now: float) -> None:
    membership.counters.suspicions += 1
    if peer.state is PeerState.LEAVING:
        start_suspicion(membership.table, peer, now + suspicion_timeout_s(membership))
        return
    merge_update(membership, PeerUpdate(peer.node_id, peer.incarnation, PeerState.SUSPECT), now)


def _expire_suspicions(membership: Membership, now: float) -> None:
    if _defers_deaths(membership, now):
        return
    for node_id in list(membership.table.suspects):
        peer = membership.table.peers[node_id]
        if now >= peer.suspect_until:
            _declare_dead(membership, peer, now)


def _defers_deaths(membership: Membership, now: float) -> bool:
    # A node that gets no answers is more likely isolated itself than all other nodes are dead.
    if not is_isolated(membership):
        return False
    return now < membership.probing.isolated_at + membership.settings.isolation_hold_s


def _declare_dead(membership: Membership, peer: Peer, now: float) -> None:
    membership.counters.deaths += 1
    merge_update(membership, PeerUpdate(peer.node_id, peer.incarnation, PeerState.DEAD), now)
