"""A simulated entry that sends calls by a chooser and the real retry and hedging policies."""

from dataclasses import dataclass, field
from itertools import count

from ragwort_common import CallId, FailureDomain, Member, NodeId, Outcome, Reason
from ragwort_policy import (
    Attempt,
    AttemptBudget,
    HedgeState,
    credit_attempts,
    get_hedge_delay,
    make_hedge_state,
    record_latency,
    try_hedge,
    try_retry,
)
from ragwort_protocol import LoadReport, Probe, ProbeReply, encode_frame

from bench.choosers import Chooser
from bench.events import EventHeap
from bench.servers import GateCall, SimulatedServer
from bench.sites import Site

PACKET_BYTES = 40
"""TCP and IP headers of a message in a packet of its own."""


@dataclass(slots=True)
class RunStats:
    """Counts and latencies of a run, without its warm-up."""

    latencies_s: list[float] = field(default_factory=list)
    batch_latencies_s: list[float] = field(default_factory=list)
    refusal_latencies_s: list[float] = field(default_factory=list)
    calls: int = 0
    attempts: int = 0
    cross_region_attempts: int = 0
    hedges: int = 0
    unknown: int = 0
    failed: int = 0
    watch_bytes: int = 0
    far_watch_bytes: int = 0


@dataclass(slots=True, eq=False)
class Call:
    """One call of a client, with all its attempts."""

    created: float
    deadline: float
    member: Member
    batch: bool
    idempotent: bool
    work_s: float
    attempts: int = 0
    tried_nodes: list[NodeId] = field(default_factory=list)
    open_attempts: dict[CallId, NodeId] = field(default_factory=dict)
    is_finished: bool = False


@dataclass(slots=True, eq=False)
class Entry:
    """One simulated entry."""

    heap: EventHeap
    site: Site
    domain: FailureDomain
    chooser: Chooser
    servers: dict[NodeId, SimulatedServer]
    stats: RunStats
    ids: count
    warm_up_s: float
    hedging: bool = False
    retries: AttemptBudget = field(default_factory=AttemptBudget)
    hedge: HedgeState = field(init=False)

    def __post_init__(self) -> None:
        self.hedge = make_hedge_state(self.site.service_s)
        if self.chooser.poll_interval_s:
            self.heap.call_later(self.chooser.poll_interval_s, self._poll)

    def start(self, call: Call) -> None:
        """Accept a call from a client and send its first attempt."""
        credit_attempts(self.retries)
        if call.created >= self.warm_up_s:
            self.stats.calls += 1
        self._start_attempt(call)
        self.heap.call_at(call.deadline, self._expire_call, call)
        if self.hedging:
            self.heap.call_later(get_hedge_delay(self.hedge), self._hedge, call)
        node = self.chooser.plan_probe(self.heap.now)
        if node is not None:
            self._probe(node)

    def _start_attempt(self, call: Call) -> bool:
        now = self.heap.now
        node = self.chooser.choose(now, call.tried_nodes)
        if node is None:
            return False
        call_id = CallId(next(self.ids))
        call.attempts += 1
        call.tried_nodes.append(node)
        call.open_attempts[call_id] = node
        self.chooser.record_sent(node, call_id, now)
        server = self.servers[node]
        delay = self._get_delay(server)
        if call.created >= self.warm_up_s:
            self.stats.attempts += 1
            self.stats.cross_region_attempts += delay >= self.site.region_delay_s

        def reply(outcome: Outcome, reason: Reason, report: LoadReport | None) -> None:
            self.heap.call_later(
                delay, self._finish_attempt, call, call_id, outcome, reason, report
            )

        gate_call = GateCall(call_id, call.member, call.batch, call.deadline, call.work_s, reply)
        self.heap.call_later(delay, server.receive_call, gate_call)
        return True

    def _finish_attempt(
        self,
        call: Call,
        call_id: CallId,
        outcome: Outcome,
        reason: Reason,
        report: LoadReport | None,
    ) -> None:
        now = self.heap.now
        node = call.open_attempts.pop(call_id, None)
        if node is None:
            return
        self.chooser.record_outcome(node, call_id, outcome, reason, now)
        if report is not None and self.chooser.uses_reports and not self.chooser.poll_interval_s:
            self._count_bytes(node, len(encode_frame(report)) - 5)
            self.chooser.record_report(node, report, now)
        if call.is_finished:
            return
        attempt = Attempt(outcome, reason, call.idempotent, False, call.attempts)
        if outcome is Outcome.ANSWERED:
            record_latency(self.hedge, now - call.created)
        elif call.open_attempts or try_retry(self.retries, attempt) and self._start_attempt(call):
            return
        self._finish_call(call, outcome)

    def _finish_call(self, call: Call, outcome: Outcome) -> None:
        call.is_finished = True
        for call_id, node in list(call.open_attempts.items()):
            self._cancel(call, call_id, node)
        if call.created < self.warm_up_s:
            return
        elapsed = self.heap.now - call.created
        if outcome is Outcome.ANSWERED:
            answered = self.stats.batch_latencies_s if call.batch else self.stats.latencies_s
            answered.append(elapsed)
        elif outcome is Outcome.NOT_RUN:
            self.stats.refusal_latencies_s.append(elapsed)
        elif outcome is Outcome.FAILED:
            self.stats.failed += 1
        else:
            self.stats.unknown += 1

    def _cancel(self, call: Call, call_id: CallId, node: NodeId) -> None:
        del call.open_attempts[call_id]
        now = self.heap.now
        self.chooser.record_outcome(node, call_id, Outcome.UNKNOWN, Reason.CANCELLED, now)
        server = self.servers[node]
        self.heap.call_later(self._get_delay(server), server.cancel_call, call_id)

    def _expire_call(self, call: Call) -> None:
        if not call.is_finished:
            self._finish_call(call, Outcome.UNKNOWN)

    def _hedge(self, call: Call) -> None:
        if call.is_finished or len(call.open_attempts) != 1:
            return
        if try_hedge(self.hedge, call.idempotent, False):
            self.stats.hedges += call.created >= self.warm_up_s
            self._start_attempt(call)

    def _poll(self) -> None:
        for node in self.servers:
            self._probe(node)
        self.heap.call_later(self.chooser.poll_interval_s, self._poll)

    def _probe(self, node: NodeId) -> None:
        server = self.servers[node]
        self._count_bytes(node, len(encode_frame(Probe(next(self.ids)))) + PACKET_BYTES)
        self.heap.call_later(self._get_delay(server), self._answer_probe, server)

    def _answer_probe(self, server: SimulatedServer) -> None:
        if server.dead_since is not None:
            return
        report = server.get_report()
        node = server.location.node
        self._count_bytes(node, len(encode_frame(ProbeReply(1 << 20, report))) + PACKET_BYTES)
        self.heap.call_later(self._get_delay(server), self._record_probe_reply, node, report)

    def _record_probe_reply(self, node: NodeId, report: LoadReport) -> None:
        self.chooser.record_report(node, report, self.heap.now)

    def _get_delay(self, server: SimulatedServer) -> float:
        return self.site.get_delay(self.domain, server.location.failure_domain)

    def _count_bytes(self, node: NodeId, size: int) -> None:
        if self.heap.now < self.warm_up_s:
            return
        self.stats.watch_bytes += size
        if self.site.regions[self.domain] != self.servers[node].location.region:
            self.stats.far_watch_bytes += size
