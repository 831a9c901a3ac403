"""When a gate asks for the bodies of waiting calls, and when a call with a body really starts."""

from dataclasses import dataclass, replace
from math import ceil

from ragwort_common import CallId

from ragwort_flow._scheduler import build_load_report
from ragwort_flow._scheduler_state import SchedulerState

INITIAL_TRANSFER_S = 0.15
"""Expected transfer time before any is known: 60 KB at 10 Mbit/s and a round trip between regions,
plus half of that for other messages on the link."""

TRANSFER_WEIGHT = 0.2
"""Weight of the latest transfer in the moving average: covers about five."""

TRANSFER_MARGIN = 1.5
"""A body is asked for this many average transfer times before its call is expected to start: calls
end in bunches, and transfers of other bodies share the link."""


@dataclass(slots=True)
class TransferTimes:
    """Moving average of the time from the request for a body to its last byte, in seconds."""

    mean_s: float = INITIAL_TRANSFER_S


def record_transfer(times: TransferTimes, transfer_s: float) -> None:
    """Record the time that a body took."""
    times.mean_s += (transfer_s - times.mean_s) * TRANSFER_WEIGHT


def list_due(state: SchedulerState, now: float, times: TransferTimes) -> list[CallId]:
    """Return the waiting calls whose bodies are to be asked for now.

    These are the calls that are expected to start within the time of a transfer; always the first.
    """
    if not state.waiting:
        return []
    report = build_load_report(state, now)
    service_s = report.service_time_us / 1e6
    lead_s = times.mean_s * TRANSFER_MARGIN
    count = ceil(report.limit * lead_s / service_s) if service_s > 0 else report.limit
    return [call.call_id for call in state.waiting[: max(1, count)]]


def restart_call(state: SchedulerState, now: float, call_id: CallId) -> None:
    """Count the work of a started call from now, when its body has arrived.

    Otherwise the time of the transfer would be taken for work of the server.
    """
    running = state.running.get(call_id)
    if running is not None:
        state.running[call_id] = replace(running, started=now)
