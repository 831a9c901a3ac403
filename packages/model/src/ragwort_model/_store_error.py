"""The errors of calls to the store, as values."""

from dataclasses import dataclass
from enum import Enum


class ErrorKind(Enum):
    """What went wrong, in terms of what the caller may conclude from it.

    Attributes
    ----------
    NOT_FOUND
        There is no object at the path.
    CONFLICT
        The object has another version than expected, or exists already.
    UNAVAILABLE
        The call had no effect: it was not sent, the platform declined it, or it only read.
    UNCERTAIN
        A write was sent and its reply was lost or broken: it may have taken effect.
    COMPACTED
        The platform no longer has all changes since the version asked for; list again.
    INVALID
        The request or the reply breaks the protocol or its limits; a retry gives the same.
    OVER_BUDGET
        The node has used up the calls that it may make; nothing was sent.
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
    """Why a call to the platform gave no result."""

    kind: ErrorKind
    message: str
