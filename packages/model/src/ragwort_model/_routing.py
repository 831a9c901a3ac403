"""Route lookup: finds the route with the longest matching prefix among those of a host."""

from collections.abc import Callable

from ragwort_model._configuration import Configuration, Route

FindRoute = Callable[[str, str], Route | None]
"""Returns the route for a host and a path without query string, or None."""


def build_route_finder(configuration: Configuration) -> FindRoute:
    """Return a function that finds the route of a call.

    Every prefix ends with a slash, so only the leading parts of the path that end with a slash
    can match. They are looked up from the longest to the shortest.
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
