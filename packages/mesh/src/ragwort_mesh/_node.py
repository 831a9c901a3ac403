"""Creates the components of a node, connects them, and starts and stops them."""

import asyncio
import contextlib
import gc
import logging
import random
import signal
from collections.abc import Coroutine
from typing import Any

from ragwort_common import CustomerName, Incarnation, NodeId
from ragwort_flow import Distance, RetryLimits
from ragwort_model import Bounds, NodeRecord, NodeSettings
from ragwort_protocol import (
    CrashCleared,
    CrashNotice,
    CrashTrial,
    DepartureNotice,
    EvacuationNotice,
    Hello,
    LimitShares,
    LimitsReady,
    LoadReport,
    Message,
    Probe,
    ProbeReply,
    RecordLost,
    Request,
    UsageReport,
)
from ragwort_transport import HeldBodies, HttpServer, Link, PeerCalls

from ragwort_mesh._clock import read_clock, read_time_ms
from ragwort_mesh._cold_server import find_cold_limit
from ragwort_mesh._configuration import ActiveConfiguration
from ragwort_mesh._control import (
    CONTROL_LIMITS,
    build_metrics_handler,
    build_readiness_handler,
    build_report_handler,
)
from ragwort_mesh._crash_archive import CrashArchive
from ragwort_mesh._crash_ledger import CrashLedger
from ragwort_mesh._customer_limits import CustomerLimits
from ragwort_mesh._departures import Departures
from ragwort_mesh._directory import Directory
from ragwort_mesh._dispatcher import Dispatcher
from ragwort_mesh._entry import Entry
from ragwort_mesh._evacuations import Evacuations
from ragwort_mesh._gate import Gate
from ragwort_mesh._load_publisher import LoadPublisher
from ragwort_mesh._peer_sync import PeerSync
from ragwort_mesh._peers import Peers
from ragwort_mesh._placement_explanation import explain_call
from ragwort_mesh._reload import LoadSettings, SettingsWatch
from ragwort_mesh._store import StoreClient
from ragwort_mesh._targets import Targets
from ragwort_mesh._telemetry import Telemetry

log = logging.getLogger(__name__)

FIRST_LINKS_TIMEOUT_S = 1.0
"""How long a starting node waits for its first links before it reports readiness without them, and
before it may watch the store."""

CALLER_DRAIN_S = 2.2
"""How long a stopping node still accepts calls: readiness is polled once a second, and two failed
polls are needed before callers are sent elsewhere."""

CLOSING_FRACTION = 1 / 6
"""Fraction of the grace period reserved for closing; calls that still run then are aborted."""

MAX_REQUEST_BODY_BYTES = 32_000_000
"""Bound on the bytes of the long bodies that a node holds: a sixth of the smallest host's memory of
200 MB, of which the node itself takes up to 128 MB. The memory that a container reports isn't
relied on: without a limit in its control group it is that of the whole machine."""


class Node:
    """The components of one running node."""

    def __init__(
        self,
        settings: NodeSettings,
        telemetry: Telemetry,
        metrics_address: str = "",
        metrics_path: str = "",
    ) -> None:
        self._settings = settings
        self._metrics_address = metrics_address
        self._telemetry = telemetry
        random_source = random.Random()
        addresses = settings.addresses
        self._store = StoreClient(
            addresses.store,
            telemetry,
            self._on_store_status,
            self._on_store_restored,
            lambda: self._peer_sync.find_probe_interval(),
        )
        watch_enabled = self._watch_enabled = asyncio.Event()
        self._configuration = ActiveConfiguration(
            self._store,
            telemetry,
            self._on_configuration,
            watch_enabled,
            settings.bounds.settle_s,
        )
        self._evacuations = Evacuations(
            settings.bounds,
            self._store,
            telemetry,
            lambda: self._peers.list_links(),
            self._on_evacuations,
            watch_enabled,
        )
        self._crashes = CrashLedger(
            settings.node, lambda: self._peers.list_links(), telemetry, read_clock
        )
        self._departures = Departures(
            settings.node,
            self._store,
            telemetry,
            lambda: self._list_domain_links() or [link for _, link in self._peers.list_links()],
            lambda departures: self._gate.learn_departures(departures),
            watch_enabled,
        )
        self._bodies = HeldBodies(MAX_REQUEST_BODY_BYTES, telemetry.counters)
        self._gate = Gate(
            addresses.server,
            settings.service,
            telemetry,
            read_clock,
            self._broadcast_load,
            self._crashes,
            None if self._evacuations.is_enabled else False,
            self._bodies,
            self._departures.record,
            departures_known=False,
        )
        self._gate.set_cold_limit(find_cold_limit(None, settings))
        self._calls = PeerCalls(self._gate.run_call, telemetry.counters, self._receive_other)
        hello = Hello(settings.node, Incarnation(read_time_ms()))
        self._peers = Peers(
            hello,
            self._receive,
            self._on_link_opened,
            self._on_link_closed,
            lambda _: self._peer_sync.update_watching(),
            self._calls.has_calls,
            telemetry,
        )
        self._targets = Targets(settings.failure_domain, settings.region)
        own_record = NodeRecord(
            settings.node,
            addresses.link,
            settings.service,
            settings.failure_domain,
            settings.region,
        )
        self._directory = Directory(
            own_record,
            self._store,
            telemetry,
            self._on_records,
            self._notify_record_lost,
            watch_enabled,
        )
        self._peer_sync = PeerSync(
            own_record,
            self._configuration,
            self._directory,
            self._peers,
            telemetry,
            watch_enabled,
            lambda: self._crash_archive.read_again(),
        )
        self._crash_archive = CrashArchive(
            settings.node,
            self._crashes,
            self._store,
            telemetry,
            self._list_domain_links,
            watch_enabled,
        )
        self._load_publisher = LoadPublisher(
            self._peers, self._gate.make_report, self._targets.find_distance
        )
        self._dispatcher = Dispatcher(
            settings.node,
            self._gate,
            self._peers,
            self._targets,
            self._crashes,
            telemetry,
            read_clock,
            _make_retry_limits(settings.bounds),
            random_source,
            lambda: self._evacuations.failure_domains,
        )
        self._customer_limits = CustomerLimits(
            settings.node,
            settings.bounds,
            self._send_to_node,
            self._targets.count_nodes,
            telemetry,
            read_clock,
        )
        self._entry = Entry(
            settings.service,
            self._configuration,
            self._dispatcher,
            self._customer_limits,
            telemetry,
            read_clock,
            random_source,
        )
        self._entry_server = HttpServer(
            self._entry.handle,
            self._entry.get_limits,
            telemetry.counters,
            self._bodies,
            self._entry.refuse_body,
        )
        self._control_server = HttpServer(
            build_report_handler(
                self._gate, settings.service, telemetry, self._departures.wait_until_stored
            ),
            lambda: CONTROL_LIMITS,
        )
        self._ready_server = HttpServer(
            build_readiness_handler(self._is_ready), lambda: CONTROL_LIMITS
        )
        self._metrics_server = HttpServer(
            build_metrics_handler(
                telemetry,
                metrics_path.encode(),
                lambda host, path, customer: explain_call(
                    self._configuration, self._dispatcher, host, path, CustomerName(customer)
                ),
            ),
            lambda: CONTROL_LIMITS,
        )
        self._configured = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._started_at = read_clock()
        self._stopping = False

    async def start(self) -> None:
        """Listen on all addresses and start the background tasks.

        Raises
        ------
        OSError
            If the node cannot listen on one of the addresses in the settings.
        """
        addresses = self._settings.addresses
        await self._control_server.listen(addresses.control)
        await self._peers.listen(addresses.link)
        await self._entry_server.listen(addresses.entry)
        await self._ready_server.listen(addresses.ready)
        if self._metrics_address:
            await self._metrics_server.listen(self._metrics_address)
        for coroutine in (
            self._configuration.run(),
            self._evacuations.run(),
            self._departures.run(),
            self._departures.run_cleaning(),
            self._directory.run(),
            self._directory.run_watch(),
            self._peer_sync.run(),
            self._crash_archive.run(),
            self._crash_archive.run_reading(),
            self._allow_watching(),
            self._peers.run(),
            self._check_health(),
            self._load_publisher.run(),
            self._gate.watch_cold(),
            self._customer_limits.run(),
        ):
            self._spawn(coroutine)
        self._telemetry.events.write("start", settings=repr(self._settings))
        # The objects created so far live as long as the process, so exclude them from collection.
        gc.collect()
        gc.freeze()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply changed bounds."""
        self._settings = settings
        self._dispatcher.set_retry_limits(_make_retry_limits(settings.bounds))
        self._configuration.set_settle_time(settings.bounds.settle_s)
        self._evacuations.set_bounds(settings.bounds)
        self._gate.set_cold_limit(find_cold_limit(self._configuration.current, settings))
        self._customer_limits.set_bounds(settings.bounds)

    def follow_settings(self, load: LoadSettings) -> SettingsWatch:
        """Start polling the settings file, and return the watch so that a signal can reload it."""
        watch = SettingsWatch(self._settings, load, self.apply_settings, self._telemetry)
        self._spawn(watch.run())
        return watch

    async def stop(self) -> None:
        """Drain callers, wait for calls in flight, and close everything."""
        self._stopping = True
        began = read_clock()
        events = self._telemetry.events
        events.write("stop", running=self._gate.work.count)
        self._entry_server.start_closing()
        server_has_left = not self._gate.has_server
        if server_has_left:
            await self._directory.withdraw()
        await asyncio.sleep(max(0.0, began + CALLER_DRAIN_S - read_clock()))
        self._entry_server.stop_listening()
        self._gate.stop_accepting()
        drain_deadline = began + self._settings.bounds.grace_s * (1 - CLOSING_FRACTION)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, drain_deadline - read_clock())):
                # The gate alone counts calls from peers, and it may still run calls of the entry.
                await self._entry_server.work.wait_idle()
                await self._gate.work.wait_idle()
                await self._calls.wait_idle()
        unfinished = self._entry_server.work.count + self._gate.work.count
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._peers.close()
        for server in (self._entry_server, self._control_server, self._ready_server):
            server.abort()
        self._metrics_server.abort()
        await self._gate.close()
        await self._store.close()
        events.write("stopped", unfinished=unfinished)

    def _is_ready(self) -> bool:
        if self._stopping or self._configuration.current is None:
            return False
        return self._is_linked() or read_clock() - self._started_at > FIRST_LINKS_TIMEOUT_S

    def _is_linked(self) -> bool:
        """Return whether every known node is linked or has been dialled at least once."""
        return self._directory.listed and self._peers.count_missing() == 0

    async def _allow_watching(self) -> None:
        """Start the choice of store watchers once the first links are open."""
        await asyncio.sleep(FIRST_LINKS_TIMEOUT_S)
        self._peer_sync.allow_watching()

    def _notify_record_lost(self, node: NodeId) -> bool:
        """Notify a node that its record is lost, and return whether there is a link to it."""
        link = self._peers.find_link(node)
        if link is not None:
            link.send(RecordLost())
        return link is not None

    def _on_store_status(self, store_available: bool) -> None:
        self._peer_sync.announce_store_status(store_available)

    def _on_store_restored(self) -> None:
        self._configuration.list_again()
        self._evacuations.list_again()
        self._directory.list_again()
        self._crash_archive.publish_again()
        self._departures.publish_again()

    def _on_records(self, records: dict[NodeId, NodeRecord]) -> None:
        self._targets.set_records(records)
        self._peers.set_records(records)
        self._peer_sync.set_records(records)
        self._peers.dial_missing()

    def _on_link_opened(self, link: Link) -> None:
        """Send this node's load and what it knows from the store to a newly linked peer."""
        link.send(self._gate.make_report())
        self._peer_sync.announce(link)
        self._evacuations.announce(link)
        self._departures.announce(link)
        if link.peer is not None:
            self._customer_limits.open_link(link.peer)
        if self._watch_enabled.is_set() and self._is_domain_peer(link.peer):
            self._crashes.send_all(link)
        else:
            self._crashes.send_own(link)

    def _is_domain_peer(self, node: NodeId | None) -> bool:
        return node is not None and self._targets.find_distance(node) is Distance.SAME_DOMAIN

    def _list_domain_links(self) -> list[Link]:
        return [link for node, link in self._peers.list_links() if self._is_domain_peer(node)]

    def _on_link_closed(self, link: Link) -> None:
        self._calls.drop_link(link)
        if link.peer is not None and not self._peers.has_link(link.peer):
            self._targets.drop_early_report(link.peer)
            self._peer_sync.drop_peer(link.peer)
            self._customer_limits.close_link(link.peer)

    def _send_to_node(self, node: NodeId, message: Message) -> None:
        link = self._peers.find_link(node)
        if link is not None:
            link.send(message)

    def _broadcast_load(self) -> None:
        self._load_publisher.broadcast()

    def _on_evacuations(self) -> None:
        domains = self._evacuations.failure_domains
        self._gate.set_evacuated(self._settings.failure_domain in domains)

    def _on_configuration(self) -> None:
        self._peer_sync.announce_revision()
        current = self._configuration.current
        assert current is not None, "notified of a change without a configuration"
        self._gate.set_health_target(current.health_paths.get(self._settings.service))
        self._gate.set_cold_limit(find_cold_limit(current, self._settings))
        self._customer_limits.set_customers(current.customers)
        self._configured.set()

    async def _check_health(self) -> None:
        """Check the server's health once the health path of its service is known."""
        await self._configured.wait()
        await self._gate.check_health()

    def _receive(self, link: Link, message: Message) -> None:
        if type(message) is Request:
            self._load_publisher.record_call(link.peer)
        self._calls.receive(link, message)

    def _receive_other(self, link: Link, message: Message) -> None:
        kind = type(message)
        if kind is Probe:
            link.send(ProbeReply(message.probe_id, self._gate.make_report()))
        elif kind is ProbeReply:
            self._apply_report(link, message.report)
        elif kind is LoadReport:
            self._apply_report(link, message)
        elif kind in (CrashNotice, CrashCleared, CrashTrial):
            self._crashes.receive(link, message)
        elif kind is EvacuationNotice:
            self._evacuations.receive(link, message)
        elif kind is DepartureNotice:
            self._departures.receive(link, message)
        elif kind in (UsageReport, LimitShares, LimitsReady):
            if link.peer is not None:
                self._customer_limits.receive(link.peer, message)
        else:
            self._peer_sync.receive(link, message)

    def _apply_report(self, link: Link, report: LoadReport) -> None:
        if link.peer is not None:
            self._targets.update_report(link.peer, read_clock(), report)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(_stop_process_on_failure)
        self._tasks.append(task)


def _make_retry_limits(bounds: Bounds) -> RetryLimits:
    return RetryLimits(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s)


def _stop_process_on_failure(task: asyncio.Task[None]) -> None:
    """Stop the process if a background task raised an exception, which is a broken invariant."""
    if task.cancelled() or task.exception() is None:
        return
    log.critical("a task has failed; the node ends", exc_info=task.exception())
    signal.raise_signal(signal.SIGTERM)
