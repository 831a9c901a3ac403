"""Scheduler of a server's calls: decides which calls run, wait or are refused.

It handles load that shifts within milliseconds: noisy neighbours slow the host down for fractions
of a second, a server may slow down when nearly all slots are taken, and more calls may arrive than
can run within their objectives. A call is queued only while its response is expected within its
objective, and otherwise refused at once. A call that another server is expected to serve in time is
given back as soon as this one can't: by a crowded server, or on a host that is found to be slowed
down. Queued calls of one rank start in the order of their latest start time, the objective less the
expected work (earliest deadline first, Liu and Layland, 1973); among calls of different ranks,
``_triage`` decides. A call is deferred on a slowed host if it would finish sooner that way, and
until the host's slowdown is known if that is worth a probe. A server may also limit how many calls
start in a second.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import exp

from ragwort_common import CallId, Reason
from ragwort_protocol import LoadReport

from ragwort_flow._cold_start import (
    ColdState,
    bound_concurrency,
    estimate_cold_wait,
    forget_server,
    has_cold_token,
    is_cold,
    is_expected_cold,
    is_limited,
    record_cold_start,
    record_statement,
    take_cold_token,
)
from ragwort_flow._concurrency_limit import (
    MIN_CALLS_BELOW_KNEE,
    KneeState,
    choose_limit,
    find_knee_limit,
    record_call_above,
    record_call_below,
)
from ragwort_flow._decision import EXPIRED, QUEUED, RUN, Decision, Verdict
from ragwort_flow._rate_limit import (
    RateLimit,
    estimate_token_wait,
    has_token,
    set_rate,
    take_token,
)
from ragwort_flow._service_ratio import (
    ServiceRatios,
    estimate_load,
    has_several_ranks,
    list_starved,
    record_offered,
    record_refused,
)
from ragwort_flow._speed import (
    SpeedState,
    estimate_excess,
    estimate_slowdown,
    get_baseline,
    get_expected_deferral,
    is_slowdown_known,
    is_slowed,
    may_defer,
    record_failed_probe,
    record_slowdown,
    should_defer,
    should_probe,
)
from ragwort_flow._triage import Outlook, find_excess, is_slot_kept, order_calls
from ragwort_flow._work import WorkEstimates, estimate_work, record_work

COLD_SLOWDOWN = 2.0
"""Slowdown of a server that has just started; from the users' data sheets."""

MAX_LATE_WAIT_S = 0.03
"""Maximum expected wait at which a call that will miss its objective is still queued."""

LATE_CALL_DELAY_S = 0.25
"""How long a call that will miss its objective yields to those that can meet theirs. It is about
one objective, so that the late call is served too."""

OBJECTIVE_TOLERANCE = 1.1
"""Fraction of the time left to the objective within which the response of a queued call has to be
expected. It is slightly over 1 because a refused call has no value and half of the calls are faster
than expected; 0.85 and 1.4 both gave callers less (docs/design/limits.md)."""

OVERLOAD_RATIO = 0.8
"""Load, as a fraction of the limit, above which calls are refused so that others are in time. Below
it a late call displaces nothing for long."""

MAX_LATE_RATIO = 2
"""Number of late waiting calls, as a multiple of the limit, above which a server is overloaded at
once: the load follows only within two seconds."""

MIN_MOVE_GAIN_S = 0.02
"""Time lost on a slowed host from which on a call is given back: a few round trips between the
failure domains of a region."""

MIN_REMAINING_RATIO = 0.2
"""Minimum expected remaining time of a running call, as a fraction of its expected run time."""

FAILURE_SMOOTHING_FACTOR = 0.15
"""Weight of the latest call in the failure ratio: about the last seven calls count."""

FAILURE_DECAY_S = 2.0
"""Time constant with which the failure ratio decays while a server gets no calls."""

SMALL_CALL_RATIO = 0.5
"""Work, as a fraction of the average, up to which refusing a call saves hardly anything."""


@dataclass(slots=True, frozen=True)
class PendingCall:
    """A call submitted to the scheduler; times are on the scheduler's clock, in seconds.

    Attributes
    ----------
    kind
        Class of calls that need about the same work.
    rank
        Priority; 0 is the highest.
    objective
        Time until which a response has the highest value.
    deadline
        Time after which a response has no value.
    default_work_s
        The entry node's estimate of the work in seconds, used until calls of the kind have run.
    may_move
        Whether another server is expected to serve the call in time if it is refused here.
    """

    call_id: CallId
    kind: str
    rank: int
    objective: float
    deadline: float
    default_work_s: float
    may_move: bool = False


@dataclass(slots=True)
class SchedulerState:
    """The scheduler's state: its server, and the running and waiting calls.

    Attributes
    ----------
    closed_reason
        Reason to refuse calls while they are not accepted.
    limit
        Current concurrency limit, at most the number of slots.
    max_rank
        Rank of the calls with the lowest priority so far.
    failure_ratio, failure_ratio_at
        Ratio of failed calls, and when it was last updated.
    ratios
        How often each class of calls is served.
    given_up, slots_kept
        Number of calls that were refused since not all could be in time, and of calls that found
        a slot kept free for more urgent ones.
    """

    accepting: bool = False
    closed_reason: Reason = Reason.LEAVING
    slots: int = 1
    limit: int = 1
    cold: ColdState = field(default_factory=ColdState)
    speed: SpeedState = field(default_factory=SpeedState)
    work: WorkEstimates = field(default_factory=WorkEstimates)
    running: dict[CallId, "_Running"] = field(default_factory=dict)
    waiting: list["_Waiting"] = field(default_factory=list)
    max_rank: int = 0
    failure_ratio: float = 0.0
    failure_ratio_at: float = 0.0
    knee: KneeState = field(default_factory=KneeState)
    rate: RateLimit = field(default_factory=RateLimit)
    ratios: ServiceRatios = field(default_factory=ServiceRatios)
    given_up: int = 0
    slots_kept: int = 0


@dataclass(slots=True, frozen=True)
class _Running:
    """A running call; ``slowdown`` is the one at which it started."""

    pending: PendingCall
    started: float
    slowdown: float
    is_slowdown_known: bool
    above_knee: bool


@dataclass(slots=True, frozen=True, order=True)
class _Waiting:
    """A waiting call; ``due`` is the latest start at which it is in time."""

    rank: int
    latest_start: float
    call_id: CallId
    pending: PendingCall = field(compare=False)
    work_s: float = field(compare=False)
    due: float = field(compare=False)

    @property
    def kind(self) -> str:
        return self.pending.kind


@dataclass(slots=True, frozen=True)
class SchedulingResult:
    """Decisions of one scheduling step: calls to start, and waiting calls to refuse."""

    started: list[CallId] = field(default_factory=list)
    refused: list[tuple[CallId, Decision]] = field(default_factory=list)


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


def needs_probe(state: SchedulerState, now: float) -> bool:
    """Return whether a waiting call could start if a probe gave the host's slowdown."""
    if not _has_room(state, now):
        return False
    return any(
        _needs_speed(state, now, pending) and not _is_slot_kept(state, now, pending)
        for pending in _list_groups(state)
    )


def admit_call(state: SchedulerState, now: float, pending: PendingCall) -> Decision:
    """Decide whether a new call runs, is queued for a later step, or is refused."""
    if not state.accepting:
        return _refuse_closed(state)
    if pending.deadline <= now:
        return EXPIRED
    state.max_rank = max(state.max_rank, pending.rank)
    work_s = _estimate_work(state, pending)
    slack_s = pending.objective - now - work_s
    record_offered(state.ratios, now, pending.rank, pending.kind, work_s, slack_s)
    waiting = [call.pending for call in state.waiting]
    if pending.may_move and _should_move(
        state, now, pending, len(waiting), _estimate_wait(state, now, waiting, work_s)
    ):
        return _refuse_overloaded(state, now, waiting)
    has_room = _has_room(state, now) and not _is_any_startable(state, now)
    if has_room and _may_start(state, now, pending):
        _start(state, now, pending)
        return RUN
    if has_room and _is_slot_kept(state, now, pending):
        state.slots_kept += 1
    new_call = _Waiting(
        pending.rank,
        _get_latest_start(pending, now, work_s),
        pending.call_id,
        pending,
        work_s,
        pending.objective - work_s,
    )
    if has_several_ranks(state.ratios, now):
        return _queue_by_triage(state, now, new_call)
    ahead = [call.pending for call in state.waiting if call < new_call]
    wait_s = _estimate_wait(state, now, ahead, 0.0)
    finish = now + _estimate_wait(state, now, ahead, work_s)
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
    state.failure_ratio = _get_failure_ratio(state, now)
    state.failure_ratio += ((not succeeded) - state.failure_ratio) * FAILURE_SMOOTHING_FACTOR
    state.failure_ratio_at = now
    return _start_waiting(state, now)


def cancel_call(state: SchedulerState, now: float, call_id: CallId) -> SchedulingResult:
    """Remove a cancelled call, running or waiting, without updating any estimate."""
    state.running.pop(call_id, None)
    state.waiting = [call for call in state.waiting if call.call_id != call_id]
    return _start_waiting(state, now)


def review_waiting(state: SchedulerState, now: float) -> SchedulingResult:
    """Refuse the waiting calls that can no longer meet their deadline, and start others."""
    given_up = _give_up_excess(state, now)
    refused = [(call.call_id, _refuse_unserved(state, now, call.pending, [])) for call in given_up]
    kept: list[_Waiting] = []
    ahead_s = 0.0
    estimate_wait = _make_wait_estimator(state, now)
    for call in state.waiting:
        work_s = _estimate_work(state, call.pending)
        wait_s = estimate_wait(len(kept), ahead_s, work_s)
        if call.pending.deadline <= now:
            record_refused(state.ratios, now, call.rank, call.kind)
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
    result = _start_waiting(state, now, is_ordered=True)
    return SchedulingResult(result.started, refused + result.refused)


def _queue_by_triage(state: SchedulerState, now: float, new_call: _Waiting) -> Decision:
    """Queue a call at a server whose calls have different ranks, or refuse it."""
    ordered = _order_waiting(state, now, [*state.waiting, new_call])
    ahead = [call.pending for call in ordered[: ordered.index(new_call)]]
    pending = new_call.pending
    wait_s = _estimate_wait(state, now, ahead, 0.0)
    finish_s = _estimate_wait(state, now, ahead, new_call.work_s)
    in_time = finish_s <= (pending.objective - now) * OBJECTIVE_TOLERANCE
    # A late call takes the place of others in time, so it is served only where its kind would
    # otherwise be served too rarely.
    may_be_late = wait_s <= MAX_LATE_WAIT_S
    if not may_be_late and _is_overloaded(state, now):
        may_be_late = (pending.rank, pending.kind) in _list_kept_classes(state, now)
    elif not may_be_late:
        may_be_late = _may_be_served_late(state, pending, new_call.work_s)
    if finish_s > pending.deadline - now or not (in_time or may_be_late):
        state.given_up += 1
        return _refuse_unserved(state, now, pending, ahead)
    state.waiting = ordered
    return QUEUED


def _give_up_excess(state: SchedulerState, now: float) -> list[_Waiting]:
    """Order the waiting calls; remove and return those given up so that the others are in time."""
    if not state.waiting or not has_several_ranks(state.ratios, now):
        return []
    state.waiting = _order_waiting(state, now, state.waiting)
    if not _is_overloaded(state, now):
        return []
    kept = _list_kept_classes(state, now)
    excess = find_excess(state.waiting, _get_outlook(state, now), OBJECTIVE_TOLERANCE, kept)
    if excess:
        state.given_up += len(excess)
        ids = {call.call_id for call in excess}
        state.waiting = [call for call in state.waiting if call.call_id not in ids]
    return excess


def _is_overloaded(state: SchedulerState, now: float) -> bool:
    """Return whether recent calls bring more work than the server can do in time."""
    load = estimate_load(state.ratios, now) * _estimate_start_slowdown(state, now)
    if load > OVERLOAD_RATIO * state.limit:
        return True
    late = sum(call.due < now for call in state.waiting)
    return late > MAX_LATE_RATIO * state.limit


def _order_waiting(state: SchedulerState, now: float, calls: list[_Waiting]) -> list[_Waiting]:
    starved = list_starved(state.ratios, now)
    return order_calls(calls, _get_outlook(state, now), starved)


def _list_kept_classes(state: SchedulerState, now: float) -> set[tuple[int, str]]:
    """Return the classes whose calls are served even if late."""
    kept = list_starved(state.ratios, now)
    small_s = SMALL_CALL_RATIO * _average(list(state.work.mean_s.values()))
    for key, counts in state.ratios.classes.items():
        if counts.work_s <= small_s:
            kept.add(key)
    return kept


def _get_outlook(state: SchedulerState, now: float) -> Outlook:
    wait_s = _estimate_wait(state, now, [], 0.0)
    return Outlook(now, wait_s, state.limit, _estimate_start_slowdown(state, now))


def build_load_report(state: SchedulerState, now: float) -> LoadReport:
    """Return the load report for the entry nodes."""
    mean_s = _average(list(state.work.mean_s.values()))
    slowdown = _estimate_start_slowdown(state, now)
    wait_s = _estimate_wait(state, now, [call.pending for call in state.waiting], 0.0)
    return LoadReport(
        in_flight=len(state.running),
        limit=_find_effective_limit(state, now, mean_s * slowdown),
        queued=len(state.waiting),
        service_time_us=int(mean_s * slowdown * 1e6),
        accepting=state.accepting,
        warm_percent=100,
        slowdown_percent=int(slowdown * 100),
        wait_ms=int(wait_s * 1e3),
        failing_percent=int(_get_failure_ratio(state, now) * 100),
    )


def _has_room(state: SchedulerState, now: float) -> bool:
    """Return whether the server's limits let one more call start."""
    has_tokens = has_token(state.rate, now) and has_cold_token(state.cold, now)
    return len(state.running) < state.limit and has_tokens


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
    average_s = _average(list(state.work.mean_s.values()))
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
    work_s = _estimate_work(state, pending)
    if is_slowed(state.speed, now) and estimate_excess(state.speed, work_s) > MIN_MOVE_GAIN_S:
        return True
    has_room = _has_room(state, now) and not count
    return not has_room and now + wait_s > pending.objective


def _refuse_unserved(
    state: SchedulerState, now: float, pending: PendingCall, ahead: list[PendingCall]
) -> Decision:
    """Refuse a call, and count that unless another server is expected to serve it."""
    if not pending.may_move:
        record_refused(state.ratios, now, pending.rank, pending.kind)
    return _refuse_overloaded(state, now, ahead)


def _refuse_overloaded(state: SchedulerState, now: float, ahead: list[PendingCall]) -> Decision:
    retry_ms = int(_estimate_wait(state, now, ahead, 0.0) * 1e3)
    return Decision(Verdict.REFUSED, Reason.OVERLOADED, max(1, retry_ms))


def _get_failure_ratio(state: SchedulerState, now: float) -> float:
    """Return the failure ratio, which decays with time so that the server is tried again."""
    return state.failure_ratio * exp(min(0.0, state.failure_ratio_at - now) / FAILURE_DECAY_S)


def _estimate_work(state: SchedulerState, pending: PendingCall) -> float:
    return estimate_work(state.work, pending.kind, pending.default_work_s)


def _update_estimates(
    state: SchedulerState, running: _Running, work_s: float, ended_above_knee: bool
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


def _may_start(state: SchedulerState, now: float, pending: PendingCall) -> bool:
    """Return whether a call may start now, rather than be deferred or wait for a probe."""
    if should_defer(state.speed, now, _estimate_work(state, pending)):
        return False
    return not (_is_slot_kept(state, now, pending) or _needs_speed(state, now, pending))


def _is_slot_kept(state: SchedulerState, now: float, pending: PendingCall) -> bool:
    """Return whether the last free slot is kept for calls more urgent than this one."""
    if state.limit < 2 or not has_several_ranks(state.ratios, now):
        return False
    if (pending.rank, pending.kind) in list_starved(state.ratios, now):
        return False
    free_slots = state.limit - len(state.running)
    work_s = _estimate_work(state, pending)
    return is_slot_kept(state.ratios, now, pending.rank, work_s, free_slots)


def _needs_speed(state: SchedulerState, now: float, pending: PendingCall) -> bool:
    """Return whether the host's slowdown has to be known before a call starts."""
    tolerated_s = MIN_MOVE_GAIN_S if pending.may_move else get_expected_deferral(state.speed)
    return should_probe(state.speed, now, _estimate_work(state, pending), tolerated_s)


def _is_any_startable(state: SchedulerState, now: float) -> bool:
    """Return whether a waiting call may start now."""
    return any(_may_start(state, now, pending) for pending in _list_groups(state))


def _list_groups(state: SchedulerState) -> Iterable[PendingCall]:
    """Return one waiting call of each group."""
    return {_get_group(state, call): call.pending for call in state.waiting}.values()


def _get_group(state: SchedulerState, call: _Waiting) -> tuple[int, str, bool, float]:
    """Return what distinguishes calls as to whether they may start: rank, kind and known work."""
    work_s = 0.0 if call.kind in state.work.mean_s else call.work_s
    return call.rank, call.kind, call.pending.may_move, work_s


def _estimate_start_slowdown(state: SchedulerState, now: float) -> float:
    """Return the expected slowdown of a call that is deferred until the host is fast."""
    if state.speed.has_reports:
        # The reported slowdown includes that of a cold start.
        return get_baseline(state.speed)
    return COLD_SLOWDOWN if is_cold(state.cold, now) else 1.0


def _estimate_wait(
    state: SchedulerState, now: float, ahead: list[PendingCall], work_s: float
) -> float:
    """Return the time to complete ``work_s`` of work that is queued behind the calls ahead."""
    ahead_s = sum(_estimate_work(state, pending) for pending in ahead)
    return _make_wait_estimator(state, now)(len(ahead), ahead_s, work_s)


def _make_wait_estimator(state: SchedulerState, now: float) -> Callable[[int, float, float], float]:
    """Return a function that estimates a wait from the number and work of the calls ahead."""
    slowdown = _estimate_start_slowdown(state, now)
    deferral_s = get_expected_deferral(state.speed) if may_defer(state.speed, now) else 0.0
    remaining_s = _average(
        [_estimate_remaining(state, call, now) for call in state.running.values()]
    )

    running, limit = len(state.running), state.limit
    has_rate = state.rate.calls_per_s is not None or is_limited(state.cold, now)

    def estimate(count: int, ahead_s: float, work_s: float) -> float:
        wait_s = deferral_s
        if running + count >= limit:
            wait_s = max(wait_s, (remaining_s + ahead_s * slowdown) / limit)
        if has_rate:
            wait_s = max(wait_s, estimate_token_wait(state.rate, now, count + 1))
            wait_s = max(wait_s, estimate_cold_wait(state.cold, now, count + 1))
        return wait_s + work_s * slowdown

    return estimate


def _estimate_remaining(state: SchedulerState, call: _Running, now: float) -> float:
    """Return the expected remaining time of a running call.

    A call that has overrun its expected run time is expected to take as long again as the overrun,
    as with a heavy-tailed distribution. The estimated wait at a hung server thus grows with time.
    """
    run_s = _estimate_work(state, call.pending) * call.slowdown
    return max(run_s * MIN_REMAINING_RATIO, abs(run_s - (now - call.started)))


def _start(state: SchedulerState, now: float, pending: PendingCall) -> None:
    above_knee = len(state.running) + 1 > find_knee_limit(state.slots)
    take_token(state.rate, now)
    take_cold_token(state.cold, now)
    speed = state.speed
    slowdown = (
        estimate_slowdown(speed, now) if speed.has_reports else _estimate_start_slowdown(state, now)
    )
    state.running[pending.call_id] = _Running(
        pending, now, slowdown, is_slowdown_known(speed, now), above_knee
    )


def _start_waiting(state: SchedulerState, now: float, is_ordered: bool = False) -> SchedulingResult:
    """Start waiting calls; those whose deadline has passed, as after a pause, are refused."""
    started = []
    refused = []
    kept = []
    if not is_ordered and len(state.waiting) > 1 and has_several_ranks(state.ratios, now):
        state.waiting = _order_waiting(state, now, state.waiting)
    # The calls of a group may start or not for the same reasons, so each group is tried once.
    held: set[tuple[int, str, bool, float]] = set()
    has_room = _has_room(state, now)
    for call in state.waiting:
        group = _get_group(state, call)
        if call.pending.deadline <= now:
            record_refused(state.ratios, now, call.rank, call.kind)
            refused.append((call.call_id, EXPIRED))
        elif has_room and group not in held and _may_start(state, now, call.pending):
            _start(state, now, call.pending)
            started.append(call.call_id)
            has_room = _has_room(state, now)
        else:
            kept.append(call)
            if has_room:
                held.add(group)
    state.waiting = kept
    return SchedulingResult(started, refused)


def _average(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0
