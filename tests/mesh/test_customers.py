"""Customers and their keys: the lookup, and calls through complete nodes."""

import json
import logging
from dataclasses import replace

import pytest
from helper import wait_until
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from mesh_cluster import HOST, make_configuration, make_route, run_scenario
from multidict import CIMultiDict
from ragwort_common import Outcome, Reason
from ragwort_mesh._customers import CallTerms, find_call_terms
from ragwort_mesh._events import EventHandler, EventLog
from ragwort_model import Configuration, Customer, Route, WeightedService
from ragwort_platform import digest_key
from ragwort_standins.application import fail, shed
from ragwort_transport import ClientPool, _link, make_refusal

ROUTE = Route("a", "h", "/a/", (WeightedService("s", 1.0),), True, 1, 100.0, 50.0, 2)
GOLD = Customer("gold", 0, allowed_regions=frozenset({"r1", "r2"}))
CUSTOMERS = {"gold": GOLD, "plain": Customer("plain"), "low": Customer("low", 1)}
KEYS = {digest_key(name.encode()): name for name in CUSTOMERS}
CONFIGURATION = Configuration(1, (ROUTE,), customers=CUSTOMERS, customer_by_key=KEYS)


def find(key, configuration=CONFIGURATION, regions=(), **fields):
    route = replace(ROUTE, allowed_regions=frozenset(regions), **fields)
    return find_call_terms(configuration, route, key and digest_key(key))


def test_call_needs_a_key_that_a_customer_holds_unless_its_route_is_exempt():
    for key in (None, b"nobody", b"gold"):
        assert (find(key) is None) == (key != b"gold")
        terms = find(key, needs_key=False)
        assert terms == (find(key) or CallTerms(True, None, 2, None))
        assert find(key, Configuration(1), ["r1"]) == CallTerms(False, None, None, {"r1"})


def test_rank_orders_by_the_customer_and_then_by_the_route():
    terms = [find(key, rank=rank) for key in (b"gold", b"low") for rank in (0, 2, 10**6)]
    assert [term.rank for term in terms] == [0, 2, 999, 1000, 1002, 1999]
    assert find(b"plain").rank == 2


def test_allowed_regions_of_customer_and_route_are_intersected():
    for key, regions, expected in (
        (b"plain", [], None),
        (b"plain", ["r1"], {"r1"}),
        (b"gold", [], {"r1", "r2"}),
        (b"gold", ["r2", "r3"], {"r2"}),
        (b"gold", ["r3"], set()),
    ):
        assert find(key, regions=regions).allowed_regions == expected


async def configure(cluster, version, *keys):
    """Store a version in which each key is that of another customer, and the last is in two."""
    holders = keys + keys[-1:] * (len(keys) > 1)
    tenants = {f"c{n}": {"apiKeys": [key], "priority": 1} for n, key in enumerate(holders)}
    routes = {"a": make_route("s", priority=2), "open": make_route("s", "/open/", authExempt=True)}
    content = {**make_configuration(version, routes), "tenants": tenants}
    await cluster.store.put("config", "main", content)


async def wait_for_version(cluster, version):
    nodes = [member.node._configuration for member in cluster.members]
    await wait_until(lambda: all(n.current and n.current.version == version for n in nodes))


def list_lines(cluster):
    return [line for m in cluster.members for line in list(m.node._telemetry.events._queue.queue)]


def test_headers_pass_unchanged_without_customers():
    async def scenario(cluster):
        await configure(cluster, 1)
        await wait_for_version(cluster, 1)
        sent = {"Authorization": "Bearer k-1", "Ragwortvalve-Tenant-Id": "x"}
        assert (await cluster.call(cluster.members[0], headers=sent))[0] == 200
        seen = cluster.members[0].application.requests[-1].headers
        assert {name: seen[name] for name in sent} == sent
        assert b'"customer"' not in b"".join(list_lines(cluster))

    run_scenario(scenario)


def test_refusal_by_a_limit_is_429_with_a_retry_delay_and_counts_for_the_customer():
    async def refuse(call, progress):
        return make_refusal(Outcome.NOT_RUN, Reason.CUSTOMER_LIMIT, 200)

    async def scenario(cluster):
        (member,) = cluster.members
        assert (await cluster.call(member))[0] == 503
        await configure(cluster, 1, "k-1")
        await wait_for_version(cluster, 1)
        member.node._dispatcher.run_call = refuse
        sent = {"Authorization": "Bearer k-1"}
        status, headers, _ = await cluster.call(member, headers=sent)
        assert status == 429 and 0.2 <= float(headers["Retry-After"]) <= 0.3
        assert b'customer_refused_total{customer="c0"} 1\n' in member.node._telemetry.render()

    run_scenario(scenario)


FORMS = ("Bearer {}", "bearer  {} ", "{}", "Basic {}", "Bearer {}, Bearer {}", "Bearer {} x")
CALL = st.tuples(
    st.sampled_from(("/a/x", "/open/x", "/none/x")),
    st.lists(st.sampled_from(FORMS), min_size=1, max_size=2),
    st.integers(0, 2),
    st.sampled_from((lambda request: None, fail, shed)),
)


async def send_calls(cluster, keys, calls, valid):
    """Send calls, and check who is served and what servers get."""
    with_customer = set()
    for number, (path, forms, index, behaviour) in enumerate(calls):
        headers = [("Host", HOST), ("RAGWORTVALVE-TENANT-ID", "forged")]
        headers += [("Authorization", form.format(keys[index], keys[index])) for form in forms]
        for member in cluster.members:
            member.application.response_override = behaviour
        name = f"{path}?{valid}.{number}"
        url = f"http://{cluster.members[number % len(cluster.members)].entry}{name}"
        async with cluster.session.get(url, headers=CIMultiDict(headers)) as reply:
            knows = index == valid and len(forms) == 1 and forms[0] in FORMS[:2]
            with_customer |= {name} if knows else set()
            refusal = 404 if path == "/none/x" else 401 if path == "/a/x" and not knows else None
            assert refusal in (None, reply.status) and (refusal or reply.status not in (401, 404))
    for request in [request for m in cluster.members for request in m.application.requests]:
        customers = request.headers.getall("Ragwortvalve-Tenant-Id", [])
        if request.query_string.startswith(f"{valid}."):
            assert customers == (["c0"] if request.path_qs in with_customer else [])


# Without shrinking, which would start a cluster for each of hundreds of examples.
@settings(max_examples=4, phases=[Phase.generate])
@given(
    st.lists(st.text("abXY01-._~+/=", min_size=12), min_size=3, max_size=3, unique=True),
    st.lists(CALL, min_size=8, max_size=24),
)
def test_key_identifies_its_customer_and_stays_at_the_entry(keys, calls):
    sent = []
    library_log = EventLog("n")

    async def scenario(cluster):
        await configure(cluster, 1, keys[0])
        # Two nodes of a domain watch the store; the third gets new versions from a peer.
        for _ in range(3):
            await cluster.add("s", domain="d")
        await cluster.wait_until_linked()
        watches = [member.node._peer_sync.watch_enabled for member in cluster.members]
        await wait_until(lambda: sum(watch.is_set() for watch in watches) == 2)
        await send_calls(cluster, keys, [("/a/x", [FORMS[0]], 0, fail), *calls], 0)
        await configure(cluster, 2, keys[1])
        await wait_for_version(cluster, 2)
        await configure(cluster, 3, keys[1], keys[2])
        await wait_until(lambda: b"configuration-unreadable" in b"".join(list_lines(cluster)))
        await send_calls(cluster, keys, [("/a/x", [FORMS[1]], 1, fail), *calls], 1)
        # A node that does not redact sends a document.
        raw = json.dumps({**make_configuration(4, {}), "tenants": {"x": {"apiKeys": keys}}})
        cluster.members[0].node._configuration.apply_document(1 << 50, raw.encode(), "n9")
        kept = [member.node._configuration.content for member in cluster.members]
        told = [member.node._telemetry.render() for member in cluster.members]
        lines = [*list_lines(cluster), *library_log._queue.queue]
        everything = b"\n".join([*sent, *kept, *told, *lines])
        assert sum(b"keyDigests" in text for text in sent) and b'"rank":1002' in everything
        leaked = [key for key in keys if key.encode() in everything]
        assert not leaked

    encode, exchange = _link.encode_frame, ClientPool.exchange
    with pytest.MonkeyPatch.context() as patches:
        patches.setattr(_link, "encode_frame", lambda m: sent.append(encode(m)) or sent[-1])
        patches.setattr(
            ClientPool, "exchange", lambda p, r, *w, **o: sent.append(r) or exchange(p, r, *w, **o)
        )
        patches.setattr(logging.getLogger(), "handlers", [EventHandler(library_log)])
        run_scenario(scenario, ())
