"""Lookups in a node's table of peers."""

from ragwort_common import FailureDomain, NodeId, Region, Revision, ServiceName
from ragwort_policy import Membership, Peer, ServerLocation, find_peer, list_servers
from ragwort_protocol import Profile, control

from ragwort_node._settings import Settings


def find_link_address(membership: Membership, node: NodeId) -> str | None:
    """Return the link address of a node, or None when the node is not known."""
    peer = find_peer(membership, node)
    return peer.profile.link_address if peer else None


def list_locations(membership: Membership, service: ServiceName) -> list[ServerLocation]:
    """Return the locations of the servers of a service that may receive calls."""
    return [
        ServerLocation(peer.node_id, peer.failure_domain, peer.region)
        for peer in list_servers(membership, service)
    ]


def list_peers(membership: Membership) -> list[Peer]:
    """Return every peer in the table, including the node itself and dead peers."""
    return list(membership.table.peers.values())


def describe_peer(peer: Peer, revision: Revision) -> control.Peer:
    """Return a peer in the form of the control API."""
    return control.Peer(
        node_id=peer.node_id,
        service=peer.service,
        region=peer.region,
        failure_domain=peer.failure_domain,
        state=peer.state.name.lower(),
        incarnation=peer.incarnation,
        link_address=peer.profile.link_address,
        control_address=peer.profile.control_address,
        revision=revision,
    )


def make_profile(settings: Settings, link: str, entry: str, control_address: str) -> Profile:
    """Return the profile that a node announces, given the addresses that it listens on."""
    node = settings.node
    return Profile(
        ServiceName(node.service),
        Region(node.region),
        FailureDomain(node.failure_domain),
        link,
        entry,
        control_address,
    )
