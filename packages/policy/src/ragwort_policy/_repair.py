"""Anti-entropy: repair of differences between two tables that gossip has left.

One node sends the hashes of its buckets. The other answers with its entries in the buckets that
differ. The first merges them, sends its own entries that are newer, and requests the profiles that
it lacks.
"""

from collections.abc import Iterable

from ragwort_common import NodeId
from ragwort_protocol import Digest, News, PeerState, Records, Summary, measure_news

from ragwort_policy._budget import Traffic
from ragwort_policy._digest import list_differences, pack_digest
from ragwort_policy._gossip_exchange import (
    emit,
    fit_bytes,
    list_neighbours,
    take_in,
)
from ragwort_policy._gossip_settings import RandomSource
from ragwort_policy._gossip_state import Membership, Send
from ragwort_policy._peer import Peer, describe_peer, generation_of, is_newer
from ragwort_policy._table import list_bucket

_WANTED_BYTES = 24
# When the budget is low, digests are the first to be dropped; an exchange that has started goes on.
_ANSWERS = Traffic.SUMMARY


def tick_repair(
    membership: Membership, now: float, random: RandomSource, sends: list[Send]
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


def send_digest(membership: Membership, now: float, to: NodeId, sends: list[Send]) -> None:
    """Start an exchange with a peer, if the budgets leave enough for the rest of it."""
    digest = Digest(pack_digest(membership.table.digest))
    emit(membership, sends, now, to, digest, Traffic.REPAIR)


def answer_digest(
    membership: Membership,
    now: float,
    random: RandomSource,
    sender: NodeId,
    digest: Digest,
    sends: list[Send],
) -> None:
    """Answer a digest with the entries of as many differing buckets as fit into one message."""
    differing = list_differences(membership.table.digest, digest.hashes)
    random.shuffle(differing)
    buckets: list[int] = []
    entries: list[News] = []
    room = fit_bytes(membership, now, sender, _ANSWERS, membership.settings.repair_bytes)
    for number in differing:
        listed = [describe_peer(peer, False) for peer in list_bucket(membership.table, number)]
        room -= sum(measure_news(news) for news in listed)
        if room < 0 and buckets:
            break
        buckets.append(number)
        entries += listed
    is_complete = len(buckets) == len(differing)
    accused = membership.table.peers.get(sender)
    if accused is not None and accused.is_gone:
        entries.append(describe_peer(accused, False))
    summary = Summary(buckets, entries, is_complete)
    emit(membership, sends, now, sender, summary, _ANSWERS if differing else Traffic.ANSWER)


def take_summary(
    membership: Membership, now: float, sender: NodeId, summary: Summary, sends: list[Send]
) -> None:
    """Merge the peer's entries, send it the entries that are newer here and request profiles."""
    membership.has_met = True
    if summary.buckets:
        membership.counters.repairs += 1
    take_in(membership, summary.entries, now, _passes_on(membership, sender))
    wanted = [news.node_id for news in summary.entries if _lacks_profile(membership, news)]
    newer = list(_list_newer(membership, summary))
    if newer or wanted:
        _send_records(membership, now, sender, newer, wanted, sends)
    if summary.is_complete and not wanted:
        membership.is_refreshed = True


def take_records(
    membership: Membership, now: float, sender: NodeId, records: Records, sends: list[Send]
) -> None:
    """Merge a peer's records and send the ones that it requests."""
    take_in(membership, records.news, now, _passes_on(membership, sender))
    wanted = [membership.table.peers.get(NodeId(node_id)) for node_id in records.wanted]
    known = [peer for peer in wanted if peer is not None]
    if known:
        _send_records(membership, now, sender, known, [], sends)


def ask_profile(membership: Membership, now: float, sender: NodeId, sends: list[Send]) -> None:
    """Request the own record of a peer that is not in the table."""
    emit(membership, sends, now, sender, Records([], [sender]), Traffic.REPAIR)


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
    sends: list[Send],
) -> None:
    room = fit_bytes(membership, now, to, _ANSWERS, membership.settings.repair_bytes)
    asked = wanted[: room // 2 // _WANTED_BYTES]
    room -= len(asked) * _WANTED_BYTES
    news = []
    for peer in peers:
        item = describe_peer(peer, with_profile=_holds_profile(peer))
        room -= measure_news(item)
        if room < 0 and news:
            break
        news.append(item)
    emit(membership, sends, now, to, Records(news, asked), _ANSWERS)


def _list_newer(membership: Membership, summary: Summary) -> Iterable[Peer]:
    listed = {news.node_id: news for news in summary.entries}
    for number in summary.buckets:
        for peer in list_bucket(membership.table, number):
            theirs = listed.get(peer.node_id)
            is_missing = theirs is None and not peer.is_gone
            if is_missing or (theirs is not None and _is_older(theirs, peer)):
                yield peer


def _is_older(news: News, peer: Peer) -> bool:
    if news.incarnation != peer.incarnation:
        return news.incarnation < peer.incarnation
    return news.state.value < peer.state.value and peer.state is not PeerState.SUSPECT


def _lacks_profile(membership: Membership, news: News) -> bool:
    peer = membership.table.peers.get(NodeId(news.node_id))
    if peer is None:
        return news.state in (PeerState.ALIVE, PeerState.SUSPECT, PeerState.LEAVING)
    return is_newer(news.incarnation, news.state, peer)


def _holds_profile(peer: Peer) -> bool:
    return generation_of(peer.incarnation) == peer.profile_generation


def _list_dead(membership: Membership) -> list[Peer]:
    region = membership.own.region
    return [
        peer
        for peer in membership.table.peers.values()
        if peer.state is PeerState.DEAD and peer.region == region
    ]
