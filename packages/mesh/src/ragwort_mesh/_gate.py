"""Admission gate in front of the server on this host.

All calls to the server pass through the gate, so it knows what the server is running. It queues and
admits calls, forwards them to the server, and reports the load to the entries.
"""

import asyncio
import itertools
from collections.abc import Callable

from ragwort_common import CallId, CustomerName, Outcome, Reason, ServiceName
from ragwort_flow import (
    ColdLimit,
    Decision,
    PendingCall,
    SchedulerState,
    SchedulingResult,
    Verdict,
    admit_call,
    build_load_report,
    cancel_call,
    complete_call,
    estimate_work,
    record_end,
    record_refused_connection,
    record_reported_slowdown,
    record_start,
    record_withdrawal,
    review_waiting,
)
from ragwort_model import Departure, Heartbeat, Leaving
from ragwort_platform import (
    build_answer_headers,
    build_server_request,
    find_call_id,
    make_answer_check,
    read_server_answer,
)
from ragwort_protocol import LoadReport, Refusal, Request, Response, replace_fields
from ragwort_transport import (
    BAD_ANSWER,
    Answer,
    BodyHold,
    ClientPool,
    Failure,
    HeldBodies,
    IncomingBody,
    InFlightCounter,
)

from ragwort_mesh._call_log import CallLog
from ragwort_mesh._crash_ledger import CrashLedger, CrashRefusal
from ragwort_mesh._local_server import LocalServer
from ragwort_mesh._telemetry import Telemetry
from ragwort_mesh._triage_log import TriageLog
from ragwort_mesh._uploads import Uploads

REVIEW_INTERVAL_S = 0.01
"""How often the queue is reviewed: a fraction of the shortest objective."""

SERVER_SLACK_MS = 30.0
"""How long after the deadline the server's own response is still awaited: covers its timer and the
delay of one wake-up."""

MAX_REUSE_IDLE_S = 1.0
"""Maximum idle time of a connection that is reused for a non-idempotent call: a server may close an
idle connection, and then it is unknown whether the call ran."""

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
    bodies
        Bounds the bytes of the bodies that peers send; None for no bound.
    on_leaving, departures_known
        See ``LocalServer``.

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
        bodies: HeldBodies | None = None,
        on_leaving: Callable[[Leaving], None] = lambda leaving: None,
        departures_known: bool = True,
    ) -> None:
        self._pool = ClientPool(address, max_idle=64, max_response_bytes=MAX_ANSWER_BYTES)
        self._telemetry = telemetry
        self._clock = clock
        self._crashes = crashes
        self._state = SchedulerState()
        self._server = LocalServer(
            address,
            service,
            self._pool,
            self._state,
            telemetry,
            clock,
            self._apply_result,
            on_change,
            crashes,
            evacuated,
            on_leaving,
            departures_known,
        )
        self._bodies = bodies or HeldBodies()
        self._uploads = Uploads(self._state, telemetry, clock)
        self._triage_log = TriageLog(self._state, telemetry, clock)
        self._log = CallLog(telemetry, clock, self.make_report)
        self._pending: dict[CallId, asyncio.Future[Decision]] = {}
        self._review: asyncio.TimerHandle | None = None
        self._ids = itertools.count(1)
        self._detached: set[asyncio.Task[Response | Refusal]] = set()
        self.work = InFlightCounter()

    @property
    def accepting(self) -> bool:
        """Whether the server accepts new calls."""
        return self._state.accepting

    @property
    def has_server(self) -> bool:
        """Whether a server on this host has reported and has not left."""
        return self._server.current is not None

    def make_report(self) -> LoadReport:
        """Return the current load."""
        return build_load_report(self._state, self._clock())

    def apply_server_report(self, report: Heartbeat | Departure) -> None:
        """Apply a report from the server."""
        self._server.apply_server_report(report)

    def learn_departures(self, departures: list[Leaving]) -> None:
        """Apply which servers have left under earlier processes of this node."""
        self._server.learn_departures(departures)

    def set_evacuated(self, evacuated: bool) -> None:
        """Refuse all calls while the server's domain is evacuated; running ones continue."""
        self._server.set_evacuated(evacuated)

    def set_health_target(self, target: str | None) -> None:
        """Set the path of the server's health check, or None if it has none."""
        self._server.health_target = target

    def set_cold_limit(self, limit: ColdLimit | None) -> None:
        """Set the limit on calls while the server is cold, or None if it has none."""
        self._server.cold.set_limit(limit)

    def expect_cold(self) -> None:
        """Treat the server as cold until a report or a health check states otherwise."""
        self._server.cold.expect_cold()

    async def watch_cold(self) -> None:
        """Ask the server whether it has turned cold while it gets calls, until cancelled."""
        await self._server.watch_cold()

    async def check_health(self) -> None:
        """Check the server's health and identity, unless it has already reported."""
        await self._server.check_health()

    def stop_accepting(self) -> None:
        """Refuse all further calls because the node is stopping; running calls continue."""
        self._server.stop_accepting()

    async def run_call(
        self, request: Request, body: IncomingBody | None = None
    ) -> Response | Refusal:
        """Run one call on the server if it is admitted, immediately or after queueing.

        ``body`` is that of a request that a peer has sent without it.
        """
        self.work.add()
        hold = BodyHold(self._bodies)
        try:
            return await self._admit(request, body, hold)
        finally:
            hold.release()
            self.work.remove()

    async def _admit(
        self, request: Request, body: IncomingBody | None, hold: BodyHold
    ) -> Response | Refusal:
        now = self._clock()
        if body is not None and not hold.extend(body.size):
            self._log.write_body_refused(request, body.size, self._bodies.held_bytes)
            refusal = Decision(Verdict.REFUSED, Reason.BODY_MEMORY)
            return self._refuse_by_decision(request, refusal, now)
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
                decision = await self._wait_for_admission(call_id, body)
            except asyncio.CancelledError:
                self._log.write_cancelled(request, now, None)
                raise
        if decision.verdict is Verdict.REFUSED:
            return self._refuse_by_decision(request, decision, now)
        if body is not None:
            complete = await self._receive_body(request, body, pending, now)
            if isinstance(complete, Refusal):
                return complete
            request = complete
        if request.idempotent:
            return await self._run(request, pending, now)
        run = asyncio.create_task(self._run(request, pending, now))
        # A non-idempotent call cannot be retried, so it is not cancelled when its caller leaves.
        self._detached.add(run)
        self.work.add()
        hold.share()
        run.add_done_callback(lambda run: self._release_detached(run, hold))
        return await asyncio.shield(run)

    async def close(self) -> None:
        """Close the connections to the server."""
        self._server.close()
        await self._pool.close()

    def _release_detached(self, run: "asyncio.Task[Response | Refusal]", hold: BodyHold) -> None:
        self._detached.discard(run)
        hold.release()
        self.work.remove()

    async def _receive_body(
        self, request: Request, body: IncomingBody, pending: PendingCall, arrived: float
    ) -> Request | Refusal:
        """Return an admitted call with its body, or its refusal as not run."""
        try:
            received = await self._uploads.receive(pending.call_id, body, pending.deadline)
        except asyncio.CancelledError:
            self._apply_result(cancel_call(self._state, self._clock(), pending.call_id))
            self._log.write_cancelled(request, arrived, None)
            raise
        reason = Reason.DEADLINE if received is None else self._server.find_closed_reason()
        if received is not None and reason is None:
            return replace_fields(request, body=received, body_bytes=0)
        now = self._clock()
        self._apply_result(cancel_call(self._state, now, pending.call_id))
        refusal = self._log.refuse(request, Outcome.NOT_RUN, reason, 0)
        self._log.write(request, refusal, arrived, None, now)
        return refusal

    async def _wait_for_admission(self, call_id: CallId, body: IncomingBody | None) -> Decision:
        decision = asyncio.get_running_loop().create_future()
        self._pending[call_id] = decision
        if body is not None:
            self._uploads.add_waiting(call_id, body)
        self._schedule_review()
        self._server.query_speed_if_needed()
        try:
            return await decision
        except asyncio.CancelledError:
            self._apply_result(cancel_call(self._state, self._clock(), call_id))
            raise
        finally:
            self._pending.pop(call_id, None)
            self._uploads.remove_waiting(call_id)

    def _schedule_review(self) -> None:
        if self._review is None:
            loop = asyncio.get_running_loop()
            self._review = loop.call_later(REVIEW_INTERVAL_S, self._review_queue)

    def _review_queue(self) -> None:
        self._review = None
        self._apply_result(review_waiting(self._state, self._clock()))
        self._triage_log.note_decisions()
        self._uploads.request_due()
        if self._pending:
            self._schedule_review()
            self._server.query_speed_if_needed()

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
        sent_to = self._server.current
        record_start(self._server.detector, pending.call_id, request)
        self._server.cold.record_call()
        try:
            result = await self._send(request, (pending.deadline - started) * 1000)
            done = True
            if isinstance(result, Failure) and result.reason is Reason.CONNECTION_LOST:
                self._server.check_for_crash()
            reply = self._make_reply(request, result, sent_to)
            succeeded = isinstance(reply, Response) and reply.status < 500
        finally:
            now = self._clock()
            if done:
                record_end(self._server.detector, pending.call_id)
                self._apply_result(complete_call(self._state, now, pending.call_id, succeeded))
            else:
                record_withdrawal(self._server.detector, now, pending.call_id)
                self._apply_result(cancel_call(self._state, now, pending.call_id))
                self._log.write_cancelled(request, arrived, started)
        self._log.write(request, reply, arrived, started, now, start)
        return reply

    def _refuse_crashing(
        self, request: Request, pending: PendingCall, arrived: float, refusal: CrashRefusal
    ) -> Refusal:
        """Refuse an admitted call whose request has crashed servers."""
        now = self._clock()
        self._apply_result(cancel_call(self._state, now, pending.call_id))
        reply = self._log.refuse(
            request, Outcome.NOT_RUN, Reason.CRASHES_SERVERS, refusal.retry_after_ms
        )
        described = {"request": refusal.request.hex(), "crashes": refusal.crashes}
        self._log.write(request, reply, arrived, None, now, described)
        return reply

    def _describe_start(self, now: float) -> dict[str, object]:
        """Return what is known of the server when a call starts there, for the log."""
        speed = self._state.speed
        return {
            "start_running": len(self._state.running),
            "start_slowdown": round(speed.slowdown * 100),
            "start_slowdown_age_ms": round((now - speed.reported_at) * 1000, 1),
        }

    async def _send(self, request: Request, budget_ms: float) -> Answer | Failure:
        current = self._server.current
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
                self._server.report_crash(sent_to, record_refused_connection(self._server.detector))
                self._server.mark_unavailable("unreachable", result)
            if result.limit:
                self._telemetry.counters.add("gate.answers_over_limit")
                self._telemetry.events.write(
                    "answer-over-limit",
                    limit=result.limit,
                    server=sent_to.instance if sent_to is not None else None,
                )
            return self._log.refuse(request, result.outcome, result.reason, 0)
        fields = read_server_answer(result)
        states_notices = fields.instance is None and (fields.is_signed or fields.not_run)
        if states_notices and sent_to is not None:
            self._server.apply_notices(fields.notices, sent_to.instance)
        if fields.load is not None:
            record_reported_slowdown(self._state, self._clock(), fields.load.slowdown_percent / 100)
        if fields.instance is not None:
            self._server.mark_unavailable("replaced", fields)
            return self._log.refuse(request, Outcome.NOT_RUN, Reason.MISDIRECTED, 0)
        if fields.not_run:
            return self._log.refuse(request, Outcome.NOT_RUN, Reason.SHED, 0)
        if not fields.is_signed:
            return self._log.refuse(request, BAD_ANSWER.outcome, BAD_ANSWER.reason, 0)
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
        refusal = self._log.refuse(
            request, Outcome.NOT_RUN, decision.reason, decision.retry_after_ms
        )
        now = self._clock()
        self._log.write(request, refusal, arrived, None, now)
        return refusal
