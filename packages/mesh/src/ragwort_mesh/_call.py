"""Calls accepted by the entry, their attempts, and what makes two of them the same request."""

from dataclasses import dataclass

from ragwort_common import RequestFingerprint, ServiceName
from ragwort_flow import fingerprint_request
from ragwort_model import Route
from ragwort_platform import find_caller
from ragwort_protocol import Request
from ragwort_transport import Headers, find_header


@dataclass(frozen=True, slots=True)
class Call:
    """A call that has been fully read and matched to a route.

    Attributes
    ----------
    call_id
        Call id chosen by the caller.
    service
        Service that runs the call; for a split route, the part selected for this call.
    arrived, first_arrived, objective, caller_deadline, deadline
        Arrival time, that of the caller's first attempt, end of the latency objective, the caller's
        deadline, and the earlier of that and the route's timeout; in seconds on the node's clock.
    """

    call_id: str
    route: Route
    service: ServiceName
    method: str
    target: bytes
    headers: Headers
    body: bytes
    arrived: float
    first_arrived: float
    objective: float
    caller_deadline: float
    deadline: float


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a call, as it appears in the log.

    Attributes
    ----------
    node
        Node whose gate received the attempt.
    expected_ms
        Response time expected when the server was chosen.
    report_age_ms
        Age of the load report behind that choice, or None without a report.
    result
        Outcome and reason, or the HTTP status of the response.
    took_ms
        Time that the attempt took.
    """

    node: str
    expected_ms: float
    report_age_ms: float | None
    result: str
    took_ms: float


def fingerprint_call(call: Call | Request) -> list[RequestFingerprint]:
    """Return the fingerprints of a call that the entry has accepted or a gate has received.

    The first does without the query.
    """
    host = find_header(call.headers, b"host") or b""
    return fingerprint_request(find_caller(call.headers), host, call.method, call.target, call.body)
