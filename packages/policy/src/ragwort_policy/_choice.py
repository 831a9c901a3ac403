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

from ragwort_policy._estimate import estimate_cost, has_room
from ragwort_policy._server_health import is_paused, is_trial_due
from ragwort_policy._servers import ChoiceState, ServerView, is_accepting

MOST_DRAWS = 4
TIE_PART = 0.1
RECENT_PART = 0.1
CROSSING_BAND_S = 0.020


def choose_server(
    state: ChoiceState, now: float, random: RandomSource, exclude: Collection[NodeId] = ()
) -> NodeId | None:
    """Return the server with the lowest expected response time, or None if none is available.

    ``exclude`` contains the servers that this call has already tried.
    """
    near = _compare(state, state.near, now, random, exclude)
    far = None
    if near is None or _is_crossing_worth_a_look(state, near.cost_s):
        open_far = [view for view in state.far if has_room(state, view, now)]
        far = _compare(state, open_far, now, random, exclude)
    best = _weigh_crossing(state, near, far, random)
    if best is None:
        best = _pick_paused(state, now, exclude)
    return best.view.place.node if best else None


@dataclass(slots=True)
class Candidate:
    """A server and its expected response time."""

    view: ServerView
    cost_s: float


def _compare(
    state: ChoiceState,
    views: list[ServerView],
    now: float,
    random: RandomSource,
    exclude: Collection[NodeId],
) -> Candidate | None:
    count = len(views)
    compared = state.settings.compared
    if count > compared:
        drawn = _draw(views, compared, random)
        best = _find_best(state, drawn, now, random, exclude)
        if best is not None:
            return best
    return _find_best(state, views, now, random, exclude)


def _draw(views: list[ServerView], wanted: int, random: RandomSource) -> list[ServerView]:
    count = len(views)
    drawn: list[ServerView] = []
    for _ in range(wanted * MOST_DRAWS):
        view = views[int(random.random() * count)]
        if view not in drawn:
            drawn.append(view)
            if len(drawn) == wanted:
                break
    return drawn


def _find_best(
    state: ChoiceState,
    views: list[ServerView],
    now: float,
    random: RandomSource,
    exclude: Collection[NodeId],
) -> Candidate | None:
    best: Candidate | None = None
    best_rank = 0.0
    spread = len(state.near) + 1.0
    for view in views:
        if (
            not is_accepting(view, now)
            or view.place.node in exclude
            or is_paused(view.trust, now, state.calls)
        ):
            continue
        if is_trial_due(view.trust, now, state.calls):
            return Candidate(view, 0.0)
        cost_s = estimate_cost(state, view, now)
        # Random jitter outweighs insignificant differences, so that entries spread their calls.
        # The penalty on recently used servers makes equal ones alternate.
        recent = max(0.0, 1.0 - (state.calls - view.last_call) / spread)
        rank = cost_s * (1.0 + TIE_PART * random.random() + RECENT_PART * recent)
        if best is None or rank < best_rank:
            best, best_rank = Candidate(view, cost_s), rank
    return best


def _is_crossing_worth_a_look(state: ChoiceState, near_cost_s: float) -> bool:
    return near_cost_s * 1e3 > state.settings.other_region_ms


def _weigh_crossing(
    state: ChoiceState, near: Candidate | None, far: Candidate | None, random: RandomSource
) -> Candidate | None:
    if near is None or far is None:
        return near or far
    # Hysteresis: the margin changes sign with the state, so that a near tie doesn't flip the
    # choice with each call.
    margin_s = state.settings.crossing_margin_ms / 1e3
    if state.crossing:
        margin_s = -margin_s
    gain_s = near.cost_s - far.cost_s - margin_s
    state.crossing = gain_s > 0.0
    # The fraction of calls sent to the other region grows with the gain: its reports arrive late,
    # and if all calls moved at the first gain, the two regions would be overloaded alternately.
    return far if gain_s > CROSSING_BAND_S * random.random() else near


def _pick_paused(state: ChoiceState, now: float, exclude: Collection[NodeId]) -> Candidate | None:
    # When every server is paused, the errors are more likely caused by the calls themselves.
    views = [view for view in state.servers.values() if is_accepting(view, now)]
    views = [view for view in views if view.place.node not in exclude]
    views = [view for view in views if not view.trust.on_trial] or views
    if not views:
        return None
    return min(
        (Candidate(view, estimate_cost(state, view, now)) for view in views),
        key=lambda candidate: candidate.cost_s,
    )
