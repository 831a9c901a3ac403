"""The table of peers: merging updates into it, and the lists derived from it."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ragwort_common import FailureDomain, Incarnation, NodeId, Region, ServiceName
from ragwort_protocol import PeerState, PeerUpdate

from ragwort_policy._digest import TableDigest, get_bucket, toggle_entry
from ragwort_policy._peer import GONE_STATES, Peer, compute_rank, get_generation, is_newer

BRIDGES_PER_REGION = 2

_BRIDGE_STATES = frozenset({PeerState.ALIVE, PeerState.LEAVING})


@dataclass(slots=True)
class Change:
    """A change of a peer's state, incarnation or profile.

    ``previous_state`` is None for a peer that was not in the table.
    """

    peer: Peer
    previous_state: PeerState | None


@dataclass(slots=True)
class PeerTable:
    """All peers that this node knows of, itself included.

    Buckets and suspects are dictionaries, because the iteration order of a set of strings differs
    between runs of Python and decisions must be reproducible.

    Attributes
    ----------
    version
        Incremented with each change that can alter a list derived from the table.
    digest
        Hashes of the table's buckets.
    suspects
        Peers for which this node runs a suspicion timeout.
    """

    peers: dict[NodeId, Peer] = field(default_factory=dict)
    buckets: dict[int, dict[NodeId, None]] = field(default_factory=dict)
    digest: TableDigest = field(default_factory=TableDigest)
    suspects: dict[NodeId, None] = field(default_factory=dict)
    version: int = 0
    unreachable: set[Region] = field(default_factory=set)
    _lists_version: int = -1
    _by_service: dict[ServiceName, list[Peer]] = field(default_factory=dict)
    _by_region: dict[Region, list[Peer]] = field(default_factory=dict)
    _bridges: dict[Region, list[NodeId]] = field(default_factory=dict)


def apply_update(table: PeerTable, update: PeerUpdate, now: float) -> Change | None:
    """Merge an update and return the resulting change, or None if it is old or unusable.

    An update without a profile is unusable when the known profile is of an earlier start of the
    peer, unless its state makes the peer unusable.
    """
    peer = table.peers.get(NodeId(update.node_id))
    if peer is None:
        return _add_peer(table, update, now)
    if not is_newer(update.incarnation, update.state, peer):
        return None
    is_same_start = get_generation(update.incarnation) == peer.profile_generation
    makes_unusable = update.state not in (PeerState.ALIVE, PeerState.SUSPECT)
    if update.profile is None and not is_same_start and not makes_unusable:
        return None
    previous_state = peer.state
    set_state(table, peer, Incarnation(update.incarnation), update.state, now)
    if update.profile is not None:
        peer.profile = update.profile
        table.version += 1
        peer.profile_generation = get_generation(update.incarnation)
    return Change(peer, previous_state)


def set_state(
    table: PeerTable, peer: Peer, incarnation: Incarnation, state: PeerState, now: float
) -> None:
    """Set the incarnation and state of a peer; this ends a suspicion."""
    toggle_entry(table.digest, peer.rank, peer.incarnation, peer.state)
    was_usable = peer.is_usable
    was_gone = peer.is_gone
    peer.incarnation = incarnation
    peer.state = state
    peer.changed_at = now
    peer.suspect_until = float("inf")
    table.suspects.pop(peer.node_id, None)
    toggle_entry(table.digest, peer.rank, incarnation, state)
    if was_usable != peer.is_usable or was_gone != peer.is_gone:
        table.version += 1
    else:
        # Suspicions are frequent and can alter no list but that of the bridges.
        _invalidate_bridges(table, peer)


def start_suspicion(table: PeerTable, peer: Peer, until: float) -> None:
    """Start the timeout after which a suspect is declared dead."""
    peer.suspect_until = until
    table.suspects[peer.node_id] = None


def end_suspicion(table: PeerTable, peer: Peer) -> None:
    """Stop the suspicion timeout of a peer."""
    peer.suspect_until = float("inf")
    table.suspects.pop(peer.node_id, None)


def remove_peer(table: PeerTable, peer: Peer) -> None:
    """Remove a peer from the table."""
    toggle_entry(table.digest, peer.rank, peer.incarnation, peer.state)
    del table.peers[peer.node_id]
    del table.buckets[get_bucket(peer.rank)][peer.node_id]
    table.suspects.pop(peer.node_id, None)
    table.version += 1


def set_reachable(table: PeerTable, region: Region, is_reachable: bool) -> bool:
    """Mark a region as reachable or not; return whether that changed."""
    if is_reachable == (region not in table.unreachable):
        return False
    if is_reachable:
        table.unreachable.discard(region)
    else:
        table.unreachable.add(region)
    table.version += 1
    return True


def list_bucket(table: PeerTable, number: int) -> list[Peer]:
    """Return the peers of one bucket."""
    return [table.peers[node_id] for node_id in table.buckets.get(number, ())]


def list_service(table: PeerTable, service: ServiceName) -> list[Peer]:
    """Return the usable peers of a service in reachable regions."""
    _refresh_lists(table)
    return table._by_service.get(service, [])


def list_region(table: PeerTable, region: Region) -> list[Peer]:
    """Return the peers of a region that have not died or left, including those leaving."""
    _refresh_lists(table)
    return table._by_region.get(region, [])


def estimate_region_size(table: PeerTable, region: Region) -> int:
    """Return how many peers a region had when the lists were last computed."""
    return len(table._by_region.get(region, ()))


def list_regions(table: PeerTable) -> list[Region]:
    """Return the regions with peers that have not died or left."""
    _refresh_lists(table)
    return list(table._by_region)


def list_bridges(table: PeerTable, region: Region) -> list[NodeId]:
    """Return the bridges of a region in order of their election."""
    _refresh_lists(table)
    if region not in table._bridges:
        table._bridges[region] = elect_bridges(table._by_region.get(region, ()))
    return table._bridges[region]


def elect_bridges(peers: Iterable[Peer]) -> list[NodeId]:
    """Return the peers elected as bridges of a region, each in a different failure domain.

    With bridges in two domains, the region stays connected to the others when one domain fails.
    Peers that are leaving are elected only if there are not enough other candidates.
    """
    best: dict[FailureDomain, Peer] = {}
    for peer in peers:
        if peer.state not in _BRIDGE_STATES:
            continue
        held = best.get(peer.failure_domain)
        if held is None or _get_bridge_priority(peer) > _get_bridge_priority(held):
            best[peer.failure_domain] = peer
    ranked = sorted(best.values(), key=_get_bridge_priority, reverse=True)
    return [peer.node_id for peer in ranked[:BRIDGES_PER_REGION]]


def _get_bridge_priority(peer: Peer) -> tuple[bool, int]:
    return (peer.state is PeerState.ALIVE, peer.rank)


def _invalidate_bridges(table: PeerTable, peer: Peer) -> None:
    bridges = table._bridges.get(peer.region, ())
    if peer.state is not PeerState.SUSPECT or peer.node_id in bridges:
        table._bridges.pop(peer.region, None)


def _add_peer(table: PeerTable, update: PeerUpdate, now: float) -> Change | None:
    # The death of an unknown peer is of no use. Adding it would also keep its record circulating
    # for ever, because each node would learn it again from others after removing it.
    if update.profile is None or update.state in GONE_STATES:
        return None
    node_id = NodeId(update.node_id)
    incarnation = Incarnation(update.incarnation)
    generation = get_generation(incarnation)
    rank = compute_rank(node_id)
    peer = Peer(node_id, update.profile, incarnation, update.state, rank, now, generation)
    table.peers[node_id] = peer
    table.buckets.setdefault(get_bucket(peer.rank), {})[node_id] = None
    toggle_entry(table.digest, peer.rank, incarnation, update.state)
    table.version += 1
    return Change(peer, None)


def _refresh_lists(table: PeerTable) -> None:
    if table._lists_version == table.version:
        return
    by_service: dict[ServiceName, list[Peer]] = {}
    by_region: dict[Region, list[Peer]] = {}
    for peer in table.peers.values():
        if peer.is_gone:
            continue
        by_region.setdefault(peer.region, []).append(peer)
        if peer.is_usable and peer.region not in table.unreachable:
            by_service.setdefault(peer.service, []).append(peer)
    table._by_service = by_service
    table._by_region = by_region
    table._bridges = {}
    table._lists_version = table.version
