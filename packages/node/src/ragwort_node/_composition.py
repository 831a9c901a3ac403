"""The composition root: builds the parts of a node from its settings and runs them."""

import asyncio
import contextlib
import logging
import random
import signal
import time
import uuid
from collections.abc import Coroutine
from typing import Any

from opentelemetry.sdk.resources import Resource
from ragwort_common import FailureDomain, NodeId, Region, Revision, ServiceName
from ragwort_platform import CallBudget, LeaseClient, ObjectStore, read_boot_clock
from ragwort_policy import (
    Change,
    ChoiceSettings,
    EpochFence,
    GateLimits,
    MembershipSettings,
    OwnerMap,
    create_membership,
    find_peer,
    first_incarnation,
    is_current,
    list_alive,
    make_budget,
    make_probe_budget,
)
from ragwort_protocol import (
    ClaimReply,
    ClaimRequest,
    ClaimResult,
    Hello,
    Message,
    OwnerNotice,
    PeerState,
    Probe,
    ProbeReply,
    RevisionNotice,
)
from ragwort_protocol.control import FetchRulesReply

from ragwort_node._admin import AdminPorts, build_admin
from ragwort_node._caller import Caller
from ragwort_node._claim_exchange import ClaimExchange
from ragwort_node._configuration import ConfigurationPorts, ConfigurationTask
from ragwort_node._control import Control, start_control
from ragwort_node._control_client import fetch_rules
from ragwort_node._directory import find_link_address, list_places, make_profile
from ragwort_node._entry import EntryLimits, build_entry
from ragwort_node._gate import Gate
from ragwort_node._gauges import CountSources, collect_counts
from ragwort_node._gossip import (
    Gossip,
    LinkLost,
    LoadChanged,
    PeerMessage,
    RevisionApplied,
    StateWanted,
    change_state,
    put_event,
    run_announcer,
    run_gossip,
    run_seeds,
    withdraw,
)
from ragwort_node._http import start_http
from ragwort_node._keyed_call import KeyedCalls
from ragwort_node._link import Link
from ragwort_node._metrics import Counters, flush_metrics
from ragwort_node._once import KeyClaims
from ragwort_node._owner import LEASE_MARGIN_MS, LEASE_TTL_MS, KeyOwner
from ragwort_node._owner_limits import OwnerClocks, OwnerLimits
from ragwort_node._owner_news import OwnerNews
from ragwort_node._peers import PeerCalls
from ragwort_node._pool import LinkPool
from ragwort_node._prober import Prober
from ragwort_node._rules import RulesKeeper
from ragwort_node._server import ServerClient
from ragwort_node._services import Services
from ragwort_node._settings import Exporter, Settings
from ragwort_node._status import (
    StatusSources,
    read_peers,
    read_rules,
    read_state,
    read_status,
)
from ragwort_node._tracing import Tracer, export_spans, make_console_exporter

log = logging.getLogger(__name__)

LOAD_INTERVAL_S = 1.0
LEAVING_NOTICE_S = 1.0
"""How long a stop waits for its notice to spread before it stops to accept callers."""

ADMIN_GRACE_MS = 1000
KEY_TICK_S = 5.0
KEY_WRITES_PER_S = 100.0
"""Writes a second to the platform that the journals of all key ranges may take together."""

MEMBERSHIP_SHARE = 0.6
"""Part of the bytes of watching that membership may spend; probes may spend the rest."""


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
        self._rules = RulesKeeper(
            lambda revision: put_event(self._gossip, RevisionApplied(revision))
        )

    async def start(self) -> None:
        """Start every part; the node takes calls when this returns."""
        settings = self._settings
        addresses = settings.addresses
        self._build_path()
        self._build_keys()
        link_port = await self._pool.listen(*_split(addresses.link))
        self._entry = await self._start_entry()
        control = Control(
            self._read_rules,
            lambda without_peers: read_status(self._status, without_peers),
            self.set_drain,
            self._token,
        )
        self._control, control_port = await start_control(addresses.control, control)
        self._build_membership(link_port, control_port)
        ports = AdminPorts(
            lambda: read_state(self._status),
            lambda: read_rules(self._status),
            lambda: read_peers(self._status),
            self._is_ready,
            self.set_drain,
        )
        admin = build_admin(ports, self._token)
        self._admin = await start_http(admin, addresses.admin, ADMIN_GRACE_MS)
        await self._store.__aenter__()
        self._start_tasks()
        log.info("node %s takes calls on port %d", self._id, self._entry.port)

    async def stop(self) -> None:
        """Refuse new calls, let those under way end, and close everything."""
        log.info("node %s stops: it refuses new calls from its peers", self._id)
        self._gate.set_leaving(True)
        grace_s = self._settings.limits.drain_timeout_ms / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                await change_state(self._gossip, PeerState.LEAVING)
                await withdraw(self._gossip, self._store)
                await asyncio.sleep(LEAVING_NOTICE_S)
                await self._entry.stop()
                await self._gate.wait_idle()
                await self._key_owner.stop()
                await change_state(self._gossip, PeerState.LEFT)
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
        if draining == self._gate.leaving:
            return
        self._gate.set_leaving(draining)
        state = PeerState.LEAVING if draining else PeerState.ALIVE
        put_event(self._gossip, StateWanted(state))
        self._services.take_report(self._id, self._gate.make_report(), self._clock())
        log.info("draining of the server %s", "starts" if draining else "ends")

    @property
    def _token(self) -> str | None:
        return self._settings.admin.token

    def _build_path(self) -> None:
        """Build what carries calls: the gate, the links, the choice and the caller."""
        settings = self._settings
        node, limits = settings.node, settings.limits
        counters, clock = self._counters, self._clock
        self._incarnation = first_incarnation(time.time_ns() // 1_000_000)
        calls_per_s = settings.platform.calls_per_s
        self._store = ObjectStore(
            settings.platform.url,
            settings.platform.timeout_ms,
            CallBudget(calls_per_s, 2 * calls_per_s, clock),
        )
        self._server = ServerClient(
            settings.server.address, settings.server.connections, limits.answer_bytes
        )
        self._tracer = Tracer(settings.tracing.sample_ratio, self._random, counters)
        self._fence = EpochFence()
        self._gate = Gate(
            self._server,
            GateLimits(settings.server.slots),
            counters,
            clock,
            self._tracer,
            self._fence,
        )
        self._pool = LinkPool(
            Hello(self._id, self._incarnation),
            lambda peer: find_link_address(self._gossip.membership, peer),
            PeerCalls(self._gate, counters, self._receive_other).receive,
            counters,
            limits.connect_timeout_ms,
            lambda peer: put_event(self._gossip, LinkLost(peer)),
        )
        self._services = Services(
            FailureDomain(node.failure_domain), Region(node.region), ChoiceSettings()
        )
        self._prober = self._make_prober()
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

    def _build_keys(self) -> None:
        """Build what runs calls with idempotency keys at most once."""
        owners = OwnerMap()
        ranges = self._settings.node.key_ranges
        self._owner_news = OwnerNews(
            owners, self._fence, self._list_others, self._pool.send, self._counters, self._random
        )
        self._key_owner = KeyOwner(
            self._id,
            self._store,
            LeaseClient(self._store, self._id, read_boot_clock, LEASE_TTL_MS, LEASE_MARGIN_MS),
            OwnerClocks(read_boot_clock, lambda: time.time_ns() // 1_000_000),
            OwnerLimits(writes_per_s=KEY_WRITES_PER_S / ranges),
            owners,
            self._list_owner_nodes,
            self._owner_news.announce,
            ranges,
        )
        self._claim_exchange = ClaimExchange(self._id, self._key_owner, self._pool, self._counters)
        self._claims = KeyClaims(
            owners,
            lambda: uuid.uuid4().bytes,
            self._claim_exchange.send_claim,
            self._claim_exchange.send_result,
            self._clock,
        )
        self._keyed = KeyedCalls(
            self._claims, self._caller.run_call, ranges, self._owner_news.want_list, self._counters
        )

    def _list_others(self) -> list[NodeId]:
        own = self._id
        alive = list_alive(self._gossip.membership)
        return [peer.node_id for peer in alive if peer.node_id != own]

    def _list_owner_nodes(self) -> list[NodeId]:
        """Return the nodes that may own key ranges, those near the platform first."""
        alive = list_alive(self._gossip.membership)
        near = [peer for peer in alive if peer.region == self._settings.platform.region]
        return [peer.node_id for peer in near or alive]

    async def _keep_ranges(self) -> None:
        while True:
            if is_current(self._gossip.membership, self._clock()):
                await self._key_owner.tick()
            await asyncio.sleep(KEY_TICK_S)

    def _make_prober(self) -> Prober:
        watching = self._settings.watching
        now = self._clock()
        share = 1 - MEMBERSHIP_SHARE
        return Prober(
            self._services,
            self._send_probe,
            make_probe_budget(share * watching.node_bytes_per_s, now),
            make_probe_budget(share * watching.region_bytes_per_s, now),
            self._counters,
            self._clock,
        )

    def _send_probe(self, node: NodeId, probe: Probe) -> int:
        if node != self._id:
            return self._pool.send(node, probe)
        self._services.take_report(node, self._gate.make_report(), self._clock())
        return 0

    async def _start_entry(self) -> Any:
        limits = self._settings.limits
        entry = build_entry(
            self._rules.in_force,
            self._keyed.run_call,
            EntryLimits(limits.header_bytes, limits.body_bytes),
            self._counters,
            self._clock,
            self._tracer,
        )
        return await start_http(entry, self._settings.addresses.entry, limits.drain_timeout_ms)

    def _build_membership(self, link_port: int, control_port: int) -> None:
        addresses, watching = self._settings.addresses, self._settings.watching
        now = self._clock()
        profile = make_profile(
            self._settings,
            f"{_split(addresses.link)[0]}:{link_port}",
            f"{_split(addresses.entry)[0]}:{self._entry.port}",
            f"{_split(addresses.control)[0]}:{control_port}",
        )
        membership = create_membership(
            MembershipSettings(),
            self._id,
            profile,
            self._incarnation,
            make_budget(MEMBERSHIP_SHARE * watching.node_bytes_per_s, now),
            make_budget(MEMBERSHIP_SHARE * watching.region_bytes_per_s, now),
            now,
        )
        self._gossip = Gossip(
            membership,
            self._pool.send,
            self._clock,
            self._random,
            self._take_changes,
            self._hear_revision,
        )
        # The node's own server is no change that gossip brings.
        self._update_service(membership.own.service)
        self._configuration = ConfigurationTask(
            membership.own,
            self._store,
            ConfigurationPorts(
                accept=self._rules.accept,
                publish=self._rules.publish,
                send_notice=self._send_notice,
                fetch_document=self._fetch_rules,
                list_peers=lambda: list_alive(membership),
            ),
            self._random,
        )
        sources = CountSources(
            self._gossip,
            self._gate,
            self._pool,
            self._store,
            self._configuration.counts,
            self._claims,
            self._key_owner,
        )
        self._status = StatusSources(
            membership,
            self._gate,
            self._pool,
            self._counters,
            self._clock,
            self._get_revision,
            self._is_ready,
            lambda: self._configuration.current,
            lambda: collect_counts(sources, self._counters),
            self._services,
            self._settings.limits,
        )

    def _start_tasks(self) -> None:
        settings = self._settings
        statsd = settings.statsd
        self._spawn(run_gossip(self._gossip))
        self._spawn(run_announcer(self._gossip, self._store))
        if settings.node.seeds:
            self._spawn(run_seeds(self._gossip, settings.node.seeds, self._pool.meet))
        self._spawn(self._report_load())
        self._spawn(self._owner_news.run(self._store))
        self._spawn(self._keep_ranges())
        self._spawn(self._configuration.run())
        self._spawn(
            flush_metrics(
                self._counters,
                statsd.host,
                statsd.port,
                statsd.prefix,
                statsd.interval_ms,
                self._status.collect,
            )
        )
        if settings.tracing.exporter is Exporter.CONSOLE:
            exporter = make_console_exporter()
            resource = Resource({"service.name": "ragwortd", "service.instance.id": self._id})
            self._spawn(export_spans(self._tracer, exporter.export, resource))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(_stop_process_on_failure)
        self._tasks.append(task)

    def _take_changes(self, changes: list[Change]) -> None:
        """Let the choice know of the services whose peers have changed."""
        for service in {change.peer.service for change in changes}:
            self._update_service(service)

    def _hear_revision(self, revision: Revision, holder: NodeId) -> None:
        if holder:
            self._configuration.hear_revision(holder, revision)

    def _update_service(self, service: ServiceName) -> None:
        places = list_places(self._gossip.membership, service)
        self._services.update(service, places, self._clock())

    async def _report_load(self) -> None:
        while True:
            report = self._gate.make_report()
            put_event(self._gossip, LoadChanged(max(0, report.limit - report.in_flight)))
            await asyncio.sleep(LOAD_INTERVAL_S)

    async def _fetch_rules(self, node: NodeId, at_least: Revision) -> bytes | None:
        peer = find_peer(self._gossip.membership, node)
        if peer is None:
            return None
        return await fetch_rules(peer.profile.control_address, at_least, self._counters)

    def _send_notice(self, node: NodeId, notice: RevisionNotice) -> None:
        self._counters.add("watching.rules_bytes_out", self._pool.send(node, notice))

    def _receive_other(self, link: Link, message: Message) -> None:
        if link.peer is None:
            self._counters.add("link.unexpected_messages")
            return
        match message:
            case Probe():
                sent = link.send(ProbeReply(message.probe_id, self._gate.make_report()))
                self._counters.add("watching.probe_bytes_out", sent)
            case ProbeReply():
                self._prober.receive(link.peer, message)
            case ClaimRequest():
                self._claim_exchange.receive_claim(link, message)
            case ClaimReply():
                self._claim_exchange.receive_reply(message)
            case ClaimResult():
                self._claim_exchange.receive_result(message)
            case OwnerNotice():
                self._owner_news.receive(message)
            case RevisionNotice():
                self._configuration.hear_notice(link.peer, message)
            case _:
                put_event(self._gossip, PeerMessage(link.peer, message))

    def _is_ready(self) -> bool:
        knows_peers = is_current(self._gossip.membership, self._clock())
        return self._get_revision() > 0 and knows_peers and not self._gate.leaving

    def _get_revision(self) -> Revision:
        return self._rules.in_force.revision

    def _read_rules(self) -> FetchRulesReply:
        current = self._configuration.current
        if current is None:
            return FetchRulesReply(revision=0)
        return FetchRulesReply(revision=current.stamp.revision, document=current.data)


def _stop_process_on_failure(task: asyncio.Task[None]) -> None:
    """End the process when a task ended by an exception: that is a broken invariant."""
    if task.cancelled() or task.exception() is None:
        return
    log.critical("a task has failed; the node ends", exc_info=task.exception())
    signal.raise_signal(signal.SIGTERM)


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
