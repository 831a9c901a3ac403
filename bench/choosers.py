"""The policy under test and the baselines, behind one interface.

All of them have the same gates (limit, queue, refusals), the same retry rules and retry budget
and the same list of servers, and all try servers in the entry's own region first. A baseline
leaves its region only for a further attempt, when it has tried every server there. Least reported
load is also measured in its plain form, which ignores regions.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from random import Random

from ragwort_common import CallId, FailureDomain, NodeId, Outcome, Reason, Region
from ragwort_policy import (
    ChoiceSettings,
    ProbeSettings,
    ServerLocation,
    choose_server,
    make_choice_state,
    make_probe_budget,
    plan_probe,
    record_outcome,
    record_report,
    record_sent,
    update_servers,
)
from ragwort_protocol import LoadReport

POLL_INTERVAL_S = 0.010


@dataclass(slots=True, frozen=True)
class Chooser:
    """The callbacks by which an entry chooses servers and records reports and outcomes."""

    choose: Callable[[float, Collection[NodeId]], NodeId | None]
    record_sent: Callable[[NodeId, CallId, float], None]
    record_report: Callable[[NodeId, LoadReport, float], None]
    record_outcome: Callable[[NodeId, CallId, Outcome, Reason, float], None]
    update: Callable[[list[ServerLocation], float], None]
    plan_probe: Callable[[float], NodeId | None]
    poll_interval_s: float = 0.0
    uses_reports: bool = False


def ignore(*_: object) -> None:
    """Discard an event that a baseline does not use."""


@dataclass(slots=True)
class ServerLists:
    """The servers that a baseline chooses from: ``near`` in its own region, ``far`` elsewhere."""

    near: list[NodeId]
    far: list[NodeId]


def _track_servers(
    region: Region | None,
) -> tuple[ServerLists, Callable[[list[ServerLocation], float], None]]:
    lists = ServerLists([], [])

    def update(locations: list[ServerLocation], _: float) -> None:
        near = [location.node for location in locations if region in (None, location.region)]
        lists.near = near
        lists.far = [location.node for location in locations if location.node not in near]

    return lists, update


def _list_candidates(lists: ServerLists, exclude: Collection[NodeId]) -> list[NodeId]:
    near = [node for node in lists.near if node not in exclude]
    return near or [node for node in lists.far if node not in exclude]


def make_random(domain: FailureDomain, region: Region, random: Random) -> Chooser:
    """Choose a server of the region at random."""
    lists, update = _track_servers(region)

    def choose(_: float, exclude: Collection[NodeId]) -> NodeId | None:
        nodes = _list_candidates(lists, exclude)
        return random.choice(nodes) if nodes else None

    return Chooser(choose, ignore, ignore, ignore, update, ignore)


def make_round_robin(domain: FailureDomain, region: Region, random: Random) -> Chooser:
    """Choose the servers of the region in turn, starting at a random one."""
    lists, update = _track_servers(region)
    turn = random.randrange(1000)

    def choose(_: float, exclude: Collection[NodeId]) -> NodeId | None:
        nonlocal turn
        turn += 1
        nodes = _list_candidates(lists, exclude)
        return nodes[turn % len(nodes)] if nodes else None

    return Chooser(choose, ignore, ignore, ignore, update, ignore)


def make_plain_least_load(domain: FailureDomain, region: Region, random: Random) -> Chooser:
    """Choose the server with the fewest calls in its last polled report, in any region."""
    return _make_least_load(None, random)


def make_least_load(domain: FailureDomain, region: Region, random: Random) -> Chooser:
    """Choose the server of the region with the fewest running and queued calls when last polled."""
    return _make_least_load(region, random)


def _make_least_load(region: Region | None, random: Random) -> Chooser:
    lists, update = _track_servers(region)
    reports: dict[NodeId, LoadReport] = {}

    def choose(_: float, exclude: Collection[NodeId]) -> NodeId | None:
        nodes = _list_candidates(lists, exclude)
        accepting = [node for node in nodes if node not in reports or reports[node].accepting]
        nodes = accepting or nodes
        return min(nodes, key=rank) if nodes else None

    def rank(node: NodeId) -> tuple[int, float]:
        report = reports.get(node)
        return (report.in_flight + report.queued if report else 0, random.random())

    def on_report(node: NodeId, report: LoadReport, _: float) -> None:
        reports[node] = report

    return Chooser(
        choose,
        ignore,
        on_report,
        ignore,
        update,
        ignore,
        poll_interval_s=POLL_INTERVAL_S,
        uses_reports=True,
    )


def make_policy(
    settings: ChoiceSettings, probes: ProbeSettings, bytes_per_s: float, far_bytes_per_s: float
) -> Callable[[FailureDomain, Region, Random], Chooser]:
    """Return a factory of choosers that use the policy with these settings and probe budgets."""

    def make(domain: FailureDomain, region: Region, random: Random) -> Chooser:
        state = make_choice_state(settings, domain, region)
        budget = make_probe_budget(bytes_per_s, 0.0)
        far_budget = make_probe_budget(far_bytes_per_s, 0.0)

        def choose(now: float, exclude: Collection[NodeId]) -> NodeId | None:
            return choose_server(state, now, random, exclude)

        def on_sent(node: NodeId, call_id: CallId, now: float) -> None:
            record_sent(state, node, call_id, now)

        def on_report(node: NodeId, report: LoadReport, now: float) -> None:
            record_report(state, node, report, now)

        def on_outcome(
            node: NodeId, call_id: CallId, outcome: Outcome, reason: Reason, now: float
        ) -> None:
            record_outcome(state, node, call_id, outcome, reason, now, random.random())

        def update(locations: list[ServerLocation], now: float) -> None:
            update_servers(state, locations, now)

        def plan_next_probe(now: float) -> NodeId | None:
            return plan_probe(state, budget, far_budget, probes, now)

        return Chooser(
            choose, on_sent, on_report, on_outcome, update, plan_next_probe, uses_reports=True
        )

    return make
