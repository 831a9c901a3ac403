"""Decides whether a call may start at a server now, and starts the waiting calls that may."""

from collections.abc import Iterable

from ragwort_common import CustomerName

from ragwort_flow._cold_start import has_cold_token, take_cold_token
from ragwort_flow._concurrency_limit import find_knee_limit
from ragwort_flow._customer_shares import list_first_customers
from ragwort_flow._decision import EXPIRED
from ragwort_flow._overload import needs_triage, order_waiting, record_refusal
from ragwort_flow._rate_limit import has_token, take_token
from ragwort_flow._scheduler_state import (
    PendingCall,
    Running,
    SchedulerState,
    SchedulingResult,
    Waiting,
)
from ragwort_flow._service_ratio import has_several_ranks, list_starved
from ragwort_flow._speed import (
    estimate_slowdown,
    get_expected_deferral,
    is_slowdown_known,
    should_defer,
    should_probe,
)
from ragwort_flow._triage import is_slot_kept
from ragwort_flow._wait_estimate import estimate_call_work, estimate_start_slowdown

MIN_MOVE_GAIN_S = 0.02
"""Time lost on a slowed host from which on a call is given back: a few round trips between the
failure domains of a region."""


def needs_probe(state: SchedulerState, now: float) -> bool:
    """Return whether a waiting call could start if a probe gave the host's slowdown."""
    if not has_room(state, now):
        return False
    return any(
        _needs_speed(state, now, pending) and not is_last_slot_kept(state, now, pending)
        for pending in _list_groups(state, now)
    )


def has_room(state: SchedulerState, now: float) -> bool:
    """Return whether the server's limits let one more call start."""
    has_tokens = has_token(state.rate, now) and has_cold_token(state.cold, now)
    return len(state.running) < state.limit and has_tokens


def may_start(state: SchedulerState, now: float, pending: PendingCall) -> bool:
    """Return whether a call may start now, rather than be deferred or wait for a probe."""
    if should_defer(state.speed, now, estimate_call_work(state, pending)):
        return False
    return not (is_last_slot_kept(state, now, pending) or _needs_speed(state, now, pending))


def is_last_slot_kept(state: SchedulerState, now: float, pending: PendingCall) -> bool:
    """Return whether the last free slot is kept for calls more urgent than this one."""
    if state.limit < 2 or not has_several_ranks(state.ratios, now):
        return False
    if (pending.rank, pending.kind) in list_starved(state.ratios, now):
        return False
    if pending.customer in list_first_customers(state.shares, now):
        return False
    free_slots = state.limit - len(state.running)
    work_s = estimate_call_work(state, pending)
    return is_slot_kept(state.ratios, now, pending.rank, work_s, free_slots)


def _needs_speed(state: SchedulerState, now: float, pending: PendingCall) -> bool:
    """Return whether the host's slowdown has to be known before a call starts."""
    tolerated_s = MIN_MOVE_GAIN_S if pending.may_move else get_expected_deferral(state.speed)
    return should_probe(state.speed, now, estimate_call_work(state, pending), tolerated_s)


def is_any_startable(state: SchedulerState, now: float) -> bool:
    """Return whether a waiting call may start now."""
    return any(may_start(state, now, pending) for pending in _list_groups(state, now))


def _list_groups(state: SchedulerState, now: float) -> Iterable[PendingCall]:
    """Return one waiting call of each group."""
    first = list_first_customers(state.shares, now)
    return {_get_group(state, call, first): call.pending for call in state.waiting}.values()


def _get_group(
    state: SchedulerState, call: Waiting, first: frozenset[CustomerName]
) -> tuple[int, str, bool, float, bool]:
    """Return what distinguishes calls as to whether they may start, such as rank and known work."""
    work_s = 0.0 if call.kind in state.work.mean_s else call.work_s
    return call.rank, call.kind, call.pending.may_move, work_s, call.customer in first


def start_call(state: SchedulerState, now: float, pending: PendingCall) -> None:
    """Record that a call starts, with the slowdown at which it is expected to run."""
    above_knee = len(state.running) + 1 > find_knee_limit(state.slots)
    take_token(state.rate, now)
    take_cold_token(state.cold, now)
    speed = state.speed
    slowdown = (
        estimate_slowdown(speed, now) if speed.has_reports else estimate_start_slowdown(state, now)
    )
    state.running[pending.call_id] = Running(
        pending, now, slowdown, is_slowdown_known(speed, now), above_knee
    )


def start_waiting(state: SchedulerState, now: float, is_ordered: bool = False) -> SchedulingResult:
    """Start waiting calls; those whose deadline has passed, as after a pause, are refused."""
    started = []
    refused = []
    kept = []
    if not is_ordered and len(state.waiting) > 1 and needs_triage(state, now):
        state.waiting = order_waiting(state, now, state.waiting)
    # The calls of a group may start or not for the same reasons, so each group is tried once.
    held: set[tuple[int, str, bool, float, bool]] = set()
    first = list_first_customers(state.shares, now)
    is_room_free = has_room(state, now)
    for call in state.waiting:
        group = _get_group(state, call, first)
        if call.pending.deadline <= now:
            record_refusal(state, now, call.pending)
            refused.append((call.call_id, EXPIRED))
        elif is_room_free and group not in held and may_start(state, now, call.pending):
            start_call(state, now, call.pending)
            started.append(call.call_id)
            is_room_free = has_room(state, now)
        else:
            kept.append(call)
            if is_room_free:
                held.add(group)
    state.waiting = kept
    return SchedulingResult(started, refused)
