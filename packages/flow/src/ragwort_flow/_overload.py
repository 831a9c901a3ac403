"""Orders the scheduler's waiting calls by ``_triage``, and gives some up in overload."""

from collections.abc import Callable, Sequence
from operator import attrgetter

from ragwort_flow._customer_shares import (
    list_first_customers,
    needs_sharing,
    record_customer_refused,
)
from ragwort_flow._scheduler_state import PendingCall, SchedulerState, Waiting
from ragwort_flow._service_ratio import (
    estimate_load,
    has_several_ranks,
    list_starved,
    record_refused,
)
from ragwort_flow._triage import (
    Outlook,
    Share,
    are_all_in_time,
    find_excess,
    has_equal_share,
    order_calls,
)
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


def needs_triage(state: SchedulerState, now: float) -> bool:
    """Return whether calls differ by rank, or by what their customers have sent."""
    return has_several_ranks(state.ratios, now) or needs_sharing(state.shares, now)


def give_up_excess(state: SchedulerState, now: float) -> list[Waiting]:
    """Order the waiting calls; remove and return those given up so that the others are in time."""
    if not state.waiting or not needs_triage(state, now):
        return []
    state.waiting = order_waiting(state, now, state.waiting)
    if not is_overloaded(state, now):
        return []
    kept = list_kept_classes(state, now)
    find_share = _make_share_finder(state, now, state.waiting)
    outlook = _get_outlook(state, now)
    excess = find_excess(state.waiting, outlook, OBJECTIVE_TOLERANCE, kept, find_share)
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
    outlook = _get_outlook(state, now)
    if not has_several_ranks(state.ratios, now):
        # Calls of one rank keep their order while all can be in time, whatever was refused before.
        by_due = sorted(calls, key=attrgetter("due"))
        if are_all_in_time(by_due, outlook):
            return by_due
    starved = list_starved(state.ratios, now)
    return order_calls(calls, outlook, starved, _make_share_finder(state, now, calls))


def list_kept_classes(state: SchedulerState, now: float) -> set[tuple[int, str]]:
    """Return the classes whose calls are served even if late."""
    kept = list_starved(state.ratios, now)
    small_s = SMALL_CALL_RATIO * average(list(state.work.mean_s.values()))
    for key, counts in state.ratios.classes.items():
        if counts.work_s <= small_s:
            kept.add(key)
    return kept


def may_be_kept(state: SchedulerState, now: float, call: Waiting) -> bool:
    """Return whether a call of an overloaded server is served even if late."""
    is_kept = (call.rank, call.kind) in list_kept_classes(state, now)
    return is_kept and not call.is_beyond_share


def record_refusal(state: SchedulerState, now: float, pending: PendingCall) -> None:
    """Count a call that was refused although no other server takes it."""
    record_refused(state.ratios, now, pending.rank, pending.kind)
    record_customer_refused(state.shares, now, pending.customer)


def _make_share_finder(
    state: SchedulerState, now: float, calls: Sequence[Waiting]
) -> Callable[[Waiting], Share]:
    """Return a function that finds the place of a call by what its customer has sent."""
    first = list_first_customers(state.shares, now)
    if not (first or any(call.is_beyond_share for call in calls)):
        return has_equal_share

    def find_share(call: Waiting) -> Share:
        if call.customer in first:
            return Share.FIRST
        return Share.BEYOND if call.is_beyond_share else Share.WITHIN

    return find_share


def _get_outlook(state: SchedulerState, now: float) -> Outlook:
    wait_s = estimate_wait(state, now, [], 0.0)
    return Outlook(now, wait_s, state.limit, estimate_start_slowdown(state, now))
