"""Evacuated failure domains: their servers get no calls, whatever fails meanwhile."""

import asyncio
import json
import re
from types import SimpleNamespace

import pytest
from helper import wait_until
from mesh_cluster import make_route, run_scenario, stop_quickly
from ragwort_mesh._evacuations import Evacuations
from ragwort_mesh._events import EventLog
from ragwort_mesh._node import Node
from ragwort_mesh._store import StoreClient
from ragwort_mesh._telemetry import Telemetry
from ragwort_model import Bounds
from ragwort_protocol import EvacuationNotice
from ragwort_standins.store import StoreFault
from ragwort_transport import TIMED_OUT, Answer

from bench.virtual import read_clock, run_virtual

BOUNDS = Bounds(evacuation_s=5.0)


async def start(cluster, domains="aaab"):
    """Start a node in each of the domains; of three in one, one doesn't watch the store."""
    await cluster.configure(1, a=make_route("s"))
    for domain in domains:
        await cluster.add("s", domain=domain, bounds=BOUNDS)
    await cluster.wait_until_linked()
    await wait_until(lambda: len(list_watchers(cluster)) == min(3, len(domains)))


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


async def expect_calls_at(cluster, domain, label):
    """Call every entry, and check that only servers of one domain run the calls."""
    for number, member in enumerate(cluster.members):
        status, _, body = await cluster.call(member, call_id=f"{label}{number}")
        servers = [f"{m.application.instance}:" for m in cluster.members if is_in(m, domain)]
        if status != 200 or body.decode() not in servers:
            pytest.fail(f"{status} {body!r}: the call did not run in domain {domain}")


def is_in(member, domain):
    return member.settings.failure_domain == domain


def test_evacuated_servers_finish_their_calls_and_get_no_others():
    async def scenario(cluster):
        await start(cluster)
        for member in cluster.members:
            member.application.service_time_s = 0.5
        running = asyncio.create_task(cluster.call(cluster.members[0]))
        await wait_until(lambda: cluster.count_runs("c1"))
        await evacuate(cluster, "a")
        status, _, body = await running
        assert status == 200 and body != b"i-n4:"
        for member in cluster.members:
            member.application.service_time_s = 0.0
        await expect_calls_at(cluster, "b", "x")
        await evacuate(cluster, "a", "b")
        assert (await cluster.call(cluster.members[0]))[0] == 503
        await evacuate(cluster, "b")
        await wait_until(
            lambda: all(m.node._gate.accepting == is_in(m, "a") for m in cluster.members)
        )
        await expect_calls_at(cluster, "a", "y")

    run_scenario(scenario, ())


def test_restarted_node_is_told_of_the_evacuated_domains_while_the_store_is_away():
    async def scenario(cluster):
        await start(cluster)
        await evacuate(cluster, "a")
        cluster.store.fault = StoreFault.UNAVAILABLE
        member = cluster.members[0]
        await stop_quickly(member.node)
        member.node = Node(member.settings, Telemetry(EventLog("n1")))
        await member.node.start()
        await member.send_heartbeat()
        while not member.node._evacuations.is_known:
            assert not member.node._gate.accepting
            await asyncio.sleep(0)
        assert member.node._evacuations.failure_domains == {"a"}
        await wait_until(lambda: member.node._configuration.current)
        await wait_until(lambda: len(member.node._peers.list_links()) == 3)
        await expect_calls_at(cluster, "b", "x")

    run_scenario(scenario, ())


def test_set_stays_without_the_store_and_is_followed_after_a_watcher_is_lost():
    async def scenario(cluster):
        await start(cluster)
        await evacuate(cluster, "a")
        cluster.store.fault = StoreFault.UNAVAILABLE
        lost = list_watchers(cluster)[0]
        cluster.members.remove(lost)
        await stop_quickly(lost.node)
        await expect_calls_at(cluster, "b", "x")
        cluster.store.fault = StoreFault.NONE
        await evacuate(cluster, "c")

    run_scenario(scenario, ())


def test_set_of_a_store_that_came_back_from_a_copy_is_followed():
    async def scenario(cluster):
        await start(cluster, "aa")
        copy = cluster.store.copy_objects()
        for domain in "abcd":
            await evacuate(cluster, domain)
        await cluster.store.restore(copy)
        await wait_until_known(cluster)
        # Its revision is lower than those at which the nodes knew other sets.
        await evacuate(cluster, "b")

    run_scenario(scenario, ())


class SilentPool:
    """Connections to a store that go silent at one time and are answered again from another.

    Domain "a" is evacuated as soon as the store answers again.
    """

    def __init__(self, silent_from, silent_to):
        self.silence = (silent_from, silent_to)

    async def exchange(self, request, timeout_s):
        sent, (silent_from, silent_to) = read_clock(), self.silence
        wait_s = int(re.search(rb"waitMs=(\d+)|$", request)[1] or 0) / 1000
        is_lost = sent < silent_to and sent + wait_s > silent_from
        await asyncio.sleep(timeout_s if is_lost else wait_s)
        if is_lost:
            return TIMED_OUT
        stored = {"metadata": {"name": "a", "revision": 2}, "spec": {}}
        items = [stored] if read_clock() >= silent_to else []
        events = [{"object": item} for item in items]
        content = {"items": items, "events": events, "asOf": 1 + len(items)}
        return Answer(200, [], json.dumps(content).encode())


def make_evacuations(bounds=BOUNDS, links=(), watching=True, pool=None):
    telemetry = Telemetry(EventLog("n"))
    store = StoreClient("127.0.0.1:1", telemetry, lambda _: None, lambda: None)
    store._pool = pool
    enabled = asyncio.Event()
    if watching:
        enabled.set()
    return Evacuations(bounds, store, telemetry, lambda: links, lambda: None, enabled)


@pytest.mark.parametrize("silence_s", [0.1, 2.0, 3.1, 7.7])
@pytest.mark.parametrize("silent_from_s", [0.1, 2.39, 2.5, 6.0])
def test_set_is_known_in_time_although_a_request_was_never_answered(silent_from_s, silence_s):
    async def play():
        silent_to = read_clock() + silent_from_s + silence_s
        evacuations = make_evacuations(pool=SilentPool(silent_to - silence_s, silent_to))
        task = asyncio.create_task(evacuations.run())
        await asyncio.sleep(silent_to + BOUNDS.evacuation_s - read_clock())
        task.cancel()
        assert evacuations.failure_domains == {"a"}

    run_virtual(play())


def make_link():
    sent = []
    return SimpleNamespace(peer="p", send=sent.append, sent=sent)


def test_only_a_newer_set_is_adopted_and_told_by_watchers():
    link = make_link()
    evacuations = make_evacuations(links=[("p", link)])
    for order, domains in ((7, ["a", "b"]), (6, []), (7, ["c"]), (9, ["b", "a"]), (10, [])):
        evacuations.receive(link, EvacuationNotice(order, domains))
    assert link.sent == [EvacuationNotice(7, ["a", "b"]), EvacuationNotice(10, [])]


def test_known_set_is_sent_to_a_new_link_also_if_it_is_empty():
    link = make_link()
    evacuations = make_evacuations(links=[("p", link)], watching=False)
    evacuations.announce(link)
    evacuations.receive(link, EvacuationNotice(5, []))
    assert not link.sent
    evacuations.announce(link)
    assert link.sent == [EvacuationNotice(5, [])]


def test_nothing_is_adopted_or_sent_in_a_deployment_without_the_bound():
    link = make_link()
    evacuations = make_evacuations(Bounds(), [("p", link)])
    evacuations.receive(link, EvacuationNotice(5, ["a"]))
    evacuations.announce(link)
    assert not (link.sent or evacuations.failure_domains)
