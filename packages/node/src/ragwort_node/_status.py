"""Reports the state of a node to operators, as gRPC replies and as JSON."""

from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from ragwort_common import Counters, Revision
from ragwort_policy import Arrival, ByteBudget, Membership, get_budget_level, is_current
from ragwort_protocol.control import GetStatusReply, Peer

from ragwort_node._directory import describe_peer, list_peers
from ragwort_node._gate import Gate
from ragwort_node._pool import LinkPool
from ragwort_node._rules_types import CurrentRules
from ragwort_node._services import Services
from ragwort_node._settings import LimitSettings


@dataclass(frozen=True, slots=True)
class StatusSources:
    """The components of a node that its status is read from.

    Attributes
    ----------
    collect
        Updates the counters.
    """

    membership: Membership
    gate: Gate
    pool: LinkPool
    counters: Counters
    clock: Callable[[], float]
    get_revision: Callable[[], Revision]
    is_ready: Callable[[], bool]
    get_rules: Callable[[], CurrentRules | None]
    collect: Callable[[], None]
    services: Services
    limits: LimitSettings


def read_status(sources: StatusSources, without_peers: bool) -> GetStatusReply:
    """Return the node's state and, if wanted, its table of peers."""
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
    sources.collect()
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
        "members": _describe_members(sources.gate),
        "limits": sources.limits.model_dump(),
        "budgets": _describe_budgets(sources, now),
        "configuration": _describe_configuration(sources.get_rules()),
        "peers": states,
        "view_is_current": is_current(membership, now),
        "watching": asdict(membership.counters),
        "links": sources.pool.count_links(),
        "counters": dict(sources.counters.totals),
    }


def read_peers(sources: StatusSources) -> list[dict[str, Any]]:
    """Return the table of peers, including this node, as plain JSON values."""
    return [
        {
            "node": peer.node_id,
            "service": peer.service,
            "region": peer.region,
            "failure_domain": peer.failure_domain,
            "state": peer.state.name.lower(),
            "revision": peer.revision,
            "incarnation": peer.incarnation,
            "link_address": peer.profile.link_address,
            "control_address": peer.profile.control_address,
        }
        for peer in list_peers(sources.membership)
    ]


def read_rules(sources: StatusSources) -> dict[str, Any] | None:
    """Return the rules in force with their text, or None before any are in force."""
    rules = sources.get_rules()
    if rules is None:
        return None
    text = rules.document.text.decode("utf-8", "replace")
    return _describe_configuration(rules) | {"text": text}


def _describe_configuration(rules: CurrentRules | None) -> dict[str, Any]:
    if rules is None:
        return {"revision": 0}
    document = rules.document
    return {
        "revision": rules.revision_id.revision,
        "author": document.author,
        "applied_at": document.applied_at,
    }


def _describe_members(gate: Gate) -> dict[str, dict[str, int]]:
    """Return the share and the running and waiting calls of each member with calls."""
    running, waiting = gate.list_calls()
    members: dict[str, dict[str, int]] = {}
    _count_members(members, running, "running")
    _count_members(members, waiting, "waiting")
    return members


def _count_members(members: dict[str, dict[str, int]], calls: list[Arrival], state: str) -> None:
    for call in calls:
        entry = members.setdefault(call.member, {"share": 0, "running": 0, "waiting": 0})
        entry["share"] = call.share
        entry[state] += 1


def _describe_budgets(sources: StatusSources, now: float) -> dict[str, Any]:
    membership = sources.membership
    return {
        "node": _describe_budget(membership.budget, now),
        "region": _describe_budget(membership.paid_budget, now),
        "services": {
            service: {
                "retries_left": state.retries.tokens,
                "hedges_left": state.hedge.budget.tokens,
            }
            for service, state in sources.services.list_states()
        },
    }


def _describe_budget(budget: ByteBudget, now: float) -> dict[str, Any]:
    return {
        "bytes_per_s": budget.rate_bytes_per_s,
        "burst_bytes": budget.burst_bytes,
        "level": get_budget_level(budget, now),
        "refused": {traffic.name.lower(): count for traffic, count in budget.refused.items()},
    }
