"""An entry's state for the servers of one service.

The list of servers comes from membership; the state of servers that remain on it is kept.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ragwort_common import CallId, FailureDomain, NodeId, Region
from ragwort_flow import Distance, find_distance

from ragwort_policy._report_weight import ReportRegression
from ragwort_policy._server_health import ServerHealth
from ragwort_policy._service_time import ServiceTime, make_service_time

RECHECK_DELAY_S = 2.0


@dataclass(slots=True, frozen=True)
class ServerLocation:
    """A server of the service, its failure domain and its region."""

    node: NodeId
    failure_domain: FailureDomain
    region: Region


@dataclass(slots=True, frozen=True)
class ChoiceSettings:
    """Parameters of the choice: initial assumptions, time constants and the sample size."""

    sample_size: int = 3
    expected_ms: float = 20.0
    expected_limit: int = 8
    same_domain_round_trip_ms: float = 0.4
    same_region_round_trip_ms: float = 2.0
    other_region_round_trip_ms: float = 60.0
    spillover_margin_ms: float = 10.0
    report_decay_ms: float = 100.0
    full_ms: float = 80.0


@dataclass(slots=True)
class SentCall:
    """A call in flight: when it was sent, and the delay predicted from the server's report."""

    sent_at: float
    predicted_delay: float


@dataclass(slots=True, eq=False)
class ServerView:
    """An entry's view of one server."""

    location: ServerLocation
    distance: Distance
    round_trip_s: float
    latency: ServiceTime
    service_s: float
    load: float
    limit: float
    reported_at: float = -1e9
    accepting: bool = True
    stopped_accepting_at: float = -1e9
    probed_at: float = -1e9
    full_until: float = -1e9
    consecutive_refusals: int = 0
    sent_since_report: int = 0
    last_call_number: int = -1000
    in_flight: dict[CallId, SentCall] = field(default_factory=dict)
    health: ServerHealth = field(default_factory=ServerHealth)


@dataclass(slots=True)
class ChoiceState:
    """An entry's view of all servers of one service, and moving averages of their reports."""

    settings: ChoiceSettings
    failure_domain: FailureDomain
    region: Region
    servers: dict[NodeId, ServerView] = field(default_factory=dict)
    near: list[ServerView] = field(default_factory=list)
    far: list[ServerView] = field(default_factory=list)
    mean_load: float = 0.5
    mean_far_load: float = 0.5
    mean_service_s: float = 0.0
    spillover: bool = False
    calls: int = 0
    regression: ReportRegression = field(default_factory=ReportRegression)


def make_choice_state(
    settings: ChoiceSettings, failure_domain: FailureDomain, region: Region
) -> ChoiceState:
    """Return the state of an entry in this failure domain and region."""
    state = ChoiceState(settings, failure_domain, region)
    state.mean_service_s = settings.expected_ms / 1e3
    return state


def update_servers(state: ChoiceState, locations: Iterable[ServerLocation], now: float) -> None:
    """Set the servers that may be chosen; the state of those that remain is kept."""
    known = state.servers
    state.servers = {}
    for location in locations:
        view = known.get(location.node)
        if view is None or view.location != location:
            view = _make_view(state, location, now)
        state.servers[location.node] = view
    views = state.servers.values()
    state.near = [view for view in views if view.distance is not Distance.OTHER_REGION]
    state.far = [view for view in views if view.distance is Distance.OTHER_REGION]


def _make_view(state: ChoiceState, location: ServerLocation, now: float) -> ServerView:
    settings = state.settings
    distance = find_distance(
        (state.failure_domain, state.region), (location.failure_domain, location.region)
    )
    round_trips_ms = {
        Distance.SAME_DOMAIN: settings.same_domain_round_trip_ms,
        Distance.SAME_REGION: settings.same_region_round_trip_ms,
        Distance.OTHER_REGION: settings.other_region_round_trip_ms,
    }
    round_trip_ms = round_trips_ms[distance]
    expected_s = settings.expected_ms / 1e3
    limit = float(settings.expected_limit)
    return ServerView(
        location=location,
        distance=distance,
        round_trip_s=round_trip_ms / 1e3,
        latency=make_service_time(expected_s + round_trip_ms / 1e3, now),
        service_s=expected_s,
        load=state.mean_load * limit,
        limit=limit,
    )


def set_accepting(view: ServerView, accepting: bool, now: float) -> None:
    """Record whether a server reports that it accepts calls."""
    view.accepting = accepting
    if not accepting:
        view.stopped_accepting_at = now


def is_accepting(view: ServerView, now: float) -> bool:
    """Return whether a server may accept calls.

    A server that stopped accepting calls is tried again after a while, since an entry that sends
    it no calls may never learn that it accepts them again. If it doesn't, it refuses the call as
    not run.
    """
    return view.accepting or now - view.stopped_accepting_at > RECHECK_DELAY_S
