"""Tracks the local server instance from reports that may arrive late or out of order.

A later start of the server supersedes an earlier one, and within one start a higher sequence number
supersedes a lower one. After an instance has announced its departure, its earlier reports are
ignored, also by a node that was restarted since and learns of the departure from elsewhere.
"""

from dataclasses import dataclass, field, replace

from ragwort_model import Departure, Heartbeat, InstanceId, InstanceState, Leaving

HEARTBEAT_TIMEOUT_S = 5.0
"""Time without a report after which a report of any other start is accepted, even with an earlier
start time: the clock may have been set back between the two starts. It is over three usual report
intervals."""

MAX_INSTANCES = 64
"""Number of departed instances that are remembered, the latest; late reports are seconds late."""


@dataclass(slots=True)
class InstanceTracker:
    """State of the local server instance.

    Attributes
    ----------
    current, last_heartbeat_at
        The latest accepted report, and when it arrived.
    departed
        Start times of the instances that have departed or were replaced.
    draining
        Start times of the instances that have announced to leave and still serve.
    """

    current: Heartbeat | None = None
    last_heartbeat_at: float = 0.0
    departed: dict[InstanceId, int] = field(default_factory=dict)
    draining: dict[InstanceId, int] = field(default_factory=dict)


def process_heartbeat(tracker: InstanceTracker, now: float, report: Heartbeat) -> bool:
    """Process a report; return whether it was accepted."""
    departed_born_ms = tracker.departed.get(report.instance)
    if departed_born_ms is not None and report.born_ms <= departed_born_ms:
        return False
    draining_born_ms = tracker.draining.get(report.instance)
    if (
        draining_born_ms is not None
        and report.born_ms <= draining_born_ms
        and report.state is InstanceState.READY
    ):
        return False
    current = tracker.current
    if current is not None and not _supersedes(tracker, current, now, report):
        return False
    if current is not None and current.instance != report.instance:
        _remember(tracker.departed, current.instance, current.born_ms)
    tracker.current = report
    if report.state is InstanceState.DRAINING:
        _remember(tracker.draining, report.instance, report.born_ms)
    tracker.last_heartbeat_at = now
    return True


def process_departure(tracker: InstanceTracker, departure: Departure) -> bool:
    """Process a departure notice; return whether it concerns the current instance."""
    current = tracker.current
    is_current = current is not None and current.instance == departure.instance
    born_ms = departure.born_ms
    if is_current and current is not None:
        if departure.born_ms and departure.born_ms < current.born_ms:
            return False
        born_ms = max(born_ms, current.born_ms)
        tracker.current = None
    _remember(tracker.departed, departure.instance, born_ms)
    return is_current


def record_leaving(tracker: InstanceTracker, leaving: Leaving) -> None:
    """Record that a server has announced to leave, perhaps to an earlier process of this node.

    Reports of the starts that it covers don't make it ready again.
    """
    table = tracker.departed if leaving.has_left else tracker.draining
    _remember(table, leaving.instance, leaving.born_ms)
    current = tracker.current
    if current is None or current.instance != leaving.instance or current.born_ms > leaving.born_ms:
        return
    if leaving.has_left:
        tracker.current = None
    else:
        tracker.current = replace(current, state=InstanceState.DRAINING)


def is_ready(tracker: InstanceTracker) -> bool:
    """Return whether the latest report says that the server accepts new calls."""
    return tracker.current is not None and tracker.current.state is InstanceState.READY


def _remember(table: dict[InstanceId, int], instance: InstanceId, born_ms: int) -> None:
    """Remember the latest start of an instance, and forget the instances recorded longest ago."""
    table[instance] = max(born_ms, table.pop(instance, 0))
    while len(table) > MAX_INSTANCES:
        del table[next(iter(table))]


def _supersedes(
    tracker: InstanceTracker, current: Heartbeat, now: float, report: Heartbeat
) -> bool:
    if report.instance == current.instance and report.born_ms == current.born_ms:
        if current.state is InstanceState.DRAINING and report.state is InstanceState.READY:
            return False
        return report.sequence > current.sequence
    if report.born_ms > current.born_ms:
        return True
    return now - tracker.last_heartbeat_at > HEARTBEAT_TIMEOUT_S
