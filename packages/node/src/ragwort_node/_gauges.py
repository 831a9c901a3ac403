"""Copies the counts that components of a node keep themselves into the counters for statsd.

All metric names come from enums and dataclass fields, so their number is bounded.
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from enum import Enum

from ragwort_common import Counters
from ragwort_policy import ByteBudget, GossipCounters, Membership, get_budget_level
from ragwort_protocol import ClaimVerdict, PeerState
from ragwort_store import ObjectStore

from ragwort_node._directory import list_peers
from ragwort_node._gate import Gate
from ragwort_node._gossip import Gossip
from ragwort_node._key_claims import KeyClaims
from ragwort_node._owner import KeyOwner
from ragwort_node._pool import LinkPool
from ragwort_node._rules_types import ConfigurationEvent


@dataclass(frozen=True, slots=True)
class CountSources:
    """The components of a node that keep their own counts."""

    gossip: Gossip
    gate: Gate
    pool: LinkPool
    store: ObjectStore
    configuration_counts: Mapping[ConfigurationEvent, int]
    claims: KeyClaims
    owner: KeyOwner


def collect_counts(sources: CountSources, counters: Counters) -> None:
    """Update totals and gauges; cheap enough to run before each flush."""
    membership = sources.gossip.membership
    _collect_membership(membership, counters)
    _set_totals(counters, "configuration", sources.configuration_counts)
    _set_totals(counters, "platform.calls", sources.store.calls)
    _set_totals(counters, "platform.errors", sources.store.errors)
    _collect_claims(sources.claims, counters)
    counters.totals["membership.unsent"] = sources.gossip.unsent
    counters.totals["membership.dropped"] = sources.gossip.dropped
    _set_gauges(sources, counters)


def _set_totals(counters: Counters, prefix: str, counts: Mapping[Enum, int]) -> None:
    for kind, count in counts.items():
        counters.totals[f"{prefix}.{kind.value}"] = count


def _collect_membership(membership: Membership, counters: Counters) -> None:
    for name, count in _list_fields(membership.counters):
        counters.totals[f"membership.{name}"] = count
    _collect_budget("node", membership.budget, membership.active_at, counters)
    _collect_budget("region", membership.paid_budget, membership.active_at, counters)


def _list_fields(counts: GossipCounters) -> list[tuple[str, int]]:
    return list(asdict(counts).items())


def _collect_budget(scope: str, budget: ByteBudget, now: float, counters: Counters) -> None:
    for traffic, refused in budget.refused.items():
        name = f"watching.{scope}_refused.{traffic.name.lower()}"
        counters.totals[name] = refused
    counters.set_gauge(f"watching.{scope}_budget_level", get_budget_level(budget, now))


def _collect_claims(claims: KeyClaims, counters: Counters) -> None:
    for verdict in ClaimVerdict:
        counters.totals[f"keys.claims.{verdict.value}"] = claims.counts[verdict]
    counters.totals["keys.claims.no-reply"] = claims.counts[None]


def _set_gauges(sources: CountSources, counters: Counters) -> None:
    report = sources.gate.make_report()
    counters.set_gauge("gate.in_flight", report.in_flight)
    counters.set_gauge("gate.limit", report.limit)
    counters.set_gauge("gate.waiting", report.queued)
    counters.set_gauge("gate.service_time_us", report.service_time_us)
    counters.set_gauge("link.open", sources.pool.count_links())
    counters.set_gauge("keys.ranges_held", len(sources.owner.list_held()))
    states = [peer.state for peer in list_peers(sources.gossip.membership)]
    for state in PeerState:
        counters.set_gauge(f"membership.peers.{state.name.lower()}", states.count(state))
