"""Builds the components that maintain the table of peers and the rules in force."""

from collections.abc import Callable
from dataclasses import dataclass

from ragwort_common import NodeId, Revision, ServiceName
from ragwort_policy import (
    Change,
    Membership,
    MembershipSettings,
    create_membership,
    find_peer,
    list_alive,
    make_budget,
)
from ragwort_protocol import Profile, RevisionNotice

from ragwort_node._composition._path import PathParts
from ragwort_node._composition._shared import MEMBERSHIP_SHARE, Shared
from ragwort_node._configuration import ConfigurationPorts, ConfigurationTask
from ragwort_node._control_client import fetch_rules
from ragwort_node._directory import list_places
from ragwort_node._gossip import Gossip, RevisionApplied, put_event
from ragwort_node._rules import RulesKeeper


@dataclass(frozen=True, slots=True)
class WatchingParts:
    """The tasks that own the table of peers and the rules."""

    gossip: Gossip
    configuration: ConfigurationTask

    @property
    def membership(self) -> Membership:
        """The table of peers."""
        return self.gossip.membership


def build_watching(
    shared: Shared, path: PathParts, rules: RulesKeeper, profile: Profile
) -> WatchingParts:
    """Return the tasks for peers and rules; the node announces itself with ``profile``."""

    def update_service(service: ServiceName) -> None:
        path.services.update(service, list_places(membership, service), shared.clock())

    def take_changes(changes: list[Change]) -> None:
        for service in {change.peer.service for change in changes}:
            update_service(service)

    def hear_revision(revision: Revision, holder: NodeId) -> None:
        if holder:
            configuration.hear_revision(holder, revision)

    membership = _build_membership(shared, profile)
    gossip = Gossip(
        membership, path.pool.send, shared.clock, shared.random, take_changes, hear_revision
    )
    ports = _build_ports(shared, path, rules, membership)
    configuration = ConfigurationTask(membership.own, shared.store, ports, shared.random)
    # Gossip reports no change for the node itself, so its own server is added here.
    update_service(membership.own.service)
    return WatchingParts(gossip, configuration)


def build_rules(get_gossip: Callable[[], Gossip]) -> RulesKeeper:
    """Return the holder of the rules in force; it announces each new revision to peers."""
    return RulesKeeper(lambda revision: put_event(get_gossip(), RevisionApplied(revision)))


def _build_membership(shared: Shared, profile: Profile) -> Membership:
    watching = shared.settings.watching
    now = shared.clock()
    return create_membership(
        MembershipSettings(),
        shared.node_id,
        profile,
        shared.incarnation,
        make_budget(MEMBERSHIP_SHARE * watching.node_bytes_per_s, now),
        make_budget(MEMBERSHIP_SHARE * watching.region_bytes_per_s, now),
        now,
    )


def _build_ports(
    shared: Shared, path: PathParts, rules: RulesKeeper, membership: Membership
) -> ConfigurationPorts:
    async def fetch(node: NodeId, at_least: Revision) -> bytes | None:
        peer = find_peer(membership, node)
        if peer is None:
            return None
        return await fetch_rules(peer.profile.control_address, at_least, shared.counters)

    def send_notice(node: NodeId, notice: RevisionNotice) -> None:
        shared.counters.add("watching.rules_bytes_out", path.pool.send(node, notice))

    return ConfigurationPorts(
        accept=rules.accept,
        publish=rules.publish,
        send_notice=send_notice,
        fetch_document=fetch,
        list_peers=lambda: list_alive(membership),
    )
