"""Calls accepted by the entry, their attempts, and what makes two of them the same request."""

from dataclasses import dataclass

from ragwort_common import CustomerName, Region, RequestFingerprint, ServiceName
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
    allowed_regions
        Regions whose servers may run the call, by its route and its customer; None if all may.
    customer
        Customer whose key the caller sent; None in a deployment without customers, for routes that
        need no key and for nested calls.
    rank
        Priority of the call, of its customer and its route; 0 is the highest, None for the route's.
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
    allowed_regions: frozenset[Region] | None = None
    customer: CustomerName | None = None
    rank: int | None = None


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
