"""Explains where a call would go now, and why, without sending it."""

import random
from dataclasses import dataclass, field, replace

import msgspec
from ragwort_common import CustomerName, Region, ServiceName
from ragwort_flow import (
    Eligibility,
    Target,
    check_eligibility,
    choose_target,
    estimate_response_time,
    explain_absence,
    list_eligible,
)
from ragwort_model import Route

from ragwort_mesh._configuration import ActiveConfiguration
from ragwort_mesh._customers import find_customer_terms
from ragwort_mesh._dispatcher import Dispatcher, PlacementInputs


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server of the service.

    Attributes
    ----------
    state
        ``eligible``, or why the call can't go there: ``away`` from its home regions, ``evacuated``,
        ``suspended`` because the server refuses calls or its node was out of reach, ``unreachable``
        because its node is not linked.
    expected_ms
        Expected response time; None for a node that is not linked.
    running, waiting, limit, failing_percent, report_age_ms
        Its latest load report and the age of it; None without one.
    """

    node: str
    state: str
    failure_domain: str = ""
    distance: str = ""
    expected_ms: float | None = None
    running: int | None = None
    waiting: int | None = None
    limit: int | None = None
    failing_percent: int | None = None
    report_age_ms: float | None = None


@dataclass(frozen=True, slots=True)
class PlacementExplanation:
    """Where a call to one service would go.

    Attributes
    ----------
    weight
        Fraction of the route's calls that go to the service.
    chosen
        Node of the server that one choice gave, None if there is none. Where several are about as
        good, the next call may go to another.
    reason
        Whether the response is expected ``in-time`` or ``late``, or why there is no server.
    """

    service: str
    weight: float
    chosen: str | None
    reason: str
    candidates: list[Candidate]


@dataclass(frozen=True, slots=True)
class CallExplanation:
    """Where a call would go.

    Attributes
    ----------
    refusal
        Why the call would be refused before a server is chosen, empty if it would not.
    version
        Version of the configuration in force, 0 without one.
    objective_ms
        Latency objective of the route.
    allowed_regions
        Home regions of the call, None if it has none.
    """

    refusal: str
    version: int = 0
    route: str = ""
    objective_ms: float = 0.0
    rank: int = 0
    allowed_regions: list[str] | None = None
    placements: list[PlacementExplanation] = field(default_factory=list)


def explain_call(
    configuration: ActiveConfiguration,
    dispatcher: Dispatcher,
    host: str,
    path: str,
    customer: CustomerName,
) -> bytes:
    """Return a ``CallExplanation`` as JSON; ``customer`` is empty for a call without a key.

    The customer's limit is not looked at, since asking would count as a call.
    """
    return msgspec.json.encode(_explain(configuration, dispatcher, host, path, customer))


def _explain(
    configuration: ActiveConfiguration,
    dispatcher: Dispatcher,
    host: str,
    path: str,
    customer: CustomerName,
) -> CallExplanation:
    current, find_route = configuration.current, configuration.get_route_finder()
    if current is None or find_route is None:
        return CallExplanation("not-ready")
    route = find_route(host, path.partition("?")[0])
    if route is None:
        return CallExplanation("no-route", current.version)
    name = customer if customer in current.customers else None
    terms = find_customer_terms(current, route, name)
    if terms is None:
        return CallExplanation("unknown-key", current.version, route.name)
    regions = terms.allowed_regions
    total = sum(part.weight for part in route.parts)
    placements = [
        _explain_placement(dispatcher, route, part.service, part.weight / total, regions)
        for part in route.parts
        if part.weight > 0
    ]
    return CallExplanation(
        refusal="",
        version=current.version,
        route=route.name,
        objective_ms=route.objective_ms,
        rank=route.rank if terms.rank is None else terms.rank,
        allowed_regions=None if regions is None else sorted(regions),
        placements=placements,
    )


def _explain_placement(
    dispatcher: Dispatcher,
    route: Route,
    service: ServiceName,
    weight: float,
    regions: frozenset[Region] | None,
) -> PlacementExplanation:
    inputs = dispatcher.get_placement_inputs(route, service)
    # A random source of its own, so that asking doesn't change where calls go.
    placement = choose_target(
        list_eligible(inputs.targets, regions, inputs.evacuated),
        inputs.now,
        random.Random(),
        (),
        inputs.work_s,
        route.objective_ms / 1000,
        inputs.body_kb,
    )
    if placement is None:
        reason = explain_absence(inputs.targets, regions, inputs.evacuated).value
    else:
        reason = placement.timing.value
    candidates = [_describe_target(target, inputs, regions) for target in inputs.targets]
    candidates.sort(key=lambda found: (found.state != "eligible", found.expected_ms or 0.0))
    candidates += [Candidate(node, "unreachable") for node in sorted(inputs.unreachable)]
    chosen = placement.target.node if placement is not None else None
    return PlacementExplanation(service, round(weight, 3), chosen, reason, candidates)


def _describe_target(
    target: Target, inputs: PlacementInputs, regions: frozenset[Region] | None
) -> Candidate:
    state = check_eligibility(target, regions, inputs.evacuated).value
    if state == Eligibility.ELIGIBLE.value and target.suspended_until > inputs.now:
        state = "suspended"
    expected_s = estimate_response_time(target, inputs.now, inputs.work_s)
    described = Candidate(
        target.node,
        state,
        target.failure_domain,
        target.distance.value,
        round(expected_s * 1000, 1),
    )
    report = target.report
    if report is None:
        return described
    return replace(
        described,
        running=report.in_flight + len(target.sent),
        waiting=report.queued,
        limit=report.limit,
        failing_percent=report.failing_percent,
        report_age_ms=round((inputs.now - target.reported_at) * 1000, 1),
    )
