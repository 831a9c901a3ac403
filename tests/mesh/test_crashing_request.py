"""A request that crashes each server that runs it, played through whole nodes."""

import asyncio

import pytest
from crashing_server import CrashingServer
from helper import wait_until
from mesh_cluster import make_route, run_scenario, stop_quickly
from ragwort_mesh._events import EventLog
from ragwort_mesh._node import Node
from ragwort_mesh._telemetry import Telemetry

SETTLE_S = 0.5
"""How long after the third crash further runs don't count: the fleet has to hear of it."""

MAX_LATER_RUNS = 3
"""Most runs after that, by the users' rule."""

PRESSURE_S = 3.0
"""How long the request comes again after it may no longer run."""


class Fleet:
    """Servers that a request crashes, in a failure domain each, and hosts that callers call."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.servers = []
        self.fronts = []
        self.calls = 0

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
        """Send the request again and again, at every front, until a condition holds."""
        pending = set()
        while not until():
            call = asyncio.create_task(self.call(b"crash"))
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


async def restart_node(member):
    """Restart a node without notice; its server goes on."""
    await stop_quickly(member.node)
    member.node = Node(member.settings, Telemetry(EventLog(member.settings.node)))
    await member.node.start()


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
