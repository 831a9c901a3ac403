"""Anti-entropy: repair of differences between two tables that gossip has left.

One node sends the hashes of its buckets. The other answers with its entries in the buckets that
differ. The first merges them, sends its own entries that are newer, and requests the profiles that
it lacks.
"""

from collections.abc import Iterable

from ragwort_common import NodeId
from ragwort_protocol import Digest, PeerState, PeerUpdate, Records, Summary, measure_update

from ragwort_policy._budget import TrafficClass
from ragwort_policy._digest import list_differences, pack_digest
from ragwort_policy._gossip_exchange import (
    limit_message_bytes,
    list_neighbours,
    merge_updates,
    try_send,
)
from ragwort_policy._gossip_settings import RandomSource
from ragwort_policy._gossip_state import Membership, OutgoingMessage
from ragwort_policy._peer import Peer, describe_peer, get_generation, is_newer
from ragwort_policy._table import list_bucket

_REQUEST_BYTES = 24
# When the budget is low, digests are the first to be dropped; an exchange that has started goes on.
_ANSWER_TRAFFIC = TrafficClass.SUMMARY


def tick_repair(
    membership: Membership, now: float, random: RandomSource, sends: list[OutgoingMessage]
) -> None:
    """Send a digest periodically to a random peer, and to one that has been declared dead."""
    settings = membership.settings
    if now >= membership.next_repair_at:
        period = settings.repair_period_s if membership.is_refreshed else settings.probe_period_s
        membership.next_repair_at = now + period * (0.5 + random.random())
        neighbours = list_neighbours(membership)
        if neighbours:
            send_digest(membership, now, random.choice(neighbours).node_id, sends)
    if now >= membership.next_reconnect_at:
        period = settings.reconnect_period_s
        membership.next_reconnect_at = now + period * (0.5 + random.random())
        dead = _list_dead(membership)
        if dead:
            send_digest(membership, now, random.choice(dead).node_id, sends)


def send_digest(
    membership: Membership, now: float, to: NodeId, sends: list[OutgoingMessage]
) -> None:
    """Start an exchange with a peer, if the budgets leave enough for the rest of it."""
    digest = Digest(pack_digest(membership.table.digest))
    try_send(membership, sends, now, to, digest, TrafficClass.REPAIR)


def answer_digest(
    membership: Membership,
    now: float,
    random: RandomSource,
    sender: NodeId,
    digest: Digest,
    sends: list[OutgoingMessage],
) -> None:
    """Answer a digest with the entries of as many differing buckets as fit into one message."""
    differing = list_differences(membership.table.digest, digest.hashes)
    random.shuffle(differing)
    buckets: list[int] = []
    entries: list[PeerUpdate] = []
    room = limit_message_bytes(
        membership, now, sender, _ANSWER_TRAFFIC, membership.settings.repair_bytes
    )
    for number in differing:
        listed = [describe_peer(peer, False) for peer in list_bucket(membership.table, number)]
        room -= sum(measure_update(update) for update in listed)
        if room < 0 and buckets:
            break
        buckets.append(number)
        entries += listed
    is_complete = len(buckets) == len(differing)
    sender_record = membership.table.peers.get(sender)
    if sender_record is not None and sender_record.is_gone:
        entries.append(describe_peer(sender_record, False))
    summary = Summary(buckets, entries, is_complete)
    try_send(
        membership,
        sends,
        now,
        sender,
        summary,
        _ANSWER_TRAFFIC if differing else TrafficClass.ANSWER,
    )


def handle_summary(
    membership: Membership,
    now: float,
    sender: NodeId,
    summary: Summary,
    sends: list[OutgoingMessage],
) -> None:
    """Merge the peer's entries, send it the entries that are newer here and request profiles."""
    membership.has_peer_list = True
    if summary.buckets:
        membership.counters.repairs += 1
    merge_updates(membership, summary.entries, now, _passes_on(membership, sender))
    wanted = [update.node_id for update in summary.entries if _lacks_profile(membership, update)]
    newer = list(_list_newer(membership, summary))
    if newer or wanted:
        _send_records(membership, now, sender, newer, wanted, sends)
    if summary.is_complete and not wanted:
        membership.is_refreshed = True


def handle_records(
    membership: Membership,
    now: float,
    sender: NodeId,
    records: Records,
    sends: list[OutgoingMessage],
) -> None:
    """Merge a peer's records and send the ones that it requests."""
    merge_updates(membership, records.updates, now, _passes_on(membership, sender))
    wanted = [membership.table.peers.get(NodeId(node_id)) for node_id in records.wanted]
    known = [peer for peer in wanted if peer is not None]
    if known:
        _send_records(membership, now, sender, known, [], sends)


def request_profile(
    membership: Membership, now: float, sender: NodeId, sends: list[OutgoingMessage]
) -> None:
    """Request the own record of a peer that is not in the table."""
    try_send(membership, sends, now, sender, Records([], [sender]), TrafficClass.REPAIR)


def _passes_on(membership: Membership, sender: NodeId) -> bool:
    # Within a region each node repairs its own table. Updates from another region are new to the
    # whole region, unless this node's own table was stale.
    peer = membership.table.peers.get(sender)
    is_far = peer is not None and peer.region != membership.own.region
    return is_far and membership.is_refreshed


def _send_records(
    membership: Membership,
    now: float,
    to: NodeId,
    peers: Iterable[Peer],
    wanted: list[str],
    sends: list[OutgoingMessage],
) -> None:
    room = limit_message_bytes(
        membership, now, to, _ANSWER_TRAFFIC, membership.settings.repair_bytes
    )
    requested = wanted[: room // 2 // _REQUEST_BYTES]
    room -= len(requested) * _REQUEST_BYTES
    updates = []
    for peer in peers:
        item = describe_peer(peer, with_profile=_holds_profile(peer))
        room -= measure_update(item)
        if room < 0 and updates:
            break
        updates.append(item)
    try_send(membership, sends, now, to, Records(updates, requested), _ANSWER_TRAFFIC)


def _list_newer(membership: Membership, summary: Summary) -> Iterable[Peer]:
    listed = {update.node_id: update for update in summary.entries}
    for number in summary.buckets:
        for peer in list_bucket(membership.table, number):
            theirs = listed.get(peer.node_id)
            is_missing = theirs is None and not peer.is_gone
            if is_missing or (theirs is not None and _is_older(theirs, peer)):
                yield peer


def _is_older(update: PeerUpdate, peer: Peer) -> bool:
    if update.incarnation != peer.incarnation:
        return update.incarnation < peer.incarnation
    return update.state.value < peer.state.value and peer.state is not PeerState.SUSPECT


def _lacks_profile(membership: Membership, update: PeerUpdate) -> bool:
    peer = membership.table.peers.get(NodeId(update.node_id))
    if peer is None:
        return update.state in (PeerState.ALIVE, PeerState.SUSPECT, PeerState.LEAVING)
    return is_newer(update.incarnation, update.state, peer)


def _holds_profile(peer: Peer) -> bool:
    return get_generation(peer.incarnation) == peer.profile_generation


def _list_dead(membership: Membership) -> list[Peer]:
    region = membership.own.region
    return [
        peer
        for peer in membership.table.peers.values()
        if peer.state is PeerState.DEAD and peer.region == region
    ]
