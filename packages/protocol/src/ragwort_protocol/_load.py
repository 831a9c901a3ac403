"""What a gate reports about its server's load, and how an entry asks for it."""

from ragwort_protocol._message import Message


class LoadReport(Message, tag=10):
    """The state of one gate at the moment it was asked or answered.

    Attributes
    ----------
    in_flight
        Calls that the server is running.
    limit
        Calls that the gate lets the server run at once.
    queued
        Calls that wait in the gate's queue.
    service_time_us
        Recent time that the server needs for a call, in microseconds; calls that are still
        running count, so it rises as soon as they hang.
    accepting
        False while the server leaves or the gate refuses everything.
    warm_percent
        Share of the full limit that a freshly started server may take, 0 to 100.
    slowdown_percent
        How long work takes on the server's host at this moment; 100 is as usual.
    wait_ms
        How long a call that came now would wait for its turn, in milliseconds.
    failing_percent
        Share of the server's recent calls that failed.
    """

    in_flight: int
    limit: int
    queued: int
    service_time_us: int
    accepting: bool = True
    warm_percent: int = 100
    slowdown_percent: int = 100
    wait_ms: int = 0
    failing_percent: int = 0


class Probe(Message, tag=11):
    """Asks the peer's gate for its report."""

    probe_id: int


class ProbeReply(Message, tag=12):
    """Answers a probe."""

    probe_id: int
    report: LoadReport
