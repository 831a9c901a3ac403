"""Decides which servers an entry probes for a load report, within a bandwidth budget.

Probes are triggered by calls (Prequal, NSDI 2024): each call may cause one probe, to the server
with the most overdue report. Fresh reports are reused, and services without calls aren't probed.
"""

from dataclasses import dataclass

from ragwort_common import NodeId
from ragwort_flow import Distance

from ragwort_policy._servers import ChoiceState, ServerView

BURST_S = 0.25


@dataclass(slots=True)
class ProbeBudget:
    """A token bucket in bytes."""

    bytes_per_s: float
    tokens_bytes: float
    updated_at: float


@dataclass(slots=True, frozen=True)
class ProbeSettings:
    """When a report is due for renewal, and the cost of a probe with its reply.

    ``min_interval_ms`` is the shortest time between two probes of the same server.
    """

    cost_bytes: int = 130
    fresh_ms: float = 20.0
    min_interval_ms: float = 10.0
    far_fresh_ms: float = 2000.0
    spillover_fresh_ms: float = 100.0
    timeout_ms: float = 250.0


def make_probe_budget(bytes_per_s: float, now: float) -> ProbeBudget:
    """Return a full budget."""
    return ProbeBudget(bytes_per_s, bytes_per_s * BURST_S, now)


def plan_probe(
    state: ChoiceState,
    node_budget: ProbeBudget,
    far_budget: ProbeBudget,
    settings: ProbeSettings,
    now: float,
) -> NodeId | None:
    """Return the server to probe now, or None, and charge the budgets for the probe.

    ``node_budget`` bounds all probes of the node, ``far_budget`` those to the other region.
    """
    best: ServerView | None = None
    best_staleness = 1.0
    for view in state.near:
        staleness = _get_staleness(view, settings.fresh_ms, settings, now)
        if staleness > best_staleness:
            best, best_staleness = view, staleness
    if best is None:
        far_fresh_ms = settings.spillover_fresh_ms if state.spillover else settings.far_fresh_ms
        for view in state.far:
            staleness = _get_staleness(view, far_fresh_ms, settings, now)
            if staleness > best_staleness:
                best, best_staleness = view, staleness
    if best is None:
        return None
    is_far = best.distance is Distance.OTHER_REGION
    if is_far and not _charge(far_budget, settings.cost_bytes, now):
        return None
    if not _charge(node_budget, settings.cost_bytes, now):
        return None
    best.probed_at = now
    return best.location.node


def _get_staleness(view: ServerView, fresh_ms: float, settings: ProbeSettings, now: float) -> float:
    if (now - view.probed_at) * 1e3 < max(fresh_ms, settings.min_interval_ms):
        return 0.0
    return (now - view.reported_at) * 1e3 / fresh_ms


def _charge(budget: ProbeBudget, cost_bytes: int, now: float) -> bool:
    earned = (now - budget.updated_at) * budget.bytes_per_s
    budget.updated_at = now
    budget.tokens_bytes = min(budget.bytes_per_s * BURST_S, budget.tokens_bytes + earned)
    if budget.tokens_bytes < cost_bytes:
        return False
    budget.tokens_bytes -= cost_bytes
    return True
