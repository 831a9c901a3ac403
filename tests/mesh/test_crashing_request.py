"""A request that crashes each server that runs it, played through whole nodes."""

import asyncio
import json

import pytest
from crashing_server import CrashingServer
from helper import wait_until
from mesh_cluster import HOST, make_route, restart_node, run_scenario
from ragwort_common import NodeId, RequestFingerprint
from ragwort_flow import MAX_AGE_S, RunningCall
from ragwort_flow._crash_history import FIRST_TRIAL_S
from ragwort_mesh._call import fingerprint_call
from ragwort_mesh._crash_archive import MIN_WRITE_INTERVAL_S
from ragwort_mesh._crash_ledger import MAX_CALLS, CrashLedger
from ragwort_mesh._events import EventLog
from ragwort_mesh._telemetry import Telemetry
from ragwort_protocol import Refusal, Request
from ragwort_standins.application import deregister
from ragwort_transport import NO_REPORT

SETTLE_S = 0.5
"""How long after the third crash further runs don't count: the fleet has to hear of it."""

MAX_LATER_RUNS = 3
"""Most runs after that, by the users' rule."""

PRESSURE_S = 3.0
"""How long the request comes again after it may no longer run."""


CRASHES = "/-/objects/crashes"


class Fleet:
    """Servers that a request crashes, in a failure domain each, and hosts that callers call."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.servers = []
        self.fronts = []
        self.calls = 0
        self.others = 3

    async def start(self, kind="idempotent", servers=4, fronts=2, **options):
        for number in range(servers):
            server = CrashingServer(str(number), **options)
            address = await server.start()
            member = await self.cluster.add(
                "s", application=server.application, server=address, domain=f"d{number % 2}"
            )
            server.control = member.control
            self.servers.append(server)
        for number in range(fronts):
            self.fronts.append(await self.cluster.add("front", domain=f"d{number % 2}"))
        await self.cluster.configure(1, a=make_route("s", kind=kind, maxAttempts=2))
        await self.cluster.wait_until_linked()

    async def stop(self):
        for server in self.servers:
            await server.stop()

    def count_crashes(self):
        return sum(server.crashes for server in self.servers)

    async def call(self, body, member=None, path="/a/x"):
        self.calls += 1
        member = member or self.fronts[self.calls % len(self.fronts)]
        return await self.cluster.call(member, path, "POST", call_id=f"c{self.calls}", data=body)

    async def press(self, until):
        """Send the request again and again, at every front, until a condition holds.

        Other requests run beside it, each once.
        """
        pending = set()
        while not until():
            for _ in range(self.others):
                other = asyncio.create_task(self.call(b"other", path=f"/a/{self.calls}"))
                pending.add(other)
                other.add_done_callback(pending.discard)
            call = asyncio.create_task(self.call(b"crash", path=f"/a/x?page={self.calls}"))
            pending.add(call)
            call.add_done_callback(pending.discard)
            await asyncio.sleep(0.05)
        await asyncio.gather(*pending)

    async def press_for(self, duration_s):
        loop = asyncio.get_running_loop()
        until = loop.time() + duration_s
        await self.press(lambda: loop.time() > until)

    async def check_it_stays_refused(self):
        before = self.count_crashes()
        await self.press_for(PRESSURE_S)
        if self.count_crashes() - before > MAX_LATER_RUNS:
            pytest.fail("the request still reached servers after it had crashed three")


def run_fleet(scenario, **options):
    async def run(cluster):
        fleet = Fleet(cluster)
        await fleet.start(**options)
        try:
            await scenario(fleet)
        finally:
            await fleet.stop()

    run_scenario(run, ())


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_request_that_crashed_three_servers_is_refused_at_every_host(kind):
    async def scenario(fleet):
        await fleet.press(lambda: fleet.count_crashes() >= 3)
        await asyncio.sleep(SETTLE_S)
        await fleet.check_it_stays_refused()

    run_fleet(scenario, kind=kind)


def test_crashing_request_is_still_refused_after_every_node_restarted():
    async def scenario(fleet):
        await fleet.press(lambda: fleet.count_crashes() >= 3)
        await asyncio.sleep(SETTLE_S)
        await asyncio.gather(*(restart_node(member) for member in fleet.cluster.members))
        await fleet.cluster.wait_until_linked()
        for server in fleet.servers:
            await wait_until(
                lambda server=server: server._restart is None or server._restart.done()
            )
            await server.report(sequence=5)
        await asyncio.sleep(1.0 + SETTLE_S)
        await fleet.check_it_stays_refused()

    run_fleet(scenario)


def list_events(member, name):
    """Return the lines of an event that a node has logged so far."""
    lines = [json.loads(line) for line in list(member.node._telemetry.events._queue.queue)]
    return [line for line in lines if line["event"] == name]


async def crash_three_servers(fleet):
    await fleet.press(lambda: fleet.count_crashes() >= 3)
    await wait_until(
        lambda: all(len(member.node._crashes._history.crashes) >= 3 for member in fleet.fronts)
    )


async def wait_for_servers(fleet):
    """Wait until all servers are back."""
    await wait_until(
        lambda: all(
            member.node._gate.accepting and server._server.is_serving()
            for member, server in zip(fleet.cluster.members, fleet.servers, strict=False)
        )
    )


async def accuse_falsely(fleet, body, path):
    """Make every node believe that a request of the fronts has crashed three servers."""
    headers = [(b"host", HOST.encode()), (b"ragwortvalve-caller-service", b"front")]
    request = Request(0, "POST", path.encode(), headers, body, 1000.0)
    for member in fleet.cluster.members[:3]:
        member.node._crashes.report_crash("i", [RunningCall("c", fingerprint_call(request))])
    await wait_until(
        lambda: all(len(m.node._crashes._history.crashes) == 3 for m in fleet.cluster.members)
    )


def age_crashes(fleet, age_s):
    """Let all crashes that the nodes know lie further back."""
    for member in fleet.cluster.members:
        for crash in member.node._crashes._history.crashes.values():
            crash.happened_at -= age_s


@pytest.mark.parametrize("keeps_id", [True, False])
def test_refusal_comes_at_once_and_its_log_line_names_the_crashes(keeps_id):
    async def scenario(fleet):
        await crash_three_servers(fleet)
        await wait_for_servers(fleet)
        for member in fleet.fronts:
            status, headers, _ = await fleet.call(b"crash", member)
            call_id = f"c{fleet.calls}"
            assert status == 503 and float(headers["Retry-After"]) > 1.0
            (line,) = [line for line in list_events(member, "entry") if line["id"] == call_id]
            assert line["reason"] == "crashes-servers" and line["attempts"] == []
            assert len(line["crashes"]) >= 3
            for crash in line["crashes"]:
                (at_node,) = [m for m in fleet.cluster.members if m.settings.node == crash["node"]]
                told = [
                    found
                    for found in list_events(at_node, "server-crashed")
                    if found["server"] == crash["server"]
                ]
                requests = {call["request"] for found in told for call in found["calls"]}
                assert line["request"] in requests
                # A named call may have been on its way to the server when that crashed.
                broken = {
                    line["id"]
                    for line in list_events(at_node, "gate")
                    if line["reason"] in ("connection-lost", "connect-failed")
                }
                assert {call["id"] for found in told for call in found["calls"]} <= broken

    run_fleet(scenario, keeps_id=keeps_id)


def test_other_bodies_other_callers_and_other_paths_are_served_as_before():
    async def scenario(fleet):
        other_caller = await fleet.cluster.add("other-front")
        await fleet.cluster.wait_until_linked()
        await crash_three_servers(fleet)
        await wait_for_servers(fleet)
        assert (await fleet.call(b"another", path="/a/x?page=1"))[0] == 200
        assert (await fleet.call(b"crash", path="/a/y"))[0] == 502
        await wait_for_servers(fleet)
        # Of another caller the same path and body reach a server, which this one crashes too.
        assert (await fleet.call(b"crash", other_caller, path="/a/x"))[0] == 502

    run_fleet(scenario)


def test_node_that_starts_after_the_crashes_refuses_the_request():
    async def scenario(fleet):
        await crash_three_servers(fleet)
        late = await fleet.cluster.add("front", domain="d0")
        await fleet.cluster.wait_until_linked()
        await wait_for_servers(fleet)
        await wait_until(lambda: len(late.node._crashes._history.crashes) >= 3)
        assert (await fleet.call(b"crash", late))[0] == 503

    run_fleet(scenario)


def test_server_that_leaves_while_calls_run_accuses_none_of_them():
    async def scenario(fleet):
        server, member = fleet.servers[0], fleet.cluster.members[0]
        calls = [
            asyncio.create_task(fleet.call(b"other", member, path=f"/a/{number}"))
            for number in range(4)
        ]
        await wait_until(lambda: server.runs[b"other"])
        await deregister(server.control, server.application)
        await server.stop()
        await asyncio.gather(*calls)
        assert list_events(member, "server-crashed") == []

    run_fleet(scenario, servers=1)


def test_a_day_without_crashes_costs_one_listing_for_each_watcher():
    async def scenario(fleet):
        for _ in range(60):
            await fleet.call(b"other")
        calls = [call for call in fleet.cluster.store.calls if call[1].startswith(CRASHES)]
        watchers = [m for m in fleet.cluster.members if m.node._watch_enabled.is_set()]
        assert calls == [("GET", CRASHES)] * len(watchers)

    run_fleet(scenario)


def test_crashes_are_stored_with_few_calls_and_removed_once_they_no_longer_count():
    async def scenario(fleet):
        def list_writes():
            calls = fleet.cluster.store.calls
            return [call for call in calls if call[1].startswith(CRASHES) and call[0] != "GET"]

        await crash_three_servers(fleet)
        # A node that has just found nothing to store looks again after its write interval only.
        await wait_until(lambda: len(list_writes()) >= 2)
        await asyncio.sleep(MIN_WRITE_INTERVAL_S + SETTLE_S)
        # A write each for a crash at most, and one again after the next shows what recurs.
        assert len(list_writes()) <= 2 * fleet.count_crashes()
        age_crashes(fleet, MAX_AGE_S)
        for member in fleet.cluster.members:
            member.node._crashes.forget_old()
        kinds = fleet.cluster.store.objects
        await wait_until(lambda: not [name for kind, name in kinds if kind == "crashes"])

    run_fleet(scenario)


def test_request_that_is_refused_though_it_crashes_no_server_is_served_again_after_a_trial():
    async def scenario(fleet):
        path = "/a/innocent"
        assert (await fleet.call(b"other", path=path))[0] == 200
        await accuse_falsely(fleet, b"other", path)
        for front in fleet.fronts:
            assert (await fleet.call(b"other", front, path))[0] == 503
        age_crashes(fleet, FIRST_TRIAL_S)
        statuses = [(await fleet.call(b"other", front, path))[0] for front in fleet.fronts * 3]
        assert statuses == [200] * len(statuses)
        await wait_until(
            lambda: not any(m.node._crashes._history.by_request for m in fleet.cluster.members)
        )

    run_fleet(scenario)


def test_trial_that_busy_gates_refuse_is_not_used_up():
    async def scenario(fleet):
        path = "/a/innocent"
        await accuse_falsely(fleet, b"other", path)
        age_crashes(fleet, FIRST_TRIAL_S)
        # All gates but one refuse calls; the trial goes on until it reaches the last one.
        for member in fleet.cluster.members[:3]:
            member.node._calls._run_call = refuse_as_overloaded
        assert (await fleet.call(b"other", path=path))[0] == 200

    async def refuse_as_overloaded(request):
        return Refusal(request.call_id, "not-run", "overloaded", 50, NO_REPORT)

    run_fleet(scenario)


def test_the_cause_is_kept_when_many_calls_broke_after_the_crash():
    ledger = CrashLedger(NodeId("n"), list, Telemetry(EventLog("n")), lambda: 0.0)
    fingerprints = [RequestFingerprint(b"%08d" % number) for number in range(3 * MAX_CALLS)]
    ledger.report_crash("i", [RunningCall("c", [request]) for request in fingerprints])
    (crash,) = ledger.list_own()
    assert crash.suspects == set(fingerprints[:MAX_CALLS])
