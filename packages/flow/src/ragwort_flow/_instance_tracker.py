"""Tracks the local server instance from reports that may arrive late or out of order.

A later start of the server supersedes an earlier one, and within one start a higher sequence number
supersedes a lower one. After an instance has announced its departure, its earlier reports are
ignored.
"""

from dataclasses import dataclass, field, replace

from ragwort_model import Departure, Heartbeat, InstanceId, InstanceState

HEARTBEAT_TIMEOUT_S = 5.0
"""Time without a report after which a report of any other start is accepted, even with an earlier
start time: the clock may have been set back between the two starts. It is over three usual report
intervals."""


@dataclass(slots=True)
class InstanceTracker:
    """State of the local server instance.

    Attributes
    ----------
    current, last_heartbeat_at
        The latest accepted report, and when it arrived.
    departed
        Start times of the instances that have departed or were replaced.
    """

    current: Heartbeat | None = None
    last_heartbeat_at: float = 0.0
    departed: dict[InstanceId, int] = field(default_factory=dict)


def process_heartbeat(tracker: InstanceTracker, now: float, report: Heartbeat) -> bool:
    """Process a report; return whether it was accepted."""
    departed_born_ms = tracker.departed.get(report.instance)
    if departed_born_ms is not None and report.born_ms <= departed_born_ms:
        return False
    current = tracker.current
    if current is not None and not _supersedes(tracker, current, now, report):
        return False
    if current is not None and current.instance != report.instance:
        tracker.departed[current.instance] = current.born_ms
    tracker.current = report
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
    tracker.departed[departure.instance] = max(born_ms, tracker.departed.get(departure.instance, 0))
    return is_current


def process_leaving_notice(tracker: InstanceTracker, instance: InstanceId) -> None:
    """Process a server's statement, made in an answer, that it is about to stop.

    Its later reports don't make it ready again.
    """
    current = tracker.current
    if current is not None and current.instance == instance:
        tracker.current = replace(current, state=InstanceState.DRAINING)


def is_ready(tracker: InstanceTracker) -> bool:
    """Return whether the latest report says that the server accepts new calls."""
    return tracker.current is not None and tracker.current.state is InstanceState.READY


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
