"""Scheduler of a server's calls: decides which calls run, wait or are refused.

It handles load that shifts within milliseconds: noisy neighbours slow the host down for fractions
of a second, a server may slow down when nearly all slots are taken, and more calls may arrive than
can run within their objectives. A call is queued only while its response is expected within its
objective, and otherwise refused at once. A call that another server is expected to serve in time is
given back as soon as this one can't: by a crowded server, or on a host that is found to be slowed
down. Queued calls of one rank start in the order of their latest start time, the objective less the
expected work (earliest deadline first, Liu and Layland, 1973); among calls of different ranks, and
where a customer sends far more than usual, ``_triage`` decides. A call is deferred on a slowed host
if it would finish sooner that way, and until the host's slowdown is known if that is worth a probe.
A server may also limit how many calls start in a second.
"""

from ragwort_common import CallId, Reason
from ragwort_protocol import LoadReport

from ragwort_flow._call_start import (
    MIN_MOVE_GAIN_S,
    has_room,
    is_any_startable,
    is_last_slot_kept,
    may_start,
    start_call,
    start_waiting,
)
from ragwort_flow._cold_start import (
    bound_concurrency,
    forget_server,
    is_expected_cold,
    record_cold_start,
    record_statement,
)
from ragwort_flow._concurrency_limit import (
    MIN_CALLS_BELOW_KNEE,
    KneeState,
    choose_limit,
    find_knee_limit,
    record_call_above,
    record_call_below,
)
from ragwort_flow._customer_shares import move_marks, record_arrival
from ragwort_flow._decision import EXPIRED, QUEUED, RUN, Decision, Verdict
from ragwort_flow._overload import (
    OBJECTIVE_TOLERANCE,
    SMALL_CALL_RATIO,
    give_up_excess,
    is_overloaded,
    may_be_kept,
    needs_triage,
    order_waiting,
    record_refusal,
)
from ragwort_flow._rate_limit import RateLimit, set_rate
from ragwort_flow._scheduler_state import (
    PendingCall,
    Running,
    SchedulerState,
    SchedulingResult,
    Waiting,
)
from ragwort_flow._service_ratio import record_offered
from ragwort_flow._speed import (
    SpeedState,
    estimate_excess,
    is_slowed,
    record_failed_probe,
    record_slowdown,
)
from ragwort_flow._wait_estimate import (
    average,
    estimate_call_work,
    estimate_start_slowdown,
    estimate_wait,
    get_failure_ratio,
    make_wait_estimator,
)
from ragwort_flow._work import record_work

MAX_LATE_WAIT_S = 0.03
"""Maximum expected wait at which a call that will miss its objective is still queued."""

LATE_CALL_DELAY_S = 0.25
"""How long a call that will miss its objective yields to those that can meet theirs. It is about
one objective, so that the late call is served too."""

FAILURE_SMOOTHING_FACTOR = 0.15
"""Weight of the latest call in the failure ratio: about the last seven calls count."""


def reset_server(state: SchedulerState) -> None:
    """Reset what was learned about the server, because a new instance has replaced it."""
    state.speed = SpeedState()
    state.knee = KneeState()
    state.rate = RateLimit()
    forget_server(state.cold)
    state.failure_ratio = 0.0


def update_server(
    state: SchedulerState, now: float, slots: int, cold_s: float | None, is_new: bool = False
) -> None:
    """Accept calls, with the server's number of slots and how long it states that it stays cold.

    ``cold_s`` is None if the server doesn't state that. A new server is then cold for as long as
    its service's servers usually are.
    """
    state.accepting = True
    state.slots = slots
    state.limit = choose_limit(state.knee, slots)
    if cold_s is not None:
        record_statement(state.cold, now, cold_s)
    elif is_new or is_expected_cold(state.cold):
        record_cold_start(state.cold, now)


def stop_accepting(state: SchedulerState, reason: Reason = Reason.LEAVING) -> SchedulingResult:
    """Stop accepting calls, and refuse the waiting ones and all others for the given reason."""
    state.accepting = False
    state.closed_reason = reason
    refused = [(call.call_id, _refuse_closed(state)) for call in state.waiting]
    state.waiting.clear()
    return SchedulingResult(refused=refused)


def limit_rate(state: SchedulerState, now: float, calls_per_s: float | None) -> None:
    """Set the rate of calls that the server takes, or None if it has no limit."""
    set_rate(state.rate, now, calls_per_s)


def record_reported_slowdown(state: SchedulerState, now: float, slowdown: float) -> None:
    """Record the slowdown that the server reports for its host."""
    record_slowdown(state.speed, now, slowdown)


def record_unanswered_probe(state: SchedulerState, now: float) -> None:
    """Record that the server did not respond to a probe."""
    record_failed_probe(state.speed, now)


def admit_call(state: SchedulerState, now: float, pending: PendingCall) -> Decision:
    """Decide whether a new call runs, is queued for a later step, or is refused."""
    if not state.accepting:
        return _refuse_closed(state)
    if pending.deadline <= now:
        return EXPIRED
    state.max_rank = max(state.max_rank, pending.rank)
    work_s = estimate_call_work(state, pending)
    slack_s = pending.objective - now - work_s
    record_offered(state.ratios, now, pending.rank, pending.kind, work_s, slack_s)
    is_beyond_share = record_arrival(state.shares, now, pending.customer)
    waiting = [call.pending for call in state.waiting]
    if pending.may_move and _should_move(
        state, now, pending, len(waiting), estimate_wait(state, now, waiting, work_s)
    ):
        return _refuse_overloaded(state, now, waiting)
    is_room_free = has_room(state, now) and not is_any_startable(state, now)
    if is_room_free and may_start(state, now, pending):
        start_call(state, now, pending)
        return RUN
    if is_room_free and is_last_slot_kept(state, now, pending):
        state.slots_kept += 1
    new_call = Waiting(
        pending.rank,
        _get_latest_start(pending, now, work_s),
        pending.call_id,
        pending,
        work_s,
        pending.objective - work_s,
        pending.customer,
        is_beyond_share,
    )
    if needs_triage(state, now):
        return _queue_by_triage(state, now, new_call)
    ahead = [call.pending for call in state.waiting if call < new_call]
    wait_s = estimate_wait(state, now, ahead, 0.0)
    finish = now + estimate_wait(state, now, ahead, work_s)
    in_time = finish - now <= (pending.objective - now) * OBJECTIVE_TOLERANCE
    may_be_late = wait_s <= MAX_LATE_WAIT_S or _may_be_served_late(state, pending, work_s)
    if finish > pending.deadline or not (in_time or may_be_late):
        return _refuse_unserved(state, now, pending, ahead)
    state.waiting.append(new_call)
    state.waiting.sort()
    return QUEUED


def complete_call(
    state: SchedulerState, now: float, call_id: CallId, succeeded: bool
) -> SchedulingResult:
    """Record the completion of a running call, and start waiting ones."""
    ended_above_knee = len(state.running) > find_knee_limit(state.slots)
    running = state.running.pop(call_id)
    if succeeded:
        _update_estimates(
            state, running, (now - running.started) / running.slowdown, ended_above_knee
        )
    state.failure_ratio = get_failure_ratio(state, now)
    state.failure_ratio += ((not succeeded) - state.failure_ratio) * FAILURE_SMOOTHING_FACTOR
    state.failure_ratio_at = now
    return start_waiting(state, now)


def cancel_call(state: SchedulerState, now: float, call_id: CallId) -> SchedulingResult:
    """Remove a cancelled call, running or waiting, without updating any estimate."""
    state.running.pop(call_id, None)
    state.waiting = [call for call in state.waiting if call.call_id != call_id]
    return start_waiting(state, now)


def review_waiting(state: SchedulerState, now: float) -> SchedulingResult:
    """Refuse the waiting calls that can no longer meet their deadline, and start others."""
    given_up = give_up_excess(state, now)
    refused = [(call.call_id, _refuse_unserved(state, now, call.pending, [])) for call in given_up]
    kept: list[Waiting] = []
    ahead_s = 0.0
    estimate_next = make_wait_estimator(state, now)
    for call in state.waiting:
        work_s = estimate_call_work(state, call.pending)
        wait_s = estimate_next(len(kept), ahead_s, work_s)
        if call.pending.deadline <= now:
            record_refusal(state, now, call.pending)
            refused.append((call.call_id, EXPIRED))
        elif now + wait_s > call.pending.deadline:
            ahead = [waiting.pending for waiting in kept]
            refused.append((call.call_id, _refuse_unserved(state, now, call.pending, ahead)))
        elif _should_move(state, now, call.pending, len(kept), wait_s):
            ahead = [waiting.pending for waiting in kept]
            refused.append((call.call_id, _refuse_overloaded(state, now, ahead)))
        else:
            kept.append(call)
            ahead_s += work_s
    state.waiting = kept
    result = start_waiting(state, now, is_ordered=True)
    return SchedulingResult(result.started, refused + result.refused)


def _queue_by_triage(state: SchedulerState, now: float, new_call: Waiting) -> Decision:
    """Queue a call at a server whose calls differ by rank or by customer, or refuse it."""
    if new_call.is_beyond_share and is_overloaded(state, now):
        state.put_behind += 1
    if new_call.customer is not None:
        key = new_call.customer, new_call.rank
        same = [call for call in state.waiting if (call.customer, call.rank) == key]
        move_marks([*same, new_call])
    ordered = order_waiting(state, now, [*state.waiting, new_call])
    ahead = [call.pending for call in ordered[: ordered.index(new_call)]]
    pending = new_call.pending
    wait_s = estimate_wait(state, now, ahead, 0.0)
    finish_s = estimate_wait(state, now, ahead, new_call.work_s)
    in_time = finish_s <= (pending.objective - now) * OBJECTIVE_TOLERANCE
    # A late call takes the place of others in time, so it is served only where its kind would
    # otherwise be served too rarely.
    may_be_late = wait_s <= MAX_LATE_WAIT_S
    if not may_be_late and is_overloaded(state, now):
        may_be_late = may_be_kept(state, now, new_call)
    elif not may_be_late:
        may_be_late = _may_be_served_late(state, pending, new_call.work_s)
    if finish_s > pending.deadline - now or not (in_time or may_be_late):
        state.given_up += 1
        return _refuse_unserved(state, now, pending, ahead)
    state.waiting = ordered
    return QUEUED


def build_load_report(state: SchedulerState, now: float) -> LoadReport:
    """Return the load report for the entry nodes."""
    mean_s = average(list(state.work.mean_s.values()))
    slowdown = estimate_start_slowdown(state, now)
    wait_s = estimate_wait(state, now, [call.pending for call in state.waiting], 0.0)
    return LoadReport(
        in_flight=len(state.running),
        limit=_find_effective_limit(state, now, mean_s * slowdown),
        queued=len(state.waiting),
        service_time_us=int(mean_s * slowdown * 1e6),
        accepting=state.accepting,
        warm_percent=100,
        slowdown_percent=int(slowdown * 100),
        wait_ms=int(wait_s * 1e3),
        failing_percent=int(get_failure_ratio(state, now) * 100),
    )


def _find_effective_limit(state: SchedulerState, now: float, service_time_s: float) -> int:
    """Return how many calls run at a time when the server gets all that it takes.

    At a limited rate this follows from Little's law.
    """
    running = bound_concurrency(state.cold, now, service_time_s)
    if state.rate.calls_per_s is not None:
        running = min(running, state.rate.calls_per_s * service_time_s)
    return max(1, round(min(state.limit, running)))


def _may_be_served_late(state: SchedulerState, pending: PendingCall, work_s: float) -> bool:
    """Return whether a call is served late rather than refused.

    This applies to calls of higher priority, which must not be served less often than others, and
    to small calls: most are made by calls that hold a slot elsewhere and would fail with them.
    """
    average_s = average(list(state.work.mean_s.values()))
    return pending.rank < state.max_rank or work_s <= SMALL_CALL_RATIO * average_s


def _should_move(
    state: SchedulerState, now: float, pending: PendingCall, count: int, wait_s: float
) -> bool:
    """Return whether a call is given back because it is better served elsewhere.

    ``count`` calls are ahead of it, and it is expected to take ``wait_s`` seconds here.
    A move costs a round trip, which is little beside a slowdown or a missed objective.
    """
    if not pending.may_move:
        return False
    work_s = estimate_call_work(state, pending)
    if is_slowed(state.speed, now) and estimate_excess(state.speed, work_s) > MIN_MOVE_GAIN_S:
        return True
    is_room_free = has_room(state, now) and not count
    return not is_room_free and now + wait_s > pending.objective


def _refuse_unserved(
    state: SchedulerState, now: float, pending: PendingCall, ahead: list[PendingCall]
) -> Decision:
    """Refuse a call, and count that unless another server is expected to serve it."""
    if not pending.may_move:
        record_refusal(state, now, pending)
    return _refuse_overloaded(state, now, ahead)


def _refuse_overloaded(state: SchedulerState, now: float, ahead: list[PendingCall]) -> Decision:
    retry_ms = int(estimate_wait(state, now, ahead, 0.0) * 1e3)
    return Decision(Verdict.REFUSED, Reason.OVERLOADED, max(1, retry_ms))


def _update_estimates(
    state: SchedulerState, running: Running, work_s: float, ended_above_knee: bool
) -> None:
    """Update the estimates from a call's work; those of the knee depend on the utilization."""
    if not running.is_slowdown_known:
        return
    kind = running.pending.kind
    if running.above_knee and ended_above_knee:
        expected_s = state.work.mean_s.get(kind, 0.0)
        if expected_s <= 0:
            record_work(state.work, kind, work_s)
        elif state.knee.calls_below >= MIN_CALLS_BELOW_KNEE:
            record_call_above(state.knee, work_s / expected_s)
    elif not (running.above_knee or ended_above_knee):
        record_call_below(state.knee)
        record_work(state.work, kind, work_s)
    state.limit = choose_limit(state.knee, state.slots)


def _get_latest_start(pending: PendingCall, now: float, work_s: float) -> float:
    """Return the latest start time of a call; one that will miss its objective is put off."""
    latest_start = pending.objective - work_s
    return latest_start if latest_start >= now else now + LATE_CALL_DELAY_S


def _refuse_closed(state: SchedulerState) -> Decision:
    return Decision(Verdict.REFUSED, state.closed_reason)
