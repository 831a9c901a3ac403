import json

import pytest
from ragwort_model import CallerLimits, InputError, WeightedService
from ragwort_platform import decode_configuration

ROUTE = {
    "host": "h.example",
    "pathPrefix": "/a/",
    "kind": "non_idempotent",
    "timeoutMs": 1000,
    "targetLatencyMs": 400,
    "priority": 1,
    "service": "s",
    "maxAttempts": 2,
}


def decode(route=None, **fields):
    content = {"version": "r12", "routes": {"a": route or ROUTE}, **fields}
    return decode_configuration(json.dumps(content).encode())


def test_route_fields_are_decoded():
    configuration = decode()
    assert configuration.version == 12
    route = configuration.routes[0]
    assert (route.name, route.host, route.prefix) == ("a", "h.example", "/a/")
    assert not route.idempotent
    assert (route.max_servers, route.timeout_ms, route.objective_ms, route.rank) == (
        2,
        1000,
        400,
        1,
    )
    assert route.parts == (WeightedService("s", 1.0),)


def test_split_keeps_the_order_of_its_parts():
    split = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    route = {key: value for key, value in ROUTE.items() if key != "service"}
    parts = decode({**route, "split": split}).routes[0].parts
    assert parts == (WeightedService("s", 90), WeightedService("t", 10))


def test_only_kind_idempotent_makes_a_route_idempotent():
    assert decode({**ROUTE, "kind": "idempotent"}).routes[0].idempotent
    assert not decode({**ROUTE, "kind": "anything"}).routes[0].idempotent


def test_limits_are_decoded_and_have_defaults():
    limits = {
        "maxHeaderBytes": 1,
        "maxBodyBytes": 2,
        "headerTimeoutMs": 3,
        "idleTimeoutMs": 4,
    }
    assert decode(limits=limits).limits == CallerLimits(1, 2, 3, 4)
    assert decode().limits == CallerLimits()


@pytest.mark.parametrize(
    ("route", "part"),
    [
        ({**ROUTE, "service": None}, "route 'a' has no service"),
        ({**ROUTE, "host": 1}, "host"),
        ({**ROUTE, "split": [{"service": "s", "weight": 0}]}, "no part with a positive weight"),
    ],
)
def test_error_names_the_invalid_item(route, part):
    error = decode(route)
    assert isinstance(error, InputError)
    assert part in str(error)


@pytest.mark.parametrize("version", ["12", "r", "rx", "v3"])
def test_version_of_another_form_is_rejected(version):
    content = {"version": version, "routes": {}}
    assert isinstance(decode_configuration(json.dumps(content).encode()), InputError)
