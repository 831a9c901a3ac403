"""Tells operators what a node knows: as gRPC replies and as JSON."""

from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from ragwort_common import Revision
from ragwort_policy import Membership, is_current
from ragwort_protocol.control import GetStatusReply, Peer

from ragwort_node._directory import describe_peer, list_peers
from ragwort_node._gate import Gate
from ragwort_node._metrics import Counters
from ragwort_node._pool import LinkPool


@dataclass(frozen=True, slots=True)
class StatusSources:
    """The parts of a node that its status is read from."""

    membership: Membership
    gate: Gate
    pool: LinkPool
    counters: Counters
    clock: Callable[[], float]
    get_revision: Callable[[], Revision]
    is_ready: Callable[[], bool]


def read_status(sources: StatusSources, without_peers: bool) -> GetStatusReply:
    """Return the node's state and, unless told not to, its table of peers."""
    report = sources.gate.make_report()
    own = sources.membership.own
    return GetStatusReply(
        self=describe_peer(own, sources.get_revision()),
        ready=sources.is_ready(),
        draining=sources.gate.leaving,
        in_flight=report.in_flight,
        limit=report.limit,
        queued=report.queued,
        peers=[] if without_peers else _describe_peers(sources.membership),
    )


def _describe_peers(membership: Membership) -> list[Peer]:
    return [
        describe_peer(peer, peer.revision)
        for peer in list_peers(membership)
        if peer is not membership.own
    ]


def read_state(sources: StatusSources) -> dict[str, Any]:
    """Return the node's state, budgets and counters as plain JSON values."""
    membership = sources.membership
    now = sources.clock()
    report = sources.gate.make_report()
    states: dict[str, int] = {}
    for peer in list_peers(membership):
        name = peer.state.name.lower()
        states[name] = states.get(name, 0) + 1
    return {
        "node": membership.own.node_id,
        "state": membership.own.state.name.lower(),
        "ready": sources.is_ready(),
        "revision": sources.get_revision(),
        "draining": sources.gate.leaving,
        "gate": {
            "in_flight": report.in_flight,
            "limit": report.limit,
            "queued": report.queued,
            "service_time_us": report.service_time_us,
        },
        "peers": states,
        "view_is_current": is_current(membership, now),
        "watching": asdict(membership.counters),
        "links": sources.pool.count_links(),
        "counters": dict(sources.counters.totals),
    }
