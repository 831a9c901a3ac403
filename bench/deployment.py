"""Runs a whole deployment as local processes on loopback: platform, servers and nodes."""

import asyncio
import contextlib
import ctypes
import errno
import itertools
import json
import random
import signal
import socket
import sys
import tempfile
from collections import deque
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from ruamel.yaml import YAML

FIRST_PORT = 10_000
RESERVATION_HOST = "127.0.0.2"
MAX_RESERVATIONS = 400
"""Maximum number of ports that a process reserves; a deployment uses a few dozen."""

EPHEMERAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")

READY_TIMEOUT_S = 30
STOP_TIMEOUT_S = 10
PR_SET_PDEATHSIG = 1
"""Option number from the kernel header linux/prctl.h."""

_random = random.SystemRandom()
_reservations: deque[socket.socket] = deque()


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """The size of a deployment: each service has one server in each failure domain."""

    services: tuple[str, ...]
    domains: tuple[tuple[str, str], ...]
    slots: int
    connections: int
    service_ms: float


HANBIT = DeploymentPlan(
    services=("drum-tracking", "collections", "cleaning-records"),
    domains=(
        ("gyeonggi", "siheung"),
        ("gyeonggi", "hwaseong"),
        ("gyeongnam", "changwon"),
        ("gyeongnam", "gimhae"),
    ),
    slots=13,
    connections=250,
    service_ms=2.0,
)

INDICE = DeploymentPlan(
    services=("price-portal", "batch-intake", "survey-forms"),
    domains=(
        ("meseta", "alajuela"),
        ("meseta", "sanjose"),
        ("pacifico-norte", "canas"),
        ("pacifico-norte", "santacruz"),
    ),
    slots=6,
    connections=240,
    service_ms=2.0,
)


@dataclass(slots=True)
class Place:
    """One server with its node, and the ports they listen on."""

    node: str
    service: str
    region: str
    domain: str
    ports: dict[str, int]
    server: asyncio.subprocess.Process | None = None
    process: asyncio.subprocess.Process | None = None

    def entry_url(self, path: str) -> str:
        """Return the URL of a path at this node's entry."""
        return f"http://127.0.0.1:{self.ports['entry']}{path}"

    def server_url(self, path: str) -> str:
        """Return the URL of a path at the server itself."""
        return f"http://127.0.0.1:{self.ports['server']}{path}"

    def admin_url(self, path: str) -> str:
        """Return the URL of a path of the node's admin API."""
        return f"http://127.0.0.1:{self.ports['admin']}{path}"


@dataclass(slots=True)
class Fleet:
    """The running processes of a deployment.

    Attributes
    ----------
    logs
        Path of the log of each process, by its id.
    """

    plan: DeploymentPlan
    folder: Path
    platform_port: int
    places: list[Place] = field(default_factory=list)
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    logs: dict[int, Path] = field(default_factory=dict)
    log_numbers: Iterator[int] = field(default_factory=itertools.count)

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://127.0.0.1:{self.platform_port}"

    def find_places(self, service: str) -> list[Place]:
        """Return the servers of one service with their nodes."""
        return [place for place in self.places if place.service == service]


def find_free_ports(count: int) -> list[int]:
    """Return distinct TCP ports of 127.0.0.1 that are free, and that stay free until they are used.

    The kernel gives none of them to outgoing connections, since they lie below its range for these.
    Other processes that call this function don't get them either: each port is reserved by a socket
    of this process on another loopback address, to which no connection is made.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _random.randrange(FIRST_PORT, _read_first_ephemeral_port())
        reservation = socket.socket()
        try:
            reservation.bind((RESERVATION_HOST, port))
            with socket.socket() as probe:
                # A port whose last connections have just closed can be listened on again.
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("127.0.0.1", port))
        except OSError as error:
            reservation.close()
            if error.errno != errno.EADDRINUSE:
                raise
            continue
        _reservations.append(reservation)
        ports.append(port)
    while len(_reservations) > MAX_RESERVATIONS:
        _reservations.popleft().close()
    return ports


def _read_first_ephemeral_port() -> int:
    """Return the lowest port that the kernel gives to outgoing connections."""
    return int(EPHEMERAL_PORTS.read_text().split()[0])


@contextlib.asynccontextmanager
async def run_fleet(
    plan: DeploymentPlan, settings: dict[str, dict] | None = None
) -> AsyncIterator[Fleet]:
    """Run a deployment, and stop all its processes on exit.

    ``settings`` overrides values of each node's settings, by section.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(plan, Path(folder), find_free_ports(1)[0])
        try:
            await _start_platform(fleet)
            fleet.places = _plan_places(plan)
            await asyncio.gather(*(start_server(fleet, place) for place in fleet.places))
            await asyncio.gather(*(start_node(fleet, place, settings) for place in fleet.places))
            yield fleet
        finally:
            await _stop_all(fleet)


async def start_process(fleet: Fleet, *arguments: str) -> asyncio.subprocess.Process:
    """Start a Python process of the deployment and write its output to a log in its folder."""
    log = fleet.folder / f"{next(fleet.log_numbers)}.log"
    output = log.open("wb")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=output,
        stderr=output,
        start_new_session=True,
        preexec_fn=_set_parent_death_signal,
    )
    output.close()
    fleet.processes.append(process)
    fleet.logs[process.pid] = log
    return process


def _set_parent_death_signal() -> None:
    """Have the kernel kill this process when its parent ends, even if the parent is killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


async def start_server(fleet: Fleet, place: Place) -> None:
    """Start a stand-in server."""
    plan = fleet.plan
    place.server = await start_process(
        fleet,
        "-m",
        "ragwort_standins.server",
        f"--port={place.ports['server']}",
        f"--name={place.node}",
        f"--slots={plan.slots}",
        f"--service-ms={plan.service_ms}",
    )


async def start_node(fleet: Fleet, place: Place, settings: dict[str, dict] | None = None) -> None:
    """Write the settings of a server's node and start it."""
    path = fleet.folder / f"{place.node}.yaml"
    with path.open("w") as file:
        YAML().dump(_make_settings(fleet, place, settings or {}), file)
    place.process = await start_process(
        fleet, "-c", "from ragwort_node.main import run; run()", f"--settings={path}"
    )


async def wait_ready(fleet: Fleet) -> None:
    """Wait until every node is ready and sees all nodes as alive.

    Raises
    ------
    TimeoutError
        If that takes longer than ``READY_TIMEOUT_S``.
    """
    async with aiohttp.ClientSession() as session, asyncio.timeout(READY_TIMEOUT_S):
        await asyncio.gather(*(_wait_ready(session, place, fleet) for place in fleet.places))


async def apply_rules(
    fleet: Fleet, path: Path, author: str, expect_version: int | None = None
) -> None:
    """Apply a rules file with ``ragwortctl apply``.

    Raises
    ------
    RuntimeError
        If the command fails.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        "from ragwort_control.main import run; run()",
        "apply",
        str(path),
        f"--platform={fleet.platform_url}",
        f"--author={author}",
        *([] if expect_version is None else [f"--expect-version={expect_version}"]),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError(f"ragwortctl apply failed: {output.decode()}")


async def configure_server(
    session: aiohttp.ClientSession, place: Place, **behaviour: object
) -> None:
    """Change the behaviour of a stand-in server."""
    async with session.post(place.server_url("/_control/set"), json=behaviour) as response:
        response.raise_for_status()


async def count_runs(session: aiohttp.ClientSession, fleet: Fleet) -> dict[str, int]:
    """Return how often each request ID was run, summed over the servers that still respond."""
    totals: dict[str, int] = {}
    for place in fleet.places:
        with contextlib.suppress(aiohttp.ClientError):
            async with session.get(place.server_url("/_control/runs")) as response:
                for request_id, runs in json.loads(await response.read()).items():
                    totals[request_id] = totals.get(request_id, 0) + runs
    return totals


def _plan_places(plan: DeploymentPlan) -> list[Place]:
    names = ("server", "entry", "link", "control", "admin")
    ports = find_free_ports(len(names) * len(plan.services) * len(plan.domains))
    places = []
    for service in plan.services:
        for region, domain in plan.domains:
            place_ports = {name: ports.pop() for name in names}
            places.append(Place(f"{service}-{domain}", service, region, domain, place_ports))
    return places


def _make_settings(fleet: Fleet, place: Place, overrides: dict[str, dict]) -> dict[str, dict]:
    ports = place.ports
    settings = {
        "node": {
            "id": place.node,
            "service": place.service,
            "region": place.region,
            "failure_domain": place.domain,
        },
        "addresses": {
            name: f"127.0.0.1:{ports[name]}" for name in ("entry", "link", "control", "admin")
        },
        "server": {
            "address": f"127.0.0.1:{ports['server']}",
            "slots": fleet.plan.slots,
            "connections": fleet.plan.connections,
        },
        "platform": {"url": fleet.platform_url},
    }
    for section, values in overrides.items():
        settings.setdefault(section, {}).update(values)
    return settings


async def _start_platform(fleet: Fleet) -> None:
    await start_process(fleet, "-m", "ragwort_standins.platform", f"--port={fleet.platform_port}")
    async with aiohttp.ClientSession() as session, asyncio.timeout(READY_TIMEOUT_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(f"{fleet.platform_url}/control/counts"):
                    return
            await asyncio.sleep(0.05)


async def _wait_ready(session: aiohttp.ClientSession, place: Place, fleet: Fleet) -> None:
    while True:
        with contextlib.suppress(aiohttp.ClientError):
            async with session.get(place.admin_url("/v1/state")) as response:
                state = await response.json()
                if state["ready"] and state["peers"].get("alive") == len(fleet.places):
                    return
        if place.process is not None and place.process.returncode is not None:
            # The folder of the logs is removed with the deployment.
            log = fleet.logs[place.process.pid].read_text()
            print(f"log of node {place.node}:\n{log}", file=sys.stderr)
            raise RuntimeError(f"node {place.node} exited with status {place.process.returncode}")
        await asyncio.sleep(0.1)


async def _stop_all(fleet: Fleet) -> None:
    running = [process for process in fleet.processes if process.returncode is None]
    for process in reversed(running):
        with contextlib.suppress(ProcessLookupError):
            # A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
            process.send_signal(signal.SIGCONT)
            process.terminate()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await asyncio.gather(*(process.wait() for process in running))
    for process in running:
        if process.returncode is None:
            process.kill()
            await process.wait()
