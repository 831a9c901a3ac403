"""Estimates the response time of a call for one server.

The weight of a report decays with its age, since the load tends to return to its average
(Mitzenmacher, "How Useful Is Old Information?", 2000), and is reduced when reports have predicted
delays poorly. The calls that this entry has sent since the report are added to the reported load.
"""

from math import exp, sqrt

from ragwort_flow import Distance

from ragwort_policy._report_weight import get_report_weight
from ragwort_policy._server_health import get_error_penalty
from ragwort_policy._servers import ChoiceState, ServerView
from ragwort_policy._service_time import estimate_time

SERVICE_NOISE_RATIO = 1.5
MAX_RELATIVE_DELAY = 3.0
"""Maximum delay used to learn the report weight, in average service times."""
MAX_FAR_LOAD_RATIO = 1.2
"""Load, as a fraction of its limit, up to which a server takes calls of the other region."""


def estimate_cost(state: ChoiceState, view: ServerView, now: float) -> float:
    """Return the expected response time of a call sent now, raised by the rate of errors."""
    settings = state.settings
    load = estimate_load(state, view, now)
    # A smooth maximum of the excess and 0: a nearly full server may be full when the call arrives.
    excess = load + 1.0 - view.limit
    smoothing = 1.0 + 0.1 * view.limit
    waiting = 0.5 * (excess + sqrt(excess * excess + 4.0 * smoothing))
    service_s = _estimate_service(state, view, now)
    cost_s = view.round_trip_s + service_s * (1.0 + waiting / view.limit)
    cost_s = max(cost_s, _estimate_from_own_calls(view, now))
    if now < view.full_until:
        cost_s += settings.other_region_round_trip_ms / 1e3
    return cost_s * get_error_penalty(view.health, now)


def get_freshness(state: ChoiceState, view: ServerView, now: float) -> float:
    """Return the weight of a server's report according to its age, 0 to 1."""
    age_s = max(0.0, now - view.reported_at)
    return exp(-age_s * 1e3 / state.settings.report_decay_ms)


def predict_delay(state: ChoiceState, view: ServerView, now: float) -> float:
    """Return the delay predicted by the report and its age, in average service times."""
    load = view.load / view.limit - state.mean_load
    service = view.service_s / state.mean_service_s - 1.0
    if abs(service) < SERVICE_NOISE_RATIO - 1.0:
        service = 0.0
    return get_freshness(state, view, now) * min(MAX_RELATIVE_DELAY, load + service)


def has_capacity(state: ChoiceState, view: ServerView, now: float) -> bool:
    """Return whether a server of the other region may take calls from this one.

    A region that queues its own calls has no capacity to spare.
    """
    if now < view.full_until:
        return False
    return estimate_load(state, view, now) < view.limit * MAX_FAR_LOAD_RATIO


def estimate_load(state: ChoiceState, view: ServerView, now: float) -> float:
    """Return the estimated number of running and waiting calls at the server."""
    is_far = view.distance is Distance.OTHER_REGION
    mean = (state.mean_far_load if is_far else state.mean_load) * view.limit
    freshness = get_freshness(state, view, now)
    own_calls = len(view.in_flight)
    # Calls sent since the report, limited to the number still in flight.
    uncounted = min(view.sent_since_report, own_calls)
    load = mean + (view.load - mean) * get_report_weight(state.regression) * freshness + uncounted
    return max(load, float(own_calls))


def _estimate_service(state: ChoiceState, view: ServerView, now: float) -> float:
    # Small differences between measured service times are noise; acting on them would send the
    # calls of all entries to one server.
    mean_s = state.mean_service_s
    ratio = view.service_s / mean_s
    if ratio > SERVICE_NOISE_RATIO:
        ratio /= SERVICE_NOISE_RATIO
    elif ratio * SERVICE_NOISE_RATIO < 1.0:
        ratio *= SERVICE_NOISE_RATIO
    else:
        return mean_s
    # An old report of slowness must not keep calls away from a server that may have recovered.
    weight = get_freshness(state, view, now) * get_report_weight(state.regression)
    return mean_s * (1.0 + (ratio - 1.0) * weight)


def _estimate_from_own_calls(view: ServerView, now: float) -> float:
    # Calls of this entry that hang reveal a slow server before any report does.
    if not view.in_flight:
        return 0.0
    return 0.7 * estimate_time(view.latency, now)
