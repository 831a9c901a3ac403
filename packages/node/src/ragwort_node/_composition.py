"""The composition root: builds the parts of a node from its settings and runs them."""

import asyncio
import contextlib
import logging
import random
import signal
import time
from collections.abc import Coroutine
from typing import Any

from opentelemetry.sdk.resources import Resource
from ragwort_common import FailureDomain, Incarnation, NodeId, Region, Revision, ServiceName
from ragwort_platform import (
    NODES_PREFIX,
    RULES_PATH,
    Announcement,
    ObjectStore,
    RulesDocument,
    decode_document,
    encode_announcement,
    encode_document,
)
from ragwort_policy import ChoiceSettings, GateLimits, ServerPlace, make_probe_budget
from ragwort_protocol import Hello, Message, Probe, ProbeReply
from ragwort_protocol.control import FetchRulesReply, GetStatusReply, Peer
from ragwort_rules import build_matcher, list_services, parse_rules

from ragwort_node._admin import build_admin
from ragwort_node._caller import Caller
from ragwort_node._control import Control, start_control
from ragwort_node._directory import Directory, refresh_directory
from ragwort_node._entry import EntryLimits, RulesInForce, build_entry
from ragwort_node._gate import Gate
from ragwort_node._http import start_http
from ragwort_node._link import Link
from ragwort_node._metrics import Counters, flush_metrics
from ragwort_node._peers import PeerCalls
from ragwort_node._pool import LinkPool
from ragwort_node._prober import Prober
from ragwort_node._server import ServerClient
from ragwort_node._services import Services, ServiceServer
from ragwort_node._settings import Exporter, Settings
from ragwort_node._tracing import Tracer, export_spans, make_console_exporter

log = logging.getLogger(__name__)

RULES_INTERVAL_S = 0.5
LEAVING_NOTICE_S = 1.0
"""How long a stop waits after it has told the peers, before it refuses their calls' links."""


class Node:
    """The parts of one running node.

    ``start`` builds and starts them in the order of their needs; ``stop`` ends them so that no
    call under way is cut off.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._id = NodeId(settings.node.id)
        self._clock = time.monotonic
        self._random = random.Random()
        self._counters = Counters()
        self._tasks: list[asyncio.Task[None]] = []
        self._rules = RulesInForce()
        self._document: RulesDocument | None = None
        self._draining = False

    async def start(self) -> None:
        """Start every part; the node takes calls when this returns."""
        settings = self._settings
        self._build_parts()
        link_port = await self._pool.listen(*_split(settings.addresses.link))
        grace_ms = settings.limits.drain_timeout_ms
        entry = build_entry(
            self._rules,
            self._caller.run_call,
            EntryLimits(settings.limits.header_bytes, settings.limits.body_bytes),
            self._counters,
            self._clock,
            self._tracer,
        )
        self._entry = await start_http(entry, settings.addresses.entry, grace_ms)
        control = Control(self._read_rules, self._read_status, self.set_drain, settings.admin.token)
        self._control, control_port = await start_control(settings.addresses.control, control)
        admin = build_admin(self._read_state, self._is_ready, self.set_drain, settings.admin.token)
        self._admin = await start_http(admin, settings.addresses.admin, 1000)
        self._announce(link_port, control_port)
        await self._store.__aenter__()
        self._start_tasks()
        log.info("node %s takes calls at %s", self._id, self._own.entry_address)

    async def stop(self) -> None:
        """Refuse new calls, let those under way end, and close everything."""
        log.info("node %s stops: it refuses new calls from its peers", self._id)
        self._gate.set_leaving(True)
        await self._withdraw()
        grace_s = self._settings.limits.drain_timeout_ms / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                await asyncio.sleep(LEAVING_NOTICE_S)
                await self._entry.stop()
                await self._gate.wait_idle()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._admin.stop()
        await self._control.stop(None)
        await self._pool.close()
        await self._server.close()
        await self._store.__aexit__(None, None, None)
        log.info("node %s has stopped", self._id)

    def set_drain(self, draining: bool) -> None:
        """Start or end the draining of the local server."""
        if draining == self._draining:
            return
        self._draining = draining
        self._gate.set_leaving(draining)
        log.info("draining of the server %s", "starts" if draining else "ends")

    def _build_parts(self) -> None:
        settings = self._settings
        node, limits = settings.node, settings.limits
        counters, clock = self._counters, self._clock
        self._store = ObjectStore(settings.platform.url, settings.platform.timeout_ms)
        self._server = ServerClient(
            settings.server.address, settings.server.connections, limits.answer_bytes
        )
        self._tracer = Tracer(settings.tracing.sample_ratio, self._random, counters)
        self._gate = Gate(
            self._server, GateLimits(settings.server.slots), counters, clock, self._tracer
        )
        self._incarnation = Incarnation(time.time_ns() // 1_000_000)
        self._peer_calls = PeerCalls(self._gate, counters, self._receive_other)
        self._directory: Directory | None = None
        self._pool = LinkPool(
            Hello(self._id, self._incarnation),
            self._find_link_address,
            self._peer_calls.receive,
            counters,
            limits.connect_timeout_ms,
        )
        self._services = Services(
            FailureDomain(node.failure_domain), Region(node.region), ChoiceSettings()
        )
        now = clock()
        self._prober = Prober(
            self._services,
            self._pool.send,
            make_probe_budget(settings.watching.node_bytes_per_s / 2, now),
            make_probe_budget(settings.watching.region_bytes_per_s / 2, now),
            counters,
            clock,
        )
        self._caller = Caller(
            self._id,
            self._gate,
            self._pool,
            self._services,
            self._prober,
            counters,
            clock,
            self._random,
        )

    def _announce(self, link_port: int, control_port: int) -> None:
        node, addresses = self._settings.node, self._settings.addresses
        self._own = Announcement(
            node_id=self._id,
            service=ServiceName(node.service),
            region=Region(node.region),
            failure_domain=FailureDomain(node.failure_domain),
            link_address=f"{_split(addresses.link)[0]}:{link_port}",
            entry_address=f"{_split(addresses.entry)[0]}:{self._entry.port}",
            control_address=f"{_split(addresses.control)[0]}:{control_port}",
            incarnation=self._incarnation,
        )
        self._directory = Directory(self._own)
        self._update_servers()

    def _start_tasks(self) -> None:
        settings = self._settings
        statsd = settings.statsd
        self._spawn(self._keep_announced())
        self._spawn(
            refresh_directory(self._directory, self._store, self._update_servers, self._counters)
        )
        self._spawn(self._follow_rules())
        self._spawn(
            flush_metrics(
                self._counters, statsd.host, statsd.port, statsd.prefix, statsd.interval_ms
            )
        )
        if settings.tracing.exporter is Exporter.CONSOLE:
            exporter = make_console_exporter()
            resource = Resource({"service.name": "ragwortd", "service.instance.id": self._id})
            self._spawn(export_spans(self._tracer, exporter.export, resource))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _keep_announced(self) -> None:
        path = NODES_PREFIX + self._id
        data = encode_announcement(self._own)
        while True:
            stored = await self._store.get(path)
            if stored.is_ok():
                written = await self._store.update(path, data, stored.ok.version)
            else:
                written = await self._store.create(path, data)
            if written.is_ok():
                return
            await asyncio.sleep(1)

    async def _withdraw(self) -> None:
        path = NODES_PREFIX + self._id
        stored = await self._store.get(path)
        if stored.is_ok():
            await self._store.delete(path, stored.ok.version)

    async def _follow_rules(self) -> None:
        while True:
            stored = await self._store.get(RULES_PATH)
            if stored.is_ok():
                decode_document(stored.ok.data).map(self._accept_rules)
            await asyncio.sleep(RULES_INTERVAL_S)

    def _accept_rules(self, document: RulesDocument) -> bool:
        """Put a rules document in force unless it is not newer or has mistakes."""
        if self._document is not None and document.revision <= self._document.revision:
            return False
        parsed = parse_rules(document.text)
        if parsed.mistakes:
            self._counters.add("rules.broken")
            return False
        self._rules.find_treatment = build_matcher(parsed.rules)
        self._rules.services = list_services(parsed.rules)
        self._document = document
        log.info("rules revision %d is in force", document.revision)
        return True

    def _find_link_address(self, node: NodeId) -> str | None:
        return self._directory.find_link_address(node) if self._directory else None

    def _update_servers(self) -> None:
        servers = [
            ServiceServer(
                announcement.service,
                ServerPlace(announcement.node_id, announcement.failure_domain, announcement.region),
            )
            for announcement in self._directory.nodes.values()
        ]
        self._services.update(servers, self._clock())

    def _receive_other(self, link: Link, message: Message) -> None:
        kind = type(message)
        if kind is Probe:
            sent = link.send(ProbeReply(message.probe_id, self._gate.make_report()))
            self._counters.add("watching.probe_bytes_out", sent)
        elif kind is ProbeReply and link.peer is not None:
            self._prober.receive(link.peer, message)
        else:
            self._counters.add("link.unexpected_messages")

    def _is_ready(self) -> bool:
        return self._rules.find_treatment is not None and not self._draining

    def _read_rules(self) -> FetchRulesReply:
        if self._document is None:
            return FetchRulesReply(revision=0)
        return FetchRulesReply(
            revision=self._document.revision, document=encode_document(self._document)
        )

    def _read_status(self) -> GetStatusReply:
        report = self._gate.make_report()
        return GetStatusReply(
            self=self._describe(self._own),
            ready=self._is_ready(),
            draining=self._gate.leaving,
            in_flight=report.in_flight,
            limit=report.limit,
            queued=report.queued,
            peers=[self._describe(peer) for peer in self._directory.nodes.values()],
        )

    def _describe(self, announcement: Announcement) -> Peer:
        return Peer(
            node_id=announcement.node_id,
            service=announcement.service,
            region=announcement.region,
            failure_domain=announcement.failure_domain,
            incarnation=announcement.incarnation,
            link_address=announcement.link_address,
            control_address=announcement.control_address,
            revision=self._get_revision() if announcement is self._own else 0,
        )

    def _get_revision(self) -> Revision:
        return self._document.revision if self._document else Revision(0)

    def _read_state(self) -> dict[str, Any]:
        report = self._gate.make_report()
        return {
            "node": self._id,
            "revision": self._get_revision(),
            "draining": self._gate.leaving,
            "gate": {
                "in_flight": report.in_flight,
                "limit": report.limit,
                "queued": report.queued,
                "service_time_us": report.service_time_us,
            },
            "links": self._pool.count_links(),
            "counters": dict(self._counters.totals),
        }


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


async def run_node(settings: Settings) -> None:
    """Run a node until it gets SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    node = Node(settings)
    await node.start()
    await stopped.wait()
    await node.stop()
