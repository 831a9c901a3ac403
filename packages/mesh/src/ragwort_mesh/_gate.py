"""Admission gate in front of the server on this host.

All calls to the server pass through the gate, so it knows what the server is running. It tracks
the server's state from its reports, queues and admits calls, forwards them to the server, and
reports the load to the entries.
"""

import asyncio
import itertools
from collections.abc import Callable
from math import inf

from ragwort_common import CallId, CustomerName, Outcome, Reason, ServiceName
from ragwort_flow import (
    ColdLimit,
    CrashDetector,
    Decision,
    InstanceTracker,
    PendingCall,
    RunningCall,
    SchedulerState,
    SchedulingResult,
    Verdict,
    admit_call,
    build_load_report,
    cancel_call,
    complete_call,
    estimate_work,
    is_ready,
    limit_rate,
    needs_probe,
    process_departure,
    process_heartbeat,
    process_leaving_notice,
    record_accepted_connection,
    record_broken_connection,
    record_end,
    record_refused_connection,
    record_reported_slowdown,
    record_server_report,
    record_start,
    record_unanswered_probe,
    record_withdrawal,
    reset_server,
    review_waiting,
    stop_accepting,
    update_server,
)
from ragwort_model import Departure, Heartbeat, InstanceId, InstanceState
from ragwort_platform import (
    ServerNotices,
    build_answer_headers,
    build_health_request,
    build_server_request,
    find_call_id,
    make_answer_check,
    read_health,
    read_notices,
    read_server_answer,
    read_slowdown,
)
from ragwort_protocol import LoadReport, Refusal, Request, Response
from ragwort_transport import (
    BAD_ANSWER,
    CONNECT_FAILED,
    Answer,
    ClientPool,
    Failure,
    InFlightCounter,
)

from ragwort_mesh._call import fingerprint_call
from ragwort_mesh._cold_server import ColdServer
from ragwort_mesh._crash_ledger import CrashLedger, CrashRefusal
from ragwort_mesh._telemetry import Telemetry
from ragwort_mesh._triage_log import TriageLog

REVIEW_INTERVAL_S = 0.01
"""How often the queue is reviewed: a fraction of the shortest objective."""

SERVER_SLACK_MS = 30.0
"""How long after the deadline the server's own response is still awaited: covers its timer and the
delay of one wake-up."""

MAX_REUSE_IDLE_S = 1.0
"""Maximum idle time of a connection that is reused for a non-idempotent call: a server may close an
idle connection, and then it is unknown whether the call ran."""

HEALTH_TIMEOUT_S = 0.5
"""Timeout of a health check; a server responds to it immediately."""

SPEED_TIMEOUT_S = 0.03
"""Timeout of a speed query; also the most that it can delay the call waiting for it."""

MAX_ANSWER_BYTES = 64 << 20
"""Maximum size of a response; the platform's own limit on bodies."""

ADMITTED = Decision(Verdict.RUN)


class Gate:
    """Holds the state of one server and the connections to it.

    Parameters
    ----------
    address
        Address of the server, ``host:port``.
    service
        Service that the server provides.
    clock
        The node's clock, in seconds.
    on_change
        Called when the server starts or stops accepting calls.
    crashes
        Is told of crashes of the server, and says which calls may not run because of them.
    evacuated
        Whether the server's failure domain is evacuated; None until that is known, and until then
        no calls are accepted either.

    Attributes
    ----------
    work
        Counts the calls that wait or run here.
    """

    def __init__(
        self,
        address: str,
        service: ServiceName,
        telemetry: Telemetry,
        clock: Callable[[], float],
        on_change: Callable[[], None],
        crashes: CrashLedger,
        evacuated: bool | None = False,
    ) -> None:
        self._pool = ClientPool(address, max_idle=64, max_response_bytes=MAX_ANSWER_BYTES)
        self._address = address
        self._service = service
        self._telemetry = telemetry
        self._clock = clock
        self._on_change = on_change
        self._crashes = crashes
        self._detector: CrashDetector[Request] = CrashDetector(_describe_running)
        self._end_check: asyncio.Task[None] | None = None
        self._state = SchedulerState()
        self._cold = ColdServer(self._state.cold, telemetry, clock)
        self._triage_log = TriageLog(self._state, telemetry, clock)
        self._tracker = InstanceTracker()
        self._stopping = False
        self._evacuated = evacuated
        self._is_available = False
        self._pending: dict[CallId, asyncio.Future[Decision]] = {}
        self._review: asyncio.TimerHandle | None = None
        self._ids = itertools.count(1)
        self._health_target: str | None = None
        self._speed_query: asyncio.Task[None] | None = None
        self._notices = ServerNotices(max_calls_per_s=None, is_leaving=False)
        self._detached: set[asyncio.Task[Response | Refusal]] = set()
        self.work = InFlightCounter()

    @property
    def accepting(self) -> bool:
        """Whether the server accepts new calls."""
        return self._state.accepting

    @property
    def has_server(self) -> bool:
        """Whether a server on this host has reported and has not left."""
        return self._tracker.current is not None

    def make_report(self) -> LoadReport:
        """Return the current load."""
        return build_load_report(self._state, self._clock())

    def apply_server_report(self, report: Heartbeat | Departure) -> None:
        """Apply a report from the server."""
        now = self._clock()
        before = self._tracker.current
        if isinstance(report, Departure):
            accepted = process_departure(self._tracker, report)
        else:
            accepted = process_heartbeat(self._tracker, now, report)
        if not accepted:
            self._telemetry.counters.add("gate.server_reports_ignored")
            self._log_server("server-report-ignored", report)
            return
        current = self._tracker.current
        if current is None or not is_ready(self._tracker):
            self._mark_unavailable("leaving", report)
            return
        is_new = (
            before is None
            or before.instance != current.instance
            # A health check doesn't state when the server started.
            or before.born_ms not in (0, current.born_ms)
        )
        self._report_crash(before, record_server_report(self._detector, is_new))
        if is_new:
            reset_server(self._state)
        if is_new or not self._is_available:
            self._log_server("server-ready", report)
        self._is_available = True
        self._accept(current, now, self._read_cold(current, now), is_new)
        self._cold.note_change("report")

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
            self.expect_cold()
        current = self._tracker.current
        if current is not None and self._is_available:
            now = self._clock()
            self._accept(current, now, inf if was_evacuated else self._read_cold(current, now))

    def set_health_target(self, target: str | None) -> None:
        """Set the path of the server's health check, or None if it has none."""
        self._health_target = target

    def set_cold_limit(self, limit: ColdLimit | None) -> None:
        """Set the limit on calls while the server is cold, or None if it has none."""
        self._cold.set_limit(limit)

    def expect_cold(self) -> None:
        """Treat the server as cold until a report or a health check states otherwise."""
        self._cold.expect_cold()

    async def watch_cold(self) -> None:
        """Ask the server whether it has turned cold while it gets calls, until cancelled."""
        await self._cold.run(self._check_cold)

    async def _check_cold(self) -> None:
        if self._health_target is None or self._tracker.current is None:
            return
        self._telemetry.counters.add("gate.cold_questions")
        result = await self._pool.exchange(
            build_health_request(self._health_target, self._address), HEALTH_TIMEOUT_S
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
        if self._tracker.current is not None or self._health_target is None:
            return
        result = await self._pool.exchange(
            build_health_request(self._health_target, self._address), HEALTH_TIMEOUT_S
        )
        health = read_health(result) if isinstance(result, Answer) else None
        if health is None:
            self._telemetry.events.write("server-health-unknown", answer=repr(result))
        elif self._tracker.current is None and not self._tracker.departed:
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

    async def run_call(self, request: Request) -> Response | Refusal:
        """Run one call on the server if it is admitted, immediately or after queueing."""
        self.work.add()
        try:
            return await self._admit(request)
        finally:
            self.work.remove()

    async def _admit(self, request: Request) -> Response | Refusal:
        now = self._clock()
        call_id = CallId(next(self._ids))
        pending = PendingCall(
            call_id=call_id,
            kind=request.route,
            rank=request.rank,
            objective=now + request.objective_ms / 1000,
            deadline=now + request.budget_ms / 1000,
            default_work_s=request.work_ms / 1000,
            may_move=request.may_move,
            customer=CustomerName(request.member) if request.member else None,
        )
        decision = admit_call(self._state, now, pending)
        if decision.verdict is Verdict.QUEUED:
            self._telemetry.counters.add("gate.queued")
            try:
                decision = await self._wait_for_admission(call_id)
            except asyncio.CancelledError:
                self._log_cancelled(request, now, None)
                raise
        if decision.verdict is Verdict.REFUSED:
            return self._refuse_by_decision(request, decision, now)
        if request.idempotent:
            return await self._run(request, pending, now)
        run = asyncio.create_task(self._run(request, pending, now))
        # A non-idempotent call cannot be retried, so it is not cancelled when its caller leaves.
        self._detached.add(run)
        self.work.add()
        run.add_done_callback(self._release_detached)
        return await asyncio.shield(run)

    async def close(self) -> None:
        """Close the connections to the server."""
        for task in (self._speed_query, self._end_check):
            if task is not None:
                task.cancel()
        await self._pool.close()

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

    def _mark_unavailable(self, cause: str, report: object) -> None:
        if self._is_available:
            self._is_available = False
            self._log_server(f"server-{cause}", report)
        if self._state.accepting:
            self._stop_admission()

    def _release_detached(self, run: "asyncio.Task[Response | Refusal]") -> None:
        self._detached.discard(run)
        self.work.remove()

    async def _wait_for_admission(self, call_id: CallId) -> Decision:
        decision = asyncio.get_running_loop().create_future()
        self._pending[call_id] = decision
        self._schedule_review()
        self._query_speed_if_needed()
        try:
            return await decision
        except asyncio.CancelledError:
            self._apply_result(cancel_call(self._state, self._clock(), call_id))
            raise
        finally:
            self._pending.pop(call_id, None)

    def _schedule_review(self) -> None:
        if self._review is None:
            loop = asyncio.get_running_loop()
            self._review = loop.call_later(REVIEW_INTERVAL_S, self._review_queue)

    def _review_queue(self) -> None:
        self._review = None
        self._apply_result(review_waiting(self._state, self._clock()))
        self._triage_log.note_decisions()
        if self._pending:
            self._schedule_review()
            self._query_speed_if_needed()

    def _query_speed_if_needed(self) -> None:
        """Query the speed of the server's host if a call waits only for that."""
        now = self._clock()
        if self._speed_query is not None or not needs_probe(self._state, now):
            return
        if self._health_target is not None:
            self._speed_query = asyncio.create_task(self._query_speed(self._health_target))
            return
        # Without a health path, as before the first configuration, the speed cannot be queried.
        record_unanswered_probe(self._state, now)
        self._apply_result(review_waiting(self._state, now))

    async def _query_speed(self, target: str) -> None:
        self._telemetry.counters.add("gate.speed_questions")
        result = await self._pool.exchange(
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

    async def _run(
        self, request: Request, pending: PendingCall, arrived: float
    ) -> Response | Refusal:
        started = self._clock()
        refusal = self._crashes.find_gate_refusal(request)
        if refusal is not None:
            return self._refuse_crashing(request, pending, arrived, refusal)
        start = self._describe_start(started)
        succeeded = False
        done = False
        sent_to = self._tracker.current
        record_start(self._detector, pending.call_id, request)
        self._cold.record_call()
        try:
            result = await self._send(request, (pending.deadline - started) * 1000)
            done = True
            if isinstance(result, Failure) and result.reason is Reason.CONNECTION_LOST:
                self._check_for_crash()
            reply = self._make_reply(request, result, sent_to)
            succeeded = isinstance(reply, Response) and reply.status < 500
        finally:
            now = self._clock()
            if done:
                record_end(self._detector, pending.call_id)
                self._apply_result(complete_call(self._state, now, pending.call_id, succeeded))
            else:
                record_withdrawal(self._detector, now, pending.call_id)
                self._apply_result(cancel_call(self._state, now, pending.call_id))
                self._log_cancelled(request, arrived, started)
        self._log_run(request, reply, arrived, started, now, start)
        return reply

    def _refuse_crashing(
        self, request: Request, pending: PendingCall, arrived: float, refusal: CrashRefusal
    ) -> Refusal:
        """Refuse an admitted call whose request has crashed servers."""
        now = self._clock()
        self._apply_result(cancel_call(self._state, now, pending.call_id))
        reply = self._refuse(
            request, Outcome.NOT_RUN, Reason.CRASHES_SERVERS, refusal.retry_after_ms
        )
        described = {"request": refusal.request.hex(), "crashes": refusal.crashes}
        self._log_run(request, reply, arrived, None, now, described)
        return reply

    def _check_for_crash(self) -> None:
        """Check whether the server still accepts connections, now that one has broken."""
        if record_broken_connection(self._detector, self._clock()):
            self._end_check = asyncio.create_task(self._check_whether_ended())

    async def _check_whether_ended(self) -> None:
        refused = await self._pool.is_refused(HEALTH_TIMEOUT_S)
        self._end_check = None
        if refused:
            self._report_crash(self._tracker.current, record_refused_connection(self._detector))
            self._mark_unavailable("unreachable", CONNECT_FAILED)
        else:
            record_accepted_connection(self._detector)

    def _report_crash(self, server: Heartbeat | None, calls: list[RunningCall]) -> None:
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

    def _describe_start(self, now: float) -> dict[str, object]:
        """Return what is known of the server when a call starts there, for the log."""
        speed = self._state.speed
        return {
            "start_running": len(self._state.running),
            "start_slowdown": round(speed.slowdown * 100),
            "start_slowdown_age_ms": round((now - speed.reported_at) * 1000, 1),
        }

    async def _send(self, request: Request, budget_ms: float) -> Answer | Failure:
        current = self._tracker.current
        if current is None:
            return Failure(Outcome.NOT_RUN, Reason.LEAVING)
        data = build_server_request(
            request.method,
            request.target,
            request.headers,
            request.body,
            current.instance,
            budget_ms,
        )
        result = await self._pool.exchange(
            data,
            max(0.0, budget_ms + SERVER_SLACK_MS) / 1000,
            request.method == "HEAD",
            make_answer_check(find_call_id(request.headers)),
            float("inf") if request.idempotent else MAX_REUSE_IDLE_S,
        )
        self._telemetry.counters.set_gauge("gate.requests_sent", self._pool.requests_sent)
        return result

    def _make_reply(
        self, request: Request, result: Answer | Failure, sent_to: Heartbeat | None
    ) -> Response | Refusal:
        """Return the reply to a call, given the server's response or the failure to get one.

        ``sent_to`` is the latest report, at that time, of the server that the call was sent to.
        """
        if isinstance(result, Failure):
            if result.reason is Reason.CONNECT_FAILED:
                self._report_crash(sent_to, record_refused_connection(self._detector))
                self._mark_unavailable("unreachable", result)
            if result.limit:
                self._telemetry.counters.add("gate.answers_over_limit")
                self._telemetry.events.write(
                    "answer-over-limit",
                    limit=result.limit,
                    server=sent_to.instance if sent_to is not None else None,
                )
            return self._refuse(request, result.outcome, result.reason, 0)
        fields = read_server_answer(result)
        states_notices = fields.instance is None and (fields.is_signed or fields.not_run)
        if states_notices and sent_to is not None:
            self._apply_notices(fields.notices, sent_to.instance)
        if fields.load is not None:
            record_reported_slowdown(self._state, self._clock(), fields.load.slowdown_percent / 100)
        if fields.instance is not None:
            self._mark_unavailable("replaced", fields)
            return self._refuse(request, Outcome.NOT_RUN, Reason.MISDIRECTED, 0)
        if fields.not_run:
            return self._refuse(request, Outcome.NOT_RUN, Reason.SHED, 0)
        if not fields.is_signed:
            return self._refuse(request, BAD_ANSWER.outcome, BAD_ANSWER.reason, 0)
        self._telemetry.counters.add("gate.answered")
        self._crashes.note_answered(request)
        return Response(
            request.call_id,
            result.status,
            build_answer_headers(result.headers) if request.method != "HEAD" else result.headers,
            result.body,
            self.make_report(),
            work_ms=estimate_work(self._state.work, request.route, 0.0) * 1000,
        )

    def _apply_health_notices(self, answer: Answer) -> None:
        """Apply the notices in the answer to a health check, where a missing limit says nothing."""
        notices = read_notices(answer)
        current = self._tracker.current
        if current is not None:
            self._cold.apply_health(answer, current.instance)
        if current is not None and (notices.max_calls_per_s is not None or notices.is_leaving):
            self._apply_notices(notices, current.instance)

    def _apply_notices(self, notices: ServerNotices, instance: InstanceId) -> None:
        """Apply what a server states about itself, and log each change."""
        current = self._tracker.current
        if current is None or current.instance != instance:
            return
        if notices.is_leaving:
            process_leaving_notice(self._tracker, instance)
            self._mark_unavailable("leaving", notices)
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

    def _apply_result(self, result: SchedulingResult) -> None:
        for call_id in result.started:
            self._resolve_pending(call_id, ADMITTED)
        for call_id, decision in result.refused:
            self._resolve_pending(call_id, decision)

    def _resolve_pending(self, call_id: CallId, decision: Decision) -> None:
        future = self._pending.get(call_id)
        if future is not None and not future.done():
            future.set_result(decision)

    def _refuse_by_decision(self, request: Request, decision: Decision, arrived: float) -> Refusal:
        self._triage_log.note_decisions()
        refusal = self._refuse(request, Outcome.NOT_RUN, decision.reason, decision.retry_after_ms)
        now = self._clock()
        self._log_run(request, refusal, arrived, None, now)
        return refusal

    def _refuse(
        self, request: Request, outcome: Outcome, reason: Reason, retry_after_ms: int
    ) -> Refusal:
        self._telemetry.counters.add(f"gate.{outcome.value}.{reason.value}")
        report = self.make_report()
        return Refusal(request.call_id, outcome.value, reason.value, retry_after_ms, report)

    def _log_run(
        self,
        request: Request,
        reply: Response | Refusal,
        arrived: float,
        started: float | None,
        now: float,
        start: dict[str, object] | None = None,
    ) -> None:
        if started is not None:
            self._telemetry.histograms.add("gate.wait", (started - arrived) * 1000)
            self._telemetry.histograms.add("gate.run", (now - started) * 1000)
        report = reply.report
        is_response = isinstance(reply, Response)
        self._telemetry.events.write_call(
            "gate",
            not is_response,
            id=find_call_id(request.headers).decode("latin-1"),
            route=request.route,
            rank=request.rank,
            outcome=Outcome.ANSWERED.value if is_response else reply.outcome,
            reason="" if is_response else reply.reason,
            status=reply.status if is_response else 0,
            waited_ms=round(((started or now) - arrived) * 1000, 1),
            ran_ms=round((now - started) * 1000, 1) if started is not None else None,
            budget_ms=round(request.budget_ms),
            objective_ms=round(request.objective_ms),
            running=report.in_flight,
            waiting=report.queued,
            limit=report.limit,
            slowdown=report.slowdown_percent,
            retry_after_ms=0 if is_response else reply.retry_after_ms,
            **(start or {}),
            **_describe_request(request, reply),
            **({"customer": request.member} if request.member else {}),
        )

    def _log_cancelled(self, request: Request, arrived: float, started: float | None) -> None:
        """Log a call that was cancelled while it was queued or running."""
        self._telemetry.counters.add("gate.withdrawn")
        outcome = Outcome.NOT_RUN if started is None else Outcome.UNKNOWN
        refusal = Refusal(
            request.call_id, outcome.value, Reason.CANCELLED.value, 0, self.make_report()
        )
        self._log_run(request, refusal, arrived, started, self._clock())

    def _log_server(self, event: str, report: object) -> None:
        self._telemetry.events.write(event, report=repr(report))


def _describe_running(call: Request) -> RunningCall:
    return RunningCall(find_call_id(call.headers).decode("latin-1"), fingerprint_call(call))


def _describe_request(request: Request, reply: Response | Refusal) -> dict[str, object]:
    """Return the first fingerprint of a call that its server broke off, for the log."""
    if isinstance(reply, Response) or reply.reason != Reason.CONNECTION_LOST.value:
        return {}
    return {"request": fingerprint_call(request)[0].hex()}
