"""Load reports of gates, and the probes that request them."""

from ragwort_protocol._message import Message


class LoadReport(Message, tag=10):
    """The load of a gate and its server when a probe or call was answered.

    Attributes
    ----------
    in_flight
        Calls in progress on the server.
    limit
        Most calls that the gate lets the server run concurrently.
    queued
        Calls that wait in the queue of the gate.
    service_time_us
        Recent service time of a call on the server, in microseconds; calls in progress count, so
        that it rises as soon as they hang.
    accepting
        False while the server is leaving or the gate refuses all calls.
    warm_percent
        Share of the full limit that is open to a server in its warm-up, 0 to 100.
    slowdown_percent
        Current duration of work on the server's host relative to the usual one; 100 is normal.
    wait_ms
        Expected queueing time of a call that arrives now, in milliseconds.
    failing_percent
        Share of the server's recent calls that failed, 0 to 100.
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
    """Requests a load report from the peer's gate."""

    probe_id: int


class ProbeReply(Message, tag=12):
    """Answers a probe with the load report."""

    probe_id: int
    report: LoadReport
