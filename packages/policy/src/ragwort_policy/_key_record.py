"""The state that the owner of a key range keeps of a key, its limits, and what it decides."""

from dataclasses import dataclass
from enum import Enum

from ragwort_protocol import Answer, ClaimVerdict

MARK_BYTES = 8


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """How much a table holds, and for how long.

    Attributes
    ----------
    max_keys
        Keys held with their state.
    max_marks
        Keys without a time that are held for ``retention_s``.
    answers_bytes, answer_bytes
        Bytes of all answers held, and of a single one.
    hold_s
        Age below which no key is given up to make room; new ones are refused instead.
    keep_s
        Age at which a key's state and answer are dropped.
    retention_s
        Age up to which a key without a time is not granted again.
    margin_s
        Time after a call's deadline at which a claim without a result counts as unknown.
    future_ms
        How far ahead of the owner's clock a key's time may lie.
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
    """What is known of a key's call."""

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
    """The state of one key, and the attempt that holds it while it runs."""

    added_s: float
    minted_ms: int
    state: KeyState = KeyState.FREE
    attempt: bytes = b""
    fingerprint: bytes = b""
    expires_s: float = 0.0
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """What to reply to a claim; with a need, what to wait for before it is decided again."""

    verdict: ClaimVerdict
    retry_after_ms: int = 0
    answer: Answer | None = None
    need: Need = Need.NONE


def read_mark(key_hash: bytes) -> bytes:
    """Return the part of a key's hash that the journal keeps.

    Two keys with the same mark only cost an honest ``UNPROVEN``.
    """
    return key_hash[:MARK_BYTES]


def count_bytes(answer: Answer) -> int:
    """Return how much of the limits an answer takes."""
    fields = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + fields
