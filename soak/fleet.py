"""Processes of a run: the store, and for each member a server, a node and two proxies."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from math import inf
from pathlib import Path

import aiohttp

from bench.deployment import find_free_ports
from soak.customers import KeyRing
from soak.extension import (
    COLD_SERVICE,
    COLD_START_S,
    extend_configuration,
    extend_settings,
)
from soak.proxy import Proxy

HOST = "calls.example"
SERVICES = ("lookup", "confirm", "inner")
GRACE_S = 4
DRAIN_S = 1.5
"""How long a draining server still takes calls after its node has acknowledged the drain."""

WRITE_TIMEOUT_S = 20.0
"""How long a write to the store is repeated; longer than all overlapping pauses of the store."""


@dataclass(eq=False)
class Member:
    """A host: its server, its node, and the proxies from the node to the store and the server.

    Attributes
    ----------
    node_starts, server_starts
        Number of times that the node, or the server, was started. A restarted node keeps nothing
        from its earlier starts.
    disturbances
        Start and end times of the periods in which a fault affected the member; a period that
        has not ended has no end time.
    node_lock, server_lock
        Held while the node, or the server, is restarted.
    """

    number: int
    service: str
    domain: str
    region: str
    folder: Path
    ports: dict[str, int]
    store_proxy: Proxy
    server_proxy: Proxy
    node: asyncio.subprocess.Process | None = None
    server: asyncio.subprocess.Process | None = None
    node_starts: int = 0
    server_starts: int = 0
    disturbances: list[list[float]] = field(default_factory=list)
    node_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    server_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def name(self) -> str:
        """Node name in the settings."""
        return f"n{self.number}"

    @property
    def outbound_address(self) -> str:
        """Address at which the node takes outbound calls."""
        return f"127.0.0.1:{self.ports['outbound']}"

    def was_undisturbed(self, since: float, until: float) -> bool:
        """Return whether no fault affected the member between two times."""
        return all(
            end < since or begin > until
            for begin, end in (
                (span[0], (span[1:] or [time.time()])[0]) for span in self.disturbances
            )
        )

    @contextlib.contextmanager
    def record_disturbance(self):
        """Record that a fault affects the member for the duration of the block."""
        span = [time.time()]
        self.disturbances.append(span)
        try:
            yield
        finally:
            span.append(time.time())


@dataclass(slots=True)
class Evacuation:
    """An evacuation: when the store acknowledged it, and when its removal was first sent."""

    domain: str
    accepted_at: float
    removal_sent_at: float = inf


@dataclass(eq=False)
class Fleet:
    """All processes of a run; signals only processes that it started itself.

    Attributes
    ----------
    version
        Latest version of the configuration that the store accepted.
    accepted_versions
        Versions of the configuration, with the time at which the store accepted each.
    keys
        Keys of the customers, None if the run is not extended (``soak.extension``).
    evacuations
        Evacuations that the store acknowledged.
    configure_lock
        Held while a version is written, so that each version has one content.
    """

    folder: Path
    store_port: int
    members: list[Member] = field(default_factory=list)
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    store: asyncio.subprocess.Process | None = None
    version: int = 0
    accepted_versions: list[tuple[int, float]] = field(default_factory=list)
    keys: KeyRing | None = None
    evacuations: list[Evacuation] = field(default_factory=list)
    configure_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def start(self, domains: int, copies: int) -> None:
        """Start the store, write the first configuration and start the members."""
        arguments = ("-m", "ragwort_standins.store", "--port", str(self.store_port))
        self.store = await self._spawn("store", *arguments)
        await self.configure(timeout_s=20.0)
        for number in range(domains * copies * len(SERVICES)):
            domain = f"d{number % domains}"
            service = SERVICES[number // domains % len(SERVICES)]
            # An extended run always has two regions.
            domains_per_region = 2 if self.keys is None else (domains + 1) // 2
            region = f"r{number % domains // domains_per_region}"
            self.members.append(await self._create_member(number, service, domain, region))
        await asyncio.gather(*(self.start_server(member) for member in self.members))
        await asyncio.gather(*(self.start_node(member) for member in self.members))

    async def stop(self) -> None:
        """Kill every process that still runs, and stop the proxies."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for member in self.members:
            await member.store_proxy.stop()
            await member.server_proxy.stop()

    async def configure(self, timeout_s: float = WRITE_TIMEOUT_S) -> None:
        """Write the next version of the configuration, which adds a route to the first service."""
        async with self.configure_lock:
            await self._configure(timeout_s)

    async def _configure(self, timeout_s: float) -> None:
        version = self.version + 1
        routes = {
            service: _make_route(service, f"/{service}/", service != "confirm")
            for service in SERVICES
        }
        routes |= {
            f"v{number}": _make_route("lookup", f"/v{number}/", True)
            for number in range(max(1, version - 5), version + 1)
        }
        configuration = {
            "version": f"r{version}",
            "routes": routes,
            "services": {service: {"healthPath": "/healthz"} for service in SERVICES},
            "limits": {
                "maxHeaderBytes": 8192,
                "maxBodyBytes": 1 << 20,
                "headerTimeoutMs": 2000,
                "idleTimeoutMs": 8000,
            },
        }
        keys = extend_configuration(configuration, self.keys) if self.keys else set()
        body = {"metadata": {"name": "main"}, "spec": configuration}
        method, name = ("PUT", "config/main") if self.version else ("POST", "config")
        if await self.write(method, name, body, timeout_s=timeout_s):
            self.version = version
            self.accepted_versions.append((version, time.time()))
            if self.keys is not None:
                self.keys.acknowledge(keys, time.time())

    async def write(
        self,
        method: str,
        name: str,
        body: dict | None,
        settled: tuple[int, ...] = (),
        timeout_s: float = WRITE_TIMEOUT_S,
    ) -> bool:
        """Change an object, repeated until the store acknowledges it; return whether it did.

        Parameters
        ----------
        settled
            Error statuses that also acknowledge it.
        """
        url = f"http://127.0.0.1:{self.store_port}/-/objects/{name}"
        deadline = time.time() + timeout_s
        async with aiohttp.ClientSession() as session:
            while time.time() < deadline:
                try:
                    async with asyncio.timeout(1.0):
                        reply = await session.request(method, url, json=body)
                        if reply.status < 300 or reply.status in settled:
                            return True
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(0.1)
        return False

    async def start_node(self, member: Member) -> None:
        """Start a member's node."""
        member.node_starts += 1
        settings = {
            "nodeName": member.name,
            "zone": member.domain,
            "region": member.region,
            "service": member.service,
            "appAddr": f"127.0.0.1:{member.server_proxy.port}",
            "listenAddrs": {
                name: f"127.0.0.1:{port}" for name, port in member.ports.items() if name != "server"
            },
            "platform": {"addr": f"127.0.0.1:{member.store_proxy.port}"},
            "bounds": [f"graceS={GRACE_S}"],
        }
        if self.keys is not None:
            extend_settings(settings)
        path = member.folder / f"{member.name}.json"
        path.write_text(json.dumps(settings))
        member.node = await self._spawn(member.name, "-m", "ragwort_mesh", "--settings", str(path))

    async def start_server(self, member: Member) -> None:
        """Start a member's server under a new instance name."""
        member.server_starts += 1
        instance = f"i-{member.number}-{member.server_starts}"
        member.server = await self._spawn(
            instance,
            *("-m", "soak.server", "--instance", instance, "--service", member.service),
            *("--port", str(member.ports["server"]), "--drain_s", str(DRAIN_S)),
            *("--control", f"127.0.0.1:{member.ports['control']}"),
            *("--outbound", member.outbound_address),
            *("--cold_s", str(COLD_START_S if self.is_cold_after_start(member) else 0.0)),
        )

    def is_cold_after_start(self, member: Member) -> bool:
        """Return whether the member's server is cold after each of its starts."""
        return self.keys is not None and member.service == COLD_SERVICE

    def signal(self, process: asyncio.subprocess.Process | None, signum: signal.Signals) -> None:
        """Send a signal to a process unless it has exited."""
        if process is not None and process.returncode is None:
            process.send_signal(signum)

    async def _create_member(self, number: int, service: str, domain: str, region: str) -> Member:
        names = ("inbound", "outbound", "ready", "control", "server")
        ports = dict(zip(names, find_free_ports(len(names)), strict=True))
        store_proxy = Proxy(f"127.0.0.1:{self.store_port}")
        server_proxy = Proxy(f"127.0.0.1:{ports['server']}")
        await store_proxy.start()
        await server_proxy.start()
        return Member(
            number, service, domain, region, self.folder, ports, store_proxy, server_proxy
        )

    async def _spawn(self, name: str, *arguments: str) -> asyncio.subprocess.Process:
        with (self.folder / f"{name}.log").open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, stdout=output, stderr=output, env=dict(os.environ)
            )
        self.processes.append(process)
        return process


def _make_route(service: str, prefix: str, idempotent: bool) -> dict:
    return {
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "idempotent" if idempotent else "non_idempotent",
        "timeoutMs": 1500,
        "targetLatencyMs": 300,
        "priority": 1,
        "maxAttempts": 2,
        "service": service,
    }
