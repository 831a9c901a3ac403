"""Keeps which server stands beside this node, from reports that may be late or out of order.

A later start of the server replaces an earlier one, and within one start a higher sequence number
replaces a lower one. Once a start has said that it leaves, nothing that it said before counts.
"""

from dataclasses import dataclass, field

from ragwort_model import Departure, Heartbeat, InstanceId, InstanceState

SILENT_S = 5.0
"""Reports of an unknown start replace a server's that has said nothing for this long: over three
usual intervals. Its clock may have been set back between the two starts."""


@dataclass(slots=True)
class InstanceWatch:
    """What is known of the server on this host.

    Attributes
    ----------
    current, heard_at
        The latest report of the server that counts, and when it arrived.
    left
        The starts that have left or were replaced, with the start's time of each.
    """

    current: Heartbeat | None = None
    heard_at: float = 0.0
    left: dict[InstanceId, int] = field(default_factory=dict)


def take_heartbeat(watch: InstanceWatch, now: float, report: Heartbeat) -> bool:
    """Take in a report; return whether it counts."""
    left_born_ms = watch.left.get(report.instance)
    if left_born_ms is not None and report.born_ms <= left_born_ms:
        return False
    current = watch.current
    if current is not None and not _replaces(watch, current, now, report):
        return False
    if current is not None and current.instance != report.instance:
        watch.left[current.instance] = current.born_ms
    watch.current = report
    watch.heard_at = now
    return True


def take_departure(watch: InstanceWatch, departure: Departure) -> bool:
    """Take in that a server leaves; return whether it is the present one."""
    current = watch.current
    is_current = current is not None and current.instance == departure.instance
    born_ms = departure.born_ms
    if is_current and current is not None:
        if departure.born_ms and departure.born_ms < current.born_ms:
            return False
        born_ms = max(born_ms, current.born_ms)
        watch.current = None
    watch.left[departure.instance] = max(born_ms, watch.left.get(departure.instance, 0))
    return is_current


def is_ready(watch: InstanceWatch) -> bool:
    """Tell whether the server takes new calls, by what it says."""
    return watch.current is not None and watch.current.state is InstanceState.READY


def _replaces(watch: InstanceWatch, current: Heartbeat, now: float, report: Heartbeat) -> bool:
    if report.instance == current.instance and report.born_ms == current.born_ms:
        if current.state is InstanceState.DRAINING and report.state is InstanceState.READY:
            return False
        return report.sequence > current.sequence
    if report.born_ms > current.born_ms:
        return True
    return now - watch.heard_at > SILENT_S
