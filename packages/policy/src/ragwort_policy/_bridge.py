"""Gossip between regions through a few elected nodes, the bridges.

Each node reports its free slots to the bridges of its region. The first bridge sums them for each
service. The bridges send the totals and the membership updates of their region to the bridges of
the other regions. These relay each report within their region along a tree whose layout depends
on the report's version.
"""

from ragwort_common import NodeId, Region
from ragwort_protocol import LoadNotice, Notice, PeerUpdate, RegionReport, ServiceLoad

from ragwort_policy._budget import TrafficClass
from ragwort_policy._dissemination import take_unsent_urgent, take_updates
from ragwort_policy._gossip_exchange import (
    limit_message_bytes,
    note_revision,
    try_send,
)
from ragwort_policy._gossip_settings import RandomSource
from ragwort_policy._gossip_state import Membership, OutgoingMessage, RegionLoad, RegionView
from ragwort_policy._peer import Peer
from ragwort_policy._repair import send_digest
from ragwort_policy._table import list_bridges, list_region, list_regions, set_reachable

RELAY_FANOUT = 2

_UPDATES_BYTES = 1000
_LOADS_BYTES = 600
_LOAD_OVERHEAD_BYTES = 8
_REPORTER_MAX_AGE_S = 5.0
_RANDOM_TARGET_SHARE = 0.5
_RANK_MASK = (1 << 64) - 1


def tick_bridge(
    membership: Membership, now: float, random: RandomSource, sends: list[OutgoingMessage]
) -> None:
    """Report the load to the bridges when due; on a bridge, also send to the other regions."""
    bridging = membership.bridging
    _update_reachability(membership, now)
    if now >= bridging.next_load_at:
        # Without jitter, nodes that started together would exhaust the bridge's budget at once.
        bridging.next_load_at = now + _load_period_s(membership) * (0.5 + random.random())
        _send_load(membership, now, sends)
    own = membership.own
    bridging.is_bridge = own.node_id in list_bridges(membership.table, own.region)
    if not bridging.is_bridge:
        bridging.loads.clear()
        return
    _send_updates(membership, now, random, sends)
    if now >= bridging.next_report_at:
        bridging.next_report_at = now + membership.settings.load_period_s
        _send_reports(membership, now, random, sends)
    if now >= bridging.next_repair_at:
        period = membership.settings.repair_period_s
        bridging.next_repair_at = now + period * (0.5 + random.random())
        for region in _list_other_regions(membership):
            send_digest(membership, now, _pick_remote_target(membership, region, random), sends)


def handle_load(membership: Membership, sender: NodeId, notice: LoadNotice) -> None:
    """Record the free slots that a peer of the own region has reported."""
    membership.bridging.loads[sender] = notice.free_slots


def handle_report(
    membership: Membership,
    now: float,
    random: RandomSource,
    sender: NodeId,
    report: RegionReport,
    sends: list[OutgoingMessage],
) -> None:
    """Record the report of another region and relay it within the own region."""
    region = Region(report.region)
    if region == membership.own.region:
        return
    view = get_region_view(membership, region, now)
    is_rejoin = region in membership.table.unreachable
    view.received_at = now
    if not report.root:
        view.reporter = sender
        view.reported_at = now
    set_reachable(membership.table, region, True)
    # A relayed report names no holder of the revision: otherwise all nodes of this region would
    # fetch the rules from the other region, over the paid link.
    note_revision(membership, report.revision, NodeId("") if report.root else sender)
    if is_rejoin and not report.root:
        send_digest(membership, now, sender, sends)
    is_known = view.origin == report.origin and report.version <= view.version
    if is_known or not report.is_first:
        return
    view.origin = report.origin
    view.version = report.version
    for load in report.loads:
        view.loads[load.service] = RegionLoad(region, load, now)
    _relay_report(membership, now, report, sends)


def get_region_view(membership: Membership, region: Region, now: float) -> RegionView:
    """Return the view of another region; a region seen for the first time gets one as of now."""
    regions = membership.bridging.regions
    if region not in regions:
        regions[region] = RegionView(now)
    return regions[region]


def _update_reachability(membership: Membership, now: float) -> None:
    silence = membership.settings.cut_after_s
    for region in _list_other_regions(membership):
        view = get_region_view(membership, region, now)
        set_reachable(membership.table, region, now < view.received_at + silence)


def _load_period_s(membership: Membership) -> float:
    # In a large region each node reports less often, to bound the rate at which a bridge receives.
    settings = membership.settings
    size = len(list_region(membership.table, membership.own.region))
    return max(settings.load_period_s, size / settings.load_notices_per_s)


def _send_load(membership: Membership, now: float, sends: list[OutgoingMessage]) -> None:
    own = membership.own
    for bridge in list_bridges(membership.table, own.region):
        if bridge == own.node_id:
            membership.bridging.loads[bridge] = membership.free_slots
        else:
            notice = LoadNotice(membership.free_slots)
            try_send(membership, sends, now, bridge, notice, TrafficClass.SUMMARY)


def _list_other_regions(membership: Membership) -> list[Region]:
    return [name for name in list_regions(membership.table) if name != membership.own.region]


def _pick_remote_target(membership: Membership, region: Region, random: RandomSource) -> NodeId:
    # A node that has recently sent from there is up. The nodes that this one believes to be the
    # bridges there may have died or been replaced during a partition, so random nodes of the region
    # are tried as well.
    view = membership.bridging.regions.get(region)
    if view is not None and membership.active_at - view.reported_at < _REPORTER_MAX_AGE_S:
        return view.reporter
    bridges = list_bridges(membership.table, region)
    if not bridges or random.random() < _RANDOM_TARGET_SHARE:
        return random.choice(list_region(membership.table, region)).node_id
    own = membership.own
    index = list_bridges(membership.table, own.region).index(own.node_id)
    return bridges[index % len(bridges)]


def _send_updates(
    membership: Membership, now: float, random: RandomSource, sends: list[OutgoingMessage]
) -> None:
    queue = membership.bridging.queue
    # Updates wait while all other regions are unreachable; there is at most one for each peer.
    regions = [
        region
        for region in _list_other_regions(membership)
        if region not in membership.table.unreachable
    ]
    if not queue.items or not regions:
        return
    targets = [_pick_remote_target(membership, region, random) for region in regions]
    _send_notice(
        membership,
        now,
        targets,
        take_unsent_urgent(queue, _UPDATES_BYTES),
        TrafficClass.URGENT,
        sends,
    )
    room = min(
        limit_message_bytes(membership, now, to, TrafficClass.SUMMARY, _UPDATES_BYTES)
        for to in targets
    )
    _send_notice(
        membership, now, targets, take_updates(queue, 1, room), TrafficClass.SUMMARY, sends
    )


def _send_notice(
    membership: Membership,
    now: float,
    targets: list[NodeId],
    updates: list[PeerUpdate],
    traffic: TrafficClass,
    sends: list[OutgoingMessage],
) -> None:
    if not updates:
        return
    notice = Notice(membership.own.revision, updates)
    for to in targets:
        try_send(membership, sends, now, to, notice, traffic)


def _send_reports(
    membership: Membership, now: float, random: RandomSource, sends: list[OutgoingMessage]
) -> None:
    bridging = membership.bridging
    bridging.version += 1
    own = membership.own
    is_first = list_bridges(membership.table, own.region)[0] == own.node_id
    for region in _list_other_regions(membership):
        to = _pick_remote_target(membership, region, random)
        room = limit_message_bytes(membership, now, to, TrafficClass.SUMMARY, _LOADS_BYTES)
        loads = _sum_loads(membership, room) if is_first else []
        report = RegionReport(
            own.region, own.node_id, bridging.version, "", own.revision, is_first, loads
        )
        try_send(membership, sends, now, to, report, TrafficClass.SUMMARY)


def _sum_loads(membership: Membership, room_bytes: int) -> list[ServiceLoad]:
    # When the services do not all fit into a report, it starts where the last one ended.
    totals = _sum_services(membership)
    start = membership.bridging.next_service % max(1, len(totals))
    chosen = []
    for load in totals[start:] + totals[:start]:
        room_bytes -= len(load.service) + _LOAD_OVERHEAD_BYTES
        if room_bytes < 0:
            break
        chosen.append(load)
    membership.bridging.next_service = start + len(chosen)
    return chosen


def _sum_services(membership: Membership) -> list[ServiceLoad]:
    servers: dict[str, int] = {}
    free: dict[str, int] = {}
    for peer in list_region(membership.table, membership.own.region):
        if not peer.is_usable:
            continue
        service = peer.service
        servers[service] = servers.get(service, 0) + 1
        free[service] = free.get(service, 0) + membership.bridging.loads.get(peer.node_id, 0)
    return [ServiceLoad(name, servers[name], free[name]) for name in sorted(servers)]


def _relay_report(
    membership: Membership, now: float, report: RegionReport, sends: list[OutgoingMessage]
) -> None:
    own = membership.own.node_id
    relayed = RegionReport(
        report.region,
        report.origin,
        report.version,
        report.root or own,
        report.revision,
        True,
        report.loads,
    )
    peers = list_region(membership.table, membership.own.region)
    for node_id in list_children(peers, own, relayed.root, report.version):
        try_send(membership, sends, now, node_id, relayed, TrafficClass.SUMMARY)


def list_children(peers: list[Peer], own: NodeId, root: str, version: int) -> list[NodeId]:
    """Return the peers to which a node relays a report.

    All nodes sort the peers in the same order, derived from the ranks and the version, with the
    root first. The children of the node at index ``i`` start at index ``RELAY_FANOUT * i + 1``.
    """
    factor = 2 * version + 1
    others = [peer for peer in peers if peer.node_id != root]
    others.sort(key=lambda peer: (peer.rank * factor) & _RANK_MASK)
    order = [NodeId(root)] + [peer.node_id for peer in others]
    if own not in order:
        return []
    start = RELAY_FANOUT * order.index(own) + 1
    return order[start : start + RELAY_FANOUT]
