"""Messages that carry a call from the entry's node to the gate's node and back."""

from ragwort_protocol._load import LoadReport
from ragwort_protocol._message import Message


class Request(Message, tag=1):
    """Asks the peer's gate to run a call.

    Attributes
    ----------
    call_id
        Number of the call, unique among the calls that the sender starts on this link.
    method, target
        HTTP method and request target (path and query).
    headers
        Header fields for the server, as raw bytes.
    body
        First part of the body, or the complete body unless ``more`` is set.
    budget_ms
        Time left until the caller's deadline, in milliseconds.
    idempotent
        True when a second run does no harm, so that a run that is not needed may be aborted.
    batch
        True for work that may queue behind interactive calls.
    member
        Member (a firm that owns services) whose share the call counts against.
    share
        Weight of that member at the gate.
    limit
        Most concurrent calls of the member at the gate; zero for no limit.
    more
        True when ``Data`` messages with the rest of the body follow.
    epoch, key_range
        Proof of the claim that permits a non-idempotent call with a key; zero without a claim.
    route
        Name of the route that the call matched; the gate estimates the work of each route.
    rank
        Priority of the call; 0 is the highest.
    objective_ms
        Time left until the latency objective, in milliseconds; negative once it has passed.
    work_ms
        Sender's estimate of the work of a call on the route, in milliseconds, for a gate that has
        none of its own.
    may_move
        True when another gate is expected to serve the call in time if this one refuses it.
    body_bytes
        Size of a body that is sent only when the gate asks for it; zero if it is in the message.
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
    may_move: bool = False
    body_bytes: int = 0


class Data(Message, tag=2):
    """Carries a further part of the body of a request or response.

    ``from_caller`` is true for a part of a request. The call id alone does not tell, since both
    sides number their calls independently.
    """

    call_id: int
    body: bytes
    more: bool
    from_caller: bool = True


class Response(Message, tag=3):
    """Ends a call with the server's response.

    ``more`` is set when ``Data`` messages with the rest of the body follow; ``work_ms`` is the
    gate's estimate of the work of a call on the route, zero when it has none.
    """

    call_id: int
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    report: LoadReport
    more: bool = False
    work_ms: float = 0.0


class Refusal(Message, tag=4):
    """Ends a call without a response.

    Attributes
    ----------
    outcome, reason
        Values of ``Outcome`` and ``Reason``.
    retry_after_ms
        Delay after which a retry may succeed, in milliseconds; zero when it is not known.
    """

    call_id: int
    outcome: str
    reason: str
    retry_after_ms: int
    report: LoadReport


class Cancel(Message, tag=5):
    """Cancels a call whose reply nobody waits for any more."""

    call_id: int


class Hello(Message, tag=6):
    """First message of each side on a link; identifies the sending node."""

    node_id: str
    incarnation: int
