"""The owner's state of one idempotency key, the limits of its table, and claim decisions."""

from dataclasses import dataclass
from enum import Enum

from ragwort_protocol import ClaimVerdict, StoredResponse

MARK_BYTES = 8


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Capacity and retention of a claim table.

    Attributes
    ----------
    max_keys
        Maximum number of keys held with their state.
    max_marks
        Maximum number of keys without a timestamp that are held for ``retention_s``.
    answers_bytes, answer_bytes
        Maximum bytes of all answers held, and of a single one.
    hold_s
        Age below which no key is evicted to make room; new keys are refused instead.
    keep_s
        Age at which a key's state and answer are dropped.
    retention_s
        Age up to which a key without a timestamp is not granted again.
    margin_s
        Time after a call's deadline at which a claim without a result becomes unknown.
    future_ms
        Maximum lead of a key's timestamp over the owner's clock.
    """

    max_keys: int = 50_000
    max_marks: int = 100_000
    answers_bytes: int = 8 << 20
    answer_bytes: int = 16 << 10
    hold_s: float = 60.0
    keep_s: float = 3_600.0
    retention_s: float = 86_400.0
    margin_s: float = 5.0
    future_ms: int = 10_000


class KeyState(Enum):
    """What the owner knows about a key's call."""

    FREE = "free"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class Need(Enum):
    """What has to be durable in the journal before a claim can be granted."""

    NONE = "none"
    MARK = "mark"
    HORIZON = "horizon"


@dataclass(slots=True)
class KeyRecord:
    """The state of one key, and the attempt that it was granted to."""

    added_s: float
    timestamp_ms: int
    state: KeyState = KeyState.FREE
    attempt: bytes = b""
    fingerprint: bytes = b""
    expires_s: float = 0.0
    answer: StoredResponse | None = None


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """The reply to a claim, or in ``need`` what must be durable before it is decided again."""

    verdict: ClaimVerdict
    retry_after_ms: int = 0
    answer: StoredResponse | None = None
    need: Need = Need.NONE


def read_mark(key_hash: bytes) -> bytes:
    """Return the mark of a key: the prefix of its hash that the journal stores.

    A collision of two marks only causes an ``UNPROVEN`` verdict, never a second run.
    """
    return key_hash[:MARK_BYTES]


def count_bytes(answer: StoredResponse) -> int:
    """Return the size of an answer that counts towards the limits."""
    fields = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + fields
