"""Starts and stops the components of a node in dependency order."""

import asyncio
import contextlib
import logging
import signal
from collections.abc import Awaitable, Coroutine
from typing import Any

from opentelemetry.sdk.resources import Resource
from ragwort_policy import Membership, is_current
from ragwort_protocol import Message, PeerState
from ragwort_protocol.control import FetchRulesReply
from ragwort_transport import Link

from ragwort_node._admin import AdminCallbacks, build_admin
from ragwort_node._call_reader import EntryLimits
from ragwort_node._composition._context import make_context, split_address
from ragwort_node._composition._fleet_state import build_fleet_state, build_rules
from ragwort_node._composition._idempotency import build_idempotency, maintain_ranges
from ragwort_node._composition._message_router import route_message
from ragwort_node._composition._request_path import build_request_path
from ragwort_node._control import Control, bind_control
from ragwort_node._directory import find_link_address, make_profile
from ragwort_node._entry import build_entry
from ragwort_node._gauges import CountSources, collect_counts
from ragwort_node._gossip import (
    LinkLost,
    LoadChanged,
    StateRequested,
    change_state,
    put_event,
    run_announcer,
    run_gossip,
    run_seeds,
    withdraw,
)
from ragwort_node._http import RunningServer, start_http
from ragwort_node._metrics import flush_metrics
from ragwort_node._settings import Exporter, Settings
from ragwort_node._status import (
    StatusSources,
    read_peers,
    read_rules,
    read_state,
    read_status,
)
from ragwort_node._tracing import export_spans, make_console_exporter

log = logging.getLogger(__name__)

LOAD_INTERVAL_S = 1.0
LEAVING_NOTICE_S = 1.0
"""Time for the LEAVING notice to reach peers before the entry stops accepting callers."""

STOP_STEP_TIMEOUT_S = 5.0
"""Timeout of each of the last steps: releasing key ranges and announcing the LEFT state."""

ADMIN_GRACE_MS = 1000


class Node:
    """The components of one running node.

    ``start`` starts them in dependency order; ``stop`` lets calls in progress finish before it
    closes them. Some components depend on each other, so a few callbacks look up the other one
    through the node when they are called.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._context = make_context(settings)
        self._tasks: list[asyncio.Task[None]] = []
        self._rules = build_rules(lambda: self._fleet_state.gossip)
        self._request_path = build_request_path(
            self._context,
            lambda peer: find_link_address(self._get_membership(), peer),
            self._receive_message,
            lambda peer: put_event(self._fleet_state.gossip, LinkLost(peer)),
        )
        self._idempotency = build_idempotency(
            self._context, self._request_path, self._get_membership
        )

    async def start(self) -> None:
        """Start every component; the node accepts calls when this returns.

        Raises
        ------
        OSError
            When an address in the settings cannot be bound.
        """
        addresses = self._settings.addresses
        link_port = self._request_path.pool.bind(*split_address(addresses.link))
        self._entry = await self._start_entry()
        self._control, control_port = self._bind_control()
        profile = make_profile(
            self._settings,
            f"{split_address(addresses.link)[0]}:{link_port}",
            f"{split_address(addresses.entry)[0]}:{self._entry.port}",
            f"{split_address(addresses.control)[0]}:{control_port}",
        )
        self._fleet_state = build_fleet_state(
            self._context, self._request_path, self._rules, profile
        )
        self._status = self._build_status()
        self._admin = await self._start_admin()
        # Links are accepted only now, since messages from peers need all components to exist.
        await self._request_path.pool.listen()
        await self._control.start()
        await self._context.store.__aenter__()
        self._start_tasks()
        log.info("node %s takes calls on port %d", self._context.node_id, self._entry.port)

    async def stop(self) -> None:
        """Refuse new calls, let those in progress finish, and close everything."""
        log.info("node %s stops: it refuses new calls from its peers", self._context.node_id)
        self._request_path.gate.set_leaving(True)
        drain_s = self._settings.limits.drain_timeout_ms / 1000
        await _run_with_timeout(self._drain(), drain_s)
        await _run_with_timeout(self._idempotency.owner.stop(), STOP_STEP_TIMEOUT_S)
        await _run_with_timeout(
            change_state(self._fleet_state.gossip, PeerState.LEFT), STOP_STEP_TIMEOUT_S
        )
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._admin.stop()
        await self._control.stop(None)
        await self._request_path.pool.close()
        await self._request_path.server.close()
        await self._context.store.__aexit__(None, None, None)
        log.info("node %s has stopped", self._context.node_id)

    def set_drain(self, draining: bool) -> None:
        """Start or end draining the local server."""
        gate = self._request_path.gate
        if draining == gate.leaving:
            return
        gate.set_leaving(draining)
        state = PeerState.LEAVING if draining else PeerState.ALIVE
        put_event(self._fleet_state.gossip, StateRequested(state))
        context = self._context
        self._request_path.services.record_report(
            context.node_id, gate.make_report(), context.clock()
        )
        log.info("draining of the server %s", "starts" if draining else "ends")

    async def _drain(self) -> None:
        await change_state(self._fleet_state.gossip, PeerState.LEAVING)
        await withdraw(self._fleet_state.gossip, self._context.store)
        await asyncio.sleep(LEAVING_NOTICE_S)
        await self._entry.stop()
        await self._request_path.gate.wait_idle()
        await self._request_path.peer_calls.wait_idle()

    def _get_membership(self) -> Membership:
        return self._fleet_state.membership

    def _receive_message(self, link: Link, message: Message) -> None:
        counters = self._context.counters
        route_message(
            self._request_path, self._idempotency, self._fleet_state, counters, link, message
        )

    async def _start_entry(self) -> RunningServer:
        limits = self._settings.limits
        entry = build_entry(
            self._rules.in_force,
            self._idempotency.calls.run_call,
            EntryLimits(limits.header_bytes, limits.body_bytes),
            self._context.counters,
            self._context.clock,
            self._request_path.tracer,
        )
        return await start_http(entry, self._settings.addresses.entry, limits.drain_timeout_ms)

    def _bind_control(self) -> tuple[Any, int]:
        control = Control(
            self._read_rules,
            lambda without_peers: read_status(self._status, without_peers),
            self.set_drain,
            self._settings.admin.token,
        )
        return bind_control(self._settings.addresses.control, control)

    async def _start_admin(self) -> RunningServer:
        callbacks = AdminCallbacks(
            lambda: read_state(self._status),
            lambda: read_rules(self._status),
            lambda: read_peers(self._status),
            self._is_ready,
            self.set_drain,
        )
        admin = build_admin(callbacks, self._settings.admin.token)
        return await start_http(admin, self._settings.addresses.admin, ADMIN_GRACE_MS)

    def _build_status(self) -> StatusSources:
        context, request_path, fleet_state = self._context, self._request_path, self._fleet_state
        sources = CountSources(
            fleet_state.gossip,
            request_path.gate,
            request_path.pool,
            context.store,
            fleet_state.configuration.counts,
            self._idempotency.claims,
            self._idempotency.owner,
        )
        return StatusSources(
            fleet_state.membership,
            request_path.gate,
            request_path.pool,
            context.counters,
            context.clock,
            lambda: self._rules.in_force.revision,
            self._is_ready,
            lambda: fleet_state.configuration.current,
            lambda: collect_counts(sources, context.counters),
            request_path.services,
            self._settings.limits,
        )

    def _start_tasks(self) -> None:
        context, fleet_state = self._context, self._fleet_state
        self._spawn(run_gossip(fleet_state.gossip))
        self._spawn(run_announcer(fleet_state.gossip, context.store))
        if self._settings.node.seeds:
            seeds = self._settings.node.seeds
            self._spawn(
                run_seeds(fleet_state.gossip, seeds, self._request_path.pool.connect_address)
            )
        self._spawn(fleet_state.configuration.run())
        self._spawn(self._idempotency.owner_exchange.run(context.store))
        self._spawn(maintain_ranges(context, self._idempotency, self._get_membership))
        self._spawn(self._report_load())
        self._start_telemetry()

    def _start_telemetry(self) -> None:
        statsd = self._settings.statsd
        self._spawn(
            flush_metrics(
                self._context.counters,
                statsd.host,
                statsd.port,
                statsd.prefix,
                statsd.interval_ms,
                self._status.collect,
            )
        )
        if self._settings.tracing.exporter is Exporter.CONSOLE:
            exporter = make_console_exporter()
            names = {"service.name": "ragwortd", "service.instance.id": self._context.node_id}
            self._spawn(export_spans(self._request_path.tracer, exporter.export, Resource(names)))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(_stop_process_on_failure)
        self._tasks.append(task)

    async def _report_load(self) -> None:
        while True:
            report = self._request_path.gate.make_report()
            free = max(0, report.limit - report.in_flight)
            put_event(self._fleet_state.gossip, LoadChanged(free))
            await asyncio.sleep(LOAD_INTERVAL_S)

    def _is_ready(self) -> bool:
        has_rules = self._rules.in_force.revision > 0
        knows_peers = is_current(self._get_membership(), self._context.clock())
        return has_rules and knows_peers and not self._request_path.gate.leaving

    def _read_rules(self) -> FetchRulesReply:
        current = self._fleet_state.configuration.current
        if current is None:
            return FetchRulesReply(revision=0)
        return FetchRulesReply(revision=current.revision_id.revision, document=current.data)


async def _run_with_timeout(step: Awaitable[Any], timeout_s: float) -> None:
    """Run a step of the shutdown, and continue without it after a timeout."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await step


def _stop_process_on_failure(task: asyncio.Task[None]) -> None:
    """Shut the process down when a task raised an exception, which means a broken invariant."""
    if task.cancelled() or task.exception() is None:
        return
    log.critical("a task has failed; the node ends", exc_info=task.exception())
    signal.raise_signal(signal.SIGTERM)


async def run_node(settings: Settings) -> str:
    """Run a node until SIGTERM or SIGINT; return the error if it could not start, or ``""``."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    node = Node(settings)
    try:
        await node.start()
    except OSError as error:
        return str(error)
    await stopped.wait()
    await node.stop()
    return ""
