"""Errors of store calls, returned as values."""

from dataclasses import dataclass
from enum import Enum


class ErrorKind(Enum):
    """Kind of failure, by what it implies for the caller.

    Attributes
    ----------
    NOT_FOUND
        No object exists at the path.
    CONFLICT
        The object has a different version than expected, or already exists.
    UNAVAILABLE
        The call had no effect: it was not sent, the platform declined it, or it was a read.
    UNCERTAIN
        A write was sent but its reply was lost or malformed: it may have taken effect.
    COMPACTED
        The changes since the requested version are no longer all available; list again.
    INVALID
        The request or the reply violates the protocol or its limits; a retry would fail again.
    OVER_BUDGET
        The node's call budget is exhausted; nothing was sent.
    """

    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNCERTAIN = "uncertain"
    COMPACTED = "compacted"
    INVALID = "invalid"
    OVER_BUDGET = "over-budget"


@dataclass(frozen=True, slots=True)
class StoreError:
    """Why a call to the platform failed."""

    kind: ErrorKind
    message: str
