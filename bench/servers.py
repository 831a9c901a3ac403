"""A simulated server behind the real gate policy, in virtual time."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ragwort_common import CallId, Member, Outcome, Reason
from ragwort_policy import (
    Arrival,
    GateLimits,
    GateState,
    ServerLocation,
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
)
from ragwort_protocol import LoadReport

from bench.events import EventHeap

FAST_FAILURE_S = 0.001
LINK_TIMEOUT_S = 0.2
EXPIRY_INTERVAL_S = 0.005


@dataclass(slots=True)
class GateCall:
    """One attempt at a gate; ``reply`` returns its outcome to the entry."""

    call_id: CallId
    member: Member
    batch: bool
    deadline: float
    work_s: float
    reply: Callable[[Outcome, Reason, LoadReport | None], None]


@dataclass(slots=True)
class Running:
    """A call that the server runs.

    ``remaining_s`` is the work left at the time ``updated_at``. Each new end time increments
    ``version``, so that end events scheduled earlier are ignored.
    """

    call: GateCall
    started_at: float
    remaining_s: float
    updated_at: float
    version: int = 0


@dataclass(slots=True, eq=False)
class SimulatedServer:
    """A server of variable speed behind its gate; it can also fail calls quickly or be dead."""

    heap: EventHeap
    location: ServerLocation
    limits: GateLimits
    report_lag_s: float = 0.0
    speed: float = 1.0
    failing: bool = False
    dead_since: float | None = None
    running: dict[CallId, Running] = field(default_factory=dict)
    queued: dict[CallId, GateCall] = field(default_factory=dict)
    delayed_reports: list[LoadReport] = field(default_factory=list)
    useful_s: float = 0.0
    gate: GateState = field(init=False)

    def __post_init__(self) -> None:
        self.gate = make_gate_state(self.limits, self.heap.now)
        self._tick()
        if self.report_lag_s:
            self._sample_report()

    def receive_call(self, call: GateCall) -> None:
        """Pass an arriving call to the gate, which runs, queues or refuses it."""
        now = self.heap.now
        if self.dead_since is not None:
            self._fail_call(call)
            return
        arrival = Arrival(call.call_id, call.member, 1, call.batch, call.deadline)
        decision = admit_call(self.gate, now, arrival)
        if decision.verdict is Verdict.RUN:
            self._run(call)
        elif decision.verdict is Verdict.QUEUED:
            self.queued[call.call_id] = call
        else:
            call.reply(Outcome.NOT_RUN, decision.reason, self.get_report())

    def cancel_call(self, call_id: CallId) -> None:
        """Cancel a queued or running call."""
        if self.dead_since is not None:
            return
        if call_id in self.queued or call_id in self.running:
            self.queued.pop(call_id, None)
            self.running.pop(call_id, None)
            self._start(cancel_call(self.gate, self.heap.now, call_id))

    def get_report(self) -> LoadReport:
        """Return the gate's load report, or an earlier one if the scenario delays reports."""
        if self.delayed_reports:
            return self.delayed_reports[0]
        return make_report(self.gate, self.heap.now)

    def set_speed(self, speed: float) -> None:
        """Change the speed; running calls continue at the new speed."""
        now = self.heap.now
        for running in self.running.values():
            running.remaining_s -= (now - running.updated_at) * self.speed
            running.updated_at = now
        self.speed = speed
        for running in self.running.values():
            self._schedule_end(running)

    def leave(self) -> None:
        """Refuse all new calls."""
        start_leaving(self.gate)

    def kill(self) -> None:
        """Stop responding; links detect it after their timeout."""
        self.dead_since = self.heap.now
        lost = [running.call for running in self.running.values()] + list(self.queued.values())
        self.running.clear()
        self.queued.clear()
        for call in lost:
            self._fail_call(call)

    def _fail_call(self, call: GateCall) -> None:
        noticed_at = self.dead_since + LINK_TIMEOUT_S
        if self.heap.now < noticed_at:
            self.heap.call_at(noticed_at, call.reply, Outcome.UNKNOWN, Reason.CONNECTION_LOST, None)
        else:
            call.reply(Outcome.NOT_RUN, Reason.CONNECT_FAILED, None)

    def _run(self, call: GateCall) -> None:
        now = self.heap.now
        running = Running(call, now, call.work_s, now)
        self.running[call.call_id] = running
        if self.failing:
            self.heap.call_later(FAST_FAILURE_S, self._end, running, 0)
        else:
            self._schedule_end(running)

    def _schedule_end(self, running: Running) -> None:
        running.version += 1
        end = running.updated_at + max(0.0, running.remaining_s) / self.speed
        self.heap.call_at(end, self._end, running, running.version)

    def _end(self, running: Running, version: int) -> None:
        call = running.call
        if running.version != version or self.running.get(call.call_id) is not running:
            return
        del self.running[call.call_id]
        now = self.heap.now
        failed = self.failing
        started = finish_call(self.gate, now, call.call_id, now - running.started_at, failed)
        if not failed:
            self.useful_s += call.work_s
        call.reply(Outcome.FAILED if failed else Outcome.ANSWERED, Reason.NONE, self.get_report())
        self._start(started)

    def _start(self, call_ids: list[CallId]) -> None:
        for call_id in call_ids:
            self._run(self.queued.pop(call_id))

    def _refuse_waiting(self) -> None:
        now = self.heap.now
        for call_id in expire_waiting(self.gate, now):
            self.queued.pop(call_id).reply(Outcome.NOT_RUN, Reason.DEADLINE, self.get_report())
        shed = shed_waiting(self.gate, now)
        if shed is None:
            return
        for call_id in shed.call_ids:
            self.queued.pop(call_id).reply(Outcome.NOT_RUN, shed.decision.reason, self.get_report())

    def _tick(self) -> None:
        self._refuse_waiting()
        if self.queued:
            self._start(start_waiting(self.gate, self.heap.now))
        self.heap.call_later(EXPIRY_INTERVAL_S, self._tick)

    def _sample_report(self) -> None:
        self.delayed_reports.append(make_report(self.gate, self.heap.now))
        samples = 5
        if len(self.delayed_reports) > samples:
            del self.delayed_reports[0]
        self.heap.call_later(self.report_lag_s / samples, self._sample_report)
