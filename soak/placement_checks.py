"""Checks of where calls run: evacuated failure domains and home regions.

Pure functions like those in ``soak.checks``.
"""

from collections.abc import Mapping

from soak.callers import CallResult
from soak.checks import ServerEvent
from soak.extension import HOME_REGION
from soak.fleet import Evacuation, Member

MAX_EVACUATION_S = 5.0
"""Time within which the servers of an evacuated domain must get no calls; the users' bound."""


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


def find_member(event: ServerEvent, places: Mapping[str, Member]) -> Member:
    """Return the member whose server logged an event."""
    return places[event.instance.split("-")[1]]
