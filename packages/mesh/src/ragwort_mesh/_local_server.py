"""What the gate knows of the server on this host, and whether calls may be sent to it.

The server's state comes from its reports, health checks, the answers to calls, and crashes.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from math import inf

from ragwort_common import Reason, ServiceName
from ragwort_flow import (
    CrashDetector,
    InstanceTracker,
    RunningCall,
    SchedulerState,
    SchedulingResult,
    is_ready,
    limit_rate,
    needs_probe,
    process_departure,
    process_heartbeat,
    record_accepted_connection,
    record_broken_connection,
    record_leaving,
    record_refused_connection,
    record_reported_slowdown,
    record_server_report,
    record_unanswered_probe,
    reset_server,
    review_waiting,
    stop_accepting,
    update_server,
)
from ragwort_model import Departure, Heartbeat, InstanceId, InstanceState, Leaving
from ragwort_platform import (
    ServerNotices,
    build_health_request,
    find_call_id,
    read_health,
    read_notices,
    read_slowdown,
)
from ragwort_protocol import Request
from ragwort_transport import CONNECT_FAILED, Answer, ClientPool

from ragwort_mesh._call import fingerprint_call
from ragwort_mesh._clock import read_time_ms
from ragwort_mesh._cold_server import ColdServer
from ragwort_mesh._crash_ledger import CrashLedger
from ragwort_mesh._telemetry import Telemetry

HEALTH_TIMEOUT_S = 0.5
"""Timeout of a health check; a server responds to it immediately."""

SPEED_TIMEOUT_S = 0.03
"""Timeout of a speed query; also the most that it can delay the call waiting for it."""


class LocalServer:
    """Holds the state of the server on this host, and applies it to the gate's scheduler.

    Parameters
    ----------
    address
        Address of the server, ``host:port``.
    service
        Service that the server provides.
    pool
        Connections to the server.
    state
        The scheduler's state.
    clock
        The node's clock, in seconds.
    apply_result
        Called with the scheduler's decisions after a change of the state.
    on_change
        Called when the server starts or stops accepting calls.
    crashes
        Is told of crashes of the server.
    evacuated
        Whether the server's failure domain is evacuated; None until that is known, and until then
        no calls are accepted either.
    on_leaving
        Called when a server has announced that it leaves.
    departures_known
        Whether it is known which servers have left under earlier processes of this node; until
        ``learn_departures`` is called no calls are accepted either.

    Attributes
    ----------
    health_target
        Path of the server's health check, or None if it has none.
    """

    def __init__(
        self,
        address: str,
        service: ServiceName,
        pool: ClientPool,
        state: SchedulerState,
        telemetry: Telemetry,
        clock: Callable[[], float],
        apply_result: Callable[[SchedulingResult], None],
        on_change: Callable[[], None],
        crashes: CrashLedger,
        evacuated: bool | None,
        on_leaving: Callable[[Leaving], None],
        departures_known: bool,
    ) -> None:
        self.pool = pool
        self.health_target: str | None = None
        self.cold = ColdServer(state.cold, telemetry, clock)
        self.detector: CrashDetector[Request] = CrashDetector(_describe_running)
        self._address = address
        self._service = service
        self._state = state
        self._telemetry = telemetry
        self._clock = clock
        self._apply_result = apply_result
        self._on_change = on_change
        self._crashes = crashes
        self._tracker = InstanceTracker()
        self._stopping = False
        self._evacuated = evacuated
        self._on_leaving = on_leaving
        self._departures_known = departures_known
        self._is_new_held = False
        self._announced: tuple[InstanceId, int] | None = None
        self._is_available = False
        self._notices = ServerNotices(max_calls_per_s=None, is_leaving=False)
        self._end_check: asyncio.Task[None] | None = None
        self._speed_query: asyncio.Task[None] | None = None

    @property
    def current(self) -> Heartbeat | None:
        """The latest report of the server; None if there is none or the server has left."""
        return self._tracker.current

    def find_closed_reason(self) -> Reason | None:
        """Return why a call that has not been sent yet may not be sent, or None if it may.

        Unlike a new call it may be while the node stops.
        """
        if self._evacuated:
            return Reason.EVACUATED
        return None if self._is_available else Reason.LEAVING

    def apply_server_report(self, report: Heartbeat | Departure) -> None:
        """Apply a report from the server."""
        now = self._clock()
        before = self.current
        if isinstance(report, Departure):
            accepted = self._apply_departure(report)
        else:
            accepted = process_heartbeat(self._tracker, now, report)
        if not accepted:
            self._telemetry.counters.add("gate.server_reports_ignored")
            self._log_server("server-report-ignored", report)
            return
        current = self.current
        if current is None or not is_ready(self._tracker):
            if current is not None:
                self._announce_leaving(current)
            self.mark_unavailable("leaving", report)
            return
        is_new = (
            before is None
            or before.instance != current.instance
            # A health check doesn't state when the server started.
            or before.born_ms not in (0, current.born_ms)
        )
        self.report_crash(before, record_server_report(self.detector, is_new))
        if is_new:
            reset_server(self._state)
        if is_new or not self._is_available:
            self._log_server("server-ready", report)
        self._is_available = True
        self._accept(current, now, self._read_cold(current, now), is_new)
        self.cold.note_change("report")

    def _apply_departure(self, departure: Departure) -> bool:
        """Apply a goodbye, and return whether it is that of the current server."""
        now_ms = read_time_ms()
        current = self.current
        if current is not None and current.instance != departure.instance:
            current = None
        if not departure.born_ms and (current is None or not current.born_ms):
            # All starts up to now have left.
            departure = replace(departure, born_ms=now_ms)
        accepted = process_departure(self._tracker, departure)
        if accepted or current is None:
            born_ms = self._tracker.departed[departure.instance]
            self._on_leaving(Leaving(departure.instance, born_ms, now_ms, True))
        return accepted

    def _announce_leaving(self, server: Heartbeat) -> None:
        if self._announced == (server.instance, server.born_ms):
            return
        self._announced = (server.instance, server.born_ms)
        now_ms = read_time_ms()
        # A health check doesn't state when the server started.
        leaving = Leaving(server.instance, server.born_ms or now_ms, now_ms, False)
        record_leaving(self._tracker, leaving)
        self._on_leaving(leaving)

    def learn_departures(self, departures: list[Leaving]) -> None:
        """Apply which servers have left under earlier processes of this node."""
        was_known, self._departures_known = self._departures_known, True
        for leaving in departures:
            record_leaving(self._tracker, leaving)
        current = self.current
        if current is None or not is_ready(self._tracker):
            self.mark_unavailable("leaving", departures)
        elif not was_known and self._is_available:
            now = self._clock()
            self._accept(current, now, self._read_cold(current, now), self._is_new_held)

    def set_evacuated(self, evacuated: bool) -> None:
        """Refuse all calls while the server's domain is evacuated; running ones continue."""
        was_evacuated = self._evacuated
        if evacuated == was_evacuated:
            return
        self._evacuated = evacuated
        if evacuated or was_evacuated:
            self._telemetry.events.write(
                "server-evacuated",
                evacuated=evacuated,
                running=len(self._state.running),
                waiting=len(self._state.waiting),
            )
        if evacuated:
            self._stop_admission(Reason.EVACUATED)
            return
        self._apply_result(stop_accepting(self._state))
        if was_evacuated:
            # The server may have turned cold meanwhile, so its latest report doesn't count.
            self.cold.expect_cold()
        current = self.current
        if current is not None and self._is_available:
            now = self._clock()
            self._accept(current, now, inf if was_evacuated else self._read_cold(current, now))

    async def watch_cold(self) -> None:
        """Ask the server whether it has turned cold while it gets calls, until cancelled."""
        await self.cold.run(self._check_cold)

    async def _check_cold(self) -> None:
        if self.health_target is None or self.current is None:
            return
        self._telemetry.counters.add("gate.cold_questions")
        result = await self.pool.exchange(
            build_health_request(self.health_target, self._address), HEALTH_TIMEOUT_S
        )
        if isinstance(result, Answer):
            self._apply_health_notices(result)
        else:
            self._telemetry.counters.add("gate.cold_questions_unanswered")

    async def check_health(self) -> None:
        """Check the server's health and identity, unless it has already reported.

        With this a restarted node need not wait for the server's next report. A server that is
        leaving reports itself unhealthy, so no calls are sent to it.
        """
        if self.current is not None or self.health_target is None:
            return
        result = await self.pool.exchange(
            build_health_request(self.health_target, self._address), HEALTH_TIMEOUT_S
        )
        health = read_health(result) if isinstance(result, Answer) else None
        if health is None:
            self._telemetry.events.write("server-health-unknown", answer=repr(result))
        elif self.current is None:
            self.apply_server_report(
                Heartbeat(
                    instance=health.instance,
                    born_ms=0,
                    sequence=0,
                    service=self._service,
                    address=self._address,
                    state=InstanceState.READY,
                    slots=health.load.slots,
                    cold_ms=health.cold_ms,
                )
            )
            if isinstance(result, Answer):
                self._apply_health_notices(result)

    def stop_accepting(self) -> None:
        """Refuse all further calls because the node is stopping; running calls continue."""
        self._stopping = True
        self._stop_admission()

    def _stop_admission(self, reason: Reason = Reason.LEAVING) -> None:
        self._apply_result(stop_accepting(self._state, reason))
        self._on_change()

    def _accept(
        self, server: Heartbeat, now: float, cold_s: float | None, is_new: bool = False
    ) -> None:
        """Accept calls for the server, given its latest report, unless the gate is closed."""
        if not self._departures_known:
            self._is_new_held |= is_new
            return
        if self._stopping or self._evacuated is not False:
            return
        was_accepting = self._state.accepting
        update_server(self._state, now, server.slots, cold_s, is_new)
        if not was_accepting:
            self._on_change()

    def _read_cold(self, server: Heartbeat, now: float) -> float | None:
        """Return how long the server stays cold by its report, None if it doesn't state that."""
        if server.cold_ms is None:
            return None
        return max(0.0, server.cold_ms / 1000 - (now - self._tracker.last_heartbeat_at))

    def mark_unavailable(self, cause: str, report: object) -> None:
        """Refuse all calls until the server reports again."""
        if self._is_available:
            self._is_available = False
            self._log_server(f"server-{cause}", report)
        if self._state.accepting:
            self._stop_admission()

    def query_speed_if_needed(self) -> None:
        """Query the speed of the server's host if a call waits only for that."""
        now = self._clock()
        if self._speed_query is not None or not needs_probe(self._state, now):
            return
        if self.health_target is not None:
            self._speed_query = asyncio.create_task(self._query_speed(self.health_target))
            return
        # Without a health path, as before the first configuration, the speed cannot be queried.
        record_unanswered_probe(self._state, now)
        self._apply_result(review_waiting(self._state, now))

    async def _query_speed(self, target: str) -> None:
        self._telemetry.counters.add("gate.speed_questions")
        result = await self.pool.exchange(
            build_health_request(target, self._address), SPEED_TIMEOUT_S, may_resend=True
        )
        self._speed_query = None
        slowdown = read_slowdown(result) if isinstance(result, Answer) else None
        if isinstance(result, Answer):
            self._apply_health_notices(result)
        now = self._clock()
        if slowdown is not None:
            record_reported_slowdown(self._state, now, slowdown)
        else:
            self._telemetry.counters.add("gate.speed_questions_unanswered")
            record_unanswered_probe(self._state, now)
        self._apply_result(review_waiting(self._state, now))

    def check_for_crash(self) -> None:
        """Check whether the server still accepts connections, now that one has broken."""
        if record_broken_connection(self.detector, self._clock()):
            self._end_check = asyncio.create_task(self._check_whether_ended())

    async def _check_whether_ended(self) -> None:
        refused = await self.pool.is_refused(HEALTH_TIMEOUT_S)
        self._end_check = None
        if refused:
            self.report_crash(self.current, record_refused_connection(self.detector))
            self.mark_unavailable("unreachable", CONNECT_FAILED)
        else:
            record_accepted_connection(self.detector)

    def report_crash(self, server: Heartbeat | None, calls: list[RunningCall]) -> None:
        """Report the end of a server that was not about to leave, if it was running calls."""
        if not calls or server is None or server.state is not InstanceState.READY:
            return
        self._telemetry.counters.add("gate.crashes")
        self._telemetry.events.write(
            "server-crashed",
            server=server.instance,
            calls=[{"id": call.call_id, "request": call.requests[0].hex()} for call in calls],
        )
        self._crashes.report_crash(server.instance, calls)

    def _apply_health_notices(self, answer: Answer) -> None:
        """Apply the notices in the answer to a health check, where a missing limit says nothing."""
        notices = read_notices(answer)
        current = self.current
        if current is not None:
            self.cold.apply_health(answer, current.instance)
        if current is not None and (notices.max_calls_per_s is not None or notices.is_leaving):
            self.apply_notices(notices, current.instance)

    def apply_notices(self, notices: ServerNotices, instance: InstanceId) -> None:
        """Apply what a server states about itself, and log each change."""
        current = self.current
        if current is None or current.instance != instance:
            return
        if notices.is_leaving:
            self._announce_leaving(current)
            self.mark_unavailable("leaving", notices)
        limit_rate(self._state, self._clock(), notices.max_calls_per_s)
        if notices == self._notices:
            return
        self._notices = notices
        counters = self._telemetry.counters
        counters.set_gauge("gate.max_calls_per_s", notices.max_calls_per_s or 0.0)
        self._telemetry.events.write(
            "server-notices",
            max_calls_per_s=notices.max_calls_per_s,
            leaving=notices.is_leaving,
        )

    def _log_server(self, event: str, report: object) -> None:
        self._telemetry.events.write(event, report=repr(report))

    def close(self) -> None:
        """Cancel the queries in progress."""
        for task in (self._speed_query, self._end_check):
            if task is not None:
                task.cancel()


def _describe_running(call: Request) -> RunningCall:
    return RunningCall(find_call_id(call.headers).decode("latin-1"), fingerprint_call(call))
