"""Customers and their keys: the lookup, and calls through complete nodes."""

import json
from dataclasses import replace

import pytest
from helper import wait_until
from mesh_cluster import make_configuration, make_route, run_scenario
from ragwort_common import Outcome, Reason
from ragwort_mesh._customers import CallTerms, find_call_terms
from ragwort_model import Configuration, Customer, Route, WeightedService
from ragwort_platform import digest_key
from ragwort_transport import make_refusal

ROUTE = Route("a", "h", "/a/", (WeightedService("s", 1.0),), True, 1, 100.0, 50.0, 2)
CUSTOMERS = {
    "gold": Customer("gold", 0, allowed_regions=frozenset({"r1", "r2"})),
    "plain": Customer("plain"),
    "low": Customer("low", 1),
}
KEYS = {digest_key(name.encode()): name for name in CUSTOMERS}
CONFIGURATION = Configuration(1, (ROUTE,), customers=CUSTOMERS, customer_by_key=KEYS)


def find(key, configuration=CONFIGURATION, **fields):
    digest = digest_key(key) if key is not None else None
    return find_call_terms(configuration, replace(ROUTE, **fields), digest)


@pytest.mark.parametrize("key", [None, b"", b"nobody"])
def test_call_without_a_key_that_a_customer_holds_is_refused_unless_its_route_is_exempt(key):
    assert find(key) is None
    assert find(key, needs_key=False) == CallTerms(True, None, 2, None)


def test_key_counts_for_nothing_on_an_exempt_route_or_without_customers():
    assert find(b"gold", needs_key=False).customer is None
    assert find(b"gold", Configuration(1)) == CallTerms()


def test_rank_orders_by_the_customer_and_then_by_the_route():
    terms = [find(name, rank=rank) for name in (b"gold", b"low") for rank in (0, 2, 10**6)]
    assert [term.rank for term in terms] == [0, 2, 999, 1000, 1002, 1999]
    assert find(b"plain", rank=2).rank == 2
    assert find(b"gold", Configuration(1), rank=2).rank is None


@pytest.mark.parametrize(
    ("key", "regions", "expected"),
    [
        (b"plain", (), None),
        (b"plain", ("r1",), {"r1"}),
        (b"gold", (), {"r1", "r2"}),
        (b"gold", ("r2", "r3"), {"r2"}),
        (b"gold", ("r3",), set()),
    ],
)
def test_allowed_regions_of_customer_and_route_are_intersected(key, regions, expected):
    assert find(key, allowed_regions=frozenset(regions)).allowed_regions == expected
    route_only = find(key, Configuration(1), allowed_regions=frozenset(regions))
    assert route_only.allowed_regions == (set(regions) or None)


def make_tenants(**keys):
    return {name: {"apiKeys": [key], "priority": 1} for name, key in keys.items()}


async def configure(cluster, version, tenants):
    routes = {
        "a": make_route("s", priority=2),
        "b": make_route("t", "/b/", "non_idempotent", priority=2),
        "open": make_route("s", "/open/", authExempt=True),
    }
    content = {**make_configuration(version, routes), "tenants": tenants}
    await cluster.store.put("config", "main", content)
    await wait_until(
        lambda: all(
            member.node._configuration.current is not None
            and member.node._configuration.current.version == version
            for member in cluster.members
        )
    )


def authorize(key, **fields):
    return {"Authorization": f"Bearer {key}", **fields}


def read_lines(member, event):
    lines = [json.loads(line) for line in list(member.node._telemetry.events._queue.queue)]
    return [line for line in lines if line["event"] == event]


def test_server_gets_the_customer_and_neither_the_key_nor_a_forged_name():
    async def scenario(cluster):
        await configure(cluster, 1, make_tenants(acme="k-1"))
        await cluster.wait_until_linked()
        entry, other = cluster.members
        forged = authorize("k-1", **{"RAGWORTVALVE-TENANT-ID": "x"})
        for path, method, member in (("/a/x", "GET", entry), ("/b/x", "POST", other)):
            status, _, _ = await cluster.call(entry, path, method, headers=forged)
            assert status == 200
            seen = member.application.requests[-1].headers
            assert seen.getall("Ragwortvalve-Tenant-Id") == ["acme"]
            assert "Authorization" not in seen
            (line,) = read_lines(member, "gate")
            assert (line["customer"], line["rank"]) == ("acme", 1002)
        assert [line["customer"] for line in read_lines(entry, "entry")] == ["acme", "acme"]
        metrics = entry.node._telemetry.render().decode()
        assert 'ragwortvalve_customer_calls_total{customer="acme"} 2\n' in metrics
        assert 'ragwortvalve_customer_refused_total{customer="acme"} 0\n' in metrics

    run_scenario(scenario, ("s", "t"))


def test_refusals_come_in_the_order_503_404_401():
    async def scenario(cluster):
        (member,) = cluster.members
        assert (await cluster.call(member))[0] == 503
        await configure(cluster, 1, make_tenants(acme="k-1"))
        assert (await cluster.call(member, "/none/"))[0] == 404
        for headers in ({}, authorize("k-2"), {"Authorization": "k-1"}):
            status, fields, _ = await cluster.call(member, headers=headers)
            assert (status, fields["WWW-Authenticate"]) == (401, "Bearer")
            assert "Retry-After" not in fields
        lines = [line for line in read_lines(member, "entry") if line["status"] == 401]
        assert [line["key"] for line in lines] == ["", digest_key(b"k-2")[:4].hex(), ""]
        assert {line["refused_route"] for line in lines} == {"a"}
        assert not member.application.arrivals["c1"]

    run_scenario(scenario)


def test_call_on_an_exempt_route_carries_no_customer_whatever_it_sent():
    async def scenario(cluster):
        await configure(cluster, 1, make_tenants(acme="k-1"))
        (member,) = cluster.members
        for headers in ({}, authorize("k-1"), authorize("k-2")):
            headers = {**headers, "Ragwortvalve-Tenant-Id": "acme"}
            assert (await cluster.call(member, "/open/x", headers=headers))[0] == 200
            seen = member.application.requests[-1].headers
            assert "Ragwortvalve-Tenant-Id" not in seen and "Authorization" not in seen
        assert all("customer" not in line for line in read_lines(member, "gate"))

    run_scenario(scenario)


def test_headers_pass_unchanged_without_customers():
    async def scenario(cluster):
        await configure(cluster, 1, {})
        (member,) = cluster.members
        sent = authorize("k-1", **{"Ragwortvalve-Tenant-Id": "x"})
        assert (await cluster.call(member, headers=sent))[0] == 200
        seen = member.application.requests[-1].headers
        assert {name: seen[name] for name in sent} == sent
        assert read_lines(member, "gate")[0]["rank"] == 2
        assert b"customer" not in member.node._telemetry.render()

    run_scenario(scenario)


def test_new_version_admits_and_refuses_keys_on_open_connections():
    async def scenario(cluster):
        for version, good, gone in ((1, "k-1", "k-2"), (2, "k-2", "k-1")):
            await configure(cluster, version, make_tenants(acme=good))
            for member in cluster.members:
                # The session of the cluster keeps its connections open.
                assert (await cluster.call(member, headers=authorize(good)))[0] == 200
                assert (await cluster.call(member, headers=authorize(gone)))[0] == 401

    run_scenario(scenario, ("s", "s"))


def test_document_with_keys_from_a_node_that_does_not_redact_is_kept_without_them():
    async def scenario(cluster):
        (member,) = cluster.members
        content = {**make_configuration(1, {}), "tenants": make_tenants(acme="k-1")}
        active = member.node._configuration
        active.apply_document(7, json.dumps(content).encode(), "n9")
        assert active.current.customer_by_key == {digest_key(b"k-1"): "acme"}
        assert b"k-1" not in active.content
        # The same revision from the store, with keys, is still recognized as the one in force.
        kept = active.content
        active.apply_document(7, json.dumps(content).encode(), "store")
        assert active.content is kept

    run_scenario(scenario)


def test_refusal_by_a_limit_is_429_with_a_retry_delay_and_counts_for_the_customer():
    async def scenario(cluster):
        await configure(cluster, 1, make_tenants(acme="k-1"))
        (member,) = cluster.members

        async def refuse(call, progress):
            return make_refusal(Outcome.NOT_RUN, Reason.CUSTOMER_LIMIT, 200)

        member.node._dispatcher.run_call = refuse
        status, headers, _ = await cluster.call(member, headers=authorize("k-1"))
        assert status == 429 and 0.2 <= float(headers["Retry-After"]) <= 0.3
        metrics = member.node._telemetry.render().decode()
        assert 'ragwortvalve_customer_refused_total{customer="acme"} 1\n' in metrics

    run_scenario(scenario)
