from hypothesis import given
from hypothesis import strategies as st
from ragwort_model import Configuration, Route, WeightedService, build_route_finder

SEGMENTS = st.sampled_from(["a", "b", "ab", ""])
PATHS = st.lists(SEGMENTS, max_size=4).map(lambda parts: "/" + "/".join(parts))
PREFIXES = PATHS.map(lambda path: path if path.endswith("/") else path + "/")
HOSTS = st.sampled_from(["h.example", "g.example"])


def make_route(host, prefix):
    return Route(
        f"{host}{prefix}", host, prefix, (WeightedService("s", 1.0),), True, 1, 1.0, 1.0, 0
    )


def find_naively(routes, host, path):
    matching = [route for route in routes if route.host == host and path.startswith(route.prefix)]
    return max(matching, key=lambda route: len(route.prefix), default=None)


@given(st.lists(st.tuples(HOSTS, PREFIXES), unique=True, max_size=8), HOSTS, PATHS)
def test_the_longest_matching_prefix_of_the_host_is_found(keys, host, path):
    routes = tuple(make_route(*key) for key in keys)
    find_route = build_route_finder(Configuration(1, routes))
    assert find_route(host, path) == find_naively(routes, host, path)


def test_a_host_is_matched_without_its_port_and_case_insensitively():
    route = make_route("h.example", "/a/")
    find_route = build_route_finder(Configuration(1, (route,)))
    assert find_route("H.Example:8080", "/a/x") == route
    assert find_route("h.example", "/a") is None
    assert find_route("h.example", "/ab/") is None
