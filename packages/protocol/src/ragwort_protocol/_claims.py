"""Messages with which an entry claims an idempotency key from the owner of its key range."""

from enum import Enum

from ragwort_protocol._message import Message


class ClaimVerdict(Enum):
    """The decision of a key range's owner on a claim."""

    GRANTED = "granted"
    DONE = "done"
    RUNNING = "running"
    UNPROVEN = "unproven"
    MISMATCH = "mismatch"
    IN_FUTURE = "in-future"
    BUSY = "busy"
    NO_LEASE = "no-lease"
    NOT_OWNER = "not-owner"


class StoredResponse(Message, tag=33):
    """The server's complete response to a call, stored for repeats of the call."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ClaimRequest(Message, tag=30):
    """Asks the owner of a key range for permission to run a call.

    Attributes
    ----------
    attempt
        Id of the claim, never reused; a claim that is sent again keeps its id.
    key_hash
        Hash of service, member and idempotency key.
    fingerprint
        Hash of the call's method, target and body.
    key_range
        Number of the key range.
    epoch
        Highest epoch of the range that the entry knows; zero when it knows none.
    timestamp_ms
        Creation time that is encoded in the key, in milliseconds of Unix time; zero when the key
        contains none.
    budget_ms
        Time left until the caller's deadline, in milliseconds.
    """

    attempt: bytes
    key_hash: bytes
    fingerprint: bytes
    key_range: int
    epoch: int
    timestamp_ms: int
    budget_ms: float


class ClaimReply(Message, tag=31):
    """Answers a claim.

    Attributes
    ----------
    attempt
        Id of the claim.
    verdict
        Decision of the owner.
    epoch
        Epoch of the owner's lease; zero without a lease.
    retry_after_ms
        Delay after which a retry may succeed, in milliseconds; zero when it is not known.
    answer
        Response of the call's first run, with ``DONE``.
    hint
        Node that may own the range, with ``NOT_OWNER``; empty when it is not known.
    """

    attempt: bytes
    verdict: ClaimVerdict
    epoch: int
    retry_after_ms: int = 0
    answer: StoredResponse | None = None
    hint: str = ""


class ClaimResult(Message, tag=32):
    """Tells the owner how a claimed call ended.

    ``outcome`` is a value of ``Outcome``; ``not-run`` guarantees that the call did not run and
    will not run under this attempt. ``answer`` is omitted when it is too large to store.
    """

    attempt: bytes
    key_hash: bytes
    key_range: int
    outcome: str
    answer: StoredResponse | None = None


class OwnerNotice(Message, tag=34):
    """Announces the owner of a key range in an epoch; a higher epoch replaces a lower one.

    ``node`` is empty when the owner of that epoch has released the range.
    """

    key_range: int
    epoch: int
    node: str
