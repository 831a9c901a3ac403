"""A small cluster in one process: a stand-in for the store, servers, and a node for each server."""

import asyncio
import contextlib
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web
from helper import wait_until
from ragwort_common import FailureDomain, NodeId, Region, ServiceName
from ragwort_mesh._events import EventLog
from ragwort_mesh._node import Node
from ragwort_mesh._telemetry import Telemetry
from ragwort_model import Addresses, Bounds, NodeSettings
from ragwort_standins.application import Application, build_application, send_report
from ragwort_standins.store import Store, build_store

from bench.deployment import find_free_ports

HOST = "calls.example"


def make_route(service, prefix="/a/", kind="idempotent", **fields):
    """Return a route in the format of the configuration."""
    return {
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 500,
        "priority": 1,
        "maxAttempts": 2,
        **({} if "split" in fields else {"service": service}),
        **fields,
    }


def make_configuration(version, routes):
    """Return a configuration in the operators' format."""
    limits = {
        "maxHeaderBytes": 4096,
        "maxBodyBytes": 1 << 20,
        "headerTimeoutMs": 500,
        "idleTimeoutMs": 5000,
    }
    return {"version": f"r{version}", "routes": routes, "services": {}, "limits": limits}


@dataclass
class Member:
    """A host with a server and its node."""

    application: Application
    settings: NodeSettings
    node: Node
    entry: str
    control: str
    ready: str
    sequence: int = 0

    async def send_heartbeat(self, state="ready"):
        self.sequence += 1
        return await send_report(self.control, self.application, self.sequence, state)


@dataclass
class Cluster:
    """The store and the members of the cluster."""

    store: Store
    store_address: str
    members: list[Member] = field(default_factory=list)
    session: aiohttp.ClientSession | None = None
    runners: list[web.AppRunner] = field(default_factory=list)
    node_count: int = 0

    async def add(
        self,
        service="s",
        region="r1",
        application=None,
        bounds=None,
        without_heartbeat=False,
        before_start=None,
        domain=None,
        server=None,
    ):
        """Add a member; ``server`` is the address of a server of the test's own."""
        self.node_count += 1
        name = f"n{self.node_count}"
        application = application or Application(f"i-{name}", service)
        server = server or await self.serve(build_application(application))
        ports = find_free_ports(4)
        link, entry, ready, control = (f"127.0.0.1:{port}" for port in ports)
        settings = NodeSettings(
            NodeId(name),
            ServiceName(service),
            FailureDomain(domain or f"d{self.node_count}"),
            Region(region),
            Addresses(link, entry, ready, control, server, self.store_address),
            bounds or Bounds(),
        )
        member = Member(
            application, settings, Node(settings, Telemetry(EventLog(name))), entry, control, ready
        )
        if before_start is not None:
            await before_start(link)
        await member.node.start()
        if not without_heartbeat:
            await member.send_heartbeat()
        self.members.append(member)
        return member

    async def serve(self, application):
        runner = web.AppRunner(application, handler_cancellation=True)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.runners.append(runner)
        return f"127.0.0.1:{runner.addresses[0][1]}"

    async def configure(self, version, **routes):
        await self.store.put("config", "main", make_configuration(version, routes))

    async def wait_until_linked(self):
        """Wait until every node knows the configuration and is linked to every other."""
        count = len(self.members)
        await wait_until(
            lambda: all(
                member.node._configuration.current is not None
                and len(member.node._peers.list_links()) >= count - 1
                and member.node._targets.count_nodes() >= count
                for member in self.members
            )
        )

    async def call(self, member, path="/a/x", method="GET", call_id="c1", headers=(), **options):
        """Send a call, and return its status, headers and body."""
        fields = {
            "Host": HOST,
            "Ragwortvalve-Attempt-Id": call_id,
            "Ragwortvalve-Deadline-Ms": "1500",
            **dict(headers),
        }
        url = f"http://{member.entry}{path}"
        async with self.session.request(method, url, headers=fields, **options) as reply:
            return reply.status, reply.headers, await reply.read()

    def count_runs(self, call_id):
        return sum(member.application.runs[call_id] for member in self.members)


@contextlib.asynccontextmanager
async def run_cluster(services=("s",), regions=()):
    """Run a cluster with one member for each of the services."""
    store = Store()
    cluster = Cluster(store, "")
    cluster.store_address = await cluster.serve(build_store(store))
    async with aiohttp.ClientSession() as session:
        cluster.session = session
        try:
            for index, service in enumerate(services):
                await cluster.add(service, regions[index] if regions else "r1")
            yield cluster
        finally:
            for member in cluster.members:
                member.node._settings = member.settings
                await stop_quickly(member.node)
            await asyncio.gather(*(runner.cleanup() for runner in cluster.runners))


async def stop_quickly(node):
    """Stop a node without draining callers."""
    for task in node._tasks:
        task.cancel()
    await asyncio.gather(*node._tasks, return_exceptions=True)
    node._peers.close()
    for server in (node._entry_server, node._control_server, node._ready_server):
        server.abort()
    await node._gate.close()
    await node._store.close()


async def restart_node(member):
    """End a node's process without notice, and start another; its server goes on."""
    await stop_quickly(member.node)
    member.node = Node(member.settings, Telemetry(EventLog(member.settings.node)))
    await member.node.start()


def run_scenario(scenario, services=("s",), regions=()):
    """Run a scenario on a new cluster, with a timeout."""

    async def run():
        async with run_cluster(services, regions) as cluster:
            async with asyncio.timeout(30):
                return await scenario(cluster)

    return asyncio.run(run())
