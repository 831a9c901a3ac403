from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from ragwort_common import Reason
from ragwort_policy import (
    Arrival,
    GateLimits,
    Verdict,
    admit_call,
    cancel_call,
    expire_waiting,
    finish_call,
    list_queued,
    make_gate_state,
    make_report,
    shed_waiting,
    start_leaving,
)
from ragwort_policy._breaker import is_open

LIMITS = GateLimits(slots=4, expected_ms=20.0, queue_wait_ms=40.0, batch_queue_calls=5)
MEMBERS = ("first", "second")


class GateMachine(RuleBasedStateMachine):
    """Compares a gate with a model in which each call is either running, waiting or ended."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.gate = make_gate_state(LIMITS, 0.0)
        self.calls, self.started = {}, {}
        self.running, self.waiting, self.ended = set(), set(), set()
        self.leaving = False
        self.interactive_starts = 0
        self.consecutive_failures = 0

    def _limit(self):
        return make_report(self.gate, self.now).limit

    def _check_starts(self, started):
        for call_id in started:
            call = self.calls[call_id]
            assert call_id in self.waiting and call.deadline > self.now
            interactive = [c for c in self.waiting if not self.calls[c].batch]
            if call.batch and interactive:
                assert self.interactive_starts >= LIMITS.batch_interval_calls - 1
                self.interactive_starts = 0
            elif not call.batch:
                self.interactive_starts += 1
            self._start(call_id)

    def _start(self, call_id):
        assert self.consecutive_failures < 5 or not self.running
        assert len(self.running) < self._limit()
        self.waiting.discard(call_id)
        self.running.add(call_id)
        self.started[call_id] = self.now
        batch = sum(self.calls[c].batch for c in self.running)
        if self.calls[call_id].batch:
            assert batch <= max(1, int(self._limit() * LIMITS.batch_ratio))

    @rule(
        batch=st.booleans(), member=st.sampled_from(MEMBERS), timeout_s=st.sampled_from([0.01, 0.2])
    )
    def arrive(self, batch, member, timeout_s):
        call = Arrival(len(self.calls), member, 1, batch, self.now + timeout_s)
        self.calls[call.call_id] = call
        decision = admit_call(self.gate, self.now, call)
        if self.leaving:
            assert decision.reason is Reason.LEAVING
        if decision.verdict is Verdict.RUN:
            waiting = self.waiting - set(self.gate.expired)
            assert not any(self.calls[c].batch <= batch for c in waiting)
            self._start(call.call_id)
        elif decision.verdict is Verdict.QUEUED:
            assert self.running, "a call was queued although none is running"
            assert not is_open(self.gate.breaker)
            self.waiting.add(call.call_id)
        else:
            assert decision.reason is not Reason.NONE
            self.ended.add(call.call_id)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), failed=st.booleans())
    def finish(self, data, failed):
        call_id = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(call_id)
        self.ended.add(call_id)
        self.consecutive_failures = self.consecutive_failures + 1 if failed else 0
        latency = self.now - self.started[call_id]
        self._check_starts(finish_call(self.gate, self.now, call_id, latency, failed))

    @precondition(lambda self: self.running or self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        call_id = data.draw(st.sampled_from(sorted(self.running | self.waiting)))
        self.running.discard(call_id)
        self.waiting.discard(call_id)
        self.ended.add(call_id)
        self._check_starts(cancel_call(self.gate, self.now, call_id))

    @rule(elapsed=st.sampled_from([0.0, 0.001, 0.02, 0.3]))
    def wait(self, elapsed):
        self.now += elapsed

    @rule()
    def expire(self):
        expired = set(expire_waiting(self.gate, self.now))
        assert expired <= self.waiting
        self.waiting -= expired
        self.ended |= expired
        assert all(self.calls[c].deadline > self.now for c in self.waiting)

    @rule()
    def shed(self):
        shed = shed_waiting(self.gate, self.now)
        if shed is None:
            return
        assert set(shed.call_ids) <= self.waiting
        assert not any(self.calls[c].batch for c in shed.call_ids)
        kept = [c for c in self.waiting if not self.calls[c].batch and c not in shed.call_ids]
        assert all(c < min(shed.call_ids) for c in kept)
        self.waiting -= set(shed.call_ids)
        self.ended |= set(shed.call_ids)

    @precondition(lambda self: not self.leaving and len(self.calls) > 8)
    @rule()
    def leave(self):
        start_leaving(self.gate)
        self.leaving = True

    @invariant()
    def counts_agree(self):
        expired = set(self.gate.expired)
        assert set(self.gate.running) == self.running
        assert set(list_queued(self.gate)) | expired == self.waiting
        assert self.running | self.waiting | self.ended == set(self.calls)
        assert sum(self.calls[c].batch for c in self.waiting - expired) <= LIMITS.batch_queue_calls
        report = make_report(self.gate, self.now)
        assert report.in_flight == len(self.running)
        if self.leaving or self.consecutive_failures < 5:
            assert report.accepting is not self.leaving
        assert 1 <= report.limit <= LIMITS.slots


TestGate = GateMachine.TestCase
TestGate.settings = settings(max_examples=150, stateful_step_count=40)


def _fill(gate, count, now=0.0, member="first", batch=False, timeout_s=10.0, first=0):
    return [
        admit_call(gate, now, Arrival(first + number, member, 1, batch, now + timeout_s))
        for number in range(count)
    ]


def test_refusals_are_immediate_and_name_a_retry_delay():
    gate = make_gate_state(LIMITS, 0.0)
    decisions = _fill(gate, 30)
    refused = [decision for decision in decisions if decision.verdict is Verdict.REFUSED]
    assert len(refused) == 30 - 4 - 8
    assert all(d.reason is Reason.OVERLOADED and d.retry_after_ms >= 40 for d in refused)


def test_a_call_that_would_start_after_its_deadline_is_refused_at_once():
    gate = make_gate_state(LIMITS, 0.0)
    _fill(gate, 8)
    assert _fill(gate, 1, timeout_s=0.02, first=50)[0].reason is Reason.DEADLINE


def test_a_quiet_member_is_queued_while_a_noisy_one_is_refused():
    gate = make_gate_state(LIMITS, 0.0)
    _fill(gate, 100)
    assert _fill(gate, 1, member="second", first=200)[0].verdict is Verdict.QUEUED
    started = [call for number in range(3) for call in finish_call(gate, 0.01, number, 0.01, False)]
    assert 200 in started


def test_batch_work_leaves_slots_for_interactive_calls_and_is_not_starved():
    gate = make_gate_state(LIMITS, 0.0)
    assert [d.verdict for d in _fill(gate, 4, batch=True)].count(Verdict.RUN) == 3
    assert _fill(gate, 1, first=10)[0].verdict is Verdict.RUN
    running, now, next_id = [0, 1, 2, 10], 0.0, 100
    while 3 not in running:
        now += 0.005
        _fill(gate, 1, now, first=next_id)
        next_id += 1
        running += finish_call(gate, now, running.pop(0), 0.02, False)
        assert next_id < 100 + 3 * LIMITS.batch_interval_calls, "the batch call is starved"


def test_a_server_that_slows_sheds_its_queue_and_lowers_its_limit_before_any_call_ends():
    gate = make_gate_state(LIMITS, 0.0)
    _fill(gate, 12)
    assert shed_waiting(gate, 0.005) is None
    assert len(shed_waiting(gate, 0.3).call_ids) >= 6
    assert make_report(gate, 0.3).limit == 2
    assert make_report(gate, 0.3).service_time_us > 60_000


def test_a_fresh_server_takes_its_full_limit_only_after_warming_up():
    gate = make_gate_state(GateLimits(slots=8, warm_ms=1000.0), 0.0)
    assert [make_report(gate, now).limit for now in (0.0, 0.5, 1.0)] == [2, 5, 8]


def test_a_server_that_fails_every_call_is_tried_by_one_call_at_a_time():
    gate = make_gate_state(LIMITS, 0.0)
    for number in range(5):
        _fill(gate, 1, first=number)
        finish_call(gate, 0.001, number, 0.001, True)
    refused = _fill(gate, 1, 0.01, first=10)[0]
    assert (refused.verdict, refused.reason) == (Verdict.REFUSED, Reason.SHED)
    assert refused.retry_after_ms > 30 and not make_report(gate, 0.01).accepting
    assert make_report(gate, 0.06).accepting
    verdicts = [decision.verdict for decision in _fill(gate, 3, 0.06, first=20)]
    assert verdicts == [Verdict.RUN, Verdict.REFUSED, Verdict.REFUSED]
    finish_call(gate, 0.07, 20, 0.01, False)
    assert [d.verdict for d in _fill(gate, 3, 0.07, first=30)] == [Verdict.RUN] * 3


def test_failures_between_answers_do_not_open_the_breaker():
    gate = make_gate_state(LIMITS, 0.0)
    for number in range(40):
        assert _fill(gate, 1, 0.01, first=number)[0].verdict is Verdict.RUN
        finish_call(gate, 0.01, number, 0.001, number % 5 > 0)
