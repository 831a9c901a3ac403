"""Reads and writes the objects of a key range's journal on the platform."""

import logging
from dataclasses import dataclass
from typing import Protocol

from expression import Result
from ragwort_policy import (
    CloseSegment,
    JournalHead,
    Segment,
    WriteHead,
    decode_head,
    encode_head,
)
from ragwort_store import ErrorKind, Listing, StoredObject, StoreError

log = logging.getLogger(__name__)

CLAIMS_PREFIX = "claims"
LEASES_PREFIX = "leases/keys/"
"""Leases have a prefix of their own, so that one short listing returns all owners."""


class JournalStore(Protocol):
    """The platform calls that the journal needs; ``ObjectStore`` implements them."""

    async def get(self, path: str) -> Result[StoredObject, StoreError]:
        """Return the object at a path."""

    async def create(self, path: str, data: bytes) -> Result[StoredObject, StoreError]:
        """Create an object if none exists at the path."""

    async def update(
        self, path: str, data: bytes, expected_version: int
    ) -> Result[StoredObject, StoreError]:
        """Replace an object if it still has the expected version."""

    async def delete(self, path: str, expected_version: int) -> Result[None, StoreError]:
        """Remove an object if it still has the expected version."""

    async def list_objects(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all objects whose path starts with a prefix."""


@dataclass(frozen=True, slots=True)
class FoundHead:
    """A journal head and its version; both are None when the range has no journal yet."""

    version: int | None
    head: JournalHead | None


class Malformed:
    """Marks a journal object that cannot be decoded."""


MALFORMED = Malformed()


async def read_head(store: JournalStore, key_range: int) -> FoundHead | Malformed | None:
    """Return the head of a range, or None when the platform call failed."""
    found = await store.get(_path_head(key_range))
    if found.is_error():
        return FoundHead(None, None) if found.error.kind is ErrorKind.NOT_FOUND else None
    head = decode_head(found.ok.data)
    if head is None:
        log.error("range %d: the head of the journal is malformed", key_range)
        return MALFORMED
    return FoundHead(found.ok.version, head)


async def write_head(
    store: JournalStore, key_range: int, step: WriteHead
) -> Result[StoredObject, StoreError]:
    """Write the head of a range if its version is still the expected one."""
    data = encode_head(step.head)
    if step.version is None:
        return await store.create(_path_head(key_range), data)
    return await store.update(_path_head(key_range), data, step.version)


async def close_segment(store: JournalStore, key_range: int, step: CloseSegment) -> bool:
    """Store a copy of a head as a closed segment and return whether it exists.

    The name contains the version of the head, so an existing object is the same copy.
    """
    path = _path_segment(key_range, step.version)
    made = await store.create(path, encode_head(step.head))
    return made.is_ok() or made.error.kind is ErrorKind.CONFLICT


async def load_segments(store: JournalStore, key_range: int) -> list[Segment] | Malformed | None:
    """Return all closed segments of a range, or None when the platform call failed."""
    listing = await store.list_objects(_path_segments(key_range))
    if listing.is_error():
        return None
    segments = [_read_segment(stored) for stored in listing.ok.items]
    known = [segment for segment in segments if segment is not None]
    if len(known) < len(segments):
        log.error("range %d: a segment of the journal is malformed", key_range)
        return MALFORMED
    return known


async def delete_segment(store: JournalStore, key_range: int, segment: Segment) -> None:
    """Delete a closed segment; if that fails, a later owner deletes it."""
    found = await store.get(_path_segment(key_range, segment.version))
    if found.is_ok():
        await store.delete(found.ok.path, found.ok.version)


def format_lease_path(key_range: int) -> str:
    """Return the path of the lease of a key range."""
    return f"{LEASES_PREFIX}{key_range:03d}"


def _path_head(key_range: int) -> str:
    return f"{CLAIMS_PREFIX}/{key_range:03d}/head"


def _path_segments(key_range: int) -> str:
    return f"{CLAIMS_PREFIX}/{key_range:03d}/segments/"


def _path_segment(key_range: int, version: int) -> str:
    return f"{_path_segments(key_range)}{version:020d}"


def _read_segment(stored: StoredObject) -> Segment | None:
    head = decode_head(stored.data)
    name = stored.path.rpartition("/")[2]
    if head is None or not name.isdigit():
        return None
    return Segment(int(name), head)
