"""Servers that have announced that they leave, across the restart of nodes."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from helper import wait_until
from mesh_cluster import make_route, restart_node, run_scenario
from ragwort_common import NodeId
from ragwort_flow._instance_tracker import MAX_INSTANCES
from ragwort_mesh._departures import KEEP_S, MAX_KEPT, Departures
from ragwort_mesh._events import EventLog
from ragwort_mesh._store import StoreReply
from ragwort_mesh._telemetry import Telemetry
from ragwort_model import InstanceId, Leaving
from ragwort_protocol import DepartureNotice, LeavingServer
from ragwort_standins.application import Application, deregister, send_report
from ragwort_standins.store import StoreFault

DEPARTURES = "/-/objects/departures"

LATE_SEQUENCE = 1
"""Sequence number of a report that was made before the server left."""


def get_gate(member):
    return member.node._gate


async def start_pair(cluster):
    """Start two nodes of a failure domain, each with a server."""
    await cluster.configure(1, a=make_route("s"))
    for _ in range(2):
        await cluster.add("s", domain="d")
    await cluster.wait_until_linked()
    return cluster.members


async def leave(member, how):
    """Announce that a member's server leaves, and return the status of the acknowledgement."""
    if how == "goodbye":
        return await deregister(member.control, member.application)
    return await member.send_heartbeat("draining")


async def send_late_report(member):
    """Send a report that was made before the server left, and give the node time to use it."""
    await send_report(member.control, member.application, LATE_SEQUENCE)
    await asyncio.sleep(0.1)


@pytest.mark.parametrize("how", ["goodbye", "draining"])
@pytest.mark.parametrize("killed", [1, 2], ids=["one node killed", "all nodes killed"])
def test_server_that_has_left_is_not_used_after_a_kill_and_a_late_report(how, killed):
    # Departures were known only to the process that had acknowledged them.
    async def scenario(cluster):
        members = await start_pair(cluster)
        assert await leave(members[0], how) == 200
        await asyncio.gather(*map(restart_node, members[:killed]))
        await cluster.wait_until_linked()
        await send_late_report(members[0])
        assert not get_gate(members[0]).accepting

    run_scenario(scenario, ())


def test_server_that_left_while_the_store_is_away_is_not_used_after_its_node_was_killed():
    async def scenario(cluster):
        members = await start_pair(cluster)
        cluster.store.fault = StoreFault.UNAVAILABLE
        assert await leave(members[0], "goodbye") == 200
        await restart_node(members[0])
        await wait_until(lambda: members[0].node._departures._is_known)
        await send_late_report(members[0])
        assert not get_gate(members[0]).accepting
        # What the peer has told is stored once that is possible.
        cluster.store.fault = StoreFault.NONE
        await wait_until(lambda: ("departures", "n1") in cluster.store.objects)

    run_scenario(scenario, ())


def test_goodbye_to_a_node_that_has_not_heard_of_the_server_is_kept_too():
    # The goodbye doesn't state when the server started.
    async def scenario(cluster):
        members = await start_pair(cluster)
        await restart_node(members[0])
        assert await leave(members[0], "goodbye") == 200
        await restart_node(members[0])
        await send_late_report(members[0])
        assert not get_gate(members[0]).accepting

    run_scenario(scenario, ())


def test_late_report_that_a_restarted_node_took_is_undone_by_the_stored_departure():
    async def scenario(cluster):
        members = await start_pair(cluster)
        assert await leave(members[0], "goodbye") == 200
        await restart_node(members[0])
        await wait_until(lambda: members[0].node._departures._is_known)
        gate = get_gate(members[0])
        await send_report(members[0].control, members[0].application, LATE_SEQUENCE, born=2)
        assert gate.accepting
        gate.learn_departures([Leaving(InstanceId("i-n1"), 2, 0, True)])
        assert not gate.accepting
        assert not gate.has_server

    run_scenario(scenario, ())


@pytest.mark.parametrize("is_stored", [True, False], ids=["store serves", "store is away"])
def test_server_that_has_not_left_is_used_at_once_after_its_nodes_restart(is_stored):
    async def scenario(cluster):
        members = await start_pair(cluster)
        assert await leave(members[0], "goodbye") == 200
        if not is_stored:
            cluster.store.fault = StoreFault.UNAVAILABLE
        await asyncio.gather(*map(restart_node, members))
        await wait_until(lambda: all(m.node._departures._is_known for m in members))
        # A new server at the old address, and one that was there all the time.
        assert await send_report(members[0].control, Application("i-new", "s"), 1, born=3) == 200
        await members[1].send_heartbeat()
        assert get_gate(members[0]).accepting
        assert get_gate(members[1]).accepting

    run_scenario(scenario, ())


def test_server_that_starts_again_under_its_id_is_used_at_its_first_report():
    async def scenario(cluster):
        members = await start_pair(cluster)
        assert await leave(members[0], "goodbye") == 200
        await restart_node(members[0])
        await wait_until(lambda: members[0].node._departures._is_known)
        await send_report(members[0].control, members[0].application, 1, born=2)
        assert get_gate(members[0]).accepting

    run_scenario(scenario, ())


def test_departures_are_stored_again_when_the_store_comes_back_from_a_copy():
    async def scenario(cluster):
        members = await start_pair(cluster)
        copy = cluster.store.copy_objects()
        assert await leave(members[0], "goodbye") == 200
        await cluster.store.restore(copy)
        assert ("departures", "n1") not in cluster.store.objects
        await wait_until(lambda: ("departures", "n1") in cluster.store.objects)

    run_scenario(scenario, ())


def test_object_of_another_writer_under_the_nodes_name_keeps_no_server_out_of_use():
    async def scenario(cluster):
        members = await start_pair(cluster)
        await cluster.store.put("departures", "n1", {"departures": [{"instance": 7}]})
        await restart_node(members[0])
        await wait_until(lambda: members[0].node._departures._is_known)
        await members[0].send_heartbeat()
        assert get_gate(members[0]).accepting
        assert await leave(members[0], "draining") == 200
        spec = cluster.store.objects["departures", "n1"]["spec"]
        assert [entry["instance"] for entry in spec["departures"]] == ["i-n1"]

    run_scenario(scenario, ())


def test_draining_server_that_does_not_state_its_start_is_announced_once():
    async def scenario(cluster):
        await cluster.configure(1, a=make_route("s"))
        member = await cluster.add("s", without_heartbeat=True)
        for sequence, state in enumerate(("ready", "draining", "draining", "draining"), 1):
            await send_report(member.control, member.application, sequence, state, born=0)
        writes = [call for call in cluster.store.calls if call[1].startswith(DEPARTURES)]
        assert [method for method, _ in writes if method != "GET"] == ["POST"]

    run_scenario(scenario, ())


def make_departures(read_time_ms=lambda: 0):
    """Return departures without a store, and the list of those that are learned."""
    learned = []

    async def fail(request, wait_s=0.0):
        return StoreReply(b'{"metadata":{"name":"n","revision":1},"spec":{}}', 0)

    departures = Departures(
        NodeId("n"),
        SimpleNamespace(call=fail),
        Telemetry(EventLog("n")),
        list,
        learned.extend,
        asyncio.Event(),
        read_time_ms,
    )
    return departures, learned


def test_goodbyes_of_any_number_of_servers_are_kept_in_tables_of_a_fixed_size():
    departures, _ = make_departures()
    for number in range(3 * MAX_INSTANCES):
        departures.record(Leaving(InstanceId(f"i-{number}"), 1, 0, True))
    kept = departures._list_departures()
    assert len(kept) == MAX_KEPT
    assert kept[-1].instance == f"i-{3 * MAX_INSTANCES - 1}"
    peer = SimpleNamespace(peer=NodeId("p"))
    departures.receive(peer, DepartureNotice("p", [LeavingServer("i", 1, 0, True)] * 100))
    assert len(departures._peers["p"]) == MAX_KEPT


def test_departure_of_long_ago_is_not_learned():
    departures, learned = make_departures(lambda: round(KEEP_S * 1000) + 2)
    peer = SimpleNamespace(peer=NodeId("p"))
    old, recent = LeavingServer("i-old", 1, 1, True), LeavingServer("i-new", 1, 2, True)
    departures.receive(peer, DepartureNotice("n", [old, recent]))
    assert [leaving.instance for leaving in learned] == ["i-new"]


def test_objects_of_nodes_that_are_gone_are_removed_once_they_no_longer_count():
    async def scenario(cluster):
        members = await start_pair(cluster)
        now_ms = time.time_ns() // 1_000_000
        for name, at_ms in (("gone", 1), ("recent", now_ms)):
            entry = {"instance": "i", "bornMs": 1, "atMs": at_ms, "hasLeft": True}
            await cluster.store.put("departures", name, {"departures": [entry]})
        await members[0].node._departures._remove_outdated()
        assert ("departures", "gone") not in cluster.store.objects
        assert ("departures", "recent") in cluster.store.objects

    run_scenario(scenario, ())


def test_peer_that_knows_of_no_departure_does_not_stand_for_the_store():
    # A peer of another failure domain is not told of departures. If its notice comes before the
    # store's reply, a restarted node takes a late report of a server that has left.
    departures, learned = make_departures()
    peer = SimpleNamespace(peer=NodeId("other-domain"))
    departures.receive(peer, DepartureNotice("n", []))
    if departures._is_known:
        pytest.fail("departures are known before the store has replied")
    departures.receive(peer, DepartureNotice("n", [LeavingServer("i", 1, 0, True)]))
    assert [leaving.instance for leaving in learned] == ["i"]
