"""Chooses a server for a call at the entry, based on load reports that may be stale.

The entry samples a few servers, estimates the response time of each (see ``_estimate``) and
chooses the lowest. The method is based on Prequal (Wydrowski, Kleinberg, Rumble and Archer, "Load
is not what you should balance: Introducing Prequal", NSDI 2024), which uses requests in flight
and latency from a reused pool of reports. Only a few servers are compared (power of two choices),
so that entries with the same report don't all choose the same server.
"""

from collections.abc import Collection
from dataclasses import dataclass

from ragwort_common import NodeId
from ragwort_flow import RandomSource

from ragwort_policy._estimate import estimate_cost, has_capacity
from ragwort_policy._server_health import is_paused, is_trial_due
from ragwort_policy._servers import ChoiceState, ServerView, is_accepting

MAX_DRAWS_PER_SERVER = 4
JITTER_RATIO = 0.1
RECENCY_PENALTY_RATIO = 0.1
SPILLOVER_RAMP_S = 0.020


def choose_server(
    state: ChoiceState, now: float, random: RandomSource, exclude: Collection[NodeId] = ()
) -> NodeId | None:
    """Return the server with the lowest expected response time, or None if none is available.

    ``exclude`` contains the servers that this call has already tried.
    """
    near = _find_best_sampled(state, state.near, now, random, exclude)
    far = None
    if near is None or _is_spillover_worthwhile(state, near.cost_s):
        open_far = [view for view in state.far if has_capacity(state, view, now)]
        far = _find_best_sampled(state, open_far, now, random, exclude)
    best = _choose_region(state, near, far, random)
    if best is None:
        best = _choose_paused(state, now, exclude)
    return best.view.location.node if best else None


@dataclass(slots=True)
class Candidate:
    """A server and its expected response time."""

    view: ServerView
    cost_s: float


def _find_best_sampled(
    state: ChoiceState,
    views: list[ServerView],
    now: float,
    random: RandomSource,
    exclude: Collection[NodeId],
) -> Candidate | None:
    count = len(views)
    sample_size = state.settings.sample_size
    if count > sample_size:
        sampled = _sample(views, sample_size, random)
        best = _find_best(state, sampled, now, random, exclude)
        if best is not None:
            return best
    return _find_best(state, views, now, random, exclude)


def _sample(views: list[ServerView], size: int, random: RandomSource) -> list[ServerView]:
    count = len(views)
    sampled: list[ServerView] = []
    for _ in range(size * MAX_DRAWS_PER_SERVER):
        view = views[int(random.random() * count)]
        if view not in sampled:
            sampled.append(view)
            if len(sampled) == size:
                break
    return sampled


def _find_best(
    state: ChoiceState,
    views: list[ServerView],
    now: float,
    random: RandomSource,
    exclude: Collection[NodeId],
) -> Candidate | None:
    best: Candidate | None = None
    best_rank = 0.0
    window_calls = len(state.near) + 1.0
    for view in views:
        if (
            not is_accepting(view, now)
            or view.location.node in exclude
            or is_paused(view.health, now, state.calls)
        ):
            continue
        if is_trial_due(view.health, now, state.calls):
            return Candidate(view, 0.0)
        cost_s = estimate_cost(state, view, now)
        # Random jitter outweighs insignificant differences, so that entries spread their calls.
        # The penalty on recently used servers makes equal ones alternate.
        recent = max(0.0, 1.0 - (state.calls - view.last_call_number) / window_calls)
        rank = cost_s * (1.0 + JITTER_RATIO * random.random() + RECENCY_PENALTY_RATIO * recent)
        if best is None or rank < best_rank:
            best, best_rank = Candidate(view, cost_s), rank
    return best


def _is_spillover_worthwhile(state: ChoiceState, near_cost_s: float) -> bool:
    return near_cost_s * 1e3 > state.settings.other_region_round_trip_ms


def _choose_region(
    state: ChoiceState, near: Candidate | None, far: Candidate | None, random: RandomSource
) -> Candidate | None:
    if near is None or far is None:
        return near or far
    # Hysteresis: the margin changes sign with the state, so that a near tie doesn't flip the
    # choice with each call.
    margin_s = state.settings.spillover_margin_ms / 1e3
    if state.spillover:
        margin_s = -margin_s
    gain_s = near.cost_s - far.cost_s - margin_s
    state.spillover = gain_s > 0.0
    # The fraction of calls sent to the other region grows with the gain: its reports arrive late,
    # and if all calls moved at the first gain, the two regions would be overloaded alternately.
    return far if gain_s > SPILLOVER_RAMP_S * random.random() else near


def _choose_paused(state: ChoiceState, now: float, exclude: Collection[NodeId]) -> Candidate | None:
    # When every server is paused, the errors are more likely caused by the calls themselves.
    views = [view for view in state.servers.values() if is_accepting(view, now)]
    views = [view for view in views if view.location.node not in exclude]
    views = [view for view in views if not view.health.on_trial] or views
    if not views:
        return None
    return min(
        (Candidate(view, estimate_cost(state, view, now)) for view in views),
        key=lambda candidate: candidate.cost_s,
    )
