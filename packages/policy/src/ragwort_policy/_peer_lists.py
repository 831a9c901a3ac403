"""The queries of membership that other parts of a node use."""

from ragwort_common import NodeId, ServiceName

from ragwort_policy._gossip_exchange import list_neighbours
from ragwort_policy._gossip_state import Membership, RegionLoad
from ragwort_policy._pause import is_current
from ragwort_policy._peer import Peer, compute_rank
from ragwort_policy._table import Change, list_service


def drain_changes(membership: Membership) -> list[Change]:
    """Return and clear the changes of other peers since the last call."""
    changes = membership.changes
    membership.changes = []
    return changes


def find_peer(membership: Membership, node_id: NodeId) -> Peer | None:
    """Return the record of a peer, which may have died or left."""
    return membership.table.peers.get(node_id)


def list_servers(membership: Membership, service: ServiceName) -> list[Peer]:
    """Return the peers that may be given calls of a service; the list must not be changed.

    It includes suspects, which the caller should choose last, but no peers of unreachable regions.
    """
    return list_service(membership.table, service)


def list_usable_peers(membership: Membership) -> list[Peer]:
    """Return all usable peers in reachable regions, this node included."""
    unreachable = membership.table.unreachable
    return [
        peer
        for peer in membership.table.peers.values()
        if peer.is_usable and peer.region not in unreachable
    ]


def list_region_loads(membership: Membership, service: ServiceName, now: float) -> list[RegionLoad]:
    """Return the recent loads that other regions have reported for a service."""
    found = []
    for region, view in membership.bridging.regions.items():
        known = view.loads.get(service)
        if known is None or region in membership.table.unreachable:
            continue
        if now - known.received_at < membership.settings.cut_after_s:
            found.append(known)
    return found


def list_orphans(membership: Membership, now: float) -> list[Peer]:
    """Return the peers of the own region whose announcements this node is to remove.

    For each of them, rendezvous hashing selects one usable peer of the region as the deputy that
    removes it. A node whose view is not current removes nothing.
    """
    if not is_current(membership, now):
        return []
    own = membership.own
    deputies = [peer for peer in list_neighbours(membership) if peer.is_usable] + [own]
    before = now - membership.settings.orphan_s
    return [
        peer
        for peer in membership.table.peers.values()
        if peer.is_gone
        and peer.region == own.region
        and peer.changed_at <= before
        and _pick_deputy(peer, deputies) is own
    ]


def _pick_deputy(orphan: Peer, deputies: list[Peer]) -> Peer:
    return max(deputies, key=lambda peer: compute_rank(f"{orphan.node_id}/{peer.node_id}"))
