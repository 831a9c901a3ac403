"""Evacuated failure domains: their servers get no calls, whatever fails meanwhile."""

import asyncio
from types import SimpleNamespace

import pytest
from helper import wait_until
from mesh_cluster import make_route, restart_node, run_scenario, stop_quickly
from ragwort_mesh._configuration import RECOVERY_S
from ragwort_mesh._evacuations import Evacuations
from ragwort_mesh._events import EventLog
from ragwort_mesh._store import WATCH_SLACK_S
from ragwort_mesh._telemetry import Telemetry
from ragwort_model import Bounds
from ragwort_protocol import EvacuationNotice
from ragwort_standins.store import StoreFault

BOUNDS = Bounds(evacuation_s=5.0)


async def start(cluster):
    """Start three nodes in domain a, of which one doesn't watch the store, and one in b."""
    await cluster.configure(1, a=make_route("s"))
    for domain in "aaab":
        await cluster.add("s", domain=domain, bounds=BOUNDS)
    await cluster.wait_until_linked()
    await wait_until(lambda: len(list_watchers(cluster)) == 3)


def list_watchers(cluster):
    return [member for member in cluster.members if member.node._watch_enabled.is_set()]


async def evacuate(cluster, *domains):
    """Change the evacuated domains in the store, and wait until every node knows them."""
    stored = {name for kind, name in cluster.store.objects if kind == "evacuations"}
    for domain in stored - set(domains):
        await cluster.store.remove("evacuations", domain)
    for domain in set(domains) - stored:
        await cluster.store.put("evacuations", domain, {})
    await wait_until_known(cluster, *domains)


async def wait_until_known(cluster, *domains):
    await wait_until(
        lambda: all(m.node._evacuations.failure_domains == set(domains) for m in cluster.members)
    )


async def expect_calls_in(cluster, domain):
    """Call every entry, and check that only servers of one domain run the calls."""
    servers = [m.application for m in cluster.members if m.settings.failure_domain == domain]
    for member in cluster.members:
        status, _, body = await cluster.call(member)
        if status != 200 or body.decode()[:-1] not in [server.instance for server in servers]:
            pytest.fail(f"{status} {body!r}: the call did not run in domain {domain}")


def test_evacuated_servers_finish_their_calls_and_get_no_others():
    async def scenario(cluster):
        await start(cluster)
        cluster.members[0].application.service_time_s = 0.5
        running = asyncio.create_task(cluster.call(cluster.members[0], call_id="c0"))
        await wait_until(lambda: cluster.count_runs("c0"))
        await evacuate(cluster, "a")
        assert (await running)[0] == 200
        await expect_calls_in(cluster, "b")
        await evacuate(cluster, "a", "b")
        assert (await cluster.call(cluster.members[0]))[0] == 503
        await evacuate(cluster, "b")
        await wait_until(lambda: all(m.node._gate.accepting for m in cluster.members[:3]))
        await expect_calls_in(cluster, "a")

    run_scenario(scenario, ())


def test_set_survives_lost_watchers_and_an_outage_of_the_store():
    async def scenario(cluster):
        await start(cluster)
        await evacuate(cluster, "a")
        cluster.store.fault = StoreFault.UNAVAILABLE
        lost = list_watchers(cluster)[0]
        cluster.members.remove(lost)
        await stop_quickly(lost.node)
        await expect_calls_in(cluster, "b")
        cluster.store.fault = StoreFault.NONE
        await evacuate(cluster, "c")

    run_scenario(scenario, ())


def test_node_that_starts_without_the_store_accepts_calls_once_a_peer_has_told_it_the_set():
    async def scenario(cluster):
        await start(cluster)
        await evacuate(cluster, "a")
        cluster.store.fault = StoreFault.UNAVAILABLE
        member = cluster.members[0]
        await restart_node(member)
        await member.send_heartbeat()
        while not member.node._evacuations.is_known:
            assert not member.node._gate.accepting
            await asyncio.sleep(0)
        await wait_until_known(cluster, "a")
        assert not member.node._gate.accepting

    run_scenario(scenario, ())


# With writes, the revisions that the watches wait after exist in the copy too.
@pytest.mark.parametrize("writes", [0, 20])
def test_set_of_a_store_that_came_back_from_a_copy_is_followed(writes):
    async def scenario(cluster):
        await start(cluster)
        copy = cluster.store.copy_objects()
        for domain in "abcd":
            await evacuate(cluster, domain)
        await cluster.store.restore(copy)
        for number in range(writes):
            await cluster.store.put("other", "x", number)
        await wait_until_known(cluster)
        await evacuate(cluster, "b")

    run_scenario(scenario, ())


def make_evacuations(bounds, watching):
    """Return the set of a node with one link, and the messages sent on it."""
    sent, watch_enabled = [], asyncio.Event()
    if watching:
        watch_enabled.set()
    link = SimpleNamespace(peer="p", send=sent.append)
    telemetry = Telemetry(EventLog("n"))
    evacuations = Evacuations(
        bounds, None, telemetry, lambda: [("p", link)], lambda: None, watch_enabled
    )
    return evacuations, link, sent


@pytest.mark.parametrize("watching", [True, False])
def test_only_a_newer_set_is_adopted_and_a_new_link_gets_it_also_if_it_is_empty(watching):
    evacuations, link, sent = make_evacuations(BOUNDS, watching)
    evacuations.announce(link)
    for order, domains in ((7, ["a", "b"]), (6, []), (7, ["c"]), (9, ["b", "a"]), (10, [])):
        evacuations.receive(link, EvacuationNotice(order, domains))
    notices = [EvacuationNotice(7, ["a", "b"]), EvacuationNotice(10, [])]
    assert sent == (notices if watching else [])
    evacuations.announce(link)
    assert sent[-1] == notices[-1]


def test_nothing_is_adopted_or_sent_in_a_deployment_without_the_bound():
    evacuations, link, sent = make_evacuations(Bounds(), True)
    evacuations.receive(link, EvacuationNotice(5, ["a"]))
    evacuations.announce(link)
    assert not (sent or evacuations.failure_domains)


@pytest.mark.parametrize("bounds", [BOUNDS, Bounds(evacuation_s=3.0), Bounds(settle_s=9.0)])
def test_lost_watch_request_is_noticed_within_the_bound(bounds):
    evacuations, _, _ = make_evacuations(bounds, True)
    limit_s = min(bounds.settle_s, bounds.evacuation_s or bounds.settle_s)
    assert evacuations._watch._wait_s + WATCH_SLACK_S + RECOVERY_S <= limit_s
