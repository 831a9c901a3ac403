"""Admission control for the local server: queues, runs and sheds calls, and reports load."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable

from ragwort_common import CallId, Counters, Member, Outcome, Reason
from ragwort_policy import (
    EXPIRED,
    Arrival,
    Decision,
    EpochFence,
    GateLimits,
    Verdict,
    admit_call,
    cancel_call,
    expire_waiting,
    finish_call,
    make_gate_state,
    make_report,
    shed_waiting,
    start_leaving,
    start_waiting,
    stop_leaving,
)
from ragwort_protocol import LoadReport, Refusal, Request, Response, replace_fields
from ragwort_transport import Answer, Failure

from ragwort_node._server import DEADLINE_HEADER, ServerClient, is_shed
from ragwort_node._tracing import Tracer

SHED_RETRY_AFTER_MS = 1000
"""Retry delay when the server itself shed the call."""

LIMIT_RETRY_AFTER_MS = 1000
"""Retry delay when the member already has as many calls at the gate as its rule allows."""

FENCED_RETRY_AFTER_MS = 1000
"""Retry delay when the claim of the call was granted in an earlier epoch."""

REVIEW_INTERVAL_S = 0.005
"""How often the queue is checked while calls wait in it."""

STARTED = Decision(Verdict.RUN)


class Gate:
    """Owns the admission state of the local server.

    Parameters
    ----------
    server
        The client of the local server.
    limits
        Number of slots and bounds of the queue.
    clock
        Monotonic clock in seconds.
    """

    def __init__(
        self,
        server: ServerClient,
        limits: GateLimits,
        counters: Counters,
        clock: Callable[[], float],
        tracer: Tracer,
        fence: EpochFence,
    ) -> None:
        self._server = server
        self._fence = fence
        self._tracer = tracer
        self._counters = counters
        self._clock = clock
        self._state = make_gate_state(limits, clock())
        self._turns: dict[CallId, asyncio.Future[Decision]] = {}
        self._review: asyncio.TimerHandle | None = None
        self._ids = itertools.count(1)
        self._members: Counter[str] = Counter()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def leaving(self) -> bool:
        """Whether the gate refuses every new call."""
        return self._state.leaving

    def set_leaving(self, leaving: bool) -> None:
        """Start or stop refusing new calls; calls in progress are not affected."""
        if leaving:
            start_leaving(self._state)
        else:
            stop_leaving(self._state)

    async def wait_idle(self) -> None:
        """Wait until no call runs or waits."""
        await self._idle.wait()

    def make_report(self) -> LoadReport:
        """Return the current load."""
        return make_report(self._state, self._clock())

    def list_calls(self) -> tuple[list[Arrival], list[Arrival]]:
        """Return the calls that run on the server and those that wait in the queue."""
        return list(self._state.running.values()), list(self._state.waiting.values())

    async def run_call(self, request: Request) -> Response | Refusal:
        """Run one call on the local server if it is admitted, at once or after a wait."""
        if request.limit and self._members[request.member] >= request.limit:
            return self._refuse(request, Outcome.NOT_RUN, Reason.LIMIT, LIMIT_RETRY_AFTER_MS)
        self._add_call(request.member)
        try:
            return await self._run_traced(request)
        finally:
            self._remove_call(request.member)

    async def _run_traced(self, request: Request) -> Response | Refusal:
        span, headers = self._tracer.start_span("gate", request.headers)
        if span is None:
            return await self._admit(request)
        reply = await self._admit(replace_fields(request, headers=headers))
        outcome = reply.outcome if isinstance(reply, Refusal) else Outcome.ANSWERED.value
        self._tracer.finish_span(span, outcome)
        return reply

    def _add_call(self, member: str) -> None:
        self._members[member] += 1
        self._idle.clear()

    def _remove_call(self, member: str) -> None:
        self._members[member] -= 1
        if not self._members[member]:
            # Member names come from rules, which change, so unused entries would pile up.
            del self._members[member]
        if not self._members:
            self._idle.set()

    async def _admit(self, request: Request) -> Response | Refusal:
        if request.epoch and not self._fence.admit(request.key_range, request.epoch):
            return self._refuse(request, Outcome.NOT_RUN, Reason.NO_OWNER, FENCED_RETRY_AFTER_MS)
        now = self._clock()
        call_id = CallId(next(self._ids))
        deadline = now + request.budget_ms / 1000
        call = Arrival(call_id, Member(request.member), request.share, request.batch, deadline)
        decision = admit_call(self._state, now, call)
        if decision.verdict is Verdict.QUEUED:
            self._counters.add("gate.queued")
            decision = await self._wait_turn(call_id, deadline)
        if decision.verdict is Verdict.REFUSED:
            wait_ms = decision.retry_after_ms
            return self._refuse(request, Outcome.NOT_RUN, decision.reason, wait_ms)
        if request.idempotent:
            return await self._run(request, call_id, deadline)
        return await self._run_to_end(request, call_id, deadline)

    async def _run_to_end(
        self, request: Request, call_id: CallId, deadline: float
    ) -> Response | Refusal:
        """Run a call to completion, even when its caller disconnects."""
        run = asyncio.create_task(self._run(request, call_id, deadline))
        try:
            return await asyncio.shield(run)
        except asyncio.CancelledError:
            if not run.done():
                self._add_call(request.member)
                run.add_done_callback(lambda _: self._remove_call(request.member))
            raise

    async def _wait_turn(self, call_id: CallId, deadline: float) -> Decision:
        """Wait until a queued call is started or refused."""
        decision = asyncio.get_running_loop().create_future()
        self._turns[call_id] = decision
        self._schedule_review()
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock())):
                return await decision
        except TimeoutError:
            if decision.done() and not decision.cancelled():
                # The call was started just as the timeout expired, so it holds a slot.
                return decision.result()
            self._expire(call_id)
            return EXPIRED
        except asyncio.CancelledError:
            self._start(cancel_call(self._state, self._clock(), call_id))
            raise
        finally:
            self._turns.pop(call_id, None)

    def _expire(self, call_id: CallId) -> None:
        expired = expire_waiting(self._state, self._clock())
        if call_id not in expired:
            self._start(cancel_call(self._state, self._clock(), call_id))
        for other in expired:
            self._give_turn(other, EXPIRED)

    def _schedule_review(self) -> None:
        if self._review is None:
            loop = asyncio.get_running_loop()
            self._review = loop.call_later(REVIEW_INTERVAL_S, self._review_queue)

    def _review_queue(self) -> None:
        """Start, expire and shed queued calls.

        Finished calls also trigger this, but too rarely when the server is slow.
        """
        self._review = None
        now = self._clock()
        for call_id in expire_waiting(self._state, now):
            self._give_turn(call_id, EXPIRED)
        shed = shed_waiting(self._state, now)
        if shed is not None:
            self._counters.add("gate.shed", len(shed.call_ids))
            for call_id in shed.call_ids:
                self._give_turn(call_id, shed.decision)
        self._start(start_waiting(self._state, now))
        if self._turns:
            self._schedule_review()

    async def _run(self, request: Request, call_id: CallId, deadline: float) -> Response | Refusal:
        started = self._clock()
        budget_ms = (deadline - started) * 1000
        # The server can stop in time, and pass the remaining time on in calls that it makes.
        deadline_header = (DEADLINE_HEADER, b"%d" % max(1, budget_ms))
        failed = True
        try:
            result = await self._server.run_call(
                request.method,
                request.target,
                [*request.headers, deadline_header],
                request.body,
                budget_ms,
            )
            failed = isinstance(result, Failure) or result.status >= 500
        finally:
            now = self._clock()
            self._start(finish_call(self._state, now, call_id, now - started, failed))
        return self._make_reply(request, result)

    def _start(self, call_ids: list[CallId]) -> None:
        for call_id in call_ids:
            self._give_turn(call_id, STARTED)

    def _give_turn(self, call_id: CallId, decision: Decision) -> None:
        future = self._turns.get(call_id)
        if future is not None and not future.done():
            future.set_result(decision)

    def _make_reply(self, request: Request, result: Answer | Failure) -> Response | Refusal:
        if isinstance(result, Failure):
            return self._refuse(request, result.outcome, result.reason, 0)
        if is_shed(result):
            return self._refuse(request, Outcome.NOT_RUN, Reason.SHED, SHED_RETRY_AFTER_MS)
        self._counters.add("gate.answered")
        report = self.make_report()
        return Response(request.call_id, result.status, result.headers, result.body, report)

    def _refuse(
        self, request: Request, outcome: Outcome, reason: Reason, retry_after_ms: int
    ) -> Refusal:
        self._counters.add(f"gate.{outcome.value}.{reason.value}")
        report = self.make_report()
        return Refusal(request.call_id, outcome.value, reason.value, retry_after_ms, report)
