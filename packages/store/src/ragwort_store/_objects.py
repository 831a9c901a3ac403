"""The values that the platform's object API returns."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object and the version of its last write."""

    path: str
    version: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects under a prefix, at one version of the whole store."""

    items: tuple[StoredObject, ...]
    version: int


@dataclass(frozen=True, slots=True)
class Change:
    """The latest state of an object that was written or deleted; ``data`` is empty if deleted."""

    path: str
    version: int
    data: bytes
    deleted: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """The objects under a prefix that changed; empty when the wait ended without a change.

    The next watch continues after ``version``.
    """

    items: tuple[Change, ...]
    version: int
