"""Finds the route of a call: of its host's routes, the one with the longest fitting prefix."""

from collections.abc import Callable

from ragwort_model._configuration import Configuration, Route

FindRoute = Callable[[str, str], Route | None]
"""Returns the route of a host and a path without its query, or None."""


def build_route_finder(configuration: Configuration) -> FindRoute:
    """Return a function that finds the route of a call.

    Every prefix ends with a slash, so that the prefixes that fit a path are its own starts up to
    a slash; they are looked up from the longest to the shortest.
    """
    hosts: dict[str, dict[str, Route]] = {}
    for route in configuration.routes:
        hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def find_route(host: str, path: str) -> Route | None:
        prefixes = hosts.get(_strip_port(host).lower())
        if prefixes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    return find_route


def _strip_port(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host
