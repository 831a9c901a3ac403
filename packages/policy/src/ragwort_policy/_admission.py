"""Admission control at a server's gate: each call runs now, is queued briefly or is refused.

All calls to the server pass through its gate, so its counts are exact. The concurrency limit
adapts to the server's speed (see ``_limit``), with the number of slots as its maximum.
Interactive calls start before batch calls, and members start calls in proportion to their
shares (see ``_fairness``).
"""

from dataclasses import dataclass, field

from ragwort_common import CallId, Member, Reason
from ragwort_flow import QUEUED, RUN, Decision, Verdict
from ragwort_protocol import LoadReport

from ragwort_policy._breaker import (
    Breaker,
    allow_run,
    get_trial_delay_ms,
    is_open,
    is_trial_due,
    record_result,
)
from ragwort_policy._fairness import (
    FairQueue,
    add_waiting,
    count_ahead,
    list_waiting,
    pop_waiting,
    remove_waiting,
)
from ragwort_policy._limit import (
    ConcurrencyLimit,
    adjust_limit,
    get_limit,
    get_warm_up_ratio,
    make_limit,
    update_no_load,
)
from ragwort_policy._service_time import (
    ServiceTime,
    add_call,
    end_call,
    estimate_time,
    make_service_time,
)

SHED_FACTOR = 1.5
"""Queued calls are shed when their expected wait exceeds the queue's bound by this factor."""


@dataclass(slots=True, frozen=True)
class Arrival:
    """A call that arrives at a gate; the id is unique at the gate, the deadline is on its clock."""

    call_id: CallId
    member: Member
    share: int
    batch: bool
    deadline: float


@dataclass(slots=True, frozen=True)
class GateLimits:
    """Limits of one gate.

    Attributes
    ----------
    slots
        Calls that the server can run at once; the maximum of the concurrency limit.
    expected_ms
        Service time assumed before any call has been measured.
    queue_wait_ms
        Longest expected wait with which an interactive call is queued.
    batch_queue_calls
        Number of batch calls that may wait.
    batch_ratio
        Fraction of the concurrency limit that batch calls may use.
    batch_interval_calls
        While both kinds wait, one in this many starts from the queue is a batch call, so that
        batch calls make progress under sustained interactive load.
    warm_ms
        Time that a newly started server takes to reach its full limit.
    """

    slots: int
    expected_ms: float = 20.0
    queue_wait_ms: float = 60.0
    batch_queue_calls: int = 200
    batch_ratio: float = 0.75
    batch_interval_calls: int = 20
    warm_ms: float = 0.0


@dataclass(slots=True)
class GateState:
    """The running and waiting calls of one gate, and what has been measured of its server.

    ``expired`` holds queued calls found past their deadline until ``expire_waiting`` reports them.
    ``interactive_starts`` counts starts made while a batch call could have started instead.
    """

    limits: GateLimits
    limit: ConcurrencyLimit
    service: ServiceTime
    running: dict[CallId, Arrival] = field(default_factory=dict)
    batch_running: int = 0
    interactive: FairQueue[Arrival] = field(default_factory=FairQueue)
    batch: FairQueue[Arrival] = field(default_factory=FairQueue)
    waiting: dict[CallId, Arrival] = field(default_factory=dict)
    expired: list[CallId] = field(default_factory=list)
    interactive_starts: int = 0
    leaving: bool = False
    breaker: Breaker = field(default_factory=Breaker)


def make_gate_state(limits: GateLimits, now: float) -> GateState:
    """Return the state of a gate for a server that starts at ``now``."""
    expected_s = limits.expected_ms / 1e3
    return GateState(
        limits=limits,
        limit=make_limit(limits.slots, expected_s, limits.warm_ms / 1e3, now),
        service=make_service_time(expected_s, now),
    )


def admit_call(state: GateState, now: float, call: Arrival) -> Decision:
    """Admit, queue or refuse a new call; a queued call starts when another one ends."""
    if state.leaving:
        return Decision(Verdict.REFUSED, Reason.LEAVING)
    if call.deadline <= now:
        return Decision(Verdict.REFUSED, Reason.DEADLINE)
    if not allow_run(state.breaker, now, len(state.running)):
        return Decision(Verdict.REFUSED, Reason.SHED, get_trial_delay_ms(state.breaker, now))
    service_s = _update_limit(state, now)
    limit = get_limit(state.limit, now)
    if _has_free_slot(state, call.batch, limit):
        _add_running(state, call, now)
        return RUN
    refusal = _find_refusal(state, now, call, service_s / limit)
    if refusal is not None:
        return refusal
    queue = state.batch if call.batch else state.interactive
    add_waiting(queue, call.member, call.share, call.call_id, call)
    state.waiting[call.call_id] = call
    return QUEUED


def finish_call(
    state: GateState, now: float, call_id: CallId, latency: float, failed: bool
) -> list[CallId]:
    """Record the end of a running call and return the queued calls that start now."""
    _remove_running(state, now, call_id, counts=not failed)
    record_result(state.breaker, now, failed)
    if not failed:
        update_no_load(state.limit, estimate_time(state.service, now))
    return start_waiting(state, now)


def cancel_call(state: GateState, now: float, call_id: CallId) -> list[CallId]:
    """Remove a queued or running call that its caller gave up; return the calls that start."""
    call = state.waiting.pop(call_id, None)
    if call is not None:
        remove_waiting(state.batch if call.batch else state.interactive, call.member, call_id)
        return []
    if call_id in state.expired:
        state.expired.remove(call_id)
    if call_id in state.running:
        _remove_running(state, now, call_id, counts=False)
    return start_waiting(state, now)


def expire_waiting(state: GateState, now: float) -> list[CallId]:
    """Remove and return the queued calls whose deadline has passed; they never ran."""
    expired = state.expired
    state.expired = []
    for call in [call for call in state.waiting.values() if call.deadline <= now]:
        _remove_queued(state, call)
        expired.append(call.call_id)
    return expired


@dataclass(slots=True, frozen=True)
class ShedCalls:
    """Calls that were refused after they had been queued, and the refusal; they never ran."""

    call_ids: list[CallId]
    decision: Decision


def shed_waiting(state: GateState, now: float) -> ShedCalls | None:
    """Remove the queued interactive calls that a slowed server can no longer start in time.

    These are the newest ones beyond what the server can start within the queue's bound, or all
    of them while the circuit breaker is open. Checking this periodically while calls wait lets
    their entries try another server instead of waiting for the slow one.
    """
    if not state.interactive.size:
        return None
    start_interval_s = _update_limit(state, now) / get_limit(state.limit, now)
    allowed = int(state.limits.queue_wait_ms / 1e3 * SHED_FACTOR / start_interval_s)
    if is_open(state.breaker):
        allowed = 0
    excess = state.interactive.size - allowed
    if excess <= 0:
        return None
    # The dict of waiting calls keeps their order of arrival.
    newest = [call for call in state.waiting.values() if not call.batch][-excess:]
    for call in newest:
        _remove_queued(state, call)
    retry_after_ms = max(1, int((allowed + 1) * start_interval_s * 1e3))
    decision = Decision(Verdict.REFUSED, Reason.OVERLOADED, retry_after_ms)
    return ShedCalls([call.call_id for call in newest], decision)


def _remove_queued(state: GateState, call: Arrival) -> None:
    del state.waiting[call.call_id]
    remove_waiting(state.batch if call.batch else state.interactive, call.member, call.call_id)


def start_waiting(state: GateState, now: float) -> list[CallId]:
    """Start queued calls while the limit allows; return them in the order of their start."""
    started: list[CallId] = []
    _update_limit(state, now)
    limit = get_limit(state.limit, now)
    while allow_run(state.breaker, now, len(state.running)):
        call = _pop_next(state, limit)
        if call is None:
            return started
        del state.waiting[call.call_id]
        if call.deadline <= now:
            state.expired.append(call.call_id)
            continue
        _add_running(state, call, now)
        started.append(call.call_id)
    return started


def make_report(state: GateState, now: float) -> LoadReport:
    """Return the load report that is sent with an answer, a refusal or a probe reply."""
    service_s = _update_limit(state, now)
    return LoadReport(
        in_flight=len(state.running),
        limit=get_limit(state.limit, now),
        queued=state.interactive.size,
        service_time_us=int(service_s * 1e6),
        accepting=not state.leaving and is_trial_due(state.breaker, now),
        warm_percent=int(100 * get_warm_up_ratio(state.limit, now)),
    )


def start_leaving(state: GateState) -> None:
    """Refuse new calls from now on; running and waiting calls are still completed."""
    state.leaving = True


def stop_leaving(state: GateState) -> None:
    """Accept new calls again after a drain has ended."""
    state.leaving = False


def list_queued(state: GateState) -> list[CallId]:
    """Return the ids of all waiting calls."""
    queues = (state.interactive, state.batch)
    return [call.call_id for queue in queues for call in list_waiting(queue)]


def _update_limit(state: GateState, now: float) -> float:
    service_s = estimate_time(state.service, now)
    adjust_limit(state.limit, service_s)
    return service_s


def _has_free_slot(state: GateState, batch: bool, limit: int) -> bool:
    if len(state.running) >= limit:
        return False
    if not batch:
        return state.interactive.size == 0
    return state.batch.size == 0 and state.batch_running < _get_batch_limit(state, limit)


def _get_batch_limit(state: GateState, limit: int) -> int:
    return max(1, int(limit * state.limits.batch_ratio))


def _find_refusal(
    state: GateState, now: float, call: Arrival, start_interval_s: float
) -> Decision | None:
    if call.batch:
        # Batch calls may wait until their deadline; only their number is bounded.
        full = state.batch.size >= state.limits.batch_queue_calls
        ahead = float(state.batch.size + state.interactive.size)
        reason = Reason.LIMIT if full else Reason.NONE
    else:
        ahead = count_ahead(state.interactive, call.member, call.share)
        wait_s = (ahead + 1.0) * start_interval_s
        reason = Reason.NONE
        if wait_s > state.limits.queue_wait_ms / 1e3:
            reason = Reason.OVERLOADED
        elif now + wait_s >= call.deadline:
            reason = Reason.DEADLINE
    if reason is Reason.NONE:
        return None
    retry_after_ms = max(1, int((ahead + 1.0) * start_interval_s * 1e3))
    return Decision(Verdict.REFUSED, reason, retry_after_ms)


def _add_running(state: GateState, call: Arrival, now: float) -> None:
    state.running[call.call_id] = call
    state.batch_running += call.batch
    add_call(state.service, now)


def _remove_running(state: GateState, now: float, call_id: CallId, counts: bool) -> None:
    call = state.running.pop(call_id)
    state.batch_running -= call.batch
    end_call(state.service, now, counts)


def _pop_next(state: GateState, limit: int) -> Arrival | None:
    if len(state.running) >= limit:
        return None
    batch_ready = state.batch.size and state.batch_running < _get_batch_limit(state, limit)
    if not state.interactive.size:
        return pop_waiting(state.batch) if batch_ready else None
    if batch_ready:
        state.interactive_starts += 1
        if state.interactive_starts >= state.limits.batch_interval_calls:
            state.interactive_starts = 0
            return pop_waiting(state.batch)
    return pop_waiting(state.interactive)
