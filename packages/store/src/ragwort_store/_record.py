"""What the platform's object API returns."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Stored:
    """One object with the version of its last write."""

    path: str
    version: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects below a prefix, as of one version of the whole store."""

    items: tuple[Stored, ...]
    version: int


@dataclass(frozen=True, slots=True)
class Change:
    """The latest state of an object that was written or deleted; deleted ones have no data."""

    path: str
    version: int
    data: bytes
    deleted: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """The objects below a prefix that changed; none when the wait ended without a change.

    The next watch goes on from ``version``.
    """

    items: tuple[Change, ...]
    version: int
