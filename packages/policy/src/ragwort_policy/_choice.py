"""Chooses a server for a call at the entry, from reports that are always stale.

The rule estimates for a few servers when an answer would be back, and takes the soonest. It
starts from Prequal (Wydrowski, Kleinberg, Rumble and Archer, "Load is not what you should
balance: Introducing Prequal", NSDI 2024): requests in flight and latency from a reused pool of
reports. A report counts less with age, since the load it names moves back to the usual
(Mitzenmacher, "How Useful Is Old Information?", 2000), and the entry adds the calls that it has
sent itself since. Few servers are compared (power of two choices), so that entries with the
same report don't all turn to one server.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import exp, sqrt
from typing import Protocol

from ragwort_common import CallId, FailureDomain, NodeId, Outcome, Reason, Region
from ragwort_protocol import LoadReport

from ragwort_policy._faith import Faith, get_faith, record_delay
from ragwort_policy._service_time import (
    ServiceTime,
    add_call,
    end_call,
    estimate_time,
    make_service_time,
)
from ragwort_policy._trust import (
    Trust,
    end_trial,
    get_error_cost,
    is_error,
    is_paused,
    is_trial_due,
    record_error,
    record_success,
    start_trial,
)

USUAL_MEMORY = 0.05
SERVICE_NOISE = 1.5
MOST_DRAWS = 4
TIE_PART = 0.1
RECENT_PART = 0.1
CROSSING_BAND_S = 0.020
MOST_DELAY = 3.0
"""Longest delay that counts when reports are judged, in usual service times."""
FAR_FULL_DOUBLINGS = 4
FAR_ROOM = 1.2
FULL_REASONS = frozenset({Reason.OVERLOADED, Reason.LIMIT, Reason.SHED})


class RandomSource(Protocol):
    """The part of ``random.Random`` that the policy uses."""

    def random(self) -> float:
        """Return a number in [0, 1)."""


class Distance(Enum):
    """How far a server is from the entry."""

    SAME_DOMAIN = "same-domain"
    SAME_REGION = "same-region"
    OTHER_REGION = "other-region"


@dataclass(slots=True, frozen=True)
class ServerPlace:
    """A server of the service and where it stands."""

    node: NodeId
    failure_domain: FailureDomain
    region: Region


@dataclass(slots=True, frozen=True)
class ChoiceSettings:
    """What an entry assumes before it has measured, and how many servers it compares."""

    compared: int = 3
    expected_ms: float = 20.0
    expected_limit: int = 8
    same_domain_ms: float = 0.4
    same_region_ms: float = 2.0
    other_region_ms: float = 60.0
    crossing_margin_ms: float = 10.0
    report_life_ms: float = 100.0
    full_ms: float = 20.0


@dataclass(slots=True)
class Sent:
    """A call on its way: when it was sent, and the delay foretold by the report."""

    at: float
    foretold: float


@dataclass(slots=True, eq=False)
class ServerView:
    """What an entry knows of one server."""

    place: ServerPlace
    distance: Distance
    round_trip_s: float
    latency: ServiceTime
    service_s: float
    load: float
    limit: float
    reported_at: float = -1e9
    accepting: bool = True
    probed_at: float = -1e9
    full_until: float = -1e9
    refusals_in_row: int = 0
    sent_since: int = 0
    last_call: int = -1000
    sent: dict[CallId, Sent] = field(default_factory=dict)
    trust: Trust = field(default_factory=Trust)


@dataclass(slots=True)
class ChoiceState:
    """What an entry knows of the servers of one service."""

    settings: ChoiceSettings
    failure_domain: FailureDomain
    region: Region
    servers: dict[NodeId, ServerView] = field(default_factory=dict)
    near: list[ServerView] = field(default_factory=list)
    far: list[ServerView] = field(default_factory=list)
    usual_load: float = 0.5
    usual_far_load: float = 0.5
    usual_service_s: float = 0.0
    crossing: bool = False
    calls: int = 0
    faith: Faith = field(default_factory=Faith)


def make_choice(
    settings: ChoiceSettings, failure_domain: FailureDomain, region: Region
) -> ChoiceState:
    """Return the state of an entry that stands in this failure domain and region."""
    state = ChoiceState(settings, failure_domain, region)
    state.usual_service_s = settings.expected_ms / 1e3
    return state


def update_servers(state: ChoiceState, places: Iterable[ServerPlace], now: float) -> None:
    """Set the servers that may be chosen; what is known of those that stay is kept."""
    known = state.servers
    state.servers = {}
    for place in places:
        view = known.get(place.node)
        if view is None or view.place != place:
            view = _make_view(state, place, now)
        state.servers[place.node] = view
    views = state.servers.values()
    state.near = [view for view in views if view.distance is not Distance.OTHER_REGION]
    state.far = [view for view in views if view.distance is Distance.OTHER_REGION]


def choose_server(
    state: ChoiceState, now: float, random: RandomSource, exclude: Collection[NodeId] = ()
) -> NodeId | None:
    """Return the server whose answer is expected soonest, or None when there is none.

    ``exclude`` names the servers that this call has tried already.
    """
    near = _compare(state, state.near, now, random, exclude)
    far = None
    if near is None or _is_crossing_worth_a_look(state, near.cost_s):
        open_far = [view for view in state.far if _has_room(state, view, now)]
        far = _compare(state, open_far, now, random, exclude)
    best = _weigh_crossing(state, near, far, random)
    if best is None:
        best = _pick_paused(state, now, exclude)
    return best.view.place.node if best else None


def record_sent(state: ChoiceState, node: NodeId, call_id: CallId, now: float) -> None:
    """Take in that a call is sent to a server."""
    view = state.servers.get(node)
    if view is None:
        return
    state.calls += 1
    view.last_call = state.calls
    start_trial(view.trust)
    view.sent[call_id] = Sent(now, _foretell(state, view, now))
    view.sent_since += 1
    add_call(view.latency, now)


def record_report(state: ChoiceState, node: NodeId, report: LoadReport, now: float) -> None:
    """Take in a server's report, from an answer, a refusal or a probe's reply."""
    view = state.servers.get(node)
    if view is None:
        return
    view.load = float(report.in_flight + report.queued)
    view.limit = float(max(1, report.limit))
    view.service_s = report.service_time_us / 1e6
    view.accepting = report.accepting
    view.reported_at = now
    view.sent_since = _count_on_the_way(view, now)
    filled = view.load / view.limit
    if view.distance is Distance.OTHER_REGION:
        state.usual_far_load += USUAL_MEMORY * (filled - state.usual_far_load)
    else:
        state.usual_load += USUAL_MEMORY * (filled - state.usual_load)
    # A slow server must not become the usual: its reports count no more than twice the usual.
    service_s = min(view.service_s, 2.0 * state.usual_service_s)
    state.usual_service_s += USUAL_MEMORY * (service_s - state.usual_service_s)


def record_outcome(
    state: ChoiceState,
    node: NodeId,
    call_id: CallId,
    outcome: Outcome,
    reason: Reason,
    now: float,
    jitter: float = 0.5,
) -> None:
    """Take in how a call ended; a call that isn't known at this server is passed over."""
    view = state.servers.get(node)
    sent = view.sent.pop(call_id, None) if view else None
    if sent is None:
        return
    _learn_from(state, view, sent, outcome, reason, now)
    end_call(view.latency, now, counts=outcome is Outcome.ANSWERED)
    if is_error(outcome, reason):
        certain = reason is Reason.CONNECT_FAILED
        record_error(view.trust, now, state.calls, jitter, certain)
    elif outcome is Outcome.ANSWERED:
        record_success(view.trust)
        view.refusals_in_row = 0
    else:
        end_trial(view.trust)
        if reason in FULL_REASONS:
            _note_refusal(state, view, now)
    if reason is Reason.LEAVING:
        view.accepting = False


@dataclass(slots=True)
class Candidate:
    """A server and the time in which its answer is expected."""

    view: ServerView
    cost_s: float


def estimate_cost(state: ChoiceState, view: ServerView, now: float) -> float:
    """Return the expected time until the answer of a call sent now, errors counted in."""
    settings = state.settings
    load = _estimate_load(state, view, now)
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


def _get_freshness(state: ChoiceState, view: ServerView, now: float) -> float:
    age_s = max(0.0, now - view.reported_at)
    return exp(-age_s * 1e3 / state.settings.report_life_ms)


def _foretell(state: ChoiceState, view: ServerView, now: float) -> float:
    # The aged report's deviation from the usual, before it is weighed by the faith in it.
    load = view.load / view.limit - state.usual_load
    service = view.service_s / state.usual_service_s - 1.0
    if abs(service) < SERVICE_NOISE - 1.0:
        service = 0.0
    return _get_freshness(state, view, now) * min(MOST_DELAY, load + service)


def _learn_from(
    state: ChoiceState, view: ServerView, sent: Sent, outcome: Outcome, reason: Reason, now: float
) -> None:
    if view.distance is Distance.OTHER_REGION:
        return
    if outcome is Outcome.ANSWERED:
        delay_s = now - sent.at - view.round_trip_s
        met = min(MOST_DELAY, delay_s / state.usual_service_s - 1.0)
    elif reason in FULL_REASONS:
        met = MOST_DELAY
    else:
        return
    record_delay(state.faith, sent.foretold, met)


def _estimate_load(state: ChoiceState, view: ServerView, now: float) -> float:
    is_far = view.distance is Distance.OTHER_REGION
    usual = (state.usual_far_load if is_far else state.usual_load) * view.limit
    fresh = _get_freshness(state, view, now)
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
    weight = _get_freshness(state, view, now) * get_faith(state.faith)
    return usual_s * (1.0 + (ratio - 1.0) * weight)


def _estimate_from_own_calls(view: ServerView, now: float) -> float:
    # Own calls that hang are evidence that no report has brought yet.
    if not view.sent:
        return 0.0
    return 0.7 * estimate_time(view.latency, now)


def _note_refusal(state: ChoiceState, view: ServerView, now: float) -> None:
    full_s = state.settings.full_ms / 1e3
    if view.distance is Distance.OTHER_REGION:
        # Asking a full region again costs a paid round trip, so the pause grows.
        view.refusals_in_row += 1
        doublings = min(view.refusals_in_row, FAR_FULL_DOUBLINGS)
        full_s = view.round_trip_s * 2.0**doublings
    view.full_until = now + full_s


def _has_room(state: ChoiceState, view: ServerView, now: float) -> bool:
    # A region that queues its own calls has no room for those of the other.
    if now < view.full_until:
        return False
    return _estimate_load(state, view, now) < view.limit * FAR_ROOM


def _make_view(state: ChoiceState, place: ServerPlace, now: float) -> ServerView:
    settings = state.settings
    if place.region != state.region:
        distance, round_trip_ms = Distance.OTHER_REGION, settings.other_region_ms
    elif place.failure_domain != state.failure_domain:
        distance, round_trip_ms = Distance.SAME_REGION, settings.same_region_ms
    else:
        distance, round_trip_ms = Distance.SAME_DOMAIN, settings.same_domain_ms
    expected_s = settings.expected_ms / 1e3
    limit = float(settings.expected_limit)
    return ServerView(
        place=place,
        distance=distance,
        round_trip_s=round_trip_ms / 1e3,
        latency=make_service_time(expected_s + round_trip_ms / 1e3, now),
        service_s=expected_s,
        load=state.usual_load * limit,
        limit=limit,
    )


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
            not view.accepting
            or view.place.node in exclude
            or is_paused(view.trust, now, state.calls)
        ):
            continue
        if is_trial_due(view.trust, now, state.calls):
            return Candidate(view, 0.0)
        cost_s = estimate_cost(state, view, now)
        # Differences too small to matter are left to chance, so that entries spread.
        # Among equals the servers take turns.
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
    # The margin stands once on each side, so that a near tie doesn't flip with each call.
    margin_s = state.settings.crossing_margin_ms / 1e3
    if state.crossing:
        margin_s = -margin_s
    gain_s = near.cost_s - far.cost_s - margin_s
    state.crossing = gain_s > 0.0
    # The more is gained, the more calls cross: news of the far region comes late, and if all
    # crossed at the first gain, both regions would be too full in turns.
    return far if gain_s > CROSSING_BAND_S * random.random() else near


def _pick_paused(state: ChoiceState, now: float, exclude: Collection[NodeId]) -> Candidate | None:
    # When every server is paused, errors say more about the calls than about the servers.
    views = [view for view in state.servers.values() if view.accepting]
    views = [view for view in views if view.place.node not in exclude]
    views = [view for view in views if not view.trust.on_trial] or views
    if not views:
        return None
    return min(
        (Candidate(view, estimate_cost(state, view, now)) for view in views),
        key=lambda candidate: candidate.cost_s,
    )


def _count_on_the_way(view: ServerView, now: float) -> int:
    # The report left the gate half a round trip ago; later calls of ours aren't in it.
    sent_after = now - view.round_trip_s
    count = 0
    for sent in reversed(view.sent.values()):
        if sent.at < sent_after:
            break
        count += 1
    return count
