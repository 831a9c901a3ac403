"""Orders the scheduler's waiting calls by ``_triage``, and gives some up in overload."""

from ragwort_flow._scheduler_state import SchedulerState, Waiting
from ragwort_flow._service_ratio import estimate_load, has_several_ranks, list_starved
from ragwort_flow._triage import Outlook, find_excess, order_calls
from ragwort_flow._wait_estimate import average, estimate_start_slowdown, estimate_wait

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

SMALL_CALL_RATIO = 0.5
"""Work, as a fraction of the average, up to which refusing a call saves hardly anything."""


def give_up_excess(state: SchedulerState, now: float) -> list[Waiting]:
    """Order the waiting calls; remove and return those given up so that the others are in time."""
    if not state.waiting or not has_several_ranks(state.ratios, now):
        return []
    state.waiting = order_waiting(state, now, state.waiting)
    if not is_overloaded(state, now):
        return []
    kept = list_kept_classes(state, now)
    excess = find_excess(state.waiting, _get_outlook(state, now), OBJECTIVE_TOLERANCE, kept)
    if excess:
        state.given_up += len(excess)
        ids = {call.call_id for call in excess}
        state.waiting = [call for call in state.waiting if call.call_id not in ids]
    return excess


def is_overloaded(state: SchedulerState, now: float) -> bool:
    """Return whether recent calls bring more work than the server can do in time."""
    load = estimate_load(state.ratios, now) * estimate_start_slowdown(state, now)
    if load > OVERLOAD_RATIO * state.limit:
        return True
    late = sum(call.due < now for call in state.waiting)
    return late > MAX_LATE_RATIO * state.limit


def order_waiting(state: SchedulerState, now: float, calls: list[Waiting]) -> list[Waiting]:
    """Return waiting calls in the order in which they start."""
    starved = list_starved(state.ratios, now)
    return order_calls(calls, _get_outlook(state, now), starved)


def list_kept_classes(state: SchedulerState, now: float) -> set[tuple[int, str]]:
    """Return the classes whose calls are served even if late."""
    kept = list_starved(state.ratios, now)
    small_s = SMALL_CALL_RATIO * average(list(state.work.mean_s.values()))
    for key, counts in state.ratios.classes.items():
        if counts.work_s <= small_s:
            kept.add(key)
    return kept


def _get_outlook(state: SchedulerState, now: float) -> Outlook:
    wait_s = estimate_wait(state, now, [], 0.0)
    return Outlook(now, wait_s, state.limit, estimate_start_slowdown(state, now))
