"""Estimates when the answer of a call would be back, for one server.

A report counts less with age, since the load it names moves back to the usual (Mitzenmacher,
"How Useful Is Old Information?", 2000), and less when reports have foretold little. The entry
adds the calls that it has sent itself since.
"""

from math import exp, sqrt

from ragwort_flow import Distance

from ragwort_policy._faith import get_faith
from ragwort_policy._servers import ChoiceState, ServerView
from ragwort_policy._service_time import estimate_time
from ragwort_policy._trust import get_error_cost

SERVICE_NOISE = 1.5
MOST_DELAY = 3.0
"""Longest delay that counts when reports are judged, in usual service times."""
FAR_ROOM = 1.2
"""Part of its limit up to which a server takes calls of the other region."""


def estimate_cost(state: ChoiceState, view: ServerView, now: float) -> float:
    """Return the expected time until the answer of a call sent now, errors counted in."""
    settings = state.settings
    load = estimate_load(state, view, now)
    # A smooth bend at the limit: a server nearly full may be full when the call arrives.
    over = load + 1.0 - view.limit
    spread = 1.0 + 0.1 * view.limit
    waiting = 0.5 * (over + sqrt(over * over + 4.0 * spread))
    service_s = _estimate_service(state, view, now)
    cost_s = view.round_trip_s + service_s * (1.0 + waiting / view.limit)
    cost_s = max(cost_s, _estimate_from_own_calls(view, now))
    if now < view.full_until:
        cost_s += settings.other_region_ms / 1e3
    return cost_s * get_error_cost(view.trust, now)


def get_freshness(state: ChoiceState, view: ServerView, now: float) -> float:
    """Return the weight of a server's report by its age, 0 to 1."""
    age_s = max(0.0, now - view.reported_at)
    return exp(-age_s * 1e3 / state.settings.report_life_ms)


def foretell_delay(state: ChoiceState, view: ServerView, now: float) -> float:
    """Return the delay that the aged report foretells, in usual service times."""
    load = view.load / view.limit - state.usual_load
    service = view.service_s / state.usual_service_s - 1.0
    if abs(service) < SERVICE_NOISE - 1.0:
        service = 0.0
    return get_freshness(state, view, now) * min(MOST_DELAY, load + service)


def has_room(state: ChoiceState, view: ServerView, now: float) -> bool:
    """Tell whether a server of the other region may take calls of this one.

    A region that queues its own calls has no room for those of the other.
    """
    if now < view.full_until:
        return False
    return estimate_load(state, view, now) < view.limit * FAR_ROOM


def estimate_load(state: ChoiceState, view: ServerView, now: float) -> float:
    """Return how many calls the server has, running and waiting, about."""
    is_far = view.distance is Distance.OTHER_REGION
    usual = (state.usual_far_load if is_far else state.usual_load) * view.limit
    fresh = get_freshness(state, view, now)
    own = len(view.sent)
    # Calls that the report didn't count, but for those that have ended.
    uncounted = min(view.sent_since, own)
    load = usual + (view.load - usual) * get_faith(state.faith) * fresh + uncounted
    return max(load, float(own))


def _estimate_service(state: ChoiceState, view: ServerView, now: float) -> float:
    # Small differences between measured service times are noise, and following them would
    # turn all entries to one server.
    usual_s = state.usual_service_s
    ratio = view.service_s / usual_s
    if ratio > SERVICE_NOISE:
        ratio /= SERVICE_NOISE
    elif ratio * SERVICE_NOISE < 1.0:
        ratio *= SERVICE_NOISE
    else:
        return usual_s
    # What a slow server said long ago is no reason to pass it over: it may have recovered.
    weight = get_freshness(state, view, now) * get_faith(state.faith)
    return usual_s * (1.0 + (ratio - 1.0) * weight)


def _estimate_from_own_calls(view: ServerView, now: float) -> float:
    # Own calls that hang are evidence that no report has brought yet.
    if not view.sent:
        return 0.0
    return 0.7 * estimate_time(view.latency, now)
