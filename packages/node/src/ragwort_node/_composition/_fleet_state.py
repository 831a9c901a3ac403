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
    list_usable_peers,
    make_budget,
)
from ragwort_protocol import Profile, RevisionNotice

from ragwort_node._composition._context import MEMBERSHIP_FRACTION, NodeContext
from ragwort_node._composition._request_path import RequestPathComponents
from ragwort_node._configuration import ConfigurationCallbacks, ConfigurationTask
from ragwort_node._control_client import fetch_rules
from ragwort_node._directory import list_locations
from ragwort_node._gossip import Gossip, RevisionApplied, put_event
from ragwort_node._rules import RulesHolder


@dataclass(frozen=True, slots=True)
class FleetStateComponents:
    """The tasks that own the table of peers and the rules."""

    gossip: Gossip
    configuration: ConfigurationTask

    @property
    def membership(self) -> Membership:
        """The table of peers."""
        return self.gossip.membership


def build_fleet_state(
    context: NodeContext, request_path: RequestPathComponents, rules: RulesHolder, profile: Profile
) -> FleetStateComponents:
    """Return the tasks for peers and rules; the node announces itself with ``profile``."""

    def update_service(service: ServiceName) -> None:
        request_path.services.update(service, list_locations(membership, service), context.clock())

    def apply_changes(changes: list[Change]) -> None:
        for service in {change.peer.service for change in changes}:
            update_service(service)

    def receive_revision(revision: Revision, holder: NodeId) -> None:
        if holder:
            configuration.receive_revision(holder, revision)

    membership = _build_membership(context, profile)
    gossip = Gossip(
        membership,
        request_path.pool.send,
        context.clock,
        context.random,
        apply_changes,
        receive_revision,
    )
    callbacks = _build_callbacks(context, request_path, rules, membership)
    configuration = ConfigurationTask(membership.own, context.store, callbacks, context.random)
    # Gossip reports no change for the node itself, so its own server is added here.
    update_service(membership.own.service)
    return FleetStateComponents(gossip, configuration)


def build_rules(get_gossip: Callable[[], Gossip]) -> RulesHolder:
    """Return the holder of the rules in force; it announces each new revision to peers."""
    return RulesHolder(lambda revision: put_event(get_gossip(), RevisionApplied(revision)))


def _build_membership(context: NodeContext, profile: Profile) -> Membership:
    watching = context.settings.watching
    now = context.clock()
    return create_membership(
        MembershipSettings(),
        context.node_id,
        profile,
        context.incarnation,
        make_budget(MEMBERSHIP_FRACTION * watching.node_bytes_per_s, now),
        make_budget(MEMBERSHIP_FRACTION * watching.region_bytes_per_s, now),
        now,
    )


def _build_callbacks(
    context: NodeContext,
    request_path: RequestPathComponents,
    rules: RulesHolder,
    membership: Membership,
) -> ConfigurationCallbacks:
    async def fetch(node: NodeId, at_least: Revision) -> bytes | None:
        peer = find_peer(membership, node)
        if peer is None:
            return None
        return await fetch_rules(peer.profile.control_address, at_least, context.counters)

    def send_notice(node: NodeId, notice: RevisionNotice) -> None:
        context.counters.add("watching.rules_bytes_out", request_path.pool.send(node, notice))

    return ConfigurationCallbacks(
        accept=rules.accept,
        publish=rules.publish,
        send_notice=send_notice,
        fetch_document=fetch,
        list_peers=lambda: list_usable_peers(membership),
        has_peer_list=lambda: membership.has_peer_list,
    )
