import json

import pytest
from ragwort_model import CallerLimits, ColdStart, InputError, WeightedService
from ragwort_platform import decode_configuration, digest_key, redact_keys

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


TENANTS = {
    "a": {"apiKeys": ["ka", "kb"], "priority": 1, "ratePerS": 5, "burst": 2},
    "b": {"apiKeys": ["kc"], "allowedRegions": ["north"]},
}


def test_customers_are_decoded_with_digests_of_their_keys():
    configuration = decode(tenants=TENANTS)
    first, second = configuration.customers["a"], configuration.customers["b"]
    assert (first.rank, first.calls_per_s, first.burst) == (1, 5, 2)
    assert (second.rank, second.calls_per_s, second.allowed_regions) == (None, None, {"north"})
    assert configuration.customer_by_key == {
        digest_key(b"ka"): "a",
        digest_key(b"kb"): "a",
        digest_key(b"kc"): "b",
    }


@pytest.mark.parametrize("tenant", [{"apiKeys": ["ka"]}, {"ratePerS": -1}, {"burst": -1}])
def test_a_shared_key_or_a_negative_limit_makes_the_configuration_invalid(tenant):
    assert isinstance(decode(tenants={**TENANTS, "c": tenant}), InputError)


def test_a_redacted_configuration_holds_no_key_and_decodes_to_the_same_customers():
    content = json.dumps({"version": "r12", "routes": {"a": ROUTE}, "tenants": TENANTS}).encode()
    redacted = redact_keys(content)
    assert b"ka" not in redacted and b"kc" not in redacted
    assert decode_configuration(redacted) == decode_configuration(content)
    assert redact_keys(redacted) == redacted


def test_a_name_spelled_with_escapes_does_not_keep_a_key_from_redaction():
    content = b'{"t\\u0065nants": {"a": {"api\\u004beys": ["key-1"]}}}'
    assert b"key-1" not in redact_keys(content)


@pytest.mark.parametrize("name", ["", "a\r\nx: y"])
def test_a_customer_whose_name_breaks_a_header_field_makes_the_configuration_invalid(name):
    assert isinstance(decode(tenants={name: {}}), InputError)


def test_content_without_customers_is_not_changed_by_redaction():
    assert redact_keys(b"{}") == b"{}"
    assert redact_keys(b'{"tenants": 3}') == b'{"tenants": 3}'


def test_cold_starts_are_decoded_for_services_that_set_a_rate():
    services = {"s": {"coldStartS": 4, "coldPerS": 10}, "t": {"coldStartS": 4}}
    (cold_start,) = decode(services=services).cold_starts.items()
    assert cold_start == ("s", ColdStart(4, 10))


def test_allowed_regions_and_the_exemption_from_keys_are_decoded():
    route = decode({**ROUTE, "allowedRegions": ["n"], "authExempt": True}).routes[0]
    assert route.allowed_regions == {"n"} and not route.needs_key
    assert decode().routes[0].needs_key and not decode().routes[0].allowed_regions


def test_nested_content_is_rejected_with_an_error_and_has_no_keys_to_redact():
    # The decoder's error for deep nesting is not one of its own, and ended the node.
    content = b'{"version":"r1","routes":{},"tenants":%s}' % (b"[" * 3000 + b"]" * 3000)
    assert isinstance(decode_configuration(content), InputError)
    assert redact_keys(content) == content
