"""Updates an entry's state from load reports and from the outcomes of its own calls."""

from ragwort_common import CallId, NodeId, Outcome, Reason
from ragwort_flow import Distance
from ragwort_protocol import LoadReport

from ragwort_policy._estimate import MAX_RELATIVE_DELAY, predict_delay
from ragwort_policy._report_weight import record_delay
from ragwort_policy._server_health import (
    end_trial,
    is_error,
    record_error,
    record_success,
    start_trial,
)
from ragwort_policy._servers import ChoiceState, SentCall, ServerView, set_accepting
from ragwort_policy._service_time import add_call, end_call

MEAN_SMOOTHING = 0.05
MAX_FAR_FULL_DOUBLINGS = 4
# Reason.LIMIT is not among them: a full batch queue says nothing about interactive calls.
FULL_REASONS = frozenset({Reason.OVERLOADED, Reason.SHED})


def record_sent(state: ChoiceState, node: NodeId, call_id: CallId, now: float) -> None:
    """Record that a call is sent to a server."""
    view = state.servers.get(node)
    if view is None:
        return
    state.calls += 1
    view.last_call_number = state.calls
    start_trial(view.health)
    view.in_flight[call_id] = SentCall(now, predict_delay(state, view, now))
    view.sent_since_report += 1
    add_call(view.latency, now)


def record_report(state: ChoiceState, node: NodeId, report: LoadReport, now: float) -> None:
    """Record a server's load report, from an answer, a refusal or a probe reply."""
    view = state.servers.get(node)
    if view is None:
        return
    view.load = float(report.in_flight + report.queued)
    view.limit = float(max(1, report.limit))
    view.service_s = report.service_time_us / 1e6
    set_accepting(view, report.accepting, now)
    view.reported_at = now
    view.sent_since_report = _count_unreported(view, now)
    load_ratio = view.load / view.limit
    if view.distance is Distance.OTHER_REGION:
        state.mean_far_load += MEAN_SMOOTHING * (load_ratio - state.mean_far_load)
    else:
        state.mean_load += MEAN_SMOOTHING * (load_ratio - state.mean_load)
    # Capped at twice the average, so that one slow server doesn't raise the average.
    service_s = min(view.service_s, 2.0 * state.mean_service_s)
    state.mean_service_s += MEAN_SMOOTHING * (service_s - state.mean_service_s)


def record_outcome(
    state: ChoiceState,
    node: NodeId,
    call_id: CallId,
    outcome: Outcome,
    reason: Reason,
    now: float,
    jitter: float = 0.5,
) -> None:
    """Record how a call ended; a call that isn't in flight at this server is ignored."""
    view = state.servers.get(node)
    sent = view.in_flight.pop(call_id, None) if view else None
    if sent is None:
        return
    _update_report_weight(state, view, sent, outcome, reason, now)
    end_call(view.latency, now, counts=outcome is Outcome.ANSWERED)
    if is_error(outcome, reason):
        unreachable = reason is Reason.CONNECT_FAILED
        record_error(view.health, now, state.calls, jitter, unreachable)
    elif outcome is Outcome.ANSWERED:
        record_success(view.health)
        view.consecutive_refusals = 0
    else:
        end_trial(view.health)
        if reason in FULL_REASONS:
            _mark_full(state, view, now)
    if reason is Reason.LEAVING:
        set_accepting(view, False, now)


def _update_report_weight(
    state: ChoiceState,
    view: ServerView,
    sent: SentCall,
    outcome: Outcome,
    reason: Reason,
    now: float,
) -> None:
    if view.distance is Distance.OTHER_REGION:
        return
    if outcome is Outcome.ANSWERED:
        delay_s = now - sent.sent_at - view.round_trip_s
        actual_delay = min(MAX_RELATIVE_DELAY, delay_s / state.mean_service_s - 1.0)
    elif reason in FULL_REASONS:
        actual_delay = MAX_RELATIVE_DELAY
    else:
        return
    record_delay(state.regression, sent.predicted_delay, actual_delay)


def _mark_full(state: ChoiceState, view: ServerView, now: float) -> None:
    full_s = state.settings.full_ms / 1e3
    if view.distance is Distance.OTHER_REGION:
        # A call to a full server of the other region wastes a paid round trip, so each consecutive
        # refusal doubles the time until the next try.
        view.consecutive_refusals += 1
        doublings = min(view.consecutive_refusals, MAX_FAR_FULL_DOUBLINGS)
        full_s = view.round_trip_s * 2.0**doublings
    view.full_until = now + full_s


def _count_unreported(view: ServerView, now: float) -> int:
    # Calls sent less than a round trip ago reached the gate after the report had left it.
    sent_after = now - view.round_trip_s
    count = 0
    for sent in reversed(view.in_flight.values()):
        if sent.sent_at < sent_after:
            break
        count += 1
    return count
