"""The messages that carry a call from the entry's node to the gate's node and back."""

from ragwort_protocol._load import LoadReport
from ragwort_protocol._message import Message


class Request(Message, tag=1):
    """Asks the peer's gate to run a call.

    Attributes
    ----------
    call_id
        Number of the call, unique on this link.
    method, target
        HTTP method and request target (path and query).
    headers
        Header fields to pass to the server, as raw bytes.
    body
        First part of the body; the whole of it unless ``more`` is set.
    budget_ms
        Time left until the caller's deadline, in milliseconds.
    idempotent
        True when a second run does no harm, so that an unwanted run may be broken off.
    batch
        True for work that may wait in the queue behind interactive calls.
    member
        Firm on whose share the call counts.
    share
        Weight of that member at the gate.
    limit
        Most calls of the member that the gate may hold at once; zero for no limit.
    more
        True when ``Data`` messages with the rest of the body follow.
    epoch, key_range
        Proof of the claim that allows a non-idempotent call with a key; zero without one.
    route
        Name of the route that the call matched; the gate learns the work of each.
    rank
        Urgency of the call; 0 is the highest.
    objective_ms
        Time left in which an answer is worth most, in milliseconds; negative once it is over.
    work_ms
        Work of the route's calls as the sender has learned it, for a gate that has seen none.
    """

    call_id: int
    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    budget_ms: float
    idempotent: bool = False
    batch: bool = False
    member: str = ""
    share: int = 1
    limit: int = 0
    more: bool = False
    epoch: int = 0
    key_range: int = 0
    route: str = ""
    rank: int = 0
    objective_ms: float = 0.0
    work_ms: float = 0.0


class Data(Message, tag=2):
    """Carries a further part of a request's or response's body.

    ``from_caller`` tells a request's part from a response's, since both sides number their calls.
    """

    call_id: int
    body: bytes
    more: bool
    from_caller: bool = True


class Response(Message, tag=3):
    """Ends a call with the server's answer.

    ``more`` is set when ``Data`` messages with the rest of the body follow; ``work_ms`` is what
    the gate has learned of the work of the call's route, zero when it learns none.
    """

    call_id: int
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    report: LoadReport
    more: bool = False
    work_ms: float = 0.0


class Refusal(Message, tag=4):
    """Ends a call without an answer.

    Attributes
    ----------
    outcome, reason
        Values of ``Outcome`` and ``Reason``.
    retry_after_ms
        When the caller may usefully ask again, in milliseconds; zero when it is not known.
    """

    call_id: int
    outcome: str
    reason: str
    retry_after_ms: int
    report: LoadReport


class Cancel(Message, tag=5):
    """Tells the gate that nobody waits for the call any more."""

    call_id: int


class Hello(Message, tag=6):
    """Opens a link: says which node speaks, from either side."""

    node_id: str
    incarnation: int
