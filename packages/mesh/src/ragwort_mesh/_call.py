"""A caller's call as the entry works on it."""

from dataclasses import dataclass

from ragwort_common import ServiceName
from ragwort_model import Route
from ragwort_transport import Headers


@dataclass(frozen=True, slots=True)
class Call:
    """A call that has been read whole and matched with its route.

    Attributes
    ----------
    call_id
        The caller's id of it.
    service
        Service that runs it: the part of a split that its turn fell on.
    arrived, objective, deadline
        When it came, until when an answer is worth most and until when one is awaited; on the
        node's clock, in seconds.
    """

    call_id: str
    route: Route
    service: ServiceName
    method: str
    target: bytes
    headers: Headers
    body: bytes
    arrived: float
    objective: float
    deadline: float


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try to have a call run, as it is logged.

    Attributes
    ----------
    node
        Node whose gate was asked.
    expected_ms
        Time until the answer that the choice expected.
    report_age_ms
        Age of the report that it was based on; None without one.
    result
        Outcome and reason, or the status of the answer.
    took_ms
        Time that it took.
    """

    node: str
    expected_ms: float
    report_age_ms: float | None
    result: str
    took_ms: float
