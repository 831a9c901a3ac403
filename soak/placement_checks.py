"""Checks of the calls that servers get: evacuated domains, home regions and cold servers.

Pure functions like those in ``soak.checks``.
"""

from collections import Counter, defaultdict
from collections.abc import Mapping

from soak.callers import CallResult
from soak.checks import ServerEvent
from soak.extension import COLD_PER_S, COLD_SERVICE, COLD_START_S, HOME_REGION
from soak.fleet import Evacuation, Member

MAX_EVACUATION_S = 5.0
"""Time within which the servers of an evacuated domain must get no calls; the users' bound."""

COLD_EXCESS = 1.5
COLD_SLACK = 8
"""The users' bound on the calls of a cold server in any second: factor and extra number."""


def check_evacuations(
    events: list[ServerEvent], evacuations: list[Evacuation], places: Mapping[str, Member]
) -> list[str]:
    """Report calls that reached the server of a domain too late after it was evacuated.

    Parameters
    ----------
    places
        Members by their number, which is part of the instance names of their servers.
    """
    return [
        f"{event.call_id}: {event.kind} at {event.instance} "
        f"{event.at - evacuation.accepted_at:.2f} s after {evacuation.domain} was evacuated"
        for evacuation in evacuations
        for event in events
        if event.kind in ("arrive", "run")
        and evacuation.accepted_at + MAX_EVACUATION_S < event.at < evacuation.removal_sent_at
        and find_member(event, places).domain == evacuation.domain
    ]


def check_home_regions(
    results: list[CallResult], events: list[ServerEvent], places: Mapping[str, Member]
) -> list[str]:
    """Report calls of the home route that reached a server of the other region."""
    home = {result.call_id for result in results if result.route == "home"}
    return [
        f"{event.call_id}: {event.kind} at {event.instance}, which is not in {HOME_REGION}"
        for event in events
        if event.call_id in home and find_member(event, places).region != HOME_REGION
    ]


def check_cold_starts(events: list[ServerEvent], places: Mapping[str, Member]) -> list[str]:
    """Report servers that got too many calls in a second in which they were cold."""
    cold = [event for event in events if find_member(event, places).service == COLD_SERVICE]
    misdirected = Counter(
        (event.instance, event.call_id) for event in cold if event.kind == "misdirected"
    )
    started_at = {event.instance: event.at for event in cold if event.kind == "start"}
    arrivals: dict[str, list[float]] = defaultdict(list)
    for event in sorted(cold, key=lambda event: event.at):
        is_cold = event.at < started_at.get(event.instance, 0.0) + COLD_START_S
        if event.kind != "arrive" or not is_cold:
            continue
        if misdirected[event.instance, event.call_id]:
            misdirected[event.instance, event.call_id] -= 1
        else:
            arrivals[event.instance].append(event.at)
    violations = []
    for instance, times in arrivals.items():
        most = max(sum(at <= other < at + 1.0 for other in times) for at in times)
        if most > COLD_PER_S * COLD_EXCESS + COLD_SLACK:
            violations.append(f"{instance}: {most} calls in a second while it was cold")
    return violations


def find_member(event: ServerEvent, places: Mapping[str, Member]) -> Member:
    """Return the member whose server logged an event."""
    return places[event.instance.split("-")[1]]
