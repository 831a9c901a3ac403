"""A small deployment on loopback: nodes of this repository as processes, and stand-ins around them.

The nodes run with the command of the deploy file. The platform's store, the servers and the clients
are stand-ins in this process; they use the standard library only. Each host has a loopback address
of its own, and all hosts use the same ports, as on the users' platform.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
ID, SIGNATURE = "ragwortvalve-attempt-id", "ragwortvalve-response-signature"
DEADLINE, TARGET = "ragwortvalve-deadline-ms", "ragwortvalve-target-instance"

RESTART_DELAY_S = 0.3
"""Delay after which the platform restarts a process that has ended."""

BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 4000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 6,
    "lossSlackMs": 200,
    "configMs": 2500,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtraTries": 62,
    "recoveryS": 15,
    "probesPerS": 60,
}
"""Bounds of the smallest deployment in the users' pages."""


class Record:
    """Writes ``record.txt``: one line an event, with the seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, event: str, **fields) -> None:
        """Write one event."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {event} {text}\n")
        self._file.flush()


async def read_message(reader: asyncio.StreamReader):
    """Return the first line, the header fields and the body of an HTTP/1.1 message.

    None at the end of the connection. Only bodies with a stated length are read.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an encoded response."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Listener:
    """An HTTP/1.1 server, one request at a time on a connection."""

    def __init__(self, ip: str, port: int, handle) -> None:
        self._ip, self._port, self._handle = ip, port, handle
        self._server = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port, limit=1 << 20, backlog=512
        )

    def stop(self) -> None:
        """Stop accepting, and break all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = asyncio.ensure_future(self._handle(method, target, headers, body))
                # A request is dropped when its connection closes.
                gone = asyncio.ensure_future(reader.read(1))
                try:
                    await asyncio.wait({answer, gone}, return_when=asyncio.FIRST_COMPLETED)
                    if not answer.done():
                        return
                    status, fields, content = answer.result()
                    writer.write(encode_response(status, fields, content))
                    await writer.drain()
                    if fields.get("Connection") == "close":
                        return
                    if gone.done():
                        return
                finally:
                    answer.cancel()
                    gone.cancel()
                    await asyncio.wait({gone})
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            ValueError,
            asyncio.LimitOverrunError,
        ):
            return
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.transport.abort() if writer.transport.is_closing() else writer.close()


class Store:
    """The platform's store: objects by kind and name, conditional writes and watches."""

    LATENCY_S = 0.004

    def __init__(self, ip: str, port: int) -> None:
        self.address = f"{ip}:{port}"
        self._listener = Listener(ip, port, self._handle)
        self._revision = 10
        self._objects: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[str, dict, bool]] = []
        self._changed = asyncio.Condition()
        self._verbatim: dict[str, str] = {}

    async def start(self) -> None:
        """Accept calls."""
        await self._listener.start()

    def stop(self) -> None:
        """Accept no more calls."""
        self._listener.stop()

    async def put(self, kind: str, name: str, spec) -> None:
        """Write an object for the operator; returning from here is the acknowledgement."""
        await self._record(kind, name, spec, False)

    async def put_verbatim(self, kind: str, name: str, text: str) -> None:
        """Write an object of another writer, whose content is any JSON text."""
        mark = f"verbatim-{len(self._verbatim)}"
        self._verbatim[mark] = text
        await self._record(kind, name, mark, False)

    async def _record(self, kind: str, name: str, spec, removed: bool) -> dict:
        self._revision += 1
        metadata = {"name": name, "revision": self._revision, "created": 9}
        stored = {
            "metadata": {**metadata, "finalizers": [], "deletionPending": False},
            "spec": spec,
            "status": None,
        }
        if removed:
            self._objects.pop((kind, name), None)
        else:
            self._objects[kind, name] = stored
        self._history.append((kind, stored, removed))
        async with self._changed:
            self._changed.notify_all()
        return stored

    async def _handle(self, method: str, target: str, headers, body: bytes):
        await asyncio.sleep(self.LATENCY_S)
        parts = urlsplit(target)
        path = [unquote(part) for part in parts.path.split("/")[3:]]
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        status, content = await self._run(method, path, query, body)
        data = json.dumps(content)
        for mark, text in self._verbatim.items():
            data = data.replace(json.dumps(mark), text)
        return status, {"Content-Type": "application/json"}, data.encode()

    async def _run(self, method: str, path: list[str], query: dict[str, str], body: bytes):
        kind = path[0]
        if method == "GET" and len(path) == 1:
            if "watch" in query:
                return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
            after = query.get("after", "")
            items = [
                stored
                for (other, name), stored in sorted(self._objects.items(), key=lambda item: item[0])
                if other == kind and name > after
            ]
            return 200, {"items": items[:500], "hasMore": len(items) > 500, "asOf": self._revision}
        content = json.loads(body) if body else {}
        if method == "POST":
            name = content["metadata"]["name"]
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
            return 200, await self._record(kind, name, content.get("spec"), False)
        name = path[1]
        current = self._objects.get((kind, name))
        if current is None:
            return 404, {}
        if method == "GET":
            return 200, current
        expected = query.get("revision", content.get("metadata", {}).get("revision"))
        if expected is not None and int(expected) != current["metadata"]["revision"]:
            return 409, current
        if method == "DELETE":
            return 200, await self._record(kind, name, current["spec"], True)
        if content.get("spec") == current["spec"]:
            return 200, current
        return 200, await self._record(kind, name, content.get("spec"), False)

    async def _watch(self, kind: str, after: int, wait_ms: int):
        def list_events():
            return [
                {"removed": removed, "object": stored}
                for other, stored, removed in self._history
                if other == kind and stored["metadata"]["revision"] > after
            ]

        try:
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(list_events)
        except TimeoutError:
            pass
        return 200, {"events": list_events(), "asOf": self._revision}


@dataclass
class Run:
    """A request that has reached a server: when, and what became of it."""

    call_id: str
    path: str
    arrived: float
    ran: bool = False
    ended: float | None = None
    status: int = 0


class Server:
    """An application server with slots, a short queue, a load header and heartbeats.

    Attributes
    ----------
    cold_until
        When it stops being cold, on the record's clock.
    requests
        Every request that named this instance, in order of arrival.
    beat_delay_s
        How late the heartbeats that are sent now arrive.
    """

    def __init__(self, world: "World", ip: str, service: str, **options) -> None:
        self.world, self.ip, self.service = world, ip, service
        self.instance = f"i-{random.getrandbits(32):08x}"
        self.slots = options.get("slots", 13)
        self.queue = options.get("queue", 26)
        self.work_s = options.get("work_s", lambda path: 0.067)
        self.body = options.get("body", lambda path: b"x" * 400)
        self.beat_delay_s = 0.0
        self.cold_x = 2.0
        self.cold_until = 0.0
        self.requests: list[Run] = []
        self.running = 0
        self.waiting = 0
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.reports_draining = True
        self._free = asyncio.Condition()
        self._listener = Listener(ip, world.ports["server"], self._handle)
        self._beats: asyncio.Task | None = None
        self._beat_sent = asyncio.Event()

    async def start(self) -> None:
        """Accept requests and send heartbeats."""
        await self._listener.start()
        self._beats = asyncio.create_task(self._send_beats())
        self.world.record.write("server-start", server=self.instance, ip=self.ip)

    def exit(self) -> None:
        """End at once; requests at work are lost."""
        if self._beats is not None:
            self._beats.cancel()
        at_work = [run.call_id for run in self.requests if run.ran and run.ended is None]
        self._listener.stop()
        self.world.record.write("server-exit", server=self.instance, at_work=len(at_work))

    def make_beat(self, **changes) -> dict:
        """Return the content of the next heartbeat."""
        self.seq += 1
        cold_ms = max(0, round((self.cold_until - self.world.record.now()) * 1000))
        return {
            "service": self.service,
            "addr": f"{self.ip}:{self.world.ports['server']}",
            "zone": self.world.zone_of(self.ip),
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": cold_ms,
            "seq": self.seq,
            "born": self.born,
            **changes,
        }

    async def send_beat(self, beat: dict) -> int:
        """Send a heartbeat, and return the status of the acknowledgement, 0 without one."""
        return await self._report("PUT", beat)

    async def leave(self) -> int:
        """Send the departure, and return the status of the acknowledgement."""
        return await self._report("DELETE", {"born": self.born})

    async def _report(self, method: str, content: dict) -> int:
        address = f"{self.ip}:{self.world.ports['control']}"
        path = f"/-/instances/{self.instance}"
        headers = {"Content-Type": "application/json"}
        data = json.dumps(content).encode()
        result = await exchange(address, method, path, headers, data, 1.0)
        described = {name: content[name] for name in ("state", "seq", "service") if name in content}
        self.world.record.write(
            "report", method=method, server=self.instance, status=result.status, **described
        )
        return result.status

    async def _send_beats(self) -> None:
        while True:
            if self.state == "ready" or self.reports_draining:
                task = asyncio.create_task(self._send_late(self.make_beat(), self.beat_delay_s))
                task.add_done_callback(lambda done: done.cancelled() or done.exception())
                self._beat_sent.set()
            await asyncio.sleep(1.5)

    async def wait_for_beat(self) -> None:
        """Wait until the next regular heartbeat is sent."""
        self._beat_sent.clear()
        await self._beat_sent.wait()

    async def _send_late(self, beat: dict, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self.send_beat(beat)

    async def _handle(self, method: str, target: str, headers: dict[str, str], body: bytes):
        load = f"{self.running},{self.waiting},{self.slots},100"
        common = {"Ragwortvalve-Server-Load": load, "Keep-Alive": "timeout=10"}
        now = self.world.record.now()
        if target == "/healthz":
            fields = {"Ragwortvalve-Instance-Id": self.instance, **common}
            fields["Ragwortvalve-Cold-Ms"] = str(max(0, round((self.cold_until - now) * 1000)))
            return (200 if self.state == "ready" else 503), fields, b""
        call_id = headers.get(ID, "")
        fields = {"Ragwortvalve-Attempt-Id": call_id, **common}
        if headers.get(TARGET, self.instance) != self.instance:
            self.world.record.write("misdirected", id=call_id, server=self.instance)
            return 421, {"Ragwortvalve-Instance-Id": self.instance, **fields}, b""
        run = Run(call_id, target, now)
        self.requests.append(run)
        self.world.record.write("arrived", id=call_id, server=self.instance, path=target)
        deadline_s = float(headers.get(DEADLINE, "10000")) / 1000
        not_run = {"Ragwortvalve-Not-Executed": "1", **fields}
        if self.running >= self.slots and self.waiting >= self.queue:
            run.status = 503
            return 503, not_run, b""
        try:
            async with asyncio.timeout(deadline_s):
                self.waiting += 1
                try:
                    async with self._free:
                        await self._free.wait_for(lambda: self.running < self.slots)
                        self.running += 1
                finally:
                    self.waiting -= 1
                run.ran = True
                try:
                    slowed = self.cold_x if now < self.cold_until else 1.0
                    await asyncio.sleep(self.work_s(target) * slowed)
                finally:
                    self.running -= 1
                    run.ended = self.world.record.now()
                    async with self._free:
                        self._free.notify()
        except TimeoutError:
            run.status = 504 if run.ran else 503
            if not run.ran:
                return 503, not_run, b""
            return 504, {SIGNATURE.title(): f"{self.instance}.{call_id}", **fields}, b""
        run.status = 200
        self.world.record.write("ran", id=call_id, server=self.instance)
        fields[SIGNATURE.title()] = f"{self.instance}.{call_id}"
        if self.state != "ready":
            fields["Connection"] = "close"
        return 200, fields, self.body(target)


@dataclass
class Result:
    """What a client got: the status, 0 without one, and whether the answer was complete."""

    status: int = 0
    complete: bool = False
    signed: bool = False
    got_bytes: int = 0
    retry_after_s: float = 0.0
    error: str = ""


async def exchange(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Result:
    """Send one request on a new connection and return the answer."""
    result = Result()
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
            lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
            if not any(name.lower() == "host" for name in headers):
                lines.append(f"Host: {address}")
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            head = await reader.readuntil(b"\r\n\r\n")
            first, *rest = head.decode("latin-1").split("\r\n")[:-2]
            fields = {}
            for line in rest:
                name, _, value = line.partition(":")
                fields[name.strip().lower()] = value.strip()
            result.status = int(first.split(" ")[1])
            result.signed = SIGNATURE in fields
            result.retry_after_s = float(fields.get("retry-after", "0"))
            length = int(fields.get("content-length", "0"))
            while result.got_bytes < length:
                data = await reader.read(min(1 << 16, length - result.got_bytes))
                if not data:
                    result.error = f"closed after {result.got_bytes} of {length} bytes"
                    return result
                result.got_bytes += len(data)
            result.complete = True
    except TimeoutError:
        result.error = "timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        result.error = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            writer.transport.abort()
    return result


@dataclass
class Node:
    """A node as a process; the platform restarts it when it ends.

    Attributes
    ----------
    own_ends
        Times at which the process ended without a signal from this script.
    """

    world: "World"
    name: str
    ip: str
    zone: str
    region: str
    service: str
    process: asyncio.subprocess.Process | None = None
    started_at: float = 0.0
    own_ends: list[float] = field(default_factory=list)
    starts: int = 0
    is_stopping: bool = False
    watcher: asyncio.Task | None = None

    @property
    def outbound(self) -> str:
        """Address for the clients on this host."""
        return f"{self.ip}:{self.world.ports['outbound']}"

    async def start(self) -> None:
        """Start the process, with the command of the deploy file."""
        path = self.world.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.world.make_settings(self)))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split()
        words = [str(path) if word.endswith("settings.json") else word for word in words]
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["RAGWORTVALVE_BOOT"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        log = (self.world.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.starts += 1
        self.is_stopping = False
        self.started_at = self.world.record.now()
        self.world.record.write("node-start", node=self.name, pid=self.process.pid)
        self.watcher = asyncio.create_task(self._restart_when_ended(self.process))

    async def _restart_when_ended(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        if self.is_stopping:
            return
        self.own_ends.append(self.world.record.now())
        self.world.record.write("node-ended-by-itself", node=self.name, status=status)
        await asyncio.sleep(RESTART_DELAY_S)
        if not self.world.is_ending:
            await self.start()

    async def kill(self, signum: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal that ends the process, and wait for its end."""
        self.is_stopping = True
        self.world.record.write("node-signal", node=self.name, signal=signum.name)
        self.process.send_signal(signum)
        await self.process.wait()
        self.world.record.write("node-ended", node=self.name)

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        address = f"{self.ip}:{self.world.ports['ready']}"
        return (await exchange(address, "GET", "/-/ready", {}, b"", 1.0)).status == 200

    def read_log(self, *events: str) -> list[dict]:
        """Return the lines of the log with one of the events."""
        lines = []
        for line in (self.world.folder / f"{self.name}.log").read_bytes().splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                entry = {"event": "raw", "message": line.decode("utf-8", "replace")}
            if entry.get("event") in events:
                lines.append(entry)
        return lines


class World:
    """All hosts, the store, and the processes and stand-ins of a run."""

    def __init__(self, folder: Path, record: Record, bounds: dict | None = None) -> None:
        self.folder = folder
        self.record = record
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.nodes: list[Node] = []
        self.servers: list[Server] = []
        self.is_ending = False
        self._calls = 0
        self.prefix, self.ports = _find_addresses()
        self.store = Store(f"{self.prefix}.250", self.ports["store"])

    def zone_of(self, ip: str) -> str:
        """Return the zone of a host."""
        return next((node.zone for node in self.nodes if node.ip == ip), "")

    def add_node(self, service: str, zone: str = "z1", region: str = "r1") -> Node:
        """Add a host that is started with ``start``."""
        number = len(self.nodes) + 1
        node = Node(
            self, f"sidecar-{zone}-{number}", f"{self.prefix}.{number}", zone, region, service
        )
        self.nodes.append(node)
        return node

    def add_server(self, node: Node, **options) -> Server:
        """Add the server of a host."""
        server = Server(self, node.ip, node.service, **options)
        self.servers.append(server)
        return server

    def make_settings(self, node: Node) -> dict:
        """Return the settings file of a node."""
        ports = self.ports
        names = ("inbound", "outbound", "ready", "control")
        return {
            "nodeName": node.name,
            "role": "node",
            "machineClass": "sidecar",
            "serves": ["sidecar"],
            "ip": node.ip,
            "zone": node.zone,
            "region": node.region,
            "zones": {other.zone: other.region for other in self.nodes},
            "listenAddrs": {name: f"{node.ip}:{ports[name]}" for name in names},
            "internalPortRange": [ports["inbound"] + 20, ports["inbound"] + 35],
            "seedNodes": [],
            "bootstrap": node.starts == 0,
            "countInTolerance": False,
            "limits": {"cpuShare": 0.86, "cores": 1, "memoryMb": 300, "maxFds": 4100},
            "dataDir": None,
            "discovery": "static",
            "entry": "static",
            "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config"],
            "bounds": [f"{name}={value}" for name, value in self.bounds.items()],
            "appAddr": f"{node.ip}:{ports['server']}",
            "service": node.service,
            "platform": {
                "addr": self.store.address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }

    async def start(self, configuration: dict) -> None:
        """Start everything, and wait until all nodes are ready and the fleet is settled."""
        await self.store.start()
        await self.configure(configuration)
        for server in self.servers:
            await server.start()
        await asyncio.gather(*(node.start() for node in self.nodes))
        async with asyncio.timeout(20):
            for node in self.nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.1)
        # Machines are in touch once they have run calmly for stableWindowMs.
        await asyncio.sleep(4.5)

    async def configure(self, configuration: dict) -> None:
        """Write a configuration as the operator does."""
        self.record.write("configuration-sent", version=configuration["version"])
        await self.store.put("config", "main", configuration)
        self.record.write("configuration-acknowledged", version=configuration["version"])

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        self.is_ending = True
        for node in self.nodes:
            node.is_stopping = True
            if node.watcher is not None:
                node.watcher.cancel()
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for server in self.servers:
            server.exit()
        self.store.stop()

    async def call(
        self,
        node: Node,
        path: str,
        deadline_ms: int,
        method: str = "GET",
        key: str = "",
        body: bytes = b"",
        address: str = "",
    ) -> tuple[str, Result]:
        """Send a request to the node on a client's host, and record what came back."""
        self._calls += 1
        call_id = f"{self._calls:06d}{random.getrandbits(32):08x}"
        headers = {
            "Host": "calls.example",
            "Ragwortvalve-Attempt-Id": call_id,
            "Ragwortvalve-Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers["Authorization"] = f"Bearer {key}"
        self.record.write("sent", id=call_id, node=node.name, method=method, path=path)
        target = address or node.outbound
        result = await exchange(target, method, path, headers, body, deadline_ms / 1000)
        self.record.write(
            "answered",
            id=call_id,
            status=result.status,
            complete=result.complete,
            signed=result.signed,
            **({"error": repr(result.error)} if result.error else {}),
        )
        return call_id, result


def make_configuration(version: int, routes: dict, services: dict, tenants: dict | None = None):
    """Return a configuration as the operator writes it."""
    configuration = {
        "version": f"r{version}",
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    if tenants is not None:
        configuration["tenants"] = tenants
    return configuration


def make_route(service: str, prefix: str, kind: str, timeout_ms: int, aim_ms: int, **more) -> dict:
    """Return a route of the host ``calls.example``."""
    return {
        "host": "calls.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": aim_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **more,
    }


def _find_addresses() -> tuple[str, dict[str, int]]:
    """Return a loopback network and ports that are free on all its hosts."""
    names = ("inbound", "outbound", "ready", "control", "server", "store")
    for _ in range(50):
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        base = random.randint(12000, 30000)
        ports = {name: base + number for number, name in enumerate(names)}
        try:
            for host in (*range(1, 13), 250):
                for port in (*ports.values(), 9464):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{prefix}.{host}", port))
        except OSError:
            continue
        return prefix, ports
    raise RuntimeError("no free loopback addresses")


def run_case(play, bounds: dict | None = None, limit_s: float = 115.0) -> None:
    """Play a case and exit with 0 if the rule held, 1 if it was broken, 2 if it could not run.

    ``play`` gets the world and whether the disruption is played, and returns the reasons for which
    the rule is broken.
    """
    case = Path(sys.argv[0]).resolve().parent
    record = Record(case / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", trouble=trouble)

    async def main() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as name:
            world = World(Path(name), record, bounds)
            loop = asyncio.get_running_loop()
            task = asyncio.current_task()
            for signum in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(signum, task.cancel)
            try:
                async with asyncio.timeout(limit_s):
                    broken = await play(world, trouble)
            except Exception as error:  # The case could not run, whatever the reason.
                record.write("could-not-run", error=repr(error))
                print(f"could not run: {error!r}")
                return 2
            finally:
                await world.stop()
            for reason in broken:
                record.write("broken", reason=repr(reason))
                print("broken:", reason)
            record.write("verdict", broken=bool(broken))
            if not broken:
                print("held")
            return 1 if broken else 0

    sys.exit(asyncio.run(main()))
